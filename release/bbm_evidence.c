#include "bbm_evidence.h"

#include "bbm_mem.h"

#include <math.h>
#include <stdlib.h>

void
bbm_evidence_free(bbm_evidence *e)
{
    free(e->rows);
    *e = (bbm_evidence){0};
}

size_t
bbm_evidence_bucket(bbm_time latency)
{
    double ms = (double)latency / (double)BBM_MS;
    if (ms <= 1)
        return 0;
    size_t bucket = (size_t)ceil(2 * log2(ms));
    return bucket < BBM_EVIDENCE_BUCKETS ? bucket : BBM_EVIDENCE_BUCKETS - 1;
}

static bbm_evidence_row *
get_row(bbm_evidence *e, uint64_t upstream, uint64_t route, bool is_new)
{
    for (size_t i = 0; i < e->rows_len; i++) {
        bbm_evidence_row *row = &e->rows[i];
        if (row->upstream == upstream && row->route == route
            && row->is_new == is_new)
            return row;
    }
    if (e->rows_len == BBM_EVIDENCE_ROWS_MAX)
        return NULL;
    bbm_grow(&e->rows, &e->rows_cap, e->rows_len, sizeof(*e->rows));
    bbm_evidence_row *row = &e->rows[e->rows_len++];
    *row = (bbm_evidence_row){
        .upstream = upstream, .route = route, .is_new = is_new};
    return row;
}

void
bbm_evidence_add(bbm_evidence *e, uint64_t upstream, uint64_t route,
                 bool is_new, bool failed, bbm_time latency)
{
    bbm_evidence_row *row = get_row(e, upstream, route, is_new);
    if (row && failed)
        row->failures++;
    else if (row)
        row->answers[bbm_evidence_bucket(latency)]++;
}

static void
put_row(bbm_buf *buf, const bbm_evidence_row *row)
{
    size_t used = 0;
    for (size_t i = 0; i < BBM_EVIDENCE_BUCKETS; i++)
        used += row->answers[i] > 0;
    bbm_put_u64(buf, row->upstream);
    bbm_put_u64(buf, row->route);
    bbm_put_u64(buf, row->is_new);
    bbm_put_u64(buf, row->failures);
    bbm_put_u64(buf, used);
    for (size_t i = 0; i < BBM_EVIDENCE_BUCKETS; i++) {
        if (!row->answers[i])
            continue;
        bbm_put_u64(buf, i);
        bbm_put_u64(buf, row->answers[i]);
    }
}

static void
get_row_bytes(bbm_reader *rd, bbm_evidence_row *row)
{
    *row = (bbm_evidence_row){.upstream = bbm_get_u64(rd)};
    row->route = bbm_get_u64(rd);
    row->is_new = bbm_get_u32(rd, 1) != 0;
    row->failures = bbm_get_u32(rd, UINT32_MAX);
    size_t used = bbm_get_u32(rd, BBM_EVIDENCE_BUCKETS);
    for (size_t i = 0; i < used && !rd->failed; i++) {
        size_t bucket = bbm_get_u32(rd, BBM_EVIDENCE_BUCKETS - 1);
        uint32_t answers = bbm_get_u32(rd, UINT32_MAX);
        if (!rd->failed)
            row->answers[bucket] = answers;
    }
}

void
bbm_evidence_put(bbm_buf *buf, const bbm_evidence *e)
{
    bbm_put_u64(buf, e->serial);
    bbm_put_u64(buf, e->age_ms);
    bbm_put_u64(buf, e->step);
    bbm_put_u64(buf, e->stage);
    bbm_put_u64(buf, e->requests);
    bbm_put_u64(buf, e->sends);
    bbm_put_u64(buf, e->old_open);
    bbm_put_u64(buf, e->rows_len);
    for (size_t i = 0; i < e->rows_len; i++)
        put_row(buf, &e->rows[i]);
}

void
bbm_evidence_get(bbm_reader *rd, bbm_evidence *e)
{
    e->serial = bbm_get_u64(rd);
    e->age_ms = bbm_get_u64(rd);
    e->step = bbm_get_u64(rd);
    e->stage = (bbm_release_stage)bbm_get_u32(rd, BBM_RELEASE_FULL);
    e->requests = bbm_get_u64(rd);
    e->sends = bbm_get_u64(rd);
    e->old_open = bbm_get_u64(rd);
    size_t len = bbm_get_u32(rd, BBM_EVIDENCE_ROWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_grow(&e->rows, &e->rows_cap, e->rows_len, sizeof(*e->rows));
        get_row_bytes(rd, &e->rows[e->rows_len++]);
    }
}
