#include "bbm_codes.h"
#include "gate_core.h"

#include <string.h>

/* Attempts: how their answers begin and end, and what follows from that. */

/* A request may be sent so many times more than it may run, where upstreams
   say that they did not run it. */
#define SENDS_MORE 2
/* A plain call that may be repeated is sent again elsewhere when its answer
   hasn't begun within so many times its aim. */
#define AGAIN_AIMS 1.5
/* An upstream is taken to be silent when a request to it has waited so long,
   beyond twice what was expected, and nothing else came from it meanwhile: a
   runner that is merely busy answers others. */
#define SILENT_AIMS 3.0
#define SILENT_LEAST (1000 * BBM_MS)
/* Weight of the last call in the smoothed time of calls and lateness. */
#define SERVICE_STEP 0.1

/* ---- answers ---- */

static gate_request *
find(const bbm_gate *g, uint64_t number)
{
    gate_request *r = NULL;
    HASH_FIND(hh, g->requests, &number, sizeof(number), r);
    return r;
}

bool
bbm_gate_has_request(const bbm_gate *g, uint64_t request)
{
    return find(g, request) != NULL;
}

void
bbm_gate_record_head(bbm_gate *g, uint64_t request, uint32_t attempt,
                     bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = find(g, request);
    if (!r || r->stage != GATE_SENT || r->attempts != attempt)
        return;
    r->stage = GATE_ANSWERING;
    r->head_at = g->now;
    if (!r->last_event_id[0])
        bbm_histogram_add(&g->counts.time_to_head, g->now - r->arrived_at);
    gate_upstream *u = r->upstream;
    u->last_answer_at = g->now;
    u->unread_tokens -= r->unread_tokens;
    r->unread_tokens = 0;
    g->load_changed = true;
    double took = (double)(g->now - r->sent_at) / (double)BBM_MS;
    u->lateness_ms += (took - r->expected_ms - u->lateness_ms) * SERVICE_STEP;
}

static void
end_whole(bbm_gate *g, gate_request *r, const bbm_forward_result *f)
{
    gate_upstream *u = r->upstream;
    if (f->status >= 500)
        gate_record_failure(g, u, BBM_FORWARD_FAILED);
    else
        gate_record_success(g, u);
    double took = (double)(g->now - r->sent_at) / (double)BBM_MS;
    if (u->pool && !u->pool->is_engine && f->status < 500)
        u->pool->service_ms += (took - u->pool->service_ms) * SERVICE_STEP;
    bbm_gate_output *out = gate_output(g, BBM_GATE_ENDED, r);
    bbm_name_set(out->u.ended.upstream, u->info.id);
    bbm_time head = r->head_at ? r->head_at : g->now;
    out->u.ended.first_ms = (head - r->arrived_at) / BBM_MS;
    out->u.ended.whole_ms = (g->now - r->arrived_at) / BBM_MS;
    out->u.ended.attempts = r->attempts;
    out->u.ended.status = f->status;
    g->counts.completed++;
    bbm_histogram_add(&g->counts.total_time, g->now - r->arrived_at);
    gate_request_free(g, r);
}

/* ---- sending again ---- */

static void
remember_failed(gate_request *r, const gate_upstream *u)
{
    if (r->failed_len < GATE_FAILED_MAX)
        r->failed_upstreams[r->failed_len++] = u->hash;
}

/* What reached an upstream before counts against the budget that all VMs
   share, whether it ran or not. */
static bool
take_retry(bbm_gate *g, const gate_request *r)
{
    gate_pool *p = gate_find_pool(g, r->pools[0]);
    return p && bbm_retry_acquire(&p->retry_budget);
}

static void
send_again(bbm_gate *g, gate_request *r)
{
    gate_release_upstream(g, r);
    r->stage = GATE_WAITING;
    r->link.tqe_prev = NULL;
    gate_dispatch(g, r);
}

static void
end_not_run(bbm_gate *g, gate_request *r, uint32_t status)
{
    gate_record_refusal(g, r->upstream, status);
    r->attempts_run--;
    remember_failed(r, r->upstream);
    bool may = r->attempts < r->attempts_max + SENDS_MORE
               && g->now < r->deadline && take_retry(g, r);
    if (may) {
        send_again(g, r);
        return;
    }
    if (r->last_event_id[0]) {
        gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                   "refused where it was to go on");
        return;
    }
    g->counts.refused_load += r->attempts_run == 0;
    gate_refuse(g, r, BBM_ERR_OVERLOAD, r->target_latency / 2,
                "refused by the upstream");
}

static void
end_unsent(bbm_gate *g, gate_request *r)
{
    gate_record_failure(g, r->upstream, BBM_FORWARD_UNSENT);
    r->attempts_run--;
    remember_failed(r, r->upstream);
    if (g->now < r->deadline && r->failed_len < GATE_FAILED_MAX) {
        send_again(g, r);
        return;
    }
    gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->target_latency,
                "no upstream could be reached");
}

static void
end_badly(bbm_gate *g, gate_request *r, const bbm_forward_result *f)
{
    gate_record_failure(g, r->upstream, f->outcome);
    remember_failed(r, r->upstream);
    bool begun = f->outcome == BBM_FORWARD_TRUNCATED;
    bool allowed = begun ? r->resumable : r->repeatable;
    if (begun && f->last_event_id[0])
        memcpy(r->last_event_id, f->last_event_id, sizeof(r->last_event_id));
    /* Without an event that was passed on there is nothing to go on from, but
       the head of the first answer stays. */
    bool may = allowed && r->attempts_run < r->attempts_max
               && g->now < r->deadline && take_retry(g, r);
    if (may) {
        send_again(g, r);
        return;
    }
    gate_abort(g, r, begun ? BBM_ERR_UPSTREAM_CUT : BBM_ERR_UPSTREAM,
               begun ? "the upstream broke off" : "the upstream failed");
}

