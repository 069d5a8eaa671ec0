#include "quarantine_core.h"

#include "bbm_mem.h"
#include "bbm_table.h"

#include <string.h>

/* A request that was sent this long after a crash was sent in spite of it:
   longer than what VMs tell each other takes to arrive. */
#define CRASH_KNOWN_AFTER (300 * BBM_MS)
/* Time after the third crash in which most sound parts that are in use are
   acquitted, with what other VMs have seen.  The rest is released by trials:
   to wait longer costs more runners. */
#define ACQUITTAL_TIME (500 * BBM_MS)
/* A runner that has crashed answers nothing again within this time.  Later, an
   answer may be by its next run, of which this VM hasn't heard. */
#define RESTART_TIME_MIN BBM_SECOND
/* Time in quarantine; doubled each further time, up to the maximum. */
#define QUARANTINE_FIRST (600 * BBM_SECOND)
#define QUARANTINE_MAX (7200 * BBM_SECOND)
/* Time without a trial after the first one that crashed a runner; three times
   as long after each further one. */
#define TRIAL_RETRY_FIRST (10 * BBM_SECOND)
#define TRIAL_RETRY_FACTOR 3
/* The same, and the time until the first trial, of whole requests. */
#define REQUEST_TRIAL_FIRST (60 * BBM_SECOND)
/* Number of crashes from which a request is suspect, and for how long after
   the last of them. */
#define SUSPECT_CRASHES_MIN 2
#define SUSPECT_TIME (60 * BBM_SECOND)
/* Time after a single loss in which a request is suspected a little. */
#define CRASHED_ONCE_TIME BBM_SECOND
/* Crashes within this time, as VMs hear of them, may be one loss of several
   upstreams. */
#define ONE_LOSS_TIME (60 * BBM_MS)
/* Number of upstreams from which a loss counts for no part, unless all of them
   ran it. */
#define COMMON_LOSS_MIN 3
/* Number of crashes that are enough whatever else crashed at the time. */
#define CRASHES_ENOUGH 5
/* A part is forgotten this long after the last evidence. */
#define ACCUSED_MEMORY (600 * BBM_SECOND)
#define ACQUITTED_MEMORY (30 * BBM_SECOND)
#define RUN_MEMORY (60 * BBM_SECOND)
/* Maximum number of parts, runs and pools that are remembered. */
#define PARTS_DEFAULT_MAX 4096
#define RUNS_MAX 512
#define POOLS_MAX 256
/* How often crashes, acquittals and new entries are sent. */
#define SENDS 3

/* ---- creation ---- */

bbm_quarantine *
bbm_quarantine_create(uint64_t seed, size_t parts_max)
{
    bbm_quarantine *q = bbm_calloc(1, sizeof(*q));
    q->rng = bbm_rng_of(seed);
    q->parts_max = parts_max ? parts_max : PARTS_DEFAULT_MAX;
    q->vms = 1;
    for (size_t i = 0; i < QUARANTINE_LISTS; i++)
        TAILQ_INIT(&q->lists[i]);
    TAILQ_INIT(&q->runs_by_time);
    STAILQ_INIT(&q->news);
    STAILQ_INIT(&q->changes);
    return q;
}

void
bbm_quarantine_destroy(bbm_quarantine *q)
{
    if (!q)
        return;
    BBM_TABLE_FREE(quarantine_part, q->parts);
    BBM_TABLE_FREE(quarantine_run, q->runs);
    BBM_TABLE_FREE(quarantine_pool, q->pools);
    quarantine_news *n;
    while ((n = STAILQ_FIRST(&q->news)) != NULL) {
        STAILQ_REMOVE_HEAD(&q->news, link);
        free(n);
    }
    quarantine_change *c;
    while ((c = STAILQ_FIRST(&q->changes)) != NULL) {
        STAILQ_REMOVE_HEAD(&q->changes, link);
        free(c);
    }
    free(q);
}

void
bbm_quarantine_set_vm_count(bbm_quarantine *q, size_t vms)
{
    q->vms = vms ? vms : 1;
}

/* ---- changes ---- */

static void
push_change(bbm_quarantine *q, bbm_quarantine_change_kind kind,
            const quarantine_part *p)
{
    quarantine_change *c = bbm_calloc(1, sizeof(*c));
    c->change.kind = kind;
    c->change.entry = p->entry;
    STAILQ_INSERT_TAIL(&q->changes, c, link);
}

