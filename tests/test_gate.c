/* Requests to pools: what callers get, request by request and under loads that
   are played in virtual time. */
#include "bbm_codes.h"
#include "bbm_gate.h"
#include "bbm_loads.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char document[] =
    "{\"pools\":[{\"name\":\"llm\",\"engine\":true,\"slots\":64,"
    "\"memory_tokens\":113846,\"token_bytes\":163840,\"link_mbps\":550000,"
    "\"prefill_tokens_per_s\":51000},{\"name\":\"api\",\"slots\":6}],"
    "\"routes\":["
    "{\"name\":\"once\",\"host\":\"h\",\"path\":\"/once/"
    "\",\"pools\":[\"api\"],"
    "\"timeout_ms\":1200,\"aim_ms\":150,\"attempts\":1},"
    "{\"name\":\"safe\",\"host\":\"h\",\"path\":\"/safe/"
    "\",\"pools\":[\"api\"],"
    "\"repeatable\":true,\"timeout_ms\":1200,\"aim_ms\":150,\"attempts\":2},"
    "{\"name\":\"check\",\"host\":\"h\",\"path\":\"/check/\","
    "\"pools\":[\"llm\"],\"stream\":true,\"timeout_ms\":5000,\"aim_ms\":600,"
    "\"gap_ms\":300,\"attempts\":1},"
    "{\"name\":\"ask\",\"host\":\"h\",\"path\":\"/ask/\",\"pools\":[\"llm\"],"
    "\"stream\":true,\"resumable\":true,\"timeout_ms\":15000,\"aim_ms\":400,"
    "\"gap_ms\":300,\"attempts\":2}]}";

typedef struct world {
    bbm_config *cfg;
    bbm_gate *gate;
    bbm_listing listing;
    bbm_time now;
    uint64_t requests;
} world;

static void
add_upstream(world *w, const char *id, const char *pool, uint64_t version)
{
    bbm_listing_entry u = {.slots = strcmp(pool, "api") == 0 ? 6 : 64};
    bbm_name_set(u.id, id);
    bbm_name_set(u.pool, pool);
    /* Runners are told apart by it as sources. */
    snprintf(u.address, sizeof(u.address), "10.0.0.%d:80", atoi(id + 2) + 1);
    if (version)
        bbm_listing_entry_set_version(&u, "m", version);
    bbm_listing_add(&w->listing, &u);
}

static void
relist(world *w)
{
    bbm_gate_set_listing(w->gate, &w->listing, w->now);
}

static world
begin_seeded(int runners, int servers, uint64_t seed)
{
    world w = {.now = 100 * BBM_SECOND};
    bbm_doc_errors wrong = {0};
    w.cfg = bbm_config_create(document, strlen(document), &wrong);
    ck_assert_ptr_nonnull(w.cfg);
    w.gate = bbm_gate_create(
        &(bbm_gate_desc){.zone = "a", .seed = seed, .retry_slack = 100});
    bbm_gate_configure(w.gate, w.cfg, w.now);
    char id[BBM_NAME_SIZE];
    for (int i = 0; i < runners; i++) {
        snprintf(id, sizeof(id), "r-%02d", i);
        add_upstream(&w, id, "llm", 1);
    }
    for (int i = 0; i < servers; i++) {
        snprintf(id, sizeof(id), "s-%02d", i);
        add_upstream(&w, id, "api", 0);
    }
    relist(&w);
    return w;
}

static world
begin(int runners, int servers)
{
    return begin_seeded(runners, servers, 1);
}

static void
end(world *w)
{
    bbm_gate_destroy(w->gate);
    bbm_config_destroy(w->cfg);
    bbm_listing_free(&w->listing);
}

/* A request; session 0 is a plain call. */
static uint64_t
ask(world *w, const char *path, uint64_t session)
{
    bbm_prompt_part parts[3] = {{1, 2520}, {session + 100, 3780}, {0, 2890}};
    parts[2].id = 1000000 + w->requests;
    bbm_gate_request_desc a = {
        .request = ++w->requests,
        .id = "id",
        .model = session ? "m" : "",
        .parts = parts,
        .parts_len = session ? 3 : 0,
        .prompt_tokens = session ? 9190 : -1,
        .output_tokens_max = session ? 50 : -1,
        .client_timeout = 5 * BBM_SECOND,
    };
    const bbm_route *r = bbm_config_host_route(w->cfg, "h", path);
    bbm_gate_begin_request(w->gate, &a, r, NULL, w->now);
    return a.request;
}

