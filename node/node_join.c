#include "node_core.h"

#include <stdlib.h>
#include <string.h>

/* How a control group comes to be, and stays whole.

   Daemons that settings name as founders found it together.  Where settings
   name only addresses to join by, the daemon at the first of them chooses the
   founders, once, in a system that has never run; all were given the same
   addresses then.  A folder that comes later is never a founder: it is empty,
   and its daemon wasn't told that the system is new. */

#define HELLO_PERIOD (200 * BBM_MS)
#define HELLO_IN_GROUP (5 * BBM_SECOND)
#define HELLO_FRESH (2 * BBM_SECOND)
/* The first seed waits so long for folders to be told of, and so long after
   the last new one. */
#define FOUND_WAIT (1200 * BBM_MS)
#define FOUND_QUIET (500 * BBM_MS)
#define FOUND_AGAIN (400 * BBM_MS)
/* Voters beyond this add messages, not safety. */
#define VOTERS_MOST 7
/* A member that hears nothing for so many election times, though there is a
   leader, was left out. */
#define LEFT_OUT 3
#define REPAIR_PERIOD (150 * BBM_MS)
/* A voter that is silent for so long gives way to a learner that is ready.
   It loses nothing: when it is back it is the learner. */
#define VOTER_SILENT (2500 * BBM_MS)

bool
node_log_is_empty(const bbm_node *n)
{
    return bbm_raft_last_index(n->raft) == 0 && bbm_raft_term(n->raft) == 0;
}

/* ---- telling of our folder ---- */

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
hello_to_seeds(bbm_node *n)
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
say_hello(bbm_node *n)
{
    if (n->now < n->next_hello_at)
        return;
    n->next_hello_at = n->now + (n->in_group ? HELLO_IN_GROUP : HELLO_PERIOD);
    for (size_t i = 0; i < n->desc.founders_len; i++)
        send_hello(n, n->desc.founders[i]);
    if (!n->in_group && n->desc.first_start)
        hello_to_seeds(n);
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
hear_disk(bbm_node *n, const char *name, bbm_member_id id, bool fresh,
          bool first_start)
{
    node_disk *d = node_get_disk(n, name);
    if (d->id != id)
        d->first_hello_at = n->now;
    d->id = id;
    d->log_empty = fresh;
    d->first_start = first_start;
    d->last_hello_at = n->now;
}

int
node_join_hello(bbm_node *n, const char *from, bbm_reader *rd)
{
    bbm_member_id id = bbm_get_u64(rd);
    bool fresh = bbm_get_u32(rd, 1) != 0;
    bool first_start = bbm_get_u32(rd, 1) != 0;
    if (!bbm_reader_done(rd) || !id)
        return BBM_ERR_DECODE;
    hear_disk(n, from, id, fresh, first_start);
    return BBM_OK;
}

/* ---- founding by name ---- */

/* The first founder founds the group when every founder has just told that
   its folder is empty.  A founder whose folder was lost later can't found a
   second group: the others are not empty. */
static void
found_with_named(bbm_node *n)
{
    bool first =
        n->desc.founders_len && strcmp(n->desc.founders[0], n->desc.name) == 0;
    if (!first || !node_log_is_empty(n))
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
        if (!d || !d->log_empty || n->now - d->last_hello_at > HELLO_FRESH)
            return;
        members[i].id = d->id;
    }
    if (bbm_raft_bootstrap(n->raft, members, n->desc.founders_len, n->now)
        == 0)
        node_log(n, BBM_EVENT_GROUP_BOOTSTRAPPED, n->desc.name, "");
}

/* ---- founding by the first seed ---- */

static size_t
odd_at_most(size_t n)
{
    if (n > VOTERS_MOST)
        n = VOTERS_MOST;
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

/* Once chosen the founders stay the same, however often they are told. */
static void
choose_founders(bbm_node *n)
{
    bbm_time last = n->started_at;
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        bool own = strcmp(d->name, n->desc.name) == 0;
        if (own)
            continue;
        /* One that is not new knows of a group: there is nothing to found. */
        if (!d->log_empty || !d->first_start)
            return;
        if (d->first_hello_at > last)
            last = d->first_hello_at;
    }
    if (n->now - n->started_at < FOUND_WAIT || n->now - last < FOUND_QUIET)
        return;
    if (n->desc.disk_id)
        add_founder(n, n->desc.name, n->desc.disk_id);
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        if (strcmp(d->name, n->desc.name) != 0)
            add_founder(n, d->name, d->id);
    }
}

static int
found_group(bbm_node *n, const bbm_raft_member *members, size_t len)
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
found_as_first_seed(bbm_node *n)
{
    bool first = n->desc.seeds_len && n->desc.first_start
                 && strcmp(n->desc.seeds[0], n->desc.address) == 0;
    bool known = n->in_group || n->leader[0] || n->config_revision;
    if (!first || known || (n->raft && !node_log_is_empty(n)))
        return;
    if (!n->founders_len)
        choose_founders(n);
    if (!n->founders_len || n->now < n->next_bootstrap_at)
        return;
    n->next_bootstrap_at = n->now + FOUND_AGAIN;
    bbm_raft_member members[BBM_RAFT_MEMBERS_MAX] = {0};
    size_t voters = odd_at_most(n->founders_len);
    for (size_t i = 0; i < n->founders_len; i++) {
        members[i].id = n->founder_ids[i];
        members[i].voter = i < voters;
        bbm_name_set(members[i].name, n->founder_names[i]);
    }
    if (strcmp(members[0].name, n->desc.name) == 0) {
        found_group(n, members, n->founders_len);
        return;
    }
    bbm_raft_group group = {.len = n->founders_len};
    memcpy(group.members, members, sizeof(members));
    bbm_buf *buf = node_send(n, members[0].name, NODE_BOOTSTRAP);
    bbm_raft_group_encode(&group, buf);
}