bool
bbm_quarantine_next_change(bbm_quarantine *q, bbm_quarantine_change *change)
{
    quarantine_change *c = STAILQ_FIRST(&q->changes);
    if (!c)
        return false;
    *change = c->change;
    STAILQ_REMOVE_HEAD(&q->changes, link);
    free(c);
    return true;
}

/* ---- parts ---- */

static bool
is_request(const quarantine_part *p)
{
    return (p->entry.part & BBM_QUARANTINE_REQUEST) != 0;
}

static quarantine_part *
find_part(const bbm_quarantine *q, uint64_t part)
{
    quarantine_part *p = NULL;
    HASH_FIND(hh, q->parts, &part, sizeof(part), p);
    return p;
}

static size_t
list_of(const quarantine_part *p)
{
    return p->in_force ? QUARANTINE_LIST_IN_FORCE : p->entry.crashes_len;
}

/* To be called when there is evidence on a part, or when it comes into force
   or ends. */
static void
update_list(bbm_quarantine *q, quarantine_part *p)
{
    TAILQ_REMOVE(&q->lists[p->list], p, link);
    p->list = list_of(p);
    TAILQ_INSERT_TAIL(&q->lists[p->list], p, link);
}

static void
lift(bbm_quarantine *q, quarantine_part *p)
{
    p->in_force = false;
    p->entry.failed_trials = 0;
    p->entry.retry_at = 0;
    q->in_force_len--;
    update_list(q, p);
}

static void
forget_part(bbm_quarantine *q, quarantine_part *p)
{
    if (p->in_force)
        lift(q, p);
    TAILQ_REMOVE(&q->lists[p->list], p, link);
    HASH_DEL(q->parts, p);
    free(p);
}

/* Called once for each new part while the table is full, so its cost must not
   grow with the table. */
static void
forget_least_accused(bbm_quarantine *q)
{
    size_t list = 0;
    while (list + 1 < QUARANTINE_LISTS && TAILQ_EMPTY(&q->lists[list]))
        list++;
    forget_part(q, TAILQ_FIRST(&q->lists[list]));
}

static quarantine_part *
find_or_add_part(bbm_quarantine *q, uint64_t part)
{
    quarantine_part *p = find_part(q, part);
    if (p)
        return p;
    if (HASH_COUNT(q->parts) >= q->parts_max)
        forget_least_accused(q);
    p = bbm_calloc(1, sizeof(*p));
    p->entry.part = part;
    p->list = list_of(p);
    TAILQ_INSERT_TAIL(&q->lists[p->list], p, link);
    HASH_ADD(hh, q->parts, entry.part, sizeof(part), p);
    return p;
}

/* ---- runs ---- */

static quarantine_run *
find_run(const bbm_quarantine *q, const bbm_upstream_run *run)
{
    quarantine_run *r = NULL;
    HASH_FIND(hh, q->runs, run, sizeof(*run), r);
    return r;
}

static void
forget_run(bbm_quarantine *q, quarantine_run *r)
{
    TAILQ_REMOVE(&q->runs_by_time, r, link);
    HASH_DEL(q->runs, r);
    free(r);
}

static quarantine_run *
find_or_add_run(bbm_quarantine *q, const bbm_upstream_run *run)
{
    quarantine_run *r = find_run(q, run);
    if (r)
        return r;
    if (HASH_COUNT(q->runs) >= RUNS_MAX)
        forget_run(q, q->runs);
    r = bbm_calloc(1, sizeof(*r));
    r->run = *run;
    TAILQ_INSERT_HEAD(&q->runs_by_time, r, link);
    HASH_ADD(hh, q->runs, run, sizeof(r->run), r);
    return r;
}

static void
set_crash_time(bbm_quarantine *q, quarantine_run *r, bbm_time at)
{
    r->at = at;
    TAILQ_REMOVE(&q->runs_by_time, r, link);
    quarantine_run *before;
    TAILQ_FOREACH_REVERSE(before, &q->runs_by_time, quarantine_runs, link)
    {
        if (before->at <= at)
            break;
    }
    if (before)
        TAILQ_INSERT_AFTER(&q->runs_by_time, before, r, link);
    else
        TAILQ_INSERT_HEAD(&q->runs_by_time, r, link);
}

static bool
is_same_run(const bbm_upstream_run *a, const bbm_upstream_run *b)
{
    return a->upstream == b->upstream && a->run == b->run;
}

