/** @file
 *  Distributes the public state (configuration, keys, versions of weights,
 *  drain marks) to all daemons.  The daemons form a tree: each polls its
 *  parent, and a parent sends changes to its children as soon as it has them.
 *
 *  A daemon's view is complete up to a time on its own clock (fresh_at).  The
 *  leader's view is current while its lease holds.  A daemon's view is as old
 *  as its parent's was when the parent answered, counted from the time at
 *  which the poll was sent.  A delayed message can therefore make a view look
 *  older than it is, but never younger.
 */
#include "node_core.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

#define POLL_PERIOD (800 * BBM_MS)
#define POLL_RETRY_PERIOD (120 * BBM_MS)
/* VMs poll within this time after they have heard of a new leader. */
#define NEW_LEADER_POLL_SPREAD (100 * BBM_MS)
/* Children of each daemon in the tree. */
#define TREE_FANOUT 8
/* Members drawn at random until one can be polled. */
#define RANDOM_MEMBER_TRIES 8
/* A child that has not polled for this time is dropped. */
#define CHILD_TIMEOUT (4 * BBM_SECOND)
/* Unanswered or stale polls before another parent is tried. */
#define UNANSWERED_POLLS_MAX 2
/* Limits of the commands in one message. */
#define UPDATE_BYTES_MAX ((size_t)256 * 1024)
#define UPDATE_COMMANDS_MAX 64
/* Commands sent to a child are not sent again before this time: when all
   VMs start at once, their polls arrive faster than a link carries the
   answers. */
#define RESEND_DELAY (2 * BBM_SECOND)
/* Sent in polls of control group members: they apply the log and need no
   commands from this tree. */
#define INDEX_HAS_LOG UINT64_MAX
/* Ages in messages are capped at this. */
#define AGE_MAX (3600 * BBM_SECOND)
/* An update that is younger than this comes from a leader with a valid
   lease. */
#define LEADER_UPDATE_AGE_MAX BBM_SECOND

bbm_time
node_relay_age(const bbm_node *n)
{
    return n->now - n->fresh_at;
}

/* ---- choosing a parent ---- */

bool
node_member_alive(const bbm_member *m)
{
    return m->status == BBM_MEMBER_ALIVE && m->run;
}

/* Every daemon computes the order from its own list of members.  While lists
   differ, a view may be older, but it is not wrong. */
bool
node_precedes(const bbm_node *n, const char *a, const char *b)
{
    bool a_leads = strcmp(a, n->leader) == 0;
    bool b_leads = strcmp(b, n->leader) == 0;
    if (a_leads != b_leads)
        return a_leads;
    return strcmp(a, b) < 0;
}

static size_t
rank_of(const bbm_node *n, const char *name)
{
    size_t rank = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        bool reachable =
            node_member_alive(m) || strcmp(m->name, n->leader) == 0;
        if (reachable && strcmp(m->name, name) != 0
            && node_precedes(n, m->name, name))
            rank++;
    }
    return rank;
}

static const char *
at_rank(const bbm_node *n, size_t rank)
{
    if (rank == 0)
        return n->leader;
    size_t alive_count = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!node_member_alive(m) || strcmp(m->name, n->leader) == 0)
            continue;
        if (++alive_count == rank)
            return m->name;
    }
    return NULL;
}

static const char *
random_member(bbm_node *n)
{
    size_t count = bbm_members_count(n->members);
    for (int tries = 0; tries < RANDOM_MEMBER_TRIES; tries++) {
        size_t i = (size_t)bbm_rng_below(&n->rng, count);
        const bbm_member *m = bbm_members_at(n->members, i);
        if (m && strcmp(m->name, n->desc.name) != 0 && m->address[0])
            return m->name;
    }
    return NULL;
}

/* Members of the group poll the leader, all others their parent in the
   tree. */
