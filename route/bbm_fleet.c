#include "bbm_fleet.h"

#include "fleet_core.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Failures in a row that eject a runner. */
#define FAILURES_MOST 3
/* First ejection; each further one doubles it, up to the longest. */
#define EJECT_FIRST (1 * BBM_SECOND)
#define EJECT_LONGEST (30 * BBM_SECOND)
/* Share of a model's runners that always stays. */
#define STAY_SHARE 0.5
/* Share of its slots that a runner starts with when it comes back. */
#define WARM_START 0.25
/* Weight of the newest request in the mean length. */
#define SERVICE_WEIGHT 0.1
/* More daemons than this say nothing about each other's single requests. */
#define DAEMONS_COUNTED 9.0
#define HOT_SPAN (10 * BBM_SECOND)

bbm_fleet *
bbm_fleet_create(const bbm_fleet_desc *desc)
{
    bbm_fleet *f = bbm_calloc(1, sizeof(*f));
    f->desc = *desc;
    f->rng = bbm_rng_of(desc->seed);
    f->daemons = 1;
    f->cache = bbm_cache_create(&desc->cache);
    return f;
}

void
bbm_fleet_destroy(bbm_fleet *f)
{
    if (!f)
        return;
    bbm_cache_destroy(f->cache);
    free(f);
}

fleet_runner *
fleet_find(const bbm_fleet *f, const char *engine)
{
    for (uint32_t i = 0; i < f->len; i++) {
        const fleet_runner *r = &f->runners[i];
        if (r->used && strcmp(r->name, engine) == 0)
            return (fleet_runner *)(uintptr_t)r;
    }
    return NULL;
}

static uint32_t
slot_of(const bbm_fleet *f, const fleet_runner *r)
{
    return (uint32_t)(r - f->runners);
}

/* ---- configuration ---- */

static fleet_runner *
free_slot(bbm_fleet *f)
{
    for (uint32_t i = 0; i < BBM_CACHE_RUNNERS_MAX; i++) {
        fleet_runner *r = &f->runners[i];
        if (r->used && (r->configured || r->own))
            continue;
        bbm_cache_set_runner(f->cache, i, 0, 0);
        bbm_cache_clear(f->cache, i);
        *r = (fleet_runner){.used = true, .service = SERVICE_DEFAULT};
        if (i >= f->len)
            f->len = i + 1;
        return r;
    }
    return NULL;
}

static void
configure_runner(fleet_runner *r, const bbm_engine *e)
{
    r->configured = true;
    bbm_name_set(r->name, e->name);
    bbm_name_set(r->model, e->model);
    bbm_name_set(r->zone, e->zone);
    r->name_hash = bbm_hash_text(e->name, 0);
    r->slots = (double)e->slots;
    r->prefill = (double)e->prefill_tokens_per_s;
    r->import = (double)e->import_tokens_per_s;
    r->blocks = (size_t)e->cache_blocks;
    r->leaving_set = e->leaving;
}

void
bbm_fleet_configure(bbm_fleet *f, const bbm_config *cfg, bbm_time now)
{
    (void)now;
    for (uint32_t i = 0; i < f->len; i++)
        f->runners[i].configured = false;
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        fleet_runner *r = fleet_find(f, e->name);
        if (!r)
            r = free_slot(f);
        if (r)
            configure_runner(r, e);
    }
}

void
bbm_fleet_set_vm_count(bbm_fleet *f, size_t daemons)
{
    double most = DAEMONS_COUNTED;
    f->daemons = daemons < 1 ? 1 : (double)daemons;
    if (f->daemons > most)
        f->daemons = most;
}

/* ---- reports ---- */

static void
forget_recent(fleet_runner *r, bbm_time before)
{
    size_t keep = 0;
    for (size_t i = 0; i < r->recent_len; i++) {
        if (r->recent[i].at > before)
            r->recent[keep++] = r->recent[i];
    }
    r->recent_len = keep;
}

static bool
take_events(bbm_fleet *f, fleet_runner *r, const bbm_report *report,
            bbm_time now)
{
    uint32_t slot = slot_of(f, r);
    if (report->is_snapshot) {
        bbm_cache_clear(f->cache, slot);
        r->last_event = report->last_event;
    }
    bool gap = false;
    for (size_t i = 0; i < report->events_len; i++) {
        const bbm_cache_event *e = &report->events[i];
        if (!report->is_snapshot && e->sequence <= r->last_event)
            continue;
        if (!report->is_snapshot && e->sequence != r->last_event + 1) {
            gap = true;
            break;
        }
        if (!report->is_snapshot)
            r->last_event = e->sequence;
        if (e->removed)
            bbm_cache_remove(f->cache, slot, report->incarnation, e->id);
        else
            bbm_cache_store(f->cache, slot, report->incarnation, e->id, now);
    }
    /* What was lost may have been removals: nothing is trusted any more. */
    if (gap) {
        bbm_cache_clear(f->cache, slot);
        r->last_event = 0;
    }
    return gap;
}

