/** @file
 *  The runner's side of the KV cache store (private to the stand-in).
 */
#ifndef RUNNER_KV_H
#define RUNNER_KV_H

#include "bbm_hash.h"

/** Blocks of the list, from its start, that the store has; 0 on a fault. */
size_t runner_kv_have(const char *store, const bbm_block_id *ids, size_t len);
/** Export blocks. */
void runner_kv_export(const char *store, const bbm_block_id *ids, size_t len);

#endif
