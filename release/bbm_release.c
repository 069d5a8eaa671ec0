#include "bbm_release.h"

#include "bbm_mem.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SHARE 0.1
#define DEFAULT_SLACK 50.0
/* Of the share that a bad build may get, the part that it gets during the
   trial.  The rest is kept for the time from its first request under load to
   the revert. */
#define TRIAL_PART 0.4
/* Shares per 1,000. */
#define RAMP_SHARE 250
#define FULL_SHARE 1000
/* Time before the end of a release at which the trial ends: the last two
   stages take a second, and the old build must finish what it has. */
#define HANDOVER_MIN_MS 3200
#define HANDOVER_PART 0.35
/* Latest time before the end at which all requests move, and at which the
   release is completed although a VM is silent or the old build has work. */
#define LAST_FULL_MS 1800
#define LAST_COMPLETE_MS 800
/* Minimum time in a stage: evidence of it arrives within 0.3 s. */
#define RAMP_TIME_MS 400
#define FULL_TIME_MS 800
/* With few requests the last stage lasts longer, until the new build has given
   so many answers in it, but not longer than this. */
#define FULL_ANSWERS_MIN 100
#define FULL_TIME_MAX_MS 2500
/* Time from the last decision of a VM on an earlier stage until the leader
   hears of its effect, and reverts. */
#define REACTION_RAMP_S 0.8
#define REACTION_FULL_S 0.6
/* Requests that are still to come count by this part of the present rate, as
   clients may stop. */
#define FORECAST_PART 0.5
/* A new leader decides on no more exposure before it has heard the VMs. */
#define SETTLE_TIME (600 * BBM_MS)
/* VMs that are silent for longer are waited for, up to the latest times. */
#define REPORT_AGE_MAX BBM_SECOND
/* The replicated age is renewed after this time, so that it is known after a
   loss of power. */
#define AGE_PERIOD BBM_SECOND
/* Length of a window: evidence is compared over the last one to two of
   them. */
#define WINDOW BBM_SECOND
/* An answer is slow from this number of buckets above the usual latency on:
   2 to 4 times as long. */
#define SLOW_BUCKETS 3
/* Latencies below 8 ms count as 8 ms: there the network's noise is several
   times the usual latency. */
#define USUAL_BUCKET_MIN 6
/* Rates of the old build that the new one may have: a multiple of the old
   rate, and an addition. */
#define ALLOWED_RATIO 1.5
#define ALLOWED_FAILURES 0.01
#define ALLOWED_SLOW 0.05
/* Negative logarithm of the probability that a sound build shows so many bad
   answers: from which a build is bad; from which it gets no more exposure;
   what must remain without its worst upstream and without the worst VM.  The
   bound is Chernoff's. */
#define EVIDENCE_BAD 9.2
#define EVIDENCE_DOUBT 3.0
#define EVIDENCE_REST 3.0
#define DOUBT_REST 1.5
#define BAD_ANSWERS_MIN 3
/* Answers of the old build in a window from which its rate is taken from
   there. */
#define WINDOW_ANSWERS_MIN 20
/* Runs of VMs whose evidence is kept, and routes that are compared. */
#define RUNS_MAX 512
#define ROUTES_MAX 16

/* Counts at one moment. */
typedef struct counts {
    bbm_evidence_row *rows; /* owned */
    size_t len;
} counts;

/* Evidence of one run of a VM. */
typedef struct vm_run {
    uint64_t vm;
    uint64_t run;
    bbm_time heard_at;
    bbm_evidence latest;
    counts window_start;   /* at the start of the present window */
    counts previous_start; /* at the start of the one before */
} vm_run;

/* The old build's expected bad answers among those of the new one, added up
   window by window. */
typedef struct expectation {
    double answers;
    double failures;
    double slow;
} expectation;

struct bbm_release {
    bbm_release_desc desc;
    bbm_release_info info;
    bbm_time created_at;
    bbm_time age_base; /* moment at which the age was 0 */
    bbm_time stage_at; /* when the stage was applied here */
    bbm_time step_at;
    bbm_time window_at;
    uint64_t window_requests; /* requests at the start of the window */
    double rate;              /* requests per second */
    size_t listed;            /* upstreams of the new build */
    bbm_time unlisted_since;  /* 0: there are some */
    uint64_t *vms;
    size_t vms_len;
    vm_run *runs;
    size_t runs_len;
    size_t runs_cap;
    expectation expected;
    uint64_t answers_before_full; /* of the new build, before all requests
                                     moved to it, as far as was reported */
};

