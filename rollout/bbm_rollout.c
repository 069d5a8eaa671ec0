#include "bbm_rollout.h"

#include "bbm_table.h"

#include <math.h>
#include <string.h>

#define DEFAULT_SHARE 0.25
#define DEFAULT_LEAST 3
#define DEFAULT_CALM 2
#define DEFAULT_CALM_MS 40.0
#define DEFAULT_CALM_MOST (4 * BBM_SECOND)
/* Without haste so many of the runners at least are done. */
#define CALM_SHARE 0.5
/* No new work reaches a runner this long after all VMs were told. */
#define QUIET_TIME (20 * BBM_MS)
/* A report tells what was so a moment ago: after an order it is asked for
   this much later. */
#define REPORT_LAG (250 * BBM_MS)
/* While a runner loads it is asked again so often. */
#define ASK_PERIOD (150 * BBM_MS)
/* A runner that didn't take an order, or doesn't answer, is asked again. */
#define AGAIN (200 * BBM_MS)
/* A runner that doesn't answer so many times in a row is put aside. */
#define SILENT_MOST 3
#define ASIDE (800 * BBM_MS)

typedef enum runner_stage {
    RUNNER_NEW,      /* is to be asked what it holds */
    RUNNER_LOOKED,   /* that report is awaited */
    RUNNER_IDLE,     /* has what it should, or isn't next yet */
    RUNNER_QUIETING, /* gets no new work */
    RUNNER_ASKED,    /* a report is awaited, to order on top of it */
    RUNNER_ORDERED,  /* an answer is awaited */
    RUNNER_LOADING,  /* took the order */
    RUNNER_CHECKED,  /* a report is awaited while it loads */
} runner_stage;

typedef struct runner {
    bbm_listing_entry info;
    runner_stage stage;
    bool listed;
    uint64_t sequence; /* as last reported */
    bbm_time next;     /* something is to be done then */
    uint32_t silent;   /* questions without an answer */
    bbm_time aside;    /* not tried again before */
    double open;
    double backlog_ms;
    char model[BBM_NAME_SIZE]; /* of the order under way */
    uint64_t version;          /* of the order under way */
    UT_hash_handle hh;
} runner;

typedef struct target {
    char model[BBM_NAME_SIZE];
    uint64_t version;
    bbm_time named;
    UT_hash_handle hh;
} target;

struct bbm_rollout {
    bbm_rollout_desc desc;
    runner *runners;
    target *targets;
    bbm_rollout_action act;
    bool fenced;
};

bbm_rollout *
bbm_rollout_create(const bbm_rollout_desc *desc)
{
    bbm_rollout *ro = bbm_calloc(1, sizeof(*ro));
    ro->desc = *desc;
    if (ro->desc.concurrent_share <= 0)
        ro->desc.concurrent_share = DEFAULT_SHARE;
    if (!ro->desc.concurrent_min)
        ro->desc.concurrent_min = DEFAULT_LEAST;
    if (!ro->desc.slow_concurrent)
        ro->desc.slow_concurrent = DEFAULT_CALM;
    if (ro->desc.slow_backlog_ms <= 0)
        ro->desc.slow_backlog_ms = DEFAULT_CALM_MS;
    if (!ro->desc.slow_time_max)
        ro->desc.slow_time_max = DEFAULT_CALM_MOST;
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
find(const bbm_rollout *ro, const char *id)
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
    t->named = now;
}

/* ---- runners ---- */

static void
start_anew(runner *r, const bbm_listing_entry *info)
{
    r->info = *info;
    r->stage = RUNNER_NEW;
    r->sequence = 0;
    r->next = 0;
    r->silent = 0;
    r->aside = 0;
}

/* Versions only rise while a runner lives: the listing may be older than what
   the runner itself told. */
static void
take_versions(runner *r, const bbm_loaded_model *models, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        uint64_t had = bbm_listing_entry_version(&r->info, models[i].name);
        if (models[i].version > had)
            bbm_listing_entry_set_version(&r->info, models[i].name,
                                          models[i].version);
    }
}

static void
take_listed(bbm_rollout *ro, const bbm_listing_entry *info)
{
    runner *r = find(ro, info->id);
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_name_set(r->info.id, info->id);
        HASH_ADD_KEYPTR(hh, ro->runners, r->info.id, strlen(r->info.id), r);
        start_anew(r, info);
    }
    else if (info->started_at_ms && r->info.started_at_ms
             && info->started_at_ms != r->info.started_at_ms) {
        start_anew(r, info);
    }
    r->listed = true;
    r->info.leaving = info->leaving;
    memcpy(r->info.address, info->address, sizeof(r->info.address));
    if (info->started_at_ms)
        r->info.started_at_ms = info->started_at_ms;
    take_versions(r, info->models, info->models_len);
}

