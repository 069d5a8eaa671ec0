#include "bbm_rollout.h"

#include "bbm_hash.h"
#include "bbm_table.h"
#include "bbm_versions.h"

#include <math.h>
#include <string.h>

#define DEFAULT_CONCURRENT_SHARE 0.25
#define DEFAULT_CONCURRENT_MIN_COUNT 3
#define DEFAULT_SLOW_CONCURRENT_COUNT 2
#define DEFAULT_SLOW_BACKLOG_MS 40.0
#define DEFAULT_SLOW_TIME_MAX (4 * BBM_SECOND)
/* Share of the runners that must be updated before the rollout slows down. */
#define SLOW_UPDATED_MIN_SHARE 0.5
#define DEFAULT_DRAIN_TIME_MIN (20 * BBM_MS)
/* Period of the checks whether a runner has open requests. */
#define DRAIN_CHECK_PERIOD (20 * BBM_MS)
/* Delay of the first report request after an accepted order: an earlier report
   may still describe the state before the order. */
#define FIRST_REPORT_DELAY (250 * BBM_MS)
/* Interval of report requests while a runner loads. */
#define REPORT_POLL_PERIOD (150 * BBM_MS)
/* Delay of the next report request after one without an answer. */
#define RETRY_DELAY (50 * BBM_MS)
/* After this number of consecutive requests without an answer a runner is not
   contacted for BACKOFF_TIME. */
#define CONSECUTIVE_FAILURES_MAX_COUNT 3
#define BACKOFF_TIME (800 * BBM_MS)
/* Time for which the answer to a report request is awaited.  It doubles with
   the first one without an answer, for runners that answer slowly. */
#define REPORT_TIMEOUT_FIRST (250 * BBM_MS)
#define REPORT_TIMEOUT_MAX (500 * BBM_MS)
#define ORDER_TIMEOUT (200 * BBM_MS)
/* Time after an answer of a runner in which the listing may still have
   versions of before it: it lags by 0.8 s, and is read each second. */
#define LISTING_LAG_MAX (3 * BBM_SECOND)
/* Assumed time of an update until some have ended, and weight of each that
   ends in the smoothed time. */
#define UPDATE_TIME_FIRST BBM_SECOND
#define UPDATE_TIME_WEIGHT 0.1
/* Maximum share of the runners that have places if time is short. */
#define URGENT_CONCURRENT_SHARE 0.5

/* Stages after RUNNER_IDLE count as in progress. */
typedef enum runner_stage {
    RUNNER_NEW,             /* a report is to be requested, before its turn */
    RUNNER_QUERIED,         /* waiting for that report */
    RUNNER_IDLE,            /* is up to date, or waits for its turn */
    RUNNER_CHOSEN,          /* its report is due; gets no new requests */
    RUNNER_CHOSEN_QUERIED,  /* waiting for that report */
    RUNNER_DRAINING,        /* has answered; its open requests end */
    RUNNER_ORDERED,         /* the order is due, or waiting for its answer */
    RUNNER_LOADING,         /* accepted the order */
    RUNNER_LOADING_QUERIED, /* waiting for a report while it loads */
} runner_stage;

typedef struct runner {
    bbm_listing_entry info;
    runner_stage stage;
    bool listed;
    uint64_t sequence;      /* orders accepted, as last reported */
    bool has_accepted;      /* one more since that report */
    bool has_unknown_order; /* it was carrying out an order that this
                               leader doesn't know of */
    bool is_listed_older;   /* than it is believed to be */
    bool ignores_listing; /* until that no longer has a newer version than the
                             runner reported */
    bbm_time check_at;    /* is_listed_older counts from then on */
    bool is_loading;      /* accepted the order of this update */
    bbm_time next_action_at;       /* BBM_NEVER while waiting for an answer */
    uint32_t consecutive_failures; /* requests without an answer */
    uint64_t draw;                 /* hash of the id */
    uint32_t failed_orders;        /* accepted ones that left the weights as
                                      they were, since one changed them */
    bool is_silent;      /* the last request has no answer, or VMs suspect that
                            it has failed; false once it answers */
    bool is_suspected;   /* by VMs, as last told */
    bool answers_lately; /* as last told */
    bbm_time report_timeout;
    bbm_time chosen_at;
    bbm_time draining_until;   /* latest time of the order */
    bbm_time backoff_until;    /* no update starts before this time */
    double open_requests;      /* in progress on it, of all VMs */
    double backlog_ms;         /* time for the prompts not yet processed */
    char model[BBM_NAME_SIZE]; /* of the current order */
    uint64_t version;          /* of the current order */
    UT_hash_handle hh;
} runner;

