/* Requests that crash each upstream that runs them and come again and again,
   in virtual time. */
#include "gate_world.h"
#include "test_main.h"

#include <stdio.h>

/* Once a request has crashed three upstreams and all VMs can know of it, this
   number of it may still reach one. */
#define ALLOWED_LATER 3

typedef struct service {
    size_t clients;
    size_t served; /* at the first or second attempt */
} service;

/* What clients of sound requests got on routes of the same pool as @p route.
 */
static service
sound_service(const gate_world *w, world_route route, bbm_time from,
              bbm_time until)
{
    service s = {0};
    const world_call *c;
    TAILQ_FOREACH(c, &w->past, link)
    {
        bool same = (c->route >= WORLD_CONFIRM) == (route >= WORLD_CONFIRM);
        if (c->deadly || !same || !c->first || c->at < w->started_at + from
            || c->at >= w->started_at + until)
            continue;
        s.clients++;
        s.served += c->served;
    }
    return s;
}

/* All upstreams of a small pool may be lost once to each deadly request, if it
   was sent to all before the first crash was known: that takes DOWN_TIME_MAX
   of FIRST_TIME. */
#define FIRST_TIME (2 * WORLD_CONTACT_TIME)
#define DOWN_TIME_MAX (4 * BBM_SECOND)

/* Checks a play, and returns the share of the sound clients that are served in
   the first time, FIRST_TIME for each deadly request. */
static double
check_deadly(const world_load *l)
{
    gate_world *w = world_create(l);
    world_run(w);
    size_t crashes = 0;
    size_t late = 0;
    for (int i = 0; i < l->deadly_calls; i++) {
        crashes += w->deadly[i].crashes;
        if (w->deadly[i].late > late)
            late = w->deadly[i].late;
    }
    bbm_time known = WORLD_BEGIN_TIME + l->deadly_calls * FIRST_TIME;
    service first = sound_service(w, l->deadly_route, WORLD_BEGIN_TIME, known);
    service later =
        sound_service(w, l->deadly_route, known, l->end - 2 * BBM_SECOND);
    printf("%d VMs, %d services, seed %d: %zu crashes, at most %zu late, "
           "%zu of %zu served, then %zu of %zu\n",
           l->vms, l->services, (int)l->seed, crashes, late, first.served,
           first.clients, later.served, later.clients);
    ck_assert_msg(late <= ALLOWED_LATER, "seed %d: %zu late", (int)l->seed,
                  late);
    ck_assert_uint_ge(later.clients, 100);
    ck_assert_msg(FIRST_TIME * (bbm_time)first.served
                      >= (FIRST_TIME - DOWN_TIME_MAX)
                             * (bbm_time)first.clients,
                  "seed %d: %zu of %zu at first", (int)l->seed, first.served,
                  first.clients);
    ck_assert_msg(100 * later.served >= 98 * later.clients,
                  "seed %d: %zu of %zu later", (int)l->seed, later.served,
                  later.clients);
    world_destroy(w);
    return (double)first.served / (double)first.clients;
}

/* Plays the load with each of these seeds; @p share_min: mean share of the
   sound clients that are served in the first time, FIRST_TIME for each deadly
   request. */
static void
check_seeds(const world_load *model, uint64_t seed_first, uint64_t seed_last,
            double share_min)
{
    double sum = 0;
    for (uint64_t seed = seed_first; seed <= seed_last; seed++) {
        world_load l = *model;
        l.seed = seed;
        sum += check_deadly(&l);
    }
    double share = sum / (double)(seed_last - seed_first + 1);
    ck_assert_msg(share >= share_min, "%.2f served at first", share);
}

static const world_load three_services = {
    .vms = 10,
    .services = 3,
    .service_per_s = 31.5,
    .deadly_calls = 1,
    .deadly_route = WORLD_LOOKUP,
    .end = 30 * BBM_SECOND,
};

/* BUDGET on rota-sladoled: a repeated call ended all services of a pool, again
   and again. */
START_TEST(call_that_crashes_services_is_not_sent_on)
{
    check_seeds(&three_services, 1, 12, 0.85);
}
END_TEST