static const bbm_gate_output *
next(world *w, bbm_gate_kind kind)
{
    const bbm_gate_output *out = bbm_gate_next_output(w->gate);
    ck_assert_ptr_nonnull(out);
    ck_assert_int_eq(out->kind, kind);
    return out;
}

static bbm_forward_request
sent(world *w)
{
    return next(w, BBM_GATE_SEND)->u.send.send;
}

static void
nothing(world *w)
{
    ck_assert_ptr_null(bbm_gate_next_output(w->gate));
}

static void
ends(world *w, const bbm_forward_request *s, bbm_forward_outcome how,
     uint32_t status, const char *last_event)
{
    bbm_forward_result f = {
        .request = s->request,
        .attempt = s->attempt,
        .outcome = how,
        .status = status,
    };
    bbm_text_set(f.last_event_id, sizeof(f.last_event_id), last_event);
    bbm_gate_end_attempt(w->gate, &f, w->now);
}

/* ---- what may be sent again ---- */

START_TEST(once_means_once)
{
    world w = begin(0, 4);
    ask(&w, "/once/a", 0);
    bbm_forward_request s = sent(&w);
    ck_assert(!s.repeatable);
    ends(&w, &s, BBM_FORWARD_NO_ANSWER, 0, "");
    const bbm_gate_output *out = next(&w, BBM_GATE_ABORT);
    ck_assert_int_eq(out->u.cut.code, BBM_ERR_UPSTREAM);
    ck_assert_int_ne(bbm_code_ran(out->u.cut.code), BBM_RAN_NO);
    nothing(&w);
    end(&w);
}
END_TEST

START_TEST(not_run_goes_elsewhere)
{
    world w = begin(0, 4);
    ask(&w, "/once/a", 0);
    bbm_forward_request s = sent(&w);
    ends(&w, &s, BBM_FORWARD_NOT_RUN, 503, "");
    bbm_forward_request again = sent(&w);
    ck_assert_str_ne(s.upstream, again.upstream);
    ends(&w, &again, BBM_FORWARD_NOT_RUN, 503, "");
    bbm_forward_request third = sent(&w);
    ends(&w, &third, BBM_FORWARD_NOT_RUN, 503, "");
    const bbm_gate_output *out = next(&w, BBM_GATE_REFUSE);
    ck_assert_int_eq(bbm_code_ran(out->u.refuse.code), BBM_RAN_NO);
    ck_assert_int_gt(out->u.refuse.retry_after, 0);
    end(&w);
}
END_TEST

START_TEST(safe_calls_run_on_two_at_most)
{
    world w = begin(0, 4);
    ask(&w, "/safe/a", 0);
    bbm_forward_request s = sent(&w);
    ends(&w, &s, BBM_FORWARD_FAILED, 500, "");
    bbm_forward_request again = sent(&w);
    ck_assert_str_ne(s.upstream, again.upstream);
    /* The last attempt's failure is the upstream's own answer. */
    ck_assert(!again.repeatable);
    ends(&w, &again, BBM_FORWARD_NO_ANSWER, 0, "");
    next(&w, BBM_GATE_ABORT);
    end(&w);
}
END_TEST

START_TEST(unsent_says_not_run)
{
    world w = begin(0, 1);
    ask(&w, "/once/a", 0);
    bbm_forward_request s = sent(&w);
    ends(&w, &s, BBM_FORWARD_UNSENT, 0, "");
    w.now += BBM_SECOND;
    bbm_gate_tick(w.gate, w.now);
    const bbm_gate_output *out = next(&w, BBM_GATE_REFUSE);
    ck_assert_int_eq(bbm_code_ran(out->u.refuse.code), BBM_RAN_NO);
    end(&w);
}
END_TEST

/* After one attempt that may have run no later refusal says "not run". */
START_TEST(refusals_are_true)
{
    world w = begin(0, 2);
    ask(&w, "/safe/a", 0);
    bbm_forward_request s = sent(&w);
    ends(&w, &s, BBM_FORWARD_NO_ANSWER, 0, "");
    bbm_forward_request again = sent(&w);
    ends(&w, &again, BBM_FORWARD_NOT_RUN, 503, "");
    w.now += 2 * BBM_SECOND;
    bbm_gate_tick(w.gate, w.now);
    const bbm_gate_output *out = next(&w, BBM_GATE_REFUSE);
    ck_assert_int_ne(bbm_code_ran(out->u.refuse.code), BBM_RAN_NO);
    end(&w);
}
END_TEST

