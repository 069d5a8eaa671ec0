/* VMs without a path to upstreams that other VMs reach, in virtual time. */
#include "gate_world.h"
#include "test_main.h"

#include <stdio.h>

typedef struct service {
    size_t calls; /* clients' first attempts */
    size_t done;
} service;

/* First attempts at the VMs that are cut off, or at the others. */
static service
service_at(const gate_world *w, bool cut, bbm_time from, bbm_time until)
{
    service s = {0};
    const world_call *c;
    TAILQ_FOREACH(c, &w->past, link)
    {
        if (!c->first || c->at < w->started_at + from
            || c->at >= w->started_at + until
            || (c->vm < w->load.cut_vms) != cut)
            continue;
        s.calls++;
        s.done += c->done;
    }
    return s;
}

/* From WORLD_CONTACT_TIME after the cut began, the first attempts at the VMs
   that are cut off must be served at least two thirds as often as those at the
   others, or at most 10 and one in 50 of all may fail there.  The others serve
   as if nothing had happened. */
static void
check_cut(const world_load *model, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        world_load l = *model;
        l.seed = seed;
        gate_world *w = world_create(&l);
        world_run(w);
        bbm_time from = WORLD_BEGIN_TIME + WORLD_CONTACT_TIME;
        service cut = service_at(w, true, from, l.cut_until);
        service others = service_at(w, false, from, l.cut_until);
        service before = service_at(w, false, BBM_SECOND, WORLD_BEGIN_TIME);
        service after = service_at(w, true, l.cut_until + BBM_SECOND,
                                   l.end - 2 * BBM_SECOND);
        printf("%d of %d VMs cut, form %d, seed %d: %zu of %zu, the others "
               "%zu of %zu; after it %zu of %zu\n",
               l.cut_vms, l.vms, (int)l.cut_form, (int)seed, cut.done,
               cut.calls, others.done, others.calls, after.done, after.calls);
        ck_assert_uint_ge(cut.calls, 30);
        size_t failed = cut.calls - cut.done;
        if (failed > 10 + (cut.calls + others.calls) / 50)
            ck_assert_msg(3 * cut.done * others.calls
                              >= 2 * others.done * cut.calls,
                          "seed %d: %zu of %zu at the VMs that are cut off",
                          (int)seed, cut.done, cut.calls);
        /* 95 in 100 of the share before. */
        ck_assert_uint_ge(100 * others.done * before.calls,
                          95 * before.done * others.calls);
        ck_assert_uint_ge(100 * after.done * before.calls,
                          95 * before.done * after.calls);
        world_destroy(w);
    }
}

static const world_load both_pools = {
    .vms = 10,
    .runners = 18,
    .services = 3,
    .per_s = 80,
    .service_per_s = 40,
    .cut_until = 14 * BBM_SECOND,
    .end = 22 * BBM_SECOND,
};

static void
check_forms(const world_load *model, uint64_t seeds)
{
    static const world_cut forms[] = {WORLD_CUT_HANGS, WORLD_CUT_RESETS,
                                      WORLD_CUT_REFUSES};
    for (size_t i = 0; i < BBM_COUNT(forms); i++) {
        world_load l = *model;
        l.cut_form = forms[i];
        check_cut(&l, seeds);
    }
}

START_TEST(one_vm_without_upstreams_serves_its_callers)
{
    world_load l = both_pools;
    l.cut_vms = 1;
    check_forms(&l, 2);
}
END_TEST

START_TEST(most_vms_without_upstreams_serve_their_callers)
{
    world_load l = both_pools;
    l.cut_vms = 5;
    check_forms(&l, 1);
    l.cut_vms = 7;
    check_forms(&l, 2);
    l.cut_vms = 9;
    check_forms(&l, 1);
}
END_TEST

START_TEST(vms_without_one_pool_serve_its_callers)
{
    world_load l = both_pools;
    l.cut_vms = 7;
    l.cut_services_only = true;
    check_forms(&l, 1);
}
END_TEST

START_TEST(many_vms_without_upstreams_serve_their_callers)
{
    world_load l = both_pools;
    l.vms = 75;
    l.runners = 60;
    l.per_s = 240;
    l.service_per_s = 90;
    l.cut_vms = 50;
    l.end = 18 * BBM_SECOND;
    check_forms(&l, 1);
    l.vms = 200;
    l.runners = 100;
    l.services = 6;
    l.cut_vms = 120;
    l.cut_form = WORLD_CUT_HANGS;
    l.cut_until = 11 * BBM_SECOND;
    l.end = 15 * BBM_SECOND;
    check_cut(&l, 1);
}
END_TEST

TEST_MAIN("cut", one_vm_without_upstreams_serves_its_callers,
          most_vms_without_upstreams_serve_their_callers,
          vms_without_one_pool_serve_its_callers,
          many_vms_without_upstreams_serve_their_callers);
