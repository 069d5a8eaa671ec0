/* Which upstreams one VM uses while software is released. */
#include "bbm_codes.h"
#include "bbm_gate.h"
#include "bbm_hash.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define UPSTREAMS 4
#define VIEW_MAX (3 * BBM_SECOND)

static const char config_text[] =
    "{\"pools\":[{\"name\":\"p\",\"slots\":64}],\"routes\":["
    "{\"name\":\"get\",\"host\":\"h\",\"path\":\"/get/\",\"pools\":[\"p\"],"
    "\"open\":true,\"repeatable\":true,\"attempts\":2,\"aim_ms\":120}]}";

typedef struct fixture {
    bbm_gate *gate;
    bbm_config *config;
    bbm_time now;
    bbm_releases releases;
    uint64_t requests;
    uint64_t to_old;
    uint64_t to_new;
    uint64_t refused;
    bbm_forward_request last; /* last request sent */
} fixture;

typedef struct listed {
    bool has_old;
    bool has_new;
    bool marked; /* the new ones, as by the leader */
} listed;

static void
list(fixture *f, listed l)
{
    bbm_listing listing = {0};
    for (int i = 0; i < UPSTREAMS; i++) {
        bool is_new = i >= UPSTREAMS / 2;
        if (is_new ? !l.has_new : !l.has_old)
            continue;
        bbm_listing_entry u = {.slots = 64, .started_at_ms = 1};
        snprintf(u.id, sizeof(u.id), "u-%d", i);
        bbm_name_set(u.address, "10.0.0.1:80");
        bbm_name_set(u.pool, "p");
        bbm_name_set(u.build, is_new ? "v2" : "v1");
        u.loading = is_new && l.marked;
        bbm_listing_add(&listing, &u);
    }
    bbm_gate_set_listing(f->gate, &listing, f->now);
    bbm_listing_free(&listing);
}

static fixture
setup(void)
{
    fixture f = {.now = BBM_SECOND};
    bbm_doc_errors errors = {0};
    f.config =
        bbm_config_create(config_text, sizeof(config_text) - 1, &errors);
    ck_assert_ptr_nonnull(f.config);
    f.gate = bbm_gate_create(&(bbm_gate_desc){
        .seed = 3, .retry_slack = 100, .release_view_max = VIEW_MAX});
    bbm_gate_configure(f.gate, f.config, f.now);
    list(&f, (listed){.has_old = true, .has_new = true, .marked = true});
    return f;
}

static void
teardown(fixture *f)
{
    bbm_gate_destroy(f->gate);
    bbm_config_destroy(f->config);
    bbm_releases_free(&f->releases);
}

static void
drain(fixture *f)
{
    const bbm_gate_output *out;
    while ((out = bbm_gate_next_output(f->gate)) != NULL) {
        f->refused += out->kind == BBM_GATE_REFUSE;
        if (out->kind != BBM_GATE_SEND)
            continue;
        f->last = out->u.send.send;
        bool is_new = strcmp(f->last.build, "v2") == 0;
        f->to_new += is_new;
        f->to_old += !is_new;
    }
}

static void
begin(fixture *f)
{
    const bbm_route *route = NULL;
    HASH_FIND_STR(f->config->routes, "get", route);
    bbm_gate_request_desc r = {.request = ++f->requests,
                               .prompt_tokens = -1,
                               .output_tokens_max = -1,
                               .client_timeout = BBM_SECOND};
    bbm_gate_begin_request(f->gate, &r, route, NULL, f->now);
    drain(f);
}

static void
end(fixture *f, bbm_forward_outcome outcome)
{
    bbm_forward_result result = {
        .request = f->last.request,
        .attempt = f->last.attempt,
        .outcome = outcome,
        .status = outcome == BBM_FORWARD_COMPLETE ? 200 : 500,
    };
    bbm_gate_end_attempt(f->gate, &result, f->now);
    drain(f);
}

static void
serve(fixture *f, int requests)
{
    for (int i = 0; i < requests; i++) {
        f->now += 10 * BBM_MS;
        begin(f);
        end(f, BBM_FORWARD_COMPLETE);
    }
}