/* Index of the crash of a run; crashes_len if it isn't recorded. */
static size_t
find_crash(const bbm_quarantine_entry *e, const bbm_upstream_run *run)
{
    size_t i = 0;
    while (i < e->crashes_len && !is_same_run(&e->crashes[i].run, run))
        i++;
    return i;
}

/* ---- pools ---- */

static quarantine_pool *
find_pool(const bbm_quarantine *q, uint64_t pool)
{
    quarantine_pool *p = NULL;
    HASH_FIND(hh, q->pools, &pool, sizeof(pool), p);
    return p;
}

static void
record_answer(bbm_quarantine *q, const bbm_part_answer *answer)
{
    quarantine_pool *p = find_pool(q, answer->pool);
    if (!p && HASH_COUNT(q->pools) >= POOLS_MAX) {
        quarantine_pool *oldest = q->pools;
        HASH_DEL(q->pools, oldest);
        free(oldest);
    }
    if (!p) {
        p = bbm_calloc(1, sizeof(*p));
        p->pool = answer->pool;
        HASH_ADD(hh, q->pools, pool, sizeof(p->pool), p);
    }
    if (answer->began_at > p->answer_began_at)
        p->answer_began_at = answer->began_at;
}

/* ---- verdicts ---- */

static void
put_in_force(bbm_quarantine *q, quarantine_part *p, bbm_time until,
             bbm_quarantine_change_kind kind, bbm_time now)
{
    p->in_force = true;
    if (is_request(p) && !p->entry.retry_at)
        p->entry.retry_at = now + REQUEST_TRIAL_FIRST;
    q->in_force_len++;
    p->entry.until = until;
    update_list(q, p);
    push_change(q, kind, p);
}

static void
quarantine(bbm_quarantine *q, quarantine_part *p, bbm_time now)
{
    bbm_time span = QUARANTINE_FIRST;
    for (uint32_t i = 0; i < p->times && span < QUARANTINE_MAX; i++)
        span *= 2;
    if (span > QUARANTINE_MAX)
        span = QUARANTINE_MAX;
    p->times++;
    put_in_force(q, p, now + span, BBM_PART_QUARANTINED, now);
    quarantine_announce(q, p, SENDS, now);
}

/* True if several upstreams were lost at once, and not all requests that were
   open there had the part: something else ended them.  Among more runs than a
   part can have crashes, one without it is found, so few are looked at. */
static bool
is_common_loss(const bbm_quarantine *q, const quarantine_part *p,
               const bbm_part_crash *crash)
{
    size_t lost = 0;
    size_t without = 0;
    const quarantine_run *r;
    TAILQ_FOREACH_REVERSE(r, &q->runs_by_time, quarantine_runs, link)
    {
        if (r->at < crash->at - ONE_LOSS_TIME
            || (lost >= COMMON_LOSS_MIN && without > 0))
            break;
        if (r->at <= r->alive_at || r->at > crash->at + ONE_LOSS_TIME)
            continue;
        lost++;
        without += find_crash(&p->entry, &r->run) == p->entry.crashes_len;
    }
    return lost >= COMMON_LOSS_MIN && without > 0;
}

/* Time of the crash with which there are enough; 0: there aren't. */
static bbm_time
enough_crashes_at(const bbm_quarantine *q, const quarantine_part *p)
{
    bbm_time at = 0;
    size_t own = 0;
    for (size_t i = 0; i < p->entry.crashes_len; i++) {
        const bbm_part_crash *crash = &p->entry.crashes[i];
        at = crash->at > at ? crash->at : at;
        own += !is_common_loss(q, p, crash);
        if (own >= QUARANTINE_CRASHES_MIN || i + 1 >= CRASHES_ENOUGH)
            return at;
    }
    return 0;
}

/* If the first crashes were of a common loss, the crash that decides may be
   long after the third: another answer must have begun since then. */
static bool
is_proved(const bbm_quarantine *q, quarantine_part *p, bbm_time now)
{
    if (!p->counted_at)
        return false;
    const quarantine_pool *pool = find_pool(q, p->pool);
    bbm_time enough_at = pool ? enough_crashes_at(q, p) : 0;
    if (!enough_at || pool->answer_began_at <= enough_at)
        return false;
    if (!p->answered_at)
        p->answered_at = now;
    if (is_request(p))
        return now - p->answered_at >= ACQUITTAL_TIME;
    return p->crashed_again && now - p->counted_at >= ACQUITTAL_TIME;
}

