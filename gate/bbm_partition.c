#include "bbm_partition.h"

#include "bbm_hash.h"

#include <math.h>

/* A prompt is short if its prefill takes at most this share of the target gap
   between events. */
#define SHORT_GAP_RATIO 0.1
/* Mean occupancy of the slots for which the part is sized.  The rest is left
   for bursts, and keeps decoding steps short. */
#define TARGET_OCCUPANCY 0.35
/* A smaller pool isn't divided: the caches of a few runners are a large part
   of its memory. */
#define RUNNERS_MIN 32
/* The part has this number of runners at least, so that the loss of one leaves
   another, and this share of the pool at most, as the long prompts need room
   for their shared prefixes. */
#define PART_RUNNERS_MIN 2.0
#define PART_SHARE_MAX 0.3
/* If a larger share of all slots is occupied, slots are scarce, and all are
   open to all requests.  The pool is divided again below the lower share, as
   each change moves homes of chains. */
#define DIVIDE_BELOW_OCCUPANCY 0.25
#define UNDIVIDE_ABOVE_OCCUPANCY 0.4
/* Requests of each class that must have been seen before the pool is divided.
   Later ones count with 1 / SAMPLES_MAX each. */
#define SAMPLES_MIN 10
#define SAMPLES_MAX 100
/* The mean sizes of the classes must differ by this ratio: otherwise the
   number of requests by class can't be told from the memory. */
#define SIZE_RATIO_MIN 2.0
/* Time constant of the smoothed share.  VMs with different shares choose
   different homes for a chain. */
#define SMOOTHING_TIME (2 * BBM_SECOND)

bool
bbm_partition_is_short(double prefill_ms, double target_gap_ms)
{
    return target_gap_ms > 0 && prefill_ms <= target_gap_ms * SHORT_GAP_RATIO;
}

void
bbm_partition_add_request(bbm_partition *p, bool is_short,
                          double memory_tokens)
{
    bbm_partition_class *c = is_short ? &p->short_prompts : &p->long_prompts;
    if (c->samples < SAMPLES_MAX)
        c->samples++;
    c->mean_tokens += (memory_tokens - c->mean_tokens) / c->samples;
}

static bool
has_both_classes(const bbm_partition *p)
{
    return p->short_prompts.samples >= SAMPLES_MIN
           && p->long_prompts.samples >= SAMPLES_MIN
           && p->long_prompts.mean_tokens
                  > p->short_prompts.mean_tokens * SIZE_RATIO_MIN;
}

/* Number of open requests with short prompts: what remains if the memory is
   divided among requests of the two mean sizes. */
static double
count_short(const bbm_partition *p, const bbm_partition_load *load)
{
    double small = p->short_prompts.mean_tokens;
    double large = p->long_prompts.mean_tokens;
    double n =
        (load->open_requests * large - load->memory_tokens) / (large - small);
    if (n < 0)
        return 0;
    return n < load->open_requests ? n : load->open_requests;
}

static bool
has_scarce_slots(const bbm_partition *p, const bbm_partition_load *load)
{
    double max =
        p->share > 0 ? UNDIVIDE_ABOVE_OCCUPANCY : DIVIDE_BELOW_OCCUPANCY;
    double slots = (double)load->slots * (double)load->runners;
    return load->open_requests > slots * max;
}

static double
share_for(const bbm_partition *p, const bbm_partition_load *load)
{
    double runners =
        count_short(p, load) / ((double)load->slots * TARGET_OCCUPANCY);
    if (runners < PART_RUNNERS_MIN)
        runners = PART_RUNNERS_MIN;
    double share = runners / (double)load->runners;
    return share < PART_SHARE_MAX ? share : PART_SHARE_MAX;
}

void
bbm_partition_update(bbm_partition *p, const bbm_partition_load *load,
                     bbm_time now)
{
    bbm_time span = now - p->updated_at;
    p->updated_at = now;
    if (load->runners < RUNNERS_MIN || !has_both_classes(p)
        || has_scarce_slots(p, load)) {
        p->share = 0;
        return;
    }
    double weight =
        p->share > 0 ? 1 - exp(-(double)span / (double)SMOOTHING_TIME) : 1;
    p->share += (share_for(p, load) - p->share) * weight;
}

bool
bbm_partition_has_short(const bbm_partition *p, double rank)
{
    return rank < p->share;
}

double
bbm_partition_rank(uint64_t upstream)
{
    static const uint64_t seed = 1;
    uint64_t hash = bbm_hash64(&upstream, sizeof(upstream), seed);
    return (double)(hash >> 32) / 4294967296.0;
}
