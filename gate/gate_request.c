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
gate_leave(bbm_gate *g, gate_request *r)
{
    gate_upstream *u = r->upstream;
    if (!u)
        return;
    g->load_changed = true;
    u->open--;
    u->unread -= r->unread;
    u->memory -= r->memory;
    r->unread = 0;
    r->memory = 0;
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
    gate_leave(g, r);
    HASH_DEL(g->requests, r);
    free(r);
}

/* ---- final answers ---- */

static bbm_time
spread(bbm_gate *g, bbm_time back)
{
    back += (bbm_time)((double)back * BACK_SPREAD * bbm_rng_unit(&g->rng));
    if (back < GATE_BACK_LEAST)
        return GATE_BACK_LEAST;
    return back > BACK_MOST ? BACK_MOST : back;
}

static int64_t
held_ms(const bbm_gate *g, const gate_request *r)
{
    return (g->now - r->arrived) / BBM_MS;
}

/* After an attempt that may have run "not run" would be untrue. */
void
gate_refuse(bbm_gate *g, gate_request *r, int code, bbm_time back,
            const char *why)
{
    bbm_gate_output *out = gate_output(g, BBM_GATE_REFUSE, r);
    out->u.refuse.code = r->ran ? BBM_ERR_UPSTREAM : code;
    out->u.refuse.retry_after = r->ran ? 0 : spread(g, back);
    out->u.refuse.why = why;
    out->u.refuse.held_ms = held_ms(g, r);
    if (r->ran)
        g->counts.lost++;
    else
        bbm_shares_give_back(g->shares, r->customer, r->taken);
    gate_request_free(g, r);
}

