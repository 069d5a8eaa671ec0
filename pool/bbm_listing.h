/** @file
 *  The upstreams of all pools at one moment, as listed by the service
 *  discovery of the platform.
 *
 *  One daemon reads the listing from the platform and sends it to the other
 *  ones, in full or as the difference from the previous one.  A changed start
 *  time under the same id means that the upstream has restarted, and lost
 *  everything that it held in memory.
 *
 *      bbm_listing now = {0};
 *      bbm_listing_entry entry = {.id = "i-7", .pool = "llm"};
 *      bbm_listing_add(&now, &entry);
 *      bbm_listing_diff(&before, &now, true, &buf);  append the changes
 *      bbm_listing_patch(&copy, &reader, true);      apply them on another VM
 *      bbm_listing_free(&now);
 */
#ifndef BBM_LISTING_H
#define BBM_LISTING_H

#include "bbm_pack.h"

/** Maximum number of models per runner. */
#define BBM_RUNNER_MODELS_MAX 4
/** Maximum number of entries in a listing. */
#define BBM_LISTING_MAX 4096

/** A model that a runner has loaded. */
typedef struct bbm_loaded_model {
    char name[BBM_NAME_SIZE]; /**< Name of the model. */
    uint64_t version;         /**< Version of its weights. */
} bbm_loaded_model;

/** An upstream in a listing. */
typedef struct bbm_listing_entry {
    char id[BBM_NAME_SIZE];      /**< Unique id; an upstream may keep it when
                                      it restarts. */
    char pool[BBM_NAME_SIZE];    /**< Pool that it belongs to. */
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    char zone[BBM_NAME_SIZE];    /**< Availability zone. */
    char build[BBM_NAME_SIZE];   /**< Version of its software, "" if
                                      unspecified; builds have no order. */
    uint64_t started_at_ms;      /**< Start time in Unix milliseconds; 0:
                                      unspecified. */
    uint32_t slots;              /**< Maximum number of concurrent requests; 0:
                                      unspecified. */
    bool leaving;                /**< Shutting down: gets no new requests. */
    bool loading;                /**< Loads weights, or is about to: gets no
                                      new requests until it has them. */
    bbm_loaded_model models[BBM_RUNNER_MODELS_MAX]; /**< Loaded models. */
    size_t models_len;                              /**< Number of models. */
} bbm_listing_entry;

/** A listing.  A zeroed one is empty. */
typedef struct bbm_listing {
    bbm_listing_entry *items; /**< Sorted by id; owned. */
    size_t len;               /**< Number of entries. */
    size_t cap;               /**< Allocated number of entries. */
} bbm_listing;

/** Add a copy of an entry, or replace the one with the same id.  A new entry
 *  is ignored if the listing is full. */
void bbm_listing_add(bbm_listing *l, const bbm_listing_entry *item);
/** Remove an entry; returns false if there is none with that id. */
bool bbm_listing_remove(bbm_listing *l, const char *id);
/** Find an entry by id, or NULL.  Valid until the listing changes. */
bbm_listing_entry *bbm_listing_find(const bbm_listing *l, const char *id);
/** Replace the entries of @p to by copies of those of @p from. */
void bbm_listing_copy(bbm_listing *to, const bbm_listing *from);
/** Free the entries; the listing is empty afterwards. */
void bbm_listing_free(bbm_listing *l);

/** Version of a model's weights that an upstream has loaded; 0: it hasn't
 *  loaded the model. */
uint64_t bbm_listing_entry_version(const bbm_listing_entry *u,
                                   const char *model);
/** Set that version.  A model that the entry lacks is added, or ignored if the
 *  entry has no space left. */
void bbm_listing_entry_set_version(bbm_listing_entry *u, const char *model,
                                   uint64_t version);

/** Append the encoded difference from @p before (NULL: an empty listing) to @p
 *  now, with the builds of the entries or without.  Returns the number of
 *  entries that were added, changed or removed. */
size_t bbm_listing_diff(const bbm_listing *before, const bbm_listing *now,
                        bool with_builds, bbm_buf *buf);
/** Apply an encoded difference, with builds if it has them and @p with_builds.
 *  Malformed input sets the reader's error; the changes before it are
 *  applied. */
void bbm_listing_patch(bbm_listing *l, bbm_reader *rd, bool with_builds);

#endif
