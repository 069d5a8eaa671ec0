/* The budget of the bytes that a daemon holds: what has room, and which
   unfinished body is evicted first. */
#include "memory_budget.h"
#include "test_main.h"

#define MACHINE_BYTES ((size_t)88 * 1000 * 1000)
#define LARGE_BYTES ((size_t)4 * 1024 * 1024)
#define NOW (100 * BBM_SECOND)

/* Without load a single body within the limits must be served, also on the
   smallest machine. */
START_TEST(one_body_has_room)
{
    memory_budget b;
    memory_budget_init(&b, MACHINE_BYTES);
    ck_assert(memory_budget_take(&b, MEMORY_BODIES, LARGE_BYTES, LARGE_BYTES));
    memory_budget_give(&b, MEMORY_BODIES, LARGE_BYTES);
    ck_assert_uint_eq(memory_budget_held(&b, MEMORY_BODIES), 0);
    /* Longer than the share of bodies, but the only one, in pieces. */
    size_t len = b.total - 1;
    ck_assert_uint_gt(len, b.shares[MEMORY_BODIES]);
    ck_assert(memory_budget_take(&b, MEMORY_BODIES, len / 2, len / 2));
    ck_assert(memory_budget_take(&b, MEMORY_BODIES, len - len / 2, len));
}
END_TEST

/* Many large bodies must not use up the machine's memory. */
START_TEST(large_bodies_are_bounded)
{
    memory_budget b;
    memory_budget_init(&b, MACHINE_BYTES);
    size_t taken = 0;
    for (int i = 0; i < 1000; i++)
        taken +=
            memory_budget_take(&b, MEMORY_BODIES, LARGE_BYTES, LARGE_BYTES);
    ck_assert_uint_ge(taken, 2);
    ck_assert_uint_le(taken * LARGE_BYTES, b.shares[MEMORY_BODIES]);
    ck_assert_uint_eq(memory_budget_held(&b, MEMORY_BODIES),
                      taken * LARGE_BYTES);
    ck_assert_uint_eq(atomic_load(&b.refused), 1000 - taken);
}
END_TEST

/* An ordinary request must have room when large items hold all they can. */
START_TEST(small_items_have_room_beside_large_ones)
{
    memory_budget b;
    memory_budget_init(&b, MACHINE_BYTES);
    for (int holder = 0; holder < MEMORY_HOLDERS; holder++) {
        while (memory_budget_take(&b, (memory_holder)holder,
                                  MEMORY_SMALL_BYTES + 1,
                                  MEMORY_SMALL_BYTES + 1))
            ;
    }
    for (int i = 0; i < 60; i++)
        ck_assert(memory_budget_take(&b, MEMORY_BODIES, MEMORY_SMALL_BYTES,
                                     MEMORY_SMALL_BYTES));
    ck_assert_uint_le(atomic_load(&b.held_sum), b.total);
}
END_TEST

/* Small items together must not exceed the total either. */
START_TEST(small_items_are_bounded)
{
    memory_budget b;
    memory_budget_init(&b, MACHINE_BYTES);
    while (memory_budget_take(&b, MEMORY_ANSWERS, MEMORY_SMALL_BYTES,
                              MEMORY_SMALL_BYTES))
        ;
    ck_assert_uint_le(atomic_load(&b.held_sum), b.total);
    ck_assert(!memory_budget_has_room(&b, MEMORY_BODIES, MEMORY_SMALL_BYTES,
                                      MEMORY_SMALL_BYTES));
}
END_TEST

/* What can't be refused still counts, and keeps large items out. */
START_TEST(forced_bytes_count)
{
    memory_budget b;
    memory_budget_init(&b, MACHINE_BYTES);
    memory_budget_force(&b, MEMORY_CONNECTIONS, b.total);
    ck_assert(!memory_budget_take(&b, MEMORY_BODIES, 1, 1));
    memory_budget_give(&b, MEMORY_CONNECTIONS, b.total);
    ck_assert(memory_budget_take(&b, MEMORY_BODIES, 1, 1));
}
END_TEST

/* The ordinary traffic of a VM of 88 MB, 40 requests a second of 55 KB that
   take 3 s each, must never meet the budget. */
