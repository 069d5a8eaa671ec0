#include "rate_owner.h"

#include "bbm_codes.h"

#include <stdlib.h>
#include <string.h>

/* Encoding of the ledger from which a later owner continues. */

#define LEDGER_FORMAT 1
/* Limit of the holdings in the ledger of one customer. */
#define HOLDERS_MAX 4096
/* Amounts are stored in thousandths of a token. */
#define LEDGER_UNITS_PER_TOKEN 1000.0

static void
put_tokens(bbm_buf *buf, double tokens)
{
    bbm_put_u64(buf,
                tokens > 0 ? (uint64_t)(tokens * LEDGER_UNITS_PER_TOKEN) : 0);
}

static double
get_tokens(bbm_reader *rd)
{
    return (double)bbm_get_u64(rd) / LEDGER_UNITS_PER_TOKEN;
}

bool
bbm_rate_owner_next_ledger(bbm_rate_owner *o, char customer[BBM_NAME_SIZE],
                           bbm_buf *buf)
{
    rate_account *a = o->accounts;
    while (a && !a->ledger_changed)
        a = a->hh.next;
    if (!a)
        return false;
    a->ledger_changed = false;
    bbm_name_set(customer, a->customer);
    bbm_put_u64(buf, LEDGER_FORMAT);
    put_tokens(buf, a->level);
    bbm_put_u64(buf, HASH_COUNT(a->holdings));
    for (const rate_holding *h = a->holdings; h; h = h->hh.next) {
        bbm_put_str(buf, h->node);
        bbm_put_u64(buf, h->run);
        /* One token more than counted, so that rounding never stores less
           than what the holder may have. */
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
    /* It is reclaimed `reclaim_after` from now, unless the holder reports. */
    rate_holder_row *row = rate_holder_of(o, r.node);
    if (r.run > row->run)
        row->run = r.run;
    row->last_report_at = now;
    row->holder_clock = RATE_CLOCK_UNKNOWN;
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
    bool format_ok = bbm_get_u64(&rd) == LEDGER_FORMAT;
    double level = get_tokens(&rd);
    size_t count = bbm_get_u32(&rd, HOLDERS_MAX);
    for (size_t i = 0; i < count && format_ok && !rd.failed; i++)
        restore_holding(o, a, &rd, now);
    if (!format_ok || !bbm_reader_done(&rd))
        return BBM_ERR_DECODE;
    a->level = level;
    a->updated_at = now;
    return BBM_OK;
}