typedef struct target {
    char model[BBM_NAME_SIZE];
    bbm_versions versions;
    UT_hash_handle hh;
} target;

struct bbm_rollout {
    bbm_rollout_desc desc;
    double update_time; /* smoothed, of the updates that have ended */
    runner *runners;
    target *targets;
    bbm_rollout_action action;
    bool fenced; /* a runner has seen a higher fencing number */
};

bbm_rollout *
bbm_rollout_create(const bbm_rollout_desc *desc)
{
    bbm_rollout *ro = bbm_calloc(1, sizeof(*ro));
    ro->desc = *desc;
    if (ro->desc.concurrent_share <= 0)
        ro->desc.concurrent_share = DEFAULT_CONCURRENT_SHARE;
    if (!ro->desc.concurrent_min)
        ro->desc.concurrent_min = DEFAULT_CONCURRENT_MIN_COUNT;
    if (!ro->desc.slow_concurrent)
        ro->desc.slow_concurrent = DEFAULT_SLOW_CONCURRENT_COUNT;
    if (ro->desc.slow_backlog_ms <= 0)
        ro->desc.slow_backlog_ms = DEFAULT_SLOW_BACKLOG_MS;
    if (!ro->desc.drain_time_min)
        ro->desc.drain_time_min = DEFAULT_DRAIN_TIME_MIN;
    if (!ro->desc.slow_time_max)
        ro->desc.slow_time_max = DEFAULT_SLOW_TIME_MAX;
    ro->update_time = (double)UPDATE_TIME_FIRST;
    return ro;
}

void
bbm_rollout_destroy(bbm_rollout *ro)
{
    if (!ro)
        return;
    BBM_TABLE_FREE(runner, ro->runners);
    BBM_TABLE_FREE(target, ro->targets);
    free(ro);
}

static runner *
find_runner(const bbm_rollout *ro, const char *id)
{
    runner *r = NULL;
    HASH_FIND_STR(ro->runners, id, r);
    return r;
}

void
bbm_rollout_set_target(bbm_rollout *ro, const char *model, uint64_t version,
                       bbm_time named_at)
{
    target *t = NULL;
    HASH_FIND_STR(ro->targets, model, t);
    if (!t) {
        t = bbm_calloc(1, sizeof(*t));
        bbm_name_set(t->model, model);
        HASH_ADD_STR(ro->targets, model, t);
    }
    bbm_versions_add(&t->versions, version, named_at);
}

/* ---- runners ---- */

static void
reset_runner(runner *r, const bbm_listing_entry *info)
{
    r->info = *info;
    r->stage = RUNNER_NEW;
    r->sequence = 0;
    r->has_accepted = false;
    r->has_unknown_order = false;
    r->is_listed_older = false;
    r->ignores_listing = false;
    r->check_at = 0;
    r->is_loading = false;
    r->failed_orders = 0;
    r->next_action_at = 0;
    r->consecutive_failures = 0;
    r->is_silent = false;
    r->is_suspected = false;
    r->report_timeout = REPORT_TIMEOUT_FIRST;
    r->backoff_until = 0;
}

/* The versions that this leader orders only rise; a lower one comes from a
   listing or a report that is older than the runner's last one, or from an
   order that this leader doesn't know of. */
static void
raise_versions(runner *r, const bbm_loaded_model *models, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        uint64_t current = bbm_listing_entry_version(&r->info, models[i].name);
        if (models[i].version > current)
            bbm_listing_entry_set_version(&r->info, models[i].name,
                                          models[i].version);
    }
}

/* True if one of the versions is lower than the runner is believed to have, or
   higher if that is asked for. */
static bool
any_differs(const runner *r, const bbm_loaded_model *models, size_t len,
            bool higher)
{
    for (size_t i = 0; i < len; i++) {
        uint64_t current = bbm_listing_entry_version(&r->info, models[i].name);
        if (higher ? models[i].version > current : models[i].version < current)
            return true;
    }
    return false;
}