/* ---- creation ---- */

uint32_t
bbm_release_first_share(double share)
{
    return (uint32_t)((share > 0 ? share : DEFAULT_SHARE) * TRIAL_PART * 1000
                      + 0.5);
}

bbm_release *
bbm_release_create(const bbm_release_desc *desc, bbm_time now)
{
    bbm_release *r = bbm_calloc(1, sizeof(*r));
    r->desc = *desc;
    if (r->desc.share <= 0)
        r->desc.share = DEFAULT_SHARE;
    if (r->desc.slack <= 0)
        r->desc.slack = DEFAULT_SLACK;
    r->info = desc->info;
    uint64_t age_ms =
        desc->age_ms > desc->info.age_ms ? desc->age_ms : desc->info.age_ms;
    r->created_at = now;
    r->age_base = now - (bbm_time)age_ms * BBM_MS;
    r->stage_at = now;
    r->step_at = now;
    r->window_at = now;
    r->unlisted_since = now;
    return r;
}

static void
free_run(vm_run *v)
{
    bbm_evidence_free(&v->latest);
    free(v->window_start.rows);
    free(v->previous_start.rows);
}

void
bbm_release_destroy(bbm_release *r)
{
    if (!r)
        return;
    for (size_t i = 0; i < r->runs_len; i++)
        free_run(&r->runs[i]);
    free(r->runs);
    free(r->vms);
    free(r);
}

uint64_t
bbm_release_serial(const bbm_release *r)
{
    return r->info.serial;
}

uint64_t
bbm_release_age_ms(const bbm_release *r, bbm_time now)
{
    return (uint64_t)((now - r->age_base) / BBM_MS);
}

/* ---- inputs ---- */

static void
raise_age(bbm_release *r, uint64_t age_ms, bbm_time now)
{
    if (age_ms > bbm_release_age_ms(r, now))
        r->age_base = now - (bbm_time)age_ms * BBM_MS;
}

void
bbm_release_apply(bbm_release *r, const bbm_release_info *info, bbm_time now)
{
    if (info->step == r->info.step)
        return;
    if (info->stage != r->info.stage)
        r->stage_at = now;
    r->step_at = now;
    r->info = *info;
    raise_age(r, info->age_ms, now);
}

void
bbm_release_set_vms(bbm_release *r, const uint64_t *vms, size_t len)
{
    free(r->vms);
    r->vms = len ? bbm_memdup(vms, len * sizeof(*vms)) : NULL;
    r->vms_len = len;
}

void
bbm_release_set_upstreams(bbm_release *r, size_t listed, bbm_time now)
{
    if (listed)
        r->unlisted_since = 0;
    else if (r->listed || !r->unlisted_since)
        r->unlisted_since = now;
    r->listed = listed;
}

static vm_run *
get_run(bbm_release *r, uint64_t vm, uint64_t run)
{
    for (size_t i = 0; i < r->runs_len; i++) {
        if (r->runs[i].vm == vm && r->runs[i].run == run)
            return &r->runs[i];
    }
    if (r->runs_len == RUNS_MAX)
        return NULL;
    bbm_grow(&r->runs, &r->runs_cap, r->runs_len, sizeof(*r->runs));
    r->runs[r->runs_len] = (vm_run){.vm = vm, .run = run};
    return &r->runs[r->runs_len++];
}

static uint64_t
count_requests(const bbm_release *r)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < r->runs_len; i++)
        sum += r->runs[i].latest.requests;
    return sum;
}

static uint64_t
count_sends(const bbm_release *r)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < r->runs_len; i++)
        sum += r->runs[i].latest.sends;
    return sum;
}

