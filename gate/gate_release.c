#include "gate_core.h"

#include <stdlib.h>
#include <string.h>

/* Which upstreams of a pool may be used while its software is released.

   A pool without a release is served by all of its upstreams.  While one is in
   progress, the build that is released gets the share of this VM's requests
   that the replicated state allows, and only while that state is known to be
   recent: a VM that hears nothing sends it nothing.  Shares of single requests
   are saved up, and begin at a random part, so that VMs with few requests
   send their part too.  In the last stage all requests go to the released
   build, and no VM goes back to the old one unless the release is reverted. */

/* Releases that aren't known to be in force for this time allow nothing, if
   the parameters give none. */
#define DEFAULT_VIEW_MAX (3 * BBM_SECOND)
/* An upstream with fewer open requests than this share of its slots has
   room. */
#define ROOM_SHARE 0.5
/* An attempt counts as failed before it ends once it has waited for this
   multiple of the expected time and the longer of a multiple of its target
   latency and the minimum: its client may wait for longer than the release
   lasts.  The first multiple is beyond what counts as a slow answer
   (SLOW_BUCKETS in bbm_release.c). */
#define OVERDUE_RATIO 4.0
#define OVERDUE_TARGET_RATIO 3.0
#define OVERDUE_MIN BBM_SECOND

static gate_release *
find_release(const bbm_gate *g, const char *pool)
{
    gate_release *rel = NULL;
    HASH_FIND(hh, g->releases, pool, strlen(pool), rel);
    return rel;
}

static bool
is_new(const gate_release *rel, const gate_upstream *u)
{
    return strcmp(u->info.build, rel->info.build) == 0;
}

static bool
is_recent(const bbm_gate *g)
{
    bbm_time max =
        g->desc.release_view_max ? g->desc.release_view_max : DEFAULT_VIEW_MAX;
    return g->releases_fresh_at && g->now - g->releases_fresh_at <= max;
}

/* ---- the replicated state ---- */

static void
apply_release(bbm_gate *g, const bbm_release_info *info)
{
    gate_release *rel = find_release(g, info->pool);
    if (!rel) {
        rel = bbm_calloc(1, sizeof(*rel));
        rel->info = *info;
        HASH_ADD(hh, g->releases, info.pool, strlen(info->pool), rel);
    }
    if (rel->evidence.serial != info->serial) {
        bbm_evidence_free(&rel->evidence);
        rel->evidence.serial = info->serial;
        /* Over many VMs the random beginning adds nothing to the share: it
           makes up for what each of them doesn't send of its last part. */
        rel->credit = bbm_rng_unit(&g->rng);
        rel->age_base = g->now - (bbm_time)info->age_ms * BBM_MS;
    }
    bbm_time age_base = g->now - (bbm_time)info->age_ms * BBM_MS;
    if (info->step != rel->info.step && age_base < rel->age_base)
        rel->age_base = age_base;
    rel->info = *info;
    rel->evidence.step = info->step;
    rel->evidence.stage = info->stage;
}

void
bbm_gate_set_releases(bbm_gate *g, const bbm_releases *all, bbm_time now)
{
    gate_advance(g, now);
    for (size_t i = 0; i < all->len; i++) {
        const bbm_release_info *info = &all->items[i];
        if (bbm_releases_latest(all, info->pool) == info)
            apply_release(g, info);
    }
    gate_dispatch_waiting(g);
}

void
bbm_gate_set_releases_fresh(bbm_gate *g, bbm_time fresh_at)
{
    g->releases_fresh_at = fresh_at;
}

void
gate_free_releases(bbm_gate *g)
{
    gate_release *rel, *next;
    HASH_ITER(hh, g->releases, rel, next)
    {
        HASH_DEL(g->releases, rel);
        bbm_evidence_free(&rel->evidence);
        free(rel);
    }
}

/* ---- requests ---- */

