#include "bbm_raft.h"

#include "bbm_codes.h"
#include "raft_core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_ELECTION (500 * BBM_MS)
#define DEFAULT_DRIFT_PPM 1000
#define DEFAULT_BATCH_BYTES ((size_t)512 * 1024)
#define HEARTBEATS_PER_ELECTION 5
/* A member that has just started asks for pre-votes so many times sooner. */
#define ANEW_PER_ELECTION 5

/* ---- roles ---- */

bool
raft_is_anew(const bbm_raft *r)
{
    return !r->heard_leader && !r->led_since;
}

/* Members that have just started have no leader to wait for; a pre-vote
   disturbs none that there is.  A vote takes its time. */
void
raft_reset_timeout(bbm_raft *r)
{
    bbm_time least = r->desc.election_timeout;
    if (raft_is_anew(r) && r->role != BBM_CANDIDATE)
        least /= ANEW_PER_ELECTION;
    uint64_t spread = bbm_rng_below(&r->rng, (uint64_t)least);
    r->timeout_at = r->now + least + (bbm_time)spread;
}

void
raft_follow(bbm_raft *r, uint64_t term, bbm_member_id leader)
{
    bool change =
        r->role != BBM_FOLLOWER || r->leader != leader || r->term != term;
    if (term > r->term) {
        r->term = term;
        r->vote = 0;
        raft_persist(r, NULL, 0, 0);
    }
    if (r->role != BBM_FOLLOWER)
        raft_reset_timeout(r);
    r->role = BBM_FOLLOWER;
    r->leader = leader;
    if (change)
        raft_output(r, BBM_RAFT_ROLE);
}

static bbm_time
quorum_acked(const bbm_raft *r)
{
    int64_t acked[BBM_RAFT_MEMBERS_MAX];
    for (size_t i = 0; i < r->group.len; i++) {
        bool self = r->group.members[i].id == r->desc.id;
        acked[i] = self ? r->now : r->peers[i].acked;
    }
    return raft_quorum_value(r, acked);
}

/* A leader that hasn't heard a quorum for an election time steps down: by
   then others may have elected another. */
static void
check_quorum(bbm_raft *r)
{
    bbm_time since = quorum_acked(r);
    if (since < r->led_since)
        since = r->led_since;
    if (r->now - since > r->desc.election_timeout)
        raft_follow(r, r->term, 0);
}

static void
see_time(bbm_raft *r, bbm_time now)
{
    if (now > r->now)
        r->now = now;
    if (r->role == BBM_LEADER)
        check_quorum(r);
}

/* ---- public calls ---- */

static void
fill_defaults(bbm_raft_desc *d)
{
    if (!d->election_timeout)
        d->election_timeout = DEFAULT_ELECTION;
    if (!d->heartbeat_interval)
        d->heartbeat_interval = d->election_timeout / HEARTBEATS_PER_ELECTION;
    if (!d->drift_ppm)
        d->drift_ppm = DEFAULT_DRIFT_PPM;
    if (!d->batch_bytes)
        d->batch_bytes = DEFAULT_BATCH_BYTES;
}

static void
restore_saved(bbm_raft *r, bbm_raft_saved *saved)
{
    r->term = saved->term;
    r->vote = saved->vote;
    r->log.snapshot = saved->snapshot;
    r->log.entries = saved->entries;
    r->log.len = saved->len;
    r->log.cap = saved->len;
    r->commit = r->log.snapshot.index;
    r->applied = r->log.snapshot.index;
    r->durable_index = raft_log_last(&r->log);
    *saved = (bbm_raft_saved){0};
    if (r->log.snapshot.index) {
        bbm_raft_output *out = raft_output(r, BBM_RAFT_RESTORE);
        out->u.restore.index = r->log.snapshot.index;
        bbm_buf_add(&out->u.restore.data, r->log.snapshot.data.data,
                    r->log.snapshot.data.len);
    }
    raft_regroup(r);
}

bbm_raft *
bbm_raft_create(const bbm_raft_desc *desc)
{
    assert(desc->id);
    bbm_raft *r = bbm_calloc(1, sizeof(*r));
    r->desc = *desc;
    fill_defaults(&r->desc);
    /* Hashed, not added: two members must not draw the same timeouts. */
    r->rng = bbm_rng_of(bbm_hash64(&desc->id, sizeof(desc->id), desc->seed));
    r->now = desc->now;
    TAILQ_INIT(&r->ready);
    TAILQ_INIT(&r->held);
    if (desc->saved)
        restore_saved(r, desc->saved);
    r->desc.saved = NULL;
    /* Promises made before a restart are forgotten: keep them all. */
    r->quiet_until = desc->now + r->desc.election_timeout;
    raft_reset_timeout(r);
    return r;
}

void
bbm_raft_destroy(bbm_raft *r)
{
    if (!r)
        return;
    raft_queued *q;
    while ((q = TAILQ_FIRST(&r->ready)) != NULL) {
        TAILQ_REMOVE(&r->ready, q, link);
        raft_free_queued(q);
    }
    while ((q = TAILQ_FIRST(&r->held)) != NULL) {
        TAILQ_REMOVE(&r->held, q, link);
        raft_free_queued(q);
    }
    raft_free_queued(r->taken);
    raft_log_free(&r->log);
    free(r->durables);
    free(r);
}

