/* Placement on runners of different speed. */
#include "scale_world.h"
#include "test_main.h"

/* At least nine in ten answers begin in time. */
#define IN_TIME_SHARE_MIN 0.9

/* Runners of a quarter of the pool are slower than the others by a factor of
   2.2.  Copies of prefixes that are made wherever the queue is short evict
   other prefixes, which are computed again: with requests placed that way, the
   pool served half of this load.  With measured speeds, the slow runners get a
   smaller part of it. */
START_TEST(slow_runners_get_shorter_queues)
{
    for (uint64_t seed = 3; seed <= 5; seed++) {
        scale_result ignored = scale_measure_uneven(true, 720, seed);
        scale_result measured = scale_measure_uneven(false, 720, seed);
        double before = scale_in_time_share(&ignored);
        double now = scale_in_time_share(&measured);
        ck_assert_msg(before >= IN_TIME_SHARE_MIN,
                      "seed %d: %.3f in time without", (int)seed, before);
        ck_assert_msg(now >= IN_TIME_SHARE_MIN, "seed %d: %.3f in time",
                      (int)seed, now);
        ck_assert_msg(measured.slow_share <= 0.9 * ignored.slow_share,
                      "seed %d: %.3f at slow runners, %.3f without", (int)seed,
                      measured.slow_share, ignored.slow_share);
    }
}
END_TEST

TEST_MAIN("uneven", slow_runners_get_shorter_queues);