START_TEST(streams_go_on)
{
    world w = begin(4, 0);
    ask(&w, "/ask/a", 3);
    bbm_forward_request s = sent(&w);
    bbm_gate_record_head(w.gate, s.request, s.attempt, w.now);
    ends(&w, &s, BBM_FORWARD_TRUNCATED, 200, "17");
    const bbm_gate_output *out = next(&w, BBM_GATE_SEND);
    ck_assert(out->u.send.resumes);
    ck_assert_str_eq(out->u.send.last_event, "17");
    ck_assert_str_ne(out->u.send.send.upstream, s.upstream);
    s = out->u.send.send;
    ends(&w, &s, BBM_FORWARD_TRUNCATED, 200, "20");
    ck_assert_int_eq(next(&w, BBM_GATE_ABORT)->u.cut.code,
                     BBM_ERR_UPSTREAM_CUT);
    ask(&w, "/check/a", 3);
    s = sent(&w);
    bbm_gate_record_head(w.gate, s.request, s.attempt, w.now);
    ends(&w, &s, BBM_FORWARD_TRUNCATED, 200, "4");
    next(&w, BBM_GATE_ABORT);
    nothing(&w);
    end(&w);
}
END_TEST

START_TEST(retries_have_a_budget)
{
    world w = begin(0, 4);
    bbm_gate_set_vm_count(w.gate, 100, false);
    size_t again = 0;
    for (int i = 0; i < 200; i++) {
        w.now += 20 * BBM_MS;
        ask(&w, "/safe/a", 0);
        bbm_forward_request s = sent(&w);
        ends(&w, &s, BBM_FORWARD_FAILED, 500, "");
        const bbm_gate_output *out = bbm_gate_next_output(w.gate);
        if (out->kind == BBM_GATE_SEND) {
            again++;
            s = out->u.send.send;
            ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "");
            next(&w, BBM_GATE_ENDED);
        }
    }
    /* A tenth of the requests, and one VM's part of the slack. */
    ck_assert_uint_le(again, 200 / 10 + 1);
    ck_assert_uint_ge(again, 5);
    end(&w);
}
END_TEST

/* ---- time ---- */

START_TEST(route_times_end)
{
    world w = begin(0, 1);
    ask(&w, "/once/a", 0);
    sent(&w);
    w.now += 1199 * BBM_MS;
    bbm_gate_tick(w.gate, w.now);
    nothing(&w);
    w.now += 2 * BBM_MS;
    bbm_gate_tick(w.gate, w.now);
    ck_assert_int_eq(next(&w, BBM_GATE_ABORT)->u.cut.code,
                     BBM_ERR_UPSTREAM_TIMEOUT);
    end(&w);
}
END_TEST

/* A runner that loads weights is silent, and then answers: seen as a stream
   broken off right after its head, as the request had been given up while it
   looked for another runner. */
START_TEST(silent_attempt_stays_while_nobody_else_is_free)
{
    world w = begin(2, 0);
    ask(&w, "/ask/a", 1);
    bbm_forward_request s = sent(&w);
    for (size_t i = 0; i < w.listing.len; i++) {
        bbm_listing_entry *u = &w.listing.items[i];
        u->loading = strcmp(u->id, s.upstream) != 0;
    }
    relist(&w);
    for (int i = 0; i < 40; i++) {
        w.now += 50 * BBM_MS;
        bbm_gate_tick(w.gate, w.now);
        nothing(&w);
    }
    bbm_gate_record_head(w.gate, s.request, s.attempt, w.now);
    for (int i = 0; i < 10; i++) {
        w.now += 50 * BBM_MS;
        bbm_gate_tick(w.gate, w.now);
        nothing(&w);
    }
    ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "9");
    ck_assert_uint_eq(next(&w, BBM_GATE_ENDED)->u.ended.status, 200);
    end(&w);
}
END_TEST

START_TEST(gone_callers_are_cut)
{
    world w = begin(1, 0);
    uint64_t id = ask(&w, "/check/a", 1);
    sent(&w);
    bbm_gate_client_disconnected(w.gate, id, w.now);
    ck_assert_int_eq(next(&w, BBM_GATE_ABORT)->u.cut.code, BBM_OK);
    ck_assert(!bbm_gate_has_request(w.gate, id));
    end(&w);
}
END_TEST

START_TEST(leaving_ones_get_nothing)
{
    world w = begin(2, 0);
    for (uint64_t i = 1; i < 20; i++) {
        w.listing.items[i % 2].leaving = true;
        w.listing.items[1 - i % 2].leaving = false;
        relist(&w);
        ask(&w, "/check/a", i);
        bbm_forward_request s = sent(&w);
        ck_assert_str_eq(s.upstream, w.listing.items[1 - i % 2].id);
        ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "");
        next(&w, BBM_GATE_ENDED);
    }
    end(&w);
}
END_TEST