/* ---- evidence ---- */

/* True if the request of this crash was sent in spite of the first one. */
static bool
is_sent_later(const bbm_quarantine_entry *e, const bbm_part_crash *crash)
{
    return crash->sent_at > e->crashes[0].at + CRASH_KNOWN_AFTER;
}

static void
remove_crash(bbm_quarantine_entry *e, size_t i)
{
    e->crashes_len--;
    memmove(&e->crashes[i], &e->crashes[i + 1],
            (e->crashes_len - i) * sizeof(e->crashes[0]));
}

/* To be called after crashes were removed from a part. */
static void
recount(quarantine_part *p)
{
    const bbm_quarantine_entry *e = &p->entry;
    p->accused_at = e->crashes_len ? e->crashes[0].at : 0;
    p->counted_at = e->crashes_len >= QUARANTINE_CRASHES_MIN
                        ? e->crashes[QUARANTINE_CRASHES_MIN - 1].at
                        : 0;
    p->answered_at = 0;
    p->crashed_again = false;
    for (size_t i = 1; i < e->crashes_len; i++)
        p->crashed_again =
            p->crashed_again || is_sent_later(e, &e->crashes[i]);
}

/* Adds a crash unless its run is recorded; the oldest one gives way.  Returns
   true if it is the first to say that a trial was ended. */
static bool
add_crash(bbm_quarantine_entry *e, const bbm_part_crash *crash)
{
    size_t i = find_crash(e, &crash->run);
    if (i < e->crashes_len) {
        bool is_new = crash->trial && !e->crashes[i].trial;
        e->crashes[i].trial = e->crashes[i].trial || crash->trial;
        return is_new;
    }
    if (e->crashes_len == BBM_QUARANTINE_CRASHES_MAX)
        remove_crash(e, 0);
    e->crashes[e->crashes_len++] = *crash;
    return crash->trial;
}

/* Trials that began before the first of them crashed a runner count once. */
static void
delay_trials(quarantine_part *p, bbm_time now)
{
    bbm_quarantine_entry *e = &p->entry;
    bbm_time span = is_request(p) ? REQUEST_TRIAL_FIRST * TRIAL_RETRY_FACTOR
                                  : TRIAL_RETRY_FIRST;
    if (now < e->retry_at)
        return;
    for (uint32_t i = 0; i < e->failed_trials && span < QUARANTINE_MAX; i++)
        span *= TRIAL_RETRY_FACTOR;
    e->failed_trials++;
    e->retry_at = now + span;
}

static void
accuse_part(bbm_quarantine *q, uint64_t part, const bbm_part_crash *crash,
            bbm_time now)
{
    quarantine_part *p = find_or_add_part(q, part);
    bbm_quarantine_entry *e = &p->entry;
    if (crash->at <= p->acquitted_at)
        return;
    p->changed_at = now;
    if (crash->at > e->last_crash_at)
        e->last_crash_at = crash->at;
    p->crashed_again =
        p->crashed_again || (e->crashes_len && is_sent_later(e, crash));
    if (crash->pool)
        p->pool = crash->pool;
    bool ended_trial = add_crash(e, crash);
    update_list(q, p);
    if (ended_trial && p->in_force) {
        delay_trials(p, now);
        quarantine_announce(q, p, SENDS, now);
    }
    if (!p->accused_at)
        p->accused_at = crash->at;
    if (!p->counted_at && e->crashes_len >= QUARANTINE_CRASHES_MIN)
        p->counted_at = crash->at;
    bool again = !p->in_force && p->times > 0 && crash->sent_at > e->until;
    if (!again)
        return;
    quarantine(q, p, now);
    delay_trials(p, now);
}

void
quarantine_accuse(bbm_quarantine *q, const bbm_part_crash *crash,
                  const uint64_t *parts, size_t len, bbm_time now)
{
    quarantine_run *r = find_or_add_run(q, &crash->run);
    if (crash->at <= r->alive_at)
        return;
    if (crash->at > r->at)
        set_crash_time(q, r, crash->at);
    for (size_t i = 0; i < len; i++)
        accuse_part(q, parts[i], crash, now);
}

