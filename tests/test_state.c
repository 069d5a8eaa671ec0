#include "bbm_codes.h"
#include "bbm_state.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

static const char config_text[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":10,\"burst\":100}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"},"
    "{\"name\":\"d\",\"rate\":\"r\"}]}";

typedef struct fixture {
    bbm_state *state;
    uint64_t index;
    bbm_outcome out;
} fixture;

static int
apply(fixture *f, const bbm_command *cmd)
{
    bbm_buf buf = {0};
    bbm_outcome_free(&f->out);
    bbm_command_encode(cmd, &buf);
    bbm_state_apply(f->state, ++f->index, buf.data, buf.len, &f->out);
    bbm_buf_free(&buf);
    return f->out.code;
}

static int
publish(fixture *f, const char *id, uint64_t expected, const char *text)
{
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH};
    bbm_name_set(cmd.u.publish.id, id);
    cmd.u.publish.expected = expected;
    cmd.u.publish.text =
        (bbm_bytes){.data = (const uint8_t *)text, .len = strlen(text)};
    return apply(f, &cmd);
}

static int
apply_key(fixture *f, bbm_command_kind kind, const char *name,
          const char *secret)
{
    bbm_command cmd = {.kind = kind};
    bbm_name_set(cmd.u.key.name, name);
    bbm_name_set(cmd.u.key.customer, "c");
    cmd.u.key.digest = bbm_digest_of(secret, strlen(secret), NULL);
    return apply(f, &cmd);
}

static int
claim(fixture *f, const char *customer, int key, int body, uint64_t run,
      uint64_t count, int64_t at_ms)
{
    bbm_command cmd = {.kind = BBM_CMD_CLAIM, .at_ms = at_ms};
    bbm_name_set(cmd.u.claim.customer, customer);
    bbm_name_set(cmd.u.claim.node, "vm-1");
    cmd.u.claim.key_digest = bbm_digest_of(&key, sizeof(key), NULL);
    cmd.u.claim.request_digest = bbm_digest_of(&body, sizeof(body), NULL);
    cmd.u.claim.request = (bbm_request_id){.run = run, .sequence = count};
    return apply(f, &cmd);
}

static int
end_claim(fixture *f, int key, uint64_t run, uint64_t count,
          bbm_claim_end result)
{
    bbm_command cmd = {.kind = BBM_CMD_CLAIM_END};
    bbm_name_set(cmd.u.claim_end.customer, "c");
    cmd.u.claim_end.key_digest = bbm_digest_of(&key, sizeof(key), NULL);
    cmd.u.claim_end.request = (bbm_request_id){.run = run, .sequence = count};
    cmd.u.claim_end.result = result;
    cmd.u.claim_end.status = 201;
    cmd.u.claim_end.body =
        (bbm_bytes){.data = (const uint8_t *)"booked", .len = 6};
    return apply(f, &cmd);
}

static fixture
setup(void)
{
    fixture f = {.state = bbm_state_create(&(bbm_state_desc){0})};
    ck_assert_int_eq(publish(&f, "first", 0, config_text), 0);
    return f;
}

static void
teardown(fixture *f)
{
    bbm_outcome_free(&f->out);
    bbm_state_destroy(f->state);
}

START_TEST(concurrent_publish_conflicts_and_resend_is_idempotent)
{
    fixture f = setup();
    ck_assert_int_eq(publish(&f, "a", 1, config_text), 0);
    ck_assert_uint_eq(f.out.number, 2);
    ck_assert_int_eq(publish(&f, "b", 1, config_text), BBM_ERR_CONFLICT);
    ck_assert_int_eq(publish(&f, "a", 1, config_text), 0);
    ck_assert_uint_eq(f.out.number, 2);
    ck_assert_int_eq(publish(&f, "c", 2, "{\"x\":1}"), BBM_ERR_INVALID_CONFIG);
    ck_assert_uint_gt(f.out.body.len, 0);
    ck_assert_uint_eq(bbm_registry_revision(bbm_state_registry(f.state)), 2);
    teardown(&f);
}
END_TEST

