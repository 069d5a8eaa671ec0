/** @file
 *  The last named versions of a model's weights, and when each was named.
 *
 *      bbm_versions v = {0};
 *      bbm_versions_add(&v, 2, now);
 *      bbm_time since = bbm_versions_overtaken_at(&v, 1);
 */
#ifndef BBM_VERSIONS_H
#define BBM_VERSIONS_H

#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of versions that are remembered. */
#define BBM_VERSIONS_MAX 8

/** Versions of one model, oldest first.  A zeroed one is empty. */
typedef struct bbm_versions {
    uint64_t numbers[BBM_VERSIONS_MAX];  /**< Their numbers, ascending. */
    bbm_time named_at[BBM_VERSIONS_MAX]; /**< When each was named. */
    size_t len;                          /**< Number of versions. */
} bbm_versions;

/** Add a version that was named at @p named_at; earlier ones count as named by
 *  then.  Returns false, without
 *  effect, if it isn't higher than the newest. */
bool bbm_versions_add(bbm_versions *v, uint64_t number, bbm_time named_at);
/** The newest version; 0 if there is none. */
uint64_t bbm_versions_newest(const bbm_versions *v);
/** When a version was named; BBM_NEVER if it isn't remembered. */
bbm_time bbm_versions_named_at(const bbm_versions *v, uint64_t number);
/** When the first of the remembered versions was named that is newer than this
 *  one; BBM_NEVER if none is, or if the number is 0 (unknown). */
bbm_time bbm_versions_overtaken_at(const bbm_versions *v, uint64_t number);

#endif
