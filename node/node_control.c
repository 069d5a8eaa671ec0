/** @file
 *  Runs the Raft member of this node, and the replacement of a control VM
 *  that an operator requested.
 */
#include "node_core.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

/* Committed entries applied in one step: a large change takes some 100 ms, in
   which no other event is handled. */
#define APPLIED_BYTES_MAX ((size_t)128 * 1024)
#define REPLACEMENT_TIMEOUT (60 * BBM_SECOND)

void
node_control_create(bbm_node *n)
{
    bbm_raft_desc desc = {
        .id = n->desc.disk_id,
        .seed = n->desc.seed,
        .election_timeout = n->desc.election_timeout,
        .saved = n->desc.saved,
        .now = n->desc.now,
        .backlog_bytes_max = n->desc.backlog_bytes_max,
        .unsafe_no_sync = n->desc.unsafe_no_sync,
        .unsafe_no_prevote = n->desc.unsafe_no_prevote,
        .unsafe_no_lease = n->desc.unsafe_no_lease,
    };
    n->raft = bbm_raft_create(&desc);
    n->in_group = bbm_raft_member_of(n->raft, n->desc.disk_id) != NULL;
}

void
node_control_destroy(bbm_node *n)
{
    BBM_TABLE_FREE(node_disk, n->disks);
    bbm_raft_destroy(n->raft);
}

/* A leader whose state lacks entries of earlier terms can't decide yet. */
bool
node_leads(const bbm_node *n)
{
    return n->raft && bbm_raft_lease_until(n->raft) > n->now
           && n->applied_index >= n->term_first_index;
}

/* ---- identities ---- */

static const char *
member_name(const bbm_node *n, bbm_member_id id)
{
    const bbm_raft_member *m = bbm_raft_member_of(n->raft, id);
    if (m)
        return m->name;
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        if (d->id == id)
            return d->name;
    }
    return NULL;
}

/* ---- replacement of a control VM ---- */

static void
end_replacement(bbm_node *n, int code)
{
    n->replacement.active = false;
    node_reply_code(n, n->replacement.op, code, NULL);
}

static const bbm_raft_member *
member_named(const bbm_node *n, const char *name)
{
    const bbm_raft_group *g = bbm_raft_group_of(n->raft);
    for (size_t i = 0; i < g->len; i++) {
        if (strcmp(g->members[i].name, name) == 0)
            return &g->members[i];
    }
    return NULL;
}

/* The lost member by name, unless it is the new folder of the same VM. */
static const bbm_raft_member *
lost_member(const bbm_node *n)
{
    const bbm_raft_group *g = bbm_raft_group_of(n->raft);
    for (size_t i = 0; i < g->len; i++) {
        bool named = strcmp(g->members[i].name, n->replacement.old_name) == 0;
        if (named && g->members[i].id != n->replacement.new_id)
            return &g->members[i];
    }
    return NULL;
}

/* Adds the new folder as a learner, so that it catches up in the unchanged
   group; then removes the lost member and promotes the learner. */
static void
step_replacement(bbm_node *n)
{
    node_replacement *p = &n->replacement;
    if (!p->active)
        return;
    if (!node_leads(n) || n->now >= p->expires_at) {
        end_replacement(n, node_leads(n) ? BBM_ERR_UNSAFE : BBM_ERR_NO_QUORUM);
        return;
    }
    const bbm_raft_member *lost = lost_member(n);
    const bbm_raft_member *new_member = bbm_raft_member_of(n->raft, p->new_id);
    bbm_raft_member change = {.id = p->new_id};
    bbm_name_set(change.name, p->new_name);
    if (!new_member) {
        bbm_raft_change_membership(n->raft, &change, false, n->now);
        return;
    }
    change.voter = true;
    if (lost && !new_member->voter) {
        /* Remove the lost voter only when the learner can be promoted. */
        bbm_raft_member out = *lost;
        bool ready = bbm_raft_is_caught_up(n->raft, p->new_id);
        if (ready)
            bbm_raft_change_membership(n->raft, &out, true, n->now);
        return;
    }
    if (!new_member->voter) {
        bbm_raft_change_membership(n->raft, &change, false, n->now);
        return;
    }
    end_replacement(n, BBM_OK);
}