/* Documents of a configuration of many pools, which the caller frees. */
static char *
write_pools(int count)
{
    bbm_buf text = {0};
    char pool[64];
    bbm_buf_add(&text, "{\"pools\":[", 10);
    for (int i = 0; i < count; i++) {
        snprintf(pool, sizeof(pool), "%s{\"name\":\"pool-%d\"}", i ? "," : "",
                 i);
        bbm_buf_add(&text, pool, strlen(pool));
    }
    bbm_buf_add(&text, "]}", 3);
    return (char *)text.data;
}

/* A large configuration travels and is kept compressed, and builds that don't
   know that get it as it was: its revision must be the same for all. */
START_TEST(compressed_publish_is_as_the_plain_one)
{
    BBM_AUTO_FREE char *text = write_pools(500);
    fixture f = setup();
    bbm_command plain = {.kind = BBM_CMD_PUBLISH};
    bbm_name_set(plain.u.publish.id, "many");
    plain.u.publish.expected = 1;
    plain.u.publish.text =
        (bbm_bytes){.data = (const uint8_t *)text, .len = strlen(text)};
    plain.u.publish.source = plain.u.publish.text;
    bbm_command cmd = plain;
    bbm_buf storage = {0};
    bbm_buf plain_bytes = {0};
    bbm_buf bytes = {0};
    bbm_buf converted = {0};
    bbm_command_deflate(&cmd, &storage);
    bbm_command_encode(&plain, &plain_bytes);
    bbm_command_encode(&cmd, &bytes);
    ck_assert_uint_lt(bytes.len, plain_bytes.len / 8);
    ck_assert(bbm_command_is_public(bytes.data, bytes.len));
    ck_assert_int_eq(bbm_command_format(bytes.data, bytes.len),
                     BBM_FORMAT_DEFLATED);
    ck_assert_int_eq(bbm_command_convert(bytes.data, bytes.len,
                                         BBM_FORMAT_RELEASES, &converted),
                     0);
    ck_assert_uint_eq(converted.len, plain_bytes.len);
    ck_assert_mem_eq(converted.data, plain_bytes.data, plain_bytes.len);
    ck_assert_int_eq(apply(&f, &cmd), 0);
    bbm_revision rev;
    ck_assert(bbm_registry_current(bbm_state_registry(f.state), &rev));
    ck_assert_uint_eq(rev.number, 2);
    ck_assert_str_eq(rev.text, text);
    ck_assert_str_eq(rev.source, text);
    /* A VM that starts gets it compressed too. */
    bbm_buf snapshot = {0};
    bbm_state *copy = bbm_state_create(&(bbm_state_desc){0});
    bbm_state_encode_public(f.state, BBM_FORMAT_LATEST, &snapshot);
    ck_assert_uint_lt(snapshot.len, plain_bytes.len / 8);
    ck_assert_int_eq(
        bbm_state_decode_public(copy, snapshot.data, snapshot.len), 0);
    ck_assert(bbm_registry_current(bbm_state_registry(copy), &rev));
    ck_assert_str_eq(rev.text, text);
    bbm_state_destroy(copy);
    bbm_buf_free(&snapshot);
    bbm_buf_free(&converted);
    bbm_buf_free(&bytes);
    bbm_buf_free(&plain_bytes);
    bbm_buf_free(&storage);
    teardown(&f);
}
END_TEST

/* A stream that is cut, or longer or shorter than stated, changes nothing. */
START_TEST(damaged_compressed_publish_is_refused)
{
    BBM_AUTO_FREE char *text = write_pools(500);
    fixture f = setup();
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH};
    cmd.u.publish.version = 5;
    cmd.u.publish.text =
        (bbm_bytes){.data = (const uint8_t *)text, .len = strlen(text)};
    bbm_buf storage = {0};
    bbm_command_deflate(&cmd, &storage);
    size_t len = strlen(text);
    size_t lens[] = {0, len - 1, len + 1, (size_t)16 * 1024 * 1024};
    for (size_t i = 0; i < BBM_COUNT(lens); i++) {
        cmd.u.publish.text.len = lens[i];
        ck_assert_int_eq(apply(&f, &cmd), BBM_ERR_DECODE);
    }
    cmd.u.publish.text.len = len;
    cmd.u.publish.deflated.len--;
    ck_assert_int_eq(apply(&f, &cmd), BBM_ERR_DECODE);
    ck_assert_uint_eq(bbm_registry_revision(bbm_state_registry(f.state)), 1);
    cmd.u.publish.deflated.len++;
    ck_assert_int_eq(apply(&f, &cmd), 0);
    bbm_buf_free(&storage);
    teardown(&f);
}
END_TEST

