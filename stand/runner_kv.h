/** @file
 *  Client of the KV cache store, for the stand-in runner.
 */
#ifndef RUNNER_KV_H
#define RUNNER_KV_H

#include "bbm_hash.h"

/** Number of leading blocks of @p ids that the store has; 0 on an error. */
size_t runner_kv_count_stored(const char *store, const bbm_block_id *ids,
                              size_t len);
/** Add blocks to the store; errors are ignored. */
void runner_kv_export(const char *store, const bbm_block_id *ids, size_t len);

#endif
