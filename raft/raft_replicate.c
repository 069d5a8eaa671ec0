#include "bbm_codes.h"
#include "raft_core.h"

/* Replication: appending, acknowledging, committing, catching up. */

/* A whole state is not sent again to the same peer before this. */
#define SNAPSHOT_PAUSE (2 * BBM_SECOND)
/* A learner may lag by this many entries when it becomes a voter. */
#define CAUGHT_UP_ENTRIES 64

/* ---- leader ---- */

uint64_t
raft_append(bbm_raft *r, bbm_entry_kind kind, const uint8_t *data, size_t len)
{
    const bbm_entry *e = raft_log_append(&r->log, r->term, kind, data, len);
    uint64_t index = e->index;
    raft_persist(r, NULL, 0, index);
    if (kind == BBM_ENTRY_GROUP)
        raft_regroup(r);
    return index;
}

void
raft_lead(bbm_raft *r)
{
    r->role = BBM_LEADER;
    r->leader = r->desc.id;
    r->led_since = r->now;
    for (size_t i = 0; i < r->group.len; i++) {
        r->peers[i] = (raft_peer){
            .id = r->group.members[i].id,
            .next = raft_log_last(&r->log) + 1,
        };
    }
    raft_output(r, BBM_RAFT_ROLE);
    raft_append(r, BBM_ENTRY_NOOP, NULL, 0);
    raft_broadcast(r);
}

static void
send_snapshot(bbm_raft *r, size_t pos)
{
    raft_peer *p = &r->peers[pos];
    bool recent =
        p->snapshot_sent && r->now - p->snapshot_sent < SNAPSHOT_PAUSE;
    if (recent)
        return;
    p->snapshot_sent = r->now;
    raft_message m = {
        .kind = RAFT_SNAPSHOT,
        .to = p->id,
        .term = r->term,
        .index = r->log.snapshot.index,
        .index_term = r->log.snapshot.term,
        .commit = r->commit,
        .sent = r->now,
        .group = r->log.snapshot.group,
        .data = bbm_buf_view(&r->log.snapshot.data),
    };
    raft_send(r, &m, false);
}

void
raft_send_append(bbm_raft *r, size_t pos)
{
    raft_peer *p = &r->peers[pos];
    if (p->next <= r->log.snapshot.index) {
        send_snapshot(r, pos);
        return;
    }
    size_t first = (size_t)(p->next - r->log.snapshot.index - 1);
    size_t len = 0;
    size_t bytes = 0;
    while (first + len < r->log.len && len < RAFT_ENTRIES_MOST
           && bytes < r->desc.batch_bytes) {
        bytes += r->log.entries[first + len].len;
        len++;
    }
    raft_message m = {
        .kind = RAFT_APPEND,
        .to = p->id,
        .term = r->term,
        .index = p->next - 1,
        .index_term = raft_log_term(&r->log, p->next - 1),
        .commit = r->commit,
        .sent = r->now,
        .entries = r->log.entries ? r->log.entries + first : NULL,
        .len = len,
    };
    raft_send(r, &m, false);
    p->next += len;
}

void
raft_broadcast(bbm_raft *r)
{
    r->beat_at = r->now + r->desc.heartbeat_interval;
    for (size_t i = 0; i < r->group.len; i++) {
        if (r->group.members[i].id != r->desc.id)
            raft_send_append(r, i);
    }
    raft_advance(r);
}

void
raft_advance(bbm_raft *r)
{
    int64_t match[BBM_RAFT_MEMBERS_MAX];
    for (size_t i = 0; i < r->group.len; i++) {
        bool self = r->group.members[i].id == r->desc.id;
        uint64_t own =
            r->desc.unsafe_no_sync ? raft_log_last(&r->log) : r->durable_index;
        match[i] = (int64_t)(self ? own : r->peers[i].match);
    }
    uint64_t index = (uint64_t)raft_quorum_value(r, match);
    bool own_term = raft_log_term(&r->log, index) == r->term;
    if (index > r->commit && own_term) {
        r->commit = index;
        raft_apply(r);
        /* The followers apply it now, not with the next heartbeat. */
        r->beat_at = r->now;
    }
    /* A leader that removed itself leads until that is committed. */
    uint64_t group_index = raft_log_group_index(&r->log);
    if (!raft_is_voter(r) && group_index <= r->commit)
        raft_follow(r, r->term, 0);
}