void
bbm_release_add_evidence(bbm_release *r, uint64_t vm, uint64_t run,
                         const bbm_evidence *e, bbm_time now)
{
    if (e->serial != r->info.serial)
        return;
    vm_run *v = get_run(r, vm, run);
    /* Reports may arrive out of order. */
    if (!v || e->requests < v->latest.requests || e->step < v->latest.step)
        return;
    bbm_evidence_free(&v->latest);
    v->latest = *e;
    v->latest.rows = e->rows_len
                         ? bbm_memdup(e->rows, e->rows_len * sizeof(*e->rows))
                         : NULL;
    v->latest.rows_cap = e->rows_len;
    v->heard_at = now;
    raise_age(r, e->age_ms, now);
}

/* ---- sums ---- */

/* What is summed up. */
typedef enum view {
    VIEW_ALL,    /* since the order */
    VIEW_WINDOW, /* since the start of the window before the present one */
} view;

typedef struct selection {
    view view;
    bool is_new;
    bool by_route;
    uint64_t route;        /* with by_route */
    uint64_t not_upstream; /* 0: all */
    uint64_t not_vm;       /* 0: all */
    uint64_t upstream;     /* only this; 0: all */
    uint64_t vm;           /* only this; 0: all */
} selection;

typedef struct sums {
    uint64_t failures;
    uint64_t answers[BBM_EVIDENCE_BUCKETS];
} sums;

static const bbm_evidence_row *
find_row(const counts *c, const bbm_evidence_row *row)
{
    for (size_t i = 0; i < c->len; i++) {
        if (c->rows[i].upstream == row->upstream
            && c->rows[i].route == row->route
            && c->rows[i].is_new == row->is_new)
            return &c->rows[i];
    }
    return NULL;
}

static void
add_row(sums *s, const bbm_evidence_row *row, const bbm_evidence_row *before)
{
    s->failures += row->failures - (before ? before->failures : 0);
    for (size_t i = 0; i < BBM_EVIDENCE_BUCKETS; i++)
        s->answers[i] += row->answers[i] - (before ? before->answers[i] : 0);
}

static sums
sum_up(const bbm_release *r, const selection *sel)
{
    sums s = {0};
    for (size_t i = 0; i < r->runs_len; i++) {
        const vm_run *v = &r->runs[i];
        if ((sel->not_vm && v->vm == sel->not_vm)
            || (sel->vm && v->vm != sel->vm))
            continue;
        for (size_t k = 0; k < v->latest.rows_len; k++) {
            const bbm_evidence_row *row = &v->latest.rows[k];
            if (row->is_new != sel->is_new
                || (sel->by_route && row->route != sel->route)
                || (sel->not_upstream && row->upstream == sel->not_upstream)
                || (sel->upstream && row->upstream != sel->upstream))
                continue;
            add_row(&s, row,
                    sel->view == VIEW_WINDOW
                        ? find_row(&v->previous_start, row)
                        : NULL);
        }
    }
    return s;
}

static uint64_t
count_answers(const sums *s)
{
    uint64_t n = 0;
    for (size_t i = 0; i < BBM_EVIDENCE_BUCKETS; i++)
        n += s->answers[i];
    return n;
}

/* Bucket of the median latency. */
static size_t
usual_bucket(const sums *s)
{
    uint64_t half = (count_answers(s) + 1) / 2;
    size_t bucket = 0;
    for (uint64_t n = s->answers[0];
         n < half && bucket < BBM_EVIDENCE_BUCKETS - 1;
         n += s->answers[bucket])
        bucket++;
    return bucket > USUAL_BUCKET_MIN ? bucket : USUAL_BUCKET_MIN;
}

static uint64_t
count_slow(const sums *s, size_t usual)
{
    uint64_t n = 0;
    for (size_t i = usual + SLOW_BUCKETS; i < BBM_EVIDENCE_BUCKETS; i++)
        n += s->answers[i];
    return n;
}

/* ---- comparing ---- */

/* Exponent of Chernoff's bound of the probability that at least @p bad of @p n
   are bad if each is with probability @p p. */
static double
evidence_against(uint64_t bad, uint64_t n, double p)
{
    double share = n ? (double)bad / (double)n : 0;
    if (share <= p || p <= 0 || p >= 1)
        return 0;
    double rest = share < 1 ? (1 - share) * log((1 - share) / (1 - p)) : 0;
    return (double)n * (share * log(share / p) + rest);
}

/* What the old build shows in a selection. */
typedef struct baseline {
    size_t usual; /* bucket of its usual latency */
    double failure_rate;
    double slow_rate;
} baseline;

