/** @file
 *  Index of shared prompt prefixes and the upstreams and stores that likely
 *  hold them in their KV cache.
 *
 *  A runner caches the prompts that it has processed until newer ones need the
 *  space.  The index doesn't query runners: each VM broadcasts its placements
 *  (which prompt was sent to which upstream), and every VM counts the tokens
 *  that were sent to a holder since the last use of a prefix there.  Once they
 *  exceed the holder's cache capacity, the prefix counts as evicted.
 *
 *      bbm_places *p = bbm_places_create();
 *      bbm_places_add(p, &placement, now);     of this VM or another one
 *      bbm_place_query q = {
 *          .key = key, .holder = runner, .capacity_tokens = 80000};
 *      if (bbm_places_find_held(p, &q)) ... likely cached there ...
 *
 *  Designed for prompts with long shared prefixes, sent by many VMs to runners
 *  whose caches hold only a few seconds of traffic.  Cache reports of the
 *  runners would be exact, but they arrive late, and a runner can answer the
 *  polls of only a few VMs.
 */
#ifndef BBM_PLACES_H
#define BBM_PLACES_H

#include "bbm_pack.h"
#include "bbm_time.h"

/** Maximum number of prefixes in a placement. */
#define BBM_PLACEMENT_PREFIXES_MAX 4
/** Maximum number of holders that are recorded per prefix. */
#define BBM_HOLDERS_MAX 6
/** Maximum number of placements in a message. */
#define BBM_PLACEMENTS_MAX 4096

/** A placement: the record that a request was sent to an upstream. */
typedef struct bbm_placement {
    uint64_t holder;     /**< Hash of the upstream's id. */
    uint64_t store;      /**< Hash of the store that gets a copy of new cache
                              entries; 0: none. */
    uint64_t source;     /**< Hash of the store that the upstream fetches
                              cached entries from; 0: none. */
    uint32_t new_tokens; /**< Tokens that the request adds to the holder's
                              cache: the uncached part of the prompt, and the
                              output limit. */
    uint32_t ready_ms;   /**< Expected time from the placement until the prompt
                              has been processed. */
    uint32_t prefixes_held; /**< Number of keys, from the first, whose prefixes
                                 the holder already had. */
    uint32_t keys_len;      /**< Number of keys. */
    uint64_t keys[BBM_PLACEMENT_PREFIXES_MAX]; /**< Shared prefixes, shortest
                                                    first.  Each key is a hash
                                                    of the parts, of the
                                                    version of the weights and
                                                    of the customers that may
                                                    share the prefix. */
} bbm_placement;

/** Append a placement. */
void bbm_placement_put(bbm_buf *buf, const bbm_placement *row);
/** Read a placement; malformed input sets the reader's error. */
void bbm_placement_get(bbm_reader *rd, bbm_placement *row);

/** A holder of a prefix. */
typedef struct bbm_holder {
    uint64_t holder;   /**< Hash of the upstream's id or of the store's
                            address. */
    bbm_time sent_at;  /**< When the holder was last sent the prefix without
                            having it already. */
    bbm_time ready_at; /**< From then on it is expected to be in the cache. */
    double tokens_at_last_use; /**< Count of all tokens sent to the holder, as
                                    of the last use of the prefix there. */
} bbm_holder;

/** The question whether a holder still has a prefix. */
typedef struct bbm_place_query {
    uint64_t key;           /**< Key of the prefix. */
    uint64_t holder;        /**< Hash of the upstream or store. */
    double capacity_tokens; /**< Cache capacity of the holder in tokens. */
    bbm_time emptied_at;    /**< When the holder's cache was last emptied; 0:
                                 never. */
} bbm_place_query;

/** An index; opaque. */
typedef struct bbm_places bbm_places;

/** Create an empty index. */
bbm_places *bbm_places_create(void);
/** Destroy an index; NULL is allowed. */
void bbm_places_destroy(bbm_places *p);
/** Smoothed rate of placements of a prefix, per second. */
double bbm_places_rate(const bbm_places *p, uint64_t key, bbm_time now);
/** Record a placement of any VM, received at @p now. */
void bbm_places_add(bbm_places *p, const bbm_placement *row, bbm_time now);
/** The holder's record if it was sent the prefix and likely still has it;
 *  otherwise NULL.  Valid until the next bbm_places_add. */
const bbm_holder *bbm_places_find_held(const bbm_places *p,
                                       const bbm_place_query *q);
/** True if a placement of the prefix is on record. */
bool bbm_places_contains(const bbm_places *p, uint64_t key);
/** All recorded holders of a prefix, including those that have likely evicted
 *  it; NULL if there are none.  Valid until the next bbm_places_add. */
const bbm_holder *bbm_places_holders(const bbm_places *p, uint64_t key,
                                     size_t *len);

#endif
