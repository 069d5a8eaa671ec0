#include "bbm_codes.h"
#include "gate_core.h"

#include <string.h>

/* What requests say of themselves and of the parts of their prompts: see
   bbm_quarantine.h. */

/* Number of upstreams of a pool that must work for a request that has crashed
   one, and for a suspect one: if it crashes the last, nobody is served.  Right
   after the first crash, its repeats may be on their way to another one. */
#define WORKING_MIN_CRASHED_ONCE 3
#define WORKING_MIN_SUSPECT 2
/* Time after a crash for which the last upstream is spared: others are back by
   then, or the pool has none. */
#define SPARE_LAST_TIME (10 * BBM_SECOND)
/* Time after the first crash for which a request is held if fewer work: as a
   further attempt of the one that ended with it, and as a repeat. */
#define CAUTION_FURTHER_MIN (250 * BBM_MS)
#define CAUTION_REPEAT_MIN (500 * BBM_MS)
#define CAUTION_REPEAT_MAX BBM_SECOND

static bbm_upstream_run
run_of(const gate_request *r)
{
    return (bbm_upstream_run){.upstream = r->upstream->hash,
                              .run = r->upstream_run};
}

static uint64_t
pool_hash_of(const gate_request *r)
{
    return bbm_hash_text(r->upstream->info.pool, 0);
}

void
gate_record_disconnect(bbm_gate *g, gate_request *r)
{
    bool trial = r->is_trial;
    r->is_trial = false;
    g->counts.disconnects++;
    if (!r->part_ids_len)
        return;
    bbm_part_crash crash = {
        .run = run_of(r),
        .pool = pool_hash_of(r),
        .sent_at = r->sent_at,
        .at = g->now,
        .trial = trial,
    };
    bbm_quarantine_add_crash(g->quarantine, &crash, r->part_ids,
                             r->part_ids_len, g->now);
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_DISCONNECTED, r);
    bbm_name_set(out->u.disconnected.upstream, r->upstream->info.id);
    out->u.disconnected.run = r->upstream_run;
    out->u.disconnected.whole_id = r->whole_id;
    out->u.disconnected.parts_len = r->part_ids_len - (r->whole_id != 0);
    for (size_t i = 0;
         i < out->u.disconnected.parts_len && i < BBM_GATE_LOGGED_PARTS_MAX;
         i++)
        out->u.disconnected.parts[i] = r->part_ids[i];
}

void
gate_record_sound_answer(bbm_gate *g, const gate_request *r, bbm_time began_at)
{
    bbm_part_answer answer = {
        .run = run_of(r),
        .pool = pool_hash_of(r),
        .sent_at = r->sent_at,
        .began_at = began_at,
    };
    bbm_quarantine_add_answer(g->quarantine, &answer, r->part_ids,
                              r->part_ids_len, g->now);
}

bool
gate_may_try(const bbm_gate *g, uint64_t id)
{
    bbm_time at = gate_calendar(g);
    bbm_turn_order order = gate_turn_order(g, id);
    /* In the second half of a turn the result spreads. */
    return at % BBM_TRIAL_TIME < BBM_TRIAL_TIME / 2
           && bbm_turn_is_own(&order, at / BBM_TRIAL_TIME);
}

/* Upstreams of a pool that get requests, as far as is known. */
static size_t
count_working(const bbm_gate *g, const gate_pool *pool)
{
    size_t working = 0;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        bbm_upstream_run run = {.upstream = u->hash,
                                .run = gate_run_of(&u->info)};
        working += u->listed && u->pool == pool && !gate_is_leaving(u)
                   && !gate_is_suspect(g, u)
                   && !bbm_quarantine_has_crashed(g->quarantine, &run);
    }
    return working;
}

static bool
may_send_suspect(bbm_gate *g, const gate_request *r, const gate_pool *pool,
                 bbm_time crash_at)
{
    bool is_last = count_working(g, pool) < WORKING_MIN_SUSPECT
                   && g->now - crash_at < SPARE_LAST_TIME;
    return r->attempts_run == 0 && !is_last
           && bbm_quarantine_may_send_suspect(g->quarantine, r->whole_id,
                                              gate_may_try(g, r->whole_id),
                                              g->now);
}

/* A further attempt of the request that ended with the crash comes first, once
   all VMs know of the crash, and the repeats of its client follow.  Both at
   random moments, so that the result of one is known before the next. */