static void
choose_parent(bbm_node *n)
{
    const char *parent = NULL;
    bool leader_elsewhere =
        n->leader[0] && strcmp(n->leader, n->desc.name) != 0;
    if (leader_elsewhere && n->in_group) {
        parent = n->leader;
    }
    else if (leader_elsewhere) {
        size_t rank = rank_of(n, n->desc.name);
        parent = at_rank(n, rank ? (rank - 1) / TREE_FANOUT : 0);
    }
    /* After unanswered polls, alternate between the leader and a random
       member. */
    if (n->polls_unanswered >= UNANSWERED_POLLS_MAX && leader_elsewhere
        && n->polls_unanswered % 2 == 0)
        parent = n->leader;
    else if (n->polls_unanswered >= UNANSWERED_POLLS_MAX || !parent)
        parent = random_member(n);
    bbm_name_set(n->parent, parent);
}

/* ---- polling ---- */

static void
poll_parent(bbm_node *n)
{
    n->next_poll_at =
        n->now + (n->polls_unanswered ? POLL_RETRY_PERIOD : POLL_PERIOD);
    choose_parent(n);
    n->polls_unanswered++;
    if (!n->parent[0] || strcmp(n->parent, n->desc.name) == 0)
        return;
    bbm_buf *buf = node_send(n, n->parent, NODE_POLL);
    bbm_put_i64(buf, n->now);
    if (n->in_group)
        bbm_put_u64(buf, INDEX_HAS_LOG);
    else if (n->wants_snapshot)
        bbm_put_u64(buf, 0);
    else
        bbm_put_u64(buf, bbm_state_public_index(n->state));
}

static void
update_keys_stale(bbm_node *n)
{
    bbm_time age = node_relay_age(n);
    bool stale = age > n->desc.key_age_max;
    if (n->desc.unsafe_stale_keys)
        stale = false;
    if (stale != n->keys_stale) {
        n->keys_stale = stale;
        node_log(n, stale ? BBM_EVENT_KEYS_STALE : BBM_EVENT_KEYS_FRESH, "",
                 "");
    }
    if (age > n->desc.key_age_abort && !n->desc.unsafe_stale_keys)
        node_request_abort_keyed(n);
}

static void
drop_silent_children(bbm_node *n)
{
    node_child *c, *next;
    HASH_ITER(hh, n->children, c, next)
    {
        if (n->now - c->last_poll_at < CHILD_TIMEOUT)
            continue;
        HASH_DEL(n->children, c);
        free(c);
    }
}

void
node_relay_tick(bbm_node *n)
{
    if (node_leads(n)) {
        n->fresh_at = n->now;
        n->polls_unanswered = 0;
    }
    else if (n->now >= n->next_poll_at) {
        poll_parent(n);
    }
    drop_silent_children(n);
    update_keys_stale(n);
}

/* ---- answering polls ---- */

/* True if builds of a format know all commands of the tail after an index.
   One that doesn't know a command can't apply those behind it either. */
static bool
knows_commands(const bbm_node *n, uint64_t since, bbm_format format)
{
    if (format >= n->desc.format)
        return true;
    bbm_tail_item item;
    while (bbm_state_tail(n->state, since, &item)) {
        if (bbm_command_format(item.bytes.data, item.bytes.len) > format)
            return false;
        since = item.index;
    }
    return true;
}

static size_t
put_commands(const bbm_node *n, bbm_buf *buf, uint64_t *since)
{
    bbm_tail_item items[UPDATE_COMMANDS_MAX];
    size_t len = 0;
    size_t bytes = 0;
    while (len < BBM_COUNT(items) && bytes < UPDATE_BYTES_MAX
           && bbm_state_tail(n->state, *since, &items[len])) {
        *since = items[len].index;
        bytes += items[len].bytes.len;
        len++;
    }
    bbm_put_u64(buf, len);
    for (size_t i = 0; i < len; i++) {
        bbm_put_u64(buf, items[i].previous);
        bbm_put_u64(buf, items[i].index);
        bbm_put_bytes(buf, items[i].bytes.data, items[i].bytes.len);
    }
    return len;
}

