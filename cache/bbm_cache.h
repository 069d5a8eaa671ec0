/** @file
 *  Which runner holds which cached prefix.
 *
 *  A prefix is named by the hash of its chain of blocks, keyed from the first
 *  link by customer (or open scope) and weight version.  An entry belongs to
 *  a runner's slot and incarnation: when the runner starts anew, or its event
 *  stream has a gap, all its entries go at once.
 *
 *      bbm_cache *c = bbm_cache_create(&(bbm_cache_desc){0});
 *      bbm_cache_set_runner(c, slot, incarnation, blocks);
 *      bbm_cache_store(c, slot, incarnation, id, now);      an event
 *      bbm_cache_remove(c, slot, incarnation, id);          an event
 *      bbm_cache_expect(c, slot, id, now);   we sent a prompt there
 *      size_t n = bbm_cache_match(c, slot, ids, len, now);  blocks held
 *
 *  An entry that we only expect counts for a short while, unless an event
 *  confirms it.  Memory is bounded per runner: past the number of blocks that
 *  its cache can hold, the entries longest unused go.
 */
#ifndef BBM_CACHE_H
#define BBM_CACHE_H

#include "bbm_hash.h"
#include "bbm_time.h"

/** Runners that one index can tell apart. */
#define BBM_CACHE_RUNNERS_MAX 1024

/** How to make an index. */
typedef struct bbm_cache_desc {
    size_t entries_max;          /**< Entries over all runners; 0: 400,000. */
    bbm_time expected_ttl;       /**< Life of an unconfirmed entry; 0: 3 s. */
    bool unsafe_any_incarnation; /**< Tests only: incarnations are not
                                    compared. */
} bbm_cache_desc;

/** The index; opaque. */
typedef struct bbm_cache bbm_cache;

/** An empty index. */
bbm_cache *bbm_cache_create(const bbm_cache_desc *desc);
/** Release; NULL is allowed. */
void bbm_cache_destroy(bbm_cache *c);

/** A runner's incarnation and the blocks that it can hold; another
 *  incarnation than before drops its entries.  True if it was another. */
bool bbm_cache_set_runner(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                          size_t blocks);
/** Drop a runner's entries: events were lost, or its weights changed. */
void bbm_cache_clear(bbm_cache *c, uint32_t slot);

/** A block was stored; passed over if the incarnation isn't the present. */
void bbm_cache_store(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                     bbm_block_id id, bbm_time now);
/** A block was evicted; passed over likewise. */
void bbm_cache_remove(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                      bbm_block_id id);
/** A prompt with this block was sent there. */
void bbm_cache_expect(bbm_cache *c, uint32_t slot, bbm_block_id id,
                      bbm_time now);

/** Blocks of the chain, from its start, that a runner holds. */
size_t bbm_cache_match(const bbm_cache *c, uint32_t slot,
                       const bbm_block_id *ids, size_t len, bbm_time now);
/** The same for all runners: matched[slot] for every slot below @p slots.
 *  Costs one look-up for each block that any runner holds. */
void bbm_cache_match_all(const bbm_cache *c, const bbm_block_id *ids,
                         size_t len, bbm_time now, size_t *matched,
                         size_t slots);
/** Entries held. */
size_t bbm_cache_count(const bbm_cache *c);
/** Entries of a runner. */
size_t bbm_cache_count_of(const bbm_cache *c, uint32_t slot);

#endif
