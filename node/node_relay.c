#include "node_core.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

/* The public state on its way to every daemon: a tree in which each polls its
   parent and is told at once of what is new.

   A daemon's view is fresh up to a moment of its own clock.  The leader's is
   fresh while it has its lease.  Another's is as fresh as its parent's was
   when the parent answered, counted from when the question was sent: so late
   messages make a view older, never younger. */

#define POLL_PERIOD (800 * BBM_MS)
#define POLL_RETRY (120 * BBM_MS)
#define FAN_OUT 8
/* A child that hasn't polled for so long is none. */
#define CHILD_TIME (4 * BBM_SECOND)
/* Another parent is tried after so many polls without a fresh answer. */
#define MISSED_MOST 2
/* Bytes of commands in one message. */
#define NEWS_BYTES ((size_t)256 * 1024)
/* What is under way to a child isn't sent again before this: when all VMs
   start at once their questions come faster than a link takes the answers. */
#define NEWS_AGAIN (2 * BBM_SECOND)
/* A member of the group has its log, and needs no commands from news. */
#define HAS_LOG UINT64_MAX
#define AGE_MOST (3600 * BBM_SECOND)
/* News so young come from a leader that leads. */
#define NEWS_FRESH BBM_SECOND

bbm_time
node_relay_age(const bbm_node *n)
{
    return n->now - n->fresh_at;
}

/* ---- choosing a parent ---- */

static bool
is_alive(const bbm_node *n, const char *name)
{
    const bbm_member *m = bbm_members_find(n->members, name);
    return m && m->status == BBM_MEMBER_ALIVE && m->run;
}

/* Position in the tree: the leader first, then control VMs, then by name.
   Every daemon computes it from its own list of members; where lists differ
   for a while, a view may become older, but not wrong. */
static bool
comes_before(const bbm_node *n, const char *a, const char *b)
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
        bool counts = is_alive(n, m->name) || strcmp(m->name, n->leader) == 0;
        if (counts && strcmp(m->name, name) != 0
            && comes_before(n, m->name, name))
            rank++;
    }
    return rank;
}

static const char *
at_rank(const bbm_node *n, size_t rank)
{
    if (rank == 0)
        return n->leader;
    size_t seen = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!is_alive(n, m->name) || strcmp(m->name, n->leader) == 0)
            continue;
        if (++seen == rank)
            return m->name;
    }
    return NULL;
}

static const char *
random_member(bbm_node *n)
{
    size_t count = bbm_members_count(n->members);
    for (int tries = 0; tries < 8; tries++) {
        size_t i = (size_t)bbm_rng_below(&n->rng, count);
        const bbm_member *m = bbm_members_at(n->members, i);
        if (m && strcmp(m->name, n->desc.name) != 0 && m->address[0])
            return m->name;
    }
    return NULL;
}

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
        parent = at_rank(n, rank ? (rank - 1) / FAN_OUT : 0);
    }
    /* Without an answer try the leader, then anyone. */
    if (n->polls_unanswered >= MISSED_MOST && leader_elsewhere
        && n->polls_unanswered % 2 == 0)
        parent = n->leader;
    else if (n->polls_unanswered >= MISSED_MOST || !parent)
        parent = random_member(n);
    bbm_name_set(n->parent, parent);
}

/* ---- polling ---- */

static void
poll_parent(bbm_node *n)
{
    n->next_poll_at =
        n->now + (n->polls_unanswered ? POLL_RETRY : POLL_PERIOD);
    choose_parent(n);
    n->polls_unanswered++;
    if (!n->parent[0] || strcmp(n->parent, n->desc.name) == 0)
        return;
    bbm_buf *buf = node_send(n, n->parent, NODE_POLL);
    bbm_put_i64(buf, n->now);
    bbm_put_u64(buf, n->in_group ? HAS_LOG : bbm_state_public_index(n->state));
}

