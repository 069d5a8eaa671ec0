#include "quarantine_core.h"

#include "bbm_mem.h"

/* What VMs tell each other of crashes and quarantined parts.  Moments are sent
   as ages, as clocks of VMs have nothing in common. */

/* Time between two sends of the same news. */
#define REPEAT_PERIOD (300 * BBM_MS)
/* Each quarantined part is announced once in this time by one of the VMs, on
   average, so that one that has restarted knows it before it takes much
   traffic; less often if there are more parts than this. */
#define ANNOUNCE_PERIOD (100 * BBM_MS)
#define ANNOUNCED_PARTS_MAX 16
/* Maximum number of rows that wait to be sent, and in a message.  The oldest
   are dropped first. */
#define NEWS_MAX 256

/* ---- sending ---- */

quarantine_news *
quarantine_push_news(bbm_quarantine *q, quarantine_news_kind kind, int sends,
                     bbm_time now)
{
    if (q->news_len == NEWS_MAX) {
        quarantine_news *oldest = STAILQ_FIRST(&q->news);
        STAILQ_REMOVE_HEAD(&q->news, link);
        free(oldest);
        q->news_len--;
    }
    quarantine_news *n = bbm_calloc(1, sizeof(*n));
    n->kind = kind;
    n->sends_left = sends;
    n->next_at = now;
    STAILQ_INSERT_TAIL(&q->news, n, link);
    q->news_len++;
    return n;
}

void
quarantine_announce(bbm_quarantine *q, quarantine_part *p, int sends,
                    bbm_time now)
{
    double period = (double)ANNOUNCE_PERIOD * (double)q->vms;
    if (q->in_force_len > ANNOUNCED_PARTS_MAX)
        period *= (double)q->in_force_len / ANNOUNCED_PARTS_MAX;
    p->announce_at = now + (bbm_time)(bbm_rng_unit(&q->rng) * 2 * period);
    if (!sends)
        return;
    quarantine_news *n =
        quarantine_push_news(q, QUARANTINE_NEWS_QUARANTINED, sends, now);
    n->u.quarantined.entry = p->entry;
    n->u.quarantined.times = p->times;
}

/* Puts the milliseconds between two moments; 0 if the end isn't later. */
static void
put_span(bbm_buf *buf, bbm_time from, bbm_time to)
{
    bbm_put_u64(buf, to > from ? (uint64_t)((to - from) / BBM_MS) : 0);
}

static void
put_run(bbm_buf *buf, const bbm_upstream_run *run)
{
    bbm_put_u64(buf, run->upstream);
    bbm_put_u64(buf, run->run);
}

static void
put_row(bbm_buf *buf, const quarantine_news *n, bbm_time now)
{
    bbm_put_u64(buf, n->kind);
    switch (n->kind) {
    case QUARANTINE_NEWS_CRASH:
        put_run(buf, &n->u.crash.crash.run);
        bbm_put_u64(buf, n->u.crash.crash.pool);
        put_span(buf, n->u.crash.crash.sent_at, now);
        put_span(buf, n->u.crash.crash.at, now);
        bbm_put_u64(buf, n->u.crash.crash.trial);
        bbm_put_u64(buf, n->u.crash.len);
        for (size_t i = 0; i < n->u.crash.len; i++)
            bbm_put_u64(buf, n->u.crash.parts[i]);
        return;
    case QUARANTINE_NEWS_ACQUITTAL:
        bbm_put_u64(buf, n->u.acquittal.part);
        put_span(buf, n->u.acquittal.began_at, now);
        return;
    case QUARANTINE_NEWS_ALIVE:
        put_run(buf, &n->u.alive.run);
        put_span(buf, n->u.alive.at, now);
        return;
    case QUARANTINE_NEWS_QUARANTINED:
        bbm_put_u64(buf, n->u.quarantined.entry.part);
        put_span(buf, now, n->u.quarantined.entry.until);
        put_span(buf, n->u.quarantined.entry.last_crash_at, now);
        bbm_put_u64(buf, n->u.quarantined.entry.failed_trials);
        put_span(buf, now, n->u.quarantined.entry.retry_at);
        bbm_put_u64(buf, n->u.quarantined.times);
        return;
    }
}

void
bbm_quarantine_put_news(bbm_quarantine *q, bbm_time now, bbm_buf *buf)
{
    bbm_buf rows = {0};
    size_t len = 0;
    quarantine_news *n, *next;
    for (n = STAILQ_FIRST(&q->news); n; n = next) {
        next = STAILQ_NEXT(n, link);
        if (n->next_at > now)
            continue;
        put_row(&rows, n, now);
        len++;
        n->next_at = now + REPEAT_PERIOD;
        if (--n->sends_left > 0)
            continue;
        STAILQ_REMOVE(&q->news, n, quarantine_news, link);
        q->news_len--;
        free(n);
    }
    bbm_put_u64(buf, len);
    if (len)
        bbm_buf_add(buf, rows.data, rows.len);
    bbm_buf_free(&rows);
}

/* ---- receiving ---- */

static bbm_time
get_span(bbm_reader *rd)
{
    return (bbm_time)bbm_get_u32(rd, UINT32_MAX) * BBM_MS;
}

static bbm_upstream_run
get_run(bbm_reader *rd)
{
    bbm_upstream_run run = {.upstream = bbm_get_u64(rd)};
    run.run = bbm_get_u64(rd);
    return run;
}

