/* Upstreams that state how many requests a second they take from all VMs, in
   virtual time. */
#include "bbm_turns.h"
#include "gate_world.h"
#include "test_main.h"

#include <math.h>
#include <stdio.h>

/* In each window an upstream may get its limit times the share, and the
   slack. */
#define WINDOW (4 * BBM_SECOND)
#define LIMIT_SHARE 1.5
#define LIMIT_SLACK 5

/* Most requests that an upstream got in a window that ends later than
   WORLD_CONTACT_TIME after it first stated its limit.  @p all: also from VMs
   that had not received the limit, and only once these have heard of it. */
static size_t
most_in_window(const gate_world *w, const world_upstream *u, bool all)
{
    bbm_time from =
        w->started_at + WORLD_BEGIN_TIME + WORLD_CONTACT_TIME + all * WINDOW;
    size_t most = 0;
    for (size_t last = 0; last < u->arrivals_len; last++) {
        size_t count = 0;
        for (size_t i = 0; i <= last; i++)
            count += (all || u->arrivals[i].counts)
                     && u->arrivals[last].at - u->arrivals[i].at < WINDOW;
        if (u->arrivals[last].at >= from && count > most)
            most = count;
    }
    return most;
}

/* Requests per second that an upstream got from all VMs while it stated a
   limit. */
static double
arrivals_per_s(const gate_world *w, const world_upstream *u)
{
    bbm_time until = w->load.limit_until ? w->load.limit_until : w->load.end;
    bbm_time from = WORLD_BEGIN_TIME + WORLD_CONTACT_TIME;
    size_t count = 0;
    for (size_t i = 0; i < u->arrivals_len; i++)
        count += u->arrivals[i].at - w->started_at >= from;
    return (double)count * (double)BBM_SECOND / (double)(until - from);
}

/* Longest time without a request, which is how long the end of a limit may go
   unnoticed. */
static bbm_time
longest_gap(const gate_world *w, const world_upstream *u)
{
    bbm_time last = w->started_at + WORLD_BEGIN_TIME + WORLD_CONTACT_TIME;
    bbm_time longest = 0;
    for (size_t i = 0; i <= u->arrivals_len; i++) {
        bbm_time at = i < u->arrivals_len ? u->arrivals[i].at : w->now;
        if (at - last > longest)
            longest = at - last;
        last = at > last ? at : last;
    }
    return longest;
}

static void
check_arrivals(const gate_world *w, double used_share)
{
    double allowed =
        LIMIT_SHARE * w->load.limit * (double)WINDOW / (double)BBM_SECOND
        + LIMIT_SLACK;
    for (int i = 0; i < w->load.limited; i++) {
        const world_upstream *u = &w->upstreams[world_first_limited(w) + i];
        size_t counted = most_in_window(w, u, false);
        size_t all = most_in_window(w, u, true);
        double per_s = arrivals_per_s(w, u);
        printf("%d VMs, seed %d, limit %.2f: %.2f/s, most in a window %zu and "
               "%zu of all, allowed %.1f\n",
               w->load.vms, (int)w->load.seed, w->load.limit, per_s, counted,
               all, allowed);
        ck_assert_msg((double)counted <= allowed, "seed %d: %zu",
                      (int)w->load.seed, counted);
        ck_assert_msg((double)all <= allowed, "seed %d: %zu of all",
                      (int)w->load.seed, all);
        ck_assert_msg(per_s >= used_share * w->load.limit, "%.2f/s", per_s);
        /* A lower limit is asked each 10 s, and not by each turn. */
        bbm_time gap = longest_gap(w, u);
        bbm_time gap_max = (w->load.limit < 1 ? 40 : 10) * BBM_SECOND;
        ck_assert_msg(gap <= gap_max, "not asked for %.1f s",
                      (double)gap / (double)BBM_SECOND);
    }
}

typedef struct service {
    size_t calls; /* clients' first attempts */
    size_t begun;
    size_t refused_late; /* held for longer than half of the target latency */
} service;

static service
service_of(const gate_world *w, bool services, bbm_time from, bbm_time until)
{
    service s = {0};
    int64_t half_target_ms = services ? 50 : 300;
    const world_call *c;
    TAILQ_FOREACH(c, &w->past, link)
    {
        bool same = (c->route >= WORLD_CONFIRM) == services;
        if (!same || !c->first || c->at < w->started_at + from
            || c->at >= w->started_at + until)
            continue;
        s.calls++;
        s.begun += c->begun;
        s.refused_late += c->refused && c->refused_after_ms > half_target_ms;
    }
    return s;
}

/* While other upstreams of the pool state no limit, callers notice nothing. */
static void
check_callers(const gate_world *w)
{
    bool services = w->load.limited_services;
    service s =
        service_of(w, services, WORLD_BEGIN_TIME, w->load.end - BBM_SECOND);
    printf("  %zu of %zu begun at the first attempt\n", s.begun, s.calls);
    ck_assert_uint_ge(s.calls, 100);
    ck_assert_uint_ge(100 * s.begun, 97 * s.calls);
}