bool
quarantine_acquit(bbm_quarantine *q, uint64_t part, bbm_time began_at,
                  bbm_time now)
{
    quarantine_part *p = find_part(q, part);
    if (!p || began_at <= p->acquitted_at)
        return false;
    bbm_quarantine_entry *e = &p->entry;
    bool released = p->in_force && began_at > e->last_crash_at;
    size_t before = e->crashes_len;
    p->acquitted_at = began_at;
    p->changed_at = now;
    if (released) {
        push_change(q, BBM_PART_RELEASED, p);
        lift(q, p);
    }
    if (began_at > e->last_crash_at)
        p->times = 0;
    for (size_t i = e->crashes_len; i > 0; i--) {
        if (e->crashes[i - 1].at < began_at)
            remove_crash(e, i - 1);
    }
    if (e->crashes_len < before)
        recount(p);
    update_list(q, p);
    return released || e->crashes_len < before;
}

bool
quarantine_withdraw(bbm_quarantine *q, const bbm_upstream_run *run,
                    bbm_time at, bbm_time now)
{
    quarantine_run *r = find_or_add_run(q, run);
    if (at <= r->alive_at)
        return false;
    r->alive_at = at;
    for (quarantine_part *p = q->parts; p; p = p->hh.next) {
        bbm_quarantine_entry *e = &p->entry;
        size_t before = e->crashes_len;
        for (size_t i = e->crashes_len; i > 0; i--) {
            const bbm_part_crash *c = &e->crashes[i - 1];
            if (is_same_run(&c->run, run) && c->at <= at)
                remove_crash(e, i - 1);
        }
        if (e->crashes_len == before)
            continue;
        recount(p);
        update_list(q, p);
        p->changed_at = now;
    }
    return true;
}

void
quarantine_tell_acquittal(bbm_quarantine *q, uint64_t part, bbm_time now)
{
    quarantine_news *row =
        quarantine_push_news(q, QUARANTINE_NEWS_ACQUITTAL, SENDS, now);
    row->u.acquittal.part = part;
    row->u.acquittal.began_at = find_part(q, part)->acquitted_at;
}

bool
bbm_quarantine_adopt(bbm_quarantine *q, const bbm_quarantine_entry *entry,
                     uint32_t times, bbm_time now)
{
    if (entry->until <= now)
        return true;
    quarantine_part *p = find_or_add_part(q, entry->part);
    if (entry->last_crash_at <= p->acquitted_at)
        return false;
    if (entry->retry_at > p->entry.retry_at) {
        p->entry.failed_trials = entry->failed_trials;
        p->entry.retry_at = entry->retry_at;
    }
    if (p->in_force)
        return true;
    p->changed_at = now;
    p->times = times;
    if (entry->last_crash_at > p->entry.last_crash_at)
        p->entry.last_crash_at = entry->last_crash_at;
    put_in_force(q, p, entry->until, BBM_PART_REPORTED, now);
    quarantine_announce(q, p, 0, now);
    return true;
}

/* ---- what this VM sees ---- */

static void
tell_crash(bbm_quarantine *q, const bbm_part_crash *crash,
           const uint64_t *parts, size_t len, bbm_time now)
{
    while (len) {
        size_t n =
            len < QUARANTINE_ROW_PARTS_MAX ? len : QUARANTINE_ROW_PARTS_MAX;
        quarantine_news *row =
            quarantine_push_news(q, QUARANTINE_NEWS_CRASH, SENDS, now);
        row->u.crash.crash = *crash;
        row->u.crash.len = n;
        memcpy(row->u.crash.parts, parts, n * sizeof(*parts));
        parts += n;
        len -= n;
    }
}

void
bbm_quarantine_add_crash(bbm_quarantine *q, const bbm_part_crash *crash,
                         const uint64_t *parts, size_t len, bbm_time now)
{
    if (!len)
        return;
    quarantine_accuse(q, crash, parts, len, now);
    tell_crash(q, crash, parts, len, now);
}

static void
acquit_and_tell(bbm_quarantine *q, uint64_t part, bbm_time began_at,
                bbm_time now)
{
    if (quarantine_acquit(q, part, began_at, now))
        quarantine_tell_acquittal(q, part, now);
}

