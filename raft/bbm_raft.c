#include "bbm_raft.h"

#include "bbm_codes.h"
#include "raft_core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_ELECTION_TIMEOUT (500 * BBM_MS)
#define DEFAULT_DRIFT_PPM 1000
#define DEFAULT_BATCH_BYTES ((size_t)512 * 1024)
#define DEFAULT_BACKLOG_BYTES ((size_t)4 * 1024 * 1024)
#define HEARTBEATS_PER_ELECTION 5
/* The timeout before a pre-vote is divided by this while a member has seen no
   leader since its start. */
#define EARLY_PREVOTE_DIVISOR 5

/* ---- roles ---- */

bool
raft_no_leader_seen(const bbm_raft *r)
{
    return !r->last_leader_contact_at && !r->leader_since;
}

/* A member that has seen no leader since its start has none to wait for, and a
   pre-vote doesn't disturb an existing leader: its timeout is shorter.  A
   candidate waits for the full timeout. */
void
raft_reset_timeout(bbm_raft *r)
{
    bbm_time min = r->desc.election_timeout;
    if (raft_no_leader_seen(r) && r->role != BBM_CANDIDATE)
        min /= EARLY_PREVOTE_DIVISOR;
    uint64_t jitter = bbm_rng_below(&r->rng, (uint64_t)min);
    r->election_timeout_at = r->now + min + (bbm_time)jitter;
}

void
raft_adopt_term(bbm_raft *r, uint64_t term, bbm_member_id leader, bool persist)
{
    bool change =
        r->role != BBM_FOLLOWER || r->leader != leader || r->term != term;
    if (term > r->term) {
        r->term = term;
        r->vote = 0;
        if (persist)
            raft_persist(r, NULL, 0, 0);
    }
    if (r->role != BBM_FOLLOWER)
        raft_reset_timeout(r);
    r->role = BBM_FOLLOWER;
    r->leader = leader;
    if (change)
        raft_queue_output(r, BBM_RAFT_ROLE);
}

void
raft_become_follower(bbm_raft *r, uint64_t term, bbm_member_id leader)
{
    raft_adopt_term(r, term, leader, true);
}

/* Latest sending time of which a quorum has answered a request sent then or
   later; this member counts with the present time. */
static bbm_time
quorum_acked_at(const bbm_raft *r)
{
    int64_t acked[BBM_RAFT_MEMBERS_MAX];
    for (size_t i = 0; i < r->group.len; i++) {
        bool self = r->group.members[i].id == r->desc.id;
        acked[i] = self ? r->now : r->peers[i].acked_sent_at;
    }
    return raft_quorum_value(r, acked);
}

/* Check quorum: a leader that got no answer from a quorum for one election
   timeout steps down, as the others may have elected a new leader by then. */
static void
check_quorum(bbm_raft *r)
{
    bbm_time since = quorum_acked_at(r);
    if (since < r->leader_since)
        since = r->leader_since;
    if (r->now - since > r->desc.election_timeout)
        raft_become_follower(r, r->term, 0);
}

static void
update_clock(bbm_raft *r, bbm_time now)
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
        d->election_timeout = DEFAULT_ELECTION_TIMEOUT;
    if (!d->heartbeat_interval)
        d->heartbeat_interval = d->election_timeout / HEARTBEATS_PER_ELECTION;
    if (!d->drift_ppm)
        d->drift_ppm = DEFAULT_DRIFT_PPM;
    if (!d->batch_bytes)
        d->batch_bytes = DEFAULT_BATCH_BYTES;
    if (!d->backlog_bytes_max)
        d->backlog_bytes_max = DEFAULT_BACKLOG_BYTES;
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
    r->log.file = saved->file;
    for (size_t i = 0; i < saved->len; i++)
        r->log.bytes += saved->entries[i].len;
    r->commit_index = r->log.snapshot.index;
    r->last_applied = r->log.snapshot.index;
    r->durable_index = raft_log_last(&r->log);
    *saved = (bbm_raft_saved){0};
    if (r->log.snapshot.index) {
        bbm_raft_output *out = raft_queue_output(r, BBM_RAFT_RESTORE);
        out->u.restore.index = r->log.snapshot.index;
        bbm_buf_add(&out->u.restore.data, r->log.snapshot.data.data,
                    r->log.snapshot.data.len);
    }
    raft_reload_group(r);
}

bbm_raft *
bbm_raft_create(const bbm_raft_desc *desc)
{
    assert(desc->id);
    bbm_raft *r = bbm_calloc(1, sizeof(*r));
    r->desc = *desc;
    fill_defaults(&r->desc);
    /* Identity and seed are hashed, not added: sums of two members could be
       equal, and they would draw the same timeouts and split every vote. */
    r->rng = bbm_rng_of(bbm_hash64(&desc->id, sizeof(desc->id), desc->seed));
    r->now = desc->now;
    TAILQ_INIT(&r->ready);
    TAILQ_INIT(&r->waiting);
    if (desc->saved)
        restore_saved(r, desc->saved);
    r->desc.saved = NULL;
    /* Before the restart this member may have answered a leader, whose lease
       relies on that: withhold votes for one election timeout. */
    r->no_vote_until = desc->now + r->desc.election_timeout;
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
    while ((q = TAILQ_FIRST(&r->waiting)) != NULL) {
        TAILQ_REMOVE(&r->waiting, q, link);
        raft_free_queued(q);
    }
    raft_free_queued(r->current_output);
    raft_log_free(&r->log);
    free(r->pending_writes);
    free(r);
}

