#include "bbm_codes.h"
#include "gate_core.h"

#include <stdlib.h>
#include <string.h>

/* Starts, sends, holds, refuses and aborts requests. */

/* The gate answers a request this long before the client's timeout, so that
   the answer still reaches the client. */
#define ANSWER_MARGIN (30 * BBM_MS)
/* Time limit of a request if neither the client nor the route sets one. */
#define DEADLINE_DEFAULT (3600 * BBM_SECOND)
/* A client is assumed to abandon a stream that is silent for the longest of
   these: a fixed time, a multiple of the route's target latency, and a
   multiple of its target gap between events. */
#define STREAM_SILENCE_MIN (2 * BBM_SECOND)
#define STREAM_SILENCE_TARGET_RATIO 4
#define STREAM_SILENCE_GAP_RATIO 8
/* A stream is cut after this multiple of that silence: by then its client has
   left, even if it waits longer than assumed. */
#define STALL_RATIO 2
/* If there is no upstream, a request is held for this share of its target
   latency, up to the maximum: a new listing may be about to arrive. */
#define NO_UPSTREAM_HOLD_RATIO 0.5
#define NO_UPSTREAM_HOLD_MAX (400 * BBM_MS)
/* If all upstreams want no requests for a while, or this VM has no turn there,
   a request is held for them up to this share of its target latency. */
#define HOLD_RATIO 0.5
/* Maximum Retry-After of a refusal. */
#define RETRY_AFTER_MAX (5 * BBM_SECOND)
/* Retry-After is increased at random by up to this share of it, so that
   clients refused at the same time don't all retry at the same time. */
#define RETRY_AFTER_JITTER_RATIO 0.5

/* Retry-After of a request that has crashed upstreams: these are back after
   some seconds. */
#define SUSPECT_RETRY_AFTER (2 * BBM_SECOND)

/* Retry-After of a request that takes up a stream that can't go on: its client
   may begin anew. */
#define ORIGIN_RETRY_AFTER (300 * BBM_MS)

/* Time after which a held request that wasn't admitted at random is tried
   again.  By then the loads of the other VMs have been received. */
#define ADMISSION_PERIOD (30 * BBM_MS)
/* Higher token counts are read as this: no runner holds as many, and the sum
   of two fits into 32 bits. */
#define TOKENS_MAX (INT64_C(1) << 30)

/* ---- release ---- */

void
gate_release_upstream(bbm_gate *g, gate_request *r)
{
    gate_upstream *u = r->upstream;
    if (!u)
        return;
    g->load_changed = true;
    u->open_requests--;
    u->backlog_tokens -= r->backlog_tokens;
    u->memory_tokens -= r->memory_tokens;
    r->backlog_tokens = 0;
    r->memory_tokens = 0;
    r->upstream = NULL;
}

void
gate_dequeue(bbm_gate *g, gate_request *r)
{
    if (r->stage != GATE_WAITING || !r->link.tqe_prev)
        return;
    TAILQ_REMOVE(&g->waiting, r, link);
    r->link.tqe_prev = NULL;
    g->waiting_len--;
    g->load_changed = true;
}

void
gate_request_free(bbm_gate *g, gate_request *r)
{
    gate_dequeue(g, r);
    gate_release_upstream(g, r);
    HASH_DEL(g->requests, r);
    free(r->part_ids);
    free(r);
}

/* ---- refusals and aborts ---- */

static bbm_time
add_jitter(bbm_gate *g, bbm_time retry_after)
{
    return retry_after
           + (bbm_time)((double)retry_after * RETRY_AFTER_JITTER_RATIO
                        * bbm_rng_unit(&g->rng));
}

static bbm_time
limit_retry_after(bbm_time retry_after)
{
    if (retry_after < GATE_RETRY_AFTER_MIN)
        return GATE_RETRY_AFTER_MIN;
    return retry_after > RETRY_AFTER_MAX ? RETRY_AFTER_MAX : retry_after;
}

static int64_t
held_ms(const bbm_gate *g, const gate_request *r)
{
    return (g->now - r->arrived_at) / BBM_MS;
}

