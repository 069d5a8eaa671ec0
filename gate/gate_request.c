#include "bbm_codes.h"
#include "gate_core.h"

#include <stdlib.h>
#include <string.h>

/* A request from its beginning to its end. */

/* The final answer of a request that was sent comes so long before the caller
   gives up, so that it still hears it. */
#define ANSWER_MARGIN (30 * BBM_MS)
/* A stream is left by its caller when nothing comes for the longest of these:
   a time, times its aim, times its longest pause. */
#define SILENCE_LEAST (2 * BBM_SECOND)
#define SILENCE_AIMS 4
#define SILENCE_GAPS 8
/* A request may be sent so many times more than it may run, where upstreams
   say that they did not run it. */
#define SENDS_MORE 2
/* Without any upstream a request is held for this share of its aim: the
   listing may be about to come. */
#define NOBODY_SHARE 0.5
#define NOBODY_MOST (400 * BBM_MS)
/* Bounds of the time after which a caller is told to come back. */
#define BACK_LEAST (50 * BBM_MS)
#define BACK_MOST (5 * BBM_SECOND)
/* Times to come back are spread by this share, so that callers who were
   refused together don't return together. */
#define BACK_SPREAD 0.5
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

/* ---- releasing ---- */

static void
leave_upstream(gate_request *r)
{
    gate_upstream *u = r->upstream;
    if (!u)
        return;
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
}

void
gate_request_free(bbm_gate *g, gate_request *r)
{
    stop_waiting(g, r);
    leave_upstream(r);
    HASH_DEL(g->requests, r);
    free(r);
}

/* ---- final answers ---- */

static bbm_time
spread(bbm_gate *g, bbm_time back)
{
    back += (bbm_time)((double)back * BACK_SPREAD * bbm_rng_unit(&g->rng));
    if (back < BACK_LEAST)
        return BACK_LEAST;
    return back > BACK_MOST ? BACK_MOST : back;
}

static int64_t
held_ms(const bbm_gate *g, const gate_request *r)
{
    return (g->now - r->arrived) / BBM_MS;
}

/* After an attempt that may have run "not run" would be untrue. */
static void
refuse(bbm_gate *g, gate_request *r, int code, bbm_time back, const char *why)
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

static void
cut(bbm_gate *g, gate_request *r, int code, const char *why)
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
    bbm_name_set(s->keep, c->keep);
    memcpy(s->salt, c->salt, sizeof(s->salt));
}

static void
send_to(bbm_gate *g, gate_request *r, const gate_choice *c)
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
    bbm_gate_output *out = gate_output(g, BBM_GATE_SEND, r);
    fill_send(r, c, &out->u.send.send);
    out->u.send.resumes = r->last_event[0] != '\0';
    memcpy(out->u.send.last_event, r->last_event, sizeof(r->last_event));
    out->u.send.candidates = c->candidates;
    out->u.send.wait_ms = (int64_t)c->wait_ms;
    out->u.send.held_ms = held_ms(g, r);
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
    refuse(g, r, BBM_ERR_OVERLOAD, back, "no upstream in time");
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

void
gate_try(bbm_gate *g, gate_request *r)
{
    gate_choice c;
    /* An answer that has begun and can't go on is broken off, not refused. */
    bool begun = r->last_event[0] != '\0';
    switch (gate_choose(g, r, &c)) {
    case GATE_PICK_SEND:
        send_to(g, r, &c);
        return;
    case GATE_PICK_LATE:
        if (begun)
            cut(g, r, BBM_ERR_UPSTREAM_CUT, "no upstream in time to go on");
        else
            refuse_late(g, r, &c);
        return;
    case GATE_PICK_HOLD:
        if (g->now < r->until)
            put_in_queue(g, r);
        else
            refuse(g, r, BBM_ERR_OVERLOAD, BACK_LEAST, "held to its end");
        return;
    case GATE_PICK_NOBODY:
        if (may_wait_for_one(g, r)) {
            put_in_queue(g, r);
            return;
        }
        g->counts.refused_none++;
        if (begun)
            cut(g, r, BBM_ERR_UPSTREAM_CUT, "no upstream to go on");
        else
            refuse(g, r, BBM_ERR_NO_UPSTREAM, r->aim, "no upstream");
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
    }
    if (r->shared > r->prompt)
        r->shared = r->prompt;
}

/* Callers leave a stream that is silent for too long, before its first event
   as well. */
