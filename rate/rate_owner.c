#include "bbm_codes.h"
#include "rate_message.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

/* Shares of burst and rate that are dealt out by demand; the rest stays in
   the pool for who is short. */
#define DEAL_CAPACITY 0.7
#define DEAL_RATE 0.9
/* A smaller change than this share of the whole is not worth a message. */
#define CHANGE_LEAST 0.02
/* Of a holder's level so much is asked for at once, from so many. */
#define PULL_SHARE 0.5
#define PULLS_MOST 3
/* Fewer tokens aren't worth asking for. */
#define PULL_LEAST 10.0
/* A grant that isn't confirmed is sent again after this. */
#define RESEND (60 * BBM_MS)
/* Holdings that one owner may begin. */
#define LIFE_BITS 32
#define BOOKS_FORMAT 1
/* Echo of a holder that is known from the books alone. */
#define NEVER_HEARD INT64_MIN
#define HOLDERS_MOST 4096
/* Tokens in the books are in thousandths. */
#define BOOKS_SCALE 1000.0

typedef struct holding {
    char node[BBM_NAME_SIZE];
    uint64_t run;
    uint64_t life;   /* unique under this owner */
    uint64_t seq;    /* last grant sent */
    uint64_t taken;  /* last grant confirmed */
    double capacity; /* most that it may hold */
    double rate;     /* most that it may refill by */
    double returned; /* running total, as last told */
    bool returned_known;
    double level; /* as last told */
    double demand;
    double want;
    double added;  /* given in this life, in all */
    double asked;  /* asked back in this life, in all */
    bbm_time sent; /* when the last grant was */
    UT_hash_handle hh;
} holding;

typedef struct account {
    char customer[BBM_NAME_SIZE];
    double rate;
    double burst;
    double level; /* of the pool */
    bool changed; /* since the books were asked for */
    bbm_time at;
    holding *holdings;
    UT_hash_handle hh;
} account;

typedef struct holder_row {
    char node[BBM_NAME_SIZE];
    uint64_t run;
    bbm_time heard;
    bbm_time echo;
    UT_hash_handle hh;
} holder_row;

typedef struct queued_grant {
    bbm_rate_grant grant;
    TAILQ_ENTRY(queued_grant) link;
} queued_grant;

struct bbm_rate_owner {
    bbm_rate_desc desc;
    account *accounts;
    holder_row *holders;
    uint64_t lives;
    TAILQ_HEAD(, queued_grant) grants;
};

bbm_rate_owner *
bbm_rate_owner_create(const bbm_rate_desc *desc)
{
    bbm_rate_owner *o = bbm_calloc(1, sizeof(*o));
    o->desc = *desc;
    if (!o->desc.reclaim)
        o->desc.reclaim = RATE_RECLAIM;
    /* Lives of a later owner are later. */
    o->lives = desc->epoch << LIFE_BITS;
    TAILQ_INIT(&o->grants);
    return o;
}

static void
free_holdings(account *a)
{
    holding *h, *next;
    HASH_ITER(hh, a->holdings, h, next)
    {
        HASH_DEL(a->holdings, h);
        free(h);
    }
}

void
bbm_rate_owner_destroy(bbm_rate_owner *o)
{
    if (!o)
        return;
    account *a, *next_account;
    HASH_ITER(hh, o->accounts, a, next_account)
    {
        free_holdings(a);
        HASH_DEL(o->accounts, a);
        free(a);
    }
    holder_row *r, *next_row;
    HASH_ITER(hh, o->holders, r, next_row)
    {
        HASH_DEL(o->holders, r);
        free(r);
    }
    queued_grant *q;
    while ((q = TAILQ_FIRST(&o->grants)) != NULL) {
        TAILQ_REMOVE(&o->grants, q, link);
        bbm_buf_free(&q->grant.bytes);
        free(q);
    }
    free(o);
}

/* ---- pools ---- */

