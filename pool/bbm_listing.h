/** @file
 *  The upstreams of all pools at one moment, as discovery tells of them.
 *
 *  A listing is read from the platform by one daemon and told to the others,
 *  whole or as the difference to the one before.  An upstream is known by its
 *  id and the moment of its start: one that starts anew under its id has lost
 *  all that it held.
 *
 *      bbm_listing now = {0};
 *      bbm_listing_add(&now, &(bbm_listing_entry){.id = "i-7", .pool =
 * "llm"}); bbm_listing_diff(&before, &now, &buf);      what changed, encoded
 *      bbm_listing_patch(&theirs, &reader);        take it over elsewhere
 *      bbm_listing_free(&now);
 */
#ifndef BBM_LISTING_H
#define BBM_LISTING_H

#include "bbm_pack.h"

/** Models that one runner may hold. */
#define BBM_RUNNER_MODELS_MAX 4
/** Upstreams in a listing. */
#define BBM_LISTING_MAX 4096

/** A model that a runner holds. */
typedef struct bbm_loaded_model {
    char name[BBM_NAME_SIZE]; /**< Which. */
    uint64_t version;         /**< Of its weights. */
} bbm_loaded_model;

/** An upstream as it is listed. */
typedef struct bbm_listing_entry {
    char id[BBM_NAME_SIZE];      /**< Of this start, or of several. */
    char pool[BBM_NAME_SIZE];    /**< Which it serves. */
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    char zone[BBM_NAME_SIZE];    /**< Availability zone. */
    uint64_t started_at_ms;      /**< Calendar time of its start; 0: untold. */
    uint32_t slots;              /**< Requests at once; 0: untold. */
    bool leaving;                /**< Gets no new work. */
    bool loading;                /**< Is about to take, or takes, weights. */
    bbm_loaded_model models[BBM_RUNNER_MODELS_MAX]; /**< What it holds. */
    size_t models_len;                              /**< How many. */
} bbm_listing_entry;

/** A listing; all zero is an empty one. */
typedef struct bbm_listing {
    bbm_listing_entry *items; /**< By id. */
    size_t len;               /**< How many. */
    size_t cap;               /**< Room. */
} bbm_listing;

/** Add an upstream, or replace the one of the same id. */
void bbm_listing_add(bbm_listing *l, const bbm_listing_entry *item);
/** Remove an upstream; false if it isn't there. */
bool bbm_listing_remove(bbm_listing *l, const char *id);
/** An upstream by id, or NULL; valid until the listing changes. */
bbm_listing_entry *bbm_listing_find(const bbm_listing *l, const char *id);
/** Make @p to the same as @p from. */
void bbm_listing_copy(bbm_listing *to, const bbm_listing *from);
/** Release the items and make the listing empty. */
void bbm_listing_free(bbm_listing *l);

/** Version of a model that an upstream holds; 0: none. */
uint64_t bbm_listing_entry_version(const bbm_listing_entry *u,
                                   const char *model);
/** Set it; a model that it doesn't hold yet is added while room lasts. */
void bbm_listing_entry_set_version(bbm_listing_entry *u, const char *model,
                                   uint64_t version);

/** Append what turns @p before into @p now; NULL for an empty one.  Returns
 *  the changes. */
size_t bbm_listing_diff(const bbm_listing *before, const bbm_listing *now,
                        bbm_buf *buf);
/** Carry out encoded changes; sets the reader's error. */
void bbm_listing_patch(bbm_listing *l, bbm_reader *rd);

#endif