static void
update_stale(bbm_node *n)
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
forget_children(bbm_node *n)
{
    node_child *c, *next;
    HASH_ITER(hh, n->children, c, next)
    {
        if (n->now - c->last_poll_at < CHILD_TIME)
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
    forget_children(n);
    update_stale(n);
}

/* ---- answering ---- */

static size_t
put_items(const bbm_node *n, bbm_buf *buf, uint64_t *since)
{
    bbm_tail_item items[64];
    size_t len = 0;
    size_t bytes = 0;
    while (len < BBM_COUNT(items) && bytes < NEWS_BYTES
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

/* What a daemon lacks: commands, or the whole if it has nothing or the tail is
   too short: the whole holds a few texts, the tail all. */
static void
put_news(bbm_node *n, bbm_buf *buf, node_child *c)
{
    uint64_t mine = bbm_state_public_index(n->state);
    uint64_t since = c->sent_index;
    bbm_put_str(buf, n->leader);
    bbm_put_u64(buf, n->leader_term);
    bbm_put_u64(buf, mine);
    size_t sent = 0;
    if (c->sent_index == 0)
        bbm_put_u64(buf, 0);
    else
        sent = put_items(n, buf, &since);
    bool whole = sent == 0 && c->sent_index < mine;
    bbm_put_u64(buf, whole);
    if (whole) {
        bbm_buf snapshot = {0};
        bbm_state_encode_public(n->state, &snapshot);
        bbm_put_bytes(buf, snapshot.data, snapshot.len);
        bbm_buf_free(&snapshot);
        since = mine;
    }
    if (since != c->sent_index)
        c->last_sent_at = n->now;
    c->sent_index = since;
}

/* Only how fresh and new our view is. */
static void
put_no_news(const bbm_node *n, bbm_buf *buf)
{
    bbm_put_str(buf, n->leader);
    bbm_put_u64(buf, n->leader_term);
    bbm_put_u64(buf, bbm_state_public_index(n->state));
    bbm_put_u64(buf, 0);
    bbm_put_u64(buf, 0);
}

static node_child *
child_of(bbm_node *n, const char *name)
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
node_relay_poll(bbm_node *n, const char *from, bbm_reader *rd)
{
    bbm_time sent = bbm_get_i64(rd);
    uint64_t has = bbm_get_u64(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (node_leads(n))
        n->fresh_at = n->now;
    node_child *c = child_of(n, from);
    c->last_poll_at = n->now;
    bbm_time age = node_relay_age(n);
    bbm_buf *buf = node_send(n, from, NODE_POLL_REPLY);
    bbm_put_i64(buf, sent);
    bbm_put_i64(buf, age < AGE_MOST ? age : AGE_MOST);
    if (has < c->sent_index && n->now - c->last_sent_at < NEWS_AGAIN) {
        put_no_news(n, buf);
        return BBM_OK;
    }
    c->sent_index = has;
    put_news(n, buf, c);
    return BBM_OK;
}

void
node_relay_push(bbm_node *n)
{
    uint64_t mine = bbm_state_public_index(n->state);
    for (node_child *c = n->children; c; c = c->hh.next) {
        if (c->sent_index >= mine)
            continue;
        bbm_buf *buf = node_send(n, c->name, NODE_PUSH);
        bbm_put_i64(buf, 0);
        bbm_put_i64(buf, 0);
        put_news(n, buf, c);
    }
}

/* ---- taking news ---- */

static void
apply_items(bbm_node *n, bbm_reader *rd)
{
    size_t len = bbm_get_u32(rd, 64);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        uint64_t previous = bbm_get_u64(rd);
        uint64_t index = bbm_get_u64(rd);
        bbm_bytes bytes = bbm_get_bytes(rd);
        bool next = previous == bbm_state_public_index(n->state);
        if (rd->failed || !next || n->in_group)
            continue;
        bbm_outcome out;
        bbm_state_apply(n->state, index, bytes.data, bytes.len, &out);
        bbm_outcome_free(&out);
    }
}

static void
take_leader(bbm_node *n, const char *leader, uint64_t term)
{
    if (!leader[0] || term < n->leader_term)
        return;
    n->leader_term = term;
    bbm_name_set(n->leader, leader);
}

/* A member of the group applies its log alone; from news it takes only how
   fresh the log's part that it has applied is. */
int
node_relay_receive(bbm_node *n, const char *from, bbm_reader *rd, bool asked)
{
    bbm_time sent = bbm_get_i64(rd);
    bbm_time age = bbm_get_i64(rd);
    char leader[BBM_NAME_SIZE];
    bbm_get_name(rd, leader);
    uint64_t term = bbm_get_u64(rd);
    uint64_t theirs = bbm_get_u64(rd);
    uint64_t before = bbm_state_public_index(n->state);
    apply_items(n, rd);
    if (bbm_get_u32(rd, 1)) {
        bbm_bytes whole = bbm_get_bytes(rd);
        if (!rd->failed && !n->in_group
            && bbm_state_decode_public(n->state, whole.data, whole.len) < 0)
            rd->failed = true;
    }
    if (!bbm_reader_done(rd) || age < 0)
        return BBM_ERR_DECODE;
    take_leader(n, leader, term);
    if (n->leader[0] && age < NEWS_FRESH)
        n->last_leader_update_at = n->now;
    uint64_t mine = bbm_state_public_index(n->state);
    if (mine != before) {
        node_apply_config(n);
        node_relay_push(n);
    }
    bool complete = mine >= theirs;
    bool current = asked && sent <= n->now && strcmp(from, n->parent) == 0;
    if (current && complete && sent - age > n->fresh_at) {
        n->fresh_at = sent - age;
        if (age <= n->desc.key_age_max)
            n->polls_unanswered = 0;
    }
    if (asked && !complete && !n->in_group)
        n->next_poll_at = n->now + (mine != before ? 0 : POLL_RETRY);
    update_stale(n);
    return BBM_OK;
}

void
node_relay_destroy(bbm_node *n)
{
    BBM_TABLE_FREE(node_child, n->children);
}
