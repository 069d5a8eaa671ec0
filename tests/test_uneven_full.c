/* Placement on runners of different speed, near the capacity of the pool. */
#include "scale_world.h"
#include "test_main.h"

/* At least nine in ten answers begin in time. */
#define IN_TIME_SHARE_MIN 0.9

/* Near the capacity of the pool, expected waits by the measured speed made
   more copies of the prefixes of slow runners than the caches hold. */
START_TEST(measured_speeds_lose_no_answers)
{
    scale_result ignored = scale_measure_uneven(true, 880, 3);
    scale_result measured = scale_measure_uneven(false, 880, 3);
    double before = scale_in_time_share(&ignored);
    double now = scale_in_time_share(&measured);
    ck_assert_msg(before >= IN_TIME_SHARE_MIN, "%.3f in time without", before);
    ck_assert_msg(now >= IN_TIME_SHARE_MIN, "%.3f in time", now);
}
END_TEST

TEST_MAIN("uneven_full", measured_speeds_lose_no_answers);
