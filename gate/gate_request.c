#include "bbm_codes.h"
#include "gate_core.h"

#include <stdlib.h>
#include <string.h>

/* A request from its beginning to its first attempt, and its final answer if
   there is none. */

/* The final answer of a request that was sent comes so long before the caller
   gives up, so that it still hears it. */
#define ANSWER_MARGIN (30 * BBM_MS)
/* A stream is left by its caller when nothing comes for the longest of these:
   a time, times its aim, times its longest pause. */
#define SILENCE_LEAST (2 * BBM_SECOND)
#define SILENCE_AIMS 4
#define SILENCE_GAPS 8
/* Without any upstream a request is held for this share of its aim: the
   listing may be about to come. */
#define NOBODY_SHARE 0.5
#define NOBODY_MOST (400 * BBM_MS)
/* The longest time after which a caller is told to come back. */
#define BACK_MOST (5 * BBM_SECOND)
/* Times to come back are spread by this share, so that callers who were
   refused together don't return together. */
#define BACK_SPREAD 0.5

/* A held request is drawn again when what others sent meanwhile is known. */
#define DRAW_PERIOD (30 * BBM_MS)

/* ---- releasing ---- */

void
gate_release_upstream(bbm_gate *g, gate_request *r)
{
    gate_upstream *u = r->upstream;
    if (!u)
        return;
    g->load_changed = true;
    u->open_requests--;
    u->unread_tokens -= r->unread_tokens;
    u->memory_tokens -= r->memory_tokens;
    r->unread_tokens = 0;
    r->memory_tokens = 0;
    r->upstream = NULL;
}

static void
stop_waiting(bbm_gate *g, gate_request *r)
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
    stop_waiting(g, r);
    gate_release_upstream(g, r);
    HASH_DEL(g->requests, r);
    free(r);
}

/* ---- final answers ---- */

static bbm_time
spread(bbm_gate *g, bbm_time back)
{
    back += (bbm_time)((double)back * BACK_SPREAD * bbm_rng_unit(&g->rng));
    if (back < GATE_RETRY_AFTER_MIN)
        return GATE_RETRY_AFTER_MIN;
    return back > BACK_MOST ? BACK_MOST : back;
}

static int64_t
held_ms(const bbm_gate *g, const gate_request *r)
{
    return (g->now - r->arrived_at) / BBM_MS;
}

/* After an attempt that may have run "not run" would be untrue. */
void
gate_refuse(bbm_gate *g, gate_request *r, int code, bbm_time back,
            const char *why)
{
    bbm_gate_output *out = gate_output(g, BBM_GATE_REFUSE, r);
    out->u.refuse.code = r->attempts_run ? BBM_ERR_UPSTREAM : code;
    out->u.refuse.retry_after = r->attempts_run ? 0 : spread(g, back);
    out->u.refuse.why = why;
    out->u.refuse.held_ms = held_ms(g, r);
    if (r->attempts_run)
        g->counts.outcome_unknown++;
    else
        bbm_shares_refund(g->shares, r->customer, r->reserved_tokens);
    gate_request_free(g, r);
}

void
gate_abort(bbm_gate *g, gate_request *r, int code, const char *why)
{
    bbm_gate_output *out = gate_output(g, BBM_GATE_ABORT, r);
    out->u.cut.code = code;
    out->u.cut.why = why;
    out->u.cut.begun = r->stage == GATE_ANSWERING;
    if (code < 0 && r->stage == GATE_ANSWERING)
        g->counts.aborted++;
    else if (code < 0)
        g->counts.outcome_unknown++;
    gate_request_free(g, r);
}

/* ---- sending ---- */

static void
put_in_queue(bbm_gate *g, gate_request *r)
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
fill_send(const gate_request *r, const gate_choice *c, bbm_forward_request *s)
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
    };
    bbm_name_set(s->upstream, u->info.id);
    bbm_name_set(s->address, u->info.address);
    bbm_name_set(s->pool, u->info.pool);
    bbm_name_set(s->customer, r->customer);
    bbm_name_set(s->source_address, c->source_address);
    if (c->store)
        bbm_name_set(s->store_address, c->store->address);
    memcpy(s->cache_salt, c->cache_salt, sizeof(s->cache_salt));
}

