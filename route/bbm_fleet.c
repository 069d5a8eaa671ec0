#include "bbm_fleet.h"

#include "fleet_core.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Consecutive failures that eject a runner. */
#define EJECTION_FAILURES 3
/* Duration of the first ejection; each consecutive one doubles it, up to the
   maximum. */
#define EJECT_FIRST_NS (1 * BBM_SECOND)
#define EJECT_MAX_NS (30 * BBM_SECOND)
/* An ejection must leave at least this share of a model's runners usable. */
#define USABLE_MIN_SHARE 0.5
/* Share of its slots that a runner gets at the start of its warm-up. */
#define WARM_UP_START_SHARE 0.25
/* Weight of the newest request in the moving mean of the durations. */
#define SERVICE_TIME_WEIGHT 0.1
/* Limit of the factor by which a VM's own requests are multiplied.  With more
   VMs, one request does not indicate what the others send. */
#define VM_FACTOR_MAX 9.0
/* Time constant of the demand for a prefix. */
#define HOT_TIME_CONSTANT_NS (10 * BBM_SECOND)

bbm_fleet *
bbm_fleet_create(const bbm_fleet_desc *desc)
{
    bbm_fleet *f = bbm_calloc(1, sizeof(*f));
    f->desc = *desc;
    f->rng = bbm_rng_of(desc->seed);
    f->vm_factor = 1;
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
        if (r->used && (r->configured || r->local_requests))
            continue;
        bbm_cache_set_runner(f->cache, i, 0, 0);
        bbm_cache_clear(f->cache, i);
        *r = (fleet_runner){.used = true,
                            .service_time_ns = SERVICE_TIME_DEFAULT_NS};
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
    r->prefill_tokens_per_s = (double)e->prefill_tokens_per_s;
    r->import_tokens_per_s = (double)e->import_tokens_per_s;
    r->cache_blocks = (size_t)e->cache_blocks;
    r->leaving_configured = e->leaving;
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
bbm_fleet_set_vm_count(bbm_fleet *f, size_t vms)
{
    double max = VM_FACTOR_MAX;
    f->vm_factor = vms < 1 ? 1 : (double)vms;
    if (f->vm_factor > max)
        f->vm_factor = max;
}

/* ---- reports ---- */

static void
drop_recent(fleet_runner *r, bbm_time before)
{
    size_t keep = 0;
    for (size_t i = 0; i < r->recent_len; i++) {
        if (r->recent[i].sent_at > before)
            r->recent[keep++] = r->recent[i];
    }
    r->recent_len = keep;
}

static bool
apply_events(bbm_fleet *f, fleet_runner *r, const bbm_report *report,
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
    /* The lost events may have been removals: every entry may be stale. */
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
    bool has_reported = r->incarnation != 0;
    bool incarnation_changed = bbm_cache_set_runner(
        f->cache, slot, report->incarnation, r->cache_blocks);
    if (incarnation_changed) {
        effect.new_incarnation = has_reported;
        r->last_event = 0;
        r->recent_len = 0;
        r->warm_up_start = has_reported ? now : 0;
    }
    if (strcmp(r->weights, report->weights) != 0) {
        bbm_name_set(r->weights, report->weights);
        bbm_cache_clear(f->cache, slot);
        r->last_event = 0;
    }
    bool was_silent =
        r->last_report_at && now - r->last_report_at > REPORT_AGE_MAX_NS;
    if (was_silent)
        r->warm_up_start = now;
    r->incarnation = report->incarnation;
    r->running = report->running;
    r->queued = report->queued;
    r->backlog_tokens = report->backlog_tokens;
    r->measured_at = now - report->age;
    r->last_report_at = now;
    r->loading = report->loading;
    r->leaving_reported = report->leaving;
    drop_recent(r, r->measured_at);
    /* Once the index is empty (last_event 0), events that do not start at the
       first one leave a gap as well. */
    bool starts_late = !report->is_snapshot && r->last_event == 0
                       && report->last_event > 0 && report->first_event != 1;
    if (starts_late)
        effect.gap = true;
    else
        effect.gap = apply_events(f, r, report, now);
    return effect;
}

void
bbm_fleet_report_failed(bbm_fleet *f, const char *engine, bbm_time now)
{
    (void)now;
    fleet_runner *r = fleet_find(f, engine);
    if (r && r->consecutive_failures < EJECTION_FAILURES)
        r->consecutive_failures++;
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
    double reported = (double)r->running + (double)r->queued;
    if (f->desc.no_own_load)
        return reported;
    double estimate = reported + (double)r->recent_len * f->vm_factor;
    double own = (double)r->local_requests;
    return estimate > own ? estimate : own;
}

double
fleet_slots(const fleet_runner *r, bbm_time now)
{
    if (!r->warm_up_start || now - r->warm_up_start >= WARM_UP_NS)
        return r->slots;
    double share = (double)(now - r->warm_up_start) / (double)WARM_UP_NS;
    if (share < WARM_UP_START_SHARE)
        share = WARM_UP_START_SHARE;
    double slots = r->slots * share;
    return slots < 1 ? 1 : slots;
}

double
fleet_wait_ns(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    double backlog = r->backlog_tokens;
    for (size_t i = 0; i < r->recent_len && !f->desc.no_own_load; i++)
        backlog += r->recent[i].uncached_tokens * f->vm_factor;
    double wait = backlog / r->prefill_tokens_per_s * (double)BBM_SECOND;
    double slots = fleet_slots(r, now);
    double queued = fleet_load(f, r) + 1 - slots;
    if (queued > 0)
        wait += queued / slots * r->service_time_ns;
    return wait;
}

static bool
is_leaving(const fleet_runner *r)
{
    return r->leaving_configured || r->leaving_reported;
}

bool
fleet_is_usable(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    bool is_reporting =
        r->last_report_at && now - r->last_report_at <= REPORT_AGE_MAX_NS;
    bool ejected = !f->desc.no_ejection && now < r->ejected_until;
    return r->used && r->configured && !is_leaving(r) && !r->loading
           && is_reporting && !ejected;
}

bool
bbm_fleet_usable(const bbm_fleet *f, const char *engine, bbm_time now)
{
    const fleet_runner *r = fleet_find(f, engine);
    return r && fleet_is_usable(f, r, now);
}

bbm_time
bbm_fleet_estimate_wait(const bbm_fleet *f, const char *model,
                        double ahead_tokens, bbm_time now)
{
    double prefill = 0;
    double shortest = -1;
    for (uint32_t i = 0; i < f->len; i++) {
        const fleet_runner *r = &f->runners[i];
        if (!fleet_is_usable(f, r, now) || strcmp(r->model, model) != 0)
            continue;
        prefill += r->prefill_tokens_per_s;
        double wait = fleet_wait_ns(f, r, now);
        if (shortest < 0 || wait < shortest)
            shortest = wait;
    }
    if (prefill <= 0)
        return BBM_SECOND;
    return (bbm_time)(shortest + ahead_tokens / prefill * (double)BBM_SECOND);
}

/* ---- requests ---- */

/* Two entries become one, so that none of the backlog is forgotten before a
   report has it. */
static void
merge_oldest(fleet_runner *r)
{
    r->recent[1].uncached_tokens += r->recent[0].uncached_tokens;
    r->recent_len--;
    memmove(&r->recent[0], &r->recent[1],
            r->recent_len * sizeof(r->recent[0]));
}

void
bbm_fleet_started(bbm_fleet *f, const bbm_prompt *prompt, const bbm_pick *pick,
                  bbm_time now)
{
    fleet_runner *r = &f->runners[pick->slot];
    r->local_requests++;
    if (r->recent_len == RECENT_MAX)
        merge_oldest(r);
    r->recent[r->recent_len++] = (fleet_recent){
        .sent_at = now, .uncached_tokens = pick->uncached_tokens};
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
bbm_fleet_first_token(bbm_fleet *f, uint32_t slot, double uncached_tokens)
{
    /* The prompt is computed and no longer part of the backlog. */
    fleet_runner *r = &f->runners[slot];
    for (size_t i = 0; i < r->recent_len; i++) {
        if (fabs(r->recent[i].uncached_tokens - uncached_tokens) < 0.5) {
            r->recent[i].uncached_tokens = 0;
            return;
        }
    }
}

static bool
can_eject(const bbm_fleet *f, const fleet_runner *r, bbm_time now)
{
    double all = 0;
    double usable = 0;
    for (uint32_t i = 0; i < f->len; i++) {
        const fleet_runner *o = &f->runners[i];
        if (!o->used || !o->configured || strcmp(o->model, r->model) != 0)
            continue;
        all++;
        usable += fleet_is_usable(f, o, now);
    }
    return usable - 1 >= all * USABLE_MIN_SHARE;
}

bool
bbm_fleet_ended(bbm_fleet *f, uint32_t slot,
                const bbm_request_outcome *outcome, bbm_time now)
{
    fleet_runner *r = &f->runners[slot];
    if (r->local_requests)
        r->local_requests--;
    if (!outcome->failed) {
        r->consecutive_failures = 0;
        r->consecutive_ejections = 0;
        if (outcome->answer_started)
            r->service_time_ns +=
                SERVICE_TIME_WEIGHT
                * ((double)outcome->duration - r->service_time_ns);
        return false;
    }
    r->consecutive_failures++;
    if (r->consecutive_failures < EJECTION_FAILURES || f->desc.no_ejection
        || !can_eject(f, r, now))
        return false;
    bbm_time span = EJECT_FIRST_NS
                    << (r->consecutive_ejections < 5 ? r->consecutive_ejections
                                                     : 5);
    if (span > EJECT_MAX_NS)
        span = EJECT_MAX_NS;
    r->ejected_until = now + span;
    r->consecutive_ejections++;
    r->consecutive_failures = 0;
    r->warm_up_start = r->ejected_until;
    return true;
}

/* ---- demand for prefixes ---- */

static double
decayed(const fleet_hot *h, bbm_time now)
{
    return h->rate
           * exp(-(double)(now - h->updated_at)
                 / (double)HOT_TIME_CONSTANT_NS);
}

double
fleet_hot_rate(const bbm_fleet *f, bbm_block_id id, bbm_time now)
{
    const fleet_hot *h = &f->hot[id.low % HOT_ENTRY_COUNT];
    return bbm_block_same(h->id, id) ? decayed(h, now) : 0;
}

double
fleet_hot_count(bbm_fleet *f, bbm_block_id id, bbm_time now)
{
    fleet_hot *h = &f->hot[id.low % HOT_ENTRY_COUNT];
    double rate = decayed(h, now);
    double one = (double)BBM_SECOND / (double)HOT_TIME_CONSTANT_NS;
    /* Two blocks can have the same table entry.  Each request for the other
       block lowers the rate of the one that has it by one request, until the
       other replaces it. */
    if (!bbm_block_same(h->id, id)) {
        if (rate > one) {
            h->rate = rate - one;
            h->updated_at = now;
            return one;
        }
        h->id = id;
        rate = 0;
    }
    h->rate = rate + one;
    h->updated_at = now;
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
        .local_requests = r->local_requests,
        .blocks = bbm_cache_count_of(f->cache, (uint32_t)i),
        .is_reporting =
            r->last_report_at && now - r->last_report_at <= REPORT_AGE_MAX_NS,
        .ejected = now < r->ejected_until,
        .leaving = is_leaving(r) || !r->configured,
    };
    bbm_name_set(view->name, r->name);
    bbm_name_set(view->weights, r->weights);
    return true;
}
