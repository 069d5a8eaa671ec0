#include "bbm_hash.h"

#include "bbm_codes.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

int
bbm_hash_setup(void)
{
    return sodium_init() < 0 ? BBM_ERR_IO : BBM_OK;
}

uint64_t
bbm_hash64(const void *data, size_t len, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t
bbm_hash_text(const char *text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text, strlen(text), seed);
}

static bbm_block_id
block_id_of(XXH128_hash_t h)
{
    return (bbm_block_id){.high = h.high64, .low = h.low64};
}

bbm_block_id
bbm_block_hash(const void *data, size_t len)
{
    return block_id_of(XXH3_128bits(data, len));
}

/* Both strings are hashed with their terminating zeros, so that different
   pairs never form the same input. */
bbm_block_id
bbm_chain_start(const char *scope, const char *version)
{
    uint64_t seed = XXH3_64bits(scope, strlen(scope) + 1);
    XXH128_hash_t h =
        XXH3_128bits_withSeed(version, strlen(version) + 1, seed);
    return block_id_of(h);
}

bbm_block_id
bbm_chain_next(bbm_block_id chain, bbm_block_id block)
{
    uint64_t words[4] = {chain.high, chain.low, block.high, block.low};
    return block_id_of(XXH3_128bits(words, sizeof(words)));
}

bool
bbm_block_same(bbm_block_id a, bbm_block_id b)
{
    return a.high == b.high && a.low == b.low;
}

bbm_digest
bbm_digest_of(const void *data, size_t len, const uint8_t *key)
{
    bbm_digest d;
    crypto_generichash(d.bytes, sizeof(d.bytes), data, len, key,
                       key ? BBM_DIGEST_SIZE : 0);
    return d;
}

bbm_digest
bbm_digest_of_two(bbm_bytes first, bbm_bytes second)
{
    bbm_digest d;
    crypto_generichash_state state;
    crypto_generichash_init(&state, NULL, 0, sizeof(d.bytes));
    crypto_generichash_update(&state, first.data, first.len);
    crypto_generichash_update(&state, second.data, second.len);
    crypto_generichash_final(&state, d.bytes, sizeof(d.bytes));
    return d;
}

bool
bbm_digest_same(const bbm_digest *a, const bbm_digest *b)
{
    return sodium_memcmp(a->bytes, b->bytes, BBM_DIGEST_SIZE) == 0;
}

void
bbm_digest_hex(const bbm_digest *d, char hex[2 * BBM_DIGEST_SIZE + 1])
{
    sodium_bin2hex(hex, 2 * BBM_DIGEST_SIZE + 1, d->bytes, BBM_DIGEST_SIZE);
}

bool
bbm_digest_parse(const char *hex, bbm_digest *d)
{
    size_t len = 0;
    size_t digits = strlen(hex);
    const char *end = NULL;
    int rc = sodium_hex2bin(d->bytes, BBM_DIGEST_SIZE, hex, digits, NULL, &len,
                            &end);
    return rc == 0 && len == BBM_DIGEST_SIZE && *end == '\0';
}

bbm_rng
bbm_rng_of(uint64_t seed)
{
    return (bbm_rng){.seed = seed, .words_used = 8};
}

uint64_t
bbm_rng_next(bbm_rng *rng)
{
    if (rng->words_used >= 8) {
        uint8_t seed[randombytes_SEEDBYTES] = {0};
        memcpy(seed, &rng->seed, sizeof(rng->seed));
        memcpy(seed + sizeof(rng->seed), &rng->blocks_drawn,
               sizeof(rng->blocks_drawn));
        randombytes_buf_deterministic(rng->words, sizeof(rng->words), seed);
        rng->blocks_drawn++;
        rng->words_used = 0;
    }
    return rng->words[rng->words_used++];
}

uint64_t
bbm_rng_below(bbm_rng *rng, uint64_t below)
{
    return below ? bbm_rng_next(rng) % below : 0;
}

double
bbm_rng_unit(bbm_rng *rng)
{
    return (double)(bbm_rng_next(rng) >> 11) / 9007199254740992.0;
}

void
bbm_random_bytes(void *dst, size_t len)
{
    randombytes_buf(dst, len);
}