START_TEST(withdrawn_key_stays_withdrawn)
{
    fixture f = setup();
    bbm_digest digest = bbm_digest_of("secret", 6, NULL);
    bbm_key_info found;
    const bbm_registry *reg = bbm_state_registry(f.state);
    ck_assert_int_eq(apply_key(&f, BBM_CMD_KEY_ADD, "k", "secret"), 0);
    ck_assert_int_eq(apply_key(&f, BBM_CMD_KEY_ADD, "k", "secret"), 0);
    ck_assert_int_eq(apply_key(&f, BBM_CMD_KEY_ADD, "k", "other"),
                     BBM_ERR_EXISTS);
    ck_assert(bbm_registry_find_key(reg, &digest, &found));
    ck_assert_str_eq(found.customer, "c");
    ck_assert_int_eq(apply_key(&f, BBM_CMD_KEY_WITHDRAW, "k", ""), 0);
    ck_assert(!bbm_registry_find_key(reg, &digest, &found));
    ck_assert_int_eq(apply_key(&f, BBM_CMD_KEY_ADD, "k", "secret"),
                     BBM_ERR_EXISTS);
    /* A configuration that contains the key doesn't make it valid again. */
    char hex[2 * BBM_DIGEST_SIZE + 1];
    char text[512];
    bbm_digest_hex(&digest, hex);
    snprintf(text, sizeof(text),
             "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1,\"burst\":1}],"
             "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
             "\"keys\":[{\"name\":\"k\",\"customer\":\"c\","
             "\"digest\":\"%s\"}]}",
             hex);
    ck_assert_int_eq(publish(&f, "later", 1, text), 0);
    ck_assert(!bbm_registry_find_key(reg, &digest, &found));
    teardown(&f);
}
END_TEST

START_TEST(claim_is_created_once)
{
    fixture f = setup();
    ck_assert_int_eq(claim(&f, "c", 1, 1, 10, 1, 1000), 0);
    ck_assert(!f.out.answered);
    /* Resend of the claim; repeated request; other body; other customer. */
    ck_assert_int_eq(claim(&f, "c", 1, 1, 10, 1, 1000), 0);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 10, 2, 1000), BBM_ERR_IDEM_RUNNING);
    ck_assert_int_eq(claim(&f, "c", 1, 2, 10, 3, 1000), BBM_ERR_IDEM_REUSED);
    ck_assert_int_eq(claim(&f, "d", 1, 1, 10, 4, 1000), 0);
    /* Only the request that made the claim may end it. */
    ck_assert_int_eq(end_claim(&f, 1, 10, 2, BBM_CLAIM_ANSWERED),
                     BBM_ERR_NOT_FOUND);
    ck_assert_int_eq(end_claim(&f, 1, 10, 1, BBM_CLAIM_ANSWERED), 0);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 11, 9, 1000), 0);
    ck_assert(f.out.answered);
    ck_assert_uint_eq(f.out.status, 201);
    ck_assert_mem_eq(f.out.body.data, "booked", 6);
    teardown(&f);
}
END_TEST

START_TEST(ended_run_leaves_outcome_unknown)
{
    fixture f = setup();
    claim(&f, "c", 1, 1, 10, 1, 1000);
    bbm_command run_ended = {.kind = BBM_CMD_RUN_ENDED};
    bbm_name_set(run_ended.u.run_ended.node, "vm-1");
    run_ended.u.run_ended.run = 10;
    apply(&f, &run_ended);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 12, 1, 1000), BBM_ERR_IDEM_RUNNING);
    run_ended.u.run_ended.run = 11;
    apply(&f, &run_ended);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 12, 1, 1000), BBM_ERR_IDEM_UNKNOWN);
    /* NOT_RUN comes too late: a repeat may have got "outcome unknown". */
    end_claim(&f, 1, 10, 1, BBM_CLAIM_NOT_RUN);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 12, 1, 1000), BBM_ERR_IDEM_UNKNOWN);
    /* The answer is still accepted. */
    end_claim(&f, 1, 10, 1, BBM_CLAIM_ANSWERED);
    claim(&f, "c", 1, 1, 12, 1, 1000);
    ck_assert(f.out.answered);
    teardown(&f);
}
END_TEST

