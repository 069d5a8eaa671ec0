/** @file
 *  Bootstraps the control group and replaces its lost members.
 *
 *  Founders that are named in the settings bootstrap it together.  Where the
 *  settings give seed addresses only, the daemon at the first one chooses
 *  the founders, once, in a system that has never run; all daemons have the
 *  same seed addresses then.  A data folder that is added later never becomes
 *  a founder: it is empty, and its daemon doesn't have first_start set.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

#define HELLO_PERIOD (200 * BBM_MS)
#define HELLO_PERIOD_IN_GROUP (5 * BBM_SECOND)
#define HELLO_AGE_MAX (2 * BBM_SECOND)
/* The first seed waits for this time to collect data folders, and for
   BOOTSTRAP_QUIET_TIME after the last new one. */
#define BOOTSTRAP_WAIT (1200 * BBM_MS)
#define BOOTSTRAP_QUIET_TIME (500 * BBM_MS)
#define BOOTSTRAP_RESEND_PERIOD (400 * BBM_MS)
/* Seven voters tolerate three failures; more would mainly add messages. */
#define VOTERS_MAX 7
/* A member without contact to the leader for this number of election
   timeouts, while others report a leader, was removed from the group. */
#define REMOVED_TIMEOUT_COUNT 3
#define REPAIR_PERIOD (150 * BBM_MS)
/* A voter that is silent for this time is replaced by a learner that is up
   to date.  Nothing is lost by this: when the voter returns, it is
   admitted as a learner. */
#define VOTER_SILENCE_MAX (2500 * BBM_MS)

bool
node_log_is_empty(const bbm_node *n)
{
    return bbm_raft_last_index(n->raft) == 0 && bbm_raft_term(n->raft) == 0;
}

/* ---- announcing the data folder ---- */

static void
fill_hello(const bbm_node *n, bbm_action *a)
{
    bbm_buf *buf = &a->u.send.bytes;
    bbm_put_u64(buf, n->desc.disk_id);
    bbm_put_u64(buf, node_log_is_empty(n));
    bbm_put_u64(buf, n->desc.first_start);
}

static void
send_hello(bbm_node *n, const char *to)
{
    if (strcmp(to, n->desc.name) != 0)
        fill_hello(n, node_send_to(n, to, NODE_HELLO));
}

static void
send_hello_to_seeds(bbm_node *n)
{
    for (size_t i = 0; i < n->desc.seeds_len; i++) {
        if (strcmp(n->desc.seeds[i], n->desc.address) == 0)
            continue;
        bbm_action *a = node_send_to(n, "", NODE_HELLO);
        memcpy(a->u.send.address, n->desc.seeds[i], BBM_ADDRESS_SIZE);
        fill_hello(n, a);
    }
}

static void
send_hellos(bbm_node *n)
{
    if (n->now < n->next_hello_at)
        return;
    n->next_hello_at =
        n->now + (n->in_group ? HELLO_PERIOD_IN_GROUP : HELLO_PERIOD);
    for (size_t i = 0; i < n->desc.founders_len; i++)
        send_hello(n, n->desc.founders[i]);
    if (!n->in_group && n->desc.first_start)
        send_hello_to_seeds(n);
    if (n->leader[0])
        send_hello(n, n->leader);
}

node_disk *
node_get_disk(bbm_node *n, const char *name)
{
    node_disk *d = NULL;
    HASH_FIND_STR(n->disks, name, d);
    if (!d) {
        d = bbm_calloc(1, sizeof(*d));
        bbm_name_set(d->name, name);
        HASH_ADD_STR(n->disks, name, d);
    }
    return d;
}

static void
record_disk(bbm_node *n, const char *name, bbm_member_id id, bool log_is_empty,
            bool first_start)
{
    node_disk *d = node_get_disk(n, name);
    if (d->id != id)
        d->first_hello_at = n->now;
    d->id = id;
    d->log_empty = log_is_empty;
    d->first_start = first_start;
    d->last_hello_at = n->now;
}

int
node_join_hello(bbm_node *n, const char *from, bbm_reader *rd)
{
    bbm_member_id id = bbm_get_u64(rd);
    bool log_is_empty = bbm_get_u32(rd, 1) != 0;
    bool first_start = bbm_get_u32(rd, 1) != 0;
    if (!bbm_reader_done(rd) || !id)
        return BBM_ERR_DECODE;
    record_disk(n, from, id, log_is_empty, first_start);
    return BBM_OK;
}

/* ---- bootstrap by named founders ---- */

/* The first founder bootstraps the group when every founder has just
   announced an empty data folder.  A founder that loses its folder later
   can't bootstrap a second group, because the other folders are not empty. */
