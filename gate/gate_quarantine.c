#include "bbm_codes.h"
#include "gate_core.h"

#include <string.h>

/* What requests say of the parts of their prompts: see bbm_quarantine.h. */

static bbm_upstream_run
run_of(const gate_request *r)
{
    return (bbm_upstream_run){.upstream = r->upstream->hash,
                              .run = r->upstream_run};
}

static bool
is_at_runner(const gate_request *r)
{
    return r->upstream->pool && r->upstream->pool->is_engine;
}

void
gate_record_disconnect(bbm_gate *g, gate_request *r)
{
    bool trial = r->is_trial;
    r->is_trial = false;
    g->counts.disconnects++;
    if (!is_at_runner(r) || !r->part_ids_len)
        return;
    bbm_part_crash crash = {
        .run = run_of(r),
        .sent_at = r->sent_at,
        .at = g->now,
        .trial = trial,
    };
    bbm_quarantine_add_crash(g->quarantine, &crash, r->part_ids,
                             r->part_ids_len, g->now);
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_DISCONNECTED, r);
    bbm_name_set(out->u.disconnected.upstream, r->upstream->info.id);
    out->u.disconnected.run = r->upstream_run;
    out->u.disconnected.parts_len = r->part_ids_len;
    for (size_t i = 0; i < r->part_ids_len && i < BBM_GATE_LOGGED_PARTS_MAX;
         i++)
        out->u.disconnected.parts[i] = r->part_ids[i];
}

void
gate_record_sound_answer(bbm_gate *g, const gate_request *r, bbm_time began_at)
{
    if (!is_at_runner(r))
        return;
    bbm_part_answer answer = {
        .run = run_of(r),
        .sent_at = r->sent_at,
        .began_at = began_at,
    };
    bbm_quarantine_add_answer(g->quarantine, &answer, r->part_ids,
                              r->part_ids_len, g->now);
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
    static const gate_request no_request = {0};
    const bbm_quarantine_entry *e = &change->entry;
    bbm_gate_output *out =
        gate_push_output(g, BBM_GATE_QUARANTINE, &no_request);
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

/* Their runners would crash as soon as they begin to answer. */
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
                   "a part of the prompt crashes runners");
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