START_TEST(claims_expire_by_command_time)
{
    fixture f = setup();
    int64_t day = (int64_t)24 * 3600 * 1000;
    claim(&f, "c", 1, 1, 10, 1, 1000);
    claim(&f, "c", 2, 1, 10, 2, 1000 + day);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 10, 3, 1000 + day),
                     BBM_ERR_IDEM_RUNNING);
    /* A lower command time doesn't turn back the expiry: claim 1 has expired
       and can be made a second time. */
    claim(&f, "c", 3, 1, 10, 4, 2000 + day);
    ck_assert_int_eq(claim(&f, "c", 1, 1, 10, 5, 0), 0);
    teardown(&f);
}
END_TEST

static void
apply_quarantine(fixture *f, uint64_t part, int64_t at_ms, int64_t until_ms)
{
    bbm_command cmd = {.kind = BBM_CMD_QUARANTINE, .at_ms = at_ms};
    cmd.u.quarantine =
        (bbm_quarantined){.part = part, .until_ms = until_ms, .times = 1};
    apply(f, &cmd);
}

START_TEST(quarantined_parts_end_by_command_time)
{
    fixture f = setup();
    const bbm_registry *reg = bbm_state_registry(f.state);
    apply_quarantine(&f, 7, 1000, 5000);
    apply_quarantine(&f, 8, 2000, 9000);
    ck_assert(bbm_registry_is_quarantined(reg, 7));
    apply_quarantine(&f, 8, 3000, 0);
    ck_assert(!bbm_registry_is_quarantined(reg, 8));
    apply_quarantine(&f, 9, 5000, 9000);
    ck_assert(!bbm_registry_is_quarantined(reg, 7));
    ck_assert(bbm_registry_is_quarantined(reg, 9));
    for (uint64_t part = 100; part < 1000; part++)
        apply_quarantine(&f, part, 5000, 9000);
    bbm_quarantined q;
    ck_assert(!bbm_registry_quarantined_at(reg, BBM_QUARANTINED_MAX, &q));
    ck_assert(bbm_registry_is_quarantined(reg, 9));
    teardown(&f);
}
END_TEST

static void
apply_origin(fixture *f, uint64_t stream, uint64_t origin, int64_t at_ms)
{
    bbm_buf rows = {0};
    bbm_origin_row row = {
        .stream = stream, .origin = origin, .life_ms = 20000};
    bbm_put_u64(&rows, 1);
    bbm_origin_row_put(&rows, &row);
    bbm_command cmd = {.kind = BBM_CMD_ORIGINS,
                       .at_ms = at_ms,
                       .u.origins.rows = bbm_buf_view(&rows)};
    apply(f, &cmd);
    bbm_buf_free(&rows);
}

/* A stream keeps its first origin, also in a snapshot, until its life and the
   margin for clocks that differ have passed. */
START_TEST(origins_of_streams_are_kept_and_expire)
{
    fixture f = setup();
    apply_origin(&f, 1, 7, 1000);
    apply_origin(&f, 1, 8, 2000);
    apply_origin(&f, 2, 8, 3000);
    bbm_buf encoded = {0};
    bbm_state_encode(f.state, BBM_FORMAT_LATEST, &encoded);
    bbm_state *copy = bbm_state_create(&(bbm_state_desc){0});
    ck_assert_int_eq(bbm_state_decode(copy, encoded.data, encoded.len), 0);
    const bbm_origins *o = bbm_state_origins(copy);
    ck_assert_uint_eq(bbm_origins_find(o, 1, 21000), 7);
    ck_assert_uint_eq(bbm_origins_find(o, 2, 21000), 8);
    ck_assert_uint_eq(bbm_origins_find(o, 3, 21000), 0);
    ck_assert_uint_eq(bbm_origins_find(o, 1, 37000), 0);
    apply_origin(&f, 4, 7, 37000);
    ck_assert_uint_eq(bbm_origins_len(bbm_state_origins(f.state)), 2);
    bbm_state_destroy(copy);
    bbm_buf_free(&encoded);
    teardown(&f);
}
END_TEST

