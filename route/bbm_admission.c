#include "bbm_admission.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

typedef struct queued_ticket {
    bbm_ticket ticket;
    double start_tag;                /* in tokens per weight, as all tags */
    TAILQ_ENTRY(queued_ticket) link; /* by priority, then start tag */
    UT_hash_handle hh;
} queued_ticket;

/* A customer that sent requests since the queue was last empty. */
typedef struct flow {
    char customer[BBM_NAME_SIZE];
    double finish_tag; /* of the last request; the next one starts there, or at
                          the virtual time if that is higher */
    UT_hash_handle hh;
} flow;

struct bbm_admission {
    bool in_order;
    TAILQ_HEAD(, queued_ticket) queue;
    queued_ticket *by_request;
    flow *flows;
    double virtual_time; /* highest start tag of the started requests */
    double tokens;       /* sum over the queue */
};

bbm_admission *
bbm_admission_create(bool in_order)
{
    bbm_admission *q = bbm_calloc(1, sizeof(*q));
    q->in_order = in_order;
    TAILQ_INIT(&q->queue);
    return q;
}

static void
remove_entry(bbm_admission *q, queued_ticket *w)
{
    TAILQ_REMOVE(&q->queue, w, link);
    HASH_DEL(q->by_request, w);
    q->tokens -= w->ticket.tokens;
    if (TAILQ_EMPTY(&q->queue))
        q->tokens = 0;
    free(w);
}

static void
drop_flows(bbm_admission *q, double before)
{
    flow *f, *next;
    HASH_ITER(hh, q->flows, f, next)
    {
        if (f->finish_tag > before)
            continue;
        HASH_DEL(q->flows, f);
        free(f);
    }
}

void
bbm_admission_destroy(bbm_admission *q)
{
    if (!q)
        return;
    queued_ticket *w;
    while ((w = TAILQ_FIRST(&q->queue)) != NULL)
        remove_entry(q, w);
    BBM_TABLE_FREE(flow, q->flows);
    free(q);
}

static flow *
find_flow(const bbm_admission *q, const char *customer)
{
    flow *f = NULL;
    HASH_FIND_STR(q->flows, customer, f);
    return f;
}

static double
start_tag(const bbm_admission *q, const bbm_ticket *t)
{
    if (q->in_order)
        return 0;
    const flow *f = find_flow(q, t->customer);
    bool is_backlogged = f && f->finish_tag > q->virtual_time;
    return is_backlogged ? f->finish_tag : q->virtual_time;
}

static void
advance_flow(bbm_admission *q, const bbm_ticket *t, double start)
{
    flow *f = find_flow(q, t->customer);
    if (!f) {
        f = bbm_calloc(1, sizeof(*f));
        bbm_name_set(f->customer, t->customer);
        HASH_ADD_STR(q->flows, customer, f);
    }
    f->finish_tag = start + t->tokens / (t->weight > 0 ? t->weight : 1);
}

static bool
precedes(const queued_ticket *w, uint32_t priority, double start)
{
    if (w->ticket.priority != priority)
        return w->ticket.priority < priority;
    return w->start_tag <= start;
}

double
bbm_admission_tokens_ahead(const bbm_admission *q, const bbm_ticket *t)
{
    double start = start_tag(q, t);
    double ahead = 0;
    const queued_ticket *w;
    TAILQ_FOREACH(w, &q->queue, link)
    {
        if (!precedes(w, t->priority, start))
            break;
        ahead += w->ticket.tokens;
    }
    return ahead;
}

void
bbm_admission_push(bbm_admission *q, const bbm_ticket *t)
{
    queued_ticket *w = bbm_calloc(1, sizeof(*w));
    w->ticket = *t;
    w->start_tag = start_tag(q, t);
    advance_flow(q, t, w->start_tag);
    queued_ticket *at;
    TAILQ_FOREACH(at, &q->queue, link)
    {
        if (!precedes(at, t->priority, w->start_tag))
            break;
    }
    if (at)
        TAILQ_INSERT_BEFORE(at, w, link);
    else
        TAILQ_INSERT_TAIL(&q->queue, w, link);
    HASH_ADD(hh, q->by_request, ticket.request, sizeof(uint64_t), w);
    q->tokens += t->tokens;
}

/* Advance the virtual time to a started request's tag.  Without queued
   requests there is no contention, and flows whose finish tag the virtual
   time has reached are dropped. */
static void
advance_time(bbm_admission *q, double start)
{
    if (start > q->virtual_time)
        q->virtual_time = start;
    if (TAILQ_EMPTY(&q->queue))
        drop_flows(q, q->virtual_time);
}

void
bbm_admission_record_start(bbm_admission *q, const bbm_ticket *t)
{
    double start = start_tag(q, t);
    advance_flow(q, t, start);
    advance_time(q, start);
}

bool
bbm_admission_at(const bbm_admission *q, size_t i, bbm_ticket *t)
{
    const queued_ticket *w = TAILQ_FIRST(&q->queue);
    while (w && i--)
        w = TAILQ_NEXT(w, link);
    if (!w)
        return false;
    *t = w->ticket;
    return true;
}

bool
bbm_admission_remove(bbm_admission *q, uint64_t request, bool started)
{
    queued_ticket *w = NULL;
    HASH_FIND(hh, q->by_request, &request, sizeof(request), w);
    if (!w)
        return false;
    double start = w->start_tag;
    remove_entry(q, w);
    if (started)
        advance_time(q, start);
    return true;
}

bool
bbm_admission_next_expired(bbm_admission *q, bbm_time now, bbm_ticket *t)
{
    queued_ticket *w;
    TAILQ_FOREACH(w, &q->queue, link)
    {
        if (now < w->ticket.deadline)
            continue;
        *t = w->ticket;
        remove_entry(q, w);
        return true;
    }
    return false;
}

size_t
bbm_admission_len(const bbm_admission *q)
{
    return HASH_COUNT(q->by_request);
}

double
bbm_admission_tokens(const bbm_admission *q)
{
    return q->tokens;
}