static void
update_listed_runner(bbm_rollout *ro, const bbm_listing_entry *info)
{
    runner *r = find_runner(ro, info->id);
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_name_set(r->info.id, info->id);
        r->draw = bbm_hash64(info->id, strlen(info->id), 0);
        HASH_ADD_KEYPTR(hh, ro->runners, r->info.id, strlen(r->info.id), r);
        reset_runner(r, info);
    }
    else if (info->started_at_ms && r->info.started_at_ms
             && info->started_at_ms > r->info.started_at_ms) {
        reset_runner(r, info);
    }
    r->listed = true;
    r->info.leaving = info->leaving;
    memcpy(r->info.address, info->address, sizeof(r->info.address));
    /* A report may tell of a restart before the listing does. */
    if (info->started_at_ms > r->info.started_at_ms)
        r->info.started_at_ms = info->started_at_ms;
    r->is_listed_older = any_differs(r, info->models, info->models_len, false);
    if (!any_differs(r, info->models, info->models_len, true))
        r->ignores_listing = false;
    if (!r->ignores_listing)
        raise_versions(r, info->models, info->models_len);
}

void
bbm_rollout_set_runners(bbm_rollout *ro, const bbm_listing *listing)
{
    for (runner *r = ro->runners; r; r = r->hh.next)
        r->listed = false;
    for (size_t i = 0; i < listing->len; i++) {
        if (listing->items[i].models_len)
            update_listed_runner(ro, &listing->items[i]);
    }
    runner *r, *next;
    HASH_ITER(hh, ro->runners, r, next)
    {
        if (r->listed)
            continue;
        HASH_DEL(ro->runners, r);
        free(r);
    }
}

/* What VMs know counts while the runner isn't asked: one that is suspected has
   to answer before its turn.  Its answers to VMs don't count once it has left
   a request of the rollout without an answer. */
static void
update_suspicion(runner *r, const bbm_rollout_load *load)
{
    bool is_new = load->is_suspected && !r->is_suspected;
    r->is_suspected = load->is_suspected;
    if (r->stage != RUNNER_IDLE)
        return;
    if (is_new)
        r->is_silent = true;
    else if (!r->consecutive_failures && load->answers_lately
             && !load->is_suspected)
        r->is_silent = false;
}

void
bbm_rollout_set_load(bbm_rollout *ro, const char *id,
                     const bbm_rollout_load *load)
{
    runner *r = find_runner(ro, id);
    if (!r)
        return;
    r->open_requests = load->open_requests;
    r->backlog_ms = load->backlog_ms;
    r->answers_lately = load->answers_lately;
    update_suspicion(r, load);
}

/* ---- choice of the next runner ---- */

/* The model that the runner holds in an older version than its target; NULL if
   there is none. */
static const target *
pending_target(const bbm_rollout *ro, const runner *r)
{
    for (const target *t = ro->targets; t; t = t->hh.next) {
        uint64_t has = bbm_listing_entry_version(&r->info, t->model);
        if (has && has < bbm_versions_newest(&t->versions))
            return t;
    }
    return NULL;
}

static bool
is_in_progress(const runner *r)
{
    return r->stage > RUNNER_IDLE;
}

/* When the first version was named that the runner lacks. */
static bbm_time
overtaken_at(const runner *r, const target *t)
{
    return bbm_versions_overtaken_at(
        &t->versions, bbm_listing_entry_version(&r->info, t->model));
}

/* The places limit how much capacity a rollout takes from the clients.  A
   runner that doesn't answer takes none; with a place it would keep out one
   that makes progress. */
static bool
has_place(const runner *r)
{
    return is_in_progress(r) && !r->is_silent;
}

static size_t
count_places(const bbm_rollout *ro)
{
    size_t n = 0;
    for (const runner *r = ro->runners; r; r = r->hh.next)
        n += has_place(r);
    return n;
}

static size_t
count_answering(const bbm_rollout *ro)
{
    size_t n = 0;
    for (const runner *r = ro->runners; r; r = r->hh.next)
        n += !r->is_silent;
    return n;
}

/* True if no target was named longer than slow_time_max ago, enough runners
   are updated, and the mean backlog of these is at most slow_backlog_ms. */