static void
bootstrap_named_founders(bbm_node *n)
{
    bool is_first =
        n->desc.founders_len && strcmp(n->desc.founders[0], n->desc.name) == 0;
    if (!is_first || !node_log_is_empty(n))
        return;
    bbm_raft_member members[BBM_FOUNDERS_MAX] = {0};
    for (size_t i = 0; i < n->desc.founders_len; i++) {
        const char *name = n->desc.founders[i];
        bbm_name_set(members[i].name, name);
        members[i].voter = true;
        members[i].id = n->desc.disk_id;
        if (i == 0)
            continue;
        node_disk *d = NULL;
        HASH_FIND_STR(n->disks, name, d);
        if (!d || !d->log_empty || n->now - d->last_hello_at > HELLO_AGE_MAX)
            return;
        members[i].id = d->id;
    }
    if (bbm_raft_bootstrap(n->raft, members, n->desc.founders_len, n->now)
        == 0)
        node_log(n, BBM_EVENT_GROUP_BOOTSTRAPPED, n->desc.name, "");
}

/* ---- bootstrap by the first seed ---- */

/* Number of voters in a group of n usable members.  An even number of voters
   tolerates no more failures than one voter fewer. */
static size_t
odd_voter_count(size_t n)
{
    if (n > VOTERS_MAX)
        n = VOTERS_MAX;
    return n % 2 == 0 && n > 0 ? n - 1 : n;
}

static void
add_founder(bbm_node *n, const char *name, bbm_member_id id)
{
    if (n->founders_len == BBM_RAFT_MEMBERS_MAX)
        return;
    n->founder_ids[n->founders_len] = id;
    bbm_name_set(n->founder_names[n->founders_len], name);
    n->founders_len++;
}

/* The founders are chosen once: later messages name the same ones. */
static void
choose_founders(bbm_node *n)
{
    bbm_time last = n->started_at;
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        bool is_self = strcmp(d->name, n->desc.name) == 0;
        if (is_self)
            continue;
        /* A daemon whose folder is not new belongs to a group already:
           there is nothing to bootstrap. */
        if (!d->log_empty || !d->first_start)
            return;
        if (d->first_hello_at > last)
            last = d->first_hello_at;
    }
    if (n->now - n->started_at < BOOTSTRAP_WAIT
        || n->now - last < BOOTSTRAP_QUIET_TIME)
        return;
    if (n->desc.disk_id)
        add_founder(n, n->desc.name, n->desc.disk_id);
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        if (strcmp(d->name, n->desc.name) != 0)
            add_founder(n, d->name, d->id);
    }
}

/* Only the first of the members bootstraps the group; the others receive it
   with the log. */
static int
bootstrap_group(bbm_node *n, const bbm_raft_member *members, size_t len)
{
    if (!n->raft || !n->desc.first_start || !node_log_is_empty(n)
        || members[0].id != n->desc.disk_id)
        return BBM_OK;
    int rc = bbm_raft_bootstrap(n->raft, members, len, n->now);
    if (rc == BBM_OK) {
        bbm_action *a = node_log_event(n, BBM_EVENT_GROUP_BOOTSTRAPPED);
        node_log_number(a, "members", (int64_t)len);
    }
    return rc;
}

static void
bootstrap_as_first_seed(bbm_node *n)
{
    bool is_first = n->desc.seeds_len && n->desc.first_start
                    && strcmp(n->desc.seeds[0], n->desc.address) == 0;
    bool bootstrapped = n->in_group || n->leader[0] || n->config_revision;
    if (!is_first || bootstrapped || (n->raft && !node_log_is_empty(n)))
        return;
    if (!n->founders_len)
        choose_founders(n);
    if (!n->founders_len || n->now < n->next_bootstrap_at)
        return;
    n->next_bootstrap_at = n->now + BOOTSTRAP_RESEND_PERIOD;
    bbm_raft_member members[BBM_RAFT_MEMBERS_MAX] = {0};
    size_t voters = odd_voter_count(n->founders_len);
    for (size_t i = 0; i < n->founders_len; i++) {
        members[i].id = n->founder_ids[i];
        members[i].voter = i < voters;
        bbm_name_set(members[i].name, n->founder_names[i]);
    }
    if (strcmp(members[0].name, n->desc.name) == 0) {
        bootstrap_group(n, members, n->founders_len);
        return;
    }
    bbm_raft_group group = {.len = n->founders_len};
    memcpy(group.members, members, sizeof(members));
    bbm_buf *buf = node_send(n, members[0].name, NODE_BOOTSTRAP);
    bbm_raft_group_encode(&group, buf);
}

int
node_join_bootstrap(bbm_node *n, const char *from, bbm_reader *rd)
{
    (void)from;
    bbm_raft_group group = {0};
    bbm_raft_group_decode(rd, &group);
    if (!bbm_reader_done(rd) || !group.len)
        return BBM_ERR_DECODE;
    return bootstrap_group(n, group.members, group.len);
}

/* ---- repairing the group ---- */

/* A member counts as lost if its daemon announces another data folder, or if
   it has been silent for too long. */