/* Pushes a refusal.  If an attempt may have run, the code must not claim that
   the request did not run. */
static bbm_gate_output *
push_refusal(bbm_gate *g, const gate_request *r, int code,
             bbm_time retry_after, const char *reason)
{
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_REFUSE, r);
    out->u.refuse.code = r->attempts_run ? BBM_ERR_UPSTREAM : code;
    out->u.refuse.retry_after = r->attempts_run ? 0 : retry_after;
    out->u.refuse.reason = reason;
    out->u.refuse.elapsed_ms = held_ms(g, r);
    if (r->attempts_run)
        g->counts.outcome_unknown++;
    else
        bbm_shares_refund(g->shares, r->customer, r->reserved_tokens);
    return out;
}

/* Refuses with this Retry-After, without a random part. */
static void
refuse_as_scheduled(bbm_gate *g, gate_request *r, int code,
                    bbm_time retry_after, const char *reason)
{
    push_refusal(g, r, code, limit_retry_after(retry_after), reason);
    gate_request_free(g, r);
}

/* Refuses a request for what upstreams crash on: the part of its prompt at
   this place, from 1, or the whole request (0).  A stream that has begun is
   aborted instead. */
static void
end_accused(bbm_gate *g, gate_request *r, uint64_t id, size_t place,
            bbm_time retry_after, const char *reason)
{
    if (r->last_event_id[0]) {
        gate_abort(g, r, BBM_ERR_UPSTREAM_CUT, reason);
        return;
    }
    bbm_gate_output *out =
        push_refusal(g, r, BBM_ERR_QUARANTINED, retry_after, reason);
    out->u.refuse.part = id;
    out->u.refuse.part_number = place;
    gate_request_free(g, r);
}

/* The client is told how long the quarantine lasts, or the trial of another
   request: to come back sooner is of no use. */
static void
end_quarantined(bbm_gate *g, gate_request *r, const bbm_quarantine_entry *e,
                bbm_time retry_after)
{
    g->counts.refused_quarantined++;
    if (e->part == r->whole_id) {
        end_accused(g, r, e->part, 0, retry_after,
                    "the request crashes upstreams");
        return;
    }
    size_t place = 1;
    while (r->part_ids[place - 1] != e->part)
        place++;
    end_accused(g, r, e->part, place, retry_after,
                "a part of the prompt crashes runners");
}

/* A request that has crashed upstreams; its client may return later. */
static void
end_suspect(bbm_gate *g, gate_request *r)
{
    g->counts.refused_suspect++;
    end_accused(g, r, r->whole_id, 0, add_jitter(g, SUSPECT_RETRY_AFTER),
                "the request has crashed upstreams");
}

/* Returns true if the request was ended. */
static bool
refuse_quarantined(bbm_gate *g, gate_request *r)
{
    const bbm_quarantine_entry *e;
    bbm_parts_verdict verdict = gate_judge_parts(g, r, &e);
    if (verdict == BBM_PARTS_CLEAR || r->is_trial)
        return false;
    r->is_trial =
        bbm_quarantine_begin_trial(g->quarantine, r->part_ids, r->part_ids_len,
                                   gate_may_try(g, e->part), g->now);
    if (r->is_trial)
        return false;
    end_quarantined(g, r, e,
                    verdict == BBM_PARTS_DOUBTED
                        ? add_jitter(g, BBM_TRIAL_TIME)
                        : e->until - g->now);
    return true;
}

void
gate_refuse(bbm_gate *g, gate_request *r, int code, bbm_time retry_after,
            const char *reason)
{
    refuse_as_scheduled(g, r, code, add_jitter(g, retry_after), reason);
}

static void
push_abort(bbm_gate *g, gate_request *r, int code, const char *reason)
{
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_ABORT, r);
    out->u.abort.code = code;
    out->u.abort.reason = reason;
    out->u.abort.head_forwarded = r->stage == GATE_ANSWERING;
    gate_request_free(g, r);
}