START_TEST(call_that_may_run_once_crashes_no_service_after_service)
{
    world_load l = three_services;
    l.deadly_route = WORLD_CONFIRM;
    check_seeds(&l, 21, 26, 0.85);
}
END_TEST

START_TEST(call_that_crashes_services_of_a_large_pool)
{
    world_load l = three_services;
    l.services = 18;
    l.service_per_s = 120;
    check_seeds(&l, 31, 34, 0.95);
}
END_TEST

START_TEST(call_that_crashes_services_is_known_to_200_vms)
{
    world_load l = three_services;
    l.vms = 200;
    l.services = 8;
    l.service_per_s = 130;
    l.end = 20 * BBM_SECOND;
    check_seeds(&l, 41, 41, 0.9);
}
END_TEST

START_TEST(several_calls_that_crash_services_at_once)
{
    world_load l = three_services;
    l.deadly_calls = 3;
    l.end = 40 * BBM_SECOND;
    check_seeds(&l, 51, 54, 0.3);
}
END_TEST

START_TEST(prompt_that_crashes_runners_is_not_sent_on)
{
    world_load l = {.vms = 10,
                    .runners = 18,
                    .per_s = 80,
                    .deadly_calls = 1,
                    .deadly_route = WORLD_PLAN,
                    .end = 30 * BBM_SECOND};
    check_seeds(&l, 61, 62, 0.9);
    l.deadly_route = WORLD_ASK;
    check_seeds(&l, 63, 64, 0.9);
}
END_TEST

START_TEST(restarted_vms_know_the_call_that_crashes_services)
{
    world_load l = three_services;
    l.vm_restarts_at = 12 * BBM_SECOND;
    check_seeds(&l, 71, 74, 0.85);
}
END_TEST

/* All services are lost at once, while half of the lookups are the same. */
START_TEST(ordinary_crashes_quarantine_no_call)
{
    for (uint64_t seed = 81; seed <= 86; seed++) {
        world_load l = three_services;
        l.deadly_calls = 0;
        l.hot_share = 0.5;
        l.service_crashes = seed % 2 ? 3 : 2;
        l.cut_share = 0.03;
        l.seed = seed;
        gate_world *w = world_create(&l);
        world_run(w);
        ck_assert_uint_ge(w->crashed_runs, 8);
        service s = sound_service(w, WORLD_LOOKUP, 0, l.end - 2 * BBM_SECOND);
        size_t suspect = 0;
        for (int vm = 0; vm < l.vms; vm++)
            suspect += bbm_gate_count(w->gates[vm]).refused_suspect;
        printf("seed %d: %zu crashes, %zu of %zu served, %zu suspect\n",
               (int)seed, w->crashed_runs, s.served, s.clients, suspect);
        for (int vm = 0; vm < l.vms; vm++)
            ck_assert_uint_eq(bbm_gate_count(w->gates[vm]).refused_quarantined,
                              0);
        world_destroy(w);
    }
}
END_TEST

/* A new version of the service runs it. */
START_TEST(call_is_served_again_once_it_crashes_nothing)
{
    for (uint64_t seed = 91; seed <= 93; seed++) {
        world_load l = three_services;
        l.seed = seed;
        l.deadly_until = 20 * BBM_SECOND;
        l.end = 150 * BBM_SECOND;
        gate_world *w = world_create(&l);
        world_run(w);
        ck_assert(w->deadly[0].served);
        world_destroy(w);
    }
}
END_TEST

TEST_MAIN("deadly", call_that_crashes_services_is_not_sent_on,
          call_that_may_run_once_crashes_no_service_after_service,
          call_that_crashes_services_of_a_large_pool,
          call_that_crashes_services_is_known_to_200_vms,
          several_calls_that_crash_services_at_once,
          prompt_that_crashes_runners_is_not_sent_on,
          restarted_vms_know_the_call_that_crashes_services,
          ordinary_crashes_quarantine_no_call,
          call_is_served_again_once_it_crashes_nothing);
