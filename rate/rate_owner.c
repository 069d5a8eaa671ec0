#include "rate_owner.h"

#include "bbm_codes.h"
#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

/* The lower bits of a generation count the holdings of one owner, the bits
   above contain the owner's epoch. */
#define GENERATION_BITS 32

bbm_rate_owner *
bbm_rate_owner_create(const bbm_rate_desc *desc)
{
    bbm_rate_owner *o = bbm_calloc(1, sizeof(*o));
    o->desc = *desc;
    if (!o->desc.reclaim_after)
        o->desc.reclaim_after = RATE_RECLAIM_NS;
    /* Generations of a later owner are higher. */
    o->last_generation = desc->epoch << GENERATION_BITS;
    TAILQ_INIT(&o->grants);
    return o;
}

void
bbm_rate_owner_destroy(bbm_rate_owner *o)
{
    if (!o)
        return;
    rate_account *a, *next_account;
    HASH_ITER(hh, o->accounts, a, next_account)
    {
        BBM_TABLE_FREE(rate_holding, a->holdings);
        HASH_DEL(o->accounts, a);
        free(a);
    }
    BBM_TABLE_FREE(rate_holder_row, o->holders);
    rate_queued_grant *q;
    while ((q = TAILQ_FIRST(&o->grants)) != NULL) {
        TAILQ_REMOVE(&o->grants, q, link);
        bbm_buf_free(&q->grant.bytes);
        free(q);
    }
    free(o);
}

void
bbm_rate_owner_set_customer(bbm_rate_owner *o, const char *customer,
                            double rate, double burst, bbm_time now)
{
    rate_account *a = NULL;
    HASH_FIND_STR(o->accounts, customer, a);
    if (!a) {
        a = bbm_calloc(1, sizeof(*a));
        bbm_name_set(a->customer, customer);
        a->level = burst;
        a->updated_at = now;
        HASH_ADD_STR(o->accounts, customer, a);
    }
    else {
        rate_refresh(a, now);
    }
    a->rate = rate;
    a->burst = burst;
}

bbm_rate_allocation
bbm_rate_owner_unallocated(const bbm_rate_owner *o, const char *customer)
{
    bbm_rate_allocation allocation = {0};
    rate_account *a = NULL;
    HASH_FIND_STR(o->accounts, customer, a);
    if (!a)
        return allocation;
    rate_unallocated p = rate_unallocated_of(a);
    return (bbm_rate_allocation){
        .capacity = p.capacity, .rate = p.rate, .level = a->level};
}

/* ---- reports ---- */

rate_holder_row *
rate_holder_of(bbm_rate_owner *o, const char *node)
{
    rate_holder_row *row = NULL;
    HASH_FIND_STR(o->holders, node, row);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->node, node);
        HASH_ADD_STR(o->holders, node, row);
    }
    return row;
}

rate_holding *
rate_holding_of(bbm_rate_owner *o, rate_account *a, const rate_report *r)
{
    rate_holding *h = NULL;
    HASH_FIND_STR(a->holdings, r->node, h);
    if (!h) {
        h = bbm_calloc(1, sizeof(*h));
        bbm_name_set(h->node, r->node);
        h->run = r->run;
        h->generation = ++o->last_generation;
        HASH_ADD_STR(a->holdings, node, h);
    }
    return h;
}

static void
apply_report_row(bbm_rate_owner *o, rate_account *a, const rate_report *r,
                 const rate_report_row *row, bbm_time now)
{
    rate_refresh(a, now);
    rate_holding *h = rate_holding_of(o, a, r);
    /* Grants of another generation don't confirm this one's. */
    h->confirmed_seq = row->generation == h->generation ? row->seq : 0;
    bool settled = h->confirmed_seq == h->seq;
    if (settled || row->capacity > h->capacity)
        h->capacity = row->capacity;
    if (settled || row->rate > h->rate)
        h->rate = row->rate;
    if (h->returned_known && row->returned_total > h->returned_total)
        a->level += row->returned_total - h->returned_total;
    h->returned_total = row->returned_total;
    h->returned_known = true;
    h->level = row->level;
    h->demand = row->demand;
    h->shortfall = row->shortfall;
    rate_refresh(a, now);
}

