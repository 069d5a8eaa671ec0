#include "soak_world.h"

#include "bbm_mem.h"

#include <stdio.h>
#include <string.h>
#include <uthash.h>

/* What upstreams ran, and what callers were told of it. */

typedef struct run {
    char name[64];
    int count;
    bool complete; /* a whole answer was sent */
    UT_hash_handle hh;
} run;

typedef struct told {
    char attempt[64];
    bool promised;
    bool lost;
    UT_hash_handle hh;
} told;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static run *runs;
static told *attempts;

static run *
find_run(const char *name)
{
    run *r = NULL;
    HASH_FIND_STR(runs, name, r);
    return r;
}

static void
count_run(const char *name)
{
    run *r = find_run(name);
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        bbm_text_set(r->name, sizeof(r->name), name);
        HASH_ADD_STR(runs, name, r);
    }
    r->count++;
}

static const char *
order_of(const char *attempt, char order[64])
{
    bbm_text_set(order, 64, attempt);
    order[strcspn(order, ".")] = '\0';
    return order;
}

void
soak_record_run(const char *attempt)
{
    char order[64];
    pthread_mutex_lock(&lock);
    count_run(attempt);
    count_run(order_of(attempt, order));
    pthread_mutex_unlock(&lock);
}

void
soak_record_complete(const char *attempt)
{
    pthread_mutex_lock(&lock);
    run *r = find_run(attempt);
    if (r)
        r->complete = true;
    pthread_mutex_unlock(&lock);
}

int
soak_run_count(const char *name)
{
    pthread_mutex_lock(&lock);
    const run *r = find_run(name);
    int count = r ? r->count : 0;
    pthread_mutex_unlock(&lock);
    return count;
}

void
soak_record_attempt(const char *attempt, soak_verdict verdict)
{
    told *t = NULL;
    pthread_mutex_lock(&lock);
    HASH_FIND_STR(attempts, attempt, t);
    if (!t) {
        t = bbm_calloc(1, sizeof(*t));
        bbm_text_set(t->attempt, sizeof(t->attempt), attempt);
        HASH_ADD_STR(attempts, attempt, t);
    }
    /* One that is sent again has two answers. */
    t->promised = t->promised || verdict == SOAK_PROMISED;
    t->lost = verdict == SOAK_LOST;
    pthread_mutex_unlock(&lock);
}

void
soak_check_orders(void)
{
    int promised = 0;
    int ran = 0;
    int complete = 0;
    int lost = 0;
    for (const told *t = attempts; t; t = t->hh.next) {
        char order[64];
        const run *r = find_run(t->attempt);
        promised += t->promised;
        if (!r)
            continue;
        ran++;
        complete += r->complete;
        lost += r->complete && t->lost;
        int count = find_run(order_of(t->attempt, order))->count;
        if (count > 1)
            soak_break("TWICE %s ran %d times by the end, %d as %s", order,
                       count, r->count, t->attempt);
        if (t->promised)
            soak_break("REFUSED %s ran by the end", t->attempt);
    }
    printf("orders: %u attempts, of which %d ran (could break TWICE) and %d "
           "were promised not to run (could break REFUSED); %d ran to a good "
           "end, and the answers of %d of these were lost\n",
           HASH_COUNT(attempts), ran, promised, complete, lost);
}