/* ---- weights ---- */

/* A runner two versions behind is as old as the first of the two. */
START_TEST(age_of_weights_is_their_own)
{
    world w = begin(2, 0);
    ck_assert(bbm_gate_add_version(w.gate, "m", 2, 0, w.now));
    ck_assert(!bbm_gate_add_version(w.gate, "m", 2, 0, w.now));
    w.now += 5 * BBM_SECOND;
    bbm_gate_add_version(w.gate, "m", 3, 0, w.now);
    w.now += BBM_SECOND;
    bbm_listing_entry_set_version(&w.listing.items[0], "m", 2);
    relist(&w);
    for (uint64_t i = 1; i < 10; i++) {
        ask(&w, "/check/a", i);
        bbm_forward_request s = sent(&w);
        ck_assert_uint_eq(s.version, 2);
        ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "");
        next(&w, BBM_GATE_ENDED);
    }
    w.now += 2 * BBM_SECOND;
    bbm_listing_entry_set_version(&w.listing.items[0], "m", 1);
    relist(&w);
    ask(&w, "/check/a", 1);
    /* Only runners with the first weights are left, which are too old. */
    const bbm_gate_output *out = bbm_gate_next_output(w.gate);
    ck_assert(!out || out->kind != BBM_GATE_SEND);
    end(&w);
}
END_TEST

/* A runner may be slower than anyone knows: whatever it gets may begin as late
   as the caller waits for it, and not on weights that are too old by then. */
START_TEST(old_weights_end_in_time_at_slow_runners)
{
    world w = begin(2, 0);
    bbm_gate_add_version(w.gate, "m", 2, 0, w.now);
    w.now += 5 * BBM_SECOND;
    ask(&w, "/check/a", 1);
    bbm_forward_request s = sent(&w);
    ck_assert_uint_eq(s.version, 1);
    ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "");
    next(&w, BBM_GATE_ENDED);
    w.now += 1250 * BBM_MS;
    ask(&w, "/check/a", 2);
    const bbm_gate_output *out = bbm_gate_next_output(w.gate);
    ck_assert(!out || out->kind != BBM_GATE_SEND);
    end(&w);
}
END_TEST

START_TEST(salts_wall_versions)
{
    world w = begin(1, 0);
    ask(&w, "/check/a", 1);
    bbm_forward_request one = sent(&w);
    bbm_listing_entry_set_version(&w.listing.items[0], "m", 2);
    relist(&w);
    ask(&w, "/check/a", 1);
    bbm_forward_request two = sent(&w);
    ck_assert_uint_eq(two.version, 2);
    ck_assert_str_ne(one.cache_salt, two.cache_salt);
    end(&w);
}
END_TEST

/* What is late is worth less than what old weights make: a runner that alone
   has new ones gets no more than it can begin in time. */
START_TEST(old_weights_rather_than_late)
{
    world w = begin(2, 0);
    /* Homes are guessed by VMs that have only started. */
    w.now += 20 * BBM_SECOND;
    bbm_gate_add_version(w.gate, "m", 2, 0, w.now);
    w.now += 3 * BBM_SECOND;
    bbm_listing_entry_set_version(&w.listing.items[0], "m", 2);
    relist(&w);
    size_t with_new = 0;
    size_t with_old = 0;
    for (uint64_t i = 1; i <= 5; i++) {
        ask(&w, "/check/a", i);
        bool is_new = sent(&w).version == 2;
        with_new += is_new;
        with_old += !is_new;
    }
    /* Each is read for 180 ms, and should begin within 600 ms. */
    ck_assert_uint_ge(with_new, 2);
    ck_assert_uint_le(with_new, 3);
    ck_assert_uint_ge(with_old, 2);
    end(&w);
}
END_TEST

/* ---- loads ---- */

#define VMS 3
#define RUNNERS 8
#define KEPT 64
#define SESSIONS 90
#define FETCH_TIME (20 * BBM_MS)
#define TELL_PERIOD (20 * BBM_MS)

/* A runner: reads prompts one after the other, keeps chains until newer ones
   need their room. */
typedef struct fake_runner {
    uint64_t chains[KEPT]; /* newest first */
    size_t len;
    bbm_time free_at;
    bbm_time dark_until;
    size_t running;
} fake_runner;

typedef struct job {
    bool used;
    size_t vm;
    size_t runner;
    bbm_forward_request send;
    bbm_time head;
    bbm_time end;
    bool headed;
    bbm_time arrived;
} job;