bbm_report_effect
bbm_fleet_report(bbm_fleet *f, const char *engine, const bbm_report *report,
                 bbm_time now)
{
    bbm_report_effect effect = {0};
    fleet_runner *r = fleet_find(f, engine);
    if (!r)
        return effect;
    uint32_t slot = slot_of(f, r);
    bool known = r->incarnation != 0;
    bool again =
        bbm_cache_set_runner(f->cache, slot, report->incarnation, r->blocks);
    if (again) {
        effect.new_incarnation = known;
        r->last_event = 0;
        r->recent_len = 0;
        r->back_since = known ? now : 0;
    }
    if (strcmp(r->weights, report->weights) != 0) {
        bbm_name_set(r->weights, report->weights);
        bbm_cache_clear(f->cache, slot);
        r->last_event = 0;
    }
    bool was_lost = r->heard && now - r->heard > HEARD_TIME;
    if (was_lost)
        r->back_since = now;
    r->incarnation = report->incarnation;
    r->running = report->running;
    r->queued = report->queued;
    r->backlog = report->backlog_tokens;
    r->made = now - report->age;
    r->heard = now;
    r->loading = report->loading;
    r->leaving_told = report->leaving;
    forget_recent(r, r->made);
    /* A stream that starts past what we know is a gap as well. */
    bool behind = !report->is_snapshot && r->last_event == 0
                  && report->last_event > 0 && report->first_event != 1;
    if (behind)
        effect.gap = true;
    else
        effect.gap = take_events(f, r, report, now);
    return effect;
}

void
bbm_fleet_report_failed(bbm_fleet *f, const char *engine, bbm_time now)
{
    (void)now;
    fleet_runner *r = fleet_find(f, engine);
    if (r && r->failures < FAILURES_MOST)
        r->failures++;
}

uint64_t
bbm_fleet_last_event(const bbm_fleet *f, const char *engine)
{
    const fleet_runner *r = fleet_find(f, engine);
    return r ? r->last_event : 0;
}

/* ---- load ---- */

double
fleet_load(const bbm_fleet *f, const fleet_runner *r)
{
    double told = (double)r->running + (double)r->queued;
    if (f->desc.no_own_load)
        return told;
    double known = told + (double)r->recent_len * f->daemons;
    double own = (double)r->own;
    return known > own ? known : own;
}

double
fleet_slots(const fleet_runner *r, bbm_time now)
{
    if (!r->back_since || now - r->back_since >= WARM_TIME)
        return r->slots;
    double share = (double)(now - r->back_since) / (double)WARM_TIME;
    if (share < WARM_START)
        share = WARM_START;
    double slots = r->slots * share;
    return slots < 1 ? 1 : slots;
}

double
fleet_wait_ns(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    double backlog = r->backlog;
    for (size_t i = 0; i < r->recent_len && !f->desc.no_own_load; i++)
        backlog += r->recent[i].miss * f->daemons;
    double wait = backlog / r->prefill * (double)BBM_SECOND;
    double slots = fleet_slots(r, now);
    double over = fleet_load(f, r) + 1 - slots;
    if (over > 0)
        wait += over / slots * r->service;
    return wait;
}

static bool
is_leaving(const fleet_runner *r)
{
    return r->leaving_set || r->leaving_told;
}

bool
fleet_is_usable(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    bool heard = r->heard && now - r->heard <= HEARD_TIME;
    bool ejected = !f->desc.no_ejection && now < r->ejected_until;
    return r->used && r->configured && !is_leaving(r) && !r->loading && heard
           && !ejected;
}

bool
bbm_fleet_usable(const bbm_fleet *f, const char *engine, bbm_time now)
{
    const fleet_runner *r = fleet_find(f, engine);
    return r && fleet_is_usable(f, r, now);
}

bbm_time
bbm_fleet_estimate_wait(const bbm_fleet *f, const char *model, double ahead,
                        bbm_time now)
{
    double pace = 0;
    double least = -1;
    for (uint32_t i = 0; i < f->len; i++) {
        const fleet_runner *r = &f->runners[i];
        if (!fleet_is_usable(f, r, now) || strcmp(r->model, model) != 0)
            continue;
        pace += r->prefill;
        double wait = fleet_wait_ns(f, r, now);
        if (least < 0 || wait < least)
            least = wait;
    }
    if (pace <= 0)
        return BBM_SECOND;
    return (bbm_time)(least + ahead / pace * (double)BBM_SECOND);
}