static bool
can_proceed_slowly(const bbm_rollout *ro, bbm_time now)
{
    size_t total = 0;
    size_t updated = 0;
    double backlog = 0;
    for (const target *t = ro->targets; t; t = t->hh.next) {
        bbm_time named_at = t->versions.named_at[t->versions.len - 1];
        if (now - named_at > ro->desc.slow_time_max)
            return false;
    }
    for (const runner *r = ro->runners; r; r = r->hh.next) {
        total++;
        if (pending_target(ro, r) || is_in_progress(r))
            continue;
        updated++;
        backlog += r->backlog_ms;
    }
    return (double)updated >= (double)total * SLOW_UPDATED_MIN_SHARE
           && backlog <= ro->desc.slow_backlog_ms * (double)updated;
}

/* Expected time of an update.  Short updates end first, so those that already
   take longer than the mean count with the time that they have taken. */
static double
expected_update_time(const bbm_rollout *ro, bbm_time now)
{
    double sum = 0;
    size_t n = 0;
    for (const runner *r = ro->runners; r; r = r->hh.next) {
        if (!has_place(r))
            continue;
        sum += fmax((double)(now - r->chosen_at), ro->update_time);
        n++;
    }
    return n ? sum / (double)n : ro->update_time;
}

/* Part of its update that a runner still needs, from 0 to 1. */
static double
remaining_update(const runner *r, double update_time, bbm_time now)
{
    if (!is_in_progress(r))
        return 1;
    return fmax(0, 1 - (double)(now - r->chosen_at) / update_time);
}

/* Adds up the remaining updates of the runners by the version that overtook
   theirs; without silent runners. */
static void
sum_remaining_updates(const bbm_rollout *ro, const target *t,
                      double update_time, bbm_time now, double *sums)
{
    for (const runner *r = ro->runners; r; r = r->hh.next) {
        if (r->is_silent || r->info.leaving || pending_target(ro, r) != t)
            continue;
        size_t i = 0;
        while (i + 1 < t->versions.len
               && t->versions.named_at[i] < overtaken_at(r, t))
            i++;
        sums[i] += remaining_update(r, update_time, now);
    }
}

/* Number of places with which the update of each runner ends in time.  With p
   places, p updates end in each update time.  Runners with older weights come
   first, so each age needs places for all runners that are at least as old. */
static double
urgent_concurrent(const bbm_rollout *ro, bbm_time now)
{
    if (!ro->desc.update_time_max)
        return 0;
    double time = expected_update_time(ro, now);
    double most = 0;
    for (const target *t = ro->targets; t; t = t->hh.next) {
        double sums[BBM_VERSIONS_MAX] = {0};
        sum_remaining_updates(ro, t, time, now, sums);
        double updates = 0;
        for (size_t i = 0; i < t->versions.len; i++) {
            bbm_time left =
                t->versions.named_at[i] + ro->desc.update_time_max - now;
            updates += sums[i];
            most = fmax(most, updates * time / fmax((double)left, time));
        }
    }
    return most;
}

/* Number of places. */
static size_t
concurrent_max(const bbm_rollout *ro, bbm_time now)
{
    if (can_proceed_slowly(ro, now))
        return ro->desc.slow_concurrent;
    double answering = (double)count_answering(ro);
    double urgent =
        fmin(urgent_concurrent(ro, now), answering * URGENT_CONCURRENT_SHARE);
    size_t n =
        (size_t)ceil(fmax(urgent, answering * ro->desc.concurrent_share));
    return n > ro->desc.concurrent_min ? n : ro->desc.concurrent_min;
}

/* A runner whose last orders changed its weights, and one that is known to
   work, comes first; then the one with the older weights, as their permitted
   time of use ends first; then the less busy one, as its requests end
   sooner. */
static bool
comes_before(const bbm_rollout *ro, const runner *a, const runner *b)
{
    if (a->failed_orders != b->failed_orders)
        return a->failed_orders < b->failed_orders;
    if (a->answers_lately != b->answers_lately)
        return a->answers_lately;
    bbm_time since_a = overtaken_at(a, pending_target(ro, a));
    bbm_time since_b = overtaken_at(b, pending_target(ro, b));
    if (since_a != since_b)
        return since_a < since_b;
    if (a->open_requests != b->open_requests)
        return a->open_requests < b->open_requests;
    /* Any order that doesn't prefer a model. */
    return a->draw < b->draw;
}

static bool
awaits_turn(const bbm_rollout *ro, const runner *r, bbm_time now)
{
    return r->stage == RUNNER_IDLE && !r->info.leaving
           && now >= r->backoff_until && pending_target(ro, r);
}