static void
get_crash(bbm_quarantine *q, bbm_reader *rd, bool own, bbm_time now)
{
    bbm_part_crash crash = {.run = get_run(rd)};
    crash.pool = bbm_get_u64(rd);
    crash.sent_at = now - get_span(rd);
    crash.at = now - get_span(rd);
    crash.trial = bbm_get_u32(rd, 1) != 0;
    size_t len = bbm_get_u32(rd, QUARANTINE_ROW_PARTS_MAX);
    uint64_t parts[QUARANTINE_ROW_PARTS_MAX];
    for (size_t i = 0; i < len; i++)
        parts[i] = bbm_get_u64(rd);
    if (!rd->failed && !own)
        quarantine_accuse(q, &crash, parts, len, now);
}

static void
get_row(bbm_quarantine *q, bbm_reader *rd, bool own, bbm_time now)
{
    uint64_t part;
    bbm_time at;
    switch (bbm_get_u32(rd, QUARANTINE_NEWS_QUARANTINED)) {
    case QUARANTINE_NEWS_CRASH:
        get_crash(q, rd, own, now);
        return;
    case QUARANTINE_NEWS_ACQUITTAL:
        part = bbm_get_u64(rd);
        at = now - get_span(rd);
        if (!rd->failed && !own)
            quarantine_acquit(q, part, at, now);
        return;
    case QUARANTINE_NEWS_ALIVE: {
        bbm_upstream_run run = get_run(rd);
        at = now - get_span(rd);
        if (!rd->failed && !own)
            quarantine_withdraw(q, &run, at, now);
        return;
    }
    case QUARANTINE_NEWS_QUARANTINED: {
        bbm_quarantine_entry entry = {.part = bbm_get_u64(rd)};
        entry.until = now + get_span(rd);
        entry.last_crash_at = now - get_span(rd);
        entry.failed_trials = bbm_get_u32(rd, UINT32_MAX);
        entry.retry_at = now + get_span(rd);
        uint32_t times = bbm_get_u32(rd, UINT32_MAX);
        if (!rd->failed && !own
            && !bbm_quarantine_adopt(q, &entry, times, now))
            quarantine_tell_acquittal(q, entry.part, now);
        return;
    }
    default:
        rd->failed = true;
        return;
    }
}

void
bbm_quarantine_get_news(bbm_quarantine *q, bbm_reader *rd, bool own,
                        bbm_time now)
{
    size_t len = bbm_get_u32(rd, NEWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++)
        get_row(q, rd, own, now);
}

/* ---- other formats ---- */

static void
copy_numbers(bbm_reader *rd, bbm_buf *buf, size_t len)
{
    for (size_t i = 0; i < len && !rd->failed; i++)
        bbm_put_u64(buf, bbm_get_u64(rd));
}

static void
copy_span(bbm_reader *rd, bbm_buf *buf)
{
    bbm_put_u64(buf, bbm_get_u32(rd, UINT32_MAX));
}

static void
convert_crash(bbm_reader *rd, bbm_format from, bbm_format to, bbm_buf *buf)
{
    copy_numbers(rd, buf, 2); /* the run */
    uint64_t pool = from >= BBM_FORMAT_LIMITS ? bbm_get_u64(rd) : 0;
    if (to >= BBM_FORMAT_LIMITS)
        bbm_put_u64(buf, pool);
    copy_span(rd, buf);
    copy_span(rd, buf);
    bbm_put_u64(buf, bbm_get_u32(rd, 1)); /* trial */
    size_t len = bbm_get_u32(rd, QUARANTINE_ROW_PARTS_MAX);
    bbm_put_u64(buf, len);
    copy_numbers(rd, buf, len);
}

static void
convert_row(bbm_reader *rd, bbm_format from, bbm_format to, bbm_buf *buf)
{
    uint64_t kind = bbm_get_u32(rd, QUARANTINE_NEWS_QUARANTINED);
    bbm_put_u64(buf, kind);
    switch (kind) {
    case QUARANTINE_NEWS_CRASH:
        convert_crash(rd, from, to, buf);
        return;
    case QUARANTINE_NEWS_ACQUITTAL:
        copy_numbers(rd, buf, 1);
        copy_span(rd, buf);
        return;
    case QUARANTINE_NEWS_ALIVE:
        copy_numbers(rd, buf, 2);
        copy_span(rd, buf);
        return;
    case QUARANTINE_NEWS_QUARANTINED:
        copy_numbers(rd, buf, 1);
        copy_span(rd, buf);
        copy_span(rd, buf);
        copy_numbers(rd, buf, 1);
        copy_span(rd, buf);
        copy_numbers(rd, buf, 1);
        return;
    default:
        rd->failed = true;
        return;
    }
}

void
bbm_quarantine_convert_news(bbm_reader *rd, bbm_format from, bbm_format to,
                            bbm_buf *buf)
{
    bbm_buf rows = {0};
    size_t len = 0;
    if (from >= BBM_FORMAT_QUARANTINE)
        len = bbm_get_u32(rd, NEWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++)
        convert_row(rd, from, to, &rows);
    if (to >= BBM_FORMAT_QUARANTINE) {
        bbm_put_u64(buf, len);
        bbm_buf_add(buf, rows.data, rows.len);
    }
    bbm_buf_free(&rows);
}
