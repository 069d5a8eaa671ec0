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

/* ---- slow disks ---- */

#define SIM_STEP (1 * BBM_MS)
#define SIM_EVENTS_MAX 512
#define SIM_MESSAGE_MAX 4096
#define NO_LEADER_MAX (120 * BBM_SECOND)

/* A message on its way, or a write that is being synced. */
typedef struct sim_event {
    bool used;
    bool is_write;
    size_t member; /* that receives or writes */
    bbm_time at;
    uint64_t order; /* of events at the same time */
    uint64_t seq;   /* of the write */
    size_t len;
    uint8_t bytes[SIM_MESSAGE_MAX];
} sim_event;

typedef struct sim {
    bbm_raft *members[MEMBERS];
    bbm_time disk_free_at[MEMBERS];
    bbm_time last_delivery_at[MEMBERS][MEMBERS]; /* a link keeps the order */
    bbm_time sync_time[MEMBERS];
    bbm_time now;
    bbm_rng rng;
    uint64_t events_added;
    sim_event events[SIM_EVENTS_MAX];
} sim;

static void
add_event(sim *s, const sim_event *event)
{
    size_t i = 0;
    while (s->events[i].used)
        i++;
    ck_assert_uint_lt(i, SIM_EVENTS_MAX);
    s->events[i] = *event;
    s->events[i].used = true;
    s->events[i].order = ++s->events_added;
}

static void
drain_member(sim *s, size_t m)
{
    bbm_raft_output *out;
    while ((out = bbm_raft_next_output(s->members[m])) != NULL) {
        sim_event event = {.member = m, .at = s->now};
        if (out->kind == BBM_RAFT_PERSIST) {
            bbm_time from =
                s->disk_free_at[m] > s->now ? s->disk_free_at[m] : s->now;
            s->disk_free_at[m] = from + s->sync_time[m];
            event.is_write = true;
            event.at = s->disk_free_at[m];
            event.seq = out->u.persist.seq;
            add_event(s, &event);
        }
        if (out->kind != BBM_RAFT_SEND || out->u.send.to > MEMBERS
            || !s->members[out->u.send.to - 1])
            continue;
        event.member = out->u.send.to - 1;
        event.at += BBM_MS + (bbm_time)bbm_rng_below(&s->rng, 10 * BBM_MS);
        bbm_time *last_at = &s->last_delivery_at[m][event.member];
        if (event.at < *last_at)
            event.at = *last_at;
        *last_at = event.at;
        event.len = out->u.send.bytes.len;
        ck_assert_uint_le(event.len, SIM_MESSAGE_MAX);
        memcpy(event.bytes, out->u.send.bytes.data, event.len);
        add_event(s, &event);
    }
}

/* The event that is due first, or NULL. */
static sim_event *
next_event(sim *s)
{
    sim_event *first = NULL;
    for (size_t i = 0; i < SIM_EVENTS_MAX; i++) {
        sim_event *e = &s->events[i];
        if (e->used && e->at <= s->now
            && (!first || e->at < first->at
                || (e->at == first->at && e->order < first->order)))
            first = e;
    }
    return first;
}

static void
step_sim(sim *s)
{
    sim_event *e;
    s->now += SIM_STEP;
    while ((e = next_event(s)) != NULL) {
        bbm_raft *member = s->members[e->member];
        e->used = false;
        if (member && e->is_write)
            bbm_raft_persisted(member, e->seq, s->now);
        else if (member)
            bbm_raft_receive(member, e->bytes, e->len, s->now);
    }
    for (size_t m = 0; m < MEMBERS; m++) {
        if (!s->members[m])
            continue;
        bbm_raft_tick(s->members[m], s->now);
        drain_member(s, m);
    }
}

static size_t
find_leader(const sim *s)
{
    size_t m = 0;
    while (
        m < MEMBERS
        && (!s->members[m] || bbm_raft_role_of(s->members[m]) != BBM_LEADER))
        m++;
    return m;
}

/* Time without a leader after the loss of one of three, while each write of
   the members in the bit set @p slow takes @p sync_time. */
static bbm_time
time_without_leader(uint64_t seed, bbm_time sync_time, unsigned slow)
{
    sim *s = bbm_calloc(1, sizeof(*s));
    s->now = BBM_SECOND;
    s->rng = bbm_rng_of(seed);
    for (size_t m = 0; m < MEMBERS; m++) {
        bbm_raft_saved saved = {.term = 5,
                                .snapshot = {.index = 10, .term = 5}};
        saved.snapshot.group.len = MEMBERS;
        for (size_t i = 0; i < MEMBERS; i++)
            saved.snapshot.group.members[i] =
                (bbm_raft_member){.id = i + 1, .voter = true};
        s->members[m] = bbm_raft_create(&(bbm_raft_desc){
            .id = m + 1,
            .seed = seed * MEMBERS + m,
            .election_timeout = ELECTION_TIMEOUT,
            .saved = &saved,
            .now = s->now,
        });
    }
    while (find_leader(s) == MEMBERS)
        step_sim(s);
    for (int i = 0; i < 2000; i++)
        step_sim(s);
    size_t leader = find_leader(s);
    ck_assert_uint_lt(leader, MEMBERS);
    bbm_raft_destroy(s->members[leader]);
    s->members[leader] = NULL;
    for (size_t m = 0; m < MEMBERS; m++)
        s->sync_time[m] = slow >> m & 1 ? sync_time : 0;
    bbm_time lost_at = s->now;
    while (find_leader(s) == MEMBERS && s->now - lost_at < NO_LEADER_MAX)
        step_sim(s);
    bbm_time span = s->now - lost_at;
    for (size_t m = 0; m < MEMBERS; m++)
        bbm_raft_destroy(s->members[m]);
    free(s);
    return span;
}

/* Two voters that are left elect a leader within three election timeouts and
   two writes, however slow their disks are. */
START_TEST(slow_disks_do_not_prevent_a_leader)
{
    static const bbm_time sync_times[] = {
        0,
        20 * BBM_MS,
        100 * BBM_MS,
        200 * BBM_MS,
        500 * BBM_MS,
        BBM_SECOND,
        3 * BBM_SECOND,
        10 * BBM_SECOND,
    };
    for (size_t i = 0; i < BBM_COUNT(sync_times); i++) {
        bbm_time max = 3 * ELECTION_TIMEOUT + 2 * sync_times[i];
        for (unsigned slow = 1; slow < 1 << MEMBERS; slow++) {
            for (uint64_t seed = 1; seed <= 20; seed++) {
                bbm_time span = time_without_leader(seed, sync_times[i], slow);
                ck_assert_msg(
                    span <= max,
                    "writes of %lld ms, members %u, seed %d: %lld ms",
                    (long long)(sync_times[i] / BBM_MS), slow, (int)seed,
                    (long long)(span / BBM_MS));
            }
        }
    }
}
END_TEST

TEST_MAIN("raft", early_election_needs_equal_groups,
          slow_disks_do_not_prevent_a_leader);
