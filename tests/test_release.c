/* Releases of software in virtual time: the gates of up to 70 VMs, one
   leader's decisions, and upstreams of two builds.  Reports and the state in
   force may be late or lost; there is no network. */
#include "bbm_codes.h"
#include "bbm_gate.h"
#include "bbm_hash.h"
#include "bbm_release.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (5 * BBM_MS)
#define VMS_MAX 70
#define OLD_UPSTREAMS 3
#define NEW_UPSTREAMS 3
#define UPSTREAMS (OLD_UPSTREAMS + NEW_UPSTREAMS)
#define ATTEMPTS_MAX 65536
#define SHARE 0.1
#define SLACK 50
#define REVERT_TIME (5 * BBM_SECOND)
#define BAD_ANSWERS 50
#define USUAL_MS 30
#define CLIENT_TIMEOUT (1500 * BBM_MS)
/* The order is given after this time. */
#define ORDER_AT (2 * BBM_SECOND)
#define COMMIT_DELAY (40 * BBM_MS)
#define DECIDE_PERIOD (50 * BBM_MS)
#define NEVER_MS 1000000

static const char config_text[] =
    "{\"pools\":[{\"name\":\"p\",\"slots\":64}],\"routes\":["
    "{\"name\":\"get\",\"host\":\"h\",\"path\":\"/get/\",\"pools\":[\"p\"],"
    "\"open\":true,\"repeatable\":true,\"attempts\":2,\"aim_ms\":120},"
    "{\"name\":\"book\",\"host\":\"h\",\"path\":\"/book/\",\"pools\":[\"p\"],"
    "\"open\":true,\"repeatable\":false,\"attempts\":1,\"aim_ms\":120}]}";

/* An interval in milliseconds after the order. */
typedef struct span {
    int64_t from;
    int64_t to;
} span;

/* What is wrong in a history. */
typedef struct faults {
    double bad_share;      /* share of bad answers of the new build */
    double slow_factor;    /* a bad answer is that much slower; 0: it fails */
    int64_t bad_from;      /* from this time on */
    double bad_above_rate; /* only above this rate of requests to it, as a
                              share of the pool's rate */
    const char *bad_route; /* on this route only; NULL: on all */
    span both;             /* both builds fail half of their requests */
    bool both_slow;        /* they are slow instead */
    bool hangs;            /* bad answers never come */
    int64_t patience;      /* clients leave after this time, which they don't
                              state; 0: they state CLIENT_TIMEOUT */
    int failing_upstream;  /* from 1; 0: none.  It fails all requests. */
    int slow_upstream;     /* from 1; it answers five times slower */
    span cut;              /* VM 0 gets no updates and its reports are lost */
    span frozen;           /* VM 1 is stopped */
    int64_t restart;       /* VM 2 restarts */
    span leaderless;       /* a new leader decides afterwards */
    double report_loss;    /* share of lost reports */
} faults;

typedef struct history {
    int vms;
    double per_s;
    int64_t duration_ms;
    faults faults;
} history;

typedef struct vm {
    bbm_gate *gate;
    uint64_t run;
    bbm_time fresh_at;
    bbm_time update_at; /* when it gets the state in force */
    uint64_t seen_step;
    bbm_time listed_at;
    bool lists_new;
    bbm_time next_report_at;
    bbm_time next_tick_at;
} vm;

typedef struct attempt {
    int vm;
    uint64_t run;
    uint64_t request;
    uint32_t number;
    int upstream;
    bbm_time end_at;
    bool bad;
    bool fails;
    bool hangs; /* its client leaves at end_at */
} attempt;

typedef struct world {
    const history *h;
    bbm_rng rng;
    bbm_time now;
    bbm_config *config;
    bbm_releases releases; /* committed */
    uint64_t changes;
    bbm_release *decision;
    uint64_t term;
    bool has_pending;
    bbm_release_info pending;
    bbm_time pending_at;
    bbm_time next_decision_at;
    vm vms[VMS_MAX];
    attempt *attempts;
    size_t attempts_len;
    uint64_t last_request;
    double owed;
    /* results */
    uint64_t requests; /* from the order to its time limit */
    uint64_t sends;    /* to the new build, until then, from VMs in touch */
    uint64_t bad;
    bbm_time bad_50_at;
    bbm_time last_send_at;
    uint64_t open_at_end; /* attempts at the old build when it was completed */
    uint64_t old_sends_after_end;
    bbm_time ended_at;
    double recent_new; /* requests to the new build per second, smoothed */
    const char *reason;
} world;