static void
sum_parts(const account *a, double *capacity, double *rate, double *demand)
{
    *capacity = 0;
    *rate = 0;
    *demand = 0;
    for (const holding *h = a->holdings; h; h = h->hh.next) {
        *capacity += h->capacity;
        *rate += h->rate;
        *demand += h->demand;
    }
}

/* Capacity and rate that no holder has. */
static void
pool_of(const account *a, double *capacity, double *rate)
{
    double held_capacity;
    double held_rate;
    double demand;
    sum_parts(a, &held_capacity, &held_rate, &demand);
    *capacity = a->burst - held_capacity;
    *rate = a->rate - held_rate;
    if (*capacity < 0)
        *capacity = 0;
    if (*rate < 0)
        *rate = 0;
}

static void
refresh(account *a, bbm_time now)
{
    double capacity;
    double rate;
    pool_of(a, &capacity, &rate);
    if (now > a->at) {
        a->level += rate * (double)(now - a->at) / (double)BBM_SECOND;
        a->at = now;
    }
    if (a->level > capacity)
        a->level = capacity;
}

void
bbm_rate_owner_customer(bbm_rate_owner *o, const char *customer, double rate,
                        double burst, bbm_time now)
{
    account *a = NULL;
    HASH_FIND_STR(o->accounts, customer, a);
    if (!a) {
        a = bbm_calloc(1, sizeof(*a));
        bbm_name_set(a->customer, customer);
        a->level = burst;
        a->at = now;
        HASH_ADD_STR(o->accounts, customer, a);
    }
    else {
        refresh(a, now);
    }
    a->rate = rate;
    a->burst = burst;
}

bbm_rate_part
bbm_rate_owner_pool(const bbm_rate_owner *o, const char *customer)
{
    bbm_rate_part part = {0};
    account *a = NULL;
    HASH_FIND_STR(o->accounts, customer, a);
    if (!a)
        return part;
    pool_of(a, &part.capacity, &part.rate);
    part.level = a->level;
    return part;
}

/* ---- dealing ---- */

static double
at_most(double a, double b)
{
    return a < b ? a : b;
}

/* A pool and the demand on it, before a deal. */
typedef struct pool_view {
    double capacity;
    double rate;
    double demand;
} pool_view;

static pool_view
view_pool(const account *a)
{
    pool_view v;
    double capacity;
    double rate;
    pool_of(a, &v.capacity, &v.rate);
    sum_parts(a, &capacity, &rate, &v.demand);
    return v;
}

/* Capacity that a holding should have, and tokens that go with it.  Growth
   takes its share of the pool's tokens; who is short gets more of both. */
static double
deal_capacity(const account *a, const holding *h, const pool_view *v,
              double *add)
{
    double share = v->demand > 0 ? h->demand / v->demand : 0;
    double goal = a->burst * DEAL_CAPACITY * share;
    double capacity = at_most(goal, h->capacity + v->capacity);
    double grown = capacity - h->capacity;
    *add = grown > 0 && v->capacity > 0 ? a->level * grown / v->capacity : 0;
    if (h->want <= 0)
        return capacity;
    if (grown < 0) {
        capacity = h->capacity;
        grown = 0;
    }
    /* Room as well as tokens: what runs there may fill its capacity. */
    double room = at_most(h->want, v->capacity - grown);
    if (room <= 0)
        return capacity;
    double more = at_most(h->want - *add, a->level - *add);
    if (more > 0)
        *add += at_most(more, room);
    return capacity + room;
}

static bool
is_small(double change, double whole)
{
    return change < whole * CHANGE_LEAST && change > -whole * CHANGE_LEAST;
}

/* A grant has totals, so that a later one makes good for one that is lost or
   late. */
static void
fill_row(const account *a, holding *h, double capacity, double rate,
         rate_grant_row *row)
{
    *row = (rate_grant_row){
        .life = h->life,
        .seq = ++h->seq,
        .capacity = capacity,
        .rate = rate,
        .add = h->added,
        .take = h->asked,
    };
    bbm_name_set(row->customer, a->customer);
    h->sent = a->at;
}