static void
order(fixture *f)
{
    bbm_release_info info = {.duration_ms = 12000, .share = 100};
    bbm_name_set(info.pool, "p");
    bbm_name_set(info.build, "v2");
    uint64_t serial;
    ck_assert_int_eq(bbm_releases_order(&f->releases, &info, &serial), BBM_OK);
    bbm_gate_set_releases(f->gate, &f->releases, f->now);
    bbm_gate_set_releases_fresh(f->gate, f->now);
}

static void
step(fixture *f, bbm_release_state state, bbm_release_stage stage,
     uint32_t share)
{
    bbm_release_info change = f->releases.items[0];
    change.state = state;
    change.stage = stage;
    change.share = share;
    ck_assert_int_eq(bbm_releases_step(&f->releases, &change), BBM_OK);
    bbm_gate_set_releases(f->gate, &f->releases, f->now);
    bbm_gate_set_releases_fresh(f->gate, f->now);
}

START_TEST(builds_are_equal_without_a_release)
{
    fixture f = setup();
    list(&f, (listed){.has_old = true, .has_new = true});
    serve(&f, 200);
    ck_assert_uint_gt(f.to_new, 50);
    ck_assert_uint_gt(f.to_old, 50);
    teardown(&f);
}
END_TEST

/* The leader marks the new upstreams for VMs that haven't heard of the
   order. */
START_TEST(marked_upstreams_get_nothing_before_the_order_is_known)
{
    fixture f = setup();
    serve(&f, 200);
    ck_assert_uint_eq(f.to_new, 0);
    order(&f);
    serve(&f, 200);
    ck_assert_uint_gt(f.to_new, 0);
    teardown(&f);
}
END_TEST

START_TEST(the_share_is_kept)
{
    fixture f = setup();
    order(&f);
    serve(&f, 200);
    ck_assert_uint_ge(f.to_new, 19);
    ck_assert_uint_le(f.to_new, 21);
    ck_assert_uint_eq(f.refused, 0);
    teardown(&f);
}
END_TEST

START_TEST(a_vm_without_updates_sends_nothing_to_the_new_build)
{
    fixture f = setup();
    order(&f);
    f.now += VIEW_MAX + BBM_MS;
    serve(&f, 200);
    ck_assert_uint_eq(f.to_new, 0);
    ck_assert_uint_eq(f.to_old, 200);
    bbm_gate_set_releases_fresh(f.gate, f.now);
    serve(&f, 100);
    ck_assert_uint_gt(f.to_new, 0);
    teardown(&f);
}
END_TEST

/* In the last stage the old upstreams may stop at any moment: a VM never goes
   back to them, also without updates. */
START_TEST(the_last_stage_leaves_the_old_build)
{
    fixture f = setup();
    order(&f);
    step(&f, BBM_RELEASE_IN_PROGRESS, BBM_RELEASE_FULL, 1000);
    serve(&f, 100);
    ck_assert_uint_eq(f.to_new, 100);
    ck_assert_uint_eq(f.to_old, 0);
    f.now += VIEW_MAX + BBM_MS;
    bbm_gate_tick(f.gate, f.now);
    begin(&f);
    ck_assert_uint_eq(f.to_new, 100);
    ck_assert_uint_eq(f.to_old, 0);
    /* It is held, and sent once an update arrives. */
    f.now += 100 * BBM_MS;
    bbm_gate_set_releases_fresh(f.gate, f.now);
    bbm_gate_tick(f.gate, f.now);
    drain(&f);
    ck_assert_uint_eq(f.to_new, 101);
    ck_assert_uint_eq(f.to_old, 0);
    teardown(&f);
}
END_TEST

START_TEST(a_reverted_build_gets_nothing)
{
    fixture f = setup();
    order(&f);
    step(&f, BBM_RELEASE_REVERTED, BBM_RELEASE_TRIAL, 100);
    list(&f, (listed){.has_old = true, .has_new = true});
    serve(&f, 100);
    ck_assert_uint_eq(f.to_new, 0);
    ck_assert_uint_eq(f.to_old, 100);
    teardown(&f);
}
END_TEST

