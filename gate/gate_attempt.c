#include "bbm_codes.h"
#include "gate_core.h"

#include <string.h>

/* Results of attempts, retries, deadlines and silent upstreams. */

/* A request may be sent this number of times more than it may run, if
   upstreams report that they did not run it. */
#define EXTRA_SENDS_MAX 2
/* A repeatable request to a service (not to a runner) is retried on another
   upstream if its answer hasn't begun within the expected time plus this
   multiple of its target latency. */
#define SLOW_CALL_TARGET_RATIO 1.5
/* An upstream counts as silent if a request has waited there for twice the
   expected time plus the longer of this multiple of its target latency and
   the minimum, and no answer of the upstream has begun or ended meanwhile.  A
   runner that is only busy still answers other requests. */
#define SILENCE_TARGET_RATIO 3.0
#define SILENCE_MIN (1000 * BBM_MS)
/* Weight of the last attempt in the smoothed service time and the smoothed
   lateness. */
#define SMOOTHING_WEIGHT 0.1

/* ---- answers ---- */

gate_request *
gate_find_request(const bbm_gate *g, uint64_t number)
{
    gate_request *r = NULL;
    HASH_FIND(hh, g->requests, &number, sizeof(number), r);
    return r;
}

bool
bbm_gate_has_request(const bbm_gate *g, uint64_t request)
{
    return gate_find_request(g, request) != NULL;
}

void
bbm_gate_record_head(bbm_gate *g, uint64_t request, uint32_t attempt,
                     uint64_t origin, const bbm_upstream_notice *notice,
                     bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = gate_find_request(g, request);
    if (!r || r->stage != GATE_SENT || r->attempts != attempt)
        return;
    r->stage = GATE_ANSWERING;
    r->head_at = g->now;
    if (!r->is_relaying)
        gate_forecast_record_start(g, r);
    if (r->is_relaying) {
        gate_record_brittle(g, gate_find_pool(g, r->pools[0]), notice);
        return;
    }
    gate_record_reached(g, r->upstream);
    gate_record_notice(g, r, notice, true);
    gate_record_origin(g, r, origin);
    gate_release_record_head(g, r);
    if (!r->last_event_id[0])
        bbm_histogram_add(&g->counts.time_to_head, g->now - r->arrived_at);
    gate_upstream *u = r->upstream;
    u->last_answer_at = g->now;
    u->backlog_tokens -= r->backlog_tokens;
    r->backlog_tokens = 0;
    g->load_changed = true;
    double duration_ms = (double)(g->now - r->sent_at) / (double)BBM_MS;
    u->lateness_ms +=
        (duration_ms - r->expected_ms - u->lateness_ms) * SMOOTHING_WEIGHT;
    gate_record_speed(g, r);
}

void
bbm_gate_record_progress(bbm_gate *g, uint64_t request, uint32_t attempt,
                         bbm_time began_at, bbm_time now)
{
    gate_advance(g, now);
    const gate_request *r = gate_find_request(g, request);
    if (r && r->stage == GATE_ANSWERING && r->attempts == attempt
        && !r->is_relaying)
        gate_record_sound_answer(g, r, began_at);
}

static void
end_complete(bbm_gate *g, gate_request *r, const bbm_forward_result *result)
{
    gate_upstream *u = r->upstream;
    gate_record_reached(g, u);
    if (result->status >= 500)
        gate_record_failure(g, u, BBM_FORWARD_FAILED);
    else
        gate_record_success(g, u);
    bool success = result->status >= 200 && result->status < 300;
    bool is_engine = u->pool && u->pool->is_engine;
    /* A runner crashes as it begins to answer, which an error doesn't try. */
    if (success && result->began_at)
        gate_record_sound_answer(g, r, result->began_at);
    else if (!is_engine)
        gate_record_sound_answer(g, r, g->now);
    double duration_ms = (double)(g->now - r->sent_at) / (double)BBM_MS;
    if (u->pool && !u->pool->is_engine && result->status < 500)
        u->pool->service_ms +=
            (duration_ms - u->pool->service_ms) * SMOOTHING_WEIGHT;
    gate_forecast_record_end(g, r);
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_ENDED, r);
    bbm_name_set(out->u.ended.upstream, u->info.id);
    bbm_time head = r->head_at ? r->head_at : g->now;
    out->u.ended.head_ms = (head - r->arrived_at) / BBM_MS;
    out->u.ended.forecast_ms = (int64_t)r->corrected_ms;
    out->u.ended.forecast_error_ms =
        (head - r->sent_at) / BBM_MS - out->u.ended.forecast_ms;
    out->u.ended.total_ms = (g->now - r->arrived_at) / BBM_MS;
    out->u.ended.attempts = r->attempts;
    out->u.ended.status = result->status;
    g->counts.completed++;
    bbm_histogram_add(&g->counts.total_time, g->now - r->arrived_at);
    gate_request_free(g, r);
}