int
bbm_raft_bootstrap(bbm_raft *r, const bbm_raft_member *members, size_t len,
                   bbm_time now)
{
    bool fresh = raft_log_last(&r->log) == 0 && r->term == 0;
    if (!fresh || len == 0 || len > BBM_RAFT_MEMBERS_MAX)
        return BBM_ERR_UNSAFE;
    see_time(r, now);
    bbm_raft_group group = {.len = len};
    memcpy(group.members, members, len * sizeof(*members));
    r->term = 1;
    bbm_buf buf = {0};
    bbm_raft_group_encode(&group, &buf);
    raft_append(r, BBM_ENTRY_GROUP, buf.data, buf.len);
    bbm_buf_free(&buf);
    r->timeout_at = now;
    return BBM_OK;
}

void
bbm_raft_tick(bbm_raft *r, bbm_time now)
{
    see_time(r, now);
    if (r->role == BBM_LEADER) {
        if (r->now >= r->beat_at)
            raft_broadcast(r);
        return;
    }
    if (r->now >= r->timeout_at && raft_is_voter(r))
        raft_start_prevote(r);
}

int
bbm_raft_receive(bbm_raft *r, const uint8_t *data, size_t len, bbm_time now)
{
    raft_message m;
    int rc = raft_message_decode(data, len, &m);
    if (rc < 0)
        return rc;
    see_time(r, now);
    if (m.to != r->desc.id) {
        free(m.entries);
        return BBM_ERR_DECODE;
    }
    switch (m.kind) {
    case RAFT_PREVOTE:
    case RAFT_VOTE:
        raft_on_vote(r, &m);
        break;
    case RAFT_PREVOTE_REPLY:
    case RAFT_VOTE_REPLY:
        raft_on_vote_reply(r, &m);
        break;
    case RAFT_APPEND:
        raft_on_append(r, &m);
        break;
    case RAFT_APPEND_REPLY:
        raft_on_append_reply(r, &m);
        break;
    case RAFT_SNAPSHOT:
        raft_on_snapshot(r, &m);
        break;
    case RAFT_KINDS:
        break;
    }
    free(m.entries);
    return BBM_OK;
}

void
bbm_raft_persisted(bbm_raft *r, uint64_t seq, bbm_time now)
{
    see_time(r, now);
    if (seq > r->persist_done)
        r->persist_done = seq;
    size_t keep = 0;
    for (size_t i = 0; i < r->durables_len; i++) {
        if (r->durables[i].seq <= seq)
            r->durable_index = r->durables[i].index;
        else
            r->durables[keep++] = r->durables[i];
    }
    r->durables_len = keep;
    raft_release_held(r);
    if (r->role == BBM_LEADER)
        raft_advance(r);
}

int
bbm_raft_propose(bbm_raft *r, const uint8_t *data, size_t len, bbm_time now,
                 uint64_t *index)
{
    see_time(r, now);
    if (r->role != BBM_LEADER)
        return BBM_ERR_NOT_LEADER;
    *index = raft_append(r, BBM_ENTRY_COMMAND, data, len);
    raft_broadcast(r);
    return BBM_OK;
}

void
bbm_raft_compact(bbm_raft *r, uint64_t index, bbm_buf data)
{
    assert(index <= r->applied);
    if (index <= r->log.snapshot.index) {
        bbm_buf_free(&data);
        return;
    }
    bbm_raft_snapshot snap = {
        .index = index,
        .term = raft_log_term(&r->log, index),
        .data = data,
    };
    snap.group = r->log.snapshot.group;
    for (uint64_t i = r->log.snapshot.index + 1; i <= index; i++) {
        const bbm_entry *e = raft_log_at(&r->log, i);
        if (e->kind != BBM_ENTRY_GROUP)
            continue;
        bbm_reader rd = bbm_reader_of(e->data, e->len);
        bbm_raft_group_decode(&rd, &snap.group);
    }
    raft_log_snapshot(&r->log, &snap);
    raft_persist(r, &r->log.snapshot, 0, index + 1);
}

/* ---- what can be asked ---- */

bbm_raft_role
bbm_raft_role_of(const bbm_raft *r)
{
    return r->role;
}

uint64_t
bbm_raft_term(const bbm_raft *r)
{
    return r->term;
}

bbm_member_id
bbm_raft_leader(const bbm_raft *r)
{
    return r->role == BBM_LEADER ? r->desc.id : r->leader;
}

uint64_t
bbm_raft_commit_index(const bbm_raft *r)
{
    return r->commit;
}

uint64_t
bbm_raft_last_index(const bbm_raft *r)
{
    return raft_log_last(&r->log);
}

size_t
bbm_raft_log_len(const bbm_raft *r)
{
    return r->log.len;
}

const bbm_raft_group *
bbm_raft_group_of(const bbm_raft *r)
{
    return &r->group;
}

const bbm_raft_member *
bbm_raft_member_of(const bbm_raft *r, bbm_member_id id)
{
    int pos = raft_position(r, id);
    return pos < 0 ? NULL : &r->group.members[pos];
}

bbm_time
bbm_raft_lease_until(const bbm_raft *r)
{
    bool settled =
        r->role == BBM_LEADER && raft_log_term(&r->log, r->commit) == r->term;
    if (!settled)
        return 0;
    bbm_time span = r->desc.election_timeout;
    span -= span / 1000000 * r->desc.drift_ppm;
    return quorum_acked(r) + span;
}

bbm_time
bbm_raft_last_leader_contact_at(const bbm_raft *r)
{
    return r->role == BBM_LEADER ? r->now : r->heard_leader;
}

bbm_time
bbm_raft_last_contact_at(const bbm_raft *r, bbm_member_id id)
{
    int pos = raft_position(r, id);
    return pos < 0 ? 0 : r->peers[pos].heard;
}
