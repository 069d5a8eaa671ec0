/* Placement on runners of different speed. */
#include "scale_world.h"
#include "test_main.h"

/* At least nine in ten answers begin in time. */
#define IN_TIME_SHARE_MIN 0.9

/* What clients get with uneven runners, after the time in which the speeds are
   learned. */
static scale_result
measure_uneven(bool ignore_speeds, double requests_per_s, uint64_t seed)
{
    scale_world *w = scale_create(&(scale_desc){
        .vms = 63,
        .runners = 90,
        .requests_per_s = requests_per_s,
        .chains = 600,
        .seed = seed,
        .uneven = true,
        .ignore_speeds = ignore_speeds,
    });
    scale_run(w, 12 * BBM_SECOND);
    scale_result r = scale_measure(w, 16 * BBM_SECOND);
    scale_destroy(w);
    return r;
}

/* Runners of a quarter of the pool are slower than the others by a factor of
   2.2.  Taken for equal, they get queues that they can't process; their
   requests then occupy the memory of cached prefixes, which are read again. */
START_TEST(slow_runners_get_shorter_queues)
{
    scale_result ignored = measure_uneven(true, 720, 3);
    scale_result measured = measure_uneven(false, 720, 3);
    double before = (double)ignored.in_time / (double)ignored.requests;
    double now = (double)measured.in_time / (double)measured.requests;
    ck_assert_msg(now >= 1.2 * before, "%.3f in time, %.3f without", now,
                  before);
    ck_assert_msg(now >= IN_TIME_SHARE_MIN, "%.3f in time", now);
}
END_TEST

TEST_MAIN("uneven", slow_runners_get_shorter_queues);