/* A run that has answered a request which was sent after its crash. */
static void
withdraw_and_tell(bbm_quarantine *q, const bbm_part_answer *answer,
                  bbm_time now)
{
    const quarantine_run *r = find_run(q, &answer->run);
    if (!r || answer->sent_at <= r->at
        || answer->sent_at - r->at >= RESTART_TIME_MIN
        || !quarantine_withdraw(q, &answer->run, r->at, now))
        return;
    quarantine_news *row =
        quarantine_push_news(q, QUARANTINE_NEWS_ALIVE, SENDS, now);
    row->u.alive.run = r->run;
    row->u.alive.at = r->at;
}

void
bbm_quarantine_add_answer(bbm_quarantine *q, const bbm_part_answer *answer,
                          const uint64_t *parts, size_t len, bbm_time now)
{
    record_answer(q, answer);
    if (!q->parts)
        return;
    for (size_t i = 0; i < len; i++)
        acquit_and_tell(q, parts[i], answer->began_at, now);
    withdraw_and_tell(q, answer, now);
}

/* ---- decisions ---- */

static bool
is_outdated(const quarantine_part *p, bbm_time now)
{
    bool accused = p->entry.crashes_len > 0 || p->times > 0;
    bbm_time since =
        p->changed_at > p->entry.until ? p->changed_at : p->entry.until;
    return now - since > (accused ? ACCUSED_MEMORY : ACQUITTED_MEMORY);
}

static void
decide(bbm_quarantine *q, quarantine_part *p, bbm_time now)
{
    if (p->in_force && now >= p->entry.until) {
        lift(q, p);
        push_change(q, BBM_PART_EXPIRED, p);
        p->entry.crashes_len = 0;
        recount(p);
        update_list(q, p);
    }
    if (!p->in_force && is_proved(q, p, now))
        quarantine(q, p, now);
    if (p->in_force && now >= p->announce_at)
        quarantine_announce(q, p, 1, now);
    if (!p->in_force && is_outdated(p, now))
        forget_part(q, p);
}

/* Only parts with enough crashes and those in force are looked at each time.
 */
static void
tick_parts(bbm_quarantine *q, bbm_time now)
{
    for (size_t i = 0; i < QUARANTINE_CRASHES_MIN; i++) {
        quarantine_part *oldest;
        while ((oldest = TAILQ_FIRST(&q->lists[i])) != NULL
               && is_outdated(oldest, now))
            forget_part(q, oldest);
    }
    for (size_t i = QUARANTINE_LISTS; i > QUARANTINE_CRASHES_MIN; i--) {
        quarantine_part *p = TAILQ_FIRST(&q->lists[i - 1]);
        while (p) {
            quarantine_part *next = TAILQ_NEXT(p, link);
            decide(q, p, now);
            p = next;
        }
    }
}

void
bbm_quarantine_tick(bbm_quarantine *q, bbm_time now)
{
    tick_parts(q, now);
    quarantine_run *r, *next_run;
    HASH_ITER(hh, q->runs, r, next_run)
    {
        if (now - r->at <= RUN_MEMORY || now - r->alive_at <= RUN_MEMORY)
            continue;
        forget_run(q, r);
    }
}

/* ---- requests ---- */

/* True if a run crashed with the part, as far as that is recorded. */
static bool
has_crash(const quarantine_part *p, const bbm_part_crash *crash)
{
    const bbm_quarantine_entry *e = &p->entry;
    bool forgotten = e->crashes_len == BBM_QUARANTINE_CRASHES_MAX
                     && crash->at < e->crashes[0].at;
    if (forgotten)
        return crash->at >= p->accused_at;
    return find_crash(e, &crash->run) < e->crashes_len;
}

/* True if the other part, accused since as long ago, has all crashes of this
   one but some, none of which ended a trial. */
static bool
explains(const quarantine_part *other, const quarantine_part *p)
{
    const bbm_quarantine_entry *e = &p->entry;
    size_t unexplained = 0;
    if (!e->crashes_len || !other->accused_at
        || other->accused_at > p->accused_at)
        return false;
    for (size_t i = 0; i < e->crashes_len; i++) {
        if (has_crash(other, &e->crashes[i]))
            continue;
        if (e->crashes[i].trial)
            return false;
        unexplained++;
    }
    return unexplained < QUARANTINE_CRASHES_MIN;
}

/* True if no quarantined part outside of the request that is judged explains
   the crashes. */
static bool
is_guilty(const bbm_quarantine *q, const quarantine_part *p)
{
    const quarantine_part *o;
    TAILQ_FOREACH(o, &q->lists[QUARANTINE_LIST_IN_FORCE], link)
    {
        if (o->judged != q->judged && explains(o, p))
            return false;
    }
    return true;
}

