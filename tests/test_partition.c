/* The partition of a pool's runners between short and long prompts. */
#include "bbm_hash.h"
#include "bbm_partition.h"
#include "test_main.h"

#include <string.h>

#define RUNNERS 90
#define SLOTS 32
#define SHORT_TOKENS 875.0
#define LONG_TOKENS 9200.0

static bbm_partition
create_sampled(void)
{
    bbm_partition p = {0};
    for (int i = 0; i < 50; i++) {
        bbm_partition_add_request(&p, true, SHORT_TOKENS);
        bbm_partition_add_request(&p, false, LONG_TOKENS);
    }
    return p;
}

static bbm_partition_load
load_of(double short_open, double long_open)
{
    return (bbm_partition_load){
        .open_requests = short_open + long_open,
        .memory_tokens = short_open * SHORT_TOKENS + long_open * LONG_TOKENS,
        .runners = RUNNERS,
        .slots = SLOTS,
    };
}

START_TEST(classes_by_the_delay_of_events)
{
    ck_assert(bbm_partition_is_short(9, 300));
    ck_assert(!bbm_partition_is_short(98, 300));
    ck_assert(!bbm_partition_is_short(9, 0));
}
END_TEST

/* 170 open requests need 15.2 runners of 32 slots at 0.35 of them. */
START_TEST(part_is_sized_by_open_short_requests)
{
    bbm_partition p = create_sampled();
    bbm_partition_load load = load_of(170, 100);
    bbm_partition_update(&p, &load, BBM_SECOND);
    ck_assert_double_eq_tol(p.share, 170 / (SLOTS * 0.35) / RUNNERS, 1e-6);
    load = load_of(0, 100);
    for (int i = 2; i < 30; i++)
        bbm_partition_update(&p, &load, i * BBM_SECOND);
    ck_assert_double_eq_tol(p.share, 2.0 / RUNNERS, 1e-3);
}
END_TEST

/* With few slots left, requests would wait for one of their own part while
   others are free. */
START_TEST(scarce_slots_are_open_to_all)
{
    bbm_partition p = create_sampled();
    bbm_partition_load normal = load_of(300, 100);
    bbm_partition_load high = load_of(500, 400);
    bbm_partition_load scarce = load_of(800, 500);
    bbm_partition_update(&p, &scarce, BBM_SECOND);
    ck_assert_double_eq(p.share, 0);
    bbm_partition_update(&p, &normal, 2 * BBM_SECOND);
    ck_assert_double_gt(p.share, 0.1);
    bbm_partition_update(&p, &high, 3 * BBM_SECOND);
    ck_assert_double_gt(p.share, 0.1);
    bbm_partition_update(&p, &scarce, 4 * BBM_SECOND);
    ck_assert_double_eq(p.share, 0);
    bbm_partition_update(&p, &high, 5 * BBM_SECOND);
    ck_assert_double_eq(p.share, 0);
}
END_TEST

START_TEST(small_pools_and_single_classes_are_not_divided)
{
    bbm_partition p = create_sampled();
    bbm_partition_load load = load_of(170, 100);
    load.runners = 18;
    bbm_partition_update(&p, &load, BBM_SECOND);
    ck_assert_double_eq(p.share, 0);
    bbm_partition one = {0};
    for (int i = 0; i < 50; i++)
        bbm_partition_add_request(&one, true, SHORT_TOKENS);
    load = load_of(170, 0);
    bbm_partition_update(&one, &load, BBM_SECOND);
    ck_assert_double_eq(one.share, 0);
}
END_TEST

/* Each VM knows the sizes of its own requests only.  Runners that are in the
   part for some VMs and not for others get both classes, and are homes of
   chains for some VMs only. */
START_TEST(vms_choose_about_the_same_runners)
{
    bbm_rng rng = bbm_rng_of(5);
    int members[RUNNERS] = {0};
    enum { VMS = 63 };
    for (int vm = 0; vm < VMS; vm++) {
        bbm_partition p = {0};
        for (int i = 0; i < 40; i++) {
            double spread = 0.5 + bbm_rng_unit(&rng);
            bbm_partition_add_request(&p, true, SHORT_TOKENS * spread);
            bbm_partition_add_request(&p, false, LONG_TOKENS * spread);
        }
        bbm_partition_load load = load_of(170, 100);
        bbm_partition_update(&p, &load, BBM_SECOND);
        for (uint64_t u = 0; u < RUNNERS; u++)
            members[u] +=
                bbm_partition_has_short(&p, bbm_partition_rank(u * 7919));
    }
    int disputed = 0;
    int agreed = 0;
    for (int u = 0; u < RUNNERS; u++) {
        agreed += members[u] > VMS * 9 / 10;
        disputed += members[u] > VMS / 10 && members[u] <= VMS * 9 / 10;
    }
    ck_assert_int_ge(agreed, 4);
    ck_assert_int_le(disputed, 3);
}
END_TEST

/* ---- played load ---- */

/* A runner that processes prompts in chunks, one between two decoding steps,
   and every so often takes longer for a while. */