void
gate_send(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    gate_upstream *u = c->upstream;
    stop_waiting(g, r);
    r->stage = GATE_SENT;
    r->attempts++;
    r->attempts_run++;
    r->sent_at = g->now;
    r->head_at = 0;
    r->expected_ms = c->expected_ms;
    r->upstream = u;
    r->unread_tokens = (uint32_t)c->miss_tokens;
    r->memory_tokens = (uint32_t)(r->prompt_tokens + r->output_tokens_max);
    u->open_requests++;
    u->unread_tokens += r->unread_tokens;
    u->memory_tokens += r->memory_tokens;
    g->load_changed = true;
    gate_record_placement(g, r, c);
    bbm_gate_output *out = gate_output(g, BBM_GATE_SEND, r);
    fill_send(r, c, &out->u.send.send);
    out->u.send.resumes = r->last_event_id[0] != '\0';
    memcpy(out->u.send.last_event, r->last_event_id, sizeof(r->last_event_id));
    out->u.send.candidates = c->candidates;
    out->u.send.wait_ms = (int64_t)c->expected_ms;
    out->u.send.held_ms = held_ms(g, r);
    out->u.send.after = r->previous_outcome;
    out->u.send.after_status = r->previous_status;
    out->u.send.prompt = (int64_t)r->prompt_tokens;
    out->u.send.held = (int64_t)c->held_tokens;
    out->u.send.offered = (int64_t)c->offered_tokens;
    g->counts.attempts++;
    if (r->attempts > 1)
        g->counts.retries++;
    else
        bbm_histogram_add(&g->counts.wait_time, g->now - r->arrived_at);
}

static void
refuse_late(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    double left = (double)(r->start_deadline - g->now) / (double)BBM_MS;
    bbm_time back = (bbm_time)((c->expected_ms - left) * (double)BBM_MS);
    g->counts.refused_load += r->attempts_run == 0;
    gate_refuse(g, r, BBM_ERR_OVERLOAD, back, "no upstream in time");
}

static bool
may_wait_for_one(const bbm_gate *g, const gate_request *r)
{
    bbm_time most = (bbm_time)((double)r->target_latency * NOBODY_SHARE);
    if (most > NOBODY_MOST)
        most = NOBODY_MOST;
    return g->now - r->arrived_at < most && g->now < r->deadline
           && !g->desc.unsafe_no_hold;
}

/* When a runner becomes free, all VMs would send what they hold there at once,
   before any hears of the others' sends.  So each held request is drawn with
   the chance that there is room for it, and again when the others were heard.
 */
static bool
has_its_turn(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    double held = (double)g->held_elsewhere + (double)g->waiting_len;
    bool alone = !r->link.tqe_prev || !g->held_elsewhere;
    if (alone || !c->upstream->pool->is_engine)
        return true;
    if (g->now < r->next_draw_at)
        return false;
    r->next_draw_at = g->now + DRAW_PERIOD;
    return bbm_rng_unit(&g->rng) * held < gate_runner_capacity(r, c->upstream);
}

void
gate_dispatch(bbm_gate *g, gate_request *r)
{
    gate_choice c;
    /* An answer that has begun and can't go on is broken off, not refused. */
    bool begun = r->last_event_id[0] != '\0';
    switch (gate_choose(g, r, &c)) {
    case GATE_PICK_SEND:
        if (has_its_turn(g, r, &c))
            gate_send(g, r, &c);
        return;
    case GATE_PICK_TOO_LATE:
        if (begun)
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT,
                       "no upstream in time to go on");
        else
            refuse_late(g, r, &c);
        return;
    case GATE_PICK_HOLD:
        if (g->now < r->deadline)
            put_in_queue(g, r);
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_RETRY_AFTER_MIN,
                        "held to its end");
        return;
    case GATE_PICK_NO_UPSTREAM:
        if (may_wait_for_one(g, r)) {
            put_in_queue(g, r);
            return;
        }
        g->counts.refused_no_upstream++;
        if (begun)
            gate_abort(g, r, BBM_ERR_UPSTREAM_CUT, "no upstream to go on");
        else
            gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->target_latency,
                        "no upstream");
        return;
    }
}

void
gate_dispatch_waiting(bbm_gate *g)
{
    gate_request *r, *next;
    for (r = TAILQ_FIRST(&g->waiting); r; r = next) {
        next = TAILQ_NEXT(r, link);
        gate_dispatch(g, r);
    }
}

/* ---- beginning ---- */

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

/* Of many prefixes the shortest and the longest ones are looked at. */
static void
add_prefix(gate_request *r)
{
    if (r->prefixes_len < BBM_PLACEMENT_PREFIXES_MAX)
        r->prefixes_len++;
    else
        memmove(&r->prefixes[1], &r->prefixes[2],
                (BBM_PLACEMENT_PREFIXES_MAX - 2) * sizeof(r->prefixes[0]));
    r->prefixes[r->prefixes_len - 1] = (gate_prefix){
        .key = r->chain_key,
        .tokens = r->shared_tokens,
    };
}

/* The last part belongs to the request, or to its session if that is all
   there is. */