void
raft_on_append_reply(bbm_raft *r, const raft_message *m)
{
    if (m->term > r->term) {
        raft_follow(r, m->term, 0);
        return;
    }
    int pos = raft_position(r, m->from);
    if (r->role != BBM_LEADER || m->term != r->term || pos < 0)
        return;
    raft_peer *p = &r->peers[pos];
    p->heard = r->now;
    if (m->sent > p->acked)
        p->acked = m->sent;
    if (!m->granted) {
        uint64_t next = m->index + 1;
        if (next < p->next)
            p->next = next;
        if (p->next <= p->match)
            p->next = p->match + 1;
        raft_send_append(r, (size_t)pos);
        return;
    }
    if (m->index > p->match)
        p->match = m->index;
    if (p->next <= p->match)
        p->next = p->match + 1;
    raft_advance(r);
    if (p->next <= raft_log_last(&r->log) && r->role == BBM_LEADER)
        raft_send_append(r, (size_t)pos);
}

/* ---- follower ---- */

/* What a leader of this term or a later one says is heard; false if it is
   from an earlier term, which is answered with ours. */
static bool
hear_leader(bbm_raft *r, const raft_message *m, raft_message *reply)
{
    *reply = (raft_message){
        .kind = RAFT_APPEND_REPLY,
        .to = m->from,
        .sent = m->sent,
    };
    if (m->term < r->term) {
        reply->term = r->term;
        raft_send(r, reply, true);
        return false;
    }
    raft_follow(r, m->term, m->from);
    reply->term = r->term;
    raft_reset_timeout(r);
    r->heard_leader = r->now;
    r->quiet_until = r->now + r->desc.election_timeout;
    return true;
}

/* Returns the last index that now agrees with the leader's log. */
static uint64_t
take_entries(bbm_raft *r, const raft_message *m)
{
    uint64_t truncate = 0;
    uint64_t first_new = 0;
    for (size_t i = 0; i < m->len; i++) {
        const bbm_entry *e = &m->entries[i];
        if (e->index <= r->log.snapshot.index)
            continue;
        uint64_t have = raft_log_term(&r->log, e->index);
        if (have == e->term)
            continue;
        if (have) {
            raft_log_truncate(&r->log, e->index);
            truncate = truncate ? truncate : e->index;
        }
        raft_log_append(&r->log, e->term, e->kind, e->data, e->len);
        first_new = first_new ? first_new : e->index;
    }
    if (first_new) {
        raft_persist(r, NULL, truncate, first_new);
        raft_regroup(r);
    }
    return m->index + m->len;
}

void
raft_on_append(bbm_raft *r, const raft_message *m)
{
    raft_message reply;
    if (!hear_leader(r, m, &reply))
        return;
    bool covered = m->index < r->log.snapshot.index;
    bool fits = covered || raft_log_term(&r->log, m->index) == m->index_term;
    bool known = m->index <= raft_log_last(&r->log);
    if (!known || !fits) {
        uint64_t last = raft_log_last(&r->log);
        uint64_t back = m->index ? m->index - 1 : 0;
        reply.index = last < back ? last : back;
        if (reply.index < r->commit)
            reply.index = r->commit;
        raft_send(r, &reply, true);
        return;
    }
    uint64_t agreed = take_entries(r, m);
    reply.granted = true;
    reply.index = agreed;
    raft_send(r, &reply, true);
    uint64_t commit = m->commit < agreed ? m->commit : agreed;
    if (commit > r->commit) {
        r->commit = commit;
        raft_apply(r);
    }
}

