/** @file
 *  What every VM knows: configuration, keys and leaving VMs.
 *
 *  The registry is changed only by applying commands in log order, so that it
 *  is the same everywhere.  A revision number rises by one with each accepted
 *  publish and never goes back.
 *
 *      bbm_registry *reg = bbm_registry_create(64);
 *      bbm_registry_apply(reg, &command, &outcome);
 *      const bbm_config *cfg = bbm_registry_config(reg);   may be NULL
 *      if (bbm_registry_find_key(reg, &digest, &found)) ...
 *
 *  A publish either names the revision that it builds on, or bears a version
 *  of the operator's own: then the highest version wins, a lower one changes
 *  nothing, and the same one with another source is a conflict.
 *
 *  A key that was withdrawn stays withdrawn, also when a later configuration
 *  names it again.
 */
#ifndef BBM_REGISTRY_H
#define BBM_REGISTRY_H

#include "bbm_command.h"
#include "bbm_config.h"

/** Keys that one registry may hold, withdrawn ones included. */
#define BBM_KEYS_MAX 100000

/** A registry; opaque. */
typedef struct bbm_registry bbm_registry;

/** A revision in the history. */
typedef struct bbm_revision {
    uint64_t number;            /**< From 1. */
    int64_t at_ms;              /**< Calendar time, milliseconds. */
    char id[BBM_NAME_SIZE];     /**< Identifier of the publish. */
    char author[BBM_NAME_SIZE]; /**< Operator. */
    uint64_t version;           /**< The operator's own number; 0: none. */
    const char *text;           /**< The document; NULL if not kept here. */
    size_t len;                 /**< Its bytes. */
    const char *source;         /**< What it was made from, or NULL. */
    size_t source_len;          /**< Its bytes. */
} bbm_revision;

/** A key as it is found. */
typedef struct bbm_key_info {
    char name[BBM_NAME_SIZE];     /**< Of the key. */
    char customer[BBM_NAME_SIZE]; /**< Whose it is. */
    bool withdrawn;               /**< No longer valid. */
} bbm_key_info;

/** An empty registry that keeps the texts of so many revisions (at least
 *  the last). */
bbm_registry *bbm_registry_create(size_t texts_kept);
/** Release; NULL is allowed. */
void bbm_registry_destroy(bbm_registry *reg);

/** Apply a public command. */
void bbm_registry_apply(bbm_registry *reg, const bbm_command *cmd,
                        bbm_outcome *out);

/** The configuration in force, or NULL before the first. */
const bbm_config *bbm_registry_config(const bbm_registry *reg);
/** Number of the revision in force; 0 before the first. */
uint64_t bbm_registry_revision(const bbm_registry *reg);
/** The i-th revision of the history, oldest first; false past the end. */
bool bbm_registry_history(const bbm_registry *reg, size_t i,
                          bbm_revision *rev);

/** The revision in force; false before the first. */
bool bbm_registry_current(const bbm_registry *reg, bbm_revision *rev);

/** Newest version of a model's weights that was named; 0: none was. */
uint64_t bbm_registry_latest_weights(const bbm_registry *reg,
                                     const char *model);
/** Versions of a model's weights that are remembered. */
#define BBM_WEIGHTS_VERSIONS_MAX 8

/** A version of a model's weights. */
typedef struct bbm_weights_version {
    char model[BBM_NAME_SIZE]; /**< Which model. */
    uint64_t version;          /**< Its version. */
    int64_t at_ms;             /**< Calendar time at which it was named. */
} bbm_weights_version;

/** The i-th version that was named of any model, each model's oldest first;
 *  false past the end. */
bool bbm_registry_weights_at(const bbm_registry *reg, size_t i,
                             bbm_weights_version *named);

/** Find a valid key by the digest of what a caller showed. */
bool bbm_registry_find_key(const bbm_registry *reg, const bbm_digest *digest,
                           bbm_key_info *found);
/** True if a key of this name is valid. */
bool bbm_registry_key_valid(const bbm_registry *reg, const char *name);
/** The i-th key; false past the end. */
bool bbm_registry_key_at(const bbm_registry *reg, size_t i,
                         bbm_key_info *found);

/** True if a VM was told to leave. */
bool bbm_registry_is_draining(const bbm_registry *reg, const char *node);

/** Append the registry, with so many of its last revisions at most. */
void bbm_registry_encode(const bbm_registry *reg, size_t revisions,
                         bbm_buf *buf);
/** Replace the registry.  On an error it is unchanged. */
int bbm_registry_decode(bbm_registry *reg, bbm_reader *rd);

#endif
