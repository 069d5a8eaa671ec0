/** @file
 *  CPU time of the calling thread, for benchmarks.
 */
#ifndef CPU_CLOCK_H
#define CPU_CLOCK_H

#include <time.h>

/** CPU time consumed by this thread, in nanoseconds. */
static inline double
cpu_clock_ns(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

#endif