void
gate_abort(bbm_gate *g, gate_request *r, int code, const char *reason)
{
    if (r->stage == GATE_ANSWERING)
        g->counts.aborted++;
    else
        g->counts.outcome_unknown++;
    push_abort(g, r, code, reason);
}

void
gate_abandon(bbm_gate *g, gate_request *r)
{
    bool may_have_run = r->stage != GATE_WAITING || r->attempts_run;
    g->counts.client_disconnects++;
    gate_release_record_leave(g, r);
    if (!may_have_run)
        bbm_shares_refund(g->shares, r->customer, r->reserved_tokens);
    push_abort(g, r,
               may_have_run ? BBM_ERR_CLIENT_LEFT : BBM_ERR_CLIENT_LEFT_EARLY,
               "the client disconnected");
}

/* ---- sending ---- */

static void
enqueue(bbm_gate *g, gate_request *r)
{
    if (r->link.tqe_prev)
        return;
    r->stage = GATE_WAITING;
    gate_request *other;
    TAILQ_FOREACH_REVERSE(other, &g->waiting, gate_queue, link)
    {
        if (other->priority <= r->priority)
            break;
    }
    if (other)
        TAILQ_INSERT_AFTER(&g->waiting, other, r, link);
    else
        TAILQ_INSERT_HEAD(&g->waiting, r, link);
    g->waiting_len++;
    g->load_changed = true;
}

static void
fill_forward_request(const gate_request *r, const gate_choice *c,
                     bbm_forward_request *s)
{
    const gate_upstream *u = c->upstream;
    *s = (bbm_forward_request){
        .request = r->number,
        .attempt = r->attempts,
        .version = c->version,
        .priority = r->priority,
        .deadline = r->deadline,
        .repeatable = r->repeatable && r->attempts_run < r->attempts_max,
        .stream = r->stream,
        .resumable = r->resumable,
        .fresh_connection = r->is_trial_connection,
        .stall_timeout = r->silence_limit * STALL_RATIO,
        .ended_attempt = r->ended_attempt,
    };
    bbm_name_set(s->upstream, u->info.id);
    bbm_name_set(s->address, u->info.address);
    bbm_name_set(s->build, u->info.build);
    s->origin = u->origin;
    bbm_name_set(s->pool, u->info.pool);
    bbm_name_set(s->customer, r->customer);
    bbm_name_set(s->source_address, c->source_address);
    if (c->store)
        bbm_name_set(s->store_address, c->store->address);
    memcpy(s->cache_salt, c->cache_salt, sizeof(s->cache_salt));
}

bbm_gate_output *
gate_push_send(bbm_gate *g, const gate_request *r)
{
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_SEND, r);
    out->u.send.elapsed_ms = held_ms(g, r);
    out->u.send.previous_outcome = r->previous_outcome;
    out->u.send.previous_status = r->previous_status;
    return out;
}