/* Version 2 has no list of quarantined parts at the end of its public state;
   its disks must stay readable.  Version 3 ends with that list. */
START_TEST(state_of_the_version_before_is_read)
{
    fixture f = setup();
    apply_key(&f, BBM_CMD_KEY_ADD, "k", "secret");
    bbm_buf encoded = {0};
    bbm_state_encode_public(f.state, BBM_FORMAT_STATED, &encoded);
    ck_assert_uint_eq(bbm_state_version_of(encoded.data, encoded.len), 3);
    bbm_state *copy = bbm_state_create(&(bbm_state_desc){0});
    encoded.data[0]--;
    encoded.len--;
    ck_assert_int_eq(bbm_state_decode_public(copy, encoded.data, encoded.len),
                     0);
    ck_assert(bbm_registry_key_valid(bbm_state_registry(copy), "k"));
    encoded.data[0]--;
    bbm_state *other = bbm_state_create(&(bbm_state_desc){0});
    ck_assert_int_lt(bbm_state_decode_public(other, encoded.data, encoded.len),
                     0);
    bbm_state_destroy(copy);
    bbm_state_destroy(other);
    bbm_buf_free(&encoded);
    teardown(&f);
}
END_TEST

/* ---- releases ---- */

static void
apply_release(fixture *f, const char *build, uint64_t duration_ms)
{
    bbm_command cmd = {.kind = BBM_CMD_RELEASE};
    cmd.u.release.is_order = true;
    bbm_name_set(cmd.u.release.info.pool, "p");
    bbm_name_set(cmd.u.release.info.build, build);
    cmd.u.release.info.duration_ms = duration_ms;
    cmd.u.release.info.share = 40;
    apply(f, &cmd);
}

static void
apply_step(fixture *f, bbm_release_info change)
{
    bbm_command cmd = {.kind = BBM_CMD_RELEASE, .u.release.info = change};
    apply(f, &cmd);
}

static const bbm_release_info *
release_of(const bbm_state *state)
{
    return bbm_releases_latest(
        bbm_registry_releases(bbm_state_registry(state)), "p");
}

static void
publish_pool(fixture *f)
{
    static const char text[] = "{\"pools\":[{\"name\":\"p\"}]}";
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH};
    cmd.u.publish.expected =
        bbm_registry_revision(bbm_state_registry(f->state));
    bbm_name_set(cmd.u.publish.id, "pool");
    cmd.u.publish.text =
        (bbm_bytes){.data = (const uint8_t *)text, .len = sizeof(text) - 1};
    apply(f, &cmd);
    ck_assert_int_eq(f->out.code, BBM_OK);
}

/* A resent order must not be refused or begin the release again, also after
   its end and after a later order. */
START_TEST(resent_release_orders_change_nothing)
{
    fixture f = setup();
    publish_pool(&f);
    apply_release(&f, "v2", 12000);
    ck_assert_int_eq(f.out.code, BBM_OK);
    uint64_t serial = f.out.number;
    apply_step(&f, (bbm_release_info){.serial = serial,
                                      .stage = BBM_RELEASE_RAMP,
                                      .share = 350,
                                      .fence = 3});
    apply_release(&f, "v2", 12000);
    ck_assert_int_eq(f.out.code, BBM_OK);
    ck_assert_uint_eq(f.out.number, serial);
    ck_assert_int_eq(release_of(f.state)->stage, BBM_RELEASE_RAMP);
    apply_step(&f, (bbm_release_info){.serial = serial,
                                      .state = BBM_RELEASE_REVERTED,
                                      .step = 1,
                                      .fence = 3});
    apply_release(&f, "v2", 12000);
    ck_assert_int_eq(f.out.code, BBM_OK);
    ck_assert_int_eq(release_of(f.state)->state, BBM_RELEASE_REVERTED);
    apply_release(&f, "v3", 12000);
    ck_assert_int_eq(f.out.code, BBM_OK);
    apply_release(&f, "v2", 12000);
    ck_assert_int_eq(f.out.code, BBM_OK);
    ck_assert_uint_eq(f.out.number, serial);
    ck_assert_str_eq(release_of(f.state)->build, "v3");
    teardown(&f);
}
END_TEST

