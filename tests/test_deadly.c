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

/* @p begin_share: share of the clients that are to be served while the
   requests aren't yet known to crash upstreams. */
static void
check_deadly(const world_load *l, double begin_share)
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
    bbm_time known = WORLD_BEGIN_TIME + 2 * WORLD_CONTACT_TIME;
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
    ck_assert_msg((double)first.served >= begin_share * (double)first.clients,
                  "seed %d: %zu of %zu at first", (int)l->seed, first.served,
                  first.clients);
    ck_assert_msg(100 * later.served >= 98 * later.clients,
                  "seed %d: %zu of %zu later", (int)l->seed, later.served,
                  later.clients);
    world_destroy(w);
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
    for (uint64_t seed = 1; seed <= 12; seed++) {
        world_load l = three_services;
        l.seed = seed;
        check_deadly(&l, 0.9);
    }
}
END_TEST

START_TEST(call_that_may_run_once_crashes_no_service_after_service)
{
    for (uint64_t seed = 21; seed <= 26; seed++) {
        world_load l = three_services;
        l.seed = seed;
        l.deadly_route = WORLD_CONFIRM;
        check_deadly(&l, 0.9);
    }
}
END_TEST

START_TEST(call_that_crashes_services_of_a_large_pool)
{
    for (uint64_t seed = 31; seed <= 34; seed++) {
        world_load l = three_services;
        l.services = 18;
        l.service_per_s = 120;
        l.seed = seed;
        check_deadly(&l, 0.95);
    }
}
END_TEST

START_TEST(call_that_crashes_services_is_known_to_200_vms)
{
    world_load l = three_services;
    l.vms = 200;
    l.services = 8;
    l.service_per_s = 130;
    l.seed = 41;
    l.end = 20 * BBM_SECOND;
    check_deadly(&l, 0.9);
}
END_TEST

START_TEST(several_calls_that_crash_services_at_once)
{
    for (uint64_t seed = 51; seed <= 54; seed++) {
        world_load l = three_services;
        l.deadly_calls = 3;
        l.seed = seed;
        check_deadly(&l, 0.3);
    }
}
END_TEST

START_TEST(prompt_that_crashes_runners_is_not_sent_on)
{
    for (uint64_t seed = 61; seed <= 64; seed++) {
        world_load l = {.vms = 10,
                        .runners = 18,
                        .per_s = 80,
                        .deadly_calls = 1,
                        .deadly_route = seed % 2 ? WORLD_PLAN : WORLD_ASK,
                        .seed = seed,
                        .end = 30 * BBM_SECOND};
        check_deadly(&l, 0.8);
    }
}
END_TEST

START_TEST(restarted_vms_know_the_call_that_crashes_services)
{
    for (uint64_t seed = 71; seed <= 74; seed++) {
        world_load l = three_services;
        l.seed = seed;
        l.vm_restarts_at = 12 * BBM_SECOND;
        check_deadly(&l, 0.9);
    }
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