void
gate_send(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    gate_upstream *u = c->upstream;
    gate_dequeue(g, r);
    r->stage = GATE_SENT;
    r->attempts++;
    r->attempts_run++;
    r->sent_at = g->now;
    r->head_at = 0;
    r->expected_ms = c->expected_ms;
    r->corrected_ms = c->corrected_ms;
    r->forecast_ms = c->forecast_ms;
    r->miss_tokens = c->miss_tokens;
    r->upstream = u;
    r->weights_version = c->version;
    r->upstream_run = gate_run_of(&u->info);
    gate_expect_speed(g, r, c);
    r->backlog_tokens = (uint32_t)c->miss_tokens;
    r->memory_tokens = (uint32_t)(r->prompt_tokens + r->output_tokens_max);
    u->open_requests++;
    u->backlog_tokens += r->backlog_tokens;
    u->memory_tokens += r->memory_tokens;
    g->load_changed = true;
    gate_record_size(r, u);
    gate_record_placement(g, r, c);
    gate_record_zone(g, r, c);
    gate_release_record_send(g, r);
    if (gate_is_limited(u))
        bbm_turns_take(&u->turns);
    if (r->prefixes_len)
        bbm_chains_add_request(g->chains, r->chain_key, g->now);
    bbm_gate_output *out = gate_push_send(g, r);
    fill_forward_request(r, c, &out->u.send.send);
    out->u.send.origin_source = r->origin_source;
    out->u.send.resumes = r->last_event_id[0] != '\0';
    memcpy(out->u.send.last_event_id, r->last_event_id,
           sizeof(r->last_event_id));
    out->u.send.zone_cause = bbm_zones_cause_text(c->zone.cause);
    out->u.send.candidates = c->candidates;
    out->u.send.expected_ms = (int64_t)c->expected_ms;
    out->u.send.prompt_tokens = (int64_t)r->prompt_tokens;
    out->u.send.weights_left_ms = c->weights_until == BBM_NEVER
                                      ? -1
                                      : (c->weights_until - g->now) / BBM_MS;
    out->u.send.held_tokens = (int64_t)c->held_tokens;
    out->u.send.offered_tokens = (int64_t)c->offered_tokens;
    g->counts.attempts++;
    g->counts.old_weights_attempts += c->weights_until != BBM_NEVER;
    if (r->attempts > 1)
        g->counts.retries++;
    else
        bbm_histogram_add(&g->counts.wait_time, g->now - r->arrived_at);
}

static void
refuse_too_late(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    /* At a runner, so much of the backlog has to be processed before a request
       of this kind can meet its target latency. */
    const gate_pool *p = gate_find_pool(g, r->pools[0]);
    bbm_time left = r->start_deadline - g->now;
    if (p && p->is_engine && r->target_latency && r->target_latency < left)
        left = r->target_latency;
    bbm_time retry_after = (bbm_time)(c->expected_ms * (double)BBM_MS) - left;
    g->counts.refused_load += r->attempts_run == 0;
    gate_refuse(g, r, BBM_ERR_OVERLOAD, retry_after,
                "no upstream can begin the answer in time");
}

bbm_time
gate_hold_limit(const gate_request *r)
{
    bbm_time until =
        r->arrived_at + (bbm_time)((double)r->target_latency * HOLD_RATIO);
    return until < r->start_deadline ? until : r->start_deadline - 1;
}

/* Holds a request for upstreams that all want none for a while, if the first
   of them takes it again well before its target latency; otherwise its client
   is told at once when to return. */
static bool
may_hold_for_pause(const gate_request *r, const gate_choice *c)
{
    return c->pause_end <= gate_hold_limit(r);
}

/* Holds a request if this VM has more turns soon enough than it holds requests
   that come first. */
static bool
may_hold_for_turn(const bbm_gate *g, const gate_request *r,
                  const gate_choice *c)
{
    size_t first = 0;
    const gate_request *other;
    TAILQ_FOREACH(other, &g->waiting, link)
    {
        if (other == r || other->priority > r->priority)
            break;
        first++;
    }
    return first < c->turns_ahead;
}

/* Ends a request that no upstream takes for a while. */
static void
end_unwanted(bbm_gate *g, gate_request *r, bbm_time retry_after,
             const char *reason)
{
    if (r->last_event_id[0])
        gate_abort(g, r, BBM_ERR_UPSTREAM_CUT, reason);
    else
        refuse_as_scheduled(g, r, BBM_ERR_OVERLOAD, retry_after, reason);
}

static void
end_limited(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    g->counts.refused_limited++;
    end_unwanted(g, r, gate_limit_retry_after(g, c),
                 "all upstreams state limits, and this VM has no turn");
}

static void
end_paused(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    g->counts.refused_paused++;
    end_unwanted(g, r, gate_pause_retry_after(g, r, c),
                 "all upstreams want no requests for a while");
}

static bool
may_hold_without_upstream(const bbm_gate *g, const gate_request *r)
{
    bbm_time max =
        (bbm_time)((double)r->target_latency * NO_UPSTREAM_HOLD_RATIO);
    if (max > NO_UPSTREAM_HOLD_MAX)
        max = NO_UPSTREAM_HOLD_MAX;
    return g->now - r->arrived_at < max && g->now < r->deadline
           && !g->desc.unsafe_no_hold;
}

