/** @file
 *  What a completion request asks for, and the blocks of its prompt.
 *
 *  Both the completion and the chat shape of the API are read.  A chat's
 *  prompt is its messages in order, each as its role, a line end, its content
 *  and a line end.  The prompt is hashed in units of 1 KiB; a cache block of
 *  a model is a whole number of units, and its name is made of their names,
 *  so the hashing needs no knowledge of the model.
 *
 *      bbm_completion_request asked;
 *      int rc = bbm_completion_request_parse(body, len, &asked);
 *      ... asked.model, asked.units ...
 *      bbm_completion_request_free(&asked);
 *
 *      size_t n = bbm_prompt_block_ids(units, units_len, block_bytes, blocks,
 * most);
 */
#ifndef BBM_PROMPT_TEXT_H
#define BBM_PROMPT_TEXT_H

#include "bbm_hash.h"
#include "bbm_mem.h"

/** Bytes in a unit. */
#define BBM_PROMPT_UNIT_BYTES 1024
/** Units that are hashed; a longer prompt is hashed up to here. */
#define BBM_PROMPT_UNITS_MAX 4096

/** A completion request. */
typedef struct bbm_completion_request {
    char model[BBM_NAME_SIZE]; /**< Model asked for. */
    bool stream;               /**< Server-sent events wanted. */
    int64_t output_tokens_max; /**< Output tokens asked for; 0: not said. */
    size_t prompt_bytes;       /**< Bytes of prompt text. */
    bbm_block_id *units;       /**< Hashes of whole units; owned. */
    size_t units_len;          /**< Units. */
} bbm_completion_request;

/** Read a body.  BBM_ERR_BAD_JSON, BBM_ERR_TOO_DEEP, BBM_ERR_BAD_FIELD. */
int bbm_completion_request_parse(const char *body, size_t len,
                                 bbm_completion_request *asked);

/** Release. */
void bbm_completion_request_free(bbm_completion_request *asked);

/** Names of a prompt's whole blocks; returns how many. */
size_t bbm_prompt_block_ids(const bbm_block_id *units, size_t units_len,
                            size_t block_bytes, bbm_block_id *blocks,
                            size_t most);

#endif
