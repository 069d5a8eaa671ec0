#include "gate_core.h"

#include <string.h>

/* Estimates what a runner has cached of a prompt, and which other runner or
   store has more of it.

   Designed for prompts whose shared prefix takes longer to compute than the
   rest of the request, but little time to fetch from another cache. */

/* Share of a runner's KV cache memory that counts as its capacity for
   prefixes.  The rest is lost to partly filled blocks and to outputs that are
   longer than the request specified. */
#define RUNNER_CACHE_SHARE 0.8
/* The same for a store. */
#define STORE_CACHE_SHARE 0.9
/* Fixed time of a fetch, to find the entries at the source. */
#define FETCH_BASE_MS 3.0
/* Time per token to fetch from another zone, relative to the own one. */
#define FETCH_CROSS_ZONE_RATIO 2.0
/* Further fixed time of a fetch from a store, for the lookup. */
#define STORE_LOOKUP_MS 5.0
/* Minimum length of a shared prefix to be copied to a store: a shorter one is
   computed in less time than a lookup in the store takes. */
#define STORE_MIN_TOKENS 512

uint64_t
gate_versioned_key(const gate_prefix *prefix, uint64_t version)
{
    return bbm_hash64(&prefix->key, sizeof(prefix->key), version);
}

static const bbm_holder *
find_at_runner(const bbm_gate *g, const gate_upstream *u, uint64_t key)
{
    bbm_place_query q = {
        .key = key,
        .holder = u->hash,
        .capacity_tokens = u->pool->memory_tokens * RUNNER_CACHE_SHARE,
        .emptied_at = u->cache_empty_since,
    };
    return bbm_places_find_held(g->places, &q);
}

static const bbm_holder *
find_in_store(const bbm_gate *g, const gate_store *s, uint64_t key)
{
    bbm_place_query q = {
        .key = key,
        .holder = s->hash,
        .capacity_tokens = s->memory_tokens * STORE_CACHE_SHARE,
        .emptied_at = s->alive_since,
    };
    return s->alive ? bbm_places_find_held(g->places, &q) : NULL;
}

double
gate_fetch_ms(const gate_upstream *u, double tokens, bool near)
{
    return FETCH_BASE_MS
           + tokens * u->pool->fetch_ms_per_token
                 * (near ? 1 : FETCH_CROSS_ZONE_RATIO);
}

static bool
is_same_zone(const gate_upstream *u, const char *zone)
{
    return strcmp(u->info.zone, zone) == 0;
}

/* Sets a source that likely has the prefix, unless a faster one is set. */
static void
add_source(gate_cached *c, const char *address, uint64_t store, double tokens,
           double ms)
{
    if (c->offered_tokens > 0 && c->fetch_ms <= ms)
        return;
    c->store_hash = store;
    c->source_address = address;
    c->offered_tokens = tokens;
    c->fetch_ms = ms;
}

/* Sets a source that may have the prefix by the time the runner fetches it;
   used only if no source is known to have it.  A fetch that finds nothing
   costs almost no time. */
static void
add_possible_source(gate_cached *c, const char *address)
{
    if (!c->source_address)
        c->source_address = address;
}

static bool
is_source(const bbm_gate *g, const gate_upstream *s, const gate_upstream *u,
          const char *model, uint64_t version)
{
    return s != u && s->listed && s->pool == u->pool && !s->info.loading
           && !gate_is_suspect(g, s) && g->now >= s->avoid_until
           && bbm_listing_entry_version(&s->info, model) == version;
}

/* Finds the best source of one prefix (the index in r->prefixes is level) for
   a runner that has fewer tokens of the prompt cached. */