/* When a runner becomes free, all VMs would send it their held requests at
   once, as none has received the new loads of the others yet.  So each held
   request is admitted with a probability: the number of requests that the
   runner can accept, divided by the number that all VMs hold.  One that isn't
   admitted is tried again after ADMISSION_PERIOD. */
static bool
passes_random_admission(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    double held = (double)g->held_elsewhere + (double)g->waiting_len;
    bool alone = !r->link.tqe_prev || !g->held_elsewhere;
    if (alone || !c->upstream->pool->is_engine)
        return true;
    if (g->now < r->next_admission_at)
        return false;
    r->next_admission_at = g->now + ADMISSION_PERIOD;
    return bbm_rng_unit(&g->rng) * held
           < gate_runner_capacity(g, r, c->upstream);
}

static void
send_with_caution(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    switch (gate_judge_suspicion(g, r, c->upstream->pool)) {
    case GATE_CAUTION_NONE:
        gate_send(g, r, c);
        return;
    case GATE_CAUTION_HOLD:
        enqueue(g, r);
        return;
    case GATE_CAUTION_REFUSE:
        end_suspect(g, r);
        return;
    }
}

/* Returns true if the request was held or ended. */
static bool
waits_for_origin(bbm_gate *g, gate_request *r)
{
    const char *reason;
    switch (gate_judge_origin(g, r, &reason)) {
    case GATE_ORIGIN_PLACE:
        return false;
    case GATE_ORIGIN_WAIT:
        enqueue(g, r);
        return true;
    case GATE_ORIGIN_REFUSE:
        break;
    }
    g->counts.refused_origin++;
    if (r->last_event_id[0] || r->head_at)
        gate_abort(g, r, BBM_ERR_UPSTREAM_CUT, reason);
    else
        gate_refuse(g, r, BBM_ERR_STREAM_ORIGIN, ORIGIN_RETRY_AFTER, reason);
    return true;
}

void
gate_dispatch(bbm_gate *g, gate_request *r)
{
    gate_choice c;
    if (refuse_quarantined(g, r) || waits_for_origin(g, r)
        || gate_relay_if_cut(g, r) || gate_relay_to_slot_owner(g, r))
        return;
    gate_release_prepare(g, r);
    /* A stream that has begun and can't be resumed is aborted, not refused. */
    bool stream_begun = r->last_event_id[0] != '\0';
    switch (gate_choose(g, r, &c)) {
    case GATE_PICK_SEND:
        if (passes_random_admission(g, r, &c))
            send_with_caution(g, r, &c);
        return;
    case GATE_PICK_TOO_LATE:
        if (stream_begun)
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                       "no upstream can resume the stream in time");
        else
            refuse_too_late(g, r, &c);
        return;
    case GATE_PICK_HOLD:
        if (g->now < r->deadline)
            enqueue(g, r);
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_RETRY_AFTER_MIN,
                        "deadline reached while held");
        return;
    case GATE_PICK_PAUSED:
        if (may_hold_for_pause(r, &c))
            enqueue(g, r);
        else
            end_paused(g, r, &c);
        return;
    case GATE_PICK_LIMITED:
        if (may_hold_for_turn(g, r, &c))
            enqueue(g, r);
        else
            end_limited(g, r, &c);
        return;
    case GATE_PICK_NO_UPSTREAM:
        if (r->unsent && gate_relay(g, r))
            return;
        if (may_hold_without_upstream(g, r)) {
            enqueue(g, r);
            return;
        }
        g->counts.refused_no_upstream++;
        if (stream_begun)
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                       "no upstream to resume the stream");
        else
            gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->target_latency,
                        "no upstream");
        return;
    }
}

/* The held requests of a process that was stopped: their keys, upstreams and
   loads were checked before, and their clients may have left. */
