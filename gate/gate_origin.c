#include "gate_core.h"

#include <string.h>

/* Where a stream that has begun may go on.

   Answers crashes and releases while upstreams of several builds serve, when a
   stream that is resumed elsewhere would be joined from two builds.  The rule
   is the same for all ways in which a stream goes on: at the build that began
   it.  Within one answer this VM knows that build; for a client that takes a
   stream up again it is looked up: here, then in the replicated state. */

/* A client may take a stream up until the deadline of the request that began
   it; clocks and messages need some more. */
#define LIFE_MARGIN (5 * BBM_SECOND)
/* If the answer to a look-up is late, it is repeated after this time.  A
   request waits this long for a leader that can answer. */
#define ASK_PERIOD (100 * BBM_MS)
#define ASK_TIMEOUT BBM_SECOND
/* Rows that a leader has received may be lost with it within this time. */
#define REPORT_MEMORY (3 * BBM_SECOND)

/* ---- pools ---- */

static uint64_t
listed_origin(const bbm_gate *g, const gate_pool *p)
{
    uint64_t origin = 0;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool != p || !u->listed)
            continue;
        if (origin && origin != u->origin)
            return 0;
        origin = u->origin;
    }
    return origin;
}

void
gate_update_origins(bbm_gate *g)
{
    for (gate_pool *p = g->pools; p; p = p->hh.next) {
        uint64_t origin = listed_origin(g, p);
        if (origin == p->sole_origin)
            continue;
        p->sole_origin = origin;
        p->sole_origin_since = g->now;
    }
}

/* True if no other build can have begun a stream of the request's pools that
   is still taken up. */
static bool
has_sole_origin(const bbm_gate *g, const gate_request *r)
{
    bbm_time life = BBM_ORIGIN_LIFE_MAX_MS * BBM_MS;
    if (r->pools_len != 1)
        return false;
    const gate_pool *p = gate_find_pool(g, r->pools[0]);
    return p && p->sole_origin && g->now - p->sole_origin_since >= life;
}

/* ---- streams that begin ---- */

static void
report_origin(bbm_gate *g, const bbm_origin_row *row)
{
    gate_reported_origins *list = &g->reported_origins;
    size_t old = 0;
    while (old < list->len - list->unreported
           && g->now - list->items[old].at > REPORT_MEMORY)
        old++;
    if (list->len - old == BBM_ORIGIN_ROWS_MAX)
        old++;
    list->len -= old;
    if (list->unreported > list->len)
        list->unreported = list->len;
    if (old)
        memmove(list->items, list->items + old,
                list->len * sizeof(*list->items));
    bbm_grow(&list->items, &list->cap, list->len, sizeof(*list->items));
    list->items[list->len].row = *row;
    list->items[list->len].at = g->now;
    list->len++;
    list->unreported++;
}

size_t
bbm_gate_put_origins(bbm_gate *g, bbm_time now, bbm_buf *buf)
{
    gate_advance(g, now);
    gate_reported_origins *list = &g->reported_origins;
    size_t len = list->unreported;
    bbm_put_u64(buf, len);
    for (size_t i = list->len - len; i < list->len; i++)
        bbm_origin_row_put(buf, &list->items[i].row);
    list->unreported = 0;
    return len;
}

void
bbm_gate_resend_origins(bbm_gate *g)
{
    g->reported_origins.unreported = g->reported_origins.len;
}

void
gate_record_origin(bbm_gate *g, gate_request *r, uint64_t origin)
{
    if (!r->resumable || !origin || r->origin_state == GATE_ORIGIN_KNOWN)
        return;
    r->origin_state = GATE_ORIGIN_KNOWN;
    r->origin = origin;
    r->origin_source = "this answer";
    if (r->takes_up || !r->stream_key)
        return;
    bbm_origin_row row = {
        .stream = r->stream_key,
        .origin = origin,
        .life_ms = (r->deadline - g->now + LIFE_MARGIN) / BBM_MS,
    };
    bbm_origins_add(g->origins, &row, g->now / BBM_MS);
    report_origin(g, &row);
}

