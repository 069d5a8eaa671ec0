/** @file
 *  Index of the prefixes cached by each runner.
 *
 *  A prefix is identified by the hash of its chain of blocks, which starts
 *  with the customer (or open scope) and the weight version.  An entry
 *  belongs to a runner's slot and incarnation: when the runner restarts, or
 *  its event stream has a gap, all its entries are dropped.
 *
 *      bbm_cache *c = bbm_cache_create(&(bbm_cache_desc){0});
 *      bbm_cache_set_runner(c, slot, incarnation, blocks);
 *      bbm_cache_store(c, slot, incarnation, id, now);      an event
 *      bbm_cache_remove(c, slot, incarnation, id);          an event
 *      bbm_cache_expect(c, slot, id, now);                  prompt sent there
 *      size_t n = bbm_cache_match(c, slot, ids, len, now);  blocks cached
 *
 *  An expected entry is valid for a short time, unless an event confirms it.
 *  Memory is bounded: when a runner has an entry for each block that its cache
 *  can hold, the one least recently stored or expected is dropped.
 */
#ifndef BBM_CACHE_H
#define BBM_CACHE_H

#include "bbm_hash.h"
#include "bbm_time.h"

/** Limit of the runners in an index; their slots are below it. */
#define BBM_CACHE_RUNNERS_MAX 1024

/** Parameters of an index. */
typedef struct bbm_cache_desc {
    size_t entries_max;    /**< Limit over all runners; 0: 400,000. */
    bbm_time expected_ttl; /**< Validity of an unconfirmed entry; 0: 3 s. */
    bool unsafe_any_incarnation; /**< Tests only: ignore incarnations. */
} bbm_cache_desc;

/** The index; opaque. */
typedef struct bbm_cache bbm_cache;

/** Create an empty index. */
bbm_cache *bbm_cache_create(const bbm_cache_desc *desc);
/** Free an index; NULL is allowed. */
void bbm_cache_destroy(bbm_cache *c);

/** Set a runner's incarnation and the number of blocks that it can hold
 *  (0: no limit).  A new incarnation drops its entries.  True if the
 *  incarnation changed. */
bool bbm_cache_set_runner(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                          size_t blocks);
/** Drop a runner's entries, after lost events or a change of weights. */
void bbm_cache_clear(bbm_cache *c, uint32_t slot);

/** Record that a block was stored; ignored for another incarnation than the
 *  current one. */
void bbm_cache_store(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                     bbm_block_id id, bbm_time now);
/** Record that a block was evicted; ignored for another incarnation. */
void bbm_cache_remove(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                      bbm_block_id id);
/** Record that a prompt with this block was sent to the runner; the entry is
 *  valid for `expected_ttl`, or until evicted if an event has confirmed it. */
void bbm_cache_expect(bbm_cache *c, uint32_t slot, bbm_block_id id,
                      bbm_time now);

/** Number of blocks, from the start of the chain @p ids, that a runner has
 *  valid entries for. */
size_t bbm_cache_match(const bbm_cache *c, uint32_t slot,
                       const bbm_block_id *ids, size_t len, bbm_time now);
/** Like bbm_cache_match, without the blocks that are only expected. */
size_t bbm_cache_match_confirmed(const bbm_cache *c, uint32_t slot,
                                 const bbm_block_id *ids, size_t len);
/** Like bbm_cache_match for every slot below @p slots; the result is in
 *  matched[slot].  Costs one lookup per block, up to the first block that
 *  extends no runner's match. */
void bbm_cache_match_all(const bbm_cache *c, const bbm_block_id *ids,
                         size_t len, bbm_time now, size_t *matched,
                         size_t slots);
/** Number of entries, valid or not. */
size_t bbm_cache_count(const bbm_cache *c);
/** Number of entries of one runner, valid or not. */
size_t bbm_cache_count_of(const bbm_cache *c, uint32_t slot);

#endif