void
node_replace_member(bbm_node *n, const bbm_operator_event *call)
{
    if (!node_leads(n)) {
        node_reply_code(n, call->op, BBM_ERR_NOT_LEADER, NULL);
        return;
    }
    node_disk *d = NULL;
    HASH_FIND_STR(n->disks, call->other_name, d);
    const bbm_raft_member *lost = member_named(n, call->name);
    if (!d || !lost) {
        node_reply_code(n, call->op, BBM_ERR_NOT_FOUND, NULL);
        return;
    }
    const bbm_raft_member *member = bbm_raft_member_of(n->raft, d->id);
    bool busy = n->replacement.active || (member && member->voter);
    /* A member that still answers is not lost: its vote may be needed. */
    bbm_time last_contact_at = bbm_raft_last_contact_at(n->raft, lost->id);
    bool alive = last_contact_at
                 && n->now - last_contact_at < 2 * n->desc.election_timeout;
    bool self = lost->id == n->desc.disk_id;
    if (busy || alive || self) {
        node_reply_code(n, call->op, BBM_ERR_UNSAFE, NULL);
        return;
    }
    n->replacement = (node_replacement){
        .active = true,
        .op = call->op,
        .new_id = d->id,
        .expires_at = n->now + REPLACEMENT_TIMEOUT,
    };
    bbm_name_set(n->replacement.old_name, call->name);
    bbm_name_set(n->replacement.new_name, call->other_name);
}

/* ---- the log ---- */

void
node_control_tick(bbm_node *n)
{
    if (!n->raft)
        return;
    bbm_raft_tick(n->raft, n->now);
    step_replacement(n);
}

static void
reset_leadership(bbm_node *n)
{
    node_rate_reset_owner(n);
    node_propose_reset(n);
    node_orders_reset(n);
    node_rollout_reset(n);
}

/* The state here stays in force, and follows what other VMs tell as on a VM
   without a data folder.  Nothing is confirmed and no vote given until a build
   that reads the folder runs. */
static void
leave_unreadable(bbm_node *n, const char *what, uint64_t version)
{
    bbm_action *a = node_log_event(n, BBM_EVENT_STATE_UNREADABLE);
    node_log_text(a, "subject", what);
    node_log_number(a, "version", (int64_t)version);
    node_log_number(a, "readable_version",
                    (int64_t)bbm_state_version(n->desc.format));
    n->state_unreadable = true;
    n->in_group = false;
    reset_leadership(n);
    bbm_state_destroy(n->lagging_state);
    n->lagging_state = NULL;
    bbm_raft_destroy(n->raft);
    n->raft = NULL;
}

/* True if builds of a format can't read a snapshot. */
static bool
is_later(bbm_bytes snapshot, bbm_format format)
{
    return snapshot.len
           && bbm_state_version_of(snapshot.data, snapshot.len)
                  > bbm_state_version(format);
}

int
node_control_raft(bbm_node *n, const char *from, bbm_reader *rd)
{
    bbm_bytes inner = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (!n->raft)
        return BBM_OK;
    /* A new member learns the identity of its leader's folder only from
       here. */
    bbm_member_id sender = bbm_raft_sender(inner.data, inner.len);
    if (sender)
        node_get_disk(n, from)->id = sender;
    /* A message for an earlier folder of this VM is not an error. */
    bbm_bytes snapshot = {0};
    bbm_raft_snapshot_data(inner.data, inner.len, &snapshot);
    if (is_later(snapshot, n->desc.format))
        leave_unreadable(n, "snapshot of a peer",
                         bbm_state_version_of(snapshot.data, snapshot.len));
    else
        bbm_raft_receive(n->raft, inner.data, inner.len, n->now);
    return BBM_OK;
}