static int64_t
age_ms(const world *w)
{
    return (w->now - ORDER_AT) / BBM_MS;
}

static bool
is_within(const world *w, span s)
{
    return s.to && age_ms(w) >= s.from && age_ms(w) < s.to;
}

static bool
is_cut(const world *w, int i)
{
    return i == 0 && is_within(w, w->h->faults.cut);
}

static bool
is_frozen(const world *w, int i)
{
    return i == 1 && is_within(w, w->h->faults.frozen);
}

/* ---- VMs ---- */

static void
set_listing(world *w, vm *v)
{
    bbm_listing listing = {0};
    for (int i = 0; i < UPSTREAMS; i++) {
        bool is_new = i >= OLD_UPSTREAMS;
        bbm_listing_entry u = {.slots = 64, .started_at_ms = 1};
        if (is_new && !v->lists_new)
            continue;
        snprintf(u.id, sizeof(u.id), "u-%d", i);
        snprintf(u.address, sizeof(u.address), "10.0.0.%d:80", i + 1);
        bbm_name_set(u.pool, "p");
        bbm_name_set(u.build, is_new ? "v2" : "v1");
        /* As the leader marks it. */
        u.loading = is_new;
        bbm_listing_add(&listing, &u);
    }
    bbm_gate_set_listing(v->gate, &listing, w->now);
    bbm_listing_free(&listing);
}

static void
start_vm(world *w, int i)
{
    vm *v = &w->vms[i];
    bbm_gate_destroy(v->gate);
    v->run++;
    v->gate = bbm_gate_create(&(bbm_gate_desc){
        .seed = (uint64_t)i * 7919 + v->run,
        .retry_share = 0.1,
        .retry_slack = 100,
        .release_view_max = REVERT_TIME * 6 / 10,
    });
    bbm_gate_configure(v->gate, w->config, w->now);
    bbm_gate_set_vm_count(v->gate, (size_t)w->h->vms, w->h->vms > 16);
    v->seen_step = UINT64_MAX;
    v->fresh_at = w->now;
    v->update_at = w->now;
    set_listing(w, v);
}

static world *
create_world(const history *h, uint64_t seed)
{
    world *w = bbm_calloc(1, sizeof(*w));
    w->h = h;
    w->rng = bbm_rng_of(seed);
    w->now = BBM_SECOND;
    w->term = 1;
    w->attempts = bbm_calloc(ATTEMPTS_MAX, sizeof(*w->attempts));
    bbm_doc_errors errors = {0};
    w->config =
        bbm_config_create(config_text, sizeof(config_text) - 1, &errors);
    ck_assert_msg(w->config != NULL, "%s",
                  errors.len ? errors.lines[0] : "no config");
    for (int i = 0; i < h->vms; i++) {
        start_vm(w, i);
        w->vms[i].listed_at =
            ORDER_AT + (bbm_time)(bbm_rng_unit(&w->rng) * 900 + 300) * BBM_MS;
    }
    return w;
}

static void
destroy_world(world *w)
{
    for (int i = 0; i < w->h->vms; i++)
        bbm_gate_destroy(w->vms[i].gate);
    bbm_release_destroy(w->decision);
    bbm_releases_free(&w->releases);
    bbm_config_destroy(w->config);
    free(w->attempts);
    free(w);
}

static const bbm_release_info *
info_of(const world *w)
{
    return bbm_releases_latest(&w->releases, "p");
}

/* ---- upstreams ---- */

