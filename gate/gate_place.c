#include "gate_core.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Where a request goes.

   Answers the load of prompts with long shared parts: reading a shared part
   again costs its reader more than the rest of the request, fetching it costs
   little, and what a runner has is best known to nobody.  So each chain of
   shared parts has a home by rendezvous over the runners that may get it, and
   leaves it only when the wait there is longer than a fetch. */

/* Milliseconds that one open request adds to each step of a runner. */
#define STEP_PER_OPEN 0.3
/* Milliseconds for finding a source, beside the fetch itself. */
#define FETCH_BASE 3.0
/* Fetching from another zone takes twice as long; a source's zone isn't
   known before it is chosen. */
#define FETCH_FACTOR 2.0
/* Memory of a runner that may be planned with; beyond it requests preempt
   each other, which costs about so many milliseconds. */
#define MEMORY_SHARE 0.9
#define PREEMPT_MS 400.0
/* A runner without a free slot keeps a request for about so long. */
#define SLOT_MS 300.0
/* A way to another zone and back, milliseconds, in favour of the own one. */
#define ZONE_MS 2.0
/* Wait for a runner that is about to have the newest weights: so much of the
   aim, and of the caller's patience after that. */
#define HOLD_SHARE 0.5
/* A request on old weights is sent so long before they are no longer allowed:
   it may wait at its runner. */
#define OLD_MARGIN (1500 * BBM_MS)
/* Of the last requests' worth of old weights this is kept as a margin for
   clocks and messages. */
#define FINE_MARGIN (100 * BBM_MS)

typedef struct candidate {
    gate_upstream *upstream;
    uint64_t weight; /* of the rendezvous */
    uint64_t version;
    bool old;
    double cost;
} candidate;

typedef struct field {
    candidate *items;
    size_t len;
    size_t loading; /* runners that will have the newest weights soon */
    size_t others;  /* listed, but avoided or tried before */
} field;

/* ---- what is known of an upstream ---- */

static double
beyond(uint32_t all, uint32_t told)
{
    return all > told ? (double)(all - told) : 0;
}

double
gate_open_at(const gate_upstream *u)
{
    return beyond(u->all.open, u->told.open) + u->open;
}

static double
unread_at(const gate_upstream *u)
{
    return beyond(u->all.unread, u->told.unread) + u->unread;
}

static double
memory_at(const gate_upstream *u)
{
    return beyond(u->all.memory, u->told.memory) + u->memory;
}

static uint32_t
slots_of(const gate_upstream *u)
{
    return u->info.slots ? u->info.slots : u->pool->slots;
}

static bool
failed_before(const gate_request *r, const gate_upstream *u)
{
    for (size_t i = 0; i < r->failed_len; i++) {
        if (r->failed[i] == u->hash)
            return true;
    }
    return false;
}

/* ---- candidates ---- */

static const gate_weights *
weights_of(const bbm_gate *g, const char *model)
{
    gate_weights *w = NULL;
    HASH_FIND_STR(g->weights, model, w);
    return w;
}

static void
add_candidate(field *f, gate_upstream *u, const gate_request *r,
              const gate_weights *w)
{
    uint64_t version = bbm_listed_version(&u->info, r->model);
    f->items[f->len++] = (candidate){
        .upstream = u,
        .weight = bbm_hash64(&r->chain, sizeof(r->chain), u->hash),
        .version = version,
        .old = w && version && version < w->version,
    };
}

static void
gather(bbm_gate *g, const gate_request *r, const char *pool, bool avoided,
       field *f)
{
    const gate_weights *w = weights_of(g, r->model);
    f->len = 0;
    f->loading = 0;
    f->others = 0;
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (!u->listed || !u->pool || strcmp(u->info.pool, pool) != 0
            || u->info.leaving)
            continue;
        if (u->info.loading) {
            f->loading++;
            continue;
        }
        if (failed_before(r, u) || (!avoided && gate_avoids(g, u))) {
            f->others++;
            continue;
        }
        add_candidate(f, u, r, w);
    }
}

static int
by_weight(const void *a, const void *b)
{
    const candidate *x = a;
    const candidate *y = b;
    if (x->weight == y->weight)
        return 0;
    return x->weight > y->weight ? -1 : 1;
}