START_TEST(release_orders_are_refused_during_another_and_without_a_pool)
{
    fixture f = setup();
    apply_release(&f, "v2", 12000);
    ck_assert_int_eq(f.out.code, BBM_ERR_BAD_FIELD);
    publish_pool(&f);
    apply_release(&f, "v2", 12000);
    apply_release(&f, "v3", 12000);
    ck_assert_int_eq(f.out.code, BBM_ERR_CONFLICT);
    apply_release(&f, "v2", 9000);
    ck_assert_int_eq(f.out.code, BBM_ERR_CONFLICT);
    ck_assert_str_eq(release_of(f.state)->build, "v2");
    teardown(&f);
}
END_TEST

/* A proposal of a leader that was replaced meanwhile may arrive last. */
START_TEST(late_steps_of_a_release_are_refused)
{
    fixture f = setup();
    publish_pool(&f);
    apply_release(&f, "v2", 12000);
    bbm_release_info step = {
        .serial = f.out.number, .stage = BBM_RELEASE_RAMP, .fence = 5};
    apply_step(&f, step);
    ck_assert_int_eq(f.out.code, BBM_OK);
    apply_step(&f, step);
    ck_assert_int_eq(f.out.code, BBM_ERR_CONFLICT);
    step.step = 1;
    step.fence = 4;
    step.state = BBM_RELEASE_COMPLETED;
    apply_step(&f, step);
    ck_assert_int_eq(f.out.code, BBM_ERR_ORDER_FENCED);
    step.fence = 5;
    step.state = BBM_RELEASE_REVERTED;
    apply_step(&f, step);
    ck_assert_int_eq(f.out.code, BBM_OK);
    step.step = 2;
    step.fence = 6;
    step.state = BBM_RELEASE_COMPLETED;
    apply_step(&f, step);
    ck_assert_int_eq(f.out.code, BBM_ERR_CONFLICT);
    ck_assert_int_eq(release_of(f.state)->state, BBM_RELEASE_REVERTED);
    teardown(&f);
}
END_TEST

/* What was acknowledged is kept by snapshots and by VMs without a disk. */
START_TEST(releases_and_outcomes_survive_in_snapshots)
{
    fixture f = setup();
    publish_pool(&f);
    apply_release(&f, "v2", 12000);
    apply_step(&f, (bbm_release_info){.serial = f.out.number,
                                      .state = BBM_RELEASE_COMPLETED,
                                      .stage = BBM_RELEASE_FULL,
                                      .fence = 9,
                                      .age_ms = 7000});
    apply_release(&f, "v3", 8000);
    bbm_buf encoded = {0};
    bbm_state *copy = bbm_state_create(&(bbm_state_desc){0});
    bbm_state *public_copy = bbm_state_create(&(bbm_state_desc){0});
    bbm_state_encode(f.state, BBM_FORMAT_LATEST, &encoded);
    ck_assert_int_eq(bbm_state_decode(copy, encoded.data, encoded.len), 0);
    encoded.len = 0;
    bbm_state_encode_public(f.state, BBM_FORMAT_LATEST, &encoded);
    ck_assert_int_eq(
        bbm_state_decode_public(public_copy, encoded.data, encoded.len), 0);
    const bbm_state *copies[] = {copy, public_copy};
    for (size_t i = 0; i < 2; i++) {
        const bbm_releases *all =
            bbm_registry_releases(bbm_state_registry(copies[i]));
        ck_assert_uint_eq(all->len, 2);
        ck_assert_int_eq(all->items[0].state, BBM_RELEASE_COMPLETED);
        ck_assert_uint_eq(all->items[0].fence, 9);
        ck_assert_uint_eq(all->items[0].age_ms, 7000);
        ck_assert_str_eq(release_of(copies[i])->build, "v3");
        ck_assert_int_eq(release_of(copies[i])->state,
                         BBM_RELEASE_IN_PROGRESS);
        ck_assert_uint_eq(release_of(copies[i])->duration_ms, 8000);
    }
    bbm_state_destroy(copy);
    bbm_state_destroy(public_copy);
    bbm_buf_free(&encoded);
    teardown(&f);
}
END_TEST

