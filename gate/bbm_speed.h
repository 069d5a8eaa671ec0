/** @file
 *  Estimates how fast the runners of a pool process prompts.
 *
 *  Answers the load of pools whose real rate differs from the configured one,
 *  and of pools in which some runners are several times slower than others.
 *  An answer gives a sample: the time until it began, relative to the time
 * that its prompt and those before it take at the configured rate.  The rate
 * of a pool is that of its median runner; a runner has a factor relative to
 * that.
 *
 *  Each VM sends a runner a request in 5 to 30 s, so VMs share their samples.
 *  An estimate is the quantile of the samples of the last 20 s at which
 *  temporary slowness and backlog that the VM didn't know of no longer show.
 *  A rate or factor that isn't significantly different counts as 1, as it does
 *  without enough samples; so equal runners at about the configured rate are
 *  treated as configured.
 *
 *      bbm_speed_begin_listing(s);
 *      bbm_speed_list(s, upstream, pool, run);
 *      bbm_speed_end_listing(s);
 *      bbm_speed_add(s, upstream, expected_ms, actual_ms, now);
 *      if (bbm_speed_update(s, now))
 *          rate = configured * bbm_speed_factor(s, upstream);
 *
 *  Pure: the caller passes in the time.
 */
#ifndef BBM_SPEED_H
#define BBM_SPEED_H

#include "bbm_pack.h"
#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of samples in a message. */
#define BBM_SPEED_NEWS_MAX 64

/** Speeds of upstreams; opaque. */
typedef struct bbm_speed bbm_speed;

/** Create it without upstreams. */
bbm_speed *bbm_speed_create(void);
/** Destroy it; NULL is allowed. */
void bbm_speed_destroy(bbm_speed *s);

/** Begin to state the upstreams that exist. */
void bbm_speed_begin_listing(bbm_speed *s);
/** State an upstream by the hashes of its id and of its pool's name.  Its
 *  samples are dropped if it has another run or pool than before. */
void bbm_speed_list(bbm_speed *s, uint64_t upstream, uint64_t pool,
                    uint64_t run);
/** Remove the upstreams that were not stated. */
void bbm_speed_end_listing(bbm_speed *s);

/** Add a sample of this VM, and queue it for the others.  Once an upstream has
 *  many samples, only some of them are queued.  Ignored if the upstream isn't
 *  listed.
 *  @param expected_ms Time until the answer begins, at the configured rate.
 *  @param actual_ms   Time until it began. */
void bbm_speed_add(bbm_speed *s, uint64_t upstream, double expected_ms,
                   double actual_ms, bbm_time now);
/** Number of queued samples. */
size_t bbm_speed_news_len(const bbm_speed *s);
/** Append the queued samples, up to the maximum, and remove them from the
 *  queue. */
void bbm_speed_put_news(bbm_speed *s, bbm_buf *buf);
/** Add the samples of a VM; if @p own, skip them.  Malformed input sets the
 *  reader's error. */
void bbm_speed_get_news(bbm_speed *s, bbm_reader *rd, bool own, bbm_time now);
/** Copy the samples of a message. */
void bbm_speed_copy_news(bbm_reader *rd, bbm_buf *buf);

/** Compute the factors from the samples, at most a few times per second.
 *  Returns true if a factor has changed. */
bool bbm_speed_update(bbm_speed *s, bbm_time now);
/** Rate of the pool relative to the configured one. */
double bbm_speed_pool_factor(const bbm_speed *s, uint64_t pool);
/** Rate of an upstream relative to its pool. */
double bbm_speed_factor(const bbm_speed *s, uint64_t upstream);
/** True if an upstream of the pool has another factor than 1. */
bool bbm_speed_is_uneven(const bbm_speed *s, uint64_t pool);

#endif