/* ---- retries ---- */

static void
add_failed_upstream(gate_request *r, const gate_upstream *u)
{
    if (r->failed_len < GATE_FAILED_MAX)
        r->failed_upstreams[r->failed_len++] = u->hash;
}

static void
retry(bbm_gate *g, gate_request *r)
{
    gate_release_upstream(g, r);
    r->stage = GATE_WAITING;
    r->link.tqe_prev = NULL;
    /* Its client has left long enough ago that no upstream may get it. */
    if (r->client_half_closed)
        gate_abandon(g, r);
    else
        gate_dispatch(g, r);
}

static void
end_not_run(bbm_gate *g, gate_request *r, uint32_t status)
{
    gate_record_refusal(g, r->upstream, status);
    if (status == 503)
        gate_record_brittle_refusal(g, r->upstream);
    gate_record_reached(g, r->upstream);
    r->attempts_run--;
    add_failed_upstream(r, r->upstream);
    /* An upstream that asks for a pause is asked only once, so going on from
       there doesn't add load where there is too much. */
    r->attempts_paused += gate_is_paused(g, r->upstream);
    bool may_retry =
        r->attempts - r->attempts_paused < r->attempts_max + EXTRA_SENDS_MAX
        && r->failed_len < GATE_FAILED_MAX && g->now < r->deadline
        && gate_acquire_retry(g, r);
    if (may_retry) {
        retry(g, r);
        return;
    }
    if (r->last_event_id[0]) {
        gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                   "refused by the upstream that was to resume the stream");
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
    r->unsent += gate_record_unreached(g, r->upstream);
    r->attempts_run--;
    add_failed_upstream(r, r->upstream);
    if (g->now < r->deadline && r->failed_len < GATE_FAILED_MAX) {
        retry(g, r);
        return;
    }
    gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->target_latency,
                "no upstream could be reached");
}

static void
record_failed_attempt(bbm_gate *g, gate_request *r,
                      const bbm_forward_result *result)
{
    gate_record_failure(g, r->upstream, result->outcome);
    if (result->outcome == BBM_FORWARD_FAILED)
        gate_record_reached(g, r->upstream);
    else if (result->outcome == BBM_FORWARD_NO_ANSWER && !result->disconnected
             && !result->status)
        gate_record_unreached(g, r->upstream);
    add_failed_upstream(r, r->upstream);
}

static void
end_failed(bbm_gate *g, gate_request *r, const bbm_forward_result *result)
{
    if (result->adopted)
        r->attempts_run--;
    else
        record_failed_attempt(g, r, result);
    bool begun = result->outcome == BBM_FORWARD_TRUNCATED;
    bool allowed = begun ? r->resumable : r->repeatable;
    if (begun && result->last_event_id[0])
        memcpy(r->last_event_id, result->last_event_id,
               sizeof(r->last_event_id));
    /* If no event was forwarded, last_event_id is empty, and the retry repeats
       the stream from its beginning; its head isn't forwarded again. */
    bool may_retry = allowed && r->attempts_run < r->attempts_max
                     && g->now < r->deadline && gate_acquire_retry(g, r);
    if (may_retry) {
        retry(g, r);
        return;
    }
    gate_abort(g, r, begun ? BBM_ERR_UPSTREAM_CUT : BBM_ERR_UPSTREAM,
               begun ? "the upstream ended the answer early"
                     : "the upstream failed");
}

