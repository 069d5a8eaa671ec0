#include "bbm_rollout.h"

#include "bbm_table.h"

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
#define RETRY_DELAY (200 * BBM_MS)
/* After this number of consecutive requests without an answer a runner is not
   contacted for BACKOFF_TIME. */
#define CONSECUTIVE_FAILURES_MAX_COUNT 3
#define BACKOFF_TIME (800 * BBM_MS)

/* Stages after RUNNER_IDLE count as in progress. */
typedef enum runner_stage {
    RUNNER_NEW,             /* a first report is to be requested */
    RUNNER_FIRST_QUERIED,   /* waiting for that report */
    RUNNER_IDLE,            /* is up to date, or waits for its turn */
    RUNNER_DRAINING,        /* gets no new requests */
    RUNNER_DRAINED_QUERIED, /* waiting for the report before the order */
    RUNNER_ORDERED,         /* the order is due, or waiting for its answer */
    RUNNER_LOADING,         /* accepted the order */
    RUNNER_LOADING_QUERIED, /* waiting for a report while it loads */
} runner_stage;

typedef struct runner {
    bbm_listing_entry info;
    runner_stage stage;
    bool listed;
    uint64_t sequence;             /* orders accepted, as last reported */
    bool has_accepted;             /* one more since that report */
    bbm_time next_action_at;       /* BBM_NEVER while waiting for an answer */
    uint32_t consecutive_failures; /* requests without an answer */
    bbm_time draining_until;       /* latest time of the order */
    bbm_time backoff_until;        /* no update starts before this time */
    double open_requests;          /* in progress on it, of all VMs */
    double backlog_ms;             /* time for the prompts not yet processed */
    char model[BBM_NAME_SIZE];     /* of the current order */
    uint64_t version;              /* of the current order */
    UT_hash_handle hh;
} runner;

typedef struct target {
    char model[BBM_NAME_SIZE];
    uint64_t version;
    bbm_time set_at; /* time when the version was set */
    UT_hash_handle hh;
} target;

struct bbm_rollout {
    bbm_rollout_desc desc;
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
                       bbm_time now)
{
    target *t = NULL;
    HASH_FIND_STR(ro->targets, model, t);
    if (!t) {
        t = bbm_calloc(1, sizeof(*t));
        bbm_name_set(t->model, model);
        HASH_ADD_STR(ro->targets, model, t);
    }
    if (version <= t->version)
        return;
    t->version = version;
    t->set_at = now;
}

/* ---- runners ---- */

static void
reset_runner(runner *r, const bbm_listing_entry *info)
{
    r->info = *info;
    r->stage = RUNNER_NEW;
    r->sequence = 0;
    r->has_accepted = false;
    r->next_action_at = 0;
    r->consecutive_failures = 0;
    r->backoff_until = 0;
}

/* A runner's versions only rise between its restarts; a lower one comes from a
   listing that is older than the runner's own report. */
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

static void
update_listed_runner(bbm_rollout *ro, const bbm_listing_entry *info)
{
    runner *r = find_runner(ro, info->id);
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_name_set(r->info.id, info->id);
        HASH_ADD_KEYPTR(hh, ro->runners, r->info.id, strlen(r->info.id), r);
        reset_runner(r, info);
    }
    else if (info->started_at_ms && r->info.started_at_ms
             && info->started_at_ms != r->info.started_at_ms) {
        reset_runner(r, info);
    }
    r->listed = true;
    r->info.leaving = info->leaving;
    memcpy(r->info.address, info->address, sizeof(r->info.address));
    if (info->started_at_ms)
        r->info.started_at_ms = info->started_at_ms;
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

void
bbm_rollout_set_load(bbm_rollout *ro, const char *id, double open_requests,
                     double backlog_ms)
{
    runner *r = find_runner(ro, id);
    if (!r)
        return;
    r->open_requests = open_requests;
    r->backlog_ms = backlog_ms;
}

/* ---- choice of the next runner ---- */

/* The model that the runner holds in an older version than its target; NULL if
   there is none. */
static const target *
pending_target(const bbm_rollout *ro, const runner *r)
{
    for (const target *t = ro->targets; t; t = t->hh.next) {
        uint64_t has = bbm_listing_entry_version(&r->info, t->model);
        if (has && has < t->version)
            return t;
    }
    return NULL;
}

static bool
is_in_progress(const runner *r)
{
    return r->stage > RUNNER_IDLE;
}

static size_t
count_in_progress(const bbm_rollout *ro)
{
    size_t n = 0;
    for (const runner *r = ro->runners; r; r = r->hh.next)
        n += is_in_progress(r);
    return n;
}

/* True if no target was set longer than slow_time_max ago, enough runners are
   updated, and the mean backlog of these is at most slow_backlog_ms. */
