#include "bbm_places.h"

#include "bbm_table.h"

#include <string.h>

/* Prefixes that are remembered: some seconds' worth of a large fleet. */
#define PREFIXES_MOST 16384
/* Holders whose tokens are counted: those that ended make room. */
#define HOLDERS_COUNTED 2048

typedef struct prefix {
    uint64_t key;
    bbm_holder holders[BBM_HOLDERS_MAX];
    size_t len;
    UT_hash_handle hh; /* by key, the longest unused first */
} prefix;

typedef struct sent_count {
    uint64_t holder;
    double tokens;
    UT_hash_handle hh;
} sent_count;

struct bbm_places {
    prefix *prefixes;
    sent_count *counts;
};

void
bbm_placement_put(bbm_buf *buf, const bbm_placement *row)
{
    bbm_put_u64(buf, row->holder);
    bbm_put_u64(buf, row->store);
    bbm_put_u64(buf, row->source);
    bbm_put_u64(buf, row->new_tokens);
    bbm_put_u64(buf, row->ready_ms);
    bbm_put_u64(buf, row->prefixes_held);
    bbm_put_u64(buf, row->keys_len);
    for (uint32_t i = 0; i < row->keys_len; i++)
        bbm_put_u64(buf, row->keys[i]);
}

void
bbm_placement_get(bbm_reader *rd, bbm_placement *row)
{
    *row = (bbm_placement){0};
    row->holder = bbm_get_u64(rd);
    row->store = bbm_get_u64(rd);
    row->source = bbm_get_u64(rd);
    row->new_tokens = bbm_get_u32(rd, UINT32_MAX);
    row->ready_ms = bbm_get_u32(rd, UINT32_MAX);
    row->prefixes_held = bbm_get_u32(rd, BBM_PLACEMENT_PREFIXES_MAX);
    row->keys_len = bbm_get_u32(rd, BBM_PLACEMENT_PREFIXES_MAX);
    for (uint32_t i = 0; i < row->keys_len && !rd->failed; i++)
        row->keys[i] = bbm_get_u64(rd);
}

bbm_places *
bbm_places_create(void)
{
    return bbm_calloc(1, sizeof(bbm_places));
}

void
bbm_places_destroy(bbm_places *p)
{
    if (!p)
        return;
    BBM_TABLE_FREE(prefix, p->prefixes);
    BBM_TABLE_FREE(sent_count, p->counts);
    free(p);
}

static sent_count *
count_of(bbm_places *p, uint64_t holder)
{
    sent_count *c = NULL;
    HASH_FIND(hh, p->counts, &holder, sizeof(holder), c);
    if (!c) {
        c = bbm_calloc(1, sizeof(*c));
        c->holder = holder;
        HASH_ADD(hh, p->counts, holder, sizeof(holder), c);
        if (HASH_COUNT(p->counts) > HOLDERS_COUNTED) {
            sent_count *oldest = p->counts;
            HASH_DEL(p->counts, oldest);
            free(oldest);
        }
    }
    return c;
}

static prefix *
use_prefix(bbm_places *p, uint64_t key)
{
    prefix *x = NULL;
    HASH_FIND(hh, p->prefixes, &key, sizeof(key), x);
    if (x) {
        /* To the end: the longest unused are forgotten first. */
        HASH_DEL(p->prefixes, x);
    }
    else {
        x = bbm_calloc(1, sizeof(*x));
        x->key = key;
    }
    HASH_ADD(hh, p->prefixes, key, sizeof(key), x);
    if (HASH_COUNT(p->prefixes) > PREFIXES_MOST) {
        prefix *oldest = p->prefixes;
        HASH_DEL(p->prefixes, oldest);
        free(oldest);
    }
    return x;
}

/* The holder's row, or that of the one that was used longest ago. */
static bbm_holder *
row_for(prefix *x, uint64_t holder)
{
    size_t oldest = 0;
    for (size_t i = 0; i < x->len; i++) {
        if (x->holders[i].holder == holder)
            return &x->holders[i];
        if (x->holders[i].ready_at < x->holders[oldest].ready_at)
            oldest = i;
    }
    if (x->len < BBM_HOLDERS_MAX)
        oldest = x->len++;
    x->holders[oldest] = (bbm_holder){.holder = holder};
    return &x->holders[oldest];
}

/* What was there stays since when it is. */
static void
note(bbm_places *p, uint64_t key, const bbm_holder *use, bool had)
{
    bbm_holder *row = row_for(use_prefix(p, key), use->holder);
    if (!had || !row->sent_at) {
        row->sent_at = use->sent_at;
        row->ready_at = use->ready_at;
    }
    row->tokens_mark = count_of(p, use->holder)->tokens;
}

/* What is fetched yields later. */
static void
note_use(bbm_places *p, uint64_t key, uint64_t store)
{
    prefix *x = NULL;
    HASH_FIND(hh, p->prefixes, &key, sizeof(key), x);
    for (size_t i = 0; x && i < x->len; i++) {
        if (x->holders[i].holder == store)
            x->holders[i].tokens_mark = count_of(p, store)->tokens;
    }
}

void
bbm_places_add(bbm_places *p, const bbm_placement *row, bbm_time now)
{
    bbm_holder use = {
        .holder = row->holder,
        .sent_at = now,
        .ready_at = now + (bbm_time)row->ready_ms * BBM_MS,
    };
    bbm_holder kept = use;
    kept.holder = row->store;
    count_of(p, row->holder)->tokens += row->new_tokens;
    if (row->store)
        count_of(p, row->store)->tokens += row->new_tokens;
    for (uint32_t i = 0; i < row->keys_len; i++) {
        note(p, row->keys[i], &use, i < row->prefixes_held);
        if (row->store)
            note(p, row->keys[i], &kept, false);
        else if (row->source)
            note_use(p, row->keys[i], row->source);
    }
}

static const prefix *
find(const bbm_places *p, uint64_t key)
{
    prefix *x = NULL;
    HASH_FIND(hh, p->prefixes, &key, sizeof(key), x);
    return x;
}

const bbm_holder *
bbm_places_find_held(const bbm_places *p, const bbm_place_query *q)
{
    const prefix *x = find(p, q->key);
    for (size_t i = 0; x && i < x->len; i++) {
        const bbm_holder *row = &x->holders[i];
        if (row->holder != q->holder)
            continue;
        sent_count *c = NULL;
        HASH_FIND(hh, p->counts, &q->holder, sizeof(q->holder), c);
        double followed = c ? c->tokens - row->tokens_mark : 0;
        return followed <= q->capacity_tokens && row->sent_at >= q->emptied_at
                   ? row
                   : NULL;
    }
    return NULL;
}

bool
bbm_places_contains(const bbm_places *p, uint64_t key)
{
    return find(p, key) != NULL;
}

const bbm_holder *
bbm_places_holders(const bbm_places *p, uint64_t key, size_t *len)
{
    const prefix *x = find(p, key);
    *len = x ? x->len : 0;
    return x ? x->holders : NULL;
}