#define STEP_MS 3.6
#define CHUNK_MS 18.0
#define CHUNKS_OF_LONG 5
#define EVENT_STEPS 6
#define NOISE_FACTOR 2.5
#define NOISE_SHARE 0.15
#define NOISE_MS 600.0
#define GAP_MAX_MS 300.0
#define SHORT_EVENTS 49
#define LONG_EVENTS 9
#define OPEN_MAX 64
#define PLAY_MS 20000.0

typedef struct played {
    bool is_short;
    int chunks_left;
    int steps; /* since the last event */
    int events_left;
    double last_event_at;
    bool late;
} played;

typedef struct played_runner {
    double at;
    double noise_until;
    bool noisy;
    played open[OPEN_MAX];
    int len;
} played_runner;

typedef struct play_result {
    int short_done;
    int short_late; /* by a gap */
    int long_done;
} play_result;

static void
end_stream(played_runner *x, int i, play_result *r)
{
    const played *s = &x->open[i];
    r->short_done += s->is_short;
    r->short_late += s->is_short && s->late;
    r->long_done += !s->is_short;
    x->open[i] = x->open[--x->len];
}

/* One decoding step of all streams, and one chunk of the first prompt that is
   not processed yet. */
static void
step(played_runner *x, bbm_rng *rng, play_result *r)
{
    if (x->at >= x->noise_until) {
        x->noisy = bbm_rng_unit(rng) < NOISE_SHARE;
        x->noise_until = x->at + NOISE_MS;
    }
    double ms = STEP_MS;
    for (int i = 0; i < x->len; i++) {
        if (!x->open[i].chunks_left)
            continue;
        x->open[i].chunks_left--;
        ms += x->open[i].is_short ? CHUNK_MS / 3 : CHUNK_MS;
        break;
    }
    x->at += x->noisy ? ms * NOISE_FACTOR : ms;
    for (int i = x->len - 1; i >= 0; i--) {
        played *s = &x->open[i];
        if (s->chunks_left || ++s->steps < EVENT_STEPS)
            continue;
        s->steps = 0;
        if (s->last_event_at > 0 && x->at - s->last_event_at > GAP_MAX_MS)
            s->late = true;
        s->last_event_at = x->at;
        if (--s->events_left == 0)
            end_stream(x, i, r);
    }
}

static void
run_until(played_runner *x, double at, bbm_rng *rng, play_result *r)
{
    while (x->at < at && x->len)
        step(x, rng, r);
    if (x->at < at)
        x->at = at;
}

/* Sends requests to the runner with the fewest open ones of two drawn from
   the part for their class, or from all. */
static play_result
play(const bbm_partition *p, double short_per_s, double long_per_s)
{
    static played_runner runners[RUNNERS];
    memset(runners, 0, sizeof(runners));
    bbm_rng rng = bbm_rng_of(11);
    play_result r = {0};
    double per_ms = (short_per_s + long_per_s) / 1000;
    int requests = (int)(PLAY_MS * per_ms);
    for (int i = 0; i < requests; i++) {
        double at = i / per_ms;
        bool is_short = bbm_rng_unit(&rng) * per_ms * 1000 < short_per_s;
        played_runner *best = NULL;
        for (int drawn = 0; drawn < 2;) {
            uint64_t u = bbm_rng_below(&rng, RUNNERS);
            if (p->share > 0
                && bbm_partition_has_short(p, bbm_partition_rank(u * 7919))
                       != is_short)
                continue;
            drawn++;
            run_until(&runners[u], at, &rng, &r);
            if (!best || runners[u].len < best->len)
                best = &runners[u];
        }
        if (best->len == OPEN_MAX)
            continue;
        best->open[best->len++] = (played){
            .is_short = is_short,
            .chunks_left = is_short ? 1 : CHUNKS_OF_LONG,
            .events_left = is_short ? SHORT_EVENTS : LONG_EVENTS,
        };
    }
    return r;
}

/* Streams beside long prompts were late by their gaps: with the part of their
   own, less than half as many are, and as many long prompts are answered. */
START_TEST(fewer_streams_are_late_by_a_gap)
{
    bbm_partition none = {0};
    bbm_partition p = create_sampled();
    bbm_partition_load load = load_of(230, 150);
    bbm_partition_update(&p, &load, BBM_SECOND);
    play_result mixed = play(&none, 170, 420);
    play_result divided = play(&p, 170, 420);
    double before = (double)mixed.short_late / mixed.short_done;
    double now = (double)divided.short_late / divided.short_done;
    ck_assert_msg(now < before / 2, "late by a gap: %.3f, before %.3f", now,
                  before);
    ck_assert_int_ge(divided.long_done, mixed.long_done * 95 / 100);
}
END_TEST

TEST_MAIN("partition", classes_by_the_delay_of_events,
          part_is_sized_by_open_short_requests, scarce_slots_are_open_to_all,
          small_pools_and_single_classes_are_not_divided,
          vms_choose_about_the_same_runners, fewer_streams_are_late_by_a_gap);
