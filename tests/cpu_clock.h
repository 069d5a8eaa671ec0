/** @file
 *  Processor time of the calling thread, for measurements.
 */
#ifndef CPU_CLOCK_H
#define CPU_CLOCK_H

#include <time.h>

/** Nanoseconds that this thread has run for. */
static inline double
cpu_clock_ns(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

#endif