void
gate_cut(bbm_gate *g, gate_request *r, int code, const char *why)
{
    bbm_gate_output *out = gate_output(g, BBM_GATE_CUT, r);
    out->u.cut.code = code;
    out->u.cut.why = why;
    out->u.cut.begun = r->stage == GATE_ANSWERING;
    if (code < 0 && r->stage == GATE_ANSWERING)
        g->counts.cut++;
    else if (code < 0)
        g->counts.lost++;
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
fill_send(const gate_request *r, const gate_choice *c, bbm_send *s)
{
    const gate_upstream *u = c->upstream;
    *s = (bbm_send){
        .request = r->number,
        .attempt = r->attempt,
        .version = c->version,
        .priority = r->priority,
        .until = r->until,
        .repeatable = r->repeatable && r->ran < r->attempts_most,
        .stream = r->stream,
        .resumable = r->resumable,
    };
    bbm_name_set(s->upstream, u->info.id);
    bbm_name_set(s->address, u->info.address);
    bbm_name_set(s->pool, u->info.pool);
    bbm_name_set(s->customer, r->customer);
    bbm_name_set(s->source, c->source);
    if (c->keep)
        bbm_name_set(s->keep, c->keep->address);
    memcpy(s->salt, c->salt, sizeof(s->salt));
}

void
gate_send(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    gate_upstream *u = c->upstream;
    stop_waiting(g, r);
    r->stage = GATE_SENT;
    r->attempt++;
    r->ran++;
    r->sent = g->now;
    r->head = 0;
    r->expected_ms = c->wait_ms;
    r->upstream = u;
    r->unread = (uint32_t)c->miss;
    r->memory = (uint32_t)(r->prompt + r->output);
    u->open++;
    u->unread += r->unread;
    u->memory += r->memory;
    g->load_changed = true;
    gate_tell_placed(g, r, c);
    bbm_gate_output *out = gate_output(g, BBM_GATE_SEND, r);
    fill_send(r, c, &out->u.send.send);
    out->u.send.resumes = r->last_event[0] != '\0';
    memcpy(out->u.send.last_event, r->last_event, sizeof(r->last_event));
    out->u.send.candidates = c->candidates;
    out->u.send.wait_ms = (int64_t)c->wait_ms;
    out->u.send.held_ms = held_ms(g, r);
    out->u.send.after = r->after;
    out->u.send.after_status = r->after_status;
    out->u.send.prompt = (int64_t)r->prompt;
    out->u.send.held = (int64_t)c->held;
    out->u.send.offered = (int64_t)c->offered;
    g->counts.sent++;
    if (r->attempt > 1)
        g->counts.sent_again++;
    else
        bbm_histogram_add(&g->counts.waited, g->now - r->arrived);
}

static void
refuse_late(bbm_gate *g, gate_request *r, const gate_choice *c)
{
    double left = (double)(r->start_by - g->now) / (double)BBM_MS;
    bbm_time back = (bbm_time)((c->wait_ms - left) * (double)BBM_MS);
    g->counts.refused_load += r->ran == 0;
    gate_refuse(g, r, BBM_ERR_OVERLOAD, back, "no upstream in time");
}

static bool
may_wait_for_one(const bbm_gate *g, const gate_request *r)
{
    bbm_time most = (bbm_time)((double)r->aim * NOBODY_SHARE);
    if (most > NOBODY_MOST)
        most = NOBODY_MOST;
    return g->now - r->arrived < most && g->now < r->until
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
    if (alone || !c->upstream->pool->engine)
        return true;
    if (g->now < r->draw_at)
        return false;
    r->draw_at = g->now + DRAW_PERIOD;
    return bbm_rng_unit(&g->rng) * held < gate_room(r, c->upstream);
}

void
gate_try(bbm_gate *g, gate_request *r)
{
    gate_choice c;
    /* An answer that has begun and can't go on is broken off, not refused. */
    bool begun = r->last_event[0] != '\0';
    switch (gate_choose(g, r, &c)) {
    case GATE_PICK_SEND:
        if (has_its_turn(g, r, &c))
            gate_send(g, r, &c);
        return;
    case GATE_PICK_LATE:
        if (begun)
            gate_cut(g, r, BBM_ERR_UPSTREAM_CUT,
                     "no upstream in time to go on");
        else
            refuse_late(g, r, &c);
        return;
    case GATE_PICK_HOLD:
        if (g->now < r->until)
            put_in_queue(g, r);
        else
            gate_refuse(g, r, BBM_ERR_OVERLOAD, GATE_BACK_LEAST,
                        "held to its end");
        return;
    case GATE_PICK_NOBODY:
        if (may_wait_for_one(g, r)) {
            put_in_queue(g, r);
            return;
        }
        g->counts.refused_none++;
        if (begun)
            gate_cut(g, r, BBM_ERR_UPSTREAM_CUT, "no upstream to go on");
        else
            gate_refuse(g, r, BBM_ERR_NO_UPSTREAM, r->aim, "no upstream");
        return;
    }
}

void
gate_pump(bbm_gate *g)
{
    gate_request *r, *next;
    for (r = TAILQ_FIRST(&g->waiting); r; r = next) {
        next = TAILQ_NEXT(r, link);
        gate_try(g, r);
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
    for (size_t i = 0; i < len && r->pools_len < GATE_POOLS_MOST; i++) {
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
    if (r->prefixes_len < BBM_PLACED_KEYS)
        r->prefixes_len++;
    else
        memmove(&r->prefixes[1], &r->prefixes[2],
                (BBM_PLACED_KEYS - 2) * sizeof(r->prefixes[0]));
    r->prefixes[r->prefixes_len - 1] = (gate_prefix){
        .key = r->chain,
        .tokens = r->shared,
    };
}

/* The last part belongs to the request, or to its session if that is all
   there is. */
static void
copy_prompt(gate_request *r, const bbm_ask *ask)
{
    bbm_name_set(r->model, ask->model);
    r->prompt = ask->prompt_tokens > 0 ? (double)ask->prompt_tokens : 0;
    r->output = ask->output_tokens > 0 ? (double)ask->output_tokens : 0;
    r->parts_len =
        ask->parts_len < BBM_PARTS_MOST ? ask->parts_len : BBM_PARTS_MOST;
    if (r->parts_len)
        memcpy(r->parts, ask->parts, r->parts_len * sizeof(*r->parts));
    r->chain = bbm_hash_text(r->private_cache ? r->customer : "", 0);
    size_t shared = r->parts_len > 1 ? r->parts_len - 1 : r->parts_len;
    for (size_t i = 0; i < shared; i++) {
        r->chain =
            bbm_hash64(&r->parts[i].id, sizeof(r->parts[i].id), r->chain);
        r->shared += r->parts[i].tokens;
        add_prefix(r);
    }
    if (r->shared > r->prompt)
        r->shared = r->prompt;
    for (size_t i = 0; i < r->prefixes_len; i++) {
        if (r->prefixes[i].tokens > r->prompt)
            r->prefixes[i].tokens = r->prompt;
    }
}

/* Callers leave a stream that is silent for too long, before its first event
   as well. */
static bbm_time
start_limit(const gate_request *r, const bbm_route *route)
{
    bbm_time most = SILENCE_LEAST;
    bbm_time aims = route->aim_ms * BBM_MS * SILENCE_AIMS;
    bbm_time gaps = route->gap_ms * BBM_MS * SILENCE_GAPS;
    most = aims > most ? aims : most;
    most = gaps > most ? gaps : most;
    return r->arrived + most - ANSWER_MARGIN;
}

static gate_request *
make_request(bbm_gate *g, const bbm_ask *ask, const bbm_route *route,
             const bbm_customer *customer)
{
    gate_request *r = bbm_calloc(1, sizeof(*r));
    r->number = ask->request;
    bbm_name_set(r->id, ask->id);
    r->arrived = g->now - ask->waited;
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
    r->attempts_most = (uint32_t)route->attempts;
    r->aim = route->aim_ms * BBM_MS;
    r->until = BBM_NEVER;
    if (ask->patience > 0)
        r->until = r->arrived + ask->patience - ANSWER_MARGIN;
    bbm_time limit = r->arrived + route->timeout_ms * BBM_MS;
    if (route->timeout_ms && limit < r->until)
        r->until = limit;
    if (r->until == BBM_NEVER)
        r->until = g->now + 3600 * BBM_SECOND;
    r->start_by = r->until;
    if (r->stream) {
        bbm_time limit_by_silence = start_limit(r, route);
        if (limit_by_silence < r->start_by)
            r->start_by = limit_by_silence;
    }
    choose_pools(g, r, route);
    copy_prompt(r, ask);
    HASH_ADD(hh, g->requests, number, sizeof(r->number), r);
    return r;
}

static double
tokens_of(const bbm_ask *ask, const bbm_customer *customer)
{
    if (customer->by_request)
        return 1;
    if (ask->prompt_tokens < 0)
        return (double)customer->untold_tokens;
    return (double)(ask->prompt_tokens
                    + (ask->output_tokens > 0 ? ask->output_tokens : 0));
}

gate_pool *
gate_pool_named(const bbm_gate *g, const char *name)
{
    gate_pool *p = NULL;
    HASH_FIND_STR(g->pools, name, p);
    return p;
}

void
bbm_gate_begin(bbm_gate *g, const bbm_ask *ask, const bbm_route *route,
               const bbm_customer *customer, bbm_time now)
{
    gate_advance(g, now);
    g->counts.begun++;
    gate_request *r = make_request(g, ask, route, customer);
    bbm_time wait = 0;
    if (customer) {
        double tokens = tokens_of(ask, customer);
        if (!bbm_shares_take(g->shares, r->customer, tokens, g->now, &wait)) {
            g->counts.refused_rate++;
            gate_refuse(g, r, BBM_ERR_RATE, wait, "rate used up");
            return;
        }
        r->taken = tokens;
    }
    gate_pool *p = gate_pool_named(g, r->pools[0]);
    if (p)
        bbm_retry_fresh(&p->retries);
    gate_try(g, r);
}