/* ---- requests ---- */

void
bbm_fleet_started(bbm_fleet *f, const bbm_prompt *prompt, const bbm_pick *pick,
                  bbm_time now)
{
    fleet_runner *r = &f->runners[pick->slot];
    r->own++;
    if (r->recent_len == RECENT_MOST)
        forget_recent(r, r->recent[0].at);
    if (r->recent_len < RECENT_MOST)
        r->recent[r->recent_len++] =
            (fleet_recent){.at = now, .miss = pick->uncached_tokens};
    bbm_block_id chain = bbm_chain_start(prompt->scope, pick->weights);
    size_t len = prompt->block_count;
    if (len > BBM_PROMPT_BLOCKS_MAX)
        len = BBM_PROMPT_BLOCKS_MAX;
    for (size_t i = 0; i < len; i++) {
        chain = bbm_chain_next(chain, prompt->blocks[i]);
        bbm_cache_expect(f->cache, pick->slot, chain, now);
        if (i == 0)
            fleet_hot_count(f, chain, now);
    }
}

void
bbm_fleet_first_token(bbm_fleet *f, uint32_t slot, double miss)
{
    /* Its prompt is computed: it is no backlog any more. */
    fleet_runner *r = &f->runners[slot];
    for (size_t i = 0; i < r->recent_len; i++) {
        if (fabs(r->recent[i].miss - miss) < 0.5) {
            r->recent[i].miss = 0;
            return;
        }
    }
}

static bool
may_eject(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    double all = 0;
    double staying = 0;
    for (uint32_t i = 0; i < f->len; i++) {
        const fleet_runner *o = &f->runners[i];
        if (!o->used || !o->configured || strcmp(o->model, r->model) != 0)
            continue;
        all++;
        staying += fleet_is_usable(f, o, now);
    }
    return staying - 1 >= all * STAY_SHARE;
}

bool
bbm_fleet_ended(bbm_fleet *f, uint32_t slot, const bbm_request_outcome *ending,
                bbm_time now)
{
    fleet_runner *r = &f->runners[slot];
    if (r->own)
        r->own--;
    if (!ending->failed) {
        r->failures = 0;
        r->ejections = 0;
        if (ending->answer_started)
            r->service +=
                SERVICE_WEIGHT * ((double)ending->duration - r->service);
        return false;
    }
    r->failures++;
    if (r->failures < FAILURES_MOST || f->desc.no_ejection
        || !may_eject(f, r, now))
        return false;
    bbm_time span = EJECT_FIRST << (r->ejections < 5 ? r->ejections : 5);
    if (span > EJECT_LONGEST)
        span = EJECT_LONGEST;
    r->ejected_until = now + span;
    r->ejections++;
    r->failures = 0;
    r->back_since = r->ejected_until;
    return true;
}

/* ---- demand for prefixes ---- */

static double
decayed(const fleet_hot *h, bbm_time now)
{
    return h->rate * exp(-(double)(now - h->at) / (double)HOT_SPAN);
}

double
fleet_hot_rate(const bbm_fleet *f, bbm_block_id id, bbm_time now)
{
    const fleet_hot *h = &f->hot[id.low % HOT_MOST];
    return bbm_block_same(h->id, id) ? decayed(h, now) : 0;
}

double
fleet_hot_count(bbm_fleet *f, bbm_block_id id, bbm_time now)
{
    fleet_hot *h = &f->hot[id.low % HOT_MOST];
    double rate = decayed(h, now);
    double one = (double)BBM_SECOND / (double)HOT_SPAN;
    /* The hotter of two prefixes with one place keeps it. */
    if (!bbm_block_same(h->id, id)) {
        if (rate > one) {
            h->rate = rate - one;
            h->at = now;
            return one;
        }
        h->id = id;
        rate = 0;
    }
    h->rate = rate + one;
    h->at = now;
    return h->rate;
}

bool
bbm_fleet_at(const bbm_fleet *f, size_t i, bbm_time now, bbm_runner_view *view)
{
    if (i >= f->len)
        return false;
    const fleet_runner *r = &f->runners[i];
    *view = (bbm_runner_view){
        .incarnation = r->incarnation,
        .running = r->running,
        .queued = r->queued,
        .local_requests = r->own,
        .blocks = bbm_cache_count_of(f->cache, (uint32_t)i),
        .is_reporting = r->heard && now - r->heard <= HEARD_TIME,
        .ejected = now < r->ejected_until,
        .leaving = is_leaving(r) || !r->configured,
    };
    bbm_name_set(view->name, r->name);
    bbm_name_set(view->weights, r->weights);
    return true;
}