static bool
is_bad(world *w, int upstream, const char *route)
{
    const faults *f = &w->h->faults;
    bool is_new = upstream >= OLD_UPSTREAMS;
    return is_new && f->bad_share > 0 && age_ms(w) >= f->bad_from
           && w->recent_new >= f->bad_above_rate * w->h->per_s
           && (!f->bad_route || strcmp(f->bad_route, route) == 0)
           && bbm_rng_unit(&w->rng) < f->bad_share;
}

static void
add_attempt(world *w, int i, const bbm_forward_request *send,
            const char *route)
{
    const faults *f = &w->h->faults;
    int upstream = atoi(send->upstream + 2);
    bool is_new = upstream >= OLD_UPSTREAMS;
    double ms = USUAL_MS * (0.6 + 0.8 * bbm_rng_unit(&w->rng));
    bool bad = is_bad(w, upstream, route);
    bool fails = bad && !f->slow_factor;
    if (bad && f->slow_factor)
        ms *= f->slow_factor;
    if (is_within(w, f->both) && bbm_rng_unit(&w->rng) < 0.5) {
        fails = fails || !f->both_slow;
        ms *= f->both_slow ? 5 : 1;
    }
    fails = fails || upstream + 1 == f->failing_upstream;
    ms *= upstream + 1 == f->slow_upstream ? 5 : 1;
    bool hangs = f->hangs && fails;
    if (hangs)
        ms = f->patience ? (double)f->patience : NEVER_MS;
    const bbm_release_info *info = info_of(w);
    if (is_new) {
        w->last_send_at = w->now;
        w->recent_new += 1;
        if (!is_cut(w, i) && age_ms(w) < w->h->duration_ms)
            w->sends++;
    }
    else if (info && info->state == BBM_RELEASE_COMPLETED) {
        w->old_sends_after_end++;
    }
    ck_assert_uint_lt(w->attempts_len, ATTEMPTS_MAX);
    w->attempts[w->attempts_len++] = (attempt){
        .vm = i,
        .run = w->vms[i].run,
        .request = send->request,
        .number = send->attempt,
        .upstream = upstream,
        .end_at = w->now + (bbm_time)(ms * (double)BBM_MS),
        .bad = bad,
        .fails = fails,
        .hangs = hangs,
    };
}

static const char *
route_of(uint64_t request)
{
    return request % 2 ? "get" : "book";
}

static void
drain(world *w, int i)
{
    const bbm_gate_output *out;
    while ((out = bbm_gate_next_output(w->vms[i].gate)) != NULL) {
        if (out->kind == BBM_GATE_SEND)
            add_attempt(w, i, &out->u.send.send,
                        route_of(out->u.send.send.request));
    }
}

static void
end_attempts(world *w)
{
    size_t kept = 0;
    for (size_t k = 0; k < w->attempts_len; k++) {
        attempt a = w->attempts[k];
        vm *v = &w->vms[a.vm];
        if (a.end_at > w->now || is_frozen(w, a.vm)) {
            w->attempts[kept++] = a;
            continue;
        }
        if (a.bad && ++w->bad == BAD_ANSWERS)
            w->bad_50_at = w->now;
        if (a.run != v->run)
            continue;
        if (a.hangs) {
            bbm_gate_client_disconnected(v->gate, a.request, false, w->now);
            continue;
        }
        bbm_forward_result result = {
            .request = a.request,
            .attempt = a.number,
            .outcome = a.fails ? BBM_FORWARD_FAILED : BBM_FORWARD_COMPLETE,
            .status = a.fails ? 500 : 200,
            .began_at = w->now,
        };
        bbm_gate_end_attempt(v->gate, &result, w->now);
    }
    w->attempts_len = kept;
    for (int i = 0; i < w->h->vms; i++)
        drain(w, i);
}

/* ---- clients ---- */

static void
begin_requests(world *w)
{
    w->owed += w->h->per_s * (double)STEP / (double)BBM_SECOND;
    while (w->owed >= 1) {
        w->owed -= 1;
        int i = (int)bbm_rng_below(&w->rng, (uint64_t)w->h->vms);
        if (is_frozen(w, i))
            continue;
        if (age_ms(w) >= 0 && age_ms(w) < w->h->duration_ms)
            w->requests++;
        bbm_gate_request_desc r = {
            .request = ++w->last_request,
            .prompt_tokens = -1,
            .output_tokens_max = -1,
            .client_timeout = w->h->faults.patience ? 0 : CLIENT_TIMEOUT,
        };
        const bbm_route *route = NULL;
        HASH_FIND_STR(w->config->routes, route_of(r.request), route);
        ck_assert_ptr_nonnull(route);
        bbm_gate_begin_request(w->vms[i].gate, &r, route, NULL, w->now);
        drain(w, i);
    }
}