static void
keep_only(field *f, bool old)
{
    size_t len = 0;
    for (size_t i = 0; i < f->len; i++) {
        if (f->items[i].old == old)
            f->items[len++] = f->items[i];
    }
    f->len = len;
}

static size_t
count_old(const field *f)
{
    size_t old = 0;
    for (size_t i = 0; i < f->len; i++)
        old += f->items[i].old;
    return old;
}

/* ---- cost ---- */

static const gate_store *
live_store(const bbm_gate *g)
{
    for (const gate_store *s = g->stores; s; s = s->hh.next) {
        if (s->alive)
            return s;
    }
    return NULL;
}

static double
zone_ms(const bbm_gate *g, const gate_upstream *u)
{
    return strcmp(g->desc.zone, u->info.zone) == 0 ? 0 : ZONE_MS;
}

static double
runner_wait(const gate_request *r, const gate_upstream *u)
{
    const gate_pool *p = u->pool;
    double open = gate_open_at(u);
    double wait = unread_at(u) / p->speed + open * STEP_PER_OPEN;
    if (u->late_ms > 0)
        wait += u->late_ms;
    if (memory_at(u) + r->prompt + r->output > p->memory * MEMORY_SHARE)
        wait += PREEMPT_MS;
    if (open >= slots_of(u))
        wait += SLOT_MS * (1 + open - slots_of(u)) / slots_of(u);
    return wait;
}

/* What a runner away from home must get first. */
static double
away_ms(const bbm_gate *g, const gate_request *r, const gate_upstream *u)
{
    double fetch = FETCH_BASE + r->shared * u->pool->fetch * FETCH_FACTOR;
    double read = r->shared / u->pool->speed;
    (void)g;
    return fetch < read ? fetch : read;
}

static void
cost_runners(const bbm_gate *g, const gate_request *r, field *f)
{
    qsort(f->items, f->len, sizeof(*f->items), by_weight);
    for (size_t i = 0; i < f->len; i++) {
        candidate *c = &f->items[i];
        double cost = runner_wait(r, c->upstream);
        cost += (r->prompt - r->shared) / c->upstream->pool->speed;
        if (i > 0)
            cost += away_ms(g, r, c->upstream);
        c->cost = cost + zone_ms(g, c->upstream);
    }
}

static void
cost_plain(bbm_gate *g, field *f)
{
    for (size_t i = 0; i < f->len; i++) {
        candidate *c = &f->items[i];
        const gate_upstream *u = c->upstream;
        double open = gate_open_at(u);
        double slots = slots_of(u);
        double cost = u->pool->service_ms;
        if (open >= slots)
            cost += (open - slots + 1) / slots * u->pool->service_ms;
        /* Below that the emptier one still is the safer one. */
        cost += open / slots * u->pool->service_ms / 2;
        cost += u->late_ms > 0 ? u->late_ms : 0;
        cost += bbm_rng_unit(&g->rng);
        c->cost = cost + zone_ms(g, u);
    }
}

static const candidate *
cheapest(const field *f)
{
    const candidate *best = NULL;
    for (size_t i = 0; i < f->len; i++) {
        if (!best || f->items[i].cost < best->cost)
            best = &f->items[i];
    }
    return best;
}

/* ---- cache entries ---- */

static void
make_salt(const gate_request *r, uint64_t version, char *salt)
{
    if (version)
        snprintf(salt, BBM_SALT_SIZE, "%s/%llu",
                 r->private_cache ? r->customer : "",
                 (unsigned long long)version);
    else
        /* Under unknown weights nothing is shared with anyone. */
        snprintf(salt, BBM_SALT_SIZE, "one/%.48s", r->id);
}

/* True if a store was not given this chain yet, as far as this VM knows. */
static bool
is_new_chain(bbm_gate *g, const gate_request *r, const char *salt)
{
    /* The oldest of so many are forgotten. */
    enum { KEPT_MOST = 8192 };
    uint64_t key = bbm_hash_text(salt, r->chain);
    gate_kept *k = NULL;
    HASH_FIND(hh, g->kept, &key, sizeof(key), k);
    if (k)
        return false;
    k = bbm_calloc(1, sizeof(*k));
    k->key = key;
    HASH_ADD(hh, g->kept, key, sizeof(key), k);
    if (HASH_COUNT(g->kept) > KEPT_MOST) {
        gate_kept *oldest = g->kept;
        HASH_DEL(g->kept, oldest);
        free(oldest);
    }
    return true;
}