static void
refuse_all_held(bbm_gate *g)
{
    gate_request *r, *next;
    for (r = TAILQ_FIRST(&g->waiting); r; r = next) {
        next = TAILQ_NEXT(r, link);
        g->counts.refused_load += r->attempts_run == 0;
        if (r->last_event_id[0])
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                       "held while the process was stopped");
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_RETRY_AFTER_MIN,
                        "held while the process was stopped");
    }
}

/* Dispatches the held requests that can meet their target latency, or those
   that can't any more. */
static void
dispatch_held(bbm_gate *g, bool late)
{
    gate_request *r, *next;
    for (r = TAILQ_FIRST(&g->waiting); r; r = next) {
        next = TAILQ_NEXT(r, link);
        if (gate_is_late(g, r) == late)
            gate_dispatch(g, r);
    }
}

void
gate_dispatch_waiting(bbm_gate *g)
{
    if (g->was_stopped)
        refuse_all_held(g);
    g->was_stopped = false;
    dispatch_held(g, false);
    dispatch_held(g, true);
}

/* ---- start ---- */

/* The first pool is drawn at random by the shares of the route, or with equal
   probability if it has none.  The others follow as fallbacks, in the order of
   the route, except those with a share of 0. */
static void
choose_pools(bbm_gate *g, gate_request *r, const bbm_route *route)
{
    int64_t sum = 0;
    size_t len = route->pools.len;
    for (size_t i = 0; i < len; i++)
        sum += route->shares.len ? route->shares.items[i] : 1;
    int64_t at = (int64_t)bbm_rng_below(&g->rng, (uint64_t)sum);
    size_t first = 0;
    while (first + 1 < len) {
        at -= route->shares.len ? route->shares.items[first] : 1;
        if (at < 0)
            break;
        first++;
    }
    for (size_t i = 0; i < len && r->pools_len < GATE_POOLS_MAX; i++) {
        size_t k = (first + i) % len;
        if (i > 0 && route->shares.len && !route->shares.items[k])
            continue;
        bbm_name_set(r->pools[r->pools_len++], route->pools.items[k]);
    }
}

/* A customer's requests are told from those of others. */
static void
set_part_ids(gate_request *r, const bbm_gate_request_desc *request)
{
    size_t shared = request->parts_len > 1 ? request->parts_len - 1 : 0;
    r->part_ids = bbm_calloc(shared + 1, sizeof(*r->part_ids));
    for (size_t i = 0; i < shared; i++)
        r->part_ids[r->part_ids_len++] =
            request->parts[i].id & ~BBM_QUARANTINE_REQUEST;
    if (!request->fingerprint)
        return;
    r->whole_id = bbm_hash_text(r->customer, request->fingerprint)
                  | BBM_QUARANTINE_REQUEST;
    r->part_ids[r->part_ids_len++] = r->whole_id;
}

/* A count that the client states; negative if it states none. */
static double
bounded_tokens(int64_t tokens)
{
    if (tokens < 0)
        return 0;
    return tokens < TOKENS_MAX ? (double)tokens : (double)TOKENS_MAX;
}

size_t
bbm_gate_parts_bytes(size_t parts_len)
{
    return (parts_len + 1) * sizeof(uint64_t); /* as in set_part_ids() */
}

static void
copy_prompt(gate_request *r, const bbm_gate_request_desc *request)
{
    bbm_name_set(r->model, request->model);
    r->prompt_tokens = bounded_tokens(request->prompt_tokens);
    r->output_tokens_max = bounded_tokens(request->output_tokens_max);
    set_part_ids(r, request);
    r->parts_len = request->parts_len < BBM_PROMPT_PARTS_MAX
                       ? request->parts_len
                       : BBM_PROMPT_PARTS_MAX;
    if (r->parts_len)
        memcpy(r->parts, request->parts, r->parts_len * sizeof(*r->parts));
}

/* A client abandons a stream that is silent for too long also before its first
   event; so the answer must begin before. */