/* ---- the leader ---- */

static void
commit(world *w, const bbm_release_info *change)
{
    ck_assert_int_eq(bbm_releases_step(&w->releases, change), BBM_OK);
    w->changes++;
    const bbm_release_info *info = info_of(w);
    if (info->state == BBM_RELEASE_IN_PROGRESS)
        return;
    w->ended_at = w->now;
    for (size_t k = 0; k < w->attempts_len; k++) {
        const attempt *a = &w->attempts[k];
        w->open_at_end += info->state == BBM_RELEASE_COMPLETED
                          && a->upstream < OLD_UPSTREAMS && !is_cut(w, a->vm)
                          && !is_frozen(w, a->vm);
    }
}

static void
give_order(world *w)
{
    bbm_release_info order = {
        .duration_ms = (uint64_t)w->h->duration_ms,
        .share = bbm_release_first_share(SHARE),
    };
    bbm_name_set(order.pool, "p");
    bbm_name_set(order.build, "v2");
    uint64_t serial;
    ck_assert_int_eq(bbm_releases_order(&w->releases, &order, &serial),
                     BBM_OK);
    w->changes++;
}

static void
create_decision(world *w)
{
    bbm_release_destroy(w->decision);
    uint64_t vms[VMS_MAX];
    for (int i = 0; i < w->h->vms; i++)
        vms[i] = (uint64_t)i + 1;
    w->decision = bbm_release_create(&(bbm_release_desc){.info = *info_of(w),
                                                         .share = SHARE,
                                                         .slack = SLACK,
                                                         .fence = w->term},
                                     w->now);
    bbm_release_set_vms(w->decision, vms, (size_t)w->h->vms);
}

static void
lead(world *w)
{
    if (w->has_pending && w->now >= w->pending_at) {
        w->has_pending = false;
        commit(w, &w->pending);
    }
    if (is_within(w, w->h->faults.leaderless)) {
        bbm_release_destroy(w->decision);
        w->decision = NULL;
        w->has_pending = false;
        w->term++;
        return;
    }
    const bbm_release_info *info = info_of(w);
    if (info->state != BBM_RELEASE_IN_PROGRESS || w->now < w->next_decision_at)
        return;
    w->next_decision_at = w->now + DECIDE_PERIOD;
    if (!w->decision)
        create_decision(w);
    bbm_release_apply(w->decision, info, w->now);
    bbm_release_set_upstreams(w->decision, age_ms(w) > 900 ? NEW_UPSTREAMS : 0,
                              w->now);
    bbm_release_reason why;
    if (w->has_pending
        || !bbm_release_decide(w->decision, w->now, &w->pending, &why))
        return;
    w->has_pending = true;
    w->pending_at = w->now + COMMIT_DELAY;
    w->reason = why.text;
}

/* ---- updates and reports ---- */