static void
find_source(const bbm_gate *g, const gate_request *r, const gate_upstream *u,
            uint64_t version, size_t level, gate_cached *c)
{
    const gate_prefix *prefix = &r->prefixes[level];
    uint64_t key = gate_versioned_key(prefix, version);
    double missing_tokens = prefix->tokens - c->held_tokens;
    size_t len;
    const bbm_holder *holders = bbm_places_holders(g->places, key, &len);
    for (size_t i = 0; i < len; i++) {
        const gate_upstream *s = gate_find_upstream(g, holders[i].holder);
        if (!s || !is_source(g, s, u, r->model, version))
            continue;
        if (holders[i].ready_at > g->now || !find_at_runner(g, s, key))
            add_possible_source(c, s->info.address);
        else
            add_source(c, s->info.address, 0, prefix->tokens,
                       gate_fetch_ms(u, missing_tokens,
                                     is_same_zone(u, s->info.zone)));
    }
    for (const gate_store *s = g->stores; s; s = s->hh.next) {
        const bbm_holder *h = find_in_store(g, s, key);
        if (h && h->ready_at > g->now)
            add_possible_source(c, s->address);
        else if (h)
            add_source(
                c, s->address, s->hash, prefix->tokens,
                STORE_LOOKUP_MS
                    + gate_fetch_ms(u, missing_tokens * GATE_STORE_FETCH_RATIO,
                                    is_same_zone(u, s->zone)));
    }
}

void
gate_find_cached(const bbm_gate *g, const gate_request *r,
                 const gate_upstream *u, uint64_t version, gate_cached *c)
{
    *c = (gate_cached){0};
    size_t level = r->prefixes_len;
    while (level > 0 && !c->held_tokens) {
        const gate_prefix *prefix = &r->prefixes[--level];
        if (!find_at_runner(g, u, gate_versioned_key(prefix, version)))
            continue;
        c->held_tokens = prefix->tokens;
        c->prefixes_held = level + 1;
    }
    for (level = r->prefixes_len;
         level > c->prefixes_held && !c->offered_tokens; level--)
        find_source(g, r, u, version, level - 1, c);
}

bool
gate_has_placement(const bbm_gate *g, const gate_request *r, uint64_t version)
{
    if (!r->prefixes_len)
        return true;
    const gate_prefix *longest = &r->prefixes[r->prefixes_len - 1];
    return bbm_places_contains(g->places,
                               gate_versioned_key(longest, version));
}

const gate_store *
gate_store_of(const bbm_gate *g, const gate_request *r, uint64_t version)
{
    if (r->shared_tokens < STORE_MIN_TOKENS)
        return NULL;
    const gate_prefix *longest = &r->prefixes[r->prefixes_len - 1];
    uint64_t key = gate_versioned_key(longest, version);
    const gate_store *found = NULL;
    uint64_t best = 0;
    for (const gate_store *s = g->stores; s; s = s->hh.next) {
        /* Rendezvous hashing distributes the prefixes over the stores. */
        uint64_t weight = bbm_hash64(&key, sizeof(key), s->hash);
        if (s->alive && (!found || weight > best)) {
            found = s;
            best = weight;
        }
    }
    return found;
}

const gate_store *
gate_store_for(const bbm_gate *g, const gate_request *r, uint64_t version)
{
    const gate_store *found = gate_store_of(g, r, version);
    if (!found)
        return NULL;
    const gate_prefix *longest = &r->prefixes[r->prefixes_len - 1];
    uint64_t key = gate_versioned_key(longest, version);
    for (const gate_store *s = g->stores; s; s = s->hh.next) {
        if (find_in_store(g, s, key))
            return NULL;
    }
    return found;
}

void
gate_record_placement(bbm_gate *g, const gate_request *r, const gate_choice *c)
{
    if (!c->version || !r->prefixes_len)
        return;
    bbm_placement row = {
        .holder = c->upstream->hash,
        .store = c->store ? c->store->hash : 0,
        .source = c->source_store_hash,
        .new_tokens = (uint32_t)(r->prompt_tokens - c->held_tokens
                                 + r->output_tokens_max),
        .ready_ms = c->expected_ms > 0 ? (uint32_t)c->expected_ms : 0,
        .prefixes_held = (uint32_t)c->prefixes_held,
        .keys_len = (uint32_t)r->prefixes_len,
    };
    for (size_t i = 0; i < r->prefixes_len; i++)
        row.keys[i] = gate_versioned_key(&r->prefixes[i], c->version);
    gate_add_placement(g, &row);
}
