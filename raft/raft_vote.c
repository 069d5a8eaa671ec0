#include "raft_core.h"

/* Elections: pre-votes and votes. */

/* A round of pre-votes is answered within this part of an election timeout. */
#define PREVOTE_ROUND_DIVISOR 4

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
        r->peers[i].pregranted = self;
        if (kind == RAFT_VOTE)
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
count_granted(const bbm_raft *r, bool pre)
{
    size_t granted = 0;
    for (size_t i = 0; i < r->group.len; i++) {
        const raft_peer *peer = &r->peers[i];
        granted += r->group.members[i].voter
                   && (pre ? peer->pregranted : peer->granted);
    }
    return granted;
}

/* Stores a vote.  No pre-vote starts before it is synced, and then the
   election timeout begins anew: with a slow disk each candidate would
   otherwise give up its term before the others could answer. */
static void
persist_vote(bbm_raft *r, bbm_member_id id)
{
    r->vote = id;
    raft_persist(r, NULL, 0, 0);
    r->vote_write = r->persist_issued;
    raft_reset_timeout(r);
}

static void
start_election(bbm_raft *r)
{
    r->role = BBM_CANDIDATE;
    r->leader = 0;
    r->term++;
    persist_vote(r, r->desc.id);
    request_votes(r, RAFT_VOTE, r->term, true);
    raft_queue_output(r, BBM_RAFT_ROLE);
    if (count_granted(r, false) >= raft_quorum(r))
        raft_become_leader(r);
}

void
raft_start_prevote(bbm_raft *r)
{
    raft_reset_timeout(r);
    r->prevote_started_at = r->now;
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
    if (count_granted(r, true) >= raft_quorum(r))
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

static bool
has_same_log(const bbm_raft *r, const raft_message *m)
{
    uint64_t last = raft_log_last(&r->log);
    return m->index == last && m->index_term == raft_log_term(&r->log, last);
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
    /* Only for as long as that takes: the other one may reach a quorum that
       this one doesn't. */
    bool first = !yields && has_same_log(r, m)
                 && r->now - r->prevote_started_at
                        < r->desc.election_timeout / PREVOTE_ROUND_DIVISOR;
    reply.group_hash = group_hash_of(r);
    if (!pre && !withheld && m->term > r->term) {
        bool votes = log_up_to_date(r, m);
        raft_adopt_term(r, m->term, 0, !votes);
    }
    bool current = pre ? m->term > r->term : m->term == r->term;
    bool vote_free = pre || r->vote == 0 || r->vote == m->from;
    reply.granted = !withheld && current && vote_free && log_up_to_date(r, m)
                    && !(pre && first);
    reply.term = reply.granted ? m->term : r->term;
    if (reply.granted && !pre && r->vote != m->from)
        persist_vote(r, m->from);
    else if (reply.granted && !pre)
        raft_reset_timeout(r);
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
    /* A vote that comes after the election timeout still counts in its term:
       a pre-vote doesn't change the term. */
    bool expected =
        r->role == BBM_PREVOTER || (!pre && r->role == BBM_CANDIDATE);
    bool asked = pre || r->vote == r->desc.id;
    uint64_t term = pre ? r->term + 1 : r->term;
    int pos = raft_position(r, m->from);
    if (!expected || !asked || m->term != term || pos < 0)
        return;
    if (pre)
        r->peers[pos].pregranted = true;
    else
        r->peers[pos].granted = true;
    if (count_granted(r, pre) < raft_quorum(r))
        return;
    if (pre)
        start_election(r);
    else
        raft_become_leader(r);
}