static void
update_vm(world *w, int i)
{
    vm *v = &w->vms[i];
    if (is_frozen(w, i))
        return;
    if (!v->lists_new && w->now >= v->listed_at) {
        v->lists_new = true;
        set_listing(w, v);
    }
    bool leaderless = is_within(w, w->h->faults.leaderless);
    if (!is_cut(w, i) && !leaderless && w->now >= v->update_at) {
        /* Polls answer every 0.8 s through two levels of VMs; changes are
           pushed. */
        bool changed = v->seen_step != w->changes;
        v->update_at =
            w->now + (bbm_time)(20 + bbm_rng_unit(&w->rng) * 100) * BBM_MS;
        v->fresh_at = w->now - 800 * BBM_MS;
        if (changed && w->releases.len)
            bbm_gate_set_releases(v->gate, &w->releases, w->now);
        v->seen_step = w->changes;
    }
    bbm_gate_set_releases_fresh(v->gate, v->fresh_at);
    if (w->now >= v->next_tick_at) {
        v->next_tick_at = w->now + 20 * BBM_MS;
        bbm_gate_tick(v->gate, w->now);
    }
    if (w->now >= v->next_report_at) {
        v->next_report_at =
            w->now + (w->h->vms > 40 ? w->h->vms * 5 / 2 : 100) * BBM_MS;
        const bbm_evidence *e = bbm_gate_release_evidence(v->gate, 0, w->now);
        bool lost = is_cut(w, i) || !w->decision
                    || bbm_rng_unit(&w->rng) < w->h->faults.report_loss;
        if (e && !lost)
            bbm_release_add_evidence(w->decision, (uint64_t)i + 1, v->run, e,
                                     w->now);
    }
    drain(w, i);
}

static world *
play(const history *h, uint64_t seed)
{
    world *w = create_world(h, seed);
    bbm_time end = ORDER_AT + (h->duration_ms + 3000) * BBM_MS;
    while (w->now < end) {
        w->now += STEP;
        w->recent_new *= 1 - (double)STEP / (double)BBM_SECOND;
        if (w->now >= ORDER_AT && !w->releases.len)
            give_order(w);
        if (h->faults.restart && age_ms(w) >= h->faults.restart
            && w->vms[2].run == 1)
            start_vm(w, 2);
        if (w->releases.len)
            lead(w);
        for (int i = 0; i < h->vms; i++)
            update_vm(w, i);
        end_attempts(w);
        begin_requests(w);
    }
    const bbm_release_info *info = info_of(w);
    printf("%d VMs, %.0f/s, %lld s: state %d after %lld ms (%s), %llu of %llu "
           "to the new build, %llu bad, open at the end %llu, late %llu\n",
           h->vms, h->per_s, (long long)h->duration_ms / 1000, info->state,
           (long long)(w->ended_at - ORDER_AT) / BBM_MS,
           w->reason ? w->reason : "", (unsigned long long)w->sends,
           (unsigned long long)w->requests, (unsigned long long)w->bad,
           (unsigned long long)w->open_at_end,
           (unsigned long long)w->old_sends_after_end);
    return w;
}

/* ---- checks ---- */

static void
check_completed(const history *h)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        world *w = play(h, seed);
        ck_assert_int_eq(info_of(w)->state, BBM_RELEASE_COMPLETED);
        ck_assert_int_le(w->ended_at, ORDER_AT + h->duration_ms * BBM_MS);
        ck_assert_uint_eq(w->open_at_end, 0);
        destroy_world(w);
    }
}

static void
check_reverted(const history *h)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        world *w = play(h, seed);
        ck_assert_int_eq(info_of(w)->state, BBM_RELEASE_REVERTED);
        ck_assert_int_le(w->ended_at, ORDER_AT + h->duration_ms * BBM_MS);
        ck_assert_double_le((double)w->sends,
                            (double)w->requests * SHARE + SLACK);
        if (w->bad_50_at)
            ck_assert_int_le(w->last_send_at, w->bad_50_at + REVERT_TIME);
        destroy_world(w);
    }
}

/* Sizes of deployments: few VMs with many requests, many with few. */
static const history sizes[] = {
    {.vms = 6, .per_s = 100, .duration_ms = 12000},
    {.vms = 20, .per_s = 300, .duration_ms = 8000},
    {.vms = 70, .per_s = 60, .duration_ms = 20000},
    {.vms = 70, .per_s = 250, .duration_ms = 30000},
};

static void
check_all(faults f, void (*check)(const history *h))
{
    for (size_t i = 0; i < BBM_COUNT(sizes); i++) {
        history h = sizes[i];
        h.faults = f;
        check(&h);
    }
}

START_TEST(sound_builds_are_completed)
{
    check_all((faults){0}, check_completed);
}
END_TEST

START_TEST(builds_that_fail_at_once_are_reverted)
{
    check_all((faults){.bad_share = 0.3}, check_reverted);
    check_all((faults){.bad_share = 1}, check_reverted);
}
END_TEST