static bool
is_in_progress(const gate_release *rel)
{
    return rel && rel->info.state == BBM_RELEASE_IN_PROGRESS;
}

void
gate_release_begin(bbm_gate *g, gate_request *r, const char *route)
{
    r->route_hash = bbm_hash_text(route, 0);
    gate_release *rel = find_release(g, r->pools[0]);
    /* The VM that a client called has counted it. */
    if (!is_in_progress(rel) || r->is_relayed)
        return;
    rel->evidence.requests++;
    rel->credit += (double)rel->info.share / 1000;
    if (rel->credit < 1)
        return;
    rel->credit -= 1;
    r->tries_release = true;
}

/* True if an upstream of the released build can take a request now. */
static bool
has_room(const bbm_gate *g, const gate_request *r, const gate_release *rel)
{
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (!u->listed || !u->pool || !is_new(rel, u)
            || strcmp(u->info.pool, rel->info.pool) != 0 || gate_is_leaving(u)
            || gate_is_paused(g, u) || gate_is_avoided(g, u))
            continue;
        bool failed = false;
        for (size_t i = 0; i < r->failed_len; i++)
            failed = failed || r->failed_upstreams[i] == u->hash;
        if (!failed && gate_open_requests(g, u) < gate_slots_of(u))
            return true;
    }
    return false;
}

void
gate_release_prepare(const bbm_gate *g, gate_request *r)
{
    if (!r->tries_release)
        return;
    const gate_release *rel = find_release(g, r->pools[0]);
    if (!is_in_progress(rel) || !is_recent(g) || !has_room(g, r, rel))
        r->tries_release = false;
}

/* True if an upstream of the released build is listed and doesn't leave. */
static bool
serves_new(const bbm_gate *g, const gate_release *rel)
{
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->listed && strcmp(u->info.pool, rel->info.pool) == 0
            && is_new(rel, u) && !gate_is_leaving(u))
            return true;
    }
    return false;
}

static bool
allows_in_progress(const bbm_gate *g, const gate_request *r,
                   const gate_release *rel, const gate_upstream *u)
{
    if (rel->info.stage == BBM_RELEASE_FULL)
        return is_new(rel, u) && is_recent(g);
    /* A stream goes on where it began. */
    if (r->origin_state == GATE_ORIGIN_KNOWN)
        return !is_new(rel, u) || is_recent(g);
    return is_new(rel, u) ? r->tries_release && is_recent(g)
                          : !r->tries_release;
}

bool
gate_release_allows(const bbm_gate *g, const gate_request *r,
                    const gate_upstream *u)
{
    const gate_release *rel = find_release(g, u->info.pool);
    if (!rel)
        return true;
    switch (rel->info.state) {
    case BBM_RELEASE_IN_PROGRESS:
        return allows_in_progress(g, r, rel, u);
    case BBM_RELEASE_COMPLETED:
        return is_new(rel, u) || !serves_new(g, rel);
    case BBM_RELEASE_REVERTED:
        return !is_new(rel, u);
    }
    return true;
}

bool
gate_release_holds(const bbm_gate *g, const gate_upstream *u)
{
    const gate_release *rel = find_release(g, u->info.pool);
    return is_in_progress(rel) && rel->info.stage == BBM_RELEASE_FULL
           && is_new(rel, u) && !is_recent(g);
}

bool
gate_release_is_marked(const bbm_gate *g, const gate_upstream *u)
{
    const gate_release *rel = find_release(g, u->info.pool);
    return rel && is_new(rel, u);
}

/* ---- evidence ---- */

/* The release that an attempt tells about, or NULL. */
static gate_release *
release_of(const bbm_gate *g, const gate_request *r)
{
    gate_release *rel =
        r->upstream ? find_release(g, r->upstream->info.pool) : NULL;
    return is_in_progress(rel) ? rel : NULL;
}

void
gate_release_record_send(bbm_gate *g, const gate_request *r)
{
    gate_release *rel = release_of(g, r);
    if (!rel || !is_new(rel, r->upstream))
        return;
    rel->evidence.sends++;
    g->counts.release_sends++;
}

