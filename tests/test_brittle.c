/* Services that fall over if they must refuse too many calls for want of room,
   in virtual time. */
#include "gate_world.h"
#include "test_main.h"

#include <stdio.h>

/* They fall over at most twice and a tenth of their number, and callers get
   @p share_min of 100 of their first calls served. */
static void
check_brittle(const world_load *model, size_t share_min)
{
    static const int refusals[] = {0, 1, 5};
    for (size_t i = 0; i < BBM_COUNT(refusals); i++) {
        world_load l = *model;
        l.refusals_max = refusals[i];
        l.seed = i + 1;
        gate_world *w = world_create(&l);
        world_run(w);
        size_t falls = 0;
        size_t calls = 0;
        size_t done = 0;
        for (int k = 0; k < l.services; k++)
            falls += w->upstreams[l.runners + k].falls;
        const world_call *c;
        TAILQ_FOREACH(c, &w->past, link)
        {
            if (c->route < WORLD_CONFIRM || !c->first
                || c->at < w->started_at + WORLD_BEGIN_TIME)
                continue;
            calls++;
            done += c->done;
        }
        printf("%d VMs, %d services, N of %d: %zu falls, %zu of %zu served\n",
               l.vms, l.services, l.refusals_max, falls, done, calls);
        ck_assert_uint_le(falls, 2 + (size_t)l.services / 10);
        ck_assert_uint_ge(100 * done, share_min * calls);
        world_destroy(w);
    }
}

static const world_load three_services = {
    .vms = 10,
    .services = 3,
    .service_per_s = 500,
    .brittle = true,
    .end = 16 * BBM_SECOND,
};

START_TEST(brittle_services_are_not_overfilled_by_several_vms)
{
    world_load l = three_services;
    check_brittle(&l, 95);
    l.vms = 1;
    check_brittle(&l, 95);
    l.vms = 75;
    l.services = 4;
    check_brittle(&l, 90);
}
END_TEST

START_TEST(brittle_services_bear_more_calls_than_they_can_run)
{
    world_load l = three_services;
    l.service_per_s = 1100;
    check_brittle(&l, 40);
}
END_TEST

TEST_MAIN("brittle", brittle_services_are_not_overfilled_by_several_vms,
          brittle_services_bear_more_calls_than_they_can_run);