/* Outcomes as they are logged. */
static const char *const outcome_names[] = {
    [BBM_FORWARD_COMPLETE] = "whole", [BBM_FORWARD_NOT_RUN] = "not run",
    [BBM_FORWARD_UNSENT] = "unsent",  [BBM_FORWARD_FAILED] = "failed",
    [BBM_FORWARD_NO_ANSWER] = "lost", [BBM_FORWARD_TRUNCATED] = "cut",
};

void
bbm_gate_end_attempt(bbm_gate *g, const bbm_forward_result *result,
                     bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = gate_find_request(g, result->request);
    if (!r || r->stage == GATE_WAITING || r->attempts != result->attempt)
        return;
    r->ended_attempt = result->attempt;
    if (r->is_relaying) {
        gate_end_relayed(g, r, result);
        gate_dispatch_waiting(g);
        return;
    }
    r->previous_outcome = outcome_names[result->outcome];
    r->previous_status = result->status;
    /* What came instead of the request's answer may be a copy of an earlier
       one. */
    if (r->stage == GATE_SENT && result->outcome != BBM_FORWARD_NO_ANSWER)
        gate_record_notice(g, r, &result->notice, result->status != 0);
    if (result->disconnected && !result->adopted)
        gate_record_disconnect(g, r);
    gate_release_record_end(g, r, result);
    switch (result->outcome) {
    case BBM_FORWARD_COMPLETE:
        end_complete(g, r, result);
        break;
    case BBM_FORWARD_NOT_RUN:
        end_not_run(g, r, result->status);
        break;
    case BBM_FORWARD_UNSENT:
        end_unsent(g, r);
        break;
    case BBM_FORWARD_FAILED:
    case BBM_FORWARD_NO_ANSWER:
    case BBM_FORWARD_TRUNCATED:
        end_failed(g, r, result);
        break;
    }
    gate_dispatch_waiting(g);
}

/* An order that an upstream has can't be taken back, and its client may wait
   for the answer.  All else is ended: the client can ask again. */
static bool
goes_on_without_client(const gate_request *r)
{
    return r->stage != GATE_WAITING && !r->repeatable && !r->stream;
}

void
bbm_gate_client_disconnected(bbm_gate *g, uint64_t request, bool may_read,
                             bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = gate_find_request(g, request);
    if (!r)
        return;
    if (!may_read || !goes_on_without_client(r)) {
        gate_abandon(g, r);
        return;
    }
    r->client_half_closed = true;
    gate_push_output(g, BBM_GATE_HALF_CLOSED, r);
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

/* ---- deadlines and silence ---- */

static void
end_at_deadline(bbm_gate *g, gate_request *r)
{
    switch (r->stage) {
    case GATE_WAITING:
        g->counts.refused_load += r->attempts_run == 0;
        if (r->last_event_id[0])
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT, "deadline reached");
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_RETRY_AFTER_MIN,
                        "deadline reached");
        return;
    case GATE_ANSWERING:
        if (!r->has_time_limit)
            return;
        /* fall through */
    case GATE_SENT:
        gate_forecast_record_no_start(g, r);
        gate_release_record_failure(g, r);
        gate_abort(g, r, BBM_ERR_UPSTREAM_TIMEOUT, "deadline reached");
        return;
    }
}

static bool
is_silent(const bbm_gate *g, const gate_request *r)
{
    bbm_time timeout =
        (bbm_time)((double)r->target_latency * SILENCE_TARGET_RATIO);
    if (timeout < SILENCE_MIN)
        timeout = SILENCE_MIN;
    timeout += (bbm_time)(2 * r->expected_ms * (double)BBM_MS);
    return g->now - r->sent_at > timeout
           && r->upstream->last_answer_at < r->sent_at;
}