void
bbm_rollout_set_runners(bbm_rollout *ro, const bbm_listing *listing)
{
    for (runner *r = ro->runners; r; r = r->hh.next)
        r->listed = false;
    for (size_t i = 0; i < listing->len; i++) {
        if (listing->items[i].models_len)
            take_listed(ro, &listing->items[i]);
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
bbm_rollout_set_load(bbm_rollout *ro, const char *id, double open,
                     double backlog_ms)
{
    runner *r = find(ro, id);
    if (!r)
        return;
    r->open = open;
    r->backlog_ms = backlog_ms;
}

/* ---- who is next ---- */

static const target *
wanted(const bbm_rollout *ro, const runner *r)
{
    for (const target *t = ro->targets; t; t = t->hh.next) {
        uint64_t has = bbm_listing_entry_version(&r->info, t->model);
        if (has && has < t->version)
            return t;
    }
    return NULL;
}

static bool
is_under_way(const runner *r)
{
    return r->stage > RUNNER_IDLE;
}

static size_t
under_way(const bbm_rollout *ro)
{
    size_t n = 0;
    for (const runner *r = ro->runners; r; r = r->hh.next)
        n += is_under_way(r);
    return n;
}

/* True if the runners that are done are many, and carry the load easily. */
static bool
is_calm(const bbm_rollout *ro, bbm_time now)
{
    size_t all = 0;
    size_t done = 0;
    double backlog = 0;
    for (const target *t = ro->targets; t; t = t->hh.next) {
        if (now - t->named > ro->desc.slow_time_max)
            return false;
    }
    for (const runner *r = ro->runners; r; r = r->hh.next) {
        all++;
        if (wanted(ro, r) || is_under_way(r))
            continue;
        done++;
        backlog += r->backlog_ms;
    }
    return (double)done >= (double)all * CALM_SHARE
           && backlog <= ro->desc.slow_backlog_ms * (double)done;
}

static size_t
at_once(const bbm_rollout *ro, bbm_time now)
{
    if (is_calm(ro, now))
        return ro->desc.slow_concurrent;
    double share = (double)HASH_COUNT(ro->runners) * ro->desc.concurrent_share;
    size_t n = (size_t)ceil(share);
    return n > ro->desc.concurrent_min ? n : ro->desc.concurrent_min;
}

/* Which of two is next: the one with the older weights, whose time is up
   first; then the less busy one, whose runs are finished sooner. */
static bool
comes_before(const bbm_rollout *ro, const runner *a, const runner *b)
{
    const target *t = wanted(ro, a);
    uint64_t has_a = bbm_listing_entry_version(&a->info, t->model);
    uint64_t has_b = bbm_listing_entry_version(&b->info, t->model);
    if (has_a != has_b)
        return has_a < has_b;
    return a->open < b->open;
}

static runner *
next_one(const bbm_rollout *ro, bbm_time now)
{
    runner *best = NULL;
    for (runner *r = ro->runners; r; r = r->hh.next) {
        bool may = r->stage == RUNNER_IDLE && !r->info.leaving
                   && now >= r->aside && wanted(ro, r);
        if (may && (!best || comes_before(ro, r, best)))
            best = r;
    }
    return best;
}

static void
begin_more(bbm_rollout *ro, bbm_time now)
{
    size_t most = at_once(ro, now);
    size_t busy = under_way(ro);
    runner *r;
    while (busy < most && (r = next_one(ro, now)) != NULL) {
        r->stage = RUNNER_QUIETING;
        r->next = now + QUIET_TIME;
        r->silent = 0;
        busy++;
    }
}

/* ---- acts ---- */

static const bbm_rollout_action *
make_act(bbm_rollout *ro, const runner *r, bool order)
{
    ro->act = (bbm_rollout_action){
        .is_order = order,
        .version = r->version,
        .sequence = r->sequence,
        .fence = ro->desc.fence,
    };
    bbm_name_set(ro->act.id, r->info.id);
    bbm_name_set(ro->act.address, r->info.address);
    bbm_name_set(ro->act.model, r->model);
    return &ro->act;
}

const bbm_rollout_action *
bbm_rollout_next_action(bbm_rollout *ro, bbm_time now)
{
    if (ro->fenced)
        return NULL;
    begin_more(ro, now);
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (now < r->next)
            continue;
        switch (r->stage) {
        case RUNNER_NEW:
            if (!wanted(ro, r)) {
                r->stage = RUNNER_IDLE;
                break;
            }
            r->stage = RUNNER_LOOKED;
            r->next = BBM_NEVER;
            return make_act(ro, r, false);
        case RUNNER_QUIETING:
            r->stage = RUNNER_ASKED;
            r->next = BBM_NEVER;
            return make_act(ro, r, false);
        case RUNNER_LOADING:
            r->stage = RUNNER_CHECKED;
            r->next = BBM_NEVER;
            return make_act(ro, r, false);
        case RUNNER_IDLE:
        case RUNNER_LOOKED:
        case RUNNER_ASKED:
        case RUNNER_ORDERED:
        case RUNNER_CHECKED:
            break;
        }
    }
    /* Orders go out after the questions that were due. */
    for (runner *r = ro->runners; r; r = r->hh.next) {
        if (r->stage != RUNNER_ORDERED || now < r->next)
            continue;
        r->next = BBM_NEVER;
        return make_act(ro, r, true);
    }
    return NULL;
}

/* ---- what runners say ---- */

static void
put_aside(runner *r, bbm_time now)
{
    r->stage = RUNNER_IDLE;
    r->aside = now + ASIDE;
}

static void
was_silent(runner *r, runner_stage again, bbm_time now)
{
    if (++r->silent >= SILENT_MOST) {
        put_aside(r, now);
        return;
    }
    r->stage = again;
    r->next = now + AGAIN;
}

static void
order_now(bbm_rollout *ro, runner *r, bbm_time now)
{
    const target *t = wanted(ro, r);
    if (!t) {
        r->stage = RUNNER_IDLE;
        return;
    }
    bbm_name_set(r->model, t->model);
    r->version = t->version;
    r->stage = RUNNER_ORDERED;
    r->next = now;
}

void
bbm_rollout_apply_report(bbm_rollout *ro, const char *id,
                         const bbm_runner_report *report, bbm_time now)
{
    runner *r = find(ro, id);
    bool awaited = r
                   && (r->stage == RUNNER_ASKED || r->stage == RUNNER_CHECKED
                       || r->stage == RUNNER_LOOKED);
    if (!awaited)
        return;
    bool checked = r->stage == RUNNER_CHECKED;
    bool looked = r->stage == RUNNER_LOOKED;
    if (!report && looked) {
        r->stage = RUNNER_IDLE;
        return;
    }
    if (!report) {
        was_silent(r, checked ? RUNNER_LOADING : RUNNER_QUIETING, now);
        return;
    }
    r->silent = 0;
    if (report->started_at_ms && r->info.started_at_ms
        && report->started_at_ms != r->info.started_at_ms) {
        bbm_listing_entry info = r->info;
        info.started_at_ms = report->started_at_ms;
        info.models_len = report->models_len;
        memcpy(info.models, report->models, sizeof(info.models));
        start_anew(r, &info);
        return;
    }
    if (report->started_at_ms)
        r->info.started_at_ms = report->started_at_ms;
    take_versions(r, report->models, report->models_len);
    r->sequence = report->sequence;
    if (report->order_in_progress) {
        r->stage = RUNNER_LOADING;
        r->next = now + ASK_PERIOD;
        return;
    }
    if (looked)
        r->stage = RUNNER_IDLE;
    else
        order_now(ro, r, now);
}

void
bbm_rollout_apply_answer(bbm_rollout *ro, const char *id,
                         bbm_order_answer answer, bbm_time now)
{
    runner *r = find(ro, id);
    if (!r || r->stage != RUNNER_ORDERED)
        return;
    switch (answer) {
    case BBM_ORDER_ACCEPTED:
        r->stage = RUNNER_LOADING;
        r->next = now + REPORT_LAG;
        r->silent = 0;
        return;
    case BBM_ORDER_ALREADY_DONE:
        bbm_listing_entry_set_version(&r->info, r->model, r->version);
        r->stage = RUNNER_IDLE;
        return;
    case BBM_ORDER_NO_ANSWER:
        /* The same again: on top of the same count only one of them holds. */
        was_silent(r, RUNNER_ORDERED, now);
        r->next = now;
        return;
    case BBM_ORDER_CONFLICT:
        r->stage = RUNNER_LOADING;
        r->next = now + ASK_PERIOD;
        return;
    case BBM_ORDER_WRONG_RUNNER:
    case BBM_ORDER_REFUSED:
        put_aside(r, now);
        return;
    case BBM_ORDER_FENCED:
        ro->fenced = true;
        put_aside(r, now);
        return;
    }
}

/* ---- what is known ---- */

void
bbm_rollout_mark_listing(const bbm_rollout *ro, bbm_listing *listing)
{
    for (size_t i = 0; i < listing->len; i++) {
        bbm_listing_entry *item = &listing->items[i];
        const runner *r = find(ro, item->id);
        if (!r)
            continue;
        item->loading = is_under_way(r);
        memcpy(item->models, r->info.models, sizeof(item->models));
        item->models_len = r->info.models_len;
    }
}

bool
bbm_rollout_is_fenced(const bbm_rollout *ro)
{
    return ro->fenced;
}