START_TEST(builds_that_fail_later_are_reverted)
{
    check_all((faults){.bad_share = 0.4, .bad_from = 4000}, check_reverted);
}
END_TEST

START_TEST(builds_that_fail_under_load_are_reverted)
{
    check_all((faults){.bad_share = 0.5, .bad_above_rate = 0.25},
              check_reverted);
}
END_TEST

START_TEST(builds_that_fail_on_one_route_are_reverted)
{
    check_all((faults){.bad_share = 0.6, .bad_route = "book"}, check_reverted);
}
END_TEST

START_TEST(builds_that_are_slow_are_reverted)
{
    check_all((faults){.bad_share = 0.5, .slow_factor = 5}, check_reverted);
    check_all((faults){.bad_share = 1, .slow_factor = 4, .bad_from = 3000},
              check_reverted);
}
END_TEST

/* Clients that state no time limit leave without a word, or wait for longer
   than the release lasts. */
START_TEST(builds_that_answer_nothing_are_reverted)
{
    check_all((faults){.bad_share = 1, .hangs = true, .patience = 700},
              check_reverted);
    check_all((faults){.bad_share = 0.6,
                       .hangs = true,
                       .patience = 60000,
                       .bad_route = "book"},
              check_reverted);
}
END_TEST

START_TEST(trouble_of_both_builds_reverts_nothing)
{
    check_all((faults){.both = {2500, 4000}}, check_completed);
    check_all((faults){.both = {2500, 4000}, .both_slow = true},
              check_completed);
    check_all((faults){.both = {2500, 4000}, .hangs = true, .patience = 700},
              check_completed);
}
END_TEST

START_TEST(one_failing_or_slow_upstream_reverts_nothing)
{
    check_all((faults){.failing_upstream = 5}, check_completed);
    check_all((faults){.slow_upstream = 5}, check_completed);
    check_all((faults){.failing_upstream = 1}, check_completed);
}
END_TEST

START_TEST(a_failing_old_upstream_excuses_no_bad_build)
{
    check_all((faults){.failing_upstream = 1, .bad_share = 0.4},
              check_reverted);
}
END_TEST

START_TEST(a_vm_that_is_cut_off_sends_nothing_late)
{
    check_all(
        (faults){.cut = {3000, 7000}, .bad_share = 0.5, .bad_from = 2500},
        check_reverted);
    check_all((faults){.cut = {2000, NEVER_MS}}, check_completed);
}
END_TEST

START_TEST(frozen_and_restarted_vms_change_no_outcome)
{
    check_all((faults){.frozen = {3000, 5500}}, check_completed);
    check_all((faults){.restart = 4000}, check_completed);
    check_all(
        (faults){.restart = 3000, .frozen = {3500, 5000}, .bad_share = 0.4},
        check_reverted);
}
END_TEST

START_TEST(releases_go_on_under_another_leader)
{
    check_all((faults){.leaderless = {2500, 4000}}, check_completed);
    check_all((faults){.leaderless = {2500, 4000}, .bad_share = 0.5},
              check_reverted);
}
END_TEST

START_TEST(lost_reports_change_no_outcome)
{
    check_all((faults){.report_loss = 0.3}, check_completed);
    check_all((faults){.report_loss = 0.5, .bad_share = 0.5}, check_reverted);
}
END_TEST

TEST_MAIN("release", sound_builds_are_completed,
          builds_that_fail_at_once_are_reverted,
          builds_that_fail_later_are_reverted,
          builds_that_fail_under_load_are_reverted,
          builds_that_fail_on_one_route_are_reverted,
          builds_that_are_slow_are_reverted,
          builds_that_answer_nothing_are_reverted,
          trouble_of_both_builds_reverts_nothing,
          one_failing_or_slow_upstream_reverts_nothing,
          a_failing_old_upstream_excuses_no_bad_build,
          a_vm_that_is_cut_off_sends_nothing_late,
          frozen_and_restarted_vms_change_no_outcome,
          releases_go_on_under_another_leader, lost_reports_change_no_outcome);