static bool
is_listed(const rate_report *r, const char *customer)
{
    for (size_t i = 0; i < r->len; i++) {
        if (strcmp(r->rows[i].customer, customer) == 0)
            return true;
    }
    return false;
}

/* Drop the reporting VM's holdings that the report does not list, and those of
   its earlier runs.  The holder may still apply a grant in flight: such a
   holding stays until a new grant in @p rows, which replaces that one, has
   been confirmed.  Returns the number of rows. */
static size_t
drop_unlisted(bbm_rate_owner *o, const rate_report *r, rate_grant_row *rows)
{
    size_t len = 0;
    for (rate_account *a = o->accounts; a; a = a->hh.next) {
        rate_holding *h = NULL;
        HASH_FIND_STR(a->holdings, r->node, h);
        bool listed = h && is_listed(r, a->customer);
        if (!h || (listed && h->run == r->run))
            continue;
        if (h->run != r->run || h->confirmed_seq == h->seq) {
            HASH_DEL(a->holdings, h);
            free(h);
            continue;
        }
        h->demand = 0;
        h->shortfall = 0;
        if (rate_update_holding(a, h, &rows[len]))
            len++;
    }
    return len;
}

/* False if the report is older than one already received. */
static bool
record_report(bbm_rate_owner *o, const rate_report *r, bbm_time now)
{
    rate_holder_row *row = rate_holder_of(o, r->node);
    bool earlier_run = row->run > r->run;
    bool earlier_report = row->run == r->run && r->sent_at < row->holder_clock;
    if (earlier_run || earlier_report)
        return false;
    row->run = r->run;
    row->last_report_at = now;
    row->holder_clock = r->sent_at;
    return true;
}

int
bbm_rate_owner_apply_report(bbm_rate_owner *o, const uint8_t *data, size_t len,
                            bbm_time now)
{
    rate_report r;
    int rc = rate_report_decode(data, len, &r);
    if (rc < 0)
        return rc;
    bool is_current = r.epoch == o->desc.epoch && record_report(o, &r, now);
    if (!is_current) {
        free(r.rows);
        return BBM_OK;
    }
    size_t rows_max = r.len + HASH_COUNT(o->accounts);
    rate_grant_row *rows = bbm_calloc(rows_max, sizeof(*rows));
    size_t rows_len = drop_unlisted(o, &r, rows);
    for (size_t i = 0; i < r.len; i++) {
        rate_account *a = NULL;
        HASH_FIND_STR(o->accounts, r.rows[i].customer, a);
        if (!a)
            continue;
        apply_report_row(o, a, &r, &r.rows[i], now);
        rate_holding *h = rate_holding_of(o, a, &r);
        if (rate_update_holding(a, h, &rows[rows_len]))
            rows_len++;
    }
    rate_queue_grant(o, r.node, rows, rows_len);
    free(rows);
    for (size_t i = 0; i < r.len; i++) {
        rate_account *a = NULL;
        HASH_FIND_STR(o->accounts, r.rows[i].customer, a);
        if (a && rate_has_shortfall(a))
            rate_cover_shortfalls(o, a);
    }
    free(r.rows);
    return BBM_OK;
}

/* By its own clock, the lease of a holder that has not reported for
   `reclaim_after` has ended and its streams are aborted. */
void
bbm_rate_owner_tick(bbm_rate_owner *o, bbm_time now)
{
    rate_holder_row *r, *next;
    HASH_ITER(hh, o->holders, r, next)
    {
        if (now - r->last_report_at < o->desc.reclaim_after)
            continue;
        for (rate_account *a = o->accounts; a; a = a->hh.next) {
            rate_holding *h = NULL;
            HASH_FIND_STR(a->holdings, r->node, h);
            if (!h)
                continue;
            rate_refresh(a, now);
            HASH_DEL(a->holdings, h);
            free(h);
        }
        HASH_DEL(o->holders, r);
        free(r);
    }
}
