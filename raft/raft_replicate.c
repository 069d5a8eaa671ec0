#include "bbm_codes.h"
#include "raft_core.h"

/* Log replication, commit, snapshot transfer and membership changes. */

/* Minimum time between two snapshots to the same peer. */
#define SNAPSHOT_RESEND_INTERVAL (2 * BBM_SECOND)
/* Maximum lag at which a learner may become a voter. */
#define CAUGHT_UP_LAG_ENTRIES_MAX 64

/* ---- leader ---- */

uint64_t
raft_append_entry(bbm_raft *r, bbm_entry_kind kind, const uint8_t *data,
                  size_t len)
{
    const bbm_entry *e = raft_log_append(&r->log, r->term, kind, data, len);
    uint64_t index = e->index;
    raft_persist(r, NULL, 0, index);
    if (kind == BBM_ENTRY_GROUP)
        raft_reload_group(r);
    return index;
}

void
raft_become_leader(bbm_raft *r)
{
    r->role = BBM_LEADER;
    r->leader = r->desc.id;
    r->leader_since = r->now;
    for (size_t i = 0; i < r->group.len; i++) {
        r->peers[i] = (raft_peer){
            .id = r->group.members[i].id,
            .next_index = raft_log_last(&r->log) + 1,
        };
    }
    raft_queue_output(r, BBM_RAFT_ROLE);
    raft_append_entry(r, BBM_ENTRY_NOOP, NULL, 0);
    raft_broadcast(r);
}

static void
send_snapshot(bbm_raft *r, size_t pos)
{
    raft_peer *p = &r->peers[pos];
    bool recent = p->snapshot_sent_at
                  && r->now - p->snapshot_sent_at < SNAPSHOT_RESEND_INTERVAL;
    if (recent)
        return;
    p->snapshot_sent_at = r->now;
    raft_message m = {
        .kind = RAFT_SNAPSHOT,
        .to = p->id,
        .term = r->term,
        .index = r->log.snapshot.index,
        .index_term = r->log.snapshot.term,
        .leader_commit = r->commit_index,
        .sent_at = r->now,
        .group = r->log.snapshot.group,
        .data = bbm_buf_view(&r->log.snapshot.data),
    };
    raft_send(r, &m, false);
}

void
raft_send_append(bbm_raft *r, size_t pos)
{
    raft_peer *p = &r->peers[pos];
    if (p->next_index <= r->log.snapshot.index) {
        send_snapshot(r, pos);
        return;
    }
    size_t first = (size_t)(p->next_index - r->log.snapshot.index - 1);
    size_t len = 0;
    size_t bytes = 0;
    while (first + len < r->log.len && len < RAFT_MESSAGE_ENTRIES_MAX
           && bytes < r->desc.batch_bytes) {
        bytes += r->log.entries[first + len].len;
        len++;
    }
    raft_message m = {
        .kind = RAFT_APPEND,
        .to = p->id,
        .term = r->term,
        .index = p->next_index - 1,
        .index_term = raft_log_term(&r->log, p->next_index - 1),
        .leader_commit = r->commit_index,
        .sent_at = r->now,
        .entries = raft_log_view(&r->log, p->next_index, len),
        .len = len,
    };
    raft_send(r, &m, false);
    raft_log_free_view(m.entries, len);
    p->next_index += len;
}

void
raft_broadcast(bbm_raft *r)
{
    r->next_heartbeat_at = r->now + r->desc.heartbeat_interval;
    for (size_t i = 0; i < r->group.len; i++) {
        if (r->group.members[i].id != r->desc.id)
            raft_send_append(r, i);
    }
    raft_advance_commit(r);
}

void
raft_advance_commit(bbm_raft *r)
{
    int64_t match[BBM_RAFT_MEMBERS_MAX];
    for (size_t i = 0; i < r->group.len; i++) {
        bool self = r->group.members[i].id == r->desc.id;
        uint64_t own =
            r->desc.unsafe_no_sync ? raft_log_last(&r->log) : r->durable_index;
        match[i] = (int64_t)(self ? own : r->peers[i].match_index);
    }
    uint64_t index = (uint64_t)raft_quorum_value(r, match);
    bool own_term = raft_log_term(&r->log, index) == r->term;
    if (index > r->commit_index && own_term) {
        r->commit_index = index;
        /* Send the new commit index with the next tick instead of waiting for
           the heartbeat interval, so that followers apply it sooner. */
        r->next_heartbeat_at = r->now;
    }
    /* A leader that removes itself from the group steps down once the change
       is committed. */
    uint64_t group_index = raft_log_group_index(&r->log);
    if (!raft_is_voter(r) && group_index <= r->commit_index)
        raft_become_follower(r, r->term, 0);
}

void
raft_on_append_reply(bbm_raft *r, const raft_message *m)
{
    if (m->term > r->term) {
        raft_become_follower(r, m->term, 0);
        return;
    }
    int pos = raft_position(r, m->from);
    if (r->role != BBM_LEADER || m->term != r->term || pos < 0)
        return;
    raft_peer *p = &r->peers[pos];
    p->last_contact_at = r->now;
    if (m->sent_at > p->acked_sent_at)
        p->acked_sent_at = m->sent_at;
    if (!m->granted) {
        uint64_t next = m->index + 1;
        if (next < p->next_index)
            p->next_index = next;
        if (p->next_index <= p->match_index)
            p->next_index = p->match_index + 1;
        raft_send_append(r, (size_t)pos);
        return;
    }
    if (m->index > p->match_index)
        p->match_index = m->index;
    if (p->next_index <= p->match_index)
        p->next_index = p->match_index + 1;
    raft_advance_commit(r);
    if (p->next_index <= raft_log_last(&r->log) && r->role == BBM_LEADER)
        raft_send_append(r, (size_t)pos);
}