static double
rate_of(uint64_t bad, uint64_t n)
{
    return n ? (double)bad / (double)n : 0;
}

/* The old upstream with the most bad answers, if there are enough others that
   its fault isn't taken for one of the build; else 0. */
static uint64_t
worst_upstream(const bbm_release *r, selection sel, size_t usual,
               size_t upstreams_min)
{
    uint64_t seen[BBM_EVIDENCE_ROWS_MAX];
    size_t seen_len = 0;
    uint64_t worst = 0;
    uint64_t worst_bad = 0;
    for (size_t i = 0; i < r->runs_len; i++) {
        const vm_run *v = &r->runs[i];
        for (size_t k = 0; k < v->latest.rows_len; k++) {
            const bbm_evidence_row *row = &v->latest.rows[k];
            size_t at = 0;
            while (at < seen_len && seen[at] != row->upstream)
                at++;
            if (row->is_new != sel.is_new || at < seen_len
                || seen_len == BBM_EVIDENCE_ROWS_MAX)
                continue;
            seen[seen_len++] = row->upstream;
            sel.upstream = row->upstream;
            sums s = sum_up(r, &sel);
            uint64_t bad = s.failures + count_slow(&s, usual);
            if (bad > worst_bad) {
                worst_bad = bad;
                worst = row->upstream;
            }
        }
    }
    return seen_len >= upstreams_min ? worst : 0;
}

static uint64_t
worst_vm(const bbm_release *r, selection sel, size_t usual)
{
    uint64_t worst = 0;
    uint64_t worst_bad = 0;
    size_t vms = 0;
    for (size_t i = 0; i < r->runs_len; i++) {
        sel.vm = r->runs[i].vm;
        sums s = sum_up(r, &sel);
        uint64_t bad = s.failures + count_slow(&s, usual);
        vms += s.failures + count_answers(&s) > 0;
        if (bad > worst_bad) {
            worst_bad = bad;
            worst = sel.vm;
        }
    }
    return vms >= 3 ? worst : 0;
}

static baseline
baseline_of(const bbm_release *r, selection sel)
{
    sel.is_new = false;
    selection all = sel;
    all.view = VIEW_ALL;
    sums since_order = sum_up(r, &all);
    baseline b = {.usual = usual_bucket(&since_order)};
    sums s = sum_up(r, &sel);
    if (s.failures + count_answers(&s) < WINDOW_ANSWERS_MIN) {
        sel = all;
        s = since_order;
    }
    /* A single old upstream that fails doesn't excuse the new build. */
    if (s.failures + count_slow(&s, b.usual))
        sel.not_upstream = worst_upstream(r, sel, b.usual, 3);
    if (sel.not_upstream)
        s = sum_up(r, &sel);
    uint64_t n = s.failures + count_answers(&s);
    b.failure_rate = rate_of(s.failures, n);
    b.slow_rate = rate_of(count_slow(&s, b.usual), count_answers(&s));
    return b;
}

/* Evidence against the new build in a selection; the larger of failures and
   slow answers. */
typedef struct verdict {
    double failures;
    double slow;
} verdict;

static verdict
judge(const sums *s, const baseline *b)
{
    uint64_t slow = count_slow(s, b->usual);
    uint64_t n = s->failures + count_answers(s);
    verdict v = {
        .failures = evidence_against(s->failures, n,
                                     b->failure_rate * ALLOWED_RATIO
                                         + ALLOWED_FAILURES),
        .slow = evidence_against(slow, count_answers(s),
                                 b->slow_rate * ALLOWED_RATIO + ALLOWED_SLOW),
    };
    if (s->failures < BAD_ANSWERS_MIN)
        v.failures = v.failures < EVIDENCE_DOUBT ? v.failures : EVIDENCE_DOUBT;
    if (slow < BAD_ANSWERS_MIN)
        v.slow = v.slow < EVIDENCE_DOUBT ? v.slow : EVIDENCE_DOUBT;
    return v;
}

/* True if the evidence holds without a part of it. */
static bool
holds_without(const bbm_release *r, const selection *sel, const baseline *b,
              bool slow, double min)
{
    sums s = sum_up(r, sel);
    verdict v = judge(&s, b);
    return (slow ? v.slow : v.failures) >= min;
}

