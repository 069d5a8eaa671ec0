#include "bbm_zones.h"

#include <math.h>

/* Bytes of a request: measured means are 9,200 for 9,190 tokens and 830 for
   826. */
#define BYTES_PER_TOKEN 1.0
#define REQUEST_BYTES 10.0
/* Bytes of an answer: measured mean of its events. */
#define BYTES_PER_EVENT 100.0
#define BYTES_PER_MB 1e6
/* Time constant of the smoothed waits: longer than the age of news, 0.1 to
   0.4 s. */
#define SMOOTHING_TIME (500 * BBM_MS)
/* Time in which the others' room may be used up: by then the news shows what
   was sent. */
#define NEWS_TIME (400 * BBM_MS)
/* Failed connections to this number of upstreams show that their zone is cut
   off.  One alone may have crashed. */
#define UNREACHED_MIN 2
/* Without fresh news, the allowance halves in each such time. */
#define STALE_HALF_TIME (500 * BBM_MS)

bool
bbm_zones_is_priced(const bbm_zones_price *p)
{
    return p->delay_ms > 0 || p->byte_ms > 0;
}

double
bbm_zones_bytes(double prompt_tokens, double events)
{
    return REQUEST_BYTES + prompt_tokens * BYTES_PER_TOKEN
           + (events > 1 ? events : 1) * BYTES_PER_EVENT;
}

double
bbm_zones_leave_ms(const bbm_zones_price *p, double bytes)
{
    return p->delay_ms + p->byte_ms * bytes / BYTES_PER_MB;
}

static size_t
find_row(const bbm_zones *z, uint64_t zone)
{
    size_t i = 0;
    while (i < z->rows_len && z->rows[i].zone != zone)
        i++;
    return i;
}

static void
update_row(bbm_zones *z, const bbm_zones_load *l, double decay)
{
    size_t i = find_row(z, l->zone);
    if (i == BBM_ZONES_MAX)
        return;
    if (i == z->rows_len) {
        z->rows_len++;
        z->rows[i].zone = l->zone;
        z->rows[i].wait_ms = l->wait_ms;
    }
    else {
        z->rows[i].wait_ms =
            z->rows[i].wait_ms * decay + l->wait_ms * (1 - decay);
    }
    z->rows[i].room = l->room;
    z->rows[i].present = l->upstreams > 0;
}

/* Smoothed wait in the own zone; infinite without an upstream there. */
static double
own_wait(const bbm_zones *z)
{
    size_t i = find_row(z, z->own);
    return i < z->rows_len && z->rows[i].present ? z->rows[i].wait_ms
                                                 : INFINITY;
}

/* What the zones can take whose wait is shorter than this zone's. */
static double
room_elsewhere(const bbm_zones *z)
{
    double room = 0;
    for (size_t i = 0; i < z->rows_len; i++) {
        if (z->rows[i].present && !z->rows[i].cut && z->rows[i].zone != z->own
            && z->rows[i].wait_ms < own_wait(z))
            room += z->rows[i].room;
    }
    return room;
}

/* Zones that may send to the others now: this one, and those that wait at
   least as long. */
static double
senders(const bbm_zones *z)
{
    double zones = 1;
    for (size_t i = 0; i < z->rows_len; i++) {
        zones += z->rows[i].zone != z->own
                 && (!z->rows[i].present || z->rows[i].wait_ms >= own_wait(z));
    }
    return zones * (double)(z->zone_vms ? z->zone_vms : 1);
}

static bool
is_unreached(size_t unreached, bbm_time unreached_at, bbm_time answered_at)
{
    return unreached >= UNREACHED_MIN && answered_at < unreached_at;
}

