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
bbm_gate_knows(const bbm_gate *g, uint64_t request)
{
    return find(g, request) != NULL;
}

void
bbm_gate_head(bbm_gate *g, uint64_t request, uint32_t attempt, bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = find(g, request);
    if (!r || r->stage != GATE_SENT || r->attempt != attempt)
        return;
    r->stage = GATE_ANSWERING;
    r->head = g->now;
    if (!r->last_event[0])
        bbm_histogram_add(&g->counts.first, g->now - r->arrived);
    gate_upstream *u = r->upstream;
    u->answered = g->now;
    u->unread -= r->unread;
    r->unread = 0;
    g->load_changed = true;
    double took = (double)(g->now - r->sent) / (double)BBM_MS;
    u->late_ms += (took - r->expected_ms - u->late_ms) * SERVICE_STEP;
}

static void
end_whole(bbm_gate *g, gate_request *r, const bbm_forwarded *f)
{
    gate_upstream *u = r->upstream;
    if (f->status >= 500)
        gate_bad(g, u, BBM_FORWARD_FAILED);
    else
        gate_good(g, u);
    double took = (double)(g->now - r->sent) / (double)BBM_MS;
    if (u->pool && !u->pool->engine && f->status < 500)
        u->pool->service_ms += (took - u->pool->service_ms) * SERVICE_STEP;
    bbm_gate_output *out = gate_output(g, BBM_GATE_ENDED, r);
    bbm_name_set(out->u.ended.upstream, u->info.id);
    bbm_time head = r->head ? r->head : g->now;
    out->u.ended.first_ms = (head - r->arrived) / BBM_MS;
    out->u.ended.whole_ms = (g->now - r->arrived) / BBM_MS;
    out->u.ended.attempts = r->attempt;
    out->u.ended.status = f->status;
    g->counts.whole++;
    bbm_histogram_add(&g->counts.whole_time, g->now - r->arrived);
    gate_request_free(g, r);
}

/* ---- sending again ---- */

static void
remember_failed(gate_request *r, const gate_upstream *u)
{
    if (r->failed_len < GATE_FAILED_MOST)
        r->failed[r->failed_len++] = u->hash;
}

/* What reached an upstream before counts against the budget that all VMs
   share, whether it ran or not. */
static bool
take_retry(bbm_gate *g, const gate_request *r)
{
    gate_pool *p = gate_pool_named(g, r->pools[0]);
    return p && bbm_retry_take(&p->retries);
}

static void
send_again(bbm_gate *g, gate_request *r)
{
    gate_leave(g, r);
    r->stage = GATE_WAITING;
    r->link.tqe_prev = NULL;
    gate_try(g, r);
}

static void
end_not_run(bbm_gate *g, gate_request *r, uint32_t status)
{
    gate_refused(g, r->upstream, status);
    r->ran--;
    remember_failed(r, r->upstream);
    bool may = r->attempt < r->attempts_most + SENDS_MORE && g->now < r->until
               && take_retry(g, r);
    if (may) {
        send_again(g, r);
        return;
    }
    if (r->last_event[0]) {
        gate_cut(g, r, BBM_ERR_UPSTREAM_CUT, "refused where it was to go on");
        return;
    }
    g->counts.refused_load += r->ran == 0;
    gate_refuse(g, r, BBM_ERR_OVERLOAD, r->aim / 2, "refused by the upstream");
}

static void
end_unsent(bbm_gate *g, gate_request *r)
{
    gate_bad(g, r->upstream, BBM_FORWARD_UNSENT);
    r->ran--;
    remember_failed(r, r->upstream);
    if (g->now < r->until && r->failed_len < GATE_FAILED_MOST) {
        send_again(g, r);
        return;
    }
    gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->aim,
                "no upstream could be reached");
}

static void
end_badly(bbm_gate *g, gate_request *r, const bbm_forwarded *f)
{
    gate_bad(g, r->upstream, f->end);
    remember_failed(r, r->upstream);
    bool begun = f->end == BBM_FORWARD_CUT;
    bool allowed = begun ? r->resumable : r->repeatable;
    if (begun && f->last_event[0])
        memcpy(r->last_event, f->last_event, sizeof(r->last_event));
    /* Without an event that was passed on there is nothing to go on from, but
       the head of the first answer stays. */
    bool may = allowed && r->ran < r->attempts_most && g->now < r->until
               && take_retry(g, r);
    if (may) {
        send_again(g, r);
        return;
    }
    gate_cut(g, r, begun ? BBM_ERR_UPSTREAM_CUT : BBM_ERR_UPSTREAM,
             begun ? "the upstream broke off" : "the upstream failed");
}

