#include "bbm_speed.h"

#include "bbm_mem.h"
#include "bbm_table.h"

#include <math.h>
#include <stdlib.h>

/* A sample is the binary logarithm of actual by expected time, in steps of an
   eighth, from 1/16 to 16. */
#define STEPS_PER_OCTAVE 8.0
#define BINS 64
#define BIN_OF_ONE 32
/* Time constant with which samples are forgotten. */
#define MEMORY_TIME (20 * BBM_SECOND)
#define UPDATE_PERIOD (200 * BBM_MS)
/* Quantile of the samples that is taken as the time of an upstream.  Backlog
   that the sender didn't know of, slow moments of the upstream and delays on
   the way all make answers later, so it is below the median. */
#define TIME_QUANTILE 0.35
/* Number of samples from which an upstream is judged, and below which a factor
   is given up; and the number of samples of a pool. */
#define SAMPLES_MIN 10.0
#define SAMPLES_KEEP 3.0
#define POOL_SAMPLES_MIN 50.0
/* Number of judged upstreams that a pool must have for its rate to be known.
 */
#define JUDGED_MIN 4
/* An upstream whose time differs from that of its pool by the first ratio gets
   a factor, and keeps it down to the second.  Loads of equal upstreams that
   VMs hear of late differ by a fifth. */
#define DIFFERS_OCTAVES 0.5
#define KEEPS_OCTAVES 0.3
/* The same of a pool against its configured rate.  A busy pool looks slower
   than it is, so that takes more. */
#define POOL_FASTER_OCTAVES 0.585
#define POOL_SLOWER_OCTAVES 1.0
#define POOL_KEEPS_OCTAVES 0.45
/* A difference must be this many times its standard error. */
#define ERRORS_MIN 3.0
/* Limits of factors. */
#define FACTOR_OCTAVES_MAX 2.0
/* A factor follows the estimate only beyond this change. */
#define FACTOR_STEP_OCTAVES 0.08
/* Once an upstream has this number of samples, one in SHARED_ONE_IN is sent to
   the other VMs. */
#define SHARED_ALL_BELOW 20.0
#define SHARED_ONE_IN 4

typedef struct pool_speed {
    uint64_t hash;
    double factor_octaves; /* of the rate; 0: as configured */
    double time_octaves;   /* of its median upstream; valid if known */
    bool known;
    bool uneven;
    UT_hash_handle hh;
} pool_speed;

typedef struct upstream_speed {
    uint32_t id; /* lower half of the hash: a sample takes 6 bytes */
    uint64_t run;
    pool_speed *pool;
    bool listed;
    float bins[BINS];
    double weight; /* sum of bins */
    bbm_time decayed_at;
    uint32_t own_samples;
    double time_octaves; /* valid if judged */
    double error_octaves;
    bool judged;
    double factor_octaves;
    UT_hash_handle hh; /* by id */
} upstream_speed;

typedef struct sample {
    uint32_t id;
    uint8_t bin;
} sample;

struct bbm_speed {
    upstream_speed *upstreams;
    pool_speed *pools;
    sample news[BBM_SPEED_NEWS_MAX];
    size_t news_len;
    bbm_time updated_at;
};

bbm_speed *
bbm_speed_create(void)
{
    return bbm_calloc(1, sizeof(bbm_speed));
}

void
bbm_speed_destroy(bbm_speed *s)
{
    if (!s)
        return;
    BBM_TABLE_FREE(upstream_speed, s->upstreams);
    BBM_TABLE_FREE(pool_speed, s->pools);
    free(s);
}

/* ---- listing ---- */

static upstream_speed *
find_upstream(const bbm_speed *s, uint32_t id)
{
    upstream_speed *u = NULL;
    HASH_FIND(hh, s->upstreams, &id, sizeof(id), u);
    return u;
}

static pool_speed *
find_pool(const bbm_speed *s, uint64_t hash)
{
    pool_speed *p = NULL;
    HASH_FIND(hh, s->pools, &hash, sizeof(hash), p);
    return p;
}

void
bbm_speed_begin_listing(bbm_speed *s)
{
    for (upstream_speed *u = s->upstreams; u; u = u->hh.next)
        u->listed = false;
}

