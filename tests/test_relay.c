/* How soon all VMs have a configuration that was acknowledged by a new leader,
   while they still reach the one before it, in virtual time. */
#include "fleet.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define DISKS 3
#define PLAYS 20U
/* The bound for VMs that reach the control group's majority. */
#define IN_FORCE_TIME_MAX (2000 * BBM_MS)

typedef struct world {
    fleet *fleet;
    int nodes;
    int code; /* of the last publish; 1: unanswered */
} world;

static const char document[] =
    "{\"routes\":[],\"services\":[{\"name\":\"s\",\"zone\":\"z\","
    "\"url\":\"http://h:1\"}]}";

static void
on_answer(void *context, const fleet_answer *answer)
{
    world *w = context;
    if (answer->operator_call)
        w->code = answer->code;
}

static uint64_t
revision_at(const world *w, int node)
{
    return bbm_node_count(fleet_node(w->fleet, node), fleet_now(w->fleet))
        .revision;
}

/* Publishes at a node until it is acknowledged. */
static void
must_publish(world *w, int node, uint64_t expected)
{
    char id[BBM_NAME_SIZE];
    snprintf(id, sizeof(id), "p-%d", (int)expected);
    for (int tries = 0; tries < 50; tries++) {
        w->code = 1;
        fleet_publish(w->fleet, node, expected + 1, id, expected, document);
        for (int i = 0; i < 100 && w->code == 1; i++)
            fleet_step(w->fleet);
        if (w->code == BBM_OK)
            return;
        fleet_run(w->fleet, 50 * BBM_MS);
    }
    ck_abort_msg("not acknowledged: %d", w->code);
}

/* Cuts the leader off from the other control VMs only, publishes at its
   successor, and returns the time until the last other VM has that. */
static bbm_time
play(int nodes, uint64_t seed)
{
    world w = {.nodes = nodes};
    w.fleet =
        fleet_create(&(fleet_desc){.seed = seed,
                                   .nodes = nodes,
                                   .seeds = DISKS,
                                   .disks = DISKS,
                                   .delay_max = 5 * BBM_MS,
                                   .sync_max = 2 * BBM_MS,
                                   .node = {.election_timeout = 450 * BBM_MS,
                                            .key_age_max = 600 * BBM_SECOND}},
                     &(fleet_hooks){.context = &w, .answer = on_answer});
    fleet_run(w.fleet, 4 * BBM_SECOND + (bbm_time)(seed % 8) * 100 * BBM_MS);
    int old_leader = fleet_leader(w.fleet);
    ck_assert_int_ge(old_leader, 0);
    must_publish(&w, old_leader, 0);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    net *network = fleet_net(w.fleet);
    for (int i = 0; i < DISKS; i++) {
        network->blocked[i][old_leader] = i != old_leader;
        network->blocked[old_leader][i] = i != old_leader;
    }
    int leader = old_leader;
    for (int i = 0; i < 500 && (leader == old_leader || leader < 0); i++) {
        fleet_step(w.fleet);
        leader = fleet_leader(w.fleet);
    }
    ck_assert_int_ne(leader, old_leader);
    must_publish(&w, leader, 1);
    bbm_time acked_at = fleet_now(w.fleet);
    int have = 0;
    while (have < nodes - 1
           && fleet_now(w.fleet) - acked_at < 20 * BBM_SECOND) {
        fleet_step(w.fleet);
        have = 0;
        for (int i = 0; i < nodes; i++)
            have += i != old_leader && revision_at(&w, i) == 2;
    }
    bbm_time took = fleet_now(w.fleet) - acked_at;
    fleet_destroy(w.fleet);
    return took;
}

static void
check_all_have_it(int nodes)
{
    bbm_time longest = 0;
    for (uint64_t seed = 1; seed <= PLAYS; seed++) {
        bbm_time took = play(nodes, seed);
        longest = took > longest ? took : longest;
    }
    ck_assert_msg(longest <= IN_FORCE_TIME_MAX, "%d VMs: %lld ms", nodes,
                  (long long)(longest / BBM_MS));
}

/* CONFIG: VMs went on asking a leader that had been cut off from the others,
   and had the configuration up to 3.6 s after its acknowledgement. */
START_TEST(new_leader_is_known_though_the_old_one_answers)
{
    check_all_have_it(10);
    check_all_have_it(60);
}
END_TEST

TEST_MAIN("relay", new_leader_is_known_though_the_old_one_answers);