int
bbm_raft_bootstrap(bbm_raft *r, const bbm_raft_member *members, size_t len,
                   bbm_time now)
{
    bool fresh = raft_log_last(&r->log) == 0 && r->term == 0;
    if (!fresh || len == 0 || len > BBM_RAFT_MEMBERS_MAX)
        return BBM_ERR_UNSAFE;
    update_clock(r, now);
    bbm_raft_group group = {.len = len};
    memcpy(group.members, members, len * sizeof(*members));
    r->term = 1;
    bbm_buf buf = {0};
    bbm_raft_group_encode(&group, &buf);
    raft_append_entry(r, BBM_ENTRY_GROUP, buf.data, buf.len);
    bbm_buf_free(&buf);
    r->election_timeout_at = now;
    return BBM_OK;
}

void
bbm_raft_tick(bbm_raft *r, bbm_time now)
{
    update_clock(r, now);
    if (r->role == BBM_LEADER) {
        if (r->now >= r->next_heartbeat_at)
            raft_broadcast(r);
        return;
    }
    bool vote_synced =
        r->persist_confirmed >= r->vote_write || r->desc.unsafe_no_sync;
    if (r->now >= r->election_timeout_at && raft_is_voter(r) && vote_synced)
        raft_start_prevote(r);
}

int
bbm_raft_receive(bbm_raft *r, const uint8_t *data, size_t len, bbm_time now)
{
    raft_message m;
    int rc = raft_message_decode(data, len, &m);
    if (rc < 0)
        return rc;
    update_clock(r, now);
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
    case RAFT_KIND_COUNT:
        break;
    }
    free(m.entries);
    return BBM_OK;
}

void
bbm_raft_persisted(bbm_raft *r, uint64_t seq, bbm_time now)
{
    update_clock(r, now);
    bool vote_synced = r->persist_confirmed < r->vote_write
                       && seq >= r->vote_write && r->role != BBM_LEADER;
    if (seq > r->persist_confirmed)
        r->persist_confirmed = seq;
    if (vote_synced)
        raft_reset_timeout(r);
    size_t len_left = 0;
    for (size_t i = 0; i < r->pending_writes_len; i++) {
        if (r->pending_writes[i].seq <= seq) {
            r->durable_index = r->pending_writes[i].index;
            r->unsynced_bytes -= r->pending_writes[i].bytes;
        }
        else
            r->pending_writes[len_left++] = r->pending_writes[i];
    }
    r->pending_writes_len = len_left;
    raft_release_waiting(r);
    if (r->role == BBM_LEADER)
        raft_advance_commit(r);
}

/* A write of the snapshot alone must not count as a backlog. */
static size_t
backlog_bytes_max(const bbm_raft *r)
{
    return r->desc.backlog_bytes_max + 2 * r->log.snapshot.data.len;
}

size_t
bbm_raft_bytes_after(const bbm_raft *r, uint64_t index)
{
    size_t bytes = 0;
    for (uint64_t i = raft_log_last(&r->log); i > index; i--)
        bytes += raft_log_entry(&r->log, i)->len;
    return bytes;
}

bool
bbm_raft_disk_lags(const bbm_raft *r)
{
    return !r->desc.unsafe_no_sync
           && r->unsynced_bytes >= backlog_bytes_max(r);
}

int
bbm_raft_propose(bbm_raft *r, const uint8_t *data, size_t len, bbm_time now,
                 uint64_t *index)
{
    update_clock(r, now);
    if (r->role != BBM_LEADER)
        return BBM_ERR_NOT_LEADER;
    if (bbm_raft_disk_lags(r)) {
        raft_become_follower(r, r->term, 0);
        return BBM_ERR_NOT_LEADER;
    }
    if (bbm_raft_bytes_after(r, r->commit_index) >= backlog_bytes_max(r))
        return BBM_ERR_BACKLOG;
    *index = raft_append_entry(r, BBM_ENTRY_COMMAND, data, len);
    raft_broadcast(r);
    return BBM_OK;
}

void
bbm_raft_compact(bbm_raft *r, uint64_t index, bbm_buf data)
{
    assert(index <= r->last_applied);
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
        const bbm_entry *e = raft_log_entry(&r->log, i);
        if (e->kind != BBM_ENTRY_GROUP)
            continue;
        bbm_reader rd = bbm_reader_of(e->data, e->len);
        bbm_raft_group_decode(&rd, &snap.group);
    }
    raft_log_install_snapshot(&r->log, &snap);
    raft_persist(r, &r->log.snapshot, 0, index + 1);
}

/* ---- accessors ---- */

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
    return r->commit_index;
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

size_t
bbm_raft_log_bytes(const bbm_raft *r)
{
    return r->log.bytes;
}

size_t
bbm_raft_snapshot_bytes(const bbm_raft *r)
{
    return r->log.snapshot.data.len;
}

size_t
bbm_raft_unsynced_bytes(const bbm_raft *r)
{
    return r->unsynced_bytes;
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
    bool own_term_committed =
        r->role == BBM_LEADER
        && raft_log_term(&r->log, r->commit_index) == r->term;
    if (!own_term_committed)
        return 0;
    bbm_time span = r->desc.election_timeout;
    span -= span / 1000000 * r->desc.drift_ppm;
    return quorum_acked_at(r) + span;
}

bbm_time
bbm_raft_last_leader_contact_at(const bbm_raft *r)
{
    return r->role == BBM_LEADER ? r->now : r->last_leader_contact_at;
}

bbm_time
bbm_raft_last_contact_at(const bbm_raft *r, bbm_member_id id)
{
    int pos = raft_position(r, id);
    return pos < 0 ? 0 : r->peers[pos].last_contact_at;
}
