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

/* ---- outputs ---- */

static raft_queued *
new_queued(bbm_raft_output_kind kind)
{
    raft_queued *q = bbm_calloc(1, sizeof(*q));
    q->out.kind = kind;
    return q;
}

void
bbm_raft_persist_free(bbm_raft_persist *p)
{
    for (size_t i = 0; i < p->len; i++)
        free(p->entries[i].data);
    free(p->entries);
    if (p->snapshot)
        bbm_buf_free(&p->snapshot->data);
    free(p->snapshot);
    *p = (bbm_raft_persist){0};
}

static bbm_raft_snapshot *
copy_snapshot(const bbm_raft_snapshot *from)
{
    bbm_raft_snapshot *copy = bbm_calloc(1, sizeof(*copy));
    *copy = *from;
    copy->data = (bbm_buf){0};
    bbm_buf_add(&copy->data, from->data.data, from->data.len);
    return copy;
}

static void
free_queued(raft_queued *q)
{
    if (!q)
        return;
    switch (q->out.kind) {
    case BBM_RAFT_SEND:
        bbm_buf_free(&q->out.u.send.bytes);
        break;
    case BBM_RAFT_PERSIST:
        bbm_raft_persist_free(&q->out.u.persist);
        break;
    case BBM_RAFT_COMMIT:
        free(q->out.u.commit.data);
        break;
    case BBM_RAFT_RESTORE:
        bbm_buf_free(&q->out.u.restore.data);
        break;
    case BBM_RAFT_ROLE:
    case BBM_RAFT_GROUP:
        break;
    }
    free(q);
}

bbm_raft_output *
raft_output(bbm_raft *r, bbm_raft_output_kind kind)
{
    raft_queued *q = new_queued(kind);
    TAILQ_INSERT_TAIL(&r->ready, q, link);
    return &q->out;
}

void
raft_send(bbm_raft *r, raft_message *m, bool durable)
{
    m->from = r->desc.id;
    raft_queued *q = new_queued(BBM_RAFT_SEND);
    q->out.u.send.to = m->to;
    raft_message_encode(m, &q->out.u.send.bytes);
    q->wait_seq = durable ? r->persist_issued : 0;
    bool wait = q->wait_seq > r->persist_done && !r->desc.unsafe_no_sync;
    if (wait)
        TAILQ_INSERT_TAIL(&r->held, q, link);
    else
        TAILQ_INSERT_TAIL(&r->ready, q, link);
}

static void
remember_durable(bbm_raft *r, uint64_t truncate_from)
{
    for (size_t i = 0; truncate_from && i < r->durables_len; i++) {
        if (r->durables[i].index >= truncate_from)
            r->durables[i].index = truncate_from - 1;
    }
    if (truncate_from && r->durable_index >= truncate_from)
        r->durable_index = truncate_from - 1;
    bbm_grow(&r->durables, &r->durables_cap, r->durables_len,
             sizeof(raft_durable));
    r->durables[r->durables_len++] = (raft_durable){
        .seq = r->persist_issued,
        .index = raft_log_last(&r->log),
    };
}

void
raft_persist(bbm_raft *r, const bbm_raft_snapshot *snapshot,
             uint64_t truncate_from, uint64_t from)
{
    bbm_raft_output *out = raft_output(r, BBM_RAFT_PERSIST);
    bbm_raft_persist *p = &out->u.persist;
    p->seq = ++r->persist_issued;
    p->term = r->term;
    p->vote = r->vote;
    p->snapshot = snapshot ? copy_snapshot(snapshot) : NULL;
    p->truncate_from = truncate_from;
    uint64_t last = raft_log_last(&r->log);
    if (from && from <= last) {
        p->len = (size_t)(last - from + 1);
        p->entries = bbm_calloc(p->len, sizeof(bbm_entry));
        for (size_t i = 0; i < p->len; i++) {
            p->entries[i] = *raft_log_at(&r->log, from + i);
            p->entries[i].data =
                bbm_memdup(p->entries[i].data, p->entries[i].len);
        }
    }
    remember_durable(r, truncate_from);
}

bbm_raft_output *
bbm_raft_take(bbm_raft *r)
{
    free_queued(r->taken);
    r->taken = TAILQ_FIRST(&r->ready);
    if (!r->taken)
        return NULL;
    TAILQ_REMOVE(&r->ready, r->taken, link);
    return &r->taken->out;
}

static void
release_held(bbm_raft *r)
{
    raft_queued *q, *next;
    for (q = TAILQ_FIRST(&r->held); q; q = next) {
        next = TAILQ_NEXT(q, link);
        if (q->wait_seq > r->persist_done)
            continue;
        TAILQ_REMOVE(&r->held, q, link);
        TAILQ_INSERT_TAIL(&r->ready, q, link);
    }
}