/* Appends a message with its snapshot in an earlier format. */
static bool
convert_message(bbm_bytes message, bbm_bytes snapshot, bbm_format format,
                bbm_buf *buf)
{
    bbm_buf earlier = {0};
    int rc = bbm_state_convert(snapshot.data, snapshot.len, format, &earlier);
    if (rc == BBM_OK)
        rc = bbm_raft_replace_snapshot_data(message.data, message.len,
                                            bbm_buf_view(&earlier), buf);
    bbm_buf_free(&earlier);
    return rc == BBM_OK;
}

static void
send_raft(bbm_node *n, const bbm_raft_output *out)
{
    const char *name = member_name(n, out->u.send.to);
    if (!name)
        return;
    bbm_bytes message = bbm_buf_view(&out->u.send.bytes);
    bbm_bytes snapshot = {0};
    bbm_buf converted = {0};
    bbm_format format = node_state_format(n, name);
    bbm_raft_snapshot_data(message.data, message.len, &snapshot);
    if (is_later(snapshot, format)
        && convert_message(message, snapshot, format, &converted))
        message = bbm_buf_view(&converted);
    bbm_buf *buf = node_send(n, name, NODE_RAFT);
    bbm_put_bytes(buf, message.data, message.len);
    bbm_buf_free(&converted);
}

/* A snapshot may be older than the updates that other VMs sent before this
   folder joined.  A revision in force must never be replaced by an older
   one, so the log's state is held back until it has caught up. */
static void
use_log_state_if_current(bbm_node *n)
{
    if (!n->lagging_state
        || bbm_state_public_index(n->lagging_state)
               < bbm_state_public_index(n->state))
        return;
    bbm_state_destroy(n->state);
    n->state = n->lagging_state;
    n->lagging_state = NULL;
}

static void
apply(bbm_node *n, const bbm_entry *e)
{
    bbm_outcome out = {0};
    if (e->kind == BBM_ENTRY_COMMAND && n->desc.format >= BBM_FORMAT_STATED
        && bbm_command_format(e->data, e->len) > n->desc.format) {
        leave_unreadable(n, "command", 0);
        return;
    }
    if (e->kind == BBM_ENTRY_COMMAND) {
        bool is_public = bbm_command_is_public(e->data, e->len);
        bbm_state *state = n->lagging_state ? n->lagging_state : n->state;
        bbm_state_apply(state, e->index, e->data, e->len, &out);
        use_log_state_if_current(n);
        if (is_public && !n->lagging_state) {
            node_apply_config(n);
            node_relay_push(n);
        }
    }
    n->applied_index = e->index;
    node_propose_applied(n, e->index, &out);
    node_rate_applied(n);
    bbm_outcome_free(&out);
}

/* The log may have as many bytes as the last snapshot: then the snapshots
   together cost no more than the entries, whatever the size of the state. */
static bool
snapshot_is_due(const bbm_node *n)
{
    size_t bytes_max = bbm_raft_snapshot_bytes(n->raft);
    if (bytes_max < n->desc.snapshot_interval_bytes)
        bytes_max = n->desc.snapshot_interval_bytes;
    /* Each snapshot that waits for the disk is one more in memory. */
    return !bbm_raft_disk_lags(n->raft)
           && (bbm_raft_log_len(n->raft) >= n->desc.snapshot_interval_entries
               || bbm_raft_log_bytes(n->raft) >= bytes_max);
}

