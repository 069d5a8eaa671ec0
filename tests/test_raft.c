/* Elections among members that have all just restarted. */
#include "bbm_raft.h"
#include "test_main.h"

#include <string.h>

#define MEMBERS 3
#define ELECTION_TIMEOUT (500 * BBM_MS)

/* Creates a member as after a restart with a compacted log, whose group is
   only in the snapshot.  The group has @p voters voters. */
static bbm_raft *
create_restarted(bbm_member_id id, size_t voters)
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
        .election_timeout = ELECTION_TIMEOUT,
        .saved = &saved,
        .now = BBM_SECOND,
    });
}

/* Delivers a member's messages and confirms its writes. */
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

/* True if member 1 starts an election before the election timeout has passed;
   its own group has MEMBERS voters. */
static bool
reaches_election_early(size_t voters_of_others)
{
    bbm_raft *members[MEMBERS];
    bbm_time now = BBM_SECOND;
    for (size_t i = 0; i < MEMBERS; i++)
        members[i] =
            create_restarted(i + 1, i == 0 ? MEMBERS : voters_of_others);
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

/* A voter with another group may have seen a leader that this member doesn't
   know of: its report must not let the election start early. */
START_TEST(early_election_needs_equal_groups)
{
    ck_assert(reaches_election_early(MEMBERS));
    ck_assert(!reaches_election_early(MEMBERS + 1));
}
END_TEST

TEST_MAIN("raft", early_election_needs_equal_groups);