void
raft_apply(bbm_raft *r)
{
    while (r->applied < r->commit) {
        const bbm_entry *e = raft_log_at(&r->log, r->applied + 1);
        assert(e);
        bbm_raft_output *out = raft_output(r, BBM_RAFT_COMMIT);
        out->u.commit = *e;
        out->u.commit.data = bbm_memdup(e->data, e->len);
        r->applied++;
    }
}

/* ---- group ---- */

int
raft_position(const bbm_raft *r, bbm_member_id id)
{
    for (size_t i = 0; i < r->group.len; i++) {
        if (r->group.members[i].id == id)
            return (int)i;
    }
    return -1;
}

bool
raft_is_voter(const bbm_raft *r)
{
    int pos = raft_position(r, r->desc.id);
    return pos >= 0 && r->group.members[pos].voter;
}

size_t
raft_quorum(const bbm_raft *r)
{
    size_t voters = 0;
    for (size_t i = 0; i < r->group.len; i++)
        voters += r->group.members[i].voter;
    return voters / 2 + 1;
}

int64_t
raft_quorum_value(const bbm_raft *r, const int64_t *values)
{
    int64_t sorted[BBM_RAFT_MEMBERS_MOST];
    size_t len = 0;
    for (size_t i = 0; i < r->group.len; i++) {
        if (!r->group.members[i].voter)
            continue;
        size_t at = len++;
        while (at > 0 && sorted[at - 1] < values[i]) {
            sorted[at] = sorted[at - 1];
            at--;
        }
        sorted[at] = values[i];
    }
    return len ? sorted[raft_quorum(r) - 1] : 0;
}

static bool
same_group(const bbm_raft_group *a, const bbm_raft_group *b)
{
    if (a->len != b->len)
        return false;
    for (size_t i = 0; i < a->len; i++) {
        if (a->members[i].id != b->members[i].id
            || a->members[i].voter != b->members[i].voter)
            return false;
    }
    return true;
}

/* Peers follow the group; what is known of those that stay is kept. */
void
raft_regroup(bbm_raft *r)
{
    bbm_raft_group old_group = r->group;
    raft_peer old[BBM_RAFT_MEMBERS_MOST];
    memcpy(old, r->peers, sizeof(old));
    raft_log_group(&r->log, &r->group);
    memset(r->peers, 0, sizeof(r->peers));
    for (size_t i = 0; i < r->group.len; i++) {
        bbm_member_id id = r->group.members[i].id;
        r->peers[i] =
            (raft_peer){.id = id, .next = raft_log_last(&r->log) + 1};
        for (size_t j = 0; j < old_group.len; j++) {
            if (old_group.members[j].id == id)
                r->peers[i] = old[j];
        }
    }
    if (!same_group(&old_group, &r->group))
        raft_output(r, BBM_RAFT_GROUP);
}

/* ---- roles ---- */

void
raft_reset_timeout(bbm_raft *r)
{
    uint64_t spread = bbm_rng_below(&r->rng, (uint64_t)r->desc.election);
    r->timeout_at = r->now + r->desc.election + (bbm_time)spread;
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
    int64_t acked[BBM_RAFT_MEMBERS_MOST];
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
    if (r->now - since > r->desc.election)
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
    if (!d->election)
        d->election = DEFAULT_ELECTION;
    if (!d->heartbeat)
        d->heartbeat = d->election / HEARTBEATS_PER_ELECTION;
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
    r->quiet_until = desc->now + r->desc.election;
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
        free_queued(q);
    }
    while ((q = TAILQ_FIRST(&r->held)) != NULL) {
        TAILQ_REMOVE(&r->held, q, link);
        free_queued(q);
    }
    free_queued(r->taken);
    raft_log_free(&r->log);
    free(r->durables);
    free(r);
}

int
bbm_raft_found(bbm_raft *r, const bbm_raft_member *members, size_t len,
               bbm_time now)
{
    bool fresh = raft_log_last(&r->log) == 0 && r->term == 0;
    if (!fresh || len == 0 || len > BBM_RAFT_MEMBERS_MOST)
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
    release_held(r);
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
bbm_raft_committed(const bbm_raft *r)
{
    return r->commit;
}

uint64_t
bbm_raft_last(const bbm_raft *r)
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
    bbm_time span = r->desc.election;
    span -= span / 1000000 * r->desc.drift_ppm;
    return quorum_acked(r) + span;
}

bbm_time
bbm_raft_heard(const bbm_raft *r, bbm_member_id id)
{
    int pos = raft_position(r, id);
    return pos < 0 ? 0 : r->peers[pos].heard;
}