/* What a holding should be.  A cut counts only when it is confirmed; growth
   is limited to what the pool has. */
/* A grant that is on its way is waited for: with a newer one always under way
   no cut would ever be confirmed. */
static bool
is_awaited(const account *a, const holding *h)
{
    return h->taken != h->seq && a->at - h->sent < RESEND;
}

static bool
make_deal(account *a, holding *h, rate_grant_row *row)
{
    if (is_awaited(a, h))
        return false;
    pool_view v = view_pool(a);
    double add;
    double capacity = deal_capacity(a, h, &v, &add);
    double share = v.demand > 0 ? h->demand / v.demand : 0;
    double rate = at_most(a->rate * DEAL_RATE * share, h->rate + v.rate);
    bool small = is_small(capacity - h->capacity, a->burst)
                 && is_small(rate - h->rate, a->rate);
    bool pending = h->taken != h->seq;
    bool idle = h->demand <= 0 && (h->capacity > 0 || h->rate > 0);
    if (small && !pending && !idle && add <= 0)
        return false;
    a->changed = true;
    h->added += add;
    fill_row(a, h, capacity, rate, row);
    if (capacity > h->capacity)
        h->capacity = capacity;
    if (rate > h->rate)
        h->rate = rate;
    a->level -= add;
    h->level += add;
    h->want = add >= h->want ? 0 : h->want - add;
    return true;
}

/* Ask a holder for tokens that another one is short of. */
static double
make_pull(account *a, holding *h, double short_of, rate_grant_row *row)
{
    double take = at_most(h->level * PULL_SHARE, short_of);
    a->changed = true;
    h->asked += take;
    fill_row(a, h, h->capacity > take ? h->capacity - take : 0, h->rate, row);
    h->level -= take;
    return take;
}

static void
send_grant(bbm_rate_owner *o, const char *node, rate_grant_row *rows,
           size_t len)
{
    holder_row *r = NULL;
    HASH_FIND_STR(o->holders, node, r);
    if (!r || r->echo == NEVER_HEARD)
        return;
    rate_grant g = {
        .epoch = o->desc.epoch,
        .run = r->run,
        .echo = r->echo,
        .rows = rows,
        .len = len,
    };
    queued_grant *q = bbm_calloc(1, sizeof(*q));
    bbm_name_set(q->grant.node, node);
    q->grant.changes = len > 0;
    rate_grant_encode(&g, &q->grant.bytes);
    TAILQ_INSERT_TAIL(&o->grants, q, link);
}

bool
bbm_rate_owner_take(bbm_rate_owner *o, bbm_rate_grant *grant)
{
    queued_grant *q = TAILQ_FIRST(&o->grants);
    if (!q)
        return false;
    TAILQ_REMOVE(&o->grants, q, link);
    *grant = q->grant;
    free(q);
    return true;
}

static double
still_short(const account *a)
{
    double want = 0;
    for (const holding *h = a->holdings; h; h = h->hh.next)
        want += h->want;
    return want - a->level;
}

static bool
is_wanted(const account *a)
{
    for (const holding *h = a->holdings; h; h = h->hh.next) {
        if (h->want > 0)
            return true;
    }
    return false;
}

static holding *
richest(const account *a)
{
    holding *best = NULL;
    for (holding *h = a->holdings; h; h = h->hh.next) {
        if (h->want <= 0 && !is_awaited(a, h)
            && (!best || h->level > best->level))
            best = h;
    }
    return best;
}

/* Who waits is served from the pool; if that isn't enough, those who have
   most are asked for some. */
static void
serve_waiting(bbm_rate_owner *o, account *a)
{
    rate_grant_row row;
    for (holding *h = a->holdings; h; h = h->hh.next) {
        if (h->want > 0 && make_deal(a, h, &row))
            send_grant(o, h->node, &row, 1);
    }
    double short_of = still_short(a);
    for (int i = 0; i < PULLS_MOST && short_of > 0; i++) {
        holding *h = richest(a);
        if (!h || h->level < PULL_LEAST)
            return;
        short_of -= make_pull(a, h, short_of, &row);
        send_grant(o, h->node, &row, 1);
    }
}