static bbm_time
silence_limit_of(const bbm_route *route)
{
    bbm_time max = STREAM_SILENCE_MIN;
    bbm_time target_limit =
        route->target_latency_ms * BBM_MS * STREAM_SILENCE_TARGET_RATIO;
    bbm_time gap_limit =
        route->target_gap_ms * BBM_MS * STREAM_SILENCE_GAP_RATIO;
    max = target_limit > max ? target_limit : max;
    max = gap_limit > max ? gap_limit : max;
    return max;
}

static gate_request *
create_request(bbm_gate *g, const bbm_gate_request_desc *request,
               const bbm_route *route, const bbm_customer *customer)
{
    gate_request *r = bbm_calloc(1, sizeof(*r));
    r->number = request->request;
    bbm_name_set(r->id, request->id);
    r->arrived_at = g->now - request->waited;
    r->is_relayed = request->relayed;
    r->attempts_run = request->attempts_used;
    r->stream = route->stream;
    r->resumable = route->stream && route->resumable;
    r->repeatable = route->repeatable || r->resumable;
    r->priority = (int)route->priority;
    if (customer) {
        bbm_name_set(r->customer, customer->name);
        if (customer->priority >= 0)
            r->priority = (int)customer->priority;
    }
    r->attempts_max = (uint32_t)route->attempts_max;
    r->target_latency = route->target_latency_ms * BBM_MS;
    r->target_gap = route->target_gap_ms * BBM_MS;
    r->deadline = BBM_NEVER;
    if (request->client_timeout > 0)
        r->deadline = r->arrived_at + request->client_timeout - ANSWER_MARGIN;
    bbm_time limit = r->arrived_at + route->timeout_ms * BBM_MS;
    if (route->timeout_ms && limit < r->deadline)
        r->deadline = limit;
    r->has_time_limit = r->deadline != BBM_NEVER;
    if (!r->has_time_limit)
        r->deadline = g->now + DEADLINE_DEFAULT;
    r->start_deadline = r->deadline;
    if (r->stream) {
        r->silence_limit = silence_limit_of(route);
        bbm_time latest_start =
            r->arrived_at + r->silence_limit - ANSWER_MARGIN;
        if (latest_start < r->start_deadline)
            r->start_deadline = latest_start;
    }
    choose_pools(g, r, route);
    copy_prompt(r, request);
    gate_set_scope(g, r);
    gate_begin_stream(g, r, request);
    gate_release_begin(g, r, route->name);
    HASH_ADD(hh, g->requests, number, sizeof(r->number), r);
    return r;
}

static double
rate_tokens(const bbm_gate_request_desc *request, const bbm_customer *customer)
{
    if (customer->by_request)
        return 1;
    if (request->prompt_tokens < 0)
        return (double)customer->unspecified_tokens;
    return bounded_tokens(request->prompt_tokens)
           + bounded_tokens(request->output_tokens_max);
}

gate_pool *
gate_find_pool(const bbm_gate *g, const char *name)
{
    gate_pool *p = NULL;
    HASH_FIND_STR(g->pools, name, p);
    return p;
}

static bool
has_limited_upstream(const bbm_gate *g, const gate_pool *pool)
{
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool == pool && gate_is_limited(u))
            return true;
    }
    return false;
}

void
bbm_gate_begin_request(bbm_gate *g, const bbm_gate_request_desc *request,
                       const bbm_route *route, const bbm_customer *customer,
                       bbm_time now)
{
    gate_advance(g, now);
    g->counts.requests++;
    gate_request *r = create_request(g, request, route, customer);
    bbm_time wait = 0;
    if (customer) {
        double tokens = rate_tokens(request, customer);
        if (!bbm_shares_reserve(g->shares, r->customer, tokens, g->now,
                                &wait)) {
            g->counts.refused_rate++;
            gate_refuse(g, r, BBM_ERR_RATE, wait, "customer's rate exceeded");
            return;
        }
        r->reserved_tokens = tokens;
    }
    gate_pool *p = gate_find_pool(g, r->pools[0]);
    if (p)
        gate_record_retry_request(g, p);
    /* A turn belongs to the request that waits for it. */
    if (g->waiting_len && has_limited_upstream(g, p))
        gate_dispatch_waiting(g);
    gate_dispatch(g, r);
}