/* ---- follower ---- */

/* Follows the sender if its term isn't lower than the own and prepares the
   reply; otherwise sends a refusal with the own term and returns false. */
static bool
accept_leader(bbm_raft *r, const raft_message *m, raft_message *reply)
{
    *reply = (raft_message){
        .kind = RAFT_APPEND_REPLY,
        .to = m->from,
        .sent_at = m->sent_at,
    };
    if (m->term < r->term) {
        reply->term = r->term;
        raft_send(r, reply, true);
        return false;
    }
    raft_become_follower(r, m->term, m->from);
    reply->term = r->term;
    raft_reset_timeout(r);
    r->last_leader_contact_at = r->now;
    r->no_vote_until = r->now + r->desc.election_timeout;
    return true;
}

/* Appends entries that are missing and replaces conflicting ones.  Returns the
   last index up to which the log now matches the leader's. */
static uint64_t
store_entries(bbm_raft *r, const raft_message *m)
{
    uint64_t truncate_from = 0;
    uint64_t first_new = 0;
    for (size_t i = 0; i < m->len; i++) {
        const bbm_entry *e = &m->entries[i];
        if (e->index <= r->log.snapshot.index)
            continue;
        uint64_t stored_term = raft_log_term(&r->log, e->index);
        if (stored_term == e->term)
            continue;
        if (stored_term) {
            raft_log_truncate(&r->log, e->index);
            truncate_from = truncate_from ? truncate_from : e->index;
        }
        raft_log_append(&r->log, e->term, e->kind, e->data, e->len);
        first_new = first_new ? first_new : e->index;
    }
    if (first_new) {
        raft_persist(r, NULL, truncate_from, first_new);
        raft_reload_group(r);
    }
    return m->index + m->len;
}

void
raft_on_append(bbm_raft *r, const raft_message *m)
{
    raft_message reply;
    if (!accept_leader(r, m, &reply))
        return;
    bool compacted = m->index < r->log.snapshot.index;
    bool matches =
        compacted || raft_log_term(&r->log, m->index) == m->index_term;
    bool in_log = m->index <= raft_log_last(&r->log);
    if (!in_log || !matches) {
        uint64_t last = raft_log_last(&r->log);
        uint64_t previous = m->index ? m->index - 1 : 0;
        reply.index = last < previous ? last : previous;
        if (reply.index < r->commit_index)
            reply.index = r->commit_index;
        raft_send(r, &reply, true);
        return;
    }
    /* What isn't stored is as if it had not arrived: the leader sends it again
       once the reply, which waits for the disk, says what is here. */
    uint64_t match_index =
        bbm_raft_disk_lags(r) ? m->index : store_entries(r, m);
    reply.granted = true;
    reply.index = match_index;
    raft_send(r, &reply, true);
    uint64_t commit =
        m->leader_commit < match_index ? m->leader_commit : match_index;
    if (commit > r->commit_index)
        r->commit_index = commit;
}

void
raft_on_snapshot(bbm_raft *r, const raft_message *m)
{
    raft_message reply;
    if (!accept_leader(r, m, &reply))
        return;
    reply.granted = true;
    reply.index = m->index;
    if (m->index <= r->commit_index) {
        reply.index = r->commit_index;
        raft_send(r, &reply, true);
        return;
    }
    if (bbm_raft_disk_lags(r))
        return;
    bbm_raft_snapshot snap = {
        .index = m->index,
        .term = m->index_term,
        .group = m->group,
    };
    bbm_buf_add(&snap.data, m->data.data, m->data.len);
    raft_log_install_snapshot(&r->log, &snap);
    r->commit_index = m->index;
    r->last_applied = m->index;
    raft_persist(r, &r->log.snapshot, 0, m->index + 1);
    raft_reload_group(r);
    bbm_raft_output *out = raft_queue_output(r, BBM_RAFT_RESTORE);
    out->u.restore.index = m->index;
    bbm_buf_add(&out->u.restore.data, m->data.data, m->data.len);
    raft_send(r, &reply, true);
}

/* ---- membership changes ---- */

static size_t
alive_voters(const bbm_raft *r, const bbm_raft_group *group)
{
    size_t alive = 0;
    for (size_t i = 0; i < group->len; i++) {
        const bbm_raft_member *member = &group->members[i];
        if (!member->voter)
            continue;
        bbm_time contact_at = bbm_raft_last_contact_at(r, member->id);
        bool self = member->id == r->desc.id;
        bool recent =
            contact_at && r->now - contact_at <= r->desc.election_timeout;
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
    /* It has at least the entry that added it, and lags by little. */
    uint64_t match = r->peers[pos].match_index;
    uint64_t group_index = raft_log_group_index(&r->log);
    return match > 0 && match >= group_index && match >= r->log.snapshot.index
           && match + CAUGHT_UP_LAG_ENTRIES_MAX >= raft_log_last(&r->log);
}

static int
apply_change(const bbm_raft *r, bbm_raft_group *group,
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
    if (raft_log_group_index(&r->log) > r->commit_index)
        return BBM_ERR_UNSAFE;
    bbm_raft_group group = r->group;
    int rc = apply_change(r, &group, change, remove);
    if (rc < 0)
        return rc;
    if (!quorum_alive(r, &group))
        return BBM_ERR_UNSAFE;
    bbm_buf buf = {0};
    bbm_raft_group_encode(&group, &buf);
    raft_append_entry(r, BBM_ENTRY_GROUP, buf.data, buf.len);
    bbm_buf_free(&buf);
    raft_broadcast(r);
    return BBM_OK;
}
