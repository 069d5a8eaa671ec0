/* Decisions on the life of a connection to another daemon, without one. */
#include "link.h"
#include "test_main.h"

#define START (100 * BBM_SECOND)

START_TEST(connection_that_is_not_made_in_time_is_tried_again)
{
    link_life life;
    link_open(&life, START);
    ck_assert_int_eq(
        link_before_send(&life, false, START + LINK_CONNECT_TIMEOUT),
        LINK_USE);
    ck_assert_int_eq(
        link_before_send(&life, false, START + LINK_CONNECT_TIMEOUT + 1),
        LINK_REOPEN);
}
END_TEST

/* A peer that is silent, or to which nothing is sent, costs no connection. */
START_TEST(connection_that_stands_is_used_whatever_its_age)
{
    link_life life;
    link_open(&life, START);
    link_connected(&life, START + BBM_MS);
    ck_assert_int_eq(link_before_send(&life, true, START + 3600 * BBM_SECOND),
                     LINK_USE);
    ck_assert(!link_take_loss(&life, 0, START + 3600 * BBM_SECOND).lost);
}
END_TEST

/* The time for a new connection runs from the loss, not from the first
   opening: what is queued isn't thrown away at once. */
START_TEST(lost_connection_has_time_to_be_made_again)
{
    link_life life;
    bbm_time lost_at = START + 60 * BBM_SECOND;
    link_open(&life, START);
    link_connected(&life, START + BBM_MS);
    link_loss loss = link_take_loss(&life, 1, lost_at);
    ck_assert(loss.lost);
    ck_assert_int_eq(loss.age, lost_at - START - BBM_MS);
    ck_assert_int_eq(
        link_before_send(&life, false, lost_at + LINK_CONNECT_TIMEOUT),
        LINK_USE);
    ck_assert_int_eq(
        link_before_send(&life, false, lost_at + LINK_CONNECT_TIMEOUT + 1),
        LINK_REOPEN);
    /* The same loss is told once; that of the next connection again. */
    ck_assert(!link_take_loss(&life, 1, lost_at + 1).lost);
    link_connected(&life, lost_at + 50 * BBM_MS);
    loss = link_take_loss(&life, 2, lost_at + 750 * BBM_MS);
    ck_assert(loss.lost);
    ck_assert_int_eq(loss.age, 700 * BBM_MS);
}
END_TEST

START_TEST(loss_counts_what_was_sent_within_two_timeouts)
{
    link_life life;
    bbm_time now = START;
    link_open(&life, now);
    link_connected(&life, now);
    for (int i = 0; i < 100; i++) {
        link_sent(&life, now);
        now += 100 * BBM_MS;
    }
    link_loss loss = link_take_loss(&life, 1, now);
    ck_assert_uint_ge(loss.unproved, LINK_UNACKED_TIMEOUT / (100 * BBM_MS));
    ck_assert_uint_le(loss.unproved,
                      2 * LINK_UNACKED_TIMEOUT / (100 * BBM_MS));
    ck_assert_int_eq(loss.idle, 100 * BBM_MS);
    link_connected(&life, now);
    ck_assert_uint_eq(link_take_loss(&life, 2, now).unproved, 0);
}
END_TEST

TEST_MAIN("link", connection_that_is_not_made_in_time_is_tried_again,
          connection_that_stands_is_used_whatever_its_age,
          lost_connection_has_time_to_be_made_again,
          loss_counts_what_was_sent_within_two_timeouts);
