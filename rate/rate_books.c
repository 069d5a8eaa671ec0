#include "rate_owner.h"

#include "bbm_codes.h"

#include <stdlib.h>
#include <string.h>

/* The books that a later owner goes on from. */

#define BOOKS_FORMAT 1
#define HOLDERS_MOST 4096
/* Tokens in the books are in thousandths. */
#define BOOKS_SCALE 1000.0

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
bbm_rate_owner_next_ledger(bbm_rate_owner *o, char customer[BBM_NAME_SIZE],
                           bbm_buf *buf)
{
    rate_account *a = o->accounts;
    while (a && !a->changed)
        a = a->hh.next;
    if (!a)
        return false;
    a->changed = false;
    bbm_name_set(customer, a->customer);
    bbm_put_u64(buf, BOOKS_FORMAT);
    put_tokens(buf, a->level);
    bbm_put_u64(buf, HASH_COUNT(a->holdings));
    for (const rate_holding *h = a->holdings; h; h = h->hh.next) {
        bbm_put_str(buf, h->node);
        bbm_put_u64(buf, h->run);
        /* Never less than what the holder may have. */
        put_tokens(buf, h->capacity + 1);
        put_tokens(buf, h->rate + 1);
    }
    return true;
}

static void
restore_holding(bbm_rate_owner *o, rate_account *a, bbm_reader *rd,
                bbm_time now)
{
    rate_report r = {0};
    bbm_get_name(rd, r.node);
    r.run = bbm_get_u64(rd);
    double capacity = get_tokens(rd);
    double rate = get_tokens(rd);
    if (rd->failed)
        return;
    rate_holding *h = rate_holding_of(o, a, &r);
    h->capacity = capacity;
    h->rate = rate;
    /* Its time to be heard begins now. */
    rate_holder_row *row = rate_holder_of(o, r.node);
    if (r.run > row->run)
        row->run = r.run;
    row->heard = now;
    row->echo = RATE_NEVER_HEARD;
}

int
bbm_rate_owner_restore(bbm_rate_owner *o, const char *customer,
                       const uint8_t *data, size_t len, bbm_time now)
{
    rate_account *a = NULL;
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