/* Appends what a child lacks: commands of the tail, or a full snapshot if
   the child has nothing, doesn't know one of the commands, or the tail doesn't
   reach back far enough.  A snapshot is smaller than a long tail: it has the
   texts of a few revisions only, the tail has all. */
static void
put_update(bbm_node *n, bbm_buf *buf, node_child *c)
{
    uint64_t own_index = bbm_state_public_index(n->state);
    uint64_t since = c->sent_index;
    bbm_format format = node_state_format(n, c->name);
    bbm_put_str(buf, n->leader);
    bbm_put_u64(buf, n->leader_term);
    bbm_put_u64(buf, own_index);
    size_t command_count = 0;
    if (c->sent_index == 0 || !knows_commands(n, since, format))
        bbm_put_u64(buf, 0);
    else
        command_count = put_commands(n, buf, &since);
    bool full = command_count == 0 && c->sent_index < own_index;
    bbm_put_u64(buf, full);
    if (full) {
        bbm_buf snapshot = {0};
        bbm_state_encode_public(n->state, format, &snapshot);
        bbm_put_bytes(buf, snapshot.data, snapshot.len);
        bbm_buf_free(&snapshot);
        since = own_index;
    }
    if (since != c->sent_index)
        c->last_sent_at = n->now;
    c->sent_index = since;
}

/* Appends the leader and the index of the view, without commands. */
static void
put_index_only(const bbm_node *n, bbm_buf *buf)
{
    bbm_put_str(buf, n->leader);
    bbm_put_u64(buf, n->leader_term);
    bbm_put_u64(buf, bbm_state_public_index(n->state));
    bbm_put_u64(buf, 0);
    bbm_put_u64(buf, 0);
}

static node_child *
get_child(bbm_node *n, const char *name)
{
    node_child *c = NULL;
    HASH_FIND_STR(n->children, name, c);
    if (!c) {
        c = bbm_calloc(1, sizeof(*c));
        bbm_name_set(c->name, name);
        HASH_ADD_STR(n->children, name, c);
    }
    return c;
}

int
node_relay_answer_poll(bbm_node *n, const char *from, bbm_reader *rd)
{
    bbm_time sent = bbm_get_i64(rd);
    uint64_t child_index = bbm_get_u64(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (node_leads(n))
        n->fresh_at = n->now;
    node_child *c = get_child(n, from);
    c->last_poll_at = n->now;
    bbm_time age = node_relay_age(n);
    bbm_buf *buf = node_send(n, from, NODE_POLL_REPLY);
    bbm_put_i64(buf, sent);
    bbm_put_i64(buf, age < AGE_MAX ? age : AGE_MAX);
    if (child_index < c->sent_index
        && n->now - c->last_sent_at < RESEND_DELAY) {
        put_index_only(n, buf);
        return BBM_OK;
    }
    c->sent_index = child_index;
    put_update(n, buf, c);
    return BBM_OK;
}

void
node_relay_push(bbm_node *n)
{
    uint64_t own_index = bbm_state_public_index(n->state);
    for (node_child *c = n->children; c; c = c->hh.next) {
        if (c->sent_index >= own_index)
            continue;
        bbm_buf *buf = node_send(n, c->name, NODE_PUSH);
        bbm_put_i64(buf, 0);
        bbm_put_i64(buf, 0);
        put_update(n, buf, c);
    }
}

/* A VM whose parent still answers, but no longer hears of the leader, would
   look for another one only after some polls. */
void
node_relay_announce(bbm_node *n)
{
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!node_member_alive(m) || strcmp(m->name, n->desc.name) == 0)
            continue;
        bbm_buf *buf = node_send(n, m->name, NODE_PUSH);
        bbm_put_i64(buf, 0);
        bbm_put_i64(buf, 0);
        put_index_only(n, buf);
    }
}