static void
compact(bbm_node *n)
{
    uint64_t index = n->applied_index;
    /* What isn't applied yet is written once more. */
    if (!snapshot_is_due(n)
        || bbm_raft_bytes_after(n->raft, index)
               > n->desc.snapshot_interval_bytes)
        return;
    bbm_buf data = {0};
    /* While VMs are replaced, any of them may go back to the build before and
       read its folder. */
    bbm_state_encode(n->lagging_state ? n->lagging_state : n->state,
                     node_group_format(n), &data);
    bbm_raft_compact(n->raft, index, data);
    node_log(n, BBM_EVENT_SNAPSHOT, "", "");
}

static void
restore(bbm_node *n, const bbm_raft_output *out)
{
    bbm_bytes snapshot = bbm_buf_view(&out->u.restore.data);
    bbm_state *restored = node_create_state(n);
    int rc = bbm_state_decode(restored, snapshot.data, snapshot.len);
    if (rc < 0) {
        if (!is_later(snapshot, n->desc.format))
            node_log(n, BBM_EVENT_STORE_FAILED, "snapshot", bbm_code_name(rc));
        bbm_state_destroy(restored);
        leave_unreadable(n, "snapshot",
                         bbm_state_version_of(snapshot.data, snapshot.len));
        return;
    }
    bbm_state_destroy(n->lagging_state);
    n->lagging_state = restored;
    use_log_state_if_current(n);
    n->applied_index = out->u.restore.index;
    node_log(n, BBM_EVENT_SNAPSHOT_INSTALLED, "", "");
    node_apply_config(n);
    node_relay_push(n);
}

static void
role_changed(bbm_node *n)
{
    static const char *const names[] = {"follower", "prevoter", "candidate",
                                        "leader"};
    bbm_raft_role role = bbm_raft_role_of(n->raft);
    uint64_t term = bbm_raft_term(n->raft);
    char number[BBM_NAME_SIZE];
    snprintf(number, sizeof(number), "%llu", (unsigned long long)term);
    node_log(n, BBM_EVENT_ROLE, names[role], number);
    bool had_leader = n->leader[0] != '\0';
    bbm_member_id leader = bbm_raft_leader(n->raft);
    const char *name = leader ? member_name(n, leader) : NULL;
    if (leader == n->desc.disk_id)
        name = n->desc.name;
    if (name && term >= n->leader_term) {
        n->leader_term = term;
        bbm_name_set(n->leader, name);
    }
    if (role == BBM_LEADER) {
        n->term_first_index = bbm_raft_last_index(n->raft);
        n->leader_since = n->now;
        /* As all VMs start, they find the first leader one after the other,
           which spreads the snapshots that they get. */
        if (had_leader)
            node_relay_announce(n);
    }
    else {
        reset_leadership(n);
    }
}

void
node_control_process_outputs(bbm_node *n)
{
    if (!n->raft)
        return;
    bbm_raft_output *out;
    bool committed = false;
    size_t applied_bytes = 0;
    /* This VM may leave the group on the way. */
    while (n->raft
           && (applied_bytes < APPLIED_BYTES_MAX
               || !bbm_raft_next_is_commit(n->raft))
           && (out = bbm_raft_next_output(n->raft)) != NULL) {
        switch (out->kind) {
        case BBM_RAFT_SEND:
            send_raft(n, out);
            break;
        case BBM_RAFT_PERSIST:
            node_push_action(n, BBM_ACT_PERSIST)->u.persist = out->u.persist;
            out->u.persist = (bbm_raft_persist){0};
            break;
        case BBM_RAFT_COMMIT:
            applied_bytes += out->u.commit.len;
            apply(n, &out->u.commit);
            committed = true;
            break;
        case BBM_RAFT_RESTORE:
            restore(n, out);
            break;
        case BBM_RAFT_ROLE:
            role_changed(n);
            break;
        case BBM_RAFT_GROUP:
            n->in_group = bbm_raft_member_of(n->raft, n->desc.disk_id) != NULL;
            node_log(n, BBM_EVENT_VOTERS, "", "");
            break;
        }
    }
    if (committed && n->raft)
        compact(n);
}