static bool
is_slow_call(const bbm_gate *g, const gate_request *r)
{
    const gate_pool *p = r->upstream->pool;
    double timeout = (double)r->target_latency * SLOW_CALL_TARGET_RATIO
                     + r->expected_ms * (double)BBM_MS;
    return p && !p->is_engine && (double)(g->now - r->sent_at) > timeout;
}

/* Sends the request to another upstream that can accept it now.  If there is
   none, the current attempt continues: its upstream may only be slow. */
static void
retry_elsewhere(bbm_gate *g, gate_request *r)
{
    size_t saved_len = r->failed_len;
    gate_choice c;
    add_failed_upstream(r, r->upstream);
    gate_release_prepare(g, r);
    if (gate_choose(g, r, &c) != GATE_PICK_SEND
        || gate_judge_suspicion(g, r, c.upstream->pool) != GATE_CAUTION_NONE
        || !gate_acquire_retry(g, r)) {
        r->failed_len = saved_len;
        return;
    }
    gate_release_record_failure(g, r);
    r->previous_outcome = "silent";
    r->previous_status = 0;
    gate_release_upstream(g, r);
    gate_send(g, r, &c);
}

/* Counts a failure of a silent upstream.  A repeatable request is retried on
   another upstream as soon as its own is silent or, for a service, slow. */
static void
check_silence(bbm_gate *g, gate_request *r)
{
    gate_upstream *u = r->upstream;
    bool silent = is_silent(g, r);
    gate_release_check_wait(g, r);
    if (silent && u->avoid_until < g->now)
        gate_record_failure(g, u, BBM_FORWARD_NO_ANSWER);
    bool retryable = r->repeatable && r->attempts_run < r->attempts_max
                     && (silent || is_slow_call(g, r));
    const bbm_quarantine_entry *e;
    if (retryable && gate_judge_parts(g, r, &e) == BBM_PARTS_CLEAR)
        retry_elsewhere(g, r);
}

/* Whether the upstream has begun isn't known, so only a repeatable request may
   go elsewhere. */
static void
end_on_old_weights(bbm_gate *g, gate_request *r)
{
    uint32_t attempts = r->attempts;
    g->counts.old_weights_ended++;
    if (r->repeatable && r->attempts_run < r->attempts_max)
        retry_elsewhere(g, r);
    if (r->attempts == attempts)
        gate_abort(g, r, BBM_ERR_UPSTREAM_TIMEOUT,
                   "the weights of the upstream have become too old");
}

void
bbm_gate_tick(bbm_gate *g, bbm_time now)
{
    gate_advance(g, now);
    bbm_quarantine_tick(g->quarantine, g->now);
    if (g->desc.use_speeds && bbm_speed_update(g->speeds, g->now))
        gate_apply_speeds(g);
    gate_apply_quarantine(g);
    gate_forecast_update(g);
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        if (g->now >= r->deadline)
            end_at_deadline(g, r);
        else if (gate_must_end_attempt(g, r))
            end_on_old_weights(g, r);
        else if (r->stage == GATE_SENT && !r->is_relaying)
            check_silence(g, r);
    }
    gate_dispatch_waiting(g);
}

/* ---- response heads ---- */

bool
bbm_gate_accept_head(const bbm_forward_request *send,
                     const bbm_response_head *head,
                     bbm_forward_outcome *outcome)
{
    /* A faulty upstream may send an answer twice, and the second copy where
       the next answer is expected; or bytes that only look like an answer. */
    bool may_be_another_requests =
        head->wrong_request_id
        || (head->reused_connection && !head->has_request_id);
    bool unsigned_success =
        head->status >= 200 && head->status < 300 && !head->has_signature;
    if (may_be_another_requests || unsigned_success) {
        *outcome = BBM_FORWARD_NO_ANSWER;
        return false;
    }
    if (head->not_run || head->status == 421) {
        *outcome = BBM_FORWARD_NOT_RUN;
        return false;
    }
    bool retryable = head->status >= 500 && send->repeatable;
    /* Only an upstream that states it explicitly has not run the request. */
    if (head->unexpected_encoding || retryable
        || bbm_status_promises_not_run(head->status)) {
        *outcome = BBM_FORWARD_FAILED;
        return false;
    }
    return true;
}
