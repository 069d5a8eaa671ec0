/** @file
 *  Hashes, cryptographic digests and random numbers.
 *
 *  bbm_hash64 is for hash tables and placement.  A bbm_block_id identifies a
 *  block of a prompt; a chain of block ids identifies a prefix.  A chain
 *  starts with the customer, so that equal prompts of two customers have
 *  different ids.  bbm_digest is cryptographic, for input chosen by outsiders
 *  where a collision would do harm.
 *
 *  Source: XXH3 by libxxhash, BLAKE2b and ChaCha20 by libsodium.
 */
#ifndef BBM_HASH_H
#define BBM_HASH_H

#include "bbm_pack.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of a digest in bytes. */
#define BBM_DIGEST_SIZE 32

/** 128-bit identifier of a block or of a chain of blocks. */
typedef struct bbm_block_id {
    uint64_t high; /**< Upper 64 bits. */
    uint64_t low;  /**< Lower 64 bits. */
} bbm_block_id;

/** A cryptographic digest. */
typedef struct bbm_digest {
    uint8_t bytes[BBM_DIGEST_SIZE]; /**< BLAKE2b. */
} bbm_digest;

/** A deterministic random number generator: a seed gives the same sequence on
 *  all machines of the same byte order. */
typedef struct bbm_rng {
    uint64_t seed;         /**< Seed given to bbm_rng_of. */
    uint64_t blocks_drawn; /**< Blocks generated so far. */
    uint32_t words_used;   /**< Words consumed of the current block. */
    uint64_t words[8];     /**< The current block. */
} bbm_rng;

/** Initialise the libraries; call before any other function of this header.
 *  BBM_OK or BBM_ERR_IO. */
int bbm_hash_setup(void);

/** Fast non-cryptographic hash of bytes with a seed. */
uint64_t bbm_hash64(const void *data, size_t len, uint64_t seed);

/** Fast non-cryptographic hash of a string with a seed. */
uint64_t bbm_hash_text(const char *text, uint64_t seed);

/** Id of one block of prompt bytes, independent of its position. */
bbm_block_id bbm_block_hash(const void *data, size_t len);

/** Start of a chain: scope (customer or "") and version of the weights. */
bbm_block_id bbm_chain_start(const char *scope, const char *version);

/** Id of @p chain extended by @p block. */
bbm_block_id bbm_chain_next(bbm_block_id chain, bbm_block_id block);

/** True if both ids are equal. */
bool bbm_block_same(bbm_block_id a, bbm_block_id b);

/** Digest of bytes; keyed unless @p key (BBM_DIGEST_SIZE bytes) is NULL. */
bbm_digest bbm_digest_of(const void *data, size_t len, const uint8_t *key);

/** Digest of two byte sequences as if they were one; not keyed. */
bbm_digest bbm_digest_of_two(bbm_bytes first, bbm_bytes second);

/** True if both are equal; compares in constant time. */
bool bbm_digest_same(const bbm_digest *a, const bbm_digest *b);

/** Write a digest as 64 hexadecimal digits and a terminating zero. */
void bbm_digest_hex(const bbm_digest *d, char hex[2 * BBM_DIGEST_SIZE + 1]);

/** Parse 64 hexadecimal digits; false if @p hex is anything else. */
bool bbm_digest_parse(const char *hex, bbm_digest *d);

/** A generator at the start of the sequence of @p seed. */
bbm_rng bbm_rng_of(uint64_t seed);

/** The next 64 random bits. */
uint64_t bbm_rng_next(bbm_rng *rng);

/** A number from 0 to @p below - 1; 0 if @p below is 0. */
uint64_t bbm_rng_below(bbm_rng *rng, uint64_t below);

/** A number in [0, 1). */
double bbm_rng_unit(bbm_rng *rng);

/** Fill @p dst with unpredictable bytes, for ids and nonces.  State machines
 *  use a bbm_rng instead, so that their runs can be repeated. */
void bbm_random_bytes(void *dst, size_t len);

#endif