/* ---- receiving updates ---- */

static void
apply_commands(bbm_node *n, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, UPDATE_COMMANDS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        uint64_t previous = bbm_get_u64(rd);
        uint64_t index = bbm_get_u64(rd);
        bbm_bytes bytes = bbm_get_bytes(rd);
        bool in_sequence = previous == bbm_state_public_index(n->state);
        if (rd->failed || !in_sequence || n->in_group)
            continue;
        n->wants_snapshot =
            bbm_command_format(bytes.data, bytes.len) > n->desc.format;
        bbm_outcome out;
        bbm_state_apply(n->state, index, bytes.data, bytes.len, &out);
        bbm_outcome_free(&out);
    }
}

static void
update_leader(bbm_node *n, const char *leader, uint64_t term)
{
    if (!leader[0] || term < n->leader_term)
        return;
    /* One that has nothing yet gets a snapshot from whom it asks; asking the
       next one at once would send it twice. */
    bool has_state = bbm_state_public_index(n->state) > 0;
    if (term > n->leader_term && !n->in_group && has_state) {
        bbm_time soon =
            n->now + (bbm_time)bbm_rng_below(&n->rng, NEW_LEADER_POLL_SPREAD);
        if (soon < n->next_poll_at)
            n->next_poll_at = soon;
        n->polls_unanswered = 0;
    }
    n->leader_term = term;
    bbm_name_set(n->leader, leader);
}

/* A member of the control group changes its state through the log only.
   From an update it uses just the freshness, if it has applied as much as
   the sender. */
int
node_relay_receive(bbm_node *n, const char *from, bbm_reader *rd,
                   bool is_reply)
{
    bbm_time sent = bbm_get_i64(rd);
    bbm_time age = bbm_get_i64(rd);
    char leader[BBM_NAME_SIZE];
    bbm_get_name(rd, leader);
    uint64_t term = bbm_get_u64(rd);
    uint64_t sender_index = bbm_get_u64(rd);
    uint64_t index_before = bbm_state_public_index(n->state);
    apply_commands(n, rd);
    if (bbm_get_u32(rd, 1)) {
        bbm_bytes snapshot = bbm_get_bytes(rd);
        if (!rd->failed && !n->in_group
            && bbm_state_decode_public(n->state, snapshot.data, snapshot.len)
                   < 0)
            rd->failed = true;
        n->wants_snapshot = n->wants_snapshot && rd->failed;
    }
    if (!bbm_reader_done(rd) || age < 0)
        return BBM_ERR_DECODE;
    update_leader(n, leader, term);
    if (n->leader[0] && age < LEADER_UPDATE_AGE_MAX)
        n->last_leader_update_at = n->now;
    uint64_t own_index = bbm_state_public_index(n->state);
    if (own_index != index_before) {
        node_apply_config(n);
        node_relay_push(n);
    }
    bool complete = own_index >= sender_index;
    bool current = is_reply && sent <= n->now && strcmp(from, n->parent) == 0;
    if (current && complete && sent - age > n->fresh_at) {
        n->fresh_at = sent - age;
        if (age <= n->desc.key_age_max)
            n->polls_unanswered = 0;
    }
    if (complete || own_index != index_before)
        n->incomplete_since = 0;
    else if (!n->incomplete_since)
        n->incomplete_since = n->now;
    /* What this VM lacks is on its way from the parent; another one would send
       it a second time. */
    if (current && !complete && age <= n->desc.key_age_max
        && n->now - n->incomplete_since < RESEND_DELAY)
        n->polls_unanswered = 0;
    if (is_reply && !complete && !n->in_group)
        n->next_poll_at =
            n->now + (own_index != index_before ? 0 : POLL_RETRY_PERIOD);
    update_keys_stale(n);
    return BBM_OK;
}

void
node_relay_destroy(bbm_node *n)
{
    BBM_TABLE_FREE(node_child, n->children);
}