static void
copy_prompt(gate_request *r, const bbm_gate_request_desc *ask)
{
    bbm_name_set(r->model, ask->model);
    r->prompt_tokens = ask->prompt_tokens > 0 ? (double)ask->prompt_tokens : 0;
    r->output_tokens_max =
        ask->output_tokens_max > 0 ? (double)ask->output_tokens_max : 0;
    r->parts_len = ask->parts_len < BBM_PROMPT_PARTS_MAX
                       ? ask->parts_len
                       : BBM_PROMPT_PARTS_MAX;
    if (r->parts_len)
        memcpy(r->parts, ask->parts, r->parts_len * sizeof(*r->parts));
    r->chain_key = bbm_hash_text(r->private_cache ? r->customer : "", 0);
    size_t shared = r->parts_len > 1 ? r->parts_len - 1 : r->parts_len;
    for (size_t i = 0; i < shared; i++) {
        r->chain_key =
            bbm_hash64(&r->parts[i].id, sizeof(r->parts[i].id), r->chain_key);
        r->shared_tokens += r->parts[i].tokens;
        add_prefix(r);
    }
    if (r->shared_tokens > r->prompt_tokens)
        r->shared_tokens = r->prompt_tokens;
    for (size_t i = 0; i < r->prefixes_len; i++) {
        if (r->prefixes[i].tokens > r->prompt_tokens)
            r->prefixes[i].tokens = r->prompt_tokens;
    }
}

/* Callers leave a stream that is silent for too long, before its first event
   as well. */
static bbm_time
start_limit(const gate_request *r, const bbm_route *route)
{
    bbm_time most = SILENCE_LEAST;
    bbm_time aims = route->target_latency_ms * BBM_MS * SILENCE_AIMS;
    bbm_time gaps = route->target_gap_ms * BBM_MS * SILENCE_GAPS;
    most = aims > most ? aims : most;
    most = gaps > most ? gaps : most;
    return r->arrived_at + most - ANSWER_MARGIN;
}

static gate_request *
make_request(bbm_gate *g, const bbm_gate_request_desc *ask,
             const bbm_route *route, const bbm_customer *customer)
{
    gate_request *r = bbm_calloc(1, sizeof(*r));
    r->number = ask->request;
    bbm_name_set(r->id, ask->id);
    r->arrived_at = g->now - ask->waited;
    r->stream = route->stream;
    r->resumable = route->stream && route->resumable;
    r->repeatable = route->repeatable || r->resumable;
    r->priority = (int)route->priority;
    if (customer) {
        bbm_name_set(r->customer, customer->name);
        r->private_cache = customer->private_cache;
        if (customer->priority >= 0)
            r->priority = (int)customer->priority;
    }
    r->attempts_max = (uint32_t)route->attempts_max;
    r->target_latency = route->target_latency_ms * BBM_MS;
    r->deadline = BBM_NEVER;
    if (ask->client_timeout > 0)
        r->deadline = r->arrived_at + ask->client_timeout - ANSWER_MARGIN;
    bbm_time limit = r->arrived_at + route->timeout_ms * BBM_MS;
    if (route->timeout_ms && limit < r->deadline)
        r->deadline = limit;
    if (r->deadline == BBM_NEVER)
        r->deadline = g->now + 3600 * BBM_SECOND;
    r->start_deadline = r->deadline;
    if (r->stream) {
        bbm_time limit_by_silence = start_limit(r, route);
        if (limit_by_silence < r->start_deadline)
            r->start_deadline = limit_by_silence;
    }
    choose_pools(g, r, route);
    copy_prompt(r, ask);
    HASH_ADD(hh, g->requests, number, sizeof(r->number), r);
    return r;
}

static double
tokens_of(const bbm_gate_request_desc *ask, const bbm_customer *customer)
{
    if (customer->by_request)
        return 1;
    if (ask->prompt_tokens < 0)
        return (double)customer->unspecified_tokens;
    return (
        double)(ask->prompt_tokens
                + (ask->output_tokens_max > 0 ? ask->output_tokens_max : 0));
}

gate_pool *
gate_find_pool(const bbm_gate *g, const char *name)
{
    gate_pool *p = NULL;
    HASH_FIND_STR(g->pools, name, p);
    return p;
}

void
bbm_gate_begin_request(bbm_gate *g, const bbm_gate_request_desc *ask,
                       const bbm_route *route, const bbm_customer *customer,
                       bbm_time now)
{
    gate_advance(g, now);
    g->counts.requests++;
    gate_request *r = make_request(g, ask, route, customer);
    bbm_time wait = 0;
    if (customer) {
        double tokens = tokens_of(ask, customer);
        if (!bbm_shares_reserve(g->shares, r->customer, tokens, g->now,
                                &wait)) {
            g->counts.refused_rate++;
            gate_refuse(g, r, BBM_ERR_RATE, wait, "rate used up");
            return;
        }
        r->reserved_tokens = tokens;
    }
    gate_pool *p = gate_find_pool(g, r->pools[0]);
    if (p)
        bbm_retry_record_request(&p->retry_budget);
    gate_dispatch(g, r);
}
