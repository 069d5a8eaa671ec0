#include "bbm_codes.h"
#include "bbm_state.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

static const char document[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":10,\"burst\":100}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"},"
    "{\"name\":\"d\",\"rate\":\"r\"}]}";

typedef struct world {
    bbm_state *state;
    uint64_t index;
    bbm_outcome out;
} world;

static int
apply(world *w, const bbm_command *cmd)
{
    bbm_buf buf = {0};
    bbm_outcome_free(&w->out);
    bbm_command_encode(cmd, &buf);
    bbm_state_apply(w->state, ++w->index, buf.data, buf.len, &w->out);
    bbm_buf_free(&buf);
    return w->out.code;
}

static int
publish(world *w, const char *id, uint64_t expected, const char *text)
{
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH};
    bbm_name_set(cmd.u.publish.id, id);
    cmd.u.publish.expected = expected;
    cmd.u.publish.text =
        (bbm_bytes){.data = (const uint8_t *)text, .len = strlen(text)};
    return apply(w, &cmd);
}

static int
key(world *w, bbm_command_kind kind, const char *name, const char *secret)
{
    bbm_command cmd = {.kind = kind};
    bbm_name_set(cmd.u.key.name, name);
    bbm_name_set(cmd.u.key.customer, "c");
    cmd.u.key.digest = bbm_digest_of(secret, strlen(secret), NULL);
    return apply(w, &cmd);
}

static int
claim(world *w, const char *customer, int idem, int body, uint64_t run,
      uint64_t count, int64_t at_ms)
{
    bbm_command cmd = {.kind = BBM_CMD_CLAIM, .at_ms = at_ms};
    bbm_name_set(cmd.u.claim.customer, customer);
    bbm_name_set(cmd.u.claim.node, "vm-1");
    cmd.u.claim.idem = bbm_digest_of(&idem, sizeof(idem), NULL);
    cmd.u.claim.body = bbm_digest_of(&body, sizeof(body), NULL);
    cmd.u.claim.request = (bbm_request_id){.run = run, .sequence = count};
    return apply(w, &cmd);
}

static int
end_claim(world *w, int idem, uint64_t run, uint64_t count, bbm_claim_end how)
{
    bbm_command cmd = {.kind = BBM_CMD_CLAIM_END};
    bbm_name_set(cmd.u.claim_end.customer, "c");
    cmd.u.claim_end.idem = bbm_digest_of(&idem, sizeof(idem), NULL);
    cmd.u.claim_end.request = (bbm_request_id){.run = run, .sequence = count};
    cmd.u.claim_end.how = how;
    cmd.u.claim_end.status = 201;
    cmd.u.claim_end.body =
        (bbm_bytes){.data = (const uint8_t *)"booked", .len = 6};
    return apply(w, &cmd);
}

static world
begin(void)
{
    world w = {.state = bbm_state_create(&(bbm_state_desc){0})};
    ck_assert_int_eq(publish(&w, "first", 0, document), 0);
    return w;
}

static void
end(world *w)
{
    bbm_outcome_free(&w->out);
    bbm_state_destroy(w->state);
}

START_TEST(publishes_race_and_resends_get_the_first_answer)
{
    world w = begin();
    ck_assert_int_eq(publish(&w, "a", 1, document), 0);
    ck_assert_uint_eq(w.out.number, 2);
    ck_assert_int_eq(publish(&w, "b", 1, document), BBM_ERR_CONFLICT);
    ck_assert_int_eq(publish(&w, "a", 1, document), 0);
    ck_assert_uint_eq(w.out.number, 2);
    ck_assert_int_eq(publish(&w, "c", 2, "{\"x\":1}"), BBM_ERR_INVALID_CONFIG);
    ck_assert_uint_gt(w.out.body.len, 0);
    ck_assert_uint_eq(bbm_registry_revision(bbm_state_registry(w.state)), 2);
    end(&w);
}
END_TEST

START_TEST(a_withdrawn_key_stays_withdrawn)
{
    world w = begin();
    bbm_digest digest = bbm_digest_of("secret", 6, NULL);
    bbm_key_info found;
    const bbm_registry *reg = bbm_state_registry(w.state);
    ck_assert_int_eq(key(&w, BBM_CMD_KEY_ADD, "k", "secret"), 0);
    ck_assert_int_eq(key(&w, BBM_CMD_KEY_ADD, "k", "secret"), 0);
    ck_assert_int_eq(key(&w, BBM_CMD_KEY_ADD, "k", "other"), BBM_ERR_EXISTS);
    ck_assert(bbm_registry_find_key(reg, &digest, &found));
    ck_assert_str_eq(found.customer, "c");
    ck_assert_int_eq(key(&w, BBM_CMD_KEY_WITHDRAW, "k", ""), 0);
    ck_assert(!bbm_registry_find_key(reg, &digest, &found));
    ck_assert_int_eq(key(&w, BBM_CMD_KEY_ADD, "k", "secret"), BBM_ERR_EXISTS);
    /* A document that names it does not bring it back. */
    char hex[2 * BBM_DIGEST_SIZE + 1];
    char text[512];
    bbm_digest_hex(&digest, hex);
    snprintf(text, sizeof(text),
             "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1,\"burst\":1}],"
             "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
             "\"keys\":[{\"name\":\"k\",\"customer\":\"c\","
             "\"digest\":\"%s\"}]}",
             hex);
    ck_assert_int_eq(publish(&w, "again", 1, text), 0);
    ck_assert(!bbm_registry_find_key(reg, &digest, &found));
    end(&w);
}
END_TEST