static void
check_limited(const world_load *l, double used_share)
{
    gate_world *w = world_create(l);
    world_run(w);
    check_arrivals(w, used_share);
    check_callers(w);
    world_destroy(w);
}

static const world_load few_vms = {
    .vms = 10,
    .runners = 18,
    .per_s = 90,
    .limited = 2,
    .limit = 1,
    .end = 30 * BBM_SECOND,
};

/* LIMIT on rota-sladoled: no VM heeded the limit that a runner stated. */
START_TEST(runner_gets_no_more_requests_than_its_limit)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        l.limit = seed % 2 ? 1 : 1.2;
        check_limited(&l, 0);
    }
}
END_TEST

START_TEST(limit_holds_over_75_vms)
{
    world_load l = few_vms;
    l.vms = 75;
    l.runners = 120;
    l.per_s = 400;
    l.seed = 21;
    check_limited(&l, 0);
}
END_TEST

START_TEST(limit_holds_over_200_vms)
{
    world_load l = few_vms;
    l.vms = 200;
    l.runners = 117;
    l.per_s = 430;
    l.seed = 22;
    l.end = 20 * BBM_SECOND;
    check_limited(&l, 0);
}
END_TEST

/* The bursts of many VMs add up. */
START_TEST(limit_below_one_request_per_vm_and_window)
{
    for (uint64_t seed = 31; seed <= 34; seed++) {
        world_load l = few_vms;
        l.vms = 40;
        l.limit = seed % 2 ? 0.05 : 0.4;
        l.seed = seed;
        l.end = 80 * BBM_SECOND;
        check_limited(&l, 0);
    }
}
END_TEST

START_TEST(limit_that_changes_with_each_answer)
{
    for (uint64_t seed = 41; seed <= 43; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        l.limit = 2;
        l.limit_swing = 0.4;
        check_limited(&l, 0);
    }
}
END_TEST

START_TEST(limit_holds_with_clocks_that_differ)
{
    for (uint64_t seed = 51; seed <= 56; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        l.clock_skew = 2300 * BBM_MS;
        check_limited(&l, 0);
    }
}
END_TEST

START_TEST(limit_holds_while_vms_restart)
{
    for (uint64_t seed = 61; seed <= 64; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        l.vm_restarts_at = 14 * BBM_SECOND;
        check_limited(&l, 0);
    }
}
END_TEST

/* One of three services: the others take over what it doesn't want. */
START_TEST(service_gets_no_more_requests_than_its_limit)
{
    for (uint64_t seed = 71; seed <= 74; seed++) {
        world_load l = {.vms = 10,
                        .services = 3,
                        .service_per_s = 31.5,
                        .limited_services = true,
                        .limited = 1,
                        .limit = seed % 2 ? 3 : 1,
                        .seed = seed,
                        .end = 30 * BBM_SECOND};
        check_limited(&l, 0);
    }
}
END_TEST

/* If all services of a pool are limited, what they take is served, and the
   rest is refused at once. */
START_TEST(requests_beyond_the_limits_of_a_pool_are_refused_at_once)
{
    for (uint64_t seed = 81; seed <= 84; seed++) {
        world_load l = {.vms = 10,
                        .services = 3,
                        .service_per_s = 31.5,
                        .limited_services = true,
                        .limited = 3,
                        .limit = 4,
                        .seed = seed,
                        .end = 30 * BBM_SECOND};
        gate_world *w = world_create(&l);
        world_run(w);
        check_arrivals(w, 0.7);
        service s = service_of(w, true, WORLD_BEGIN_TIME, l.end);
        printf("  %zu of %zu begun at the first attempt, %zu refused late\n",
               s.begun, s.calls, s.refused_late);
        ck_assert_uint_eq(s.refused_late, 0);
        world_destroy(w);
    }
}
END_TEST

/* Once the answers name no limit any more, the runner is used as before. */
START_TEST(limit_ends_with_an_answer_without_it)
{
    for (uint64_t seed = 91; seed <= 93; seed++) {
        world_load l = few_vms;
        l.seed = seed;
        l.limited = 18;
        l.limit = 2;
        l.limit_until = 14 * BBM_SECOND;
        gate_world *w = world_create(&l);
        world_run(w);
        service before = service_of(w, false, 0, WORLD_BEGIN_TIME);
        service after =
            service_of(w, false, 18 * BBM_SECOND, l.end - BBM_SECOND);
        printf("begun %zu of %zu before, %zu of %zu after\n", before.begun,
               before.calls, after.begun, after.calls);
        ck_assert_uint_ge(100 * after.begun * before.calls,
                          97 * before.begun * after.calls);
        world_destroy(w);
    }
}
END_TEST

/* All VMs at the end of one limit, at 200 VMs whose requests rarely prefer the
   runner. */