static runner *
next_runner(const bbm_rollout *ro, bbm_time now)
{
    runner *best = NULL;
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (awaits_turn(ro, r, now) && (!best || comes_before(ro, r, best)))
            best = r;
    }
    return best;
}

static void
choose_runner(const bbm_rollout *ro, runner *r, bbm_time now)
{
    r->stage = RUNNER_CHOSEN;
    r->next_action_at = now;
    r->chosen_at = now;
    r->is_loading = false;
    r->draining_until = now + ro->desc.drain_time_max;
}

/* A runner that is believed to be up to date, and is listed with an older
   version, may have carried out an order of before its last restart. */
static bool
must_check(const bbm_rollout *ro, const runner *r, bbm_time now)
{
    return r->stage == RUNNER_IDLE && r->is_listed_older && !r->info.leaving
           && now >= r->check_at && !pending_target(ro, r);
}

/* Begins the updates for which there are places.  A silent runner is asked for
   a report instead, and awaits its turn once it answers. */
static void
start_updates(bbm_rollout *ro, bbm_time now)
{
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (must_check(ro, r, now)) {
            r->stage = RUNNER_NEW;
            r->next_action_at = now;
            r->check_at = now + LISTING_LAG_MAX;
        }
        if (r->is_silent && awaits_turn(ro, r, now)) {
            r->stage = RUNNER_NEW;
            r->next_action_at = now;
        }
    }
    size_t max = concurrent_max(ro, now);
    runner *r;
    for (size_t n = count_places(ro);
         n < max && (r = next_runner(ro, now)) != NULL; n++)
        choose_runner(ro, r, now);
}

/* ---- actions ---- */

static const bbm_rollout_action *
make_action(bbm_rollout *ro, const runner *r, bool order)
{
    ro->action = (bbm_rollout_action){
        .is_order = order,
        .version = r->version,
        .sequence = r->sequence,
        .fence = ro->desc.fence,
        .timeout = order ? ORDER_TIMEOUT : r->report_timeout,
    };
    bbm_name_set(ro->action.id, r->info.id);
    bbm_name_set(ro->action.address, r->info.address);
    bbm_name_set(ro->action.model, r->model);
    return &ro->action;
}

static void
record_update(bbm_rollout *ro, const runner *r, bbm_time now)
{
    double time = (double)(now - r->chosen_at);
    ro->update_time += (time - ro->update_time) * UPDATE_TIME_WEIGHT;
}

static void
prepare_order(bbm_rollout *ro, runner *r, bbm_time now)
{
    const target *t = pending_target(ro, r);
    if (!t) {
        r->stage = RUNNER_IDLE;
        return;
    }
    bbm_name_set(r->model, t->model);
    r->version = bbm_versions_newest(&t->versions);
    r->stage = RUNNER_ORDERED;
    r->next_action_at = now;
}

const bbm_rollout_action *
bbm_rollout_next_action(bbm_rollout *ro, bbm_time now)
{
    if (ro->fenced)
        return NULL;
    start_updates(ro, now);
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (now < r->next_action_at)
            continue;
        switch (r->stage) {
        case RUNNER_NEW:
            if (!pending_target(ro, r) && !r->is_listed_older) {
                r->stage = RUNNER_IDLE;
                break;
            }
            r->stage = RUNNER_QUERIED;
            r->next_action_at = BBM_NEVER;
            return make_action(ro, r, false);
        case RUNNER_CHOSEN:
            r->stage = RUNNER_CHOSEN_QUERIED;
            r->next_action_at = BBM_NEVER;
            return make_action(ro, r, false);
        case RUNNER_DRAINING:
            if (r->open_requests > 0 && now < r->draining_until)
                r->next_action_at = now + DRAIN_CHECK_PERIOD;
            else
                prepare_order(ro, r, now);
            break;
        case RUNNER_LOADING:
            r->stage = RUNNER_LOADING_QUERIED;
            r->next_action_at = BBM_NEVER;
            return make_action(ro, r, false);
        case RUNNER_IDLE:
        case RUNNER_QUERIED:
        case RUNNER_CHOSEN_QUERIED:
        case RUNNER_ORDERED:
        case RUNNER_LOADING_QUERIED:
            break;
        }
    }
    /* Orders follow after all report requests that are due. */
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (r->stage != RUNNER_ORDERED || now < r->next_action_at)
            continue;
        r->next_action_at = BBM_NEVER;
        return make_action(ro, r, true);
    }
    return NULL;
}

