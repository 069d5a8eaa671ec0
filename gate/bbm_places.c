#include "bbm_places.h"

#include "bbm_table.h"

#include <math.h>
#include <string.h>

/* Time constant of the smoothed rate of placements. */
#define RATE_SMOOTHING_TIME (2 * BBM_SECOND)
/* Maximum number of prefixes: as many as a large fleet uses within some
   seconds. */
#define PREFIXES_MAX 16384
/* Maximum number of holders whose tokens are counted.  Beyond it, the one that
   was added first is removed; this also removes holders that no longer
   exist. */
#define SENT_COUNTS_MAX 2048

typedef struct prefix {
    uint64_t key;
    bbm_holder holders[BBM_HOLDERS_MAX];
    size_t len;
    double placements; /* smoothed count */
    bbm_time placed_at;
    UT_hash_handle hh; /* by key, least recently used first */
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
find_or_add_count(bbm_places *p, uint64_t holder)
{
    sent_count *c = NULL;
    HASH_FIND(hh, p->counts, &holder, sizeof(holder), c);
    if (!c) {
        c = bbm_calloc(1, sizeof(*c));
        c->holder = holder;
        HASH_ADD(hh, p->counts, holder, sizeof(holder), c);
        if (HASH_COUNT(p->counts) > SENT_COUNTS_MAX) {
            sent_count *oldest = p->counts;
            HASH_DEL(p->counts, oldest);
            free(oldest);
        }
    }
    return c;
}

static prefix *
find_prefix(const bbm_places *p, uint64_t key)
{
    prefix *x = NULL;
    HASH_FIND(hh, p->prefixes, &key, sizeof(key), x);
    return x;
}

static prefix *
touch_prefix(bbm_places *p, uint64_t key)
{
    prefix *x = find_prefix(p, key);
    if (x) {
        /* The table keeps insertion order: the prefix moves to the end, and
           the least recently used one is the first. */
        HASH_DEL(p->prefixes, x);
    }
    else {
        x = bbm_calloc(1, sizeof(*x));
        x->key = key;
    }
    HASH_ADD(hh, p->prefixes, key, sizeof(key), x);
    if (HASH_COUNT(p->prefixes) > PREFIXES_MAX) {
        prefix *oldest = p->prefixes;
        HASH_DEL(p->prefixes, oldest);
        free(oldest);
    }
    return x;
}

/* Returns the record of a holder.  If it has none and all places are taken, a
   new one replaces the record with the earliest ready time. */
static bbm_holder *
find_or_add_holder(prefix *x, uint64_t holder)
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

static double
count_placements(const prefix *x, bbm_time now)
{
    return x->placements
           * exp(-(double)(now - x->placed_at) / (double)RATE_SMOOTHING_TIME);
}

double
bbm_places_rate(const bbm_places *p, uint64_t key, bbm_time now)
{
    const prefix *x = find_prefix(p, key);
    return x ? count_placements(x, now) * (double)BBM_SECOND
                   / (double)RATE_SMOOTHING_TIME
             : 0;
}

/* Records a placement of a prefix at a holder.  If the holder already had the
   prefix, its sent_at and ready_at stay. */
static void
record_holder(bbm_places *p, prefix *x, const bbm_holder *placed, bool had)
{
    bbm_holder *row = find_or_add_holder(x, placed->holder);
    if (!had || !row->sent_at) {
        row->sent_at = placed->sent_at;
        row->ready_at = placed->ready_at;
    }
    row->tokens_at_last_use = find_or_add_count(p, placed->holder)->tokens;
}

static void
count_placement(prefix *x, bbm_time now)
{
    x->placements = count_placements(x, now) + 1;
    x->placed_at = now;
}

/* Records that a prefix was fetched from a store: that counts as a use there,
   so it is evicted later. */
static void
record_fetch(bbm_places *p, prefix *x, uint64_t store)
{
    for (size_t i = 0; i < x->len; i++) {
        if (x->holders[i].holder == store)
            x->holders[i].tokens_at_last_use =
                find_or_add_count(p, store)->tokens;
    }
}

void
bbm_places_add(bbm_places *p, const bbm_placement *row, bbm_time now)
{
    bbm_holder placed = {
        .holder = row->holder,
        .sent_at = now,
        .ready_at = now + (bbm_time)row->ready_ms * BBM_MS,
    };
    bbm_holder in_store = placed;
    in_store.holder = row->store;
    find_or_add_count(p, row->holder)->tokens += row->new_tokens;
    if (row->store)
        find_or_add_count(p, row->store)->tokens += row->new_tokens;
    for (uint32_t i = 0; i < row->keys_len; i++) {
        prefix *x = touch_prefix(p, row->keys[i]);
        count_placement(x, now);
        record_holder(p, x, &placed, i < row->prefixes_held);
        if (row->store)
            record_holder(p, x, &in_store, false);
        else if (row->source)
            record_fetch(p, x, row->source);
    }
}

const bbm_holder *
bbm_places_find_held(const bbm_places *p, const bbm_place_query *q)
{
    const prefix *x = find_prefix(p, q->key);
    for (size_t i = 0; x && i < x->len; i++) {
        const bbm_holder *row = &x->holders[i];
        if (row->holder != q->holder)
            continue;
        sent_count *c = NULL;
        HASH_FIND(hh, p->counts, &q->holder, sizeof(q->holder), c);
        double sent_since = c ? c->tokens - row->tokens_at_last_use : 0;
        return sent_since <= q->capacity_tokens
                       && row->sent_at >= q->emptied_at
                   ? row
                   : NULL;
    }
    return NULL;
}

bool
bbm_places_contains(const bbm_places *p, uint64_t key)
{
    return find_prefix(p, key) != NULL;
}

const bbm_holder *
bbm_places_holders(const bbm_places *p, uint64_t key, size_t *len)
{
    const prefix *x = find_prefix(p, key);
    *len = x ? x->len : 0;
    return x ? x->holders : NULL;
}