START_TEST(end_of_a_limit_is_noticed_by_200_vms)
{
    world_load l = few_vms;
    l.vms = 200;
    l.runners = 117;
    l.per_s = 430;
    l.limited = 1;
    l.seed = 95;
    l.limit_until = 10 * BBM_SECOND;
    l.end = 24 * BBM_SECOND;
    gate_world *w = world_create(&l);
    world_run(w);
    for (int vm = 0; vm < l.vms; vm++)
        ck_assert_uint_eq(bbm_gate_count(w->gates[vm]).limited_upstreams, 0);
    world_destroy(w);
}
END_TEST

/* ---- turns ---- */

#define CALENDAR (1780000000 * BBM_SECOND)

/* Number of requests that VMs with these lists may send in a span of time, if
   they always have one. */
static size_t
count_taken(bbm_turns *turns, const bbm_turn_order *orders, size_t vms,
            bbm_time from, bbm_time span)
{
    size_t taken = 0;
    for (bbm_time at = from; at < from + span; at += 10 * BBM_MS) {
        for (size_t vm = 0; vm < vms; vm++) {
            bbm_turns_update(&turns[vm], &orders[vm], at);
            while (turns[vm].available) {
                bbm_turns_take(&turns[vm]);
                taken++;
            }
        }
    }
    return taken;
}

START_TEST(turns_of_all_vms_add_up_to_the_limit)
{
    static const double limits[] = {0.1, 0.5, 1, 1.2, 3, 20, 49, 51, 400};
    static const size_t sizes[] = {1, 10, 75, 200, 350};
    enum { VMS_MAX = 350 };
    uint64_t names[VMS_MAX];
    for (size_t i = 0; i < VMS_MAX; i++)
        names[i] = 7 * i + 3;
    for (size_t i = 0; i < BBM_COUNT(limits) * BBM_COUNT(sizes); i++) {
        double limit = limits[i / BBM_COUNT(sizes)];
        size_t vms = sizes[i % BBM_COUNT(sizes)];
        bbm_turns turns[VMS_MAX] = {0};
        bbm_turn_order orders[VMS_MAX];
        for (size_t vm = 0; vm < vms; vm++) {
            orders[vm] = (bbm_turn_order){99, names, vms, names[vm]};
            bbm_turns_set_limit(&turns[vm], limit, CALENDAR);
        }
        size_t taken =
            count_taken(turns, orders, vms, CALENDAR, 10 * BBM_SECOND);
        double expected = 10 * limit;
        double turn = ceil(limit / 50); /* requests per turn */
        ck_assert_msg((double)taken <= expected + turn
                          && (double)taken >= 0.95 * expected - 2 * turn,
                      "%zu VMs, limit %.1f: %zu", vms, limit, taken);
    }
}
END_TEST

/* A turn isn't saved up: after a pause of all requests there is no burst. */
START_TEST(unused_turns_end)
{
    uint64_t name = 1;
    bbm_turn_order alone = {5, &name, 1, name};
    bbm_turns turns = {0};
    bbm_turns_set_limit(&turns, 2, CALENDAR);
    bbm_turns_update(&turns, &alone, CALENDAR + 30 * BBM_SECOND);
    ck_assert_uint_le(turns.available, 2);
    bbm_turns_take(&turns);
    bbm_turns_take(&turns);
    bbm_turns_take(&turns);
    ck_assert_uint_eq(turns.available, 0);
}
END_TEST

START_TEST(turns_go_on_after_a_calendar_that_is_set_back)
{
    uint64_t name = 1;
    bbm_turn_order alone = {5, &name, 1, name};
    bbm_turns turns = {0};
    bbm_turns_set_limit(&turns, 10, CALENDAR);
    size_t taken = count_taken(&turns, &alone, 1, CALENDAR, 2 * BBM_SECOND);
    /* Repeated turns are left out. */
    ck_assert_uint_eq(
        count_taken(&turns, &alone, 1, CALENDAR + 500 * BBM_MS, BBM_SECOND),
        0);
    ck_assert_uint_ge(taken, 19);
    taken = count_taken(&turns, &alone, 1, CALENDAR - 3600 * BBM_SECOND,
                        2 * BBM_SECOND);
    ck_assert_uint_ge(taken, 17);
    ck_assert_uint_le(taken, 21);
}
END_TEST

TEST_MAIN("limited", turns_of_all_vms_add_up_to_the_limit, unused_turns_end,
          turns_go_on_after_a_calendar_that_is_set_back,
          end_of_a_limit_is_noticed_by_200_vms,
          runner_gets_no_more_requests_than_its_limit, limit_holds_over_75_vms,
          limit_holds_over_200_vms, limit_below_one_request_per_vm_and_window,
          limit_that_changes_with_each_answer,
          limit_holds_with_clocks_that_differ, limit_holds_while_vms_restart,
          service_gets_no_more_requests_than_its_limit,
          requests_beyond_the_limits_of_a_pool_are_refused_at_once,
          limit_ends_with_an_answer_without_it);