typedef struct fleet {
    world vms[VMS];
    fake_runner runners[RUNNERS];
    job jobs[512];
    bbm_loads *loads;
    bbm_rng rng;
    bbm_time arrived[65536];
    bbm_time now;
    size_t asked;
    size_t in_time;
    size_t misses;
    size_t sent;
} fleet;

/* True if the runner held the chain; it does now.  Each request also leaves
   what is its own, in half the room of a chain. */
static bool
use_chain(fake_runner *r, uint64_t chain)
{
    size_t at = 0;
    size_t most = 24 - r->running;
    while (at < r->len && r->chains[at] != chain)
        at++;
    bool found = at < r->len && at < most;
    if (at == r->len && r->len < KEPT)
        r->len++;
    if (at >= r->len)
        at = r->len - 1;
    memmove(&r->chains[1], &r->chains[0], at * sizeof(r->chains[0]));
    r->chains[0] = chain;
    return found;
}

/* True if the runner that the send names has the chain. */
static bool
can_fetch(const fleet *f, const bbm_forward_request *s, uint64_t chain)
{
    int address = 0;
    if (sscanf(s->source_address, "10.0.0.%d:80", &address) != 1)
        return false;
    const fake_runner *r = &f->runners[address - 1];
    size_t most = 24 - r->running;
    for (size_t i = 0; i < r->len && i < most; i++) {
        if (r->chains[i] == chain)
            return r->dark_until <= f->now;
    }
    return false;
}

static void
run_job(fleet *f, size_t vm, const bbm_forward_request *s, uint64_t session)
{
    size_t i = 0;
    while (f->jobs[i].used)
        i++;
    size_t at = (size_t)atoi(s->upstream + 2);
    fake_runner *r = &f->runners[at];
    f->sent++;
    bool fetched = can_fetch(f, s, session);
    bool kept = use_chain(r, session);
    f->misses += !kept && !fetched;
    double tokens = kept || fetched ? 2890 : 9190;
    bbm_time reads = (bbm_time)(tokens / 51.0 * (double)BBM_MS);
    if (!kept && fetched)
        reads += FETCH_TIME;
    bbm_time from = r->free_at > f->now ? r->free_at : f->now;
    if (r->dark_until > f->now)
        from = f->now + 3600 * BBM_SECOND;
    else
        r->free_at = from + reads;
    r->running++;
    f->jobs[i] = (job){
        .used = true,
        .vm = vm,
        .runner = at,
        .send = *s,
        .head = from + reads,
        .end = from + reads + 150 * BBM_MS,
    };
}

static void
drop_jobs(fleet *f, size_t vm, uint64_t request)
{
    for (size_t i = 0; i < BBM_COUNT(f->jobs); i++) {
        job *j = &f->jobs[i];
        if (!j->used || j->vm != vm || j->send.request != request)
            continue;
        j->used = false;
        f->runners[j->runner].running--;
    }
}

static uint64_t session_of[65536];

static void
take_outputs(fleet *f, size_t vm)
{
    const bbm_gate_output *out;
    while ((out = bbm_gate_next_output(f->vms[vm].gate)) != NULL) {
        if (out->kind == BBM_GATE_ABORT)
            drop_jobs(f, vm, out->request);
        if (out->kind != BBM_GATE_SEND)
            continue;
        bbm_forward_request s = out->u.send.send;
        run_job(f, vm, &s, session_of[s.request * VMS + vm]);
    }
}

static void
step_jobs(fleet *f)
{
    for (size_t i = 0; i < BBM_COUNT(f->jobs); i++) {
        job *j = &f->jobs[i];
        world *w = &f->vms[j->vm];
        if (!j->used)
            continue;
        if (!j->headed && f->now >= j->head) {
            j->headed = true;
            bbm_time took = f->now - f->arrived[j->send.request * VMS + j->vm];
            f->in_time += took <= 600 * BBM_MS;
            bbm_gate_record_head(w->gate, j->send.request, j->send.attempt,
                                 f->now);
        }
        if (f->now >= j->end) {
            j->used = false;
            f->runners[j->runner].running--;
            w->now = f->now;
            ends(w, &j->send, BBM_FORWARD_COMPLETE, 200, "");
        }
        /* A connection to a dark machine is noticed after a second. */
        if (j->used && !j->headed && j->head > f->now + 1000 * BBM_SECOND
            && f->now
                   > f->arrived[j->send.request * VMS + j->vm] + BBM_SECOND) {
            bbm_forward_request s = j->send;
            j->used = false;
            f->runners[j->runner].running--;
            w->now = f->now;
            ends(w, &s, BBM_FORWARD_NO_ANSWER, 0, "");
        }
        take_outputs(f, j->vm);
    }
}