/* The old build is used again only where the new one is gone: an operator may
   have gone back without an order. */
START_TEST(a_completed_build_serves_alone)
{
    fixture f = setup();
    order(&f);
    step(&f, BBM_RELEASE_COMPLETED, BBM_RELEASE_FULL, 1000);
    serve(&f, 100);
    ck_assert_uint_eq(f.to_new, 100);
    f.now += 10 * VIEW_MAX;
    bbm_gate_tick(f.gate, f.now);
    serve(&f, 100);
    ck_assert_uint_eq(f.to_new, 200);
    list(&f, (listed){.has_old = true});
    serve(&f, 10);
    ck_assert_uint_eq(f.to_old, 10);
    teardown(&f);
}
END_TEST

START_TEST(a_request_that_failed_at_the_new_build_goes_to_the_old_one)
{
    fixture f = setup();
    /* A VM that has just started has no part of the retry budget. */
    f.now += 11 * BBM_SECOND;
    bbm_gate_set_vm_count(f.gate, 1, false);
    serve(&f, 20);
    order(&f);
    while (f.to_new == 0) {
        begin(&f);
        if (f.to_new == 0)
            end(&f, BBM_FORWARD_COMPLETE);
    }
    uint64_t old = f.to_old;
    end(&f, BBM_FORWARD_FAILED);
    ck_assert_uint_eq(f.to_old, old + 1);
    ck_assert_uint_eq(f.to_new, 1);
    const bbm_evidence *e = bbm_gate_release_evidence(f.gate, 0, f.now);
    ck_assert_uint_eq(e->sends, 1);
    ck_assert_uint_eq(e->old_open, 1);
    uint32_t failures = 0;
    for (size_t i = 0; i < e->rows_len; i++)
        failures += e->rows[i].is_new ? e->rows[i].failures : 0;
    ck_assert_uint_eq(failures, 1);
    teardown(&f);
}
END_TEST

START_TEST(evidence_is_read_as_it_was_written)
{
    bbm_evidence e = {.serial = 3,
                      .age_ms = 5000,
                      .step = 2,
                      .stage = BBM_RELEASE_RAMP,
                      .requests = 70,
                      .sends = 8,
                      .old_open = 1};
    bbm_evidence copy = {0};
    bbm_buf buf = {0};
    bbm_evidence_add(&e, 11, 21, true, false, 30 * BBM_MS);
    bbm_evidence_add(&e, 11, 21, true, true, 0);
    bbm_evidence_add(&e, 12, 21, false, false, 20 * BBM_SECOND);
    bbm_evidence_put(&buf, &e);
    bbm_reader rd = bbm_reader_of(buf.data, buf.len);
    bbm_evidence_get(&rd, &copy);
    ck_assert(bbm_reader_done(&rd));
    ck_assert_uint_eq(copy.rows_len, 2);
    ck_assert_mem_eq(copy.rows, e.rows, 2 * sizeof(*e.rows));
    ck_assert_uint_eq(copy.rows[1].answers[BBM_EVIDENCE_BUCKETS - 1], 1);
    ck_assert_uint_eq(copy.age_ms, 5000);
    ck_assert_int_eq(copy.stage, BBM_RELEASE_RAMP);
    bbm_evidence_free(&copy);
    /* A truncated report is refused. */
    for (size_t len = 0; len < buf.len; len++) {
        rd = bbm_reader_of(buf.data, len);
        bbm_evidence_get(&rd, &copy);
        ck_assert(!bbm_reader_done(&rd));
        bbm_evidence_free(&copy);
    }
    bbm_evidence_free(&e);
    bbm_buf_free(&buf);
}
END_TEST

TEST_MAIN("gate_release", builds_are_equal_without_a_release,
          marked_upstreams_get_nothing_before_the_order_is_known,
          the_share_is_kept,
          a_vm_without_updates_sends_nothing_to_the_new_build,
          the_last_stage_leaves_the_old_build, a_reverted_build_gets_nothing,
          a_completed_build_serves_alone,
          a_request_that_failed_at_the_new_build_goes_to_the_old_one,
          evidence_is_read_as_it_was_written);