static quarantine_part *
find_quarantined(const bbm_quarantine *q, uint64_t part, bbm_time now)
{
    quarantine_part *p = q->parts ? find_part(q, part) : NULL;
    return p && p->in_force && now < p->entry.until ? p : NULL;
}

/* Marks the quarantined parts of a request as those that are judged. */
static void
begin_judgement(bbm_quarantine *q, const uint64_t *parts, size_t len)
{
    q->judged++;
    for (size_t i = 0; i < len; i++) {
        quarantine_part *p = find_part(q, parts[i]);
        if (p)
            p->judged = q->judged;
    }
}

bbm_parts_verdict
bbm_quarantine_judge(bbm_quarantine *q, const uint64_t *parts, size_t len,
                     bbm_time now, const bbm_quarantine_entry **entry)
{
    bbm_parts_verdict verdict = BBM_PARTS_CLEAR;
    *entry = NULL;
    if (!q->in_force_len)
        return verdict;
    begin_judgement(q, parts, len);
    for (size_t i = 0; i < len; i++) {
        const quarantine_part *p = find_quarantined(q, parts[i], now);
        if (!p)
            continue;
        *entry = &p->entry;
        if (is_guilty(q, p))
            return BBM_PARTS_GUILTY;
        verdict = BBM_PARTS_DOUBTED;
    }
    return verdict;
}

bbm_request_suspicion
bbm_quarantine_suspicion(const bbm_quarantine *q, uint64_t request,
                         bbm_time now, bbm_time *crash_at)
{
    const quarantine_part *p = q->parts ? find_part(q, request) : NULL;
    if (!p || !p->entry.crashes_len)
        return BBM_REQUEST_UNSUSPECTED;
    *crash_at = p->entry.last_crash_at;
    bbm_time age = now - p->entry.last_crash_at;
    bool again =
        p->entry.crashes_len >= SUSPECT_CRASHES_MIN
        && p->entry.last_crash_at - p->entry.crashes[0].at > ONE_LOSS_TIME;
    if (again && age < SUSPECT_TIME)
        return BBM_REQUEST_SUSPECT;
    return age < CRASHED_ONCE_TIME ? BBM_REQUEST_CRASHED_ONCE
                                   : BBM_REQUEST_UNSUSPECTED;
}

bool
bbm_quarantine_may_send_suspect(bbm_quarantine *q, uint64_t request,
                                bool chosen, bbm_time now)
{
    quarantine_part *p = find_part(q, request);
    if (!chosen || (p->tried_at && now - p->tried_at < BBM_TRIAL_TIME))
        return false;
    p->tried_at = now;
    return true;
}

bool
bbm_quarantine_has_crashed(const bbm_quarantine *q,
                           const bbm_upstream_run *run)
{
    const quarantine_run *r = q->runs ? find_run(q, run) : NULL;
    return r && r->at > r->alive_at;
}

bool
bbm_quarantine_begin_trial(bbm_quarantine *q, const uint64_t *parts,
                           size_t len, bool chosen, bbm_time now)
{
    const bbm_quarantine_entry *e;
    bool guilty =
        bbm_quarantine_judge(q, parts, len, now, &e) == BBM_PARTS_GUILTY;
    for (size_t i = 0; i < len; i++) {
        const quarantine_part *p = find_quarantined(q, parts[i], now);
        bool in_trial = p && p->tried_at && now - p->tried_at < BBM_TRIAL_TIME;
        if (in_trial || (p && guilty && now < p->entry.retry_at))
            return false;
    }
    if (guilty && !chosen)
        return false;
    for (size_t i = 0; i < len; i++) {
        quarantine_part *p = find_quarantined(q, parts[i], now);
        if (p)
            p->tried_at = now;
    }
    return true;
}

bool
bbm_quarantine_at(const bbm_quarantine *q, size_t i,
                  bbm_quarantine_entry *entry, uint32_t *times)
{
    const quarantine_part *p;
    TAILQ_FOREACH(p, &q->lists[QUARANTINE_LIST_IN_FORCE], link)
    {
        if (i--)
            continue;
        *entry = p->entry;
        *times = p->times;
        return true;
    }
    return false;
}

size_t
bbm_quarantine_count(const bbm_quarantine *q)
{
    return q->in_force_len;
}
