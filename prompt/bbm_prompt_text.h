/** @file
 *  Parses completion requests, and computes the block ids of their prompts.
 *
 *  Both the completion and the chat format of the API are accepted.  The
 *  prompt text of a chat is the concatenation of its messages, each as role,
 *  newline, content, newline.  The text is hashed in units of 1 KiB.  A cache
 *  block consists of a whole number of units, which depends on the model, and
 *  its id is derived from the hashes of its units.  So the text can be hashed
 *  before the model is known.
 *
 *      bbm_completion_request request;
 *      int rc = bbm_completion_request_parse(body, len, &request);
 *      ... request.model, request.units ...
 *      bbm_completion_request_free(&request);
 *
 *      size_t n = bbm_prompt_block_ids(units, units_len, block_bytes, blocks,
 *                                      max);
 */
#ifndef BBM_PROMPT_TEXT_H
#define BBM_PROMPT_TEXT_H

#include "bbm_hash.h"
#include "bbm_mem.h"

/** Size of a unit of hashed prompt text. */
#define BBM_PROMPT_UNIT_BYTES 1024
/** Maximum number of units that are hashed; the rest of a longer prompt is not
 *  hashed. */
#define BBM_PROMPT_UNITS_MAX 4096

/** A parsed completion request. */
typedef struct bbm_completion_request {
    char model[BBM_NAME_SIZE]; /**< Requested model. */
    bool stream;               /**< Answer as server-sent events. */
    int64_t output_tokens_max; /**< Output token limit, from max_tokens or
                                    max_completion_tokens; 0: unspecified. */
    size_t prompt_bytes;       /**< Length of the prompt text. */
    bbm_block_id *units;       /**< Hashes of the complete units, in order;
                                    owned. */
    size_t units_len;          /**< Number of units. */
} bbm_completion_request;

/** Parse a request body.  Returns BBM_OK, BBM_ERR_BAD_JSON, BBM_ERR_TOO_DEEP
 *  or BBM_ERR_BAD_FIELD; after an error there is nothing to free. */
int bbm_completion_request_parse(const char *body, size_t len,
                                 bbm_completion_request *request);

/** Free the hashes of a request. */
void bbm_completion_request_free(bbm_completion_request *request);

/** Compute the ids of the complete blocks of a prompt, from the first, up to
 *  @p max.  Returns their number.  A block has @p block_bytes, rounded down to
 *  whole units, but at least one unit. */
size_t bbm_prompt_block_ids(const bbm_block_id *units, size_t units_len,
                            size_t block_bytes, bbm_block_id *blocks,
                            size_t max);

#endif