START_TEST(old_releases_make_room)
{
    fixture f = setup();
    publish_pool(&f);
    for (int i = 0; i < 3 * BBM_RELEASES_PER_POOL; i++) {
        char build[BBM_NAME_SIZE];
        snprintf(build, sizeof(build), "v%d", i);
        apply_release(&f, build, 12000);
        ck_assert_int_eq(f.out.code, BBM_OK);
        apply_step(&f, (bbm_release_info){.serial = f.out.number,
                                          .state = BBM_RELEASE_COMPLETED});
    }
    const bbm_releases *all =
        bbm_registry_releases(bbm_state_registry(f.state));
    ck_assert_uint_eq(all->len, BBM_RELEASES_PER_POOL);
    ck_assert_str_eq(release_of(f.state)->build, "v11");
    teardown(&f);
}
END_TEST

START_TEST(snapshot_round_trip_is_complete)
{
    fixture f = setup();
    apply_key(&f, BBM_CMD_KEY_ADD, "k", "secret");
    claim(&f, "c", 1, 1, 10, 1, 1000);
    end_claim(&f, 1, 10, 1, BBM_CLAIM_ANSWERED);
    bbm_command order = {.kind = BBM_CMD_ORDER};
    bbm_name_set(order.u.order.id, "o");
    bbm_name_set(order.u.order.engine, "e");
    apply(&f, &order);
    bbm_command ledger = {.kind = BBM_CMD_LEDGER};
    bbm_name_set(ledger.u.ledger.customer, "c");
    ledger.u.ledger.ledger =
        (bbm_bytes){.data = (const uint8_t *)"b", .len = 1};
    apply(&f, &ledger);
    apply_quarantine(&f, 7, 1000, 5000);
    bbm_buf encoded = {0};
    bbm_buf reencoded = {0};
    bbm_state_encode(f.state, BBM_FORMAT_LATEST, &encoded);
    bbm_state *copy = bbm_state_create(&(bbm_state_desc){0});
    ck_assert_int_eq(bbm_state_decode(copy, encoded.data, encoded.len), 0);
    bbm_state_encode(copy, BBM_FORMAT_LATEST, &reencoded);
    ck_assert_uint_eq(encoded.len, reencoded.len);
    ck_assert_mem_eq(encoded.data, reencoded.data, encoded.len);
    /* A truncated snapshot is refused and changes nothing. */
    for (size_t len = 0; len < encoded.len; len += 7)
        ck_assert_int_lt(bbm_state_decode(copy, encoded.data, len), 0);
    ck_assert_uint_eq(bbm_state_index(copy), f.index);
    bbm_state_destroy(copy);
    bbm_buf_free(&encoded);
    bbm_buf_free(&reencoded);
    teardown(&f);
}
END_TEST

#define TAIL_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define LONG_TEXT_BYTES ((size_t)100 * 1024)
#define HISTORY_MAX 1024

/* Guards against a state that grows with each change: revisions, their texts,
   commands for other VMs and versions of weights. */
START_TEST(changes_leave_a_bounded_history)
{
    fixture f = setup();
    const bbm_registry *reg = bbm_state_registry(f.state);
    uint64_t revision = bbm_registry_revision(reg);
    BBM_AUTO_FREE char *text = bbm_calloc(LONG_TEXT_BYTES + 1, 1);
    snprintf(text, LONG_TEXT_BYTES + 1, "%s%*s", config_text,
             (int)(LONG_TEXT_BYTES - strlen(config_text)), "");
    for (int i = 0; i < HISTORY_MAX + 100; i++) {
        char id[BBM_NAME_SIZE];
        snprintf(id, sizeof(id), "h-%d", i);
        ck_assert_int_eq(publish(&f, id, revision++, text), BBM_OK);
        bbm_command cmd = {.kind = BBM_CMD_WEIGHTS};
        bbm_name_set(cmd.u.weights.model, "m");
        cmd.u.weights.version = (uint64_t)i + 1;
        apply(&f, &cmd);
    }
    bbm_revision rev;
    bbm_weights_version version;
    ck_assert(!bbm_registry_history(reg, HISTORY_MAX, &rev));
    ck_assert(
        !bbm_registry_weights_at(reg, BBM_WEIGHTS_VERSIONS_MAX, &version));
    ck_assert_uint_le(bbm_state_tail_bytes(f.state), TAIL_BYTES_MAX);
    ck_assert_uint_le(bbm_registry_text_bytes(reg), 64 * LONG_TEXT_BYTES);
    teardown(&f);
}
END_TEST