START_TEST(ordinary_traffic_does_not_meet_the_budget)
{
    memory_budget b;
    memory_budget_init(&b, MACHINE_BYTES);
    for (int i = 0; i < 40 * 3; i++) {
        ck_assert(memory_budget_take(&b, MEMORY_BODIES, 55000, 55000));
        ck_assert(memory_budget_take(&b, MEMORY_ANSWERS, 16384, 16384));
        memory_budget_force(&b, MEMORY_CONNECTIONS, 32768);
        memory_budget_force(&b, MEMORY_TRANSFERS, 40960);
    }
    ck_assert_uint_eq(atomic_load(&b.refused), 0);
}
END_TEST

START_TEST(idle_bodies_are_evicted_first)
{
    const memory_body idle_small = {.bytes = 1000, .idle_at = 0};
    const memory_body idle_large = {.bytes = LARGE_BYTES,
                                    .idle_at = NOW - MEMORY_IDLE_TIME};
    const memory_body idle_longer = {.bytes = LARGE_BYTES, .idle_at = 0};
    const memory_body active = {.bytes = LARGE_BYTES * 2, .idle_at = NOW};
    const memory_body active_small = {.bytes = 2000, .idle_at = NOW};
    ck_assert(memory_budget_evict_before(&idle_small, &active, NOW));
    ck_assert(!memory_budget_evict_before(&active, &idle_small, NOW));
    ck_assert(memory_budget_evict_before(&idle_large, &idle_small, NOW));
    ck_assert(memory_budget_evict_before(&idle_longer, &idle_large, NOW));
    ck_assert(memory_budget_evict_before(&active, &active_small, NOW));
}
END_TEST

/* Of bodies that all grow, one must not discard the other for ever; but an
   ordinary request goes before a large one. */
START_TEST(growing_bodies_give_way_to_small_ones_only)
{
    const memory_body idle = {.bytes = 1000, .idle_at = 0};
    const memory_body active = {.bytes = LARGE_BYTES, .idle_at = NOW};
    const memory_body active_small = {.bytes = 2000, .idle_at = NOW};
    ck_assert(memory_budget_may_evict(&idle, LARGE_BYTES, NOW));
    ck_assert(!memory_budget_may_evict(&active, LARGE_BYTES, NOW));
    ck_assert(memory_budget_may_evict(&active, 9000, NOW));
    ck_assert(!memory_budget_may_evict(&active_small, 9000, NOW));
}
END_TEST

/* A client that reads slowly must not lose its answer while it reads, or while
   an unfinished body can give way. */
START_TEST(unread_answers_are_evicted_last)
{
    const memory_body body = {.bytes = 1000, .idle_at = NOW};
    const memory_body unread = {.bytes = LARGE_BYTES, .is_answer = true};
    const memory_body read = {.bytes = LARGE_BYTES,
                              .idle_at = NOW - MEMORY_UNREAD_TIME + 1,
                              .is_answer = true};
    ck_assert(memory_budget_evict_before(&body, &unread, NOW));
    ck_assert(!memory_budget_evict_before(&unread, &body, NOW));
    ck_assert(memory_budget_evict_before(&unread, &read, NOW));
    ck_assert(memory_budget_may_evict(&unread, LARGE_BYTES, NOW));
    ck_assert(!memory_budget_may_evict(&read, 1000, NOW));
}
END_TEST

START_TEST(the_machine_has_memory)
{
    ck_assert_uint_gt(memory_budget_detect(), 1000000);
    /* Without a budget nothing is counted or refused. */
    ck_assert(memory_budget_take(NULL, MEMORY_BODIES, 1, 1));
    memory_budget_give(NULL, MEMORY_BODIES, 1);
}
END_TEST

TEST_MAIN("memory", one_body_has_room, large_bodies_are_bounded,
          small_items_have_room_beside_large_ones, small_items_are_bounded,
          forced_bytes_count, ordinary_traffic_does_not_meet_the_budget,
          idle_bodies_are_evicted_first,
          growing_bodies_give_way_to_small_ones_only,
          unread_answers_are_evicted_last, the_machine_has_memory);
