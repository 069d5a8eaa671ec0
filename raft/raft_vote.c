#include "raft_core.h"

/* Elections: pre-votes, votes, and what wins them. */

/* True if every voter, and not just a quorum, has answered in this term and by
   this group that it neither led nor heard a leader since it started.  Then
   nobody holds a lease: one given before was lost with its holder's start, and
   a later one would need a vote from one of them, in a higher term. */
static bool
all_are_anew(const bbm_raft *r)
{
    for (size_t i = 0; i < r->group.len; i++) {
        if (r->group.members[i].voter && !r->peers[i].anew)
            return false;
    }
    return raft_is_anew(r);
}

/* The same for the same members and voters, in whatever order: after a
   compaction the group's place in the log is no longer known. */
static uint64_t
mark_of_group(const bbm_raft *r)
{
    uint64_t mark = 0;
    for (size_t i = 0; i < r->group.len; i++) {
        const bbm_raft_member *m = &r->group.members[i];
        mark += bbm_hash64(&m->id, sizeof(m->id), m->voter);
    }
    return mark;
}

static void
ask_all(bbm_raft *r, raft_message_kind kind, uint64_t term, bool durable)
{
    uint64_t last = raft_log_last(&r->log);
    bool anew = kind == RAFT_VOTE && all_are_anew(r);
    for (size_t i = 0; i < r->group.len; i++) {
        const bbm_raft_member *member = &r->group.members[i];
        bool self = member->id == r->desc.id;
        r->peers[i].granted = self;
        r->peers[i].anew = self && raft_is_anew(r);
        if (self || !member->voter)
            continue;
        raft_message m = {
            .kind = kind,
            .to = member->id,
            .anew = anew,
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
    ask_all(r, RAFT_VOTE, r->term, true);
    raft_output(r, BBM_RAFT_ROLE);
    if (count_granted(r) >= raft_quorum(r))
        raft_lead(r);
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
    ask_all(r, RAFT_PREVOTE, r->term + 1, false);
    if (change)
        raft_output(r, BBM_RAFT_ROLE);
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

/* While a leader may hold a lease on our silence, no vote is given, and a
   higher term in the request is not taken over either. */
static bool
keeps_quiet(const bbm_raft *r)
{
    if (r->desc.unsafe_no_lease)
        return false;
    return r->role == BBM_LEADER || r->now < r->quiet_until;
}

void
raft_on_vote(bbm_raft *r, const raft_message *m)
{
    bool pre = m->kind == RAFT_PREVOTE;
    raft_message reply = {
        .kind = pre ? RAFT_PREVOTE_REPLY : RAFT_VOTE_REPLY,
        .to = m->from,
    };
    /* Nobody leads if all of us have just started. */
    bool quiet = keeps_quiet(r) && !(m->anew && raft_is_anew(r));
    /* Of two that ask at once only one is to go on, or neither wins. */
    bool gives_way = r->role != BBM_PREVOTER || m->from < r->desc.id;
    reply.anew = pre && raft_is_anew(r) && gives_way;
    reply.group_mark = mark_of_group(r);
    if (!pre && !quiet && m->term > r->term)
        raft_follow(r, m->term, 0);
    bool current = pre ? m->term > r->term : m->term == r->term;
    bool free_vote = pre || r->vote == 0 || r->vote == m->from;
    reply.granted = !quiet && current && free_vote && log_up_to_date(r, m);
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

/* A voter that keeps quiet only because it has just started. */
static void
hear_anew(bbm_raft *r, const raft_message *m)
{
    int pos = raft_position(r, m->from);
    bool same = m->term == r->term && m->group_mark == mark_of_group(r);
    if (r->role != BBM_PREVOTER || pos < 0 || !m->anew || !same)
        return;
    r->peers[pos].anew = true;
    if (all_are_anew(r))
        start_election(r);
}

void
raft_on_vote_reply(bbm_raft *r, const raft_message *m)
{
    bool pre = m->kind == RAFT_PREVOTE_REPLY;
    if (!m->granted) {
        if (m->term > r->term)
            raft_follow(r, m->term, 0);
        else if (pre)
            hear_anew(r, m);
        return;
    }
    bbm_raft_role asked = pre ? BBM_PREVOTER : BBM_CANDIDATE;
    uint64_t term = pre ? r->term + 1 : r->term;
    int pos = raft_position(r, m->from);
    if (r->role != asked || m->term != term || pos < 0)
        return;
    r->peers[pos].granted = true;
    if (count_granted(r) < raft_quorum(r))
        return;
    if (pre)
        start_election(r);
    else
        raft_lead(r);
}
