/** @file
 *  Hashes, digests, secrets and seeded random numbers, all from libraries.
 *
 *  bbm_hash64 is for tables and placement.  bbm_block_id names a prompt block;
 *  a chain of them names a prefix and is keyed from its first block, so that
 *  equal texts of two customers never meet.  bbm_digest is cryptographic and
 *  serves where an outsider chooses the input and a collision would matter.
 *
 *  Source: XXH3 by libxxhash, BLAKE2b and XSalsa20 by libsodium.
 */
#ifndef BBM_HASH_H
#define BBM_HASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a digest. */
#define BBM_DIGEST_SIZE 32

/** A 128-bit name of a block or of a chain of blocks. */
typedef struct bbm_block_id {
    uint64_t high; /**< Upper half. */
    uint64_t low;  /**< Lower half. */
} bbm_block_id;

/** A cryptographic digest. */
typedef struct bbm_digest {
    uint8_t bytes[BBM_DIGEST_SIZE]; /**< BLAKE2b. */
} bbm_digest;

/** A seeded generator: the same seed gives the same numbers everywhere. */
typedef struct bbm_rng {
    uint64_t seed;         /**< Chosen by the caller. */
    uint64_t blocks_drawn; /**< Blocks drawn so far. */
    uint32_t words_used;   /**< Words used of the present block. */
    uint64_t words[8];     /**< The present block. */
} bbm_rng;

/** Start the libraries; call once before the others.  0 or BBM_ERR_IO. */
int bbm_hash_setup(void);

/** A fast hash of bytes under a seed. */
uint64_t bbm_hash64(const void *data, size_t len, uint64_t seed);

/** A fast hash of a text under a seed. */
uint64_t bbm_hash_text(const char *text, uint64_t seed);

/** The name of one block of prompt bytes, without regard to its place. */
bbm_block_id bbm_block_hash(const void *data, size_t len);

/** The first link of a chain: scope (customer or "") and weight version. */
bbm_block_id bbm_chain_start(const char *scope, const char *version);

/** The chain grown by one block. */
bbm_block_id bbm_chain_next(bbm_block_id chain, bbm_block_id block);

/** True if both names are the same. */
bool bbm_block_same(bbm_block_id a, bbm_block_id b);

/** Digest of bytes, keyed if @p key is not NULL (BBM_DIGEST_SIZE bytes). */
bbm_digest bbm_digest_of(const void *data, size_t len, const uint8_t *key);

/** Compare in constant time. */
bool bbm_digest_same(const bbm_digest *a, const bbm_digest *b);

/** Write a digest as 64 hexadecimal digits and an end mark. */
void bbm_digest_hex(const bbm_digest *d, char hex[2 * BBM_DIGEST_SIZE + 1]);

/** Read 64 hexadecimal digits; false if they are not. */
bool bbm_digest_parse(const char *hex, bbm_digest *d);

/** A generator at the start of its sequence. */
bbm_rng bbm_rng_of(uint64_t seed);

/** The next 64 random bits. */
uint64_t bbm_rng_next(bbm_rng *rng);

/** A number from 0 to @p below - 1; 0 if @p below is 0. */
uint64_t bbm_rng_below(bbm_rng *rng, uint64_t below);

/** A number at or above 0 and below 1. */
double bbm_rng_unit(bbm_rng *rng);

/** Unpredictable bytes, for identities and nonces; not for decision code. */
void bbm_random_bytes(void *dst, size_t len);

#endif