static const char *const end_names[] = {
    [BBM_FORWARD_COMPLETE] = "whole", [BBM_FORWARD_NOT_RUN] = "not run",
    [BBM_FORWARD_UNSENT] = "unsent",  [BBM_FORWARD_FAILED] = "failed",
    [BBM_FORWARD_NO_ANSWER] = "lost", [BBM_FORWARD_TRUNCATED] = "cut",
};

void
bbm_gate_end_attempt(bbm_gate *g, const bbm_forward_result *f, bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = find(g, f->request);
    if (!r || r->stage == GATE_WAITING || r->attempts != f->attempt)
        return;
    r->previous_outcome = end_names[f->outcome];
    r->previous_status = f->status;
    switch (f->outcome) {
    case BBM_FORWARD_COMPLETE:
        end_whole(g, r, f);
        break;
    case BBM_FORWARD_NOT_RUN:
        end_not_run(g, r, f->status);
        break;
    case BBM_FORWARD_UNSENT:
        end_unsent(g, r);
        break;
    case BBM_FORWARD_FAILED:
    case BBM_FORWARD_NO_ANSWER:
    case BBM_FORWARD_TRUNCATED:
        end_badly(g, r, f);
        break;
    }
    gate_dispatch_waiting(g);
}

void
bbm_gate_client_disconnected(bbm_gate *g, uint64_t request, bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = find(g, request);
    if (!r)
        return;
    g->counts.client_disconnects++;
    if (r->stage == GATE_WAITING && !r->attempts_run)
        bbm_shares_refund(g->shares, r->customer, r->reserved_tokens);
    gate_abort(g, r, BBM_OK, "the caller left");
}

void
bbm_gate_abort_customer(bbm_gate *g, const char *customer, int code,
                        bbm_time now)
{
    gate_advance(g, now);
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        if (strcmp(r->customer, customer) == 0)
            gate_abort(g, r, code, "the customer is no longer served");
    }
}

/* ---- time ---- */

static void
end_late(bbm_gate *g, gate_request *r)
{
    switch (r->stage) {
    case GATE_WAITING:
        g->counts.refused_load += r->attempts_run == 0;
        if (r->last_event_id[0])
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT, "its time ended");
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_RETRY_AFTER_MIN,
                        "its time ended");
        return;
    case GATE_SENT:
    case GATE_ANSWERING:
        gate_abort(g, r, BBM_ERR_UPSTREAM_TIMEOUT, "its time ended");
        return;
    }
}

static bool
is_silent(const bbm_gate *g, const gate_request *r)
{
    bbm_time patience = (bbm_time)((double)r->target_latency * SILENT_AIMS);
    if (patience < SILENT_LEAST)
        patience = SILENT_LEAST;
    patience += (bbm_time)(2 * r->expected_ms * (double)BBM_MS);
    return g->now - r->sent_at > patience
           && r->upstream->last_answer_at < r->sent_at;
}

static bool
is_slow_call(const bbm_gate *g, const gate_request *r)
{
    const gate_pool *p = r->upstream->pool;
    double patience = (double)r->target_latency * AGAIN_AIMS
                      + r->expected_ms * (double)BBM_MS;
    return p && !p->is_engine && (double)(g->now - r->sent_at) > patience;
}

/* Sends it to another upstream that is free now.  If there is none the attempt
   under way remains: its upstream may only be slow, and answer yet. */
static void
try_another(bbm_gate *g, gate_request *r)
{
    size_t failed_before = r->failed_len;
    gate_choice c;
    remember_failed(r, r->upstream);
    if (gate_choose(g, r, &c) != GATE_PICK_SEND || !take_retry(g, r)) {
        r->failed_len = failed_before;
        return;
    }
    r->previous_outcome = "silent";
    r->previous_status = 0;
    gate_release_upstream(g, r);
    gate_send(g, r, &c);
}

/* An upstream from which nothing comes is suspected; a repeatable request
   tries another one at once. */
static void
check_silence(bbm_gate *g, gate_request *r)
{
    gate_upstream *u = r->upstream;
    bool silent = is_silent(g, r);
    if (silent && u->avoid_until < g->now)
        gate_record_failure(g, u, BBM_FORWARD_NO_ANSWER);
    bool again = r->repeatable && r->attempts_run < r->attempts_max
                 && (silent || is_slow_call(g, r));
    if (again)
        try_another(g, r);
}

void
bbm_gate_tick(bbm_gate *g, bbm_time now)
{
    gate_advance(g, now);
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        if (g->now >= r->deadline)
            end_late(g, r);
        else if (r->stage == GATE_SENT)
            check_silence(g, r);
    }
    gate_dispatch_waiting(g);
}

/* ---- heads of answers ---- */

/* A status that tells the caller that nothing was run must not come from an
   upstream that doesn't say so itself. */
static bool
promises(uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool
bbm_gate_accept_head(const bbm_forward_request *send,
                     const bbm_response_head *head, bbm_forward_outcome *end)
{
    if (head->wrong_request_id) {
        *end = BBM_FORWARD_NO_ANSWER;
        return false;
    }
    if (head->not_run || head->status == 421) {
        *end = BBM_FORWARD_NOT_RUN;
        return false;
    }
    bool again = head->status >= 500 && send->repeatable;
    if (head->unexpected_encoding || again || promises(head->status)) {
        *end = BBM_FORWARD_FAILED;
        return false;
    }
    return true;
}