/* How bad the new build looks. */
typedef enum look {
    LOOK_SOUND,
    LOOK_DOUBTFUL,
    LOOK_FAILS,
    LOOK_SLOW,
} look;

/* True if the evidence holds without the worst upstream of the new build, and
   without the VM that sees it worst. */
static bool
is_of_build(const bbm_release *r, const selection *sel, const baseline *b,
            bool slow, double min)
{
    selection rest = *sel;
    /* If others are listed, one upstream alone proves nothing. */
    rest.not_upstream =
        worst_upstream(r, *sel, b->usual, r->listed > 1 ? 1 : 2);
    if (rest.not_upstream && !holds_without(r, &rest, b, slow, min))
        return false;
    rest = *sel;
    rest.not_vm = worst_vm(r, *sel, b->usual);
    return !rest.not_vm || holds_without(r, &rest, b, slow, min);
}

static look
look_at(const bbm_release *r, selection sel)
{
    baseline b = baseline_of(r, sel);
    sel.is_new = true;
    sums s = sum_up(r, &sel);
    if (sel.view == VIEW_ALL && r->expected.answers > 0) {
        /* Trouble that has hit both builds while the new one had a larger
           share of the requests. */
        double failures = r->expected.failures / r->expected.answers;
        double slow = r->expected.slow / r->expected.answers;
        b.failure_rate = failures > b.failure_rate ? failures : b.failure_rate;
        b.slow_rate = slow > b.slow_rate ? slow : b.slow_rate;
    }
    verdict v = judge(&s, &b);
    if (v.failures >= EVIDENCE_BAD
        && is_of_build(r, &sel, &b, false, EVIDENCE_REST))
        return LOOK_FAILS;
    if (v.slow >= EVIDENCE_BAD
        && is_of_build(r, &sel, &b, true, EVIDENCE_REST))
        return LOOK_SLOW;
    bool in_doubt = (v.failures >= EVIDENCE_DOUBT
                     && is_of_build(r, &sel, &b, false, DOUBT_REST))
                    || (v.slow >= EVIDENCE_DOUBT
                        && is_of_build(r, &sel, &b, true, DOUBT_REST));
    return in_doubt ? LOOK_DOUBTFUL : LOOK_SOUND;
}

static size_t
collect_routes(const bbm_release *r, uint64_t routes[ROUTES_MAX])
{
    size_t len = 0;
    for (size_t i = 0; i < r->runs_len; i++) {
        const bbm_evidence *e = &r->runs[i].latest;
        for (size_t k = 0; k < e->rows_len; k++) {
            size_t at = 0;
            while (at < len && routes[at] != e->rows[k].route)
                at++;
            if (at == len && len < ROUTES_MAX && e->rows[k].is_new)
                routes[len++] = e->rows[k].route;
        }
    }
    return len;
}

static look
look_at_all(const bbm_release *r)
{
    uint64_t routes[ROUTES_MAX];
    size_t routes_len = collect_routes(r, routes);
    look worst = LOOK_SOUND;
    for (view w = VIEW_ALL; w <= VIEW_WINDOW; w++) {
        look l = look_at(r, (selection){.view = w});
        worst = l > worst ? l : worst;
        for (size_t i = 0; routes_len > 1 && i < routes_len; i++) {
            l = look_at(
                r,
                (selection){.view = w, .by_route = true, .route = routes[i]});
            worst = l > worst ? l : worst;
        }
    }
    return worst;
}

/* ---- windows ---- */

static void
add_expected(bbm_release *r)
{
    selection sel = {.view = VIEW_WINDOW, .is_new = true};
    sums s = sum_up(r, &sel);
    double n = (double)(s.failures + count_answers(&s));
    baseline b = baseline_of(r, sel);

    r->expected.answers += n;
    r->expected.failures += n * b.failure_rate;
    r->expected.slow += n * b.slow_rate;
}