#define MANY_ROWS 100001

/* Of @p count keys, each with a digest of its own. */
static char *
config_of_keys(int count)
{
    char *text = bbm_calloc((size_t)count + 4, 160);
    char *at = text
               + sprintf(text, "{\"rates\":[{\"name\":\"r\","
                               "\"tokens_per_s\":10,\"burst\":100}],"
                               "\"customers\":[{\"name\":\"c\",\"rate\":"
                               "\"r\"}],\"keys\":[");
    for (int i = 0; i < count; i++)
        at += sprintf(at,
                      "%s{\"name\":\"k%d\",\"customer\":\"c\","
                      "\"digest\":\"%064x\"}",
                      i ? "," : "", i, (unsigned)i + 1);
    sprintf(at, "]}");
    return text;
}

/* A VM couldn't read its own snapshot again if a configuration had more than
   100,000 keys, or operators had named many models or draining VMs. */
START_TEST(snapshot_of_many_rows_is_read)
{
    fixture f = setup();
    uint64_t revision = bbm_registry_revision(bbm_state_registry(f.state));
    BBM_AUTO_FREE char *text = config_of_keys(MANY_ROWS);
    ck_assert_int_eq(publish(&f, "many", revision, text), BBM_OK);
    for (int i = 0; i < MANY_ROWS; i++) {
        bbm_command weights = {.kind = BBM_CMD_WEIGHTS};
        snprintf(weights.u.weights.model, BBM_NAME_SIZE, "m%d", i);
        weights.u.weights.version = 1;
        apply(&f, &weights);
        bbm_command drain = {.kind = BBM_CMD_DRAIN};
        snprintf(drain.u.drain.node, BBM_NAME_SIZE, "n%d", i);
        drain.u.drain.draining = true;
        apply(&f, &drain);
    }
    bbm_buf snapshot = {0};
    bbm_state_encode(f.state, BBM_FORMAT_LATEST, &snapshot);
    bbm_state *read = bbm_state_create(&(bbm_state_desc){0});
    ck_assert_int_eq(bbm_state_decode(read, snapshot.data, snapshot.len),
                     BBM_OK);
    ck_assert(bbm_registry_is_draining(bbm_state_registry(read), "n100000"));
    bbm_state_destroy(read);
    bbm_buf_free(&snapshot);
    teardown(&f);
}
END_TEST

START_TEST(new_order_supersedes_open_order)
{
    fixture f = setup();
    bbm_command order = {.kind = BBM_CMD_ORDER};
    bbm_name_set(order.u.order.engine, "e");
    bbm_name_set(order.u.order.id, "one");
    apply(&f, &order);
    uint64_t fence = f.out.number;
    apply(&f, &order);
    ck_assert_uint_eq(f.out.number, fence);
    bbm_name_set(order.u.order.id, "two");
    apply(&f, &order);
    ck_assert_uint_gt(f.out.number, fence);
    bbm_order first;
    ck_assert(bbm_orders_at(bbm_state_orders(f.state), 0, &first));
    ck_assert_int_eq(first.state, BBM_ORDER_FAILED);
    ck_assert_int_eq(first.code, BBM_ERR_ORDER_FENCED);
    teardown(&f);
}
END_TEST

TEST_MAIN("state", snapshot_of_many_rows_is_read,
          changes_leave_a_bounded_history,
          compressed_publish_is_as_the_plain_one,
          damaged_compressed_publish_is_refused,
          quarantined_parts_end_by_command_time,
          origins_of_streams_are_kept_and_expire,
          state_of_the_version_before_is_read,
          concurrent_publish_conflicts_and_resend_is_idempotent,
          withdrawn_key_stays_withdrawn, claim_is_created_once,
          ended_run_leaves_outcome_unknown, claims_expire_by_command_time,
          resent_release_orders_change_nothing,
          release_orders_are_refused_during_another_and_without_a_pool,
          late_steps_of_a_release_are_refused,
          releases_and_outcomes_survive_in_snapshots, old_releases_make_room,
          snapshot_round_trip_is_complete, new_order_supersedes_open_order);