START_TEST(a_claim_is_made_once)
{
    world w = begin();
    ck_assert_int_eq(claim(&w, "c", 1, 1, 10, 1, 1000), 0);
    ck_assert(!w.out.answered);
    /* Its own resend, a repeat, another body, another customer. */
    ck_assert_int_eq(claim(&w, "c", 1, 1, 10, 1, 1000), 0);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 10, 2, 1000), BBM_ERR_IDEM_RUNNING);
    ck_assert_int_eq(claim(&w, "c", 1, 2, 10, 3, 1000), BBM_ERR_IDEM_REUSED);
    ck_assert_int_eq(claim(&w, "d", 1, 1, 10, 4, 1000), 0);
    /* Only who claimed may end it. */
    ck_assert_int_eq(end_claim(&w, 1, 10, 2, BBM_CLAIM_ANSWERED),
                     BBM_ERR_NOT_FOUND);
    ck_assert_int_eq(end_claim(&w, 1, 10, 1, BBM_CLAIM_ANSWERED), 0);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 11, 9, 1000), 0);
    ck_assert(w.out.answered);
    ck_assert_uint_eq(w.out.status, 201);
    ck_assert_mem_eq(w.out.body.data, "booked", 6);
    end(&w);
}
END_TEST

START_TEST(a_lost_vm_leaves_the_outcome_unknown)
{
    world w = begin();
    claim(&w, "c", 1, 1, 10, 1, 1000);
    bbm_command gone = {.kind = BBM_CMD_RUN_ENDED};
    bbm_name_set(gone.u.run_ended.node, "vm-1");
    gone.u.run_ended.run = 10;
    apply(&w, &gone);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 12, 1, 1000), BBM_ERR_IDEM_RUNNING);
    gone.u.run_ended.run = 11;
    apply(&w, &gone);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 12, 1, 1000), BBM_ERR_IDEM_UNKNOWN);
    /* "Not run" from a VM that was thought gone comes too late. */
    end_claim(&w, 1, 10, 1, BBM_CLAIM_NOT_RUN);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 12, 1, 1000), BBM_ERR_IDEM_UNKNOWN);
    /* Its answer does not. */
    end_claim(&w, 1, 10, 1, BBM_CLAIM_ANSWERED);
    claim(&w, "c", 1, 1, 12, 1, 1000);
    ck_assert(w.out.answered);
    end(&w);
}
END_TEST

START_TEST(claims_are_kept_for_a_day_of_the_commands_time)
{
    world w = begin();
    int64_t day = (int64_t)24 * 3600 * 1000;
    claim(&w, "c", 1, 1, 10, 1, 1000);
    claim(&w, "c", 2, 1, 10, 2, 1000 + day);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 10, 3, 1000 + day),
                     BBM_ERR_IDEM_RUNNING);
    /* A clock that goes back frees nothing and brings nothing back. */
    claim(&w, "c", 3, 1, 10, 4, 2000 + day);
    ck_assert_int_eq(claim(&w, "c", 1, 1, 10, 5, 0), 0);
    end(&w);
}
END_TEST

START_TEST(a_snapshot_holds_everything)
{
    world w = begin();
    key(&w, BBM_CMD_KEY_ADD, "k", "secret");
    claim(&w, "c", 1, 1, 10, 1, 1000);
    end_claim(&w, 1, 10, 1, BBM_CLAIM_ANSWERED);
    bbm_command order = {.kind = BBM_CMD_ORDER};
    bbm_name_set(order.u.order.id, "o");
    bbm_name_set(order.u.order.engine, "e");
    apply(&w, &order);
    bbm_command ledger = {.kind = BBM_CMD_LEDGER};
    bbm_name_set(ledger.u.ledger.customer, "c");
    ledger.u.ledger.ledger =
        (bbm_bytes){.data = (const uint8_t *)"b", .len = 1};
    apply(&w, &ledger);
    bbm_buf one = {0};
    bbm_buf two = {0};
    bbm_state_encode(w.state, &one);
    bbm_state *copy = bbm_state_create(&(bbm_state_desc){0});
    ck_assert_int_eq(bbm_state_decode(copy, one.data, one.len), 0);
    bbm_state_encode(copy, &two);
    ck_assert_uint_eq(one.len, two.len);
    ck_assert_mem_eq(one.data, two.data, one.len);
    /* Every cut of it is refused and changes nothing. */
    for (size_t len = 0; len < one.len; len += 7)
        ck_assert_int_lt(bbm_state_decode(copy, one.data, len), 0);
    ck_assert_uint_eq(bbm_state_index(copy), w.index);
    bbm_state_destroy(copy);
    bbm_buf_free(&one);
    bbm_buf_free(&two);
    end(&w);
}
END_TEST

START_TEST(a_later_order_replaces_an_open_one)
{
    world w = begin();
    bbm_command order = {.kind = BBM_CMD_ORDER};
    bbm_name_set(order.u.order.engine, "e");
    bbm_name_set(order.u.order.id, "one");
    apply(&w, &order);
    uint64_t fence = w.out.number;
    apply(&w, &order);
    ck_assert_uint_eq(w.out.number, fence);
    bbm_name_set(order.u.order.id, "two");
    apply(&w, &order);
    ck_assert_uint_gt(w.out.number, fence);
    bbm_order first;
    ck_assert(bbm_orders_at(bbm_state_orders(w.state), 0, &first));
    ck_assert_int_eq(first.state, BBM_ORDER_FAILED);
    ck_assert_int_eq(first.code, BBM_ERR_ORDER_FENCED);
    end(&w);
}
END_TEST

TEST_MAIN("state", publishes_race_and_resends_get_the_first_answer,
          a_withdrawn_key_stays_withdrawn, a_claim_is_made_once,
          a_lost_vm_leaves_the_outcome_unknown,
          claims_are_kept_for_a_day_of_the_commands_time,
          a_snapshot_holds_everything, a_later_order_replaces_an_open_one);