static void
tell_loads(fleet *f)
{
    bbm_buf sums = {0};
    for (size_t vm = 0; vm < VMS; vm++) {
        char name[BBM_NAME_SIZE];
        bbm_buf one = {0};
        snprintf(name, sizeof(name), "vm-%zu", vm);
        bbm_gate_put_load(f->vms[vm].gate, f->now, &one);
        bbm_reader rd = bbm_reader_of(one.data, one.len);
        bbm_loads_add_report(f->loads, name, &rd, f->now);
        ck_assert(bbm_reader_done(&rd));
        bbm_buf_free(&one);
    }
    bbm_loads_put_totals(f->loads, f->now, &sums);
    for (size_t vm = 0; vm < VMS; vm++) {
        bbm_reader rd = bbm_reader_of(sums.data, sums.len);
        bbm_gate_get_totals(f->vms[vm].gate, &rd, f->now);
        ck_assert(bbm_reader_done(&rd));
    }
    bbm_buf_free(&sums);
}

static void
tell_placed(fleet *f)
{
    for (size_t vm = 0; vm < VMS; vm++) {
        bbm_buf one = {0};
        bbm_gate_put_placements(f->vms[vm].gate, &one);
        for (size_t to = 0; to < VMS; to++) {
            bbm_reader rd = bbm_reader_of(one.data, one.len);
            bbm_gate_get_placements(f->vms[to].gate, &rd, to == vm, f->now);
            ck_assert(bbm_reader_done(&rd));
        }
        bbm_buf_free(&one);
    }
}

static void
play(fleet *f, double per_s, bbm_time span)
{
    bbm_time until = f->now + span;
    f->asked = 0;
    f->in_time = 0;
    f->misses = 0;
    f->sent = 0;
    for (; f->now < until; f->now += 5 * BBM_MS) {
        if (bbm_rng_unit(&f->rng) < per_s * 0.005) {
            size_t vm = (size_t)bbm_rng_below(&f->rng, VMS);
            world *w = &f->vms[vm];
            uint64_t session = 1 + bbm_rng_below(&f->rng, SESSIONS);
            w->now = f->now;
            size_t key = (w->requests + 1) * VMS + vm;
            f->arrived[key] = f->now;
            session_of[key] = session;
            f->asked++;
            ask(w, "/check/a", session);
            take_outputs(f, vm);
        }
        step_jobs(f);
        for (size_t vm = 0; vm < VMS; vm++) {
            if (f->now % (20 * BBM_MS) == 0)
                bbm_gate_tick(f->vms[vm].gate, f->now);
            take_outputs(f, vm);
        }
        if (f->now % TELL_PERIOD == 0) {
            tell_placed(f);
            tell_loads(f);
        }
    }
}

static fleet *
begin_fleet(void)
{
    fleet *f = bbm_calloc(1, sizeof(*f));
    f->rng = bbm_rng_of(11);
    f->loads = bbm_loads_create();
    for (size_t vm = 0; vm < VMS; vm++) {
        f->vms[vm] = begin_seeded(RUNNERS, 0, vm + 1);
        bbm_gate_set_vm_count(f->vms[vm].gate, VMS, false);
    }
    f->now = f->vms[0].now;
    return f;
}

static void
end_fleet(fleet *f)
{
    for (size_t vm = 0; vm < VMS; vm++)
        end(&f->vms[vm]);
    bbm_loads_destroy(f->loads);
    free(f);
}

/* Prompts with long shared parts at a third of what the runners can read when
   they keep those: callers get their answers in time, and almost no shared
   part is read twice, however many VMs place them. */
START_TEST(chains_have_homes)
{
    fleet *f = begin_fleet();
    play(f, 45, 10 * BBM_SECOND);
    play(f, 45, 20 * BBM_SECOND);
    ck_assert_uint_ge(f->in_time * 100, f->asked * 97);
    ck_assert_uint_le(f->misses * 100, f->sent * 8);
    end_fleet(f);
}
END_TEST

/* Takes what a gate sends, and counts what goes to a runner. */
static size_t
count_sends(world *w, const char *upstream, bbm_forward_request *last)
{
    size_t len = 0;
    const bbm_gate_output *out;
    while ((out = bbm_gate_next_output(w->gate)) != NULL) {
        if (out->kind != BBM_GATE_SEND
            || strcmp(out->u.send.send.upstream, upstream) != 0)
            continue;
        *last = out->u.send.send;
        len++;
    }
    return len;
}