/* ---- reports ---- */

static holding *
holding_of(bbm_rate_owner *o, account *a, const rate_report *r)
{
    holding *h = NULL;
    HASH_FIND_STR(a->holdings, r->node, h);
    if (!h) {
        h = bbm_calloc(1, sizeof(*h));
        bbm_name_set(h->node, r->node);
        h->run = r->run;
        h->life = ++o->lives;
        HASH_ADD_STR(a->holdings, node, h);
    }
    return h;
}

static void
take_report_row(bbm_rate_owner *o, account *a, const rate_report *r,
                const rate_report_row *row, bbm_time now)
{
    refresh(a, now);
    holding *h = holding_of(o, a, r);
    /* Grants of another life are not ours to count. */
    h->taken = row->life == h->life ? row->seq : 0;
    bool settled = h->taken == h->seq;
    if (settled || row->capacity > h->capacity)
        h->capacity = row->capacity;
    if (settled || row->rate > h->rate)
        h->rate = row->rate;
    if (h->returned_known && row->returned > h->returned)
        a->level += row->returned - h->returned;
    h->returned = row->returned;
    h->returned_known = true;
    h->level = row->level;
    h->demand = row->demand;
    h->want = row->want;
    refresh(a, now);
}

static bool
is_named(const rate_report *r, const char *customer)
{
    for (size_t i = 0; i < r->len; i++) {
        if (strcmp(r->rows[i].customer, customer) == 0)
            return true;
    }
    return false;
}

/* A part that the report doesn't name is no longer held.  If a grant is
   under way it may be held again: that one is replaced by a new grant, whose
   taking the holder must confirm. */
static size_t
drop_unnamed(bbm_rate_owner *o, const rate_report *r, rate_grant_row *rows)
{
    size_t len = 0;
    for (account *a = o->accounts; a; a = a->hh.next) {
        holding *h = NULL;
        HASH_FIND_STR(a->holdings, r->node, h);
        bool named = h && is_named(r, a->customer);
        if (!h || (named && h->run == r->run))
            continue;
        if (h->run != r->run || h->taken == h->seq) {
            HASH_DEL(a->holdings, h);
            free(h);
            continue;
        }
        h->demand = 0;
        h->want = 0;
        if (make_deal(a, h, &rows[len]))
            len++;
    }
    return len;
}

/* False if the report is older than one that was taken already. */
static bool
hear_holder(bbm_rate_owner *o, const rate_report *r, bbm_time now)
{
    holder_row *row = NULL;
    HASH_FIND_STR(o->holders, r->node, row);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->node, r->node);
        row->run = r->run;
        HASH_ADD_STR(o->holders, node, row);
    }
    bool earlier_run = row->run > r->run;
    bool earlier_report = row->run == r->run && r->sent < row->echo;
    if (earlier_run || earlier_report)
        return false;
    row->run = r->run;
    row->heard = now;
    row->echo = r->sent;
    return true;
}

int
bbm_rate_owner_report(bbm_rate_owner *o, const uint8_t *data, size_t len,
                      bbm_time now)
{
    rate_report r;
    int rc = rate_report_decode(data, len, &r);
    if (rc < 0)
        return rc;
    bool ours = r.epoch == o->desc.epoch && hear_holder(o, &r, now);
    if (!ours) {
        free(r.rows);
        return BBM_OK;
    }
    size_t most = r.len + HASH_COUNT(o->accounts);
    rate_grant_row *rows = bbm_calloc(most, sizeof(*rows));
    size_t rows_len = drop_unnamed(o, &r, rows);
    for (size_t i = 0; i < r.len; i++) {
        account *a = NULL;
        HASH_FIND_STR(o->accounts, r.rows[i].customer, a);
        if (!a)
            continue;
        take_report_row(o, a, &r, &r.rows[i], now);
        holding *h = holding_of(o, a, &r);
        if (make_deal(a, h, &rows[rows_len]))
            rows_len++;
    }
    send_grant(o, r.node, rows, rows_len);
    free(rows);
    for (size_t i = 0; i < r.len; i++) {
        account *a = NULL;
        HASH_FIND_STR(o->accounts, r.rows[i].customer, a);
        if (a && is_wanted(a))
            serve_waiting(o, a);
    }
    free(r.rows);
    return BBM_OK;
}