static bool
is_lost(const bbm_node *n, const bbm_raft_member *m)
{
    if (m->id == n->desc.disk_id)
        return false;
    node_disk *d = NULL;
    HASH_FIND_STR(n->disks, m->name, d);
    if (d && d->id != m->id && n->now - d->last_hello_at < HELLO_AGE_MAX)
        return true;
    bbm_time last_contact_at = bbm_raft_last_contact_at(n->raft, m->id);
    bbm_time since =
        last_contact_at > n->leader_since ? last_contact_at : n->leader_since;
    return n->now - since > VOTER_SILENCE_MAX;
}

static const bbm_raft_member *
find_member(const bbm_node *n, const bbm_raft_group *g, bool voter, bool lost)
{
    for (size_t i = 0; i < g->len; i++) {
        const bbm_raft_member *m = &g->members[i];
        if (m->voter != voter || is_lost(n, m) != lost)
            continue;
        if (voter || lost || bbm_raft_is_caught_up(n->raft, m->id))
            return m;
    }
    return NULL;
}

static void
change_group(bbm_node *n, const bbm_raft_member *m, bool remove,
             const char *description)
{
    bbm_raft_member change = *m;
    if (bbm_raft_change_membership(n->raft, &change, remove, n->now) != BBM_OK)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_GROUP_REPAIRED);
    node_log_text(a, "member", change.name);
    node_log_text(a, "change", description);
}

static void
admit_learner(bbm_node *n, const bbm_raft_group *g)
{
    if (g->len == BBM_RAFT_MEMBERS_MAX)
        return;
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        bool announced = d->id && n->now - d->last_hello_at < HELLO_AGE_MAX
                         && strcmp(d->name, n->desc.name) != 0;
        if (!announced || bbm_raft_member_of(n->raft, d->id))
            continue;
        bbm_raft_member m = {.id = d->id};
        bbm_name_set(m.name, d->name);
        change_group(n, &m, false, "admitted as learner");
        return;
    }
}

static void
repair_group(bbm_node *n)
{
    bool due = n->desc.self_repair && n->now >= n->next_repair_at;
    if (!due || !node_leads(n) || n->replacement.active)
        return;
    n->next_repair_at = n->now + REPAIR_PERIOD;
    const bbm_raft_group *g = bbm_raft_group_of(n->raft);
    size_t voters = 0;
    size_t usable = 0;
    for (size_t i = 0; i < g->len; i++) {
        voters += g->members[i].voter;
        usable += !is_lost(n, &g->members[i]);
    }
    const bbm_raft_member *ready_learner = find_member(n, g, false, false);
    const bbm_raft_member *lost_voter = find_member(n, g, true, true);
    const bbm_raft_member *lost_learner = find_member(n, g, false, true);
    if (lost_voter && ready_learner) {
        change_group(n, lost_voter, true, "lost voter removed");
    }
    else if (ready_learner && voters < odd_voter_count(usable)) {
        bbm_raft_member m = *ready_learner;
        m.voter = true;
        change_group(n, &m, false, "learner promoted to voter");
    }
    else if (lost_learner) {
        change_group(n, lost_learner, true, "lost learner removed");
    }
    else {
        admit_learner(n, g);
    }
}

/* Detects that this folder was removed from the group while its VM was away.
   No message says so: other VMs report a leader, but the group sends nothing.
   Until it is admitted again, the node follows the updates of other VMs in a
   copy of the public state; the log's state is held back as lagging_state. */
static void
check_removed(bbm_node *n)
{
    /* bbm_raft_leader() of a learner goes on returning a leader that has
       fallen silent, as a learner runs no elections: check the time too. */
    bbm_time last_contact_at = bbm_raft_last_leader_contact_at(n->raft);
    if (bbm_raft_leader(n->raft)
        && n->now - last_contact_at <= n->desc.election_timeout) {
        n->last_group_leader_at = n->now;
        if (n->removed_from_group
            && bbm_raft_member_of(n->raft, n->desc.disk_id))
            n->in_group = true;
        n->removed_from_group = false;
    }
    bool silent = n->now - n->last_group_leader_at
                  > REMOVED_TIMEOUT_COUNT * n->desc.election_timeout;
    bool others_have_leader =
        strcmp(n->leader, n->desc.name) != 0
        && n->now - n->last_leader_update_at
               < n->desc.election_timeout * REMOVED_TIMEOUT_COUNT;
    if (!n->desc.self_repair || !n->in_group || !silent || !others_have_leader)
        return;
    n->removed_from_group = true;
    n->in_group = false;
    n->next_hello_at = n->now;
    node_log(n, BBM_EVENT_GROUP_REPAIRED, n->desc.name,
             "removed from the group");
    if (n->lagging_state)
        return;
    bbm_buf bytes = {0};
    bbm_state *view = node_create_state(n);
    bbm_state_encode_public(n->state, n->desc.format, &bytes);
    bbm_state_decode_public(view, bytes.data, bytes.len);
    bbm_buf_free(&bytes);
    n->lagging_state = n->state;
    n->state = view;
}

void
node_join_tick(bbm_node *n)
{
    bootstrap_as_first_seed(n);
    if (!n->raft)
        return;
    check_removed(n);
    send_hellos(n);
    bootstrap_named_founders(n);
    repair_group(n);
}