/* What one VM sent, the others know: they send it to the same place, or name
   that as the source.  Other weights, and what a store has, are told apart. */
START_TEST(placements_are_told)
{
    fleet *f = begin_fleet();
    world *a = &f->vms[0];
    world *b = &f->vms[1];
    /* Homes are guessed by VMs that have only started. */
    a->now = b->now = f->now += 20 * BBM_SECOND;
    bbm_gate_tick(a->gate, a->now);
    bbm_gate_tick(b->gate, b->now);
    ask(a, "/check/a", 7);
    bbm_forward_request first = sent(a);
    tell_placed(f);
    a->now = b->now = f->now += BBM_SECOND;
    for (uint64_t i = 0; i < 6; i++) {
        ask(b, "/check/a", 7);
        bbm_forward_request s = sent(b);
        bool there = strcmp(s.upstream, first.upstream) == 0;
        ck_assert(there || s.source_address[0]);
        ck_assert(i > 0 || there);
    }
    for (size_t i = 0; i < RUNNERS; i++)
        bbm_listing_entry_set_version(&b->listing.items[i], "m", 2);
    relist(b);
    ask(b, "/check/a", 7);
    bbm_forward_request other = sent(b);
    ck_assert_str_eq(other.source_address, "");
    ck_assert_str_ne(other.cache_salt, first.cache_salt);
    end_fleet(f);
}
END_TEST

/* A runner becomes free while every VM holds requests.  It must not get many
   times what it can begin in time, though no VM knows yet what the others
   send: a crowd there is late together, and drives out all that it keeps. */
START_TEST(held_requests_come_one_by_one)
{
    fleet *f = begin_fleet();
    for (size_t vm = 0; vm < VMS; vm++) {
        world *w = &f->vms[vm];
        for (size_t i = 0; i < RUNNERS; i++)
            w->listing.items[i].loading = true;
        relist(w);
        for (uint64_t i = 0; i < 8; i++)
            ask(w, "/check/a", 10 * vm + i + 1);
        nothing(w);
    }
    f->now += 20 * BBM_MS;
    tell_loads(f);
    size_t sends = 0;
    for (size_t vm = 0; vm < VMS; vm++) {
        world *w = &f->vms[vm];
        bbm_forward_request s;
        w->now = f->now += BBM_MS;
        w->listing.items[3].loading = false;
        relist(w);
        sends += count_sends(w, "r-03", &s);
    }
    /* It reads 180 ms for each; half a second's worth is its room. */
    ck_assert_uint_le(sends, 6);
    for (int i = 0; i < 20; i++) {
        f->now += 20 * BBM_MS;
        tell_loads(f);
        for (size_t vm = 0; vm < VMS; vm++) {
            bbm_forward_request s;
            bbm_gate_tick(f->vms[vm].gate, f->now);
            sends += count_sends(&f->vms[vm], "r-03", &s);
        }
    }
    /* It isn't left idle either. */
    ck_assert_uint_ge(sends, 2);
    end_fleet(f);
}
END_TEST

/* Forty VMs hear late of each other, and one runner has new weights: each sees
   it idle, and all together would send it what twelve read.  It gets about
   what it can read, the runners with old weights the rest. */
START_TEST(crowds_are_spread_where_vms_hear_late)
{
    size_t sends = 0;
    size_t to_new = 0;
    for (uint64_t vm = 0; vm < 40; vm++) {
        world w = begin_seeded(12, 0, vm + 1);
        bbm_gate_set_vm_count(w.gate, 40, true);
        w.now += 20 * BBM_SECOND;
        bbm_gate_add_version(w.gate, "m", 2, 0, w.now);
        w.now += 2 * BBM_SECOND;
        bbm_listing_entry_set_version(&w.listing.items[3], "m", 2);
        relist(&w);
        /* Four a second here are 160 in all; a runner reads six. */
        for (uint64_t i = 0; i < 8; i++) {
            w.now += 250 * BBM_MS;
            ask(&w, "/check/a", 100 * vm + i + 1);
            bbm_forward_request s = sent(&w);
            if (i >= 4) {
                sends++;
                to_new += s.version == 2;
            }
            ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "");
            next(&w, BBM_GATE_ENDED);
        }
        end(&w);
    }
    ck_assert_uint_ge(to_new, 1);
    ck_assert_uint_le(to_new * 10, sends);
}
END_TEST

