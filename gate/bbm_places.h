/** @file
 *  Where the shared parts of prompts are kept, as far as placements tell.
 *
 *  A runner keeps what it has read until newer parts need the room.  Nobody
 *  asks it: each VM tells the others where it sent which parts, and all count
 *  how many tokens followed them there.
 *
 *      bbm_places *p = bbm_places_create();
 *      bbm_places_add(p, &placed, now);           one's own, or one told
 *      bbm_place_query q = {.key = key, .holder = runner, .room = 80000};
 *      if (bbm_places_find_held(p, &q, now)) ... it is likely there ...
 *
 *  The load it answers: prompts with long shared parts of which each runner
 *  keeps a few seconds' worth, sent by many VMs.  Reports of the runners
 *  themselves would be exact, but come late, and each runner serves few that
 *  ask.
 */
#ifndef BBM_PLACES_H
#define BBM_PLACES_H

#include "bbm_pack.h"
#include "bbm_time.h"

/** Prefixes of a prompt that are told. */
#define BBM_PLACEMENT_PREFIXES_MAX 4
/** Holders of one prefix that are remembered. */
#define BBM_HOLDERS_MAX 6
/** Placements in a message. */
#define BBM_PLACEMENTS_MAX 4096

/** A request was sent. */
typedef struct bbm_placement {
    uint64_t holder;        /**< Hash of the upstream's id. */
    uint64_t store;         /**< Hash of the store that gets what was
                                 read; 0: none. */
    uint64_t source;        /**< Hash of the store that it is fetched
                                 from; 0: none. */
    uint32_t new_tokens;    /**< Tokens that were not there before. */
    uint32_t ready_ms;      /**< Until its prompt is read. */
    uint32_t prefixes_held; /**< Of its prefixes so many were there. */
    uint32_t keys_len;      /**< How many prefixes. */
    uint64_t
        keys[BBM_PLACEMENT_PREFIXES_MAX]; /**< Shared ones, shortest first;
                                    each is a hash of its parts, of the weights
                                    and of who may share it. */
} bbm_placement;

/** Append a row. */
void bbm_placement_put(bbm_buf *buf, const bbm_placement *row);
/** Read a row; sets the reader's error. */
void bbm_placement_get(bbm_reader *rd, bbm_placement *row);

/** A holder of a prefix. */
typedef struct bbm_holder {
    uint64_t holder;    /**< Hash of the upstream's id, or of the store. */
    bbm_time sent_at;   /**< It was first sent there. */
    bbm_time ready_at;  /**< It has been read. */
    double tokens_mark; /**< Tokens sent to the holder by its last use. */
} bbm_holder;

/** Whether a holder has a prefix. */
typedef struct bbm_place_query {
    uint64_t key;           /**< Prefix. */
    uint64_t holder;        /**< Upstream or store. */
    double capacity_tokens; /**< Tokens that it keeps. */
    bbm_time emptied_at;    /**< It was emptied then. */
} bbm_place_query;

/** The places; opaque. */
typedef struct bbm_places bbm_places;

/** Nothing is known. */
bbm_places *bbm_places_create(void);
/** Release; NULL is allowed. */
void bbm_places_destroy(bbm_places *p);
/** A request was sent. */
void bbm_places_add(bbm_places *p, const bbm_placement *row, bbm_time now);
/** Its row if a holder was sent a prefix and likely still has it, or NULL. */
const bbm_holder *bbm_places_find_held(const bbm_places *p,
                                       const bbm_place_query *q);
/** True if a prefix was ever sent anywhere. */
bool bbm_places_contains(const bbm_places *p, uint64_t key);
/** All holders of a prefix, had or not. */
const bbm_holder *bbm_places_holders(const bbm_places *p, uint64_t key,
                                     size_t *len);

#endif
