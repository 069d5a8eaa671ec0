/* Votes of members that have all just started. */
#include "bbm_raft.h"
#include "test_main.h"

#include <string.h>

#define MEMBERS 3
#define ELECTION (500 * BBM_MS)

/* A restarted member whose log has been compacted: its group is only in the
   snapshot. */
static bbm_raft *
restarted(bbm_member_id id, size_t voters)
{
    bbm_raft_saved saved = {.term = 5, .snapshot = {.index = 10, .term = 5}};
    saved.snapshot.group.len = voters;
    for (size_t i = 0; i < voters; i++) {
        saved.snapshot.group.members[i].id = i + 1;
        saved.snapshot.group.members[i].voter = true;
    }
    return bbm_raft_create(&(bbm_raft_desc){
        .id = id,
        .seed = id,
        .election_timeout = ELECTION,
        .saved = &saved,
        .now = BBM_SECOND,
    });
}

/* Hands all that a member sends to those it is for. */
static void
deliver(bbm_raft *members[MEMBERS], size_t from, bbm_time now)
{
    bbm_raft_output *out;
    while ((out = bbm_raft_next_output(members[from])) != NULL) {
        if (out->kind == BBM_RAFT_PERSIST)
            bbm_raft_persisted(members[from], out->u.persist.seq, now);
        if (out->kind != BBM_RAFT_SEND || out->u.send.to > MEMBERS)
            continue;
        bbm_raft *to = members[out->u.send.to - 1];
        bbm_raft_receive(to, out->u.send.bytes.data, out->u.send.bytes.len,
                         now);
    }
}

/* True if the first goes on to a vote before an election time has passed. */
static bool
votes_early(size_t voters_of_others)
{
    bbm_raft *members[MEMBERS];
    bbm_time now = BBM_SECOND;
    for (size_t i = 0; i < MEMBERS; i++)
        members[i] = restarted(i + 1, i == 0 ? MEMBERS : voters_of_others);
    bool early = false;
    for (int step = 0; step < 40; step++) {
        now += 10 * BBM_MS;
        bbm_raft_tick(members[0], now);
        deliver(members, 0, now);
        deliver(members, 1, now);
        deliver(members, 2, now);
        early = early || bbm_raft_term(members[0]) > 5;
    }
    for (size_t i = 0; i < MEMBERS; i++)
        bbm_raft_destroy(members[i]);
    return early;
}

/* Who goes by another group may know a leader that we were not told of. */
START_TEST(early_votes_need_one_group)
{
    ck_assert(votes_early(MEMBERS));
    ck_assert(!votes_early(MEMBERS + 1));
}
END_TEST

TEST_MAIN("raft", early_votes_need_one_group);
