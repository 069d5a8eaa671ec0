/* Streams go on only at the build of the software that began them: within one
   answer, and when clients take them up again at any VM. */
#include "gate_world.h"
#include "test_main.h"

#include <stdio.h>

/* ---- many streams ---- */

typedef struct stream_result {
    size_t joined;   /* events of two builds */
    size_t begun;    /* new streams that began */
    size_t fresh;    /* new streams */
    size_t taken_up; /* take-ups while the build served */
    size_t went_on;  /* of these */
} stream_result;

static void
add_play(stream_result *s, const world_load *l)
{
    gate_world *w = world_create(l);
    world_run(w);
    const world_call *c;
    TAILQ_FOREACH(c, &w->past, link)
    {
        if (c->route != WORLD_ASK)
            continue;
        s->joined += c->joined;
        s->fresh += c->first;
        s->begun += c->first && c->begun;
        s->taken_up += c->takes_up && c->build_serves;
        s->went_on += c->takes_up && c->build_serves && c->begun;
    }
    world_destroy(w);
}

/* Plays the load with each seed from 1.  Of @p take_ups_min streams or more
   that are taken up, the share that goes on must be at least half of the share
   of new streams that begin. */
static void
check_streams(const world_load *model, uint64_t seeds, size_t take_ups_min)
{
    stream_result s = {0};
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        world_load l = *model;
        l.seed = seed;
        add_play(&s, &l);
    }
    printf("%d VMs, %d builds: %zu joined; %zu of %zu began, %zu of %zu went "
           "on\n",
           model->vms, model->builds, s.joined, s.begun, s.fresh, s.went_on,
           s.taken_up);
    ck_assert_uint_eq(s.joined, 0);
    ck_assert_uint_ge(s.begun, 100);
    ck_assert_uint_ge(s.taken_up, take_ups_min);
    if (take_ups_min)
        ck_assert_uint_ge(2 * s.went_on * s.fresh, s.begun * s.taken_up);
}

static const world_load two_builds = {
    .vms = 10,
    .runners = 18,
    .per_s = 60,
    .builds = 2,
    .ordinary_crashes = 3,
    .end = 24 * BBM_SECOND,
};

START_TEST(stream_goes_on_at_its_build_after_a_crash)
{
    check_streams(&two_builds, 4, 0);
    world_load l = two_builds;
    l.builds = 3;
    check_streams(&l, 3, 0);
}
END_TEST

START_TEST(stream_is_taken_up_at_its_build_after_half_of_the_vms_restarted)
{
    world_load l = two_builds;
    l.vm_restarts_at = 12 * BBM_SECOND;
    check_streams(&l, 4, 12);
}
END_TEST

START_TEST(stream_is_taken_up_at_its_build_after_all_vms_restarted)
{
    world_load l = two_builds;
    l.vm_restarts_at = 12 * BBM_SECOND;
    l.all_vms_restart = true;
    check_streams(&l, 4, 12);
}
END_TEST

START_TEST(stream_goes_on_at_its_build_with_75_and_200_vms)
{
    world_load l = two_builds;
    l.vms = 75;
    l.runners = 60;
    l.per_s = 180;
    l.ordinary_crashes = 6;
    l.vm_restarts_at = 12 * BBM_SECOND;
    check_streams(&l, 1, 12);
    l.vms = 200;
    l.end = 15 * BBM_SECOND;
    l.runners = 120;
    l.builds = 3;
    l.all_vms_restart = true;
    check_streams(&l, 1, 12);
}
END_TEST

TEST_MAIN("origins", stream_goes_on_at_its_build_after_a_crash,
          stream_is_taken_up_at_its_build_after_half_of_the_vms_restarted,
          stream_is_taken_up_at_its_build_after_all_vms_restarted,
          stream_goes_on_at_its_build_with_75_and_200_vms);