/* The home of the chain among runners with the same weights, if another was
   chosen: it holds what was read there before. */
static const gate_upstream *
home_of(const field *f, const candidate *chosen)
{
    for (size_t i = 0; i < f->len; i++) {
        const candidate *c = &f->items[i];
        if (c->version == chosen->version)
            return c->upstream == chosen->upstream ? NULL : c->upstream;
    }
    return NULL;
}

static void
plan_cache(bbm_gate *g, const gate_request *r, const field *f,
           const candidate *chosen, gate_choice *c)
{
    make_salt(r, chosen->version, c->salt);
    if (!chosen->version || r->shared <= 0)
        return;
    const gate_store *store = live_store(g);
    const gate_upstream *home = home_of(f, chosen);
    bool is_new = is_new_chain(g, r, c->salt);
    if (store) {
        bbm_name_set(c->source, store->address);
        if (is_new)
            bbm_name_set(c->keep, store->address);
    }
    else if (home) {
        bbm_name_set(c->source, home->info.address);
    }
}

/* ---- choosing ---- */

static void
fill_choice(bbm_gate *g, const gate_request *r, const field *f,
            const candidate *best, gate_choice *c)
{
    c->upstream = best->upstream;
    c->wait_ms = best->cost;
    c->candidates = (uint32_t)f->len;
    if (best->upstream->pool->engine && r->model[0]) {
        c->version = best->version;
        plan_cache(g, r, f, best, c);
    }
}

static double
left_ms(const bbm_gate *g, const gate_request *r)
{
    return (double)(r->until - g->now) / (double)BBM_MS;
}

/* Keeps the runners whose weights the request should run on: all while old
   ones count as well as new ones, else those with the newest if there are any
   that can serve it in time, else the old ones while they are allowed. */
static gate_pick
choose_weights(bbm_gate *g, const gate_request *r, field *f)
{
    const gate_weights *w = weights_of(g, r->model);
    size_t old = count_old(f);
    if (!w || !old)
        return GATE_PICK_SEND;
    bbm_time age = g->now - w->named;
    if (age < g->desc.old_weights_fine - FINE_MARGIN)
        return GATE_PICK_SEND;
    bool allowed = age < g->desc.old_weights_most - OLD_MARGIN;
    if (old < f->len) {
        keep_only(f, false);
        return GATE_PICK_SEND;
    }
    bbm_time patience =
        (bbm_time)((double)(r->until - r->arrived) * HOLD_SHARE);
    bbm_time hold = patience > r->aim ? patience : r->aim;
    if (!allowed || (f->loading && g->now < r->arrived + hold))
        return GATE_PICK_HOLD;
    return GATE_PICK_SEND;
}

static gate_pick
choose_in(bbm_gate *g, const gate_request *r, const char *pool, field *f,
          gate_choice *c)
{
    gather(g, r, pool, false, f);
    if (!f->len && f->others)
        gather(g, r, pool, true, f);
    if (!f->len)
        return f->loading || f->others ? GATE_PICK_HOLD : GATE_PICK_NOBODY;
    if (f->items[0].upstream->pool->engine) {
        gate_pick pick = choose_weights(g, r, f);
        if (pick != GATE_PICK_SEND)
            return pick;
        cost_runners(g, r, f);
    }
    else {
        cost_plain(g, f);
    }
    const candidate *best = cheapest(f);
    fill_choice(g, r, f, best, c);
    return best->cost < left_ms(g, r) ? GATE_PICK_SEND : GATE_PICK_LATE;
}

gate_pick
gate_choose(bbm_gate *g, const gate_request *r, gate_choice *c)
{
    *c = (gate_choice){0};
    gate_pick pick = GATE_PICK_NOBODY;
    field f = {0};
    f.items = bbm_calloc(HASH_COUNT(g->upstreams), sizeof(*f.items));
    for (size_t i = 0; i < r->pools_len && pick == GATE_PICK_NOBODY; i++)
        pick = choose_in(g, r, r->pools[i], &f, c);
    free(f.items);
    return pick;
}
