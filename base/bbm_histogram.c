#include "bbm_histogram.h"

const int64_t bbm_histogram_bounds_ms[BBM_HISTOGRAM_BOUND_COUNT] = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000,
};

void
bbm_histogram_add(bbm_histogram *h, bbm_time duration)
{
    size_t i = 0;
    while (i < BBM_HISTOGRAM_BOUND_COUNT
           && duration > bbm_histogram_bounds_ms[i] * BBM_MS)
        i++;
    h->counts[i]++;
    h->total++;
    h->sum += duration;
}