int
node_join_found(bbm_node *n, const char *from, bbm_reader *rd)
{
    (void)from;
    bbm_raft_group group = {0};
    bbm_raft_group_decode(rd, &group);
    if (!bbm_reader_done(rd) || !group.len)
        return BBM_ERR_DECODE;
    return found_group(n, group.members, group.len);
}

/* ---- keeping the group whole ---- */

/* A member is lost for good when its daemon tells of another folder, and may
   give way to another one when it is silent. */
static bool
is_lost(const bbm_node *n, const bbm_raft_member *m)
{
    if (m->id == n->desc.disk_id)
        return false;
    node_disk *d = NULL;
    HASH_FIND_STR(n->disks, m->name, d);
    if (d && d->id != m->id && n->now - d->last_hello_at < HELLO_FRESH)
        return true;
    bbm_time heard = bbm_raft_last_contact_at(n->raft, m->id);
    bbm_time since = heard > n->leader_since ? heard : n->leader_since;
    return n->now - since > VOTER_SILENT;
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
             const char *what)
{
    bbm_raft_member change = *m;
    if (bbm_raft_change_membership(n->raft, &change, remove, n->now) != BBM_OK)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_GROUP_REPAIRED);
    node_log_text(a, "member", change.name);
    node_log_text(a, "change", what);
}

static void
admit_learner(bbm_node *n, const bbm_raft_group *g)
{
    if (g->len == BBM_RAFT_MEMBERS_MAX)
        return;
    for (const node_disk *d = n->disks; d; d = d->hh.next) {
        bool here = d->id && n->now - d->last_hello_at < HELLO_FRESH
                    && strcmp(d->name, n->desc.name) != 0;
        if (!here || bbm_raft_member_of(n->raft, d->id))
            continue;
        bbm_raft_member m = {.id = d->id};
        bbm_name_set(m.name, d->name);
        change_group(n, &m, false, "admitted as learner");
        return;
    }
}

static void
repair(bbm_node *n)
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
    const bbm_raft_member *ready = find_member(n, g, false, false);
    const bbm_raft_member *lost_voter = find_member(n, g, true, true);
    const bbm_raft_member *lost_learner = find_member(n, g, false, true);
    if (lost_voter && ready) {
        change_group(n, lost_voter, true, "lost voter removed");
    }
    else if (ready && voters < odd_at_most(usable)) {
        bbm_raft_member m = *ready;
        m.voter = true;
        change_group(n, &m, false, "learner made voter");
    }
    else if (lost_learner) {
        change_group(n, lost_learner, true, "lost learner removed");
    }
    else {
        admit_learner(n, g);
    }
}

/* A folder that was removed while its VM was away isn't told so: it hears of a
   leader from others, and nothing from the group.  Until it is admitted anew
   it follows what others tell, beside the log's state. */
static void
check_left_out(bbm_node *n)
{
    /* A learner runs no elections, and keeps the last leader it knew. */
    bbm_time heard = bbm_raft_last_leader_contact_at(n->raft);
    if (bbm_raft_leader(n->raft)
        && n->now - heard <= n->desc.election_timeout) {
        n->last_group_leader_at = n->now;
        if (n->removed_from_group
            && bbm_raft_member_of(n->raft, n->desc.disk_id))
            n->in_group = true;
        n->removed_from_group = false;
    }
    bool silent =
        n->now - n->last_group_leader_at > LEFT_OUT * n->desc.election_timeout;
    bool led = strcmp(n->leader, n->desc.name) != 0
               && n->now - n->last_leader_update_at
                      < n->desc.election_timeout * LEFT_OUT;
    if (!n->desc.self_repair || !n->in_group || !silent || !led)
        return;
    n->removed_from_group = true;
    n->in_group = false;
    n->next_hello_at = n->now;
    node_log(n, BBM_EVENT_GROUP_REPAIRED, n->desc.name,
             "left out of the group");
    if (n->lagging_state)
        return;
    bbm_buf bytes = {0};
    bbm_state *view = bbm_state_create(
        &(bbm_state_desc){.revision_texts_max = n->desc.revision_texts_max});
    bbm_state_encode_public(n->state, &bytes);
    bbm_state_decode_public(view, bytes.data, bytes.len);
    bbm_buf_free(&bytes);
    n->lagging_state = n->state;
    n->state = view;
}

void
node_join_tick(bbm_node *n)
{
    found_as_first_seed(n);
    if (!n->raft)
        return;
    check_left_out(n);
    say_hello(n);
    found_with_named(n);
    repair(n);
}
