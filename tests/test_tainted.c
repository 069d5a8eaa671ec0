/* Many VMs, simulated runners and requests with a prompt part that crashes
   each runner that begins to answer it, in virtual time. */
#include "gate_world.h"
#include "test_main.h"

#include <stdio.h>

/* Of the requests with the part, this number may still reach a runner. */
#define ALLOWED_LATER 3

/* ---- what callers got ---- */

typedef struct service {
    size_t calls;
    size_t begun; /* at their first attempt */
} service;

/* Sound requests that share the first part with the deadly ones. */
static service
sound_service(const gate_world *w, bbm_time from, bbm_time until,
              bool companions)
{
    service s = {0};
    world_route deadly = w->load.ask ? WORLD_ASK : WORLD_PLAN;
    const world_call *c;
    TAILQ_FOREACH(c, &w->past, link)
    {
        if (c->deadly || !c->first || c->route != deadly || c->at < from
            || c->at >= until || (companions && c->session != WORLD_COMPANION))
            continue;
        s.calls++;
        s.begun += c->begun;
    }
    return s;
}

static void
check_tainted(const world_load *l)
{
    gate_world *w = world_create(l);
    world_run(w);
    bbm_time last = 0;
    size_t crashes = 0;
    for (int i = 0; i < l->deadly_parts; i++) {
        const world_deadly *d = &w->deadly[i];
        ck_assert_uint_ge(d->crashes, 3);
        ck_assert_msg(d->late <= ALLOWED_LATER, "seed %d: %zu late",
                      (int)l->seed, d->late);
        last = d->last_counted_at > last ? d->last_counted_at : last;
        crashes += d->crashes;
    }
    service before = sound_service(w, w->started_at,
                                   w->started_at + WORLD_BEGIN_TIME, false);
    service after = sound_service(w, last + 2 * WORLD_CONTACT_TIME,
                                  w->now - BBM_SECOND, l->companion);
    printf("%d VMs, seed %d: %zu crashes, sound %zu of %zu before, %zu of %zu "
           "after\n",
           l->vms, (int)l->seed, crashes, before.begun, before.calls,
           after.begun, after.calls);
    ck_assert_uint_ge(after.calls, 20);
    ck_assert(2 * after.begun * before.calls >= before.begun * after.calls);
    world_destroy(w);
}

static const world_load few_vms = {
    .vms = 10,
    .runners = 18,
    .per_s = 80,
    .deadly_share = 0.05,
    .deadly_parts = 1,
    .deadly_place = 1,
    .end = 26 * BBM_SECOND,
};

/* BUDGET on rota-sladoled: a prompt part that crashes each runner was sent to
   one after the other. */
START_TEST(part_that_crashes_runners_is_not_sent_on)
{
    for (uint64_t seed = 1; seed <= 6; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        check_tainted(&l);
    }
}
END_TEST

START_TEST(part_that_crashes_runners_is_known_to_200_vms)
{
    world_load l = {
        .vms = 200,
        .runners = 117,
        .per_s = 430,
        .seed = 1,
        .deadly_share = 0.05,
        .deadly_parts = 1,
        .deadly_place = 1,
        .end = 18 * BBM_SECOND,
    };
    check_tainted(&l);
}
END_TEST

START_TEST(several_parts_that_crash_runners_at_once)
{
    world_load l = few_vms;
    l.seed = 11;
    l.deadly_parts = 3;
    l.deadly_share = 0.1;
    l.end = 45 * BBM_SECOND;
    check_tainted(&l);
}
END_TEST

START_TEST(part_that_crashes_runners_returns_after_a_pause)
{
    world_load l = few_vms;
    l.seed = 12;
    l.pause_from = 8 * BBM_SECOND;
    l.pause_until = 30 * BBM_SECOND;
    l.end = 60 * BBM_SECOND;
    check_tainted(&l);
}
END_TEST

START_TEST(part_that_crashes_runners_beyond_the_placed_parts)
{
    world_load l = few_vms;
    l.seed = 13;
    l.deadly_place = BBM_PROMPT_PARTS_MAX + 4;
    check_tainted(&l);
}
END_TEST

/* A stream that is resumed elsewhere would take the next runner with it. */
START_TEST(resumed_streams_do_not_crash_runner_after_runner)
{
    world_load l = few_vms;
    l.seed = 14;
    l.ask = true;
    check_tainted(&l);
}
END_TEST

START_TEST(restarted_vms_know_the_part_that_crashes_runners)
{
    world_load l = few_vms;
    l.seed = 15;
    l.vm_restarts_at = 12 * BBM_SECOND;
    check_tainted(&l);
}
END_TEST

START_TEST(ordinary_crashes_beside_a_part_that_crashes_runners)
{
    world_load l = few_vms;
    l.seed = 16;
    l.ordinary_crashes = 2;
    l.cut_share = 0.02;
    check_tainted(&l);
}
END_TEST

/* A sound part that always came with the one that crashes runners. */
START_TEST(companion_part_is_tried_alone)
{
    for (uint64_t seed = 17; seed <= 20; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        l.companion = true;
        l.end = 140 * BBM_SECOND;
        check_tainted(&l);
    }
}
END_TEST

/* So many crashes that hardly a sound answer ends between them accuse also
   the parts that nearly all requests have. */
START_TEST(parts_of_most_requests_stay_in_use)
{
    /* In the last two, several VMs tried the part at the same time. */
    static const uint64_t seeds[] = {25, 26, 27, 28, 5413, 5419};
    for (size_t i = 0; i < BBM_COUNT(seeds); i++) {
        world_load l = few_vms;
        l.seed = seeds[i];
        l.deadly_share = 0.4;
        l.ordinary_crashes = 1;
        check_tainted(&l);
    }
}
END_TEST

/* Losses of many runners at once and answers that are broken off accuse sound
   parts, but none is quarantined. */
START_TEST(ordinary_crashes_quarantine_no_part)
{
    static const uint64_t seeds[] = {21, 22, 23, 24, 27, 29, 61, 67, 68, 74,
                                     76, 93, 104, 107,
                                     /* A common loss, and others a second
                                        later. */
                                     213, 311, 522, 530};
    for (size_t i = 0; i < BBM_COUNT(seeds); i++) {
        world_load l = few_vms;
        l.seed = seeds[i];
        l.deadly_parts = 0;
        l.ordinary_crashes = 9;
        l.cut_share = 0.05;
        gate_world *w = world_create(&l);
        world_run(w);
        ck_assert_uint_gt(w->crashed_runs, 40);
        for (int vm = 0; vm < l.vms; vm++)
            ck_assert_uint_eq(bbm_gate_count(w->gates[vm]).refused_quarantined,
                              0);
        world_destroy(w);
    }
}
END_TEST

TEST_MAIN("tainted", part_that_crashes_runners_is_not_sent_on,
          part_that_crashes_runners_is_known_to_200_vms,
          several_parts_that_crash_runners_at_once,
          part_that_crashes_runners_returns_after_a_pause,
          part_that_crashes_runners_beyond_the_placed_parts,
          resumed_streams_do_not_crash_runner_after_runner,
          restarted_vms_know_the_part_that_crashes_runners,
          ordinary_crashes_beside_a_part_that_crashes_runners,
          companion_part_is_tried_alone, parts_of_most_requests_stay_in_use,
          ordinary_crashes_quarantine_no_part);