/* ---- reports and answers ---- */

static void
back_off(runner *r, bbm_time now)
{
    r->stage = RUNNER_IDLE;
    /* The answer may have been one to an order of before a restart. */
    r->has_accepted = false;
    r->backoff_until = now + BACKOFF_TIME;
}

static void
record_answer(runner *r, bbm_time now)
{
    r->check_at = now + LISTING_LAG_MAX;
    r->consecutive_failures = 0;
    r->is_silent = false;
}

/* The request is repeated a few times; then the runner is asked for a report
   now and then.  It gives its place back at once, unless it may be loading:
   then it serves nobody, also if just an answer was lost. */
static void
on_no_answer(runner *r, runner_stage retry_stage, bbm_time now)
{
    bool may_load =
        retry_stage == RUNNER_ORDERED || retry_stage == RUNNER_LOADING;
    bool is_last =
        r->consecutive_failures + 1 >= CONSECUTIVE_FAILURES_MAX_COUNT;
    r->is_silent = r->is_silent || !may_load || is_last;
    if (r->report_timeout < REPORT_TIMEOUT_MAX)
        r->report_timeout *= 2;
    if (++r->consecutive_failures >= CONSECUTIVE_FAILURES_MAX_COUNT) {
        back_off(r, now);
        return;
    }
    r->stage = retry_stage;
    r->next_action_at = now + RETRY_DELAY;
    r->backoff_until = r->next_action_at;
}

static void
apply_no_report(runner *r, bbm_time now)
{
    switch (r->stage) {
    case RUNNER_CHOSEN_QUERIED:
        on_no_answer(r, RUNNER_CHOSEN, now);
        return;
    case RUNNER_LOADING_QUERIED:
        on_no_answer(r, RUNNER_LOADING, now);
        return;
    case RUNNER_NEW:
    case RUNNER_QUERIED:
    case RUNNER_IDLE:
    case RUNNER_CHOSEN:
    case RUNNER_DRAINING:
    case RUNNER_ORDERED:
    case RUNNER_LOADING:
        on_no_answer(r, RUNNER_IDLE, now);
        return;
    }
}

/* Ends an update whose order was accepted.  If the runner still lacks the
   newest version, it awaits its turn: without requests it would serve nobody
   where versions follow fast, and one that keeps its weights would hold a
   place for ever. */
static void
end_update(bbm_rollout *ro, runner *r, bbm_time now)
{
    if (bbm_listing_entry_version(&r->info, r->model) < r->version) {
        r->failed_orders++;
        back_off(r, now);
        return;
    }
    record_update(ro, r, now);
    r->failed_orders = 0;
    r->stage = RUNNER_IDLE;
}

/* True for a report from before the last one, or from before the last order,
   that comes late.  The next order would have an old sequence number.  Without
   the start of the runner a lower number may be that of a restarted one. */
static bool
is_late(const runner *r, const bbm_runner_report *report)
{
    if (!report->started_at_ms)
        return false;
    if (report->started_at_ms < r->info.started_at_ms)
        return true;
    uint64_t accepted =
        r->sequence + (r->has_accepted && !report->order_in_progress);
    return report->sequence < accepted;
}

/* A report whose sequence number shows an order that this leader doesn't count
   on is newer than all that it knows: its versions hold once that order has
   ended, also lower ones. */
static void
apply_versions(runner *r, const bbm_runner_report *report)
{
    if (report->sequence > r->sequence + r->has_accepted)
        r->has_unknown_order = true;
    if (report->order_in_progress || !r->has_unknown_order) {
        raise_versions(r, report->models, report->models_len);
        return;
    }
    r->has_unknown_order = false;
    r->ignores_listing =
        any_differs(r, report->models, report->models_len, false);
    for (size_t i = 0; i < report->models_len; i++)
        bbm_listing_entry_set_version(&r->info, report->models[i].name,
                                      report->models[i].version);
}