static void
roll_window(bbm_release *r, bbm_time now)
{
    if (now - r->window_at < WINDOW)
        return;
    add_expected(r);
    uint64_t requests = count_requests(r);
    r->rate = (double)(requests - r->window_requests) * (double)BBM_SECOND
              / (double)(now - r->window_at);
    r->window_requests = requests;
    r->window_at = now;
    for (size_t i = 0; i < r->runs_len; i++) {
        vm_run *v = &r->runs[i];
        free(v->previous_start.rows);
        v->previous_start = v->window_start;
        v->window_start = (counts){.len = v->latest.rows_len};
        if (v->latest.rows_len)
            v->window_start.rows = bbm_memdup(
                v->latest.rows, v->latest.rows_len * sizeof(*v->latest.rows));
    }
}

/* ---- deciding ---- */

static const vm_run *
latest_run(const bbm_release *r, uint64_t vm)
{
    const vm_run *latest = NULL;
    for (size_t i = 0; i < r->runs_len; i++) {
        const vm_run *v = &r->runs[i];
        if (v->vm == vm && (!latest || v->run > latest->run))
            latest = v;
    }
    return latest;
}

/* True if all VMs apply the stage, by reports that aren't old; @p drained: and
   have nothing at old upstreams any more. */
static bool
all_vms_follow(const bbm_release *r, bbm_time now, bool drained)
{
    for (size_t i = 0; i < r->vms_len; i++) {
        const vm_run *v = latest_run(r, r->vms[i]);
        if (!v || now - v->heard_at > REPORT_AGE_MAX
            || v->latest.stage != r->info.stage
            || (drained && v->latest.old_open))
            return false;
    }
    return true;
}

/* Number of requests that the new build may still get if it is bad. */
static double
remaining_exposure(const bbm_release *r, uint64_t age_ms)
{
    double left_s = age_ms < r->info.duration_ms
                        ? (double)(r->info.duration_ms - age_ms) / 1000
                        : 0;
    double requests =
        (double)count_requests(r) + r->rate * left_s * FORECAST_PART;
    return requests * r->desc.share + r->desc.slack / 2
           - (double)count_sends(r);
}

static uint64_t
handover_ms(const bbm_release *r)
{
    uint64_t part = (uint64_t)((double)r->info.duration_ms * HANDOVER_PART);
    uint64_t time = part > HANDOVER_MIN_MS ? part : HANDOVER_MIN_MS;
    /* A short release has the half of its time for the trial. */
    return time < r->info.duration_ms / 2 ? time : r->info.duration_ms / 2;
}

static uint64_t
left_ms(const bbm_release *r, uint64_t age_ms)
{
    return age_ms < r->info.duration_ms ? r->info.duration_ms - age_ms : 0;
}

typedef struct plan {
    bbm_release_state state;
    bbm_release_stage stage;
    const char *reason;
} plan;

static void
plan_trial(const bbm_release *r, bbm_time now, uint64_t age_ms, plan *p)
{
    bool last = left_ms(r, age_ms) <= LAST_FULL_MS + RAMP_TIME_MS;
    bool over = left_ms(r, age_ms) <= handover_ms(r);
    double cost = r->rate * RAMP_SHARE / 1000 * REACTION_RAMP_S
                  + r->rate * REACTION_FULL_S;
    if (!r->listed || now - r->created_at < SETTLE_TIME || !over)
        return;
    if (!last && remaining_exposure(r, age_ms) < cost)
        return;
    p->stage = BBM_RELEASE_RAMP;
    p->reason = "the trial is over";
}

static void
plan_ramp(const bbm_release *r, bbm_time now, uint64_t age_ms, plan *p)
{
    bool last = left_ms(r, age_ms) <= LAST_FULL_MS;
    bool stayed = (now - r->stage_at) / BBM_MS >= RAMP_TIME_MS
                  && now - r->created_at >= SETTLE_TIME;
    if (!r->listed || !stayed)
        return;
    if (!last
        && (!all_vms_follow(r, now, false)
            || remaining_exposure(r, age_ms) < r->rate * REACTION_FULL_S))
        return;
    p->stage = BBM_RELEASE_FULL;
    p->reason = "sound under load";
}

/* Attempts at the new build that have ended. */
static uint64_t
count_new(const bbm_release *r)
{
    sums s = sum_up(r, &(selection){.view = VIEW_ALL, .is_new = true});
    return s.failures + count_answers(&s);
}