/* ---- streams that are taken up ---- */

static void
ask_origin(bbm_gate *g, gate_request *r)
{
    const gate_pool *p = gate_find_pool(g, r->pools[0]);
    r->origin_asked_at = g->now;
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_FIND_ORIGIN, r);
    out->u.find_origin.stream = r->stream_key;
    out->u.find_origin.listed = p && r->pools_len == 1 ? p->sole_origin : 0;
}

static void
use_origin(gate_request *r, uint64_t origin, const char *source)
{
    r->origin_state = origin ? GATE_ORIGIN_KNOWN : GATE_ORIGIN_UNKNOWN;
    r->origin = origin;
    r->origin_source = source;
}

void
gate_begin_stream(bbm_gate *g, gate_request *r,
                  const bbm_gate_request_desc *request)
{
    if (!r->resumable)
        return;
    r->takes_up = request->resumes;
    uint64_t first = r->takes_up ? request->first_id_hash : request->id_hash;
    r->stream_key = first ? bbm_hash_text(r->customer, first) : 0;
    if (!r->takes_up || has_sole_origin(g, r))
        return;
    uint64_t origin =
        bbm_origins_find(g->origins, r->stream_key, g->now / BBM_MS);
    if (origin) {
        use_origin(r, origin, "this VM");
        return;
    }
    r->origin_state = GATE_ORIGIN_ASKED;
    r->origin_deadline = g->now + ASK_TIMEOUT;
    if (r->start_deadline < r->origin_deadline)
        r->origin_deadline = r->start_deadline;
    ask_origin(g, r);
}

void
bbm_gate_set_origin(bbm_gate *g, uint64_t request, uint64_t origin,
                    bbm_time now)
{
    gate_advance(g, now);
    gate_request *r = gate_find_request(g, request);
    if (!r || r->origin_state != GATE_ORIGIN_ASKED)
        return;
    use_origin(r, origin, "the control group");
    if (r->stage == GATE_WAITING && r->link.tqe_prev)
        gate_dispatch(g, r);
}

/* ---- placing ---- */

bool
gate_may_go_on(const gate_request *r, const gate_upstream *u)
{
    switch (r->origin_state) {
    case GATE_ORIGIN_ANY:
        return true;
    case GATE_ORIGIN_KNOWN:
        return u->origin == r->origin;
    case GATE_ORIGIN_ASKED:
    case GATE_ORIGIN_UNKNOWN:
        return false;
    }
    return false;
}

/* True if an upstream of the stream's build is listed and doesn't leave, or if
   there was no listing yet. */
static bool
is_served(const bbm_gate *g, const gate_request *r)
{
    if (!g->places_since)
        return true;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->listed && u->pool && !gate_is_leaving(u)
            && u->origin == r->origin)
            return true;
    }
    return false;
}

gate_origin_verdict
gate_judge_origin(bbm_gate *g, gate_request *r, const char **reason)
{
    switch (r->origin_state) {
    case GATE_ORIGIN_ANY:
        return GATE_ORIGIN_PLACE;
    case GATE_ORIGIN_KNOWN:
        *reason = "the build that began the stream serves no more";
        return is_served(g, r) ? GATE_ORIGIN_PLACE : GATE_ORIGIN_REFUSE;
    case GATE_ORIGIN_ASKED:
        if (g->now - r->origin_asked_at >= ASK_PERIOD)
            ask_origin(g, r);
        *reason = "no leader answered where the stream began";
        return g->now < r->origin_deadline ? GATE_ORIGIN_WAIT
                                           : GATE_ORIGIN_REFUSE;
    case GATE_ORIGIN_UNKNOWN:
        *reason = r->stream_key
                      ? "nobody knows where the stream began"
                      : "the client doesn't say which stream it takes up";
        return GATE_ORIGIN_REFUSE;
    }
    return GATE_ORIGIN_REFUSE;
}