/* Stores share the prompts, and each prompt goes to one of them once. */
START_TEST(stores_share_the_prompts)
{
    static const char with_stores[] =
        "{\"pools\":[{\"name\":\"llm\",\"engine\":true,\"slots\":64,"
        "\"memory_tokens\":113846,\"token_bytes\":163840,"
        "\"link_mbps\":550000,\"prefill_tokens_per_s\":51000}],"
        "\"stores\":[{\"name\":\"s1\",\"address\":\"10.1.0.1:80\","
        "\"zone\":\"a\",\"memory_tokens\":1500000},"
        "{\"name\":\"s2\",\"address\":\"10.1.0.2:80\",\"zone\":\"a\","
        "\"memory_tokens\":1500000}],"
        "\"routes\":[{\"name\":\"check\",\"host\":\"h\","
        "\"path\":\"/check/\",\"pools\":[\"llm\"],\"stream\":true,"
        "\"timeout_ms\":5000,\"aim_ms\":600,\"gap_ms\":300,"
        "\"attempts\":1}]}";
    world w = begin(6, 0);
    bbm_doc_errors wrong = {0};
    bbm_config_destroy(w.cfg);
    w.cfg = bbm_config_create(with_stores, strlen(with_stores), &wrong);
    ck_assert_ptr_nonnull(w.cfg);
    bbm_gate_configure(w.gate, w.cfg, w.now);
    bbm_gate_set_store_alive(w.gate, "10.1.0.1:80", true);
    bbm_gate_set_store_alive(w.gate, "10.1.0.2:80", true);
    size_t first = 0;
    for (uint64_t i = 1; i <= 20; i++) {
        for (int again = 0; again < 2; again++) {
            w.now += BBM_SECOND;
            ask(&w, "/check/a", i);
            bbm_forward_request s = sent(&w);
            ck_assert(again ? !s.store_address[0] : s.store_address[0]);
            first += strcmp(s.store_address, "10.1.0.1:80") == 0;
            ends(&w, &s, BBM_FORWARD_COMPLETE, 200, "");
            next(&w, BBM_GATE_ENDED);
        }
    }
    ck_assert_uint_ge(first, 5);
    ck_assert_uint_le(first, 15);
    end(&w);
}
END_TEST

/* A quarter of the runners goes dark for 5 s under that load.  A fleet that
   takes slow answers for failures, or lets requests drive out what is kept,
   stays slow for good; it must be as good as before within 5 s. */
START_TEST(recovers_from_dark_runners)
{
    fleet *f = begin_fleet();
    play(f, 45, 10 * BBM_SECOND);
    for (size_t i = 0; i < RUNNERS / 4; i++)
        f->runners[i].dark_until = f->now + 5 * BBM_SECOND;
    play(f, 45, 5 * BBM_SECOND);
    for (size_t i = 0; i < RUNNERS / 4; i++) {
        f->runners[i].len = 0;
        f->runners[i].free_at = f->now;
    }
    play(f, 45, 5 * BBM_SECOND);
    play(f, 45, 10 * BBM_SECOND);
    ck_assert_uint_ge(f->in_time * 100, f->asked * 95);
    end_fleet(f);
}
END_TEST

/* At several times of what the runners can read requests are refused at once
   with the time to come back, and those that are taken are answered: a caller
   isn't kept waiting for nothing. */
START_TEST(overload_is_refused_at_once)
{
    world w = begin(1, 0);
    size_t refused = 0;
    size_t sends = 0;
    for (uint64_t i = 1; i <= 300; i++) {
        ask(&w, "/check/a", i);
        const bbm_gate_output *out;
        while ((out = bbm_gate_next_output(w.gate)) != NULL) {
            sends += out->kind == BBM_GATE_SEND;
            if (out->kind == BBM_GATE_REFUSE) {
                refused++;
                ck_assert_int_eq(out->u.refuse.held_ms, 0);
                ck_assert_int_gt(out->u.refuse.retry_after, 0);
            }
        }
    }
    ck_assert_uint_gt(refused, 200);
    ck_assert_uint_ge(sends, 1);
    end(&w);
}
END_TEST

TEST_MAIN("gate", once_means_once, not_run_goes_elsewhere,
          safe_calls_run_on_two_at_most, unsent_says_not_run,
          refusals_are_true, streams_go_on, retries_have_a_budget,
          route_times_end, silent_attempt_stays_while_nobody_else_is_free,
          gone_callers_are_cut, leaving_ones_get_nothing,
          age_of_weights_is_their_own, old_weights_end_in_time_at_slow_runners,
          salts_wall_versions, chains_have_homes,
          crowds_are_spread_where_vms_hear_late, stores_share_the_prompts,
          placements_are_told, held_requests_come_one_by_one,
          old_weights_rather_than_late, recovers_from_dark_runners,
          overload_is_refused_at_once);