/* Holders not heard for the reclaim time have stopped by their own clocks. */
void
bbm_rate_owner_tick(bbm_rate_owner *o, bbm_time now)
{
    holder_row *r, *next;
    HASH_ITER(hh, o->holders, r, next)
    {
        if (now - r->heard < o->desc.reclaim)
            continue;
        for (account *a = o->accounts; a; a = a->hh.next) {
            holding *h = NULL;
            HASH_FIND_STR(a->holdings, r->node, h);
            if (!h)
                continue;
            refresh(a, now);
            HASH_DEL(a->holdings, h);
            free(h);
        }
        HASH_DEL(o->holders, r);
        free(r);
    }
}

/* ---- books ---- */

static void
put_tokens(bbm_buf *buf, double tokens)
{
    bbm_put_u64(buf, tokens > 0 ? (uint64_t)(tokens * BOOKS_SCALE) : 0);
}

static double
get_tokens(bbm_reader *rd)
{
    return (double)bbm_get_u64(rd) / BOOKS_SCALE;
}

bool
bbm_rate_owner_books(bbm_rate_owner *o, char customer[BBM_NAME_SIZE],
                     bbm_buf *buf)
{
    account *a = o->accounts;
    while (a && !a->changed)
        a = a->hh.next;
    if (!a)
        return false;
    a->changed = false;
    bbm_name_set(customer, a->customer);
    bbm_put_u64(buf, BOOKS_FORMAT);
    put_tokens(buf, a->level);
    bbm_put_u64(buf, HASH_COUNT(a->holdings));
    for (const holding *h = a->holdings; h; h = h->hh.next) {
        bbm_put_str(buf, h->node);
        bbm_put_u64(buf, h->run);
        /* Never less than what the holder may have. */
        put_tokens(buf, h->capacity + 1);
        put_tokens(buf, h->rate + 1);
    }
    return true;
}

static void
restore_holding(bbm_rate_owner *o, account *a, bbm_reader *rd, bbm_time now)
{
    rate_report r = {0};
    bbm_get_name(rd, r.node);
    r.run = bbm_get_u64(rd);
    double capacity = get_tokens(rd);
    double rate = get_tokens(rd);
    if (rd->failed)
        return;
    holding *h = holding_of(o, a, &r);
    h->capacity = capacity;
    h->rate = rate;
    /* Its time to be heard begins now. */
    holder_row *row = NULL;
    HASH_FIND_STR(o->holders, r.node, row);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->node, r.node);
        HASH_ADD_STR(o->holders, node, row);
    }
    if (r.run > row->run)
        row->run = r.run;
    row->heard = now;
    row->echo = NEVER_HEARD;
}

int
bbm_rate_owner_restore(bbm_rate_owner *o, const char *customer,
                       const uint8_t *data, size_t len, bbm_time now)
{
    account *a = NULL;
    HASH_FIND_STR(o->accounts, customer, a);
    if (!a)
        return BBM_OK;
    bbm_reader rd = bbm_reader_of(data, len);
    bool known = bbm_get_u64(&rd) == BOOKS_FORMAT;
    double level = get_tokens(&rd);
    size_t count = bbm_get_u32(&rd, HOLDERS_MOST);
    for (size_t i = 0; i < count && known && !rd.failed; i++)
        restore_holding(o, a, &rd, now);
    if (!known || !bbm_reader_done(&rd))
        return BBM_ERR_DECODE;
    a->level = level;
    a->at = now;
    return BBM_OK;
}
