/** @file
 *  Times sorted into fixed buckets, for metrics.
 *
 *      bbm_histogram h = {0};
 *      bbm_histogram_add(&h, 12 * BBM_MS);
 *      h.counts[i]       times up to bbm_histogram_bounds_ms[i], not before
 */
#ifndef BBM_HISTOGRAM_H
#define BBM_HISTOGRAM_H

#include "bbm_time.h"

#include <stddef.h>

/** Buckets with an upper bound; one more has none. */
#define BBM_HISTOGRAM_BOUND_COUNT 12

/** Upper bounds, milliseconds. */
extern const int64_t bbm_histogram_bounds_ms[BBM_HISTOGRAM_BOUND_COUNT];

/** Times; all zero is empty. */
typedef struct bbm_histogram {
    uint64_t counts[BBM_HISTOGRAM_BOUND_COUNT + 1]; /**< In each bucket. */
    uint64_t total;                                 /**< In all. */
    bbm_time sum;                                   /**< Of the times. */
} bbm_histogram;

/** Add a time. */
void bbm_histogram_add(bbm_histogram *h, bbm_time time);

#endif
