#include "raft_core.h"

/* Elections: pre-votes and votes. */

/* True if every voter, and not only a quorum, has reported, in this term and
   for this group, that it has seen no leader since its start.  Then no member
   holds a lease: the holder of an earlier one has restarted and lost it, and a
   later one would need the vote of one of these voters in a higher term. */
static bool
all_saw_no_leader(const bbm_raft *r)
{
    for (size_t i = 0; i < r->group.len; i++) {
        if (r->group.members[i].voter && !r->peers[i].no_leader_seen)
            return false;
    }
    return raft_no_leader_seen(r);
}

/* Identifies a group by its members and voters, independent of their order.
   Its index in the log can't serve: it is lost in a compaction. */
static uint64_t
group_hash_of(const bbm_raft *r)
{
    uint64_t hash = 0;
    for (size_t i = 0; i < r->group.len; i++) {
        const bbm_raft_member *m = &r->group.members[i];
        hash += bbm_hash64(&m->id, sizeof(m->id), m->voter);
    }
    return hash;
}

static void
request_votes(bbm_raft *r, raft_message_kind kind, uint64_t term, bool durable)
{
    uint64_t last = raft_log_last(&r->log);
    bool no_leader = kind == RAFT_VOTE && all_saw_no_leader(r);
    for (size_t i = 0; i < r->group.len; i++) {
        const bbm_raft_member *member = &r->group.members[i];
        bool self = member->id == r->desc.id;
        r->peers[i].granted = self;
        r->peers[i].no_leader_seen = self && raft_no_leader_seen(r);
        if (self || !member->voter)
            continue;
        raft_message m = {
            .kind = kind,
            .to = member->id,
            .no_leader_seen = no_leader,
            .term = term,
            .index = last,
            .index_term = raft_log_term(&r->log, last),
        };
        raft_send(r, &m, durable);
    }
}

static size_t
count_granted(const bbm_raft *r)
{
    size_t granted = 0;
    for (size_t i = 0; i < r->group.len; i++)
        granted += r->group.members[i].voter && r->peers[i].granted;
    return granted;
}

static void
start_election(bbm_raft *r)
{
    r->role = BBM_CANDIDATE;
    r->leader = 0;
    r->term++;
    r->vote = r->desc.id;
    raft_persist(r, NULL, 0, 0);
    raft_reset_timeout(r);
    request_votes(r, RAFT_VOTE, r->term, true);
    raft_queue_output(r, BBM_RAFT_ROLE);
    if (count_granted(r) >= raft_quorum(r))
        raft_become_leader(r);
}

void
raft_start_prevote(bbm_raft *r)
{
    raft_reset_timeout(r);
    if (r->desc.unsafe_no_prevote) {
        start_election(r);
        return;
    }
    bool change = r->role != BBM_PREVOTER;
    r->role = BBM_PREVOTER;
    r->leader = 0;
    request_votes(r, RAFT_PREVOTE, r->term + 1, false);
    if (change)
        raft_queue_output(r, BBM_RAFT_ROLE);
    if (count_granted(r) >= raft_quorum(r))
        start_election(r);
}

static bool
log_up_to_date(const bbm_raft *r, const raft_message *m)
{
    uint64_t last = raft_log_last(&r->log);
    uint64_t last_term = raft_log_term(&r->log, last);
    if (m->index_term != last_term)
        return m->index_term > last_term;
    return m->index >= last;
}

/* True while this member leads, or while another may hold a lease that relies
   on this member not voting.  Then no vote is granted, and a higher term in
   the request isn't adopted either. */
static bool
vote_withheld(const bbm_raft *r)
{
    if (r->desc.unsafe_no_lease)
        return false;
    return r->role == BBM_LEADER || r->now < r->no_vote_until;
}

void
raft_on_vote(bbm_raft *r, const raft_message *m)
{
    bool pre = m->kind == RAFT_PREVOTE;
    raft_message reply = {
        .kind = pre ? RAFT_PREVOTE_REPLY : RAFT_VOTE_REPLY,
        .to = m->from,
    };
    /* No member holds a lease if no voter has seen a leader since its
       start. */
    bool withheld =
        vote_withheld(r) && !(m->no_leader_seen && raft_no_leader_seen(r));
    /* If two members request pre-votes at the same time, only the one with the
       lower identity proceeds; otherwise they would split the votes. */
    bool yields = r->role != BBM_PREVOTER || m->from < r->desc.id;
    reply.no_leader_seen = pre && raft_no_leader_seen(r) && yields;
    reply.group_hash = group_hash_of(r);
    if (!pre && !withheld && m->term > r->term)
        raft_become_follower(r, m->term, 0);
    bool current = pre ? m->term > r->term : m->term == r->term;
    bool vote_free = pre || r->vote == 0 || r->vote == m->from;
    reply.granted = !withheld && current && vote_free && log_up_to_date(r, m);
    reply.term = reply.granted ? m->term : r->term;
    if (reply.granted && !pre) {
        if (r->vote != m->from) {
            r->vote = m->from;
            raft_persist(r, NULL, 0, 0);
        }
        raft_reset_timeout(r);
    }
    raft_send(r, &reply, true);
}

/* Handles a refused pre-vote whose sender has seen no leader since its start:
   if all voters report that, the election starts at once instead of after
   their no_vote_until. */
static void
on_no_leader_seen(bbm_raft *r, const raft_message *m)
{
    int pos = raft_position(r, m->from);
    bool comparable = m->term == r->term && m->group_hash == group_hash_of(r);
    if (r->role != BBM_PREVOTER || pos < 0 || !m->no_leader_seen
        || !comparable)
        return;
    r->peers[pos].no_leader_seen = true;
    if (all_saw_no_leader(r))
        start_election(r);
}

void
raft_on_vote_reply(bbm_raft *r, const raft_message *m)
{
    bool pre = m->kind == RAFT_PREVOTE_REPLY;
    if (!m->granted) {
        if (m->term > r->term)
            raft_become_follower(r, m->term, 0);
        else if (pre)
            on_no_leader_seen(r, m);
        return;
    }
    bbm_raft_role expected_role = pre ? BBM_PREVOTER : BBM_CANDIDATE;
    uint64_t term = pre ? r->term + 1 : r->term;
    int pos = raft_position(r, m->from);
    if (r->role != expected_role || m->term != term || pos < 0)
        return;
    r->peers[pos].granted = true;
    if (count_granted(r) < raft_quorum(r))
        return;
    if (pre)
        start_election(r);
    else
        raft_become_leader(r);
}