static bbm_time
caution_time(bbm_gate *g, const gate_request *r)
{
    bool further = r->attempts_run > 0;
    bbm_time min = further ? CAUTION_FURTHER_MIN : CAUTION_REPEAT_MIN;
    bbm_time max = further ? CAUTION_REPEAT_MIN : CAUTION_REPEAT_MAX;
    return min + (bbm_time)(bbm_rng_unit(&g->rng) * (double)(max - min));
}

static gate_caution
judge_crashed_once(bbm_gate *g, gate_request *r, const gate_pool *pool,
                   bbm_time crash_at)
{
    if (count_working(g, pool) >= WORKING_MIN_CRASHED_ONCE)
        return GATE_CAUTION_NONE;
    if (r->caution_for != crash_at) {
        r->caution_for = crash_at;
        r->caution_until = crash_at + caution_time(g, r);
    }
    if (g->now >= r->caution_until)
        return GATE_CAUTION_NONE;
    return r->caution_until < r->start_deadline ? GATE_CAUTION_HOLD
                                                : GATE_CAUTION_REFUSE;
}

gate_caution
gate_judge_suspicion(bbm_gate *g, gate_request *r, const gate_pool *pool)
{
    bbm_time crash_at;
    if (!r->whole_id)
        return GATE_CAUTION_NONE;
    switch (bbm_quarantine_suspicion(g->quarantine, r->whole_id, g->now,
                                     &crash_at)) {
    case BBM_REQUEST_UNSUSPECTED:
        return GATE_CAUTION_NONE;
    case BBM_REQUEST_CRASHED_ONCE:
        return judge_crashed_once(g, r, pool, crash_at);
    case BBM_REQUEST_SUSPECT:
        return may_send_suspect(g, r, pool, crash_at) ? GATE_CAUTION_NONE
                                                      : GATE_CAUTION_REFUSE;
    }
    return GATE_CAUTION_NONE;
}

bbm_parts_verdict
gate_judge_parts(const bbm_gate *g, const gate_request *r,
                 const bbm_quarantine_entry **entry)
{
    return bbm_quarantine_judge(g->quarantine, r->part_ids, r->part_ids_len,
                                g->now, entry);
}

void
bbm_gate_add_quarantined(bbm_gate *g, const bbm_quarantine_entry *entry,
                         uint32_t times, bbm_time now)
{
    gate_advance(g, now);
    bbm_quarantine_adopt(g->quarantine, entry, times, g->now);
    gate_apply_quarantine(g);
}

bool
bbm_gate_quarantined_at(const bbm_gate *g, size_t i,
                        bbm_quarantine_entry *entry, uint32_t *times)
{
    return bbm_quarantine_at(g->quarantine, i, entry, times);
}

static void
push_change(bbm_gate *g, const bbm_quarantine_change *change)
{
    const bbm_quarantine_entry *e = &change->entry;
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_QUARANTINE, NULL);
    out->u.quarantine.change = *change;
    char *text = out->u.quarantine.upstreams;
    size_t size = sizeof(out->u.quarantine.upstreams);
    for (size_t i = 0; i < e->crashes_len; i++) {
        const gate_upstream *u =
            gate_find_upstream(g, e->crashes[i].run.upstream);
        size_t len = strlen(text);
        snprintf(text + len, size - len, "%s%s", i ? "," : "",
                 u ? u->info.id : "?");
    }
}

/* Their upstreams would crash as soon as they begin to answer. */
static void
abort_quarantined(bbm_gate *g)
{
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        const bbm_quarantine_entry *e;
        if (r->stage != GATE_SENT || r->is_trial
            || gate_judge_parts(g, r, &e) != BBM_PARTS_GUILTY)
            continue;
        g->counts.refused_quarantined++;
        gate_abort(g, r, BBM_ERR_UPSTREAM,
                   "the request, or a part of its prompt, crashes upstreams");
    }
}

void
gate_apply_quarantine(bbm_gate *g)
{
    bbm_quarantine_change change;
    bool quarantined = false;
    while (bbm_quarantine_next_change(g->quarantine, &change)) {
        quarantined = quarantined || change.kind == BBM_PART_QUARANTINED
                      || change.kind == BBM_PART_REPORTED;
        push_change(g, &change);
    }
    if (quarantined)
        abort_quarantined(g);
}
