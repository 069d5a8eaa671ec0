/** @file
 *  Partition of a pool's runners between short and long prompts.
 *
 *  Answers the load of long prompts beside streams whose events must not be
 *  far apart.  A runner processes a prompt in chunks between the decoding
 *  steps of its other requests, so each chunk delays all its running streams:
 *  a stream of many events beside steady prefill lasts several times as long,
 *  and occupies its slot for that time.  In a large pool, some runners are
 *  therefore left to the requests with short prompts.  Others may still be
 *  used, at a cost, if the own part of the pool is busy.
 *
 *  All VMs must choose about the same runners, so the size of the part comes
 *  from what all VMs know: the open requests of the pool and the memory that
 *  they need.  With the mean size of each class, these give the number of open
 *  requests by class.
 *
 *      bbm_partition p = {0};
 *      bbm_partition_add_request(&p, is_short, tokens);
 *      bbm_partition_update(&p, &load, now);
 *      if (bbm_partition_has_short(&p, rank)) ...
 *
 *  Pure: the caller passes in the time.
 */
#ifndef BBM_PARTITION_H
#define BBM_PARTITION_H

#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Sizes of the requests of one class, of this VM. */
typedef struct bbm_partition_class {
    double mean_tokens; /**< Mean memory that a request needs. */
    uint32_t samples;   /**< Number of requests seen, up to a maximum. */
} bbm_partition_class;

/** A partition.  A zeroed one is not divided. */
typedef struct bbm_partition {
    bbm_partition_class short_prompts;
    bbm_partition_class long_prompts;
    double share;        /**< Of the runners, for short prompts; 0: the pool is
                              not divided. */
    bbm_time updated_at; /**< Time of the last update; 0: none. */
} bbm_partition;

/** Load of the runners of a pool. */
typedef struct bbm_partition_load {
    double open_requests; /**< Of all VMs. */
    double memory_tokens; /**< That these need. */
    size_t runners;       /**< Number of runners in use. */
    uint32_t slots;       /**< Of one runner. */
} bbm_partition_load;

/** True if a prompt is short: its processing delays the events of a stream by
 *  a small part of the target gap between them at most. */
bool bbm_partition_is_short(double prefill_ms, double target_gap_ms);
/** Record a request that is sent to the pool. */
void bbm_partition_add_request(bbm_partition *p, bool is_short,
                               double memory_tokens);
/** Adapt the size of the part to the load. */
void bbm_partition_update(bbm_partition *p, const bbm_partition_load *load,
                          bbm_time now);
/** True if a runner belongs to the part for short prompts.
 *  @param rank The runner's place in an order that is the same on all VMs, 0
 *              to 1. */
bool bbm_partition_has_short(const bbm_partition *p, double rank);
/** A rank for a runner, from the hash of its id. */
double bbm_partition_rank(uint64_t upstream);

#endif
