/** @file
 *  State that is replicated to every VM: configuration, API keys, weight
 *  versions, draining VMs and releases of software.
 *
 *  The registry changes only by commands applied in log order, and is
 *  therefore the same on all VMs.  The revision number rises by one with each
 *  accepted publish and never decreases.
 *
 *      bbm_registry *reg = bbm_registry_create(64);
 *      bbm_registry_apply(reg, &command, &outcome);
 *      const bbm_config *cfg = bbm_registry_config(reg);   may be NULL
 *      if (bbm_registry_find_key(reg, &digest, &info)) ...
 *
 *  A publish either gives the revision that it is based on, or carries a
 *  version chosen by the operator.  In the second case the highest version
 *  wins: a lower one changes nothing, and an equal one with a different
 *  source is a conflict.
 *
 *  A withdrawn key stays withdrawn, even if a later configuration contains
 *  it.
 */
#ifndef BBM_REGISTRY_H
#define BBM_REGISTRY_H

#include "bbm_command.h"
#include "bbm_config.h"

/** Maximum number of keys, withdrawn ones included. */
#define BBM_KEYS_MAX 100000

/** A registry; opaque. */
typedef struct bbm_registry bbm_registry;

/** A revision of the configuration. */
typedef struct bbm_revision {
    uint64_t number;            /**< From 1. */
    int64_t at_ms;              /**< Calendar time of the publish,
                                     milliseconds. */
    char id[BBM_NAME_SIZE];     /**< Identifier of the publish. */
    char author[BBM_NAME_SIZE]; /**< Operator. */
    uint64_t version;           /**< Operator's version; 0: none given. */
    const char *text;           /**< Configuration document; NULL if it is no
                                     longer stored here. */
    size_t len;                 /**< Bytes of text, also if it is NULL. */
    const char *source;         /**< Document that the text was generated
                                     from; NULL like text. */
    size_t source_len;          /**< Bytes of source, also if it is NULL. */
} bbm_revision;

/** Public attributes of a key. */
typedef struct bbm_key_info {
    char name[BBM_NAME_SIZE];     /**< Name of the key. */
    char customer[BBM_NAME_SIZE]; /**< Customer that the key belongs to. */
    bool withdrawn;               /**< No longer valid. */
} bbm_key_info;

/** Create an empty registry that stores the texts of the last
 *  @p revision_texts_max revisions; 0 means 1. */
bbm_registry *bbm_registry_create(size_t revision_texts_max);
/** Free a registry; NULL is allowed. */
void bbm_registry_destroy(bbm_registry *reg);

/** Apply a command of a public type; any other gives BBM_ERR_ARGUMENT. */
void bbm_registry_apply(bbm_registry *reg, const bbm_command *cmd,
                        bbm_outcome *out);

/** Configuration in force; NULL before the first publish.  Valid until the
 *  next publish or decode. */
const bbm_config *bbm_registry_config(const bbm_registry *reg);
/** Number of the revision in force; 0 before the first publish. */
uint64_t bbm_registry_revision(const bbm_registry *reg);
/** The i-th of the last 1024 revisions, oldest first; false past the end.
 *  The texts belong to the registry. */
bool bbm_registry_history(const bbm_registry *reg, size_t i,
                          bbm_revision *rev);

/** Revision in force; false before the first publish. */
bool bbm_registry_current(const bbm_registry *reg, bbm_revision *rev);

/** Latest announced version of a model's weights; 0 if there is none. */
uint64_t bbm_registry_latest_weights(const bbm_registry *reg,
                                     const char *model);
/** Maximum number of weight versions stored per model; a new one replaces the
 *  oldest. */
#define BBM_WEIGHTS_VERSIONS_MAX 8

/** An announced version of a model's weights. */
typedef struct bbm_weights_version {
    char model[BBM_NAME_SIZE]; /**< Name of the model. */
    uint64_t version;          /**< Higher than the model's versions before
                                    it. */
    int64_t at_ms;             /**< Calendar time of the announcement,
                                    milliseconds. */
} bbm_weights_version;

/** The i-th stored weight version, grouped by model, each model's oldest
 *  first; false past the end. */
bool bbm_registry_weights_at(const bbm_registry *reg, size_t i,
                             bbm_weights_version *entry);

/** Maximum number of quarantined prompt parts; further ones are ignored. */
#define BBM_QUARANTINED_MAX 256
/** The i-th quarantined prompt part; false past the end. */
bool bbm_registry_quarantined_at(const bbm_registry *reg, size_t i,
                                 bbm_quarantined *q);
/** True if a prompt part is quarantined. */
bool bbm_registry_is_quarantined(const bbm_registry *reg, uint64_t part);

/** Releases of software; valid until the next change of the registry. */
const bbm_releases *bbm_registry_releases(const bbm_registry *reg);

/** Find a valid key by the digest of the presented secret. */
bool bbm_registry_find_key(const bbm_registry *reg, const bbm_digest *digest,
                           bbm_key_info *info);
/** True if a valid key has this name. */
bool bbm_registry_key_valid(const bbm_registry *reg, const char *name);
/** The i-th key; false past the end. */
bool bbm_registry_key_at(const bbm_registry *reg, size_t i,
                         bbm_key_info *info);

/** True if a VM is marked as draining. */
bool bbm_registry_is_draining(const bbm_registry *reg, const char *node);

/** Append the encoded registry with at most the last @p revisions revisions,
 *  and with what builds of @p format know. */
void bbm_registry_encode(const bbm_registry *reg, size_t revisions,
                         bbm_format format, bbm_buf *buf);
/** Replace the registry by a decoded one.  BBM_ERR_DECODE leaves it
 *  unchanged.
 *  @param format Format for which it was encoded, or any one for which it
 *         would have been encoded in the same way. */
int bbm_registry_decode(bbm_registry *reg, bbm_format format, bbm_reader *rd);

/** Bytes of the texts that are kept of all revisions. */
size_t bbm_registry_text_bytes(const bbm_registry *reg);

#endif
