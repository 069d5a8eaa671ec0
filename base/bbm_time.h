/** @file
 *  Time in the state machines.
 *
 *  State machines get the current time as a parameter: nanoseconds of a
 *  monotonic clock of unspecified origin.  They don't read a clock themselves.
 *  Durations have the same unit.
 *
 *      bbm_time deadline = now + 1800 * BBM_MS;
 *      if (now >= deadline) ...
 */
#ifndef BBM_TIME_H
#define BBM_TIME_H

#include <stdint.h>

/** Nanoseconds, monotonic; also a duration in nanoseconds. */
typedef int64_t bbm_time;

#define BBM_US ((bbm_time)1000)           /**< One microsecond. */
#define BBM_MS ((bbm_time)1000000)        /**< One millisecond. */
#define BBM_SECOND ((bbm_time)1000000000) /**< One second. */
#define BBM_NEVER INT64_MAX               /**< Later than any time. */

#endif
