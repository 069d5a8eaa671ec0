#include "bbm_cache.h"

#include "bbm_mem.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

#define DEFAULT_ENTRIES_MAX 400000
#define DEFAULT_EXPECTED_TTL_NS (3 * BBM_SECOND)

struct block;

/* Index entry: one block that one runner caches or is expected to. */
typedef struct holder {
    struct block *block;
    uint32_t slot;
    bool confirmed;   /* by an event; otherwise only expected */
    bbm_time used_at; /* last stored or expected */
    LIST_ENTRY(holder) of_block;
    TAILQ_ENTRY(holder) of_runner; /* least recently used first */
} holder;

typedef struct block {
    bbm_block_id id;
    LIST_HEAD(, holder) holders;
    UT_hash_handle hh;
} block;

typedef struct runner {
    uint64_t incarnation;
    size_t blocks_max;
    size_t count; /* number of entries */
    TAILQ_HEAD(, holder) entries;
} runner;

struct bbm_cache {
    bbm_cache_desc desc;
    block *blocks;
    runner runners[BBM_CACHE_RUNNERS_MAX];
    size_t count;
};

bbm_cache *
bbm_cache_create(const bbm_cache_desc *desc)
{
    bbm_cache *c = bbm_calloc(1, sizeof(*c));
    c->desc = *desc;
    if (!c->desc.entries_max)
        c->desc.entries_max = DEFAULT_ENTRIES_MAX;
    if (!c->desc.expected_ttl)
        c->desc.expected_ttl = DEFAULT_EXPECTED_TTL_NS;
    for (size_t i = 0; i < BBM_CACHE_RUNNERS_MAX; i++) {
        TAILQ_INIT(&c->runners[i].entries);
        c->runners[i].blocks_max = SIZE_MAX;
    }
    return c;
}

static block *
find_block(const bbm_cache *c, bbm_block_id id)
{
    block *b = NULL;
    HASH_FIND(hh, c->blocks, &id, sizeof(id), b);
    return b;
}

static holder *
find_holder(const block *b, uint32_t slot)
{
    holder *h;
    LIST_FOREACH(h, &b->holders, of_block)
    {
        if (h->slot == slot)
            return h;
    }
    return NULL;
}

static void
drop_entry(bbm_cache *c, holder *h)
{
    runner *r = &c->runners[h->slot];
    block *b = h->block;
    TAILQ_REMOVE(&r->entries, h, of_runner);
    LIST_REMOVE(h, of_block);
    free(h);
    r->count--;
    c->count--;
    if (LIST_EMPTY(&b->holders)) {
        HASH_DEL(c->blocks, b);
        free(b);
    }
}

void
bbm_cache_clear(bbm_cache *c, uint32_t slot)
{
    assert(slot < BBM_CACHE_RUNNERS_MAX);
    holder *h;
    while ((h = TAILQ_FIRST(&c->runners[slot].entries)) != NULL)
        drop_entry(c, h);
}

void
bbm_cache_destroy(bbm_cache *c)
{
    if (!c)
        return;
    for (uint32_t i = 0; i < BBM_CACHE_RUNNERS_MAX; i++)
        bbm_cache_clear(c, i);
    free(c);
}

bool
bbm_cache_set_runner(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                     size_t blocks)
{
    assert(slot < BBM_CACHE_RUNNERS_MAX);
    runner *r = &c->runners[slot];
    bool changed = r->incarnation != incarnation;
    if (changed && !c->desc.unsafe_any_incarnation)
        bbm_cache_clear(c, slot);
    r->incarnation = incarnation;
    r->blocks_max = blocks ? blocks : SIZE_MAX;
    return changed;
}

/* Drop the least recently used entry of the runner with the most entries. */
static void
evict_one(bbm_cache *c)
{
    uint32_t fullest = 0;
    for (uint32_t i = 1; i < BBM_CACHE_RUNNERS_MAX; i++) {
        if (c->runners[i].count > c->runners[fullest].count)
            fullest = i;
    }
    holder *h = TAILQ_FIRST(&c->runners[fullest].entries);
    if (h)
        drop_entry(c, h);
}