static void
plan_full(const bbm_release *r, bbm_time now, uint64_t age_ms, plan *p)
{
    bool last = left_ms(r, age_ms) <= LAST_COMPLETE_MS;
    bbm_time time_ms = (now - r->stage_at) / BBM_MS;
    bool is_proved = count_new(r) - r->answers_before_full >= FULL_ANSWERS_MIN
                     || time_ms >= FULL_TIME_MAX_MS;
    bool stayed = time_ms >= FULL_TIME_MS && is_proved
                  && now - r->created_at >= SETTLE_TIME;
    if (!last && (!stayed || !all_vms_follow(r, now, true)))
        return;
    p->state = BBM_RELEASE_COMPLETED;
    p->reason = all_vms_follow(r, now, true)
                    ? "no VM uses the old build"
                    : "time is over; the old build may have work";
}

static plan
make_plan(const bbm_release *r, bbm_time now, look l)
{
    uint64_t age_ms = bbm_release_age_ms(r, now);
    plan p = {.state = r->info.state, .stage = r->info.stage};
    bool unlisted = r->unlisted_since && now - r->unlisted_since > BBM_SECOND;
    bool ends = left_ms(r, age_ms) <= LAST_COMPLETE_MS;
    if (l == LOOK_FAILS || l == LOOK_SLOW || (l == LOOK_DOUBTFUL && ends)) {
        p.state = BBM_RELEASE_REVERTED;
        p.reason = l == LOOK_FAILS ? "the new build fails"
                   : l == LOOK_SLOW
                       ? "the new build is slow"
                       : "time is over; the new build is in doubt";
        return p;
    }
    if (unlisted && (ends || r->info.stage == BBM_RELEASE_FULL)) {
        p.state = BBM_RELEASE_REVERTED;
        p.reason = "no upstream of the new build is listed";
        return p;
    }
    if (l == LOOK_DOUBTFUL)
        return p;
    switch (r->info.stage) {
    case BBM_RELEASE_TRIAL:
        plan_trial(r, now, age_ms, &p);
        break;
    case BBM_RELEASE_RAMP:
        plan_ramp(r, now, age_ms, &p);
        break;
    case BBM_RELEASE_FULL:
        plan_full(r, now, age_ms, &p);
        break;
    }
    return p;
}

static void
explain(const bbm_release *r, bbm_time now, const char *text,
        bbm_release_reason *why)
{
    selection sel = {.view = VIEW_ALL};
    baseline b = baseline_of(r, sel);
    sums old = sum_up(r, &sel);
    sel.is_new = true;
    sums fresh = sum_up(r, &sel);
    *why = (bbm_release_reason){
        .text = text,
        .age_ms = bbm_release_age_ms(r, now),
        .requests = count_requests(r),
        .sends = count_sends(r),
        .new_answers = fresh.failures + count_answers(&fresh),
        .new_failures = fresh.failures,
        .new_slow = count_slow(&fresh, b.usual),
        .old_answers = old.failures + count_answers(&old),
        .old_failures = old.failures,
        .old_slow = count_slow(&old, b.usual),
        .vms = r->runs_len,
    };
    for (size_t i = 0; i < r->runs_len; i++) {
        uint64_t age_ms = (uint64_t)((now - r->runs[i].heard_at) / BBM_MS);
        if (age_ms > why->evidence_age_ms)
            why->evidence_age_ms = age_ms;
    }
}

bool
bbm_release_decide(bbm_release *r, bbm_time now, bbm_release_info *change,
                   bbm_release_reason *why)
{
    if (r->info.state != BBM_RELEASE_IN_PROGRESS)
        return false;
    roll_window(r, now);
    plan p = make_plan(r, now, look_at_all(r));
    if (!p.reason && now - r->step_at >= AGE_PERIOD)
        p.reason = "age";
    if (!p.reason)
        return false;
    if (p.stage != r->info.stage)
        r->answers_before_full = count_new(r);
    *change = r->info;
    change->state = p.state;
    change->stage = p.stage;
    if (p.stage == BBM_RELEASE_RAMP)
        change->share = RAMP_SHARE;
    if (p.stage == BBM_RELEASE_FULL)
        change->share = FULL_SHARE;
    change->fence = r->desc.fence;
    change->age_ms = bbm_release_age_ms(r, now);
    explain(r, now, p.reason, why);
    return true;
}
