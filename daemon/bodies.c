#include "bodies.h"

#include "bbm_log.h"
#include "control.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Capacities of a body whose length isn't known to be small.  The last one
   exceeds malloc's threshold for mappings (main.c): from there on bytes are
   moved by remapping, and pages count once they are used. */
#define FIRST_BYTES ((size_t)4 * 1024)
#define SECOND_BYTES ((size_t)16 * 1024)
#define MAPPED_BYTES ((size_t)128 * 1024)
/* Unit in which longer bodies are counted. */
#define COUNT_UNIT ((size_t)32 * 1024)

struct bodies {
    memory_budget *memory;
    pthread_mutex_t lock; /* guards the list; taken before an exchange's */
    TAILQ_HEAD(, exchange) unfinished;
};

bodies *
bodies_create(memory_budget *memory)
{
    bodies *b = bbm_calloc(1, sizeof(*b));
    b->memory = memory;
    pthread_mutex_init(&b->lock, NULL);
    TAILQ_INIT(&b->unfinished);
    return b;
}

void
bodies_destroy(bodies *b)
{
    if (!b)
        return;
    pthread_mutex_destroy(&b->lock);
    free(b);
}

/* ---- one body: called with the exchange's lock held ---- */

static bool
is_declared_small(const exchange *ex, size_t len)
{
    return len <= ex->body_declared && ex->body_declared <= MEMORY_SMALL_BYTES;
}

static size_t
capacity_for(const exchange *ex, size_t len)
{
    if (is_declared_small(ex, len))
        return ex->body_declared;
    if (len <= FIRST_BYTES)
        return FIRST_BYTES;
    if (len <= SECOND_BYTES)
        return SECOND_BYTES;
    size_t cap = MAPPED_BYTES;
    while (cap < len)
        cap *= 2;
    return cap;
}

/* Bytes to count for a body of this length. */
static size_t
counted_bytes(const exchange *ex, size_t len)
{
    if (is_declared_small(ex, len) || len <= SECOND_BYTES)
        return capacity_for(ex, len);
    return (len + COUNT_UNIT - 1) / COUNT_UNIT * COUNT_UNIT;
}

static void
add_bytes(exchange *ex, const void *data, size_t len)
{
    bbm_buf *body = &ex->body;
    size_t cap = capacity_for(ex, body->len + len);
    if (cap > body->cap) {
        body->data = bbm_realloc(body->data, cap);
        body->cap = cap;
    }
    bbm_buf_add(body, data, len);
}

static void
discard(exchange *ex)
{
    bbm_buf_free(&ex->body);
    memory_budget_give(ex->memory, MEMORY_BODIES, ex->body_counted);
    ex->body_counted = 0;
    ex->body_discarded = true;
}

static void
log_discarded(const exchange *ex, const char *why)
{
    char number[24];
    char bytes[24];
    char idle[24];
    const char *id = exchange_client_id(ex);
    bbm_time idle_time =
        ex->body_grew_at ? control_now() - ex->body_grew_at : 0;
    snprintf(number, sizeof(number), "%llu", (unsigned long long)ex->id);
    snprintf(bytes, sizeof(bytes), "%zu", ex->body.len);
    snprintf(idle, sizeof(idle), "%lld", (long long)(idle_time / BBM_MS));
    bbm_log(BBM_EVENT_BODY_DISCARDED, "id", id[0] ? id : number, "bytes",
            bytes, "idle_ms", idle, "why", why, NULL);
}

/* ---- eviction ---- */

static memory_body
describe(exchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    memory_body body = {.bytes = ex->body_counted,
                        .idle_at = ex->body_grew_at};
    pthread_mutex_unlock(&ex->lock);
    return body;
}

/* Called with the list's lock held. */
static exchange *
choose_victim(const bodies *b, const exchange *except, size_t item_bytes,
              bbm_time now)
{
    exchange *victim = NULL;
    memory_body first = {0};
    exchange *ex;
    TAILQ_FOREACH(ex, &b->unfinished, body_link)
    {
        if (ex == except)
            continue;
        memory_body body = describe(ex);
        if (!body.bytes || !memory_budget_may_evict(&body, item_bytes, now))
            continue;
        if (victim && !memory_budget_evict_before(&body, &first, now))
            continue;
        victim = ex;
        first = body;
    }
    return victim;
}

bool
bodies_evict(bodies *b, const exchange *except, size_t item_bytes)
{
    if (!b)
        return false;
    pthread_mutex_lock(&b->lock);
    bbm_time now = control_now();
    exchange *victim = choose_victim(b, except, item_bytes, now);
    if (victim) {
        pthread_mutex_lock(&victim->lock);
        bool idle = now - victim->body_grew_at >= MEMORY_IDLE_TIME;
        log_discarded(victim, idle ? "idle" : "largest");
        discard(victim);
        pthread_mutex_unlock(&victim->lock);
        atomic_fetch_add(&b->memory->evictions, 1);
    }
    pthread_mutex_unlock(&b->lock);
    return victim != NULL;
}

/* Counts @p more bytes of a body that will have @p item_bytes. */
static bool
take_room(bodies *b, const exchange *ex, size_t more, size_t item_bytes)
{
    while (!memory_budget_take(b->memory, MEMORY_BODIES, more, item_bytes)) {
        if (!bodies_evict(b, ex, item_bytes))
            return false;
    }
    return true;
}

/* ---- called by the fronts ---- */

bool
bodies_admit(bodies *b, exchange *ex, size_t declared_bytes)
{
    ex->body_declared = declared_bytes;
    if (!b || declared_bytes <= MEMORY_SMALL_BYTES)
        return true;
    while (!memory_budget_has_room(b->memory, MEMORY_BODIES, declared_bytes,
                                   declared_bytes)) {
        if (bodies_evict(b, ex, declared_bytes))
            continue;
        log_discarded(ex, "no room at its beginning");
        return false;
    }
    return true;
}

static void
list_unfinished(bodies *b, exchange *ex)
{
    pthread_mutex_lock(&b->lock);
    TAILQ_INSERT_TAIL(&b->unfinished, ex, body_link);
    ex->body_listed = true;
    pthread_mutex_unlock(&b->lock);
}

/* Only the thread of its front appends to a body, so its length can change
   meanwhile by an eviction alone. */
void
bodies_append(bodies *b, exchange *ex, const void *data, size_t len)
{
    if (b && !ex->body_listed)
        list_unfinished(b, ex);
    pthread_mutex_lock(&ex->lock);
    size_t counted = counted_bytes(ex, ex->body.len + len);
    size_t more = counted > ex->body_counted ? counted - ex->body_counted : 0;
    bool discarded = ex->body_discarded;
    pthread_mutex_unlock(&ex->lock);
    if (discarded)
        return;
    bool has_room = !b || !more || take_room(b, ex, more, counted);
    pthread_mutex_lock(&ex->lock);
    if (b && has_room)
        ex->body_counted += more;
    if (ex->body_discarded) {
        discard(ex);
    }
    else if (!has_room) {
        log_discarded(ex, "no room");
        discard(ex);
    }
    else {
        add_bytes(ex, data, len);
        ex->body_grew_at = control_now();
    }
    pthread_mutex_unlock(&ex->lock);
}

void
bodies_discard(exchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    discard(ex);
    pthread_mutex_unlock(&ex->lock);
}

void
bodies_end(bodies *b, exchange *ex)
{
    if (!b || !ex->body_listed)
        return;
    pthread_mutex_lock(&b->lock);
    TAILQ_REMOVE(&b->unfinished, ex, body_link);
    ex->body_listed = false;
    pthread_mutex_unlock(&b->lock);
}
