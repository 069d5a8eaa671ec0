#include "bbm_origins.h"

#include "bbm_hash.h"

#include <stdlib.h>
#include <sys/queue.h>
#include <uthash.h>

/* The hash of the pool is in the upper half of an origin. */
#define POOL_SHIFT 32

typedef struct origin_entry {
    uint64_t stream;
    uint64_t origin;
    int64_t until_ms;
    TAILQ_ENTRY(origin_entry) link; /* oldest first */
    UT_hash_handle hh;
} origin_entry;

/* Number of streams that began at an origin. */
typedef struct origin_count {
    uint64_t origin;
    size_t streams;
    UT_hash_handle hh;
} origin_count;

/* Rows whose life has ended are removed with this period. */
#define EXPIRE_PERIOD_MS 1000

struct bbm_origins {
    size_t rows_max;
    int64_t expired_ms; /* last removal of these */
    origin_count *counts;
    origin_entry *entries;
    TAILQ_HEAD(, origin_entry) by_age;
};

uint64_t
bbm_origin_of(const char *pool, const char *build)
{
    uint64_t origin = (bbm_hash_text(pool, 0) << POOL_SHIFT)
                      | (uint32_t)bbm_hash_text(build, 0);
    return origin ? origin : 1;
}

bbm_origins *
bbm_origins_create(size_t rows_max)
{
    bbm_origins *o = bbm_calloc(1, sizeof(*o));
    o->rows_max = rows_max;
    TAILQ_INIT(&o->by_age);
    return o;
}

static void
count_origin(bbm_origins *o, uint64_t origin)
{
    origin_count *c = NULL;
    HASH_FIND(hh, o->counts, &origin, sizeof(origin), c);
    if (!c) {
        c = bbm_calloc(1, sizeof(*c));
        c->origin = origin;
        HASH_ADD(hh, o->counts, origin, sizeof(c->origin), c);
    }
    c->streams++;
}

static void
discount_origin(bbm_origins *o, uint64_t origin)
{
    origin_count *c = NULL;
    HASH_FIND(hh, o->counts, &origin, sizeof(origin), c);
    if (--c->streams)
        return;
    HASH_DEL(o->counts, c);
    free(c);
}

static void
remove_entry(bbm_origins *o, origin_entry *e)
{
    discount_origin(o, e->origin);
    HASH_DEL(o->entries, e);
    TAILQ_REMOVE(&o->by_age, e, link);
    free(e);
}

void
bbm_origins_destroy(bbm_origins *o)
{
    if (!o)
        return;
    origin_entry *e;
    while ((e = TAILQ_FIRST(&o->by_age)) != NULL)
        remove_entry(o, e);
    free(o);
}

static origin_entry *
find_entry(const bbm_origins *o, uint64_t stream)
{
    origin_entry *e = NULL;
    HASH_FIND(hh, o->entries, &stream, sizeof(stream), e);
    return e;
}

static void
add_entry(bbm_origins *o, uint64_t stream, uint64_t origin, int64_t until_ms)
{
    if (HASH_COUNT(o->entries) >= o->rows_max)
        remove_entry(o, TAILQ_FIRST(&o->by_age));
    origin_entry *e = bbm_calloc(1, sizeof(*e));
    e->stream = stream;
    e->origin = origin;
    e->until_ms = until_ms;
    count_origin(o, origin);
    HASH_ADD(hh, o->entries, stream, sizeof(e->stream), e);
    TAILQ_INSERT_TAIL(&o->by_age, e, link);
}

void
bbm_origins_expire(bbm_origins *o, int64_t now_ms)
{
    origin_entry *e, *next;
    if (now_ms - o->expired_ms < EXPIRE_PERIOD_MS)
        return;
    o->expired_ms = now_ms;
    for (e = TAILQ_FIRST(&o->by_age); e; e = next) {
        next = TAILQ_NEXT(e, link);
        if (now_ms >= e->until_ms)
            remove_entry(o, e);
    }
}

void
bbm_origins_add(bbm_origins *o, const bbm_origin_row *row, int64_t now_ms)
{
    int64_t life = row->life_ms < BBM_ORIGIN_LIFE_MAX_MS
                       ? row->life_ms
                       : BBM_ORIGIN_LIFE_MAX_MS;
    bbm_origins_expire(o, now_ms);
    origin_entry *known = find_entry(o, row->stream);
    if (known && now_ms < known->until_ms)
        return;
    if (known)
        remove_entry(o, known);
    add_entry(o, row->stream, row->origin, now_ms + life);
}

uint64_t
bbm_origins_find(const bbm_origins *o, uint64_t stream, int64_t now_ms)
{
    const origin_entry *e = find_entry(o, stream);
    return e && now_ms < e->until_ms ? e->origin : 0;
}

bool
bbm_origins_is_sole(const bbm_origins *o, uint64_t origin)
{
    for (const origin_count *c = o->counts; c; c = c->hh.next) {
        if (c->origin != origin
            && c->origin >> POOL_SHIFT == origin >> POOL_SHIFT)
            return false;
    }
    return true;
}

size_t
bbm_origins_len(const bbm_origins *o)
{
    return HASH_COUNT(o->entries);
}

/* ---- encoding ---- */

void
bbm_origin_row_put(bbm_buf *buf, const bbm_origin_row *row)
{
    bbm_put_u64(buf, row->stream);
    bbm_put_u64(buf, row->origin);
    bbm_put_i64(buf, row->life_ms);
}

void
bbm_origin_row_get(bbm_reader *rd, bbm_origin_row *row)
{
    row->stream = bbm_get_u64(rd);
    row->origin = bbm_get_u64(rd);
    row->life_ms = bbm_get_i64(rd);
    rd->failed = rd->failed || !row->stream || !row->origin;
}

void
bbm_origins_encode(const bbm_origins *o, bbm_buf *buf)
{
    bbm_put_u64(buf, HASH_COUNT(o->entries));
    const origin_entry *e;
    TAILQ_FOREACH(e, &o->by_age, link)
    {
        bbm_put_u64(buf, e->stream);
        bbm_put_u64(buf, e->origin);
        bbm_put_i64(buf, e->until_ms);
    }
}

bool
bbm_origins_decode(bbm_origins *o, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, UINT32_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        uint64_t stream = bbm_get_u64(rd);
        uint64_t origin = bbm_get_u64(rd);
        int64_t until_ms = bbm_get_i64(rd);
        if (!rd->failed && !find_entry(o, stream))
            add_entry(o, stream, origin, until_ms);
    }
    return !rd->failed;
}
