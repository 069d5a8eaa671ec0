#include "gate_core.h"

/* Forecasts of when runners begin answers, from the load of upstreams. */

/* Time that each open request adds to a decoding step of a runner. */
#define DECODE_STEP_MS_PER_REQUEST 0.3

double
gate_forecast_urgent_share(const gate_pool *p, int priority)
{
    double all = 1;
    double urgent = 1;
    for (int i = 0; i < BBM_FORECAST_PRIORITIES; i++) {
        all += p->open_by_class[i];
        if (i <= bbm_forecast_class_of(priority))
            urgent += p->open_by_class[i];
    }
    return urgent / all;
}

double
gate_forecast_wait_ms(const bbm_gate *g, const gate_request *r,
                      const gate_upstream *u)
{
    const gate_pool *p = u->pool;
    double open = gate_open_requests(g, u);
    int class = bbm_forecast_class_of(r->priority);
    bbm_forecast_load load = {
        .backlog_ms = gate_backlog_tokens(g, u) / gate_prefill_rate(u),
        .step_ms = open * DECODE_STEP_MS_PER_REQUEST,
        .open_ahead = open * gate_forecast_urgent_share(p, class),
        .slots = gate_slots_of(u),
        .priority = class,
    };
    if (class > 0)
        load.open_urgent = open * gate_forecast_urgent_share(p, class - 1);
    return bbm_forecast_wait_ms(&p->forecast, &load, g->now);
}

double
gate_forecast_factor(const bbm_gate *g, const gate_request *r,
                     const gate_pool *p)
{
    return p->is_engine
               ? bbm_forecast_factor(&p->forecast, r->priority, g->now)
               : 1;
}

bool
gate_is_late(const bbm_gate *g, const gate_request *r)
{
    const gate_pool *p = gate_find_pool(g, r->pools[0]);
    return p && p->is_engine && r->target_latency
           && g->now - r->arrived_at >= r->target_latency;
}

bool
gate_is_late_at(const bbm_gate *g, const gate_request *r,
                const gate_upstream *u)
{
    double wait_ms =
        gate_forecast_wait_ms(g, r, u) * gate_forecast_factor(g, r, u->pool);
    bbm_time begins = g->now + (bbm_time)(wait_ms * (double)BBM_MS);
    return r->target_latency && begins - r->arrived_at >= r->target_latency;
}

void
gate_forecast_record_start(bbm_gate *g, const gate_request *r)
{
    gate_pool *p = r->upstream->pool;
    if (!p || !p->is_engine)
        return;
    double result_ms = (double)(g->now - r->sent_at) / (double)BBM_MS;
    bbm_forecast_add_start(&p->forecast, r->priority, r->forecast_ms,
                           result_ms, g->now);
    g->counts.forecasts++;
    g->counts.forecast_ms += (uint64_t)r->corrected_ms;
    g->counts.forecast_result_ms += (uint64_t)result_ms;
}

static double
ms_since_sent(const bbm_gate *g, const gate_request *r)
{
    return (double)(g->now - r->sent_at) / (double)BBM_MS;
}

/* An upstream that hasn't answered anyone meanwhile may have failed, which
   says nothing of its load. */
static bool
is_overdue(const bbm_gate *g, const gate_request *r)
{
    return r->stage == GATE_SENT && r->upstream
           && r->upstream->last_answer_at > r->sent_at
           && ms_since_sent(g, r) > r->forecast_ms;
}

void
gate_forecast_record_no_start(bbm_gate *g, const gate_request *r)
{
    if (is_overdue(g, r))
        gate_forecast_record_start(g, r);
}

void
gate_forecast_update(bbm_gate *g)
{
    for (gate_pool *p = g->pools; p; p = p->hh.next) {
        for (int i = 0; i < BBM_FORECAST_PRIORITIES; i++) {
            p->forecast.classes[i].overdue = (bbm_forecast_sums){0};
            p->open_by_class[i] = 0;
        }
    }
    for (const gate_request *r = g->requests; r; r = r->hh.next) {
        gate_pool *p = r->upstream ? r->upstream->pool : NULL;
        if (!p || !p->is_engine)
            continue;
        int class = bbm_forecast_class_of(r->priority);
        p->open_by_class[class]++;
        if (!is_overdue(g, r))
            continue;
        bbm_forecast_sums *sums = &p->forecast.classes[class].overdue;
        sums->forecast_ms += r->forecast_ms;
        sums->result_ms += ms_since_sent(g, r);
    }
}

void
gate_forecast_record_end(bbm_gate *g, const gate_request *r)
{
    gate_pool *p = r->upstream->pool;
    if (!p || !p->is_engine || !r->head_at)
        return;
    double slot_ms = (double)(g->now - r->head_at) / (double)BBM_MS
                     + r->miss_tokens / gate_prefill_rate(r->upstream);
    bbm_forecast_add_end(&p->forecast, r->priority, slot_ms, g->now);
}
