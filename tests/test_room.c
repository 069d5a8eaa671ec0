/* Room of runners.  Guards against runners that count as free with 40 to 55
   open requests for 12 slots, and against requests that are late already and
   delay others after a burst. */
#include "bbm_hash.h"
#include "bbm_mem.h"
#include "bbm_room.h"
#include "test_main.h"

#include <stdio.h>

#define SLOTS 12
#define STEPS 6000 /* of 5 ms */
#define STEP_MS 5.0
#define SLOT_MS 400.0
#define TARGET_MS 1200.0
#define DEADLINE_MS 4800.0
#define BURST_FROM_MS 5000.0
#define BURST_UNTIL_MS 9000.0
#define JOBS_MAX 4096

static const bbm_room_load idle = {
    .memory_max = 41000,
    .backlog_max_ms = 500,
    .slots = SLOTS,
    .slot_ms = 1700,
};

START_TEST(each_resource_can_be_the_one_that_binds)
{
    bbm_room_load load = idle;
    ck_assert(!bbm_room_is_full(&load, 9200, false));
    load.memory_tokens = 33000;
    ck_assert(bbm_room_is_full(&load, 9200, false));
    ck_assert(!bbm_room_is_full(&load, 800, false));
    load = idle;
    load.backlog_ms = 501;
    ck_assert(bbm_room_is_full(&load, 800, false));
    load = idle;
    load.open_ahead = 14;
    ck_assert(bbm_room_is_full(&load, 800, false));
}
END_TEST

/* A slot that becomes free isn't left idle until the VMs hear of it: of short
   requests more may wait. */
START_TEST(more_short_requests_may_wait)
{
    bbm_room_load load = idle;
    load.open_ahead = 15;
    ck_assert(bbm_room_is_full(&load, 800, false));
    load.slot_ms = 400;
    ck_assert(!bbm_room_is_full(&load, 800, false));
}
END_TEST

START_TEST(late_requests_leave_room)
{
    bbm_room_load load = idle;
    load.open_ahead = 10;
    ck_assert(!bbm_room_is_full(&load, 800, false));
    ck_assert(bbm_room_is_full(&load, 800, true));
    load = idle;
    load.backlog_ms = 400;
    ck_assert(!bbm_room_is_full(&load, 800, false));
    ck_assert(bbm_room_is_full(&load, 800, true));
    load = idle;
    ck_assert(!bbm_room_is_full(&load, 800, true));
}
END_TEST

typedef struct results {
    size_t burst_in_time;
    size_t after; /* requests in the two seconds after the burst */
    size_t after_in_time;
    size_t late;
} results;

/* A queue in front of a runner.  Before: first come, first served.  Now:
   requests that can still meet their target first, the others within their
   room. */
static results
run(bool now_policy, uint64_t seed)
{
    results res = {0};
    bbm_rng rng = bbm_rng_of(seed);
    static double arrived[JOBS_MAX];
    static bool done[JOBS_MAX];
    size_t len = 0;
    size_t first = 0;
    double ends[SLOTS] = {0};
    for (size_t step = 0; step < STEPS; step++) {
        double t = (double)step * STEP_MS;
        bool burst = t >= BURST_FROM_MS && t < BURST_UNTIL_MS;
        double per_ms = SLOTS / SLOT_MS * (burst ? 1.6 : 0.6);
        if (bbm_rng_unit(&rng) < per_ms * STEP_MS && len < JOBS_MAX) {
            arrived[len] = t;
            done[len++] = false;
        }
        while (first < len
               && (done[first] || t - arrived[first] > DEADLINE_MS))
            first++;
        for (int pass = 0; pass < 2; pass++) {
            for (size_t i = first; i < len; i++) {
                bbm_room_load load = {
                    .memory_max = 1e6, .backlog_max_ms = 500, .slots = SLOTS};
                size_t slot = SLOTS;
                for (size_t k = 0; k < SLOTS; k++) {
                    load.open_ahead += ends[k] > t;
                    slot = ends[k] > t ? slot : k;
                }
                bool late = t - arrived[i] > TARGET_MS;
                if (done[i] || slot == SLOTS || t - arrived[i] > DEADLINE_MS)
                    continue;
                if (now_policy
                    && (late != (pass == 1)
                        || bbm_room_is_full(&load, 1, late)))
                    continue;
                done[i] = true;
                ends[slot] = t + SLOT_MS * (0.5 + bbm_rng_unit(&rng));
                res.late += late;
                res.burst_in_time += !late && arrived[i] >= BURST_FROM_MS
                                     && arrived[i] < BURST_UNTIL_MS;
                res.after_in_time += !late && arrived[i] >= BURST_UNTIL_MS
                                     && arrived[i] < BURST_UNTIL_MS + 2000;
            }
        }
    }
    for (size_t i = 0; i < len; i++)
        res.after +=
            arrived[i] >= BURST_UNTIL_MS && arrived[i] < BURST_UNTIL_MS + 2000;
    return res;
}

/* In the two seconds after a burst, half of the usual load was late, because
   what the burst had left came first. */
START_TEST(usual_load_is_served_after_a_burst)
{
    results before = {0};
    results now = {0};
    for (uint64_t seed = 1; seed <= 20; seed++) {
        results b = run(false, seed);
        results n = run(true, seed);
        before.after += b.after;
        before.after_in_time += b.after_in_time;
        before.burst_in_time += b.burst_in_time;
        before.late += b.late;
        now.after += n.after;
        now.after_in_time += n.after_in_time;
        now.burst_in_time += n.burst_in_time;
        now.late += n.late;
    }
    double share_before = (double)before.after_in_time / (double)before.after;
    double share_now = (double)now.after_in_time / (double)now.after;
    printf("in time within two seconds after the burst: %.2f, before %.2f; "
           "in the burst %zu, before %zu; late %zu, before %zu\n",
           share_now, share_before, now.burst_in_time, before.burst_in_time,
           now.late, before.late);
    ck_assert_double_ge(share_now, 0.9);
    ck_assert_double_ge(share_now / share_before, 1.2);
    ck_assert_uint_ge(now.burst_in_time, before.burst_in_time);
    ck_assert_uint_gt(now.late, 0);
}
END_TEST

TEST_MAIN("room", each_resource_can_be_the_one_that_binds,
          more_short_requests_may_wait, late_requests_leave_room,
          usual_load_is_served_after_a_burst);