static bool
can_proceed_slowly(const bbm_rollout *ro, bbm_time now)
{
    size_t total = 0;
    size_t updated = 0;
    double backlog = 0;
    for (const target *t = ro->targets; t; t = t->hh.next) {
        if (now - t->set_at > ro->desc.slow_time_max)
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

/* Maximum number of runners in progress. */
static size_t
concurrent_max(const bbm_rollout *ro, bbm_time now)
{
    if (can_proceed_slowly(ro, now))
        return ro->desc.slow_concurrent;
    double share = (double)HASH_COUNT(ro->runners) * ro->desc.concurrent_share;
    size_t n = (size_t)ceil(share);
    return n > ro->desc.concurrent_min ? n : ro->desc.concurrent_min;
}

/* The runner with the older weights comes first, as their permitted time of
   use ends first; then the less busy one, as its requests end sooner. */
static bool
comes_before(const bbm_rollout *ro, const runner *a, const runner *b)
{
    const target *t = pending_target(ro, a);
    uint64_t has_a = bbm_listing_entry_version(&a->info, t->model);
    uint64_t has_b = bbm_listing_entry_version(&b->info, t->model);
    if (has_a != has_b)
        return has_a < has_b;
    return a->open_requests < b->open_requests;
}

static runner *
next_runner(const bbm_rollout *ro, bbm_time now)
{
    runner *best = NULL;
    for (runner *r = ro->runners; r; r = r->hh.next) {
        bool eligible = r->stage == RUNNER_IDLE && !r->info.leaving
                        && now >= r->backoff_until && pending_target(ro, r);
        if (eligible && (!best || comes_before(ro, r, best)))
            best = r;
    }
    return best;
}

static void
start_draining(bbm_rollout *ro, bbm_time now)
{
    size_t max = concurrent_max(ro, now);
    size_t busy = count_in_progress(ro);
    runner *r;
    while (busy < max && (r = next_runner(ro, now)) != NULL) {
        r->stage = RUNNER_DRAINING;
        r->next_action_at = now + ro->desc.drain_time_min;
        r->draining_until = now + ro->desc.drain_time_max;
        r->consecutive_failures = 0;
        busy++;
    }
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
    };
    bbm_name_set(ro->action.id, r->info.id);
    bbm_name_set(ro->action.address, r->info.address);
    bbm_name_set(ro->action.model, r->model);
    return &ro->action;
}

const bbm_rollout_action *
bbm_rollout_next_action(bbm_rollout *ro, bbm_time now)
{
    if (ro->fenced)
        return NULL;
    start_draining(ro, now);
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (now < r->next_action_at)
            continue;
        switch (r->stage) {
        case RUNNER_NEW:
            if (!pending_target(ro, r)) {
                r->stage = RUNNER_IDLE;
                break;
            }
            r->stage = RUNNER_FIRST_QUERIED;
            r->next_action_at = BBM_NEVER;
            return make_action(ro, r, false);
        case RUNNER_DRAINING:
            if (r->open_requests > 0 && now < r->draining_until) {
                r->next_action_at = now + DRAIN_CHECK_PERIOD;
                break;
            }
            r->stage = RUNNER_DRAINED_QUERIED;
            r->next_action_at = BBM_NEVER;
            return make_action(ro, r, false);
        case RUNNER_LOADING:
            r->stage = RUNNER_LOADING_QUERIED;
            r->next_action_at = BBM_NEVER;
            return make_action(ro, r, false);
        case RUNNER_IDLE:
        case RUNNER_FIRST_QUERIED:
        case RUNNER_DRAINED_QUERIED:
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
    r->backoff_until = now + BACKOFF_TIME;
}

static void
on_no_answer(runner *r, runner_stage retry_stage, bbm_time now)
{
    if (++r->consecutive_failures >= CONSECUTIVE_FAILURES_MAX_COUNT) {
        back_off(r, now);
        return;
    }
    r->stage = retry_stage;
    r->next_action_at = now + RETRY_DELAY;
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
    r->version = t->version;
    r->stage = RUNNER_ORDERED;
    r->next_action_at = now;
}

static void
apply_no_report(runner *r, bbm_time now)
{
    if (r->stage == RUNNER_FIRST_QUERIED) {
        r->stage = RUNNER_IDLE;
        return;
    }
    bool was_loading = r->stage == RUNNER_LOADING_QUERIED;
    on_no_answer(r, was_loading ? RUNNER_LOADING : RUNNER_DRAINING, now);
}

/* True for a report from before the last one, or from before the last order,
   that comes late.  The next order would have an old sequence number.  Without
   the start of the runner a lower number may be that of a restarted one. */
static bool
is_late(const runner *r, const bbm_runner_report *report)
{
    if (!report->started_at_ms)
        return false;
    uint64_t accepted =
        r->sequence + (r->has_accepted && !report->order_in_progress);
    return report->sequence < accepted;
}

void
bbm_rollout_apply_report(bbm_rollout *ro, const char *id,
                         const bbm_runner_report *report, bbm_time now)
{
    runner *r = find_runner(ro, id);
    bool awaited = r
                   && (r->stage == RUNNER_DRAINED_QUERIED
                       || r->stage == RUNNER_LOADING_QUERIED
                       || r->stage == RUNNER_FIRST_QUERIED);
    if (!awaited)
        return;
    bool was_first_query = r->stage == RUNNER_FIRST_QUERIED;
    if (!report) {
        apply_no_report(r, now);
        return;
    }
    if (report->started_at_ms && r->info.started_at_ms
        && report->started_at_ms != r->info.started_at_ms) {
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
    r->consecutive_failures = 0;
    if (report->started_at_ms)
        r->info.started_at_ms = report->started_at_ms;
    raise_versions(r, report->models, report->models_len);
    if (report->sequence > r->sequence || !report->order_in_progress)
        r->has_accepted = false;
    r->sequence = report->sequence;
    if (report->order_in_progress) {
        r->stage = RUNNER_LOADING;
        r->next_action_at = now + REPORT_POLL_PERIOD;
        return;
    }
    if (was_first_query)
        r->stage = RUNNER_IDLE;
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
    switch (answer) {
    case BBM_ORDER_ACCEPTED:
        r->has_accepted = true;
        r->stage = RUNNER_LOADING;
        r->next_action_at = now + FIRST_REPORT_DELAY;
        r->consecutive_failures = 0;
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
        p.in_progress += is_in_progress(r);
        p.silent += is_in_progress(r) && r->consecutive_failures > 0;
        if (!t)
            continue;
        p.pending++;
        if (now - t->set_at > p.age)
            p.age = now - t->set_at;
    }
    return p;
}

bool
bbm_rollout_is_fenced(const bbm_rollout *ro)
{
    return ro->fenced;
}