static const char *const end_names[] = {
    [BBM_FORWARD_WHOLE] = "whole",   [BBM_FORWARD_NOT_RUN] = "not run",
    [BBM_FORWARD_UNSENT] = "unsent", [BBM_FORWARD_FAILED] = "failed",
    [BBM_FORWARD_LOST] = "lost",     [BBM_FORWARD_CUT] = "cut",
};

void
bbm_gate_end(bbm_gate *g, const bbm_forwarded *f, bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = find(g, f->request);
    if (!r || r->stage == GATE_WAITING || r->attempt != f->attempt)
        return;
    r->after = end_names[f->end];
    r->after_status = f->status;
    switch (f->end) {
    case BBM_FORWARD_WHOLE:
        end_whole(g, r, f);
        break;
    case BBM_FORWARD_NOT_RUN:
        end_not_run(g, r, f->status);
        break;
    case BBM_FORWARD_UNSENT:
        end_unsent(g, r);
        break;
    case BBM_FORWARD_FAILED:
    case BBM_FORWARD_LOST:
    case BBM_FORWARD_CUT:
        end_badly(g, r, f);
        break;
    }
    gate_pump(g);
}

void
bbm_gate_gone(bbm_gate *g, uint64_t request, bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = find(g, request);
    if (!r)
        return;
    g->counts.gone++;
    if (r->stage == GATE_WAITING && !r->ran)
        bbm_shares_give_back(g->shares, r->customer, r->taken);
    gate_cut(g, r, BBM_OK, "the caller left");
}

void
bbm_gate_end_customer(bbm_gate *g, const char *customer, int code,
                      bbm_time now)
{
    gate_advance(g, now);
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        if (strcmp(r->customer, customer) == 0)
            gate_cut(g, r, code, "the customer is no longer served");
    }
}

/* ---- time ---- */

static void
end_late(bbm_gate *g, gate_request *r)
{
    switch (r->stage) {
    case GATE_WAITING:
        g->counts.refused_load += r->ran == 0;
        if (r->last_event[0])
            gate_cut(g, r, BBM_ERR_UPSTREAM_CUT, "its time ended");
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_BACK_LEAST,
                        "its time ended");
        return;
    case GATE_SENT:
    case GATE_ANSWERING:
        gate_cut(g, r, BBM_ERR_UPSTREAM_TIMEOUT, "its time ended");
        return;
    }
}

static bool
is_silent(const bbm_gate *g, const gate_request *r)
{
    bbm_time patience = (bbm_time)((double)r->aim * SILENT_AIMS);
    if (patience < SILENT_LEAST)
        patience = SILENT_LEAST;
    patience += (bbm_time)(2 * r->expected_ms * (double)BBM_MS);
    return g->now - r->sent > patience && r->upstream->answered < r->sent;
}

static bool
is_slow_call(const bbm_gate *g, const gate_request *r)
{
    const gate_pool *p = r->upstream->pool;
    double patience =
        (double)r->aim * AGAIN_AIMS + r->expected_ms * (double)BBM_MS;
    return p && !p->engine && (double)(g->now - r->sent) > patience;
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
    r->after = "silent";
    r->after_status = 0;
    gate_leave(g, r);
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
        gate_bad(g, u, BBM_FORWARD_LOST);
    bool again = r->repeatable && r->ran < r->attempts_most
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
        if (g->now >= r->until)
            end_late(g, r);
        else if (r->stage == GATE_SENT)
            check_silence(g, r);
    }
    gate_pump(g);
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
bbm_gate_passes(const bbm_send *send, const bbm_head *head,
                bbm_forward_end *end)
{
    if (head->other_id) {
        *end = BBM_FORWARD_LOST;
        return false;
    }
    if (head->not_run || head->status == 421) {
        *end = BBM_FORWARD_NOT_RUN;
        return false;
    }
    bool again = head->status >= 500 && send->repeatable;
    if (head->encoded || again || promises(head->status)) {
        *end = BBM_FORWARD_FAILED;
        return false;
    }
    return true;
}
