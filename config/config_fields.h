/** @file
 *  What the files of the service configuration share (private to the
 *  package).
 */
#ifndef CONFIG_FIELDS_H
#define CONFIG_FIELDS_H

#include "bbm_config.h"

/** Kinds of object, in the order in which they are read. */
typedef enum config_kind {
    KIND_RATES,
    KIND_CUSTOMERS,
    KIND_KEYS,
    KIND_WEIGHTS,
    KIND_MODELS,
    KIND_ENGINES,
    KIND_SERVICES,
    KIND_POOLS,
    KIND_STORES,
    KIND_LIMITS,
    KIND_ROUTES,
    KIND_OBJECTIVES,
    KIND_COUNT,
} config_kind;

/** The kinds, indexed by config_kind. */
extern const bbm_config_kind config_kinds[KIND_COUNT];

/** Set bbm_config.shared_scope from the customers. */
void config_set_shared_scope(bbm_config *cfg);

#endif