void
bbm_speed_list(bbm_speed *s, uint64_t upstream, uint64_t pool, uint64_t run)
{
    uint32_t id = (uint32_t)upstream;
    upstream_speed *u = find_upstream(s, id);
    if (u && u->run == run && u->pool->hash == pool) {
        u->listed = true;
        return;
    }
    pool_speed *p = find_pool(s, pool);
    if (!p) {
        p = bbm_calloc(1, sizeof(*p));
        p->hash = pool;
        HASH_ADD(hh, s->pools, hash, sizeof(p->hash), p);
    }
    if (u) {
        HASH_DEL(s->upstreams, u);
        free(u);
    }
    u = bbm_calloc(1, sizeof(*u));
    u->id = id;
    u->run = run;
    u->pool = p;
    u->listed = true;
    HASH_ADD(hh, s->upstreams, id, sizeof(u->id), u);
}

void
bbm_speed_end_listing(bbm_speed *s)
{
    upstream_speed *u, *next;
    HASH_ITER(hh, s->upstreams, u, next)
    {
        if (u->listed)
            continue;
        HASH_DEL(s->upstreams, u);
        free(u);
    }
}

/* ---- samples ---- */

static void
decay(upstream_speed *u, bbm_time now)
{
    if (now <= u->decayed_at)
        return;
    double left = exp(-(double)(now - u->decayed_at) / (double)MEMORY_TIME);
    u->weight = 0;
    for (size_t i = 0; i < BINS; i++) {
        u->bins[i] *= (float)left;
        u->weight += (double)u->bins[i];
    }
    u->decayed_at = now;
}

static void
add_sample(upstream_speed *u, uint8_t bin, bbm_time now)
{
    decay(u, now);
    u->bins[bin] += 1;
    u->weight += 1;
}

void
bbm_speed_add(bbm_speed *s, uint64_t upstream, double expected_ms,
              double actual_ms, bbm_time now)
{
    upstream_speed *u = find_upstream(s, (uint32_t)upstream);
    if (!u || expected_ms <= 0 || actual_ms <= 0)
        return;
    double bin =
        BIN_OF_ONE + round(log2(actual_ms / expected_ms) * STEPS_PER_OCTAVE);
    sample x = {
        .id = u->id,
        .bin = (uint8_t)(bin < 0          ? 0
                         : bin > BINS - 1 ? BINS - 1
                                          : bin),
    };
    add_sample(u, x.bin, now);
    bool shared =
        u->weight < SHARED_ALL_BELOW || u->own_samples % SHARED_ONE_IN == 0;
    u->own_samples++;
    if (shared && s->news_len < BBM_SPEED_NEWS_MAX)
        s->news[s->news_len++] = x;
}

size_t
bbm_speed_news_len(const bbm_speed *s)
{
    return s->news_len;
}

static void
put_sample(bbm_buf *buf, const sample *x)
{
    bbm_put_u64(buf, x->id);
    bbm_put_u64(buf, x->bin);
}

static sample
get_sample(bbm_reader *rd)
{
    sample x = {.id = bbm_get_u32(rd, UINT32_MAX)};
    x.bin = (uint8_t)bbm_get_u32(rd, BINS - 1);
    return x;
}

void
bbm_speed_put_news(bbm_speed *s, bbm_buf *buf)
{
    bbm_put_u64(buf, s->news_len);
    for (size_t i = 0; i < s->news_len; i++)
        put_sample(buf, &s->news[i]);
    s->news_len = 0;
}

void
bbm_speed_get_news(bbm_speed *s, bbm_reader *rd, bool own, bbm_time now)
{
    size_t len = bbm_get_u32(rd, BBM_SPEED_NEWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        sample x = get_sample(rd);
        upstream_speed *u = rd->failed || own ? NULL : find_upstream(s, x.id);
        if (u)
            add_sample(u, x.bin, now);
    }
}

void
bbm_speed_copy_news(bbm_reader *rd, bbm_buf *buf)
{
    size_t len = bbm_get_u32(rd, BBM_SPEED_NEWS_MAX);
    bbm_put_u64(buf, len);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        sample x = get_sample(rd);
        put_sample(buf, &x);
    }
}

/* ---- estimates ---- */

/* Time in octaves below which this share of the samples lies. */
static double
quantile(const upstream_speed *u, double share)
{
    double left = u->weight * share;
    for (size_t i = 0; i < BINS; i++) {
        double bin = (double)u->bins[i];
        if (bin > 0 && left <= bin)
            return ((double)i - BIN_OF_ONE - 0.5 + left / bin)
                   / STEPS_PER_OCTAVE;
        left -= bin;
    }
    return (BINS - 1 - BIN_OF_ONE) / STEPS_PER_OCTAVE;
}

