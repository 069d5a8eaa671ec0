#include "rate_message.h"

#include "bbm_codes.h"

#include <math.h>
#include <stdlib.h>

#define MESSAGE_FORMAT 1
/* Amounts are encoded in thousandths of a token. */
#define UNITS_PER_TOKEN 1000.0
/* A larger amount makes a message invalid. */
#define AMOUNT_MAX_TOKENS 1e15

/* Rounds to the safe side, which the caller chooses: up for what a holder has,
   down for what it is granted. */
static void
put_amount(bbm_buf *buf, double amount, bool round_up)
{
    double scaled = amount * UNITS_PER_TOKEN;
    bbm_put_u64(buf, (uint64_t)(round_up ? ceil(scaled) : floor(scaled)));
}

static double
get_amount(bbm_reader *rd)
{
    double amount = (double)bbm_get_u64(rd) / UNITS_PER_TOKEN;
    if (amount > AMOUNT_MAX_TOKENS)
        rd->failed = true;
    return amount;
}

void
rate_report_encode(const rate_report *r, bbm_buf *buf)
{
    bbm_put_u64(buf, MESSAGE_FORMAT);
    bbm_put_u64(buf, r->epoch);
    bbm_put_str(buf, r->node);
    bbm_put_u64(buf, r->run);
    bbm_put_i64(buf, r->sent_at);
    bbm_put_u64(buf, r->len);
    for (size_t i = 0; i < r->len; i++) {
        const rate_report_row *row = &r->rows[i];
        bbm_put_str(buf, row->customer);
        bbm_put_u64(buf, row->generation);
        bbm_put_u64(buf, row->seq);
        put_amount(buf, row->capacity, true);
        put_amount(buf, row->rate, true);
        put_amount(buf, row->returned_total, false);
        put_amount(buf, row->level, false);
        put_amount(buf, row->demand, false);
        put_amount(buf, row->shortfall, true);
    }
}

int
rate_report_decode(const uint8_t *data, size_t len, rate_report *r)
{
    *r = (rate_report){0};
    bbm_reader rd = bbm_reader_of(data, len);
    bool format_ok = bbm_get_u64(&rd) == MESSAGE_FORMAT;
    r->epoch = bbm_get_u64(&rd);
    bbm_get_name(&rd, r->node);
    r->run = bbm_get_u64(&rd);
    r->sent_at = bbm_get_i64(&rd);
    r->len = bbm_get_u32(&rd, RATE_ROWS_MAX);
    if (!format_ok || rd.failed)
        return BBM_ERR_DECODE;
    r->rows = bbm_calloc(r->len, sizeof(*r->rows));
    for (size_t i = 0; i < r->len && !rd.failed; i++) {
        rate_report_row *row = &r->rows[i];
        bbm_get_name(&rd, row->customer);
        row->generation = bbm_get_u64(&rd);
        row->seq = bbm_get_u64(&rd);
        row->capacity = get_amount(&rd);
        row->rate = get_amount(&rd);
        row->returned_total = get_amount(&rd);
        row->level = get_amount(&rd);
        row->demand = get_amount(&rd);
        row->shortfall = get_amount(&rd);
    }
    if (bbm_reader_done(&rd))
        return BBM_OK;
    free(r->rows);
    r->rows = NULL;
    return BBM_ERR_DECODE;
}

void
rate_grant_encode(const rate_grant *g, bbm_buf *buf)
{
    bbm_put_u64(buf, MESSAGE_FORMAT);
    bbm_put_u64(buf, g->epoch);
    bbm_put_u64(buf, g->run);
    bbm_put_i64(buf, g->holder_clock);
    bbm_put_u64(buf, g->len);
    for (size_t i = 0; i < g->len; i++) {
        const rate_grant_row *row = &g->rows[i];
        bbm_put_str(buf, row->customer);
        bbm_put_u64(buf, row->generation);
        bbm_put_u64(buf, row->seq);
        put_amount(buf, row->capacity, false);
        put_amount(buf, row->rate, false);
        put_amount(buf, row->granted_total, false);
        put_amount(buf, row->recalled_total, false);
    }
}

int
rate_grant_decode(const uint8_t *data, size_t len, rate_grant *g)
{
    *g = (rate_grant){0};
    bbm_reader rd = bbm_reader_of(data, len);
    bool format_ok = bbm_get_u64(&rd) == MESSAGE_FORMAT;
    g->epoch = bbm_get_u64(&rd);
    g->run = bbm_get_u64(&rd);
    g->holder_clock = bbm_get_i64(&rd);
    g->len = bbm_get_u32(&rd, RATE_ROWS_MAX);
    if (!format_ok || rd.failed)
        return BBM_ERR_DECODE;
    g->rows = bbm_calloc(g->len, sizeof(*g->rows));
    for (size_t i = 0; i < g->len && !rd.failed; i++) {
        rate_grant_row *row = &g->rows[i];
        bbm_get_name(&rd, row->customer);
        row->generation = bbm_get_u64(&rd);
        row->seq = bbm_get_u64(&rd);
        row->capacity = get_amount(&rd);
        row->rate = get_amount(&rd);
        row->granted_total = get_amount(&rd);
        row->recalled_total = get_amount(&rd);
    }
    if (bbm_reader_done(&rd))
        return BBM_OK;
    free(g->rows);
    g->rows = NULL;
    return BBM_ERR_DECODE;
}