static void
record(bbm_gate *g, gate_request *r, bool failed, bbm_time latency)
{
    gate_release *rel = release_of(g, r);
    /* After a stop of this process everything looks late. */
    if (!rel || g->was_stopped || r->release_overdue == r->attempts)
        return;
    bbm_evidence_add(&rel->evidence, r->upstream->hash, r->route_hash,
                     is_new(rel, r->upstream), failed, latency);
}

void
gate_release_record_failure(bbm_gate *g, gate_request *r)
{
    record(g, r, true, 0);
    r->tries_release = false;
}

void
gate_release_record_head(bbm_gate *g, gate_request *r)
{
    if (r->stream)
        record(g, r, false, g->now - r->sent_at);
}

void
gate_release_check_wait(bbm_gate *g, gate_request *r)
{
    bbm_time wait =
        (bbm_time)((double)r->target_latency * OVERDUE_TARGET_RATIO);
    if (wait < OVERDUE_MIN)
        wait = OVERDUE_MIN;
    wait += (bbm_time)(r->forecast_ms * OVERDUE_RATIO * (double)BBM_MS);
    /* What this VM hasn't read yet may be its answer. */
    wait += gate_longest_stall(g);
    if (g->now - r->sent_at <= wait)
        return;
    record(g, r, true, 0);
    r->release_overdue = r->attempts;
}

void
gate_release_record_leave(bbm_gate *g, gate_request *r)
{
    bbm_time waited = g->now - r->sent_at;
    if (r->stage == GATE_SENT
        && (double)waited > r->forecast_ms * (double)BBM_MS)
        record(g, r, false, waited);
}

/* A build that refuses what it has room for doesn't work; one that is full or
   asks for a pause does. */
static bool
refused_with_room(const bbm_gate *g, const gate_upstream *u)
{
    return !gate_is_paused(g, u)
           && gate_open_requests(g, u) < gate_slots_of(u) * ROOM_SHARE;
}

void
gate_release_record_end(bbm_gate *g, gate_request *r,
                        const bbm_forward_result *result)
{
    switch (result->outcome) {
    case BBM_FORWARD_COMPLETE:
        if (result->status >= 500)
            gate_release_record_failure(g, r);
        else if (!r->stream || !r->head_at)
            record(g, r, false, g->now - r->sent_at);
        return;
    case BBM_FORWARD_FAILED:
    case BBM_FORWARD_NO_ANSWER:
    case BBM_FORWARD_TRUNCATED:
        if (!result->adopted)
            gate_release_record_failure(g, r);
        return;
    case BBM_FORWARD_NOT_RUN:
        if (result->status == 503 && refused_with_room(g, r->upstream))
            record(g, r, true, 0);
        r->tries_release = false;
        return;
    case BBM_FORWARD_UNSENT:
        r->tries_release = false;
        return;
    }
}

static uint64_t
count_old_open(const bbm_gate *g, const gate_release *rel)
{
    uint64_t open = 0;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (strcmp(u->info.pool, rel->info.pool) == 0 && !is_new(rel, u))
            open += u->open_requests;
    }
    return open;
}

const bbm_evidence *
bbm_gate_release_evidence(bbm_gate *g, size_t i, bbm_time now)
{
    gate_advance(g, now);
    for (gate_release *rel = g->releases; rel; rel = rel->hh.next) {
        if (!is_in_progress(rel) || i--)
            continue;
        rel->evidence.age_ms = (uint64_t)((g->now - rel->age_base) / BBM_MS);
        rel->evidence.old_open = count_old_open(g, rel);
        return &rel->evidence;
    }
    return NULL;
}

size_t
gate_release_count(const bbm_gate *g)
{
    size_t len = 0;
    for (const gate_release *rel = g->releases; rel; rel = rel->hh.next)
        len += is_in_progress(rel);
    return len;
}