static bbm_time
start_limit(const bbm_gate *g, const bbm_route *route)
{
    bbm_time most = SILENCE_LEAST;
    bbm_time aims = route->aim_ms * BBM_MS * SILENCE_AIMS;
    bbm_time gaps = route->gap_ms * BBM_MS * SILENCE_GAPS;
    most = aims > most ? aims : most;
    most = gaps > most ? gaps : most;
    return g->now + most - ANSWER_MARGIN;
}

static gate_request *
make_request(bbm_gate *g, const bbm_ask *ask, const bbm_route *route,
             const bbm_customer *customer)
{
    gate_request *r = bbm_calloc(1, sizeof(*r));
    r->number = ask->request;
    bbm_name_set(r->id, ask->id);
    r->arrived = g->now;
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
        r->until = g->now + ask->patience - ANSWER_MARGIN;
    bbm_time limit = g->now + route->timeout_ms * BBM_MS;
    if (route->timeout_ms && limit < r->until)
        r->until = limit;
    if (r->until == BBM_NEVER)
        r->until = g->now + 3600 * BBM_SECOND;
    r->start_by = r->until;
    if (r->stream && start_limit(g, route) < r->until)
        r->start_by = start_limit(g, route);
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

static gate_pool *
pool_named(const bbm_gate *g, const char *name)
{
    gate_pool *p = NULL;
    HASH_FIND_STR(g->pools, name, p);
    return p;
}

void
bbm_gate_begin(bbm_gate *g, const bbm_ask *ask, const bbm_route *route,
               const bbm_customer *customer, bbm_time now)
{
    g->now = now > g->now ? now : g->now;
    g->counts.begun++;
    gate_request *r = make_request(g, ask, route, customer);
    bbm_time wait = 0;
    if (customer) {
        double tokens = tokens_of(ask, customer);
        if (!bbm_shares_take(g->shares, r->customer, tokens, g->now, &wait)) {
            g->counts.refused_rate++;
            refuse(g, r, BBM_ERR_RATE, wait, "rate used up");
            return;
        }
        r->taken = tokens;
    }
    gate_pool *p = pool_named(g, r->pools[0]);
    if (p)
        bbm_retry_fresh(&p->retries);
    gate_try(g, r);
}

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
bbm_gate_head(bbm_gate *g, uint64_t request, uint32_t attempt,
              uint64_t version, bbm_time now)
{
    (void)version;
    g->now = now > g->now ? now : g->now;
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
    gate_pool *p = pool_named(g, r->pools[0]);
    return p && bbm_retry_take(&p->retries);
}

static void
send_again(bbm_gate *g, gate_request *r)
{
    leave_upstream(r);
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
        cut(g, r, BBM_ERR_UPSTREAM_CUT, "refused where it was to go on");
        return;
    }
    g->counts.refused_load += r->ran == 0;
    refuse(g, r, BBM_ERR_OVERLOAD, r->aim / 2, "refused by the upstream");
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
    refuse(g, r, BBM_ERR_NO_UPSTREAM, r->aim, "no upstream could be reached");
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
    cut(g, r, begun ? BBM_ERR_UPSTREAM_CUT : BBM_ERR_UPSTREAM,
        begun ? "the upstream broke off" : "the upstream failed");
}

void
bbm_gate_end(bbm_gate *g, const bbm_forwarded *f, bbm_time now)
{
    g->now = now > g->now ? now : g->now;
    gate_request *r = find(g, f->request);
    if (!r || r->stage == GATE_WAITING || r->attempt != f->attempt)
        return;
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
    g->now = now > g->now ? now : g->now;
    gate_request *r = find(g, request);
    if (!r)
        return;
    g->counts.gone++;
    if (r->stage == GATE_WAITING && !r->ran)
        bbm_shares_give_back(g->shares, r->customer, r->taken);
    cut(g, r, BBM_OK, "the caller left");
}

void
bbm_gate_end_customer(bbm_gate *g, const char *customer, int code,
                      bbm_time now)
{
    g->now = now > g->now ? now : g->now;
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        if (strcmp(r->customer, customer) == 0)
            cut(g, r, code, "the customer is no longer served");
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
            cut(g, r, BBM_ERR_UPSTREAM_CUT, "its time ended");
        else
            refuse(g, r, BBM_ERR_OVERLOAD, BACK_LEAST, "its time ended");
        return;
    case GATE_SENT:
    case GATE_ANSWERING:
        cut(g, r, BBM_ERR_UPSTREAM_TIMEOUT, "its time ended");
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
    leave_upstream(r);
    send_to(g, r, &c);
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
    g->now = now > g->now ? now : g->now;
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