void
bbm_rollout_apply_report(bbm_rollout *ro, const char *id,
                         const bbm_runner_report *report, bbm_time now)
{
    runner *r = find_runner(ro, id);
    bool awaited = r
                   && (r->stage == RUNNER_CHOSEN_QUERIED
                       || r->stage == RUNNER_LOADING_QUERIED
                       || r->stage == RUNNER_QUERIED);
    if (!awaited)
        return;
    bool was_first_query = r->stage == RUNNER_QUERIED;
    bool was_chosen = r->stage == RUNNER_CHOSEN_QUERIED;
    if (!report) {
        apply_no_report(r, now);
        return;
    }
    if (r->info.started_at_ms
        && report->started_at_ms > r->info.started_at_ms) {
        /* The runner has restarted. */
        bbm_listing_entry info = r->info;
        info.started_at_ms = report->started_at_ms;
        info.models_len = report->models_len;
        memcpy(info.models, report->models, sizeof(info.models));
        reset_runner(r, &info);
        return;
    }
    if (is_late(r, report)) {
        apply_no_report(r, now);
        return;
    }
    bool was_silent = r->is_silent;
    record_answer(r, now);
    if (report->started_at_ms)
        r->info.started_at_ms = report->started_at_ms;
    apply_versions(r, report);
    if (report->sequence > r->sequence || !report->order_in_progress)
        r->has_accepted = false;
    r->sequence = report->sequence;
    if (report->order_in_progress) {
        /* The update has begun before, or was silent meanwhile. */
        if (was_first_query || was_silent)
            r->chosen_at = now;
        r->stage = RUNNER_LOADING;
        r->next_action_at = now + REPORT_POLL_PERIOD;
        return;
    }
    if (was_chosen) {
        bool has_turn =
            !was_silent || count_places(ro) <= concurrent_max(ro, now);
        r->stage = has_turn ? RUNNER_DRAINING : RUNNER_IDLE;
        r->next_action_at = r->chosen_at + ro->desc.drain_time_min;
        return;
    }
    if (was_first_query)
        r->stage = RUNNER_IDLE;
    else if (r->is_loading)
        end_update(ro, r, now);
    else
        prepare_order(ro, r, now);
}

void
bbm_rollout_apply_answer(bbm_rollout *ro, const char *id,
                         bbm_order_answer answer, bbm_time now)
{
    runner *r = find_runner(ro, id);
    if (!r || r->stage != RUNNER_ORDERED)
        return;
    if (answer != BBM_ORDER_NO_ANSWER)
        record_answer(r, now);
    switch (answer) {
    case BBM_ORDER_ACCEPTED:
        r->has_accepted = true;
        r->is_loading = true;
        r->stage = RUNNER_LOADING;
        r->next_action_at = now + FIRST_REPORT_DELAY;
        return;
    case BBM_ORDER_ALREADY_DONE:
        bbm_listing_entry_set_version(&r->info, r->model, r->version);
        r->stage = RUNNER_IDLE;
        return;
    case BBM_ORDER_NO_ANSWER:
        /* Resends the order with the same sequence number: the runner accepts
           at most one of the two. */
        on_no_answer(r, RUNNER_ORDERED, now);
        r->next_action_at = now;
        return;
    case BBM_ORDER_CONFLICT:
        r->stage = RUNNER_LOADING;
        r->next_action_at = now + REPORT_POLL_PERIOD;
        return;
    case BBM_ORDER_WRONG_RUNNER:
    case BBM_ORDER_REFUSED:
        back_off(r, now);
        return;
    case BBM_ORDER_FENCED:
        ro->fenced = true;
        back_off(r, now);
        return;
    }
}

/* ---- listing and state ---- */

void
bbm_rollout_mark_listing(const bbm_rollout *ro, bbm_listing *listing)
{
    for (size_t i = 0; i < listing->len; i++) {
        bbm_listing_entry *item = &listing->items[i];
        const runner *r = find_runner(ro, item->id);
        if (!r)
            continue;
        item->loading = is_in_progress(r);
        memcpy(item->models, r->info.models, sizeof(item->models));
        item->models_len = r->info.models_len;
    }
}

bbm_rollout_progress
bbm_rollout_get_progress(const bbm_rollout *ro, bbm_time now)
{
    bbm_rollout_progress p = {.runners = HASH_COUNT(ro->runners)};
    for (const runner *r = ro->runners; r; r = r->hh.next) {
        const target *t = pending_target(ro, r);
        p.in_progress += has_place(r);
        if (!t)
            continue;
        p.pending++;
        p.silent += r->is_silent;
        bbm_time age = now - overtaken_at(r, t);
        if (age > p.age)
            p.age = age;
    }
    return p;
}

bool
bbm_rollout_is_fenced(const bbm_rollout *ro)
{
    return ro->fenced;
}