static holder *
add_entry(bbm_cache *c, uint32_t slot, bbm_block_id id)
{
    runner *r = &c->runners[slot];
    if (r->count >= r->blocks_max)
        drop_entry(c, TAILQ_FIRST(&r->entries));
    if (c->count >= c->desc.entries_max)
        evict_one(c);
    block *b = find_block(c, id);
    if (!b) {
        b = bbm_calloc(1, sizeof(*b));
        b->id = id;
        LIST_INIT(&b->holders);
        HASH_ADD(hh, c->blocks, id, sizeof(b->id), b);
    }
    holder *h = bbm_calloc(1, sizeof(*h));
    h->block = b;
    h->slot = slot;
    LIST_INSERT_HEAD(&b->holders, h, of_block);
    TAILQ_INSERT_TAIL(&r->entries, h, of_runner);
    r->count++;
    c->count++;
    return h;
}

static holder *
touch(bbm_cache *c, uint32_t slot, bbm_block_id id, bbm_time now)
{
    block *b = find_block(c, id);
    holder *h = b ? find_holder(b, slot) : NULL;
    if (h) {
        TAILQ_REMOVE(&c->runners[slot].entries, h, of_runner);
        TAILQ_INSERT_TAIL(&c->runners[slot].entries, h, of_runner);
    }
    else {
        h = add_entry(c, slot, id);
    }
    h->used_at = now;
    return h;
}

static bool
is_current(const bbm_cache *c, uint32_t slot, uint64_t incarnation)
{
    assert(slot < BBM_CACHE_RUNNERS_MAX);
    return c->desc.unsafe_any_incarnation
           || c->runners[slot].incarnation == incarnation;
}

void
bbm_cache_store(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                bbm_block_id id, bbm_time now)
{
    if (is_current(c, slot, incarnation))
        touch(c, slot, id, now)->confirmed = true;
}

void
bbm_cache_remove(bbm_cache *c, uint32_t slot, uint64_t incarnation,
                 bbm_block_id id)
{
    if (!is_current(c, slot, incarnation))
        return;
    block *b = find_block(c, id);
    holder *h = b ? find_holder(b, slot) : NULL;
    if (h)
        drop_entry(c, h);
}

void
bbm_cache_expect(bbm_cache *c, uint32_t slot, bbm_block_id id, bbm_time now)
{
    assert(slot < BBM_CACHE_RUNNERS_MAX);
    touch(c, slot, id, now);
}

static bool
is_valid(const bbm_cache *c, const holder *h, bbm_time now)
{
    return h->confirmed || now - h->used_at <= c->desc.expected_ttl;
}

size_t
bbm_cache_match(const bbm_cache *c, uint32_t slot, const bbm_block_id *ids,
                size_t len, bbm_time now)
{
    for (size_t i = 0; i < len; i++) {
        const block *b = find_block(c, ids[i]);
        const holder *h = b ? find_holder(b, slot) : NULL;
        if (!h || !is_valid(c, h, now))
            return i;
    }
    return len;
}

size_t
bbm_cache_match_confirmed(const bbm_cache *c, uint32_t slot,
                          const bbm_block_id *ids, size_t len)
{
    /* By then, no entry is valid that is only expected. */
    return bbm_cache_match(c, slot, ids, len, BBM_NEVER);
}

void
bbm_cache_match_all(const bbm_cache *c, const bbm_block_id *ids, size_t len,
                    bbm_time now, size_t *matched, size_t slots)
{
    memset(matched, 0, slots * sizeof(*matched));
    for (size_t i = 0; i < len; i++) {
        const block *b = find_block(c, ids[i]);
        if (!b)
            return;
        bool any_match = false;
        const holder *h;
        LIST_FOREACH(h, &b->holders, of_block)
        {
            bool extends_match = h->slot < slots && matched[h->slot] == i
                                 && is_valid(c, h, now);
            if (extends_match) {
                matched[h->slot] = i + 1;
                any_match = true;
            }
        }
        if (!any_match)
            return;
    }
}

size_t
bbm_cache_count(const bbm_cache *c)
{
    return c->count;
}

size_t
bbm_cache_count_of(const bbm_cache *c, uint32_t slot)
{
    assert(slot < BBM_CACHE_RUNNERS_MAX);
    return c->runners[slot].count;
}