static void
update_cuts(bbm_zones *z, const bbm_zones_news *news)
{
    bbm_zones_load others = {0};
    for (size_t i = 0; i < news->zones_len; i++) {
        const bbm_zones_load *l = &news->zones[i];
        if (l->zone == news->own)
            continue;
        others.unreached += l->unreached;
        if (l->unreached_at > others.unreached_at)
            others.unreached_at = l->unreached_at;
        if (l->answered_at > others.answered_at)
            others.answered_at = l->answered_at;
    }
    bool all = is_unreached(others.unreached, others.unreached_at,
                            others.answered_at);
    for (size_t i = 0; i < news->zones_len; i++) {
        const bbm_zones_load *l = &news->zones[i];
        size_t row = find_row(z, l->zone);
        if (row < z->rows_len)
            z->rows[row].cut =
                l->zone != news->own
                && (all
                    || is_unreached(l->unreached, l->unreached_at,
                                    l->answered_at));
    }
}

bool
bbm_zones_is_cut(const bbm_zones *z, uint64_t zone)
{
    size_t i = find_row(z, zone);
    return i < z->rows_len && z->rows[i].cut;
}

void
bbm_zones_update(bbm_zones *z, const bbm_zones_news *news, bbm_time now)
{
    bbm_time elapsed = z->updated_at ? now - z->updated_at : 0;
    double decay = exp(-(double)elapsed / (double)SMOOTHING_TIME);
    z->own = news->own;
    z->zone_vms = news->zone_vms;
    for (size_t i = 0; i < z->rows_len; i++) {
        z->rows[i].present = false;
        z->rows[i].room = 0;
        z->rows[i].cut = false;
    }
    for (size_t i = 0; i < news->zones_len; i++)
        update_row(z, &news->zones[i], decay);
    update_cuts(z, news);
    if (news->fresh || !z->updated_at)
        z->fresh_at = now;
    double part = room_elsewhere(z) / senders(z);
    double stale =
        exp2(-(double)(now - z->fresh_at) / (double)STALE_HALF_TIME);
    double refill = (double)elapsed / (double)NEWS_TIME;
    z->allowance += part * stale * (refill < 1 ? refill : 1);
    if (z->allowance > part * stale)
        z->allowance = part * stale;
    z->updated_at = now;
}

/* Why a request leaves, if it does. */
static bbm_zones_cause
find_cause(const bbm_zones_question *q)
{
    if (!q->has_own)
        return BBM_ZONES_NONE;
    if (q->cached_ms > q->leave_ms)
        return BBM_ZONES_CACHED;
    return q->own_full ? BBM_ZONES_FULL : BBM_ZONES_SLOW;
}

static bool
is_receiver(const bbm_zones *z, const bbm_zones_question *q)
{
    size_t i = find_row(z, q->other_zone);
    return i < z->rows_len && z->rows[i].present
           && z->rows[i].wait_ms + q->leave_ms < own_wait(z);
}

bbm_zones_verdict
bbm_zones_decide(bbm_zones *z, const bbm_zones_question *q)
{
    if (!q->has_other || (q->has_own && q->other_ms >= q->own_ms))
        return (bbm_zones_verdict){.cause = BBM_ZONES_STAYS};
    bbm_zones_verdict v = {.leaves = true, .cause = find_cause(q)};
    if (v.cause == BBM_ZONES_NONE || v.cause == BBM_ZONES_CACHED)
        return v;
    bool allowed = is_receiver(z, q);
    if (allowed) {
        allowed = q->random * q->work < z->allowance;
        z->allowance -= fmin(q->work, z->allowance);
    }
    return allowed ? v : (bbm_zones_verdict){.cause = BBM_ZONES_NO_ROOM};
}

const char *
bbm_zones_cause_text(bbm_zones_cause cause)
{
    switch (cause) {
    case BBM_ZONES_STAYS:
        return "";
    case BBM_ZONES_NONE:
        return "no-upstream";
    case BBM_ZONES_CACHED:
        return "cached";
    case BBM_ZONES_FULL:
        return "full";
    case BBM_ZONES_SLOW:
        return "slow";
    case BBM_ZONES_NO_ROOM:
        return "no-room";
    case BBM_ZONES_UNPRICED:
        return "unpriced";
    case BBM_ZONES_CAUSES:
        break;
    }
    return "";
}