static void
judge(upstream_speed *u, bbm_time now)
{
    decay(u, now);
    bool has_factor = u->factor_octaves != 0;
    u->judged = u->weight >= (has_factor ? SAMPLES_KEEP : SAMPLES_MIN);
    if (!u->judged)
        return;
    u->time_octaves = quantile(u, TIME_QUANTILE);
    /* Of a normal distribution, whose quartiles are 1.35 standard deviations
       apart; a quantile has a larger error than the mean. */
    double deviation = (quantile(u, 0.75) - quantile(u, 0.25)) / 1.35;
    u->error_octaves = 1.3 * deviation / sqrt(u->weight);
}

static int
compare_times(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Sets the time of a pool: the median of its judged upstreams. */
static void
judge_pool(const bbm_speed *s, pool_speed *p)
{
    double *times = bbm_calloc(HASH_COUNT(s->upstreams) + 1, sizeof(*times));
    size_t len = 0;
    double weight = 0;
    for (const upstream_speed *u = s->upstreams; u; u = u->hh.next) {
        if (u->pool != p)
            continue;
        weight += u->weight;
        if (u->judged)
            times[len++] = u->time_octaves;
    }
    p->known = len >= JUDGED_MIN && weight >= POOL_SAMPLES_MIN;
    if (p->known) {
        qsort(times, len, sizeof(*times), compare_times);
        p->time_octaves = (times[len / 2] + times[(len - 1) / 2]) / 2;
    }
    free(times);
}

static double
limited(double octaves)
{
    return octaves > FACTOR_OCTAVES_MAX    ? FACTOR_OCTAVES_MAX
           : octaves < -FACTOR_OCTAVES_MAX ? -FACTOR_OCTAVES_MAX
                                           : octaves;
}

/* Sets a factor unless it changes by little; true if it was set. */
static bool
set_factor(double *factor, double octaves)
{
    octaves = limited(octaves);
    bool changed = octaves == 0
                       ? *factor != 0
                       : fabs(octaves - *factor) >= FACTOR_STEP_OCTAVES;
    if (changed)
        *factor = octaves;
    return changed;
}

static bool
update_pool(const bbm_speed *s, pool_speed *p)
{
    judge_pool(s, p);
    /* Without enough samples, the last rate is the best guess. */
    if (!p->known)
        return false;
    double faster = -p->time_octaves;
    bool keeps = p->factor_octaves != 0 && fabs(faster) >= POOL_KEEPS_OCTAVES;
    bool differs = keeps || faster >= POOL_FASTER_OCTAVES
                   || faster <= -POOL_SLOWER_OCTAVES;
    return set_factor(&p->factor_octaves, differs ? faster : 0);
}

static bool
update_upstream(upstream_speed *u)
{
    if (!u->judged || !u->pool->known)
        return set_factor(&u->factor_octaves, 0);
    double faster = u->pool->time_octaves - u->time_octaves;
    bool has_factor = u->factor_octaves != 0;
    double least = has_factor ? KEEPS_OCTAVES : DIFFERS_OCTAVES;
    bool differs =
        fabs(faster) >= least
        && (has_factor || fabs(faster) >= ERRORS_MIN * u->error_octaves);
    return set_factor(&u->factor_octaves, differs ? faster : 0);
}

bool
bbm_speed_update(bbm_speed *s, bbm_time now)
{
    if (s->updated_at && now - s->updated_at < UPDATE_PERIOD)
        return false;
    s->updated_at = now;
    bool changed = false;
    for (upstream_speed *u = s->upstreams; u; u = u->hh.next)
        judge(u, now);
    for (pool_speed *p = s->pools; p; p = p->hh.next) {
        changed = update_pool(s, p) || changed;
        p->uneven = false;
    }
    for (upstream_speed *u = s->upstreams; u; u = u->hh.next) {
        changed = update_upstream(u) || changed;
        u->pool->uneven = u->pool->uneven || u->factor_octaves != 0;
    }
    return changed;
}

double
bbm_speed_pool_factor(const bbm_speed *s, uint64_t pool)
{
    const pool_speed *p = find_pool(s, pool);
    return p ? exp2(p->factor_octaves) : 1;
}

double
bbm_speed_factor(const bbm_speed *s, uint64_t upstream)
{
    const upstream_speed *u = find_upstream(s, (uint32_t)upstream);
    return u ? exp2(u->factor_octaves) : 1;
}

bool
bbm_speed_is_uneven(const bbm_speed *s, uint64_t pool)
{
    const pool_speed *p = find_pool(s, pool);
    return p && p->uneven;
}