void
raft_on_snapshot(bbm_raft *r, const raft_message *m)
{
    raft_message reply;
    if (!hear_leader(r, m, &reply))
        return;
    reply.granted = true;
    reply.index = m->index;
    if (m->index <= r->commit) {
        reply.index = r->commit;
        raft_send(r, &reply, true);
        return;
    }
    bbm_raft_snapshot snap = {
        .index = m->index,
        .term = m->index_term,
        .group = m->group,
    };
    bbm_buf_add(&snap.data, m->data.data, m->data.len);
    raft_log_snapshot(&r->log, &snap);
    r->commit = m->index;
    r->applied = m->index;
    raft_persist(r, &r->log.snapshot, 0, m->index + 1);
    raft_regroup(r);
    bbm_raft_output *out = raft_output(r, BBM_RAFT_RESTORE);
    out->u.restore.index = m->index;
    bbm_buf_add(&out->u.restore.data, m->data.data, m->data.len);
    raft_send(r, &reply, true);
}

/* ---- change of the group ---- */

static size_t
alive_voters(const bbm_raft *r, const bbm_raft_group *group)
{
    size_t alive = 0;
    for (size_t i = 0; i < group->len; i++) {
        const bbm_raft_member *member = &group->members[i];
        if (!member->voter)
            continue;
        bbm_time heard = bbm_raft_last_contact_at(r, member->id);
        bool self = member->id == r->desc.id;
        bool recent = heard && r->now - heard <= r->desc.election_timeout;
        alive += self || recent;
    }
    return alive;
}

static bool
quorum_alive(const bbm_raft *r, const bbm_raft_group *group)
{
    size_t voters = 0;
    for (size_t i = 0; i < group->len; i++)
        voters += group->members[i].voter;
    return voters > 0 && alive_voters(r, group) >= voters / 2 + 1;
}

bool
bbm_raft_is_caught_up(const bbm_raft *r, bbm_member_id id)
{
    int pos = raft_position(r, id);
    if (pos < 0)
        return false;
    /* It has at least the entry that admitted it, and little is missing. */
    uint64_t match = r->peers[pos].match;
    uint64_t admitted = raft_log_group_index(&r->log);
    return match > 0 && match >= admitted && match >= r->log.snapshot.index
           && match + CAUGHT_UP_ENTRIES >= raft_log_last(&r->log);
}

static int
edit_group(const bbm_raft *r, bbm_raft_group *group,
           const bbm_raft_member *change, bool remove)
{
    int pos = raft_position(r, change->id);
    if (remove) {
        if (pos < 0)
            return BBM_ERR_NOT_FOUND;
        group->members[pos] = group->members[group->len - 1];
        group->len--;
        return BBM_OK;
    }
    if (pos >= 0) {
        if (change->voter && !bbm_raft_is_caught_up(r, change->id))
            return BBM_ERR_UNSAFE;
        group->members[pos].voter = change->voter;
        return BBM_OK;
    }
    if (change->voter || group->len == BBM_RAFT_MEMBERS_MAX)
        return BBM_ERR_UNSAFE;
    group->members[group->len++] = *change;
    return BBM_OK;
}

int
bbm_raft_change_membership(bbm_raft *r, const bbm_raft_member *change,
                           bool remove, bbm_time now)
{
    if (now > r->now)
        r->now = now;
    if (bbm_raft_lease_until(r) <= r->now)
        return BBM_ERR_NOT_LEADER;
    if (raft_log_group_index(&r->log) > r->commit)
        return BBM_ERR_UNSAFE;
    bbm_raft_group group = r->group;
    int rc = edit_group(r, &group, change, remove);
    if (rc < 0)
        return rc;
    if (!quorum_alive(r, &group))
        return BBM_ERR_UNSAFE;
    bbm_buf buf = {0};
    bbm_raft_group_encode(&group, &buf);
    raft_append(r, BBM_ENTRY_GROUP, buf.data, buf.len);
    bbm_buf_free(&buf);
    raft_broadcast(r);
    return BBM_OK;
}
