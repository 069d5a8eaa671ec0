/** @file
 *  Histogram of durations with fixed buckets, for metrics.
 *
 *      bbm_histogram h = {0};
 *      bbm_histogram_add(&h, 12 * BBM_MS);
 *      h.counts[i]   durations above bound i - 1 and up to bound i
 */
#ifndef BBM_HISTOGRAM_H
#define BBM_HISTOGRAM_H

#include "bbm_time.h"

#include <stddef.h>

/** Number of upper bounds; one further bucket has none. */
#define BBM_HISTOGRAM_BOUND_COUNT 12

/** Upper bounds in milliseconds, inclusive. */
extern const int64_t bbm_histogram_bounds_ms[BBM_HISTOGRAM_BOUND_COUNT];

/** A histogram; all zero is empty. */
typedef struct bbm_histogram {
    uint64_t counts[BBM_HISTOGRAM_BOUND_COUNT
                    + 1]; /**< Per bucket, not cumulative. */
    uint64_t total;       /**< Number of all durations. */
    bbm_time sum;         /**< Sum of all durations, in ns. */
} bbm_histogram;

/** Add a duration. */
void bbm_histogram_add(bbm_histogram *h, bbm_time duration);

#endif
