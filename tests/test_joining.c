/* Daemons configured with seed addresses only: they bootstrap one
   control group, keep every acknowledged change and replace lost members.
   Also: listings after a change of leader, requests at a VM that starts, and
   requests at a VM that stops. */
#include "fleet.h"
#include "test_main.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define NODES 6
#define SEEDS 3
#define DISKS 5
/* The group must be repaired within this time: it replaces a voter that has
   been silent for 2.5 s, and a learner catches up. */
#define REPAIR_TIMEOUT (6 * BBM_SECOND)
#define OPS_MAX 64

typedef struct world {
    fleet *fleet;
    uint64_t ops;      /* number of the last operator's call */
    int code[OPS_MAX]; /* result of each call; 1: unanswered */
    char body[OPS_MAX][4096];
} world;

static void
on_answer(void *context, const fleet_answer *answer)
{
    world *w = context;
    if (!answer->operator_call || answer->id >= OPS_MAX)
        return;
    w->code[answer->id] = answer->code;
    size_t len = answer->len < sizeof(w->body[0]) - 1 ? answer->len
                                                      : sizeof(w->body[0]) - 1;
    if (len)
        memcpy(w->body[answer->id], answer->body, len);
    w->body[answer->id][len] = 0;
}

/* With an odd number of disks all of them vote. */
static void
create_world_with_disks(world *w, uint64_t seed, int disks)
{
    *w = (world){0};
    w->fleet = fleet_create(
        &(fleet_desc){
            .seed = seed,
            .nodes = NODES,
            .seeds = SEEDS,
            .disks = disks,
            .delay_max = 5 * BBM_MS,
            .sync_max = 2 * BBM_MS,
        },
        &(fleet_hooks){.context = w, .answer = on_answer});
    fleet_run(w->fleet, 4 * BBM_SECOND);
}

static void
create_world(world *w, uint64_t seed)
{
    create_world_with_disks(w, seed, DISKS);
}

static void
destroy_world(world *w)
{
    fleet_destroy(w->fleet);
}

/* ---- operator calls ---- */

static const char document[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1000,\"burst\":10000}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
    "\"services\":[{\"name\":\"s\",\"zone\":\"z\",\"url\":\"http://h:1\"}],"
    "\"routes\":[{\"name\":\"w\",\"path\":\"/browse\",\"services\":[\"s\"],"
    "\"repeatable\":true}]}";

static uint64_t
call(world *w, int node, bbm_operator_event ev)
{
    uint64_t op = ++w->ops;
    ck_assert_uint_lt(op, OPS_MAX);
    w->code[op] = 1;
    ev.op = op;
    bbm_event event = {.kind = BBM_EV_OPERATOR, .u.call = ev};
    if (!fleet_deliver(w->fleet, node, &event))
        w->code[op] = BBM_ERR_NOT_READY;
    return op;
}

static uint64_t
publish(world *w, int node, uint64_t version, const char *source)
{
    bbm_operator_event ev = {.verb = BBM_VERB_PUBLISH, .version = version};
    snprintf(ev.id, sizeof(ev.id), "v%llu-%c", (unsigned long long)version,
             source[0]);
    ev.text = (bbm_bytes){.data = (const uint8_t *)document,
                          .len = strlen(document)};
    ev.source =
        (bbm_bytes){.data = (const uint8_t *)source, .len = strlen(source)};
    return call(w, node, ev);
}

/* Publishes and waits; fails unless the call is acknowledged. */
static void
must_publish(world *w, int node, uint64_t version, const char *source)
{
    uint64_t op = publish(w, node, version, source);
    for (int i = 0; i < 300 && w->code[op] == 1; i++)
        fleet_step(w->fleet);
    ck_assert_msg(w->code[op] == BBM_OK, "publish %s: %d", source,
                  w->code[op]);
}

static uint64_t
read_source(world *w, int node)
{
    return call(w, node, (bbm_operator_event){.verb = BBM_VERB_SOURCE});
}

static void
must_read(world *w, int node, const char *source)
{
    uint64_t op = read_source(w, node);
    for (int i = 0; i < 200 && w->code[op] == 1; i++)
        fleet_step(w->fleet);
    ck_assert_msg(w->code[op] == BBM_OK, "read at %d: %d", node, w->code[op]);
    ck_assert_str_eq(w->body[op], source);
}

/* ---- state of the group ---- */

static json_t *
status(world *w, int node)
{
    uint64_t op = call(w, node, (bbm_operator_event){.verb = BBM_VERB_STATUS});
    ck_assert_int_eq(w->code[op], BBM_OK);
    json_t *doc = json_loads(w->body[op], 0, NULL);
    ck_assert_ptr_nonnull(doc);
    return doc;
}

/* Number of voters in the status of the leader; sets *is_voter if VM `name`
   is one. */
static size_t
count_voters(world *w, const char *name, bool *is_voter)
{
    int leader = fleet_leader(w->fleet);
    ck_assert_int_ge(leader, 0);
    json_t *doc = status(w, leader);
    size_t len = 0;
    size_t i;
    json_t *m;
    *is_voter = false;
    json_array_foreach(json_object_get(doc, "control"), i, m)
    {
        if (!json_is_true(json_object_get(m, "voter")))
            continue;
        len++;
        const char *member_name =
            json_string_value(json_object_get(m, "name"));
        *is_voter = *is_voter || strcmp(member_name, name) == 0;
    }
    json_decref(doc);
    return len;
}

static int
count_leaders(const world *w)
{
    int len = 0;
    for (int i = 0; i < NODES; i++) {
        len += fleet_is_running(w->fleet, i)
               && bbm_node_count(fleet_node(w->fleet, i), fleet_now(w->fleet))
                      .is_leader;
    }
    return len;
}

/* A voter that is not the leader. */
/* A voter other than the leader and VM @p except. */
static int
find_follower_except(world *w, int except)
{
    for (int i = 0; i < DISKS; i++) {
        bool is_voter;
        count_voters(w, fleet_name(w->fleet, i), &is_voter);
        if (is_voter && i != except && i != fleet_leader(w->fleet))
            return i;
    }
    ck_abort_msg("no voter but the leader");
    return -1;
}

static int
find_follower(world *w)
{
    return find_follower_except(w, -1);
}

/* ---- tests ---- */

START_TEST(seeds_bootstrap_one_group)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        world w;
        bool is_voter;
        create_world(&w, seed);
        ck_assert_int_eq(count_leaders(&w), 1);
        ck_assert_uint_eq(count_voters(&w, "vm-1", &is_voter), DISKS);
        must_publish(&w, NODES - 1, 1, "first");
        for (int i = 0; i < NODES; i++)
            must_read(&w, i, "first");
        destroy_world(&w);
    }
}
END_TEST

START_TEST(restart_of_all_bootstraps_no_second_group)
{
    world w;
    create_world(&w, 21);
    must_publish(&w, 0, 7, "kept");
    for (int i = 0; i < NODES; i++)
        fleet_crash(w.fleet, i);
    for (int i = 0; i < NODES; i++)
        fleet_start(w.fleet, i);
    fleet_run(w.fleet, 8 * BBM_SECOND);
    ck_assert_int_eq(count_leaders(&w), 1);
    for (int i = 0; i < NODES; i++)
        must_read(&w, i, "kept");
    destroy_world(&w);
}
END_TEST

/* After a restart of all voters none of them can hold a lease, so they must
   elect without waiting for one to expire (1 s here). */
START_TEST(restart_of_all_elects_without_lease_wait)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        world w;
        create_world(&w, seed);
        must_publish(&w, 0, 7, "kept");
        for (int i = 0; i < NODES; i++)
            fleet_crash(w.fleet, i);
        /* Wait until messages in flight are lost. */
        fleet_run(w.fleet, 100 * BBM_MS);
        for (int i = 0; i < NODES; i++)
            fleet_start(w.fleet, i);
        fleet_run(w.fleet, 800 * BBM_MS);
        ck_assert_int_eq(count_leaders(&w), 1);
        must_read(&w, 0, "kept");
        destroy_world(&w);
    }
}
END_TEST

START_TEST(lost_disk_of_the_first_seed_bootstraps_nothing)
{
    world w;
    create_world(&w, 22);
    must_publish(&w, 0, 3, "kept");
    fleet_crash(w.fleet, 0);
    fleet_wipe(w.fleet, 0);
    fleet_start(w.fleet, 0);
    fleet_run(w.fleet, REPAIR_TIMEOUT + 4 * BBM_SECOND);
    ck_assert_int_eq(count_leaders(&w), 1);
    must_read(&w, 0, "kept");
    bool is_voter;
    ck_assert_uint_eq(count_voters(&w, "vm-1", &is_voter), DISKS);
    ck_assert(is_voter);
    destroy_world(&w);
}
END_TEST

/* The disks of all voters are lost, one after the other. */
START_TEST(disks_lost_in_turn_lose_no_version)
{
    world w;
    create_world(&w, 23);
    must_publish(&w, 1, 5, "kept");
    for (int i = 0; i < DISKS; i++) {
        fleet_crash(w.fleet, i);
        fleet_wipe(w.fleet, i);
        fleet_start(w.fleet, i);
        fleet_run(w.fleet, REPAIR_TIMEOUT);
    }
    for (int i = 0; i < NODES; i++)
        must_read(&w, i, "kept");
    must_publish(&w, 2, 6, "next");
    destroy_world(&w);
}
END_TEST

START_TEST(group_works_after_voters_fail_one_by_one)
{
    world w;
    create_world(&w, 24);
    must_publish(&w, 0, 1, "one");
    /* Two of five voters may fail: the remaining three are a majority. */
    int first = find_follower(&w);
    fleet_crash(w.fleet, first);
    fleet_run(w.fleet, REPAIR_TIMEOUT);
    int second = find_follower_except(&w, first);
    ck_assert_int_ne(first, second);
    fleet_crash(w.fleet, second);
    fleet_run(w.fleet, REPAIR_TIMEOUT);
    int leader = fleet_leader(w.fleet);
    must_publish(&w, leader, 2, "two");
    must_read(&w, leader, "two");
    destroy_world(&w);
}
END_TEST

/* A frozen voter is removed from the group.  When it resumes it must not
   serve its old state: it follows the other VMs at once, and is admitted
   again. */
START_TEST(removed_voter_follows_the_others)
{
    world w;
    create_world(&w, 25);
    must_publish(&w, 0, 1, "old");
    int frozen = find_follower(&w);
    fleet_freeze(w.fleet, frozen, 12 * BBM_SECOND);
    fleet_run(w.fleet, REPAIR_TIMEOUT);
    must_publish(&w, fleet_leader(w.fleet), 2, "new");
    fleet_run(w.fleet, 7 * BBM_SECOND);
    ck_assert(fleet_is_running(w.fleet, frozen));
    must_read(&w, frozen, "new");
    fleet_run(w.fleet, 2 * REPAIR_TIMEOUT);
    ck_assert_int_eq(count_leaders(&w), 1);
    must_publish(&w, frozen, 3, "newest");
    destroy_world(&w);
}
END_TEST

/* A disk of the group that is not a voter. */
static int
find_learner(world *w, int disks)
{
    for (int i = 0; i < disks; i++) {
        bool is_voter;
        count_voters(w, fleet_name(w->fleet, i), &is_voter);
        if (!is_voter && fleet_is_running(w->fleet, i))
            return i;
    }
    ck_abort_msg("all disks are voters");
    return -1;
}

/* Like removed_voter_follows_the_others, for a learner.  It runs no elections,
   in which a voter notices its removal, and its next hello may be seconds
   away. */
START_TEST(removed_learner_follows_the_others)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        world w;
        create_world_with_disks(&w, seed, DISKS - 1);
        must_publish(&w, 0, 1, "old");
        int isolated = find_learner(&w, DISKS - 1);
        net_isolate(fleet_net(w.fleet), isolated, true);
        fleet_run(w.fleet, 3 * BBM_SECOND + (bbm_time)seed * 200 * BBM_MS);
        must_publish(&w, fleet_leader(w.fleet), 2, "new");
        net_isolate(fleet_net(w.fleet), isolated, false);
        fleet_run(w.fleet, 1500 * BBM_MS);
        must_read(&w, isolated, "new");
        destroy_world(&w);
    }
}
END_TEST

START_TEST(read_at_isolated_vm_is_refused)
{
    world w;
    create_world(&w, 26);
    must_publish(&w, 0, 1, "old");
    int isolated = find_follower(&w);
    net_isolate(fleet_net(w.fleet), isolated, true);
    fleet_run(w.fleet, BBM_SECOND);
    must_publish(&w, fleet_leader(w.fleet), 2, "new");
    uint64_t op = read_source(&w, isolated);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    ck_assert_int_eq(w.code[op], BBM_ERR_NOT_CURRENT);
    ck_assert_uint_eq(bbm_code_status(w.code[op]), 503);
    net_isolate(fleet_net(w.fleet), isolated, false);
    fleet_run(w.fleet, 4 * BBM_SECOND);
    must_read(&w, isolated, "new");
    destroy_world(&w);
}
END_TEST

START_TEST(highest_version_wins_and_never_goes_back)
{
    world w;
    create_world(&w, 27);
    must_publish(&w, 0, 9, "nine");
    uint64_t lower = publish(&w, 1, 8, "eight");
    uint64_t same = publish(&w, 2, 9, "nine");
    uint64_t other = publish(&w, 3, 9, "another nine");
    fleet_run(w.fleet, 2 * BBM_SECOND);
    ck_assert_int_ne(w.code[lower], 1);
    ck_assert_int_eq(w.code[same], BBM_OK);
    ck_assert_int_eq(w.code[other], BBM_ERR_CONFLICT);
    for (int i = 0; i < NODES; i++)
        must_read(&w, i, "nine");
    destroy_world(&w);
}
END_TEST

/* Without a majority of voters no publish is acknowledged; when the voters are
   back the group accepts the next one. */
START_TEST(minority_acknowledges_nothing)
{
    world w;
    create_world(&w, 28);
    must_publish(&w, 0, 1, "one");
    for (int i = 1; i < DISKS; i++)
        fleet_crash(w.fleet, i);
    uint64_t op = publish(&w, 0, 2, "two");
    fleet_run(w.fleet, 8 * BBM_SECOND);
    ck_assert_int_ne(w.code[op], BBM_OK);
    for (int i = 1; i < DISKS; i++)
        fleet_start(w.fleet, i);
    fleet_run(w.fleet, 8 * BBM_SECOND);
    must_publish(&w, 1, 3, "three");
    for (int i = 0; i < NODES; i++)
        must_read(&w, i, "three");
    destroy_world(&w);
}
END_TEST

/* All VMs of a large system start at once without a state, over links with
   a round trip of a second.  The bytes queued for sending stay in memory, so
   they must not exceed one copy of the state for each VM. */
START_TEST(start_of_all_sends_the_state_once)
{
    enum { VMS = 60, VERSIONS = 12, SOURCE_BYTES = 50000 };
    static char source[SOURCE_BYTES + 1];
    memset(source, 'x', SOURCE_BYTES);
    world w = {0};
    w.fleet = fleet_create(
        &(fleet_desc){
            .seed = 29,
            .nodes = VMS,
            .seeds = SEEDS,
            .disks = SEEDS,
            .delay_max = 5 * BBM_MS,
            .sync_max = 2 * BBM_MS,
            .node.revision_texts_max = 2,
        },
        &(fleet_hooks){.context = &w, .answer = on_answer});
    fleet_run(w.fleet, 4 * BBM_SECOND);
    for (int i = 1; i <= VERSIONS; i++) {
        source[0] = (char)('a' + i);
        must_publish(&w, 0, (uint64_t)i, source);
    }
    for (int i = 0; i < VMS; i++)
        fleet_crash(w.fleet, i);
    fleet_net(w.fleet)->desc.delay_max = BBM_SECOND / 2;
    size_t before[SEEDS];
    for (int i = 0; i < SEEDS; i++)
        before[i] = fleet_sent_bytes(w.fleet, i);
    for (int i = 0; i < VMS; i++)
        fleet_start(w.fleet, i);
    fleet_run(w.fleet, 6 * BBM_SECOND);
    const size_t texts_max = 2; /* revisions whose texts a state holds */
    for (int i = 0; i < SEEDS; i++) {
        size_t sent = fleet_sent_bytes(w.fleet, i) - before[i];
        ck_assert_uint_lt(sent,
                          VMS * texts_max * (SOURCE_BYTES + sizeof(document)));
    }
    destroy_world(&w);
}
END_TEST

/* ---- the list of upstreams under a new leader ---- */

#define UPSTREAMS 3
#define LISTING_DELAY (300 * BBM_MS)

typedef struct list_world {
    world world;
    bbm_time due[NODES]; /* when the listing arrives; 0: not requested */
    int added;           /* upstreams logged as new, over all daemons */
    int removed;         /* upstreams logged as removed, over all daemons */
} list_world;

static void
on_list(void *context, int node)
{
    list_world *w = context;
    if (w->world.fleet)
        w->due[node] = fleet_now(w->world.fleet) + LISTING_DELAY;
}

static void
on_log(void *context, int node, bbm_log_event event)
{
    (void)node;
    list_world *w = context;
    w->added += event == BBM_EVENT_UPSTREAM_NEW;
    w->removed += event == BBM_EVENT_UPSTREAM_UNLISTED;
}

/* Runs the fleet and answers requests for the listing after LISTING_DELAY. */
static void
run_with_list(list_world *w, bbm_time span)
{
    bbm_listing listing = {0};
    for (int i = 0; i < UPSTREAMS; i++) {
        bbm_listing_entry u = {.pool = "p", .zone = "zone-0", .slots = 4};
        snprintf(u.id, sizeof(u.id), "runner-%d", i);
        snprintf(u.address, sizeof(u.address), "10.9.0.%d:80", i + 1);
        bbm_listing_add(&listing, &u);
    }
    fleet *f = w->world.fleet;
    bbm_time end = fleet_now(f) + span;
    while (fleet_now(f) < end) {
        fleet_step(f);
        for (int i = 0; i < NODES; i++) {
            if (!w->due[i] || fleet_now(f) < w->due[i])
                continue;
            w->due[i] = 0;
            bbm_event ev = {.kind = BBM_EV_LISTING};
            ev.u.listing.listing = &listing;
            fleet_deliver(f, i, &ev);
        }
    }
    bbm_listing_free(&listing);
}

/* A new leader that hasn't read the list yet must not report an empty
   listing. */
START_TEST(new_leader_keeps_reported_upstreams)
{
    list_world w = {0};
    w.world.fleet = fleet_create(
        &(fleet_desc){
            .seed = 30,
            .nodes = NODES,
            .seeds = SEEDS,
            .disks = DISKS,
            .delay_max = 5 * BBM_MS,
            .sync_max = 2 * BBM_MS,
            .node.discovery = true,
        },
        &(fleet_hooks){.context = &w, .read_listing = on_list, .log = on_log});
    run_with_list(&w, 4 * BBM_SECOND);
    publish(&w.world, 0, 1, "one");
    run_with_list(&w, 4 * BBM_SECOND);
    ck_assert_int_eq(w.added, (intmax_t)NODES * UPSTREAMS);
    /* A rolling restart: later leaders have the listing only from other
       VMs. */
    for (int i = 0; i < 2 * NODES; i++) {
        fleet_crash(w.world.fleet, i % NODES);
        run_with_list(&w, BBM_SECOND);
        fleet_start(w.world.fleet, i % NODES);
        run_with_list(&w, 4 * BBM_SECOND);
        ck_assert_int_ge(fleet_leader(w.world.fleet), 0);
        ck_assert_int_eq(w.removed, 0);
    }
    destroy_world(&w.world);
}
END_TEST

/* ---- a stopping VM ---- */

static const char pools[] =
    "{\"pools\":[{\"name\":\"p\",\"slots\":4}],\"routes\":["
    "{\"name\":\"long\",\"host\":\"h\",\"path\":\"/long/\",\"pools\":[\"p\"],"
    "\"open\":true,\"stream\":true,\"timeout_ms\":15000,\"aim_ms\":400},"
    "{\"name\":\"short\",\"host\":\"h\",\"path\":\"/short/"
    "\",\"pools\":[\"p\"],"
    "\"open\":true,\"timeout_ms\":1000,\"aim_ms\":100}]}";

typedef struct stop_world {
    list_world list;
    int code; /* of the latest refusal; BBM_OK: accepted */
} stop_world;

static void
on_refusal(void *context, const fleet_answer *answer)
{
    stop_world *w = context;
    if (!answer->operator_call)
        w->code = answer->code;
}

/* Sends a request to VM 0; returns the code of its refusal, or BBM_OK. */
static int
request_at_stopping_vm(stop_world *w, const char *path)
{
    static uint64_t requests;
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = path;
    ev.u.pool_request.request.request = ++requests;
    w->code = BBM_OK;
    ck_assert(fleet_deliver(w->list.world.fleet, 0, &ev));
    return w->code;
}

/* ---- a starting VM ---- */

typedef struct start_world {
    stop_world stop;
    uint64_t resubmitted; /* request to be resubmitted; 0: none */
} start_world;

static void
on_resubmit(void *context, int node, uint64_t request)
{
    (void)node;
    start_world *w = context;
    w->resubmitted = request;
}

/* Sends a request to VM 2, as held for `waited` before; returns the code of
   its refusal, or BBM_OK. */
static int
request_at_starting_vm(start_world *w, uint64_t request, bbm_time waited)
{
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = "/long/x";
    ev.u.pool_request.request.request = request;
    ev.u.pool_request.request.waited = waited;
    w->resubmitted = 0;
    w->stop.code = BBM_OK;
    ck_assert(fleet_deliver(w->stop.list.world.fleet, 2, &ev));
    return w->stop.code;
}

/* Three VMs, the first one with a disk, that read the provider's listing. */
static fleet *
create_fleet_of_three(fleet_desc desc, const fleet_hooks *hooks)
{
    desc.nodes = 3;
    desc.seeds = 1;
    desc.disks = 1;
    desc.sync_max = 2 * BBM_MS;
    desc.delay_max = BBM_MS;
    desc.node.discovery = true;
    return fleet_create(&desc, hooks);
}

/* All VMs restart under load and have the configuration after some tenths
   of a second.  Requests that arrive meanwhile are held, so that a
   client isn't refused a second time by the next VM, but only while an answer
   is still of use to it. */
START_TEST(starting_vm_holds_requests_briefly)
{
    start_world w = {0};
    w.stop.list.world.fleet = create_fleet_of_three(
        (fleet_desc){.seed = 32}, &(fleet_hooks){.context = &w,
                                                 .read_listing = on_list,
                                                 .resubmit = on_resubmit,
                                                 .answer = on_refusal});
    fleet *f = w.stop.list.world.fleet;
    run_with_list(&w.stop.list, 4 * BBM_SECOND);
    ck_assert(fleet_publish(f, 0, 1, "first", 0, pools));
    run_with_list(&w.stop.list, 3 * BBM_SECOND);
    fleet_crash(f, 2);
    fleet_start(f, 2);
    ck_assert_int_eq(request_at_starting_vm(&w, 9, 0), BBM_OK);
    ck_assert_uint_eq(w.resubmitted, 9);
    ck_assert_int_eq(request_at_starting_vm(&w, 10, 500 * BBM_MS),
                     BBM_ERR_NOT_READY);
    ck_assert_uint_eq(w.resubmitted, 0);
    run_with_list(&w.stop.list, 3 * BBM_SECOND);
    ck_assert_int_eq(request_at_starting_vm(&w, 9, 300 * BBM_MS), BBM_OK);
    ck_assert_uint_eq(w.resubmitted, 0);
    destroy_world(&w.stop.list.world);
}
END_TEST

/* A stopping VM must refuse requests that it cannot finish.  Seen on a VM
   that accepted a long stream 3.2 s after SIGTERM and aborted it at its
   stop timeout. */
START_TEST(stopping_vm_accepts_requests_it_can_finish)
{
    stop_world w = {0};
    w.list.world.fleet = fleet_create(
        &(fleet_desc){
            .seed = 31,
            .nodes = 1,
            .seeds = 1,
            .disks = 1,
            .sync_max = 2 * BBM_MS,
            .node.discovery = true,
            .node.entry_ttl = 5200 * BBM_MS,
            .node.stop_timeout = 7400 * BBM_MS,
        },
        &(fleet_hooks){
            .context = &w, .read_listing = on_list, .answer = on_refusal});
    fleet *f = w.list.world.fleet;
    run_with_list(&w.list, 3 * BBM_SECOND);
    ck_assert(fleet_publish(f, 0, 1, "first", 0, pools));
    run_with_list(&w.list, 3 * BBM_SECOND);
    ck_assert_int_eq(request_at_stopping_vm(&w, "/long/x"), BBM_OK);
    bbm_event stop = {.kind = BBM_EV_STOP};
    ck_assert(fleet_deliver(f, 0, &stop));
    run_with_list(&w.list, BBM_SECOND);
    ck_assert_int_eq(request_at_stopping_vm(&w, "/long/x"), BBM_OK);
    run_with_list(&w.list, 2 * BBM_SECOND);
    ck_assert_int_eq(request_at_stopping_vm(&w, "/long/x"), BBM_ERR_DRAINING);
    ck_assert_int_eq(request_at_stopping_vm(&w, "/short/x"), BBM_OK);
    run_with_list(&w.list, 2500 * BBM_MS);
    ck_assert_int_eq(request_at_stopping_vm(&w, "/short/x"), BBM_ERR_DRAINING);
    destroy_world(&w.list.world);
}
END_TEST

/* ---- machines of the group that go for good ---- */

#define VOTERS 3

/* A group of three voters; the two other VMs with disks don't exist yet. */
static void
create_replaceable_world(world *w, uint64_t seed)
{
    *w = (world){0};
    w->fleet = fleet_create(
        &(fleet_desc){
            .seed = seed,
            .nodes = NODES,
            .seeds = SEEDS,
            .disks = DISKS,
            .delay_max = 5 * BBM_MS,
            .sync_max = 2 * BBM_MS,
        },
        &(fleet_hooks){.context = w, .answer = on_answer});
    for (int i = VOTERS; i < DISKS; i++) {
        fleet_crash(w->fleet, i);
        fleet_wipe(w->fleet, i);
    }
    fleet_run(w->fleet, 4 * BBM_SECOND);
}

/* True if the group has three voters and none of them is a VM that went. */
static bool
is_group_whole(world *w, const bool *gone)
{
    bool is_voter = false;
    if (fleet_leader(w->fleet) < 0 || count_voters(w, "", &is_voter) != VOTERS)
        return false;
    for (int i = 0; i < DISKS; i++) {
        count_voters(w, fleet_name(w->fleet, i), &is_voter);
        if (gone[i] && is_voter)
            return false;
    }
    return true;
}

/* VMs of the group go for good, one after the other, the leader among them,
   and empty ones come at other addresses, before the old one goes or after it.
   Nothing acknowledged is lost, and the group has as many voters as before,
   none of which is gone, without an operator. */
START_TEST(members_that_go_for_good_are_replaced)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        world w;
        bool gone[DISKS] = {false};
        create_replaceable_world(&w, seed);
        must_publish(&w, 0, 1, "kept");
        for (int fresh = VOTERS; fresh < DISKS; fresh++) {
            bool planned = (seed + (uint64_t)fresh) % 2;
            int old = seed % 3 == 0 ? fleet_leader(w.fleet)
                                    : find_follower_except(&w, fresh);
            ck_assert_int_ge(old, 0);
            if (planned) {
                fleet_start(w.fleet, fresh);
                fleet_run(w.fleet, BBM_SECOND);
            }
            fleet_crash(w.fleet, old);
            gone[old] = true;
            if (!planned) {
                fleet_run(w.fleet, BBM_SECOND);
                fleet_start(w.fleet, fresh);
            }
            fleet_run(w.fleet, 2 * REPAIR_TIMEOUT);
            ck_assert_msg(is_group_whole(&w, gone),
                          "seed %llu, after VM %d came",
                          (unsigned long long)seed, fresh);
            must_publish(&w, fleet_leader(w.fleet), (uint64_t)fresh, "next");
        }
        for (int i = 0; i < NODES; i++) {
            if (!(i < DISKS && gone[i]))
                must_read(&w, i, "next");
        }
        destroy_world(&w);
    }
}
END_TEST

/* ---- an upstream that says it leaves ---- */

typedef struct leaving_world {
    list_world list; /* first: on_list gets a pointer to it */
    int told[NODES]; /* listings that show a leaving upstream, by VM */
} leaving_world;

static void
on_leaving_log(void *context, int node, bbm_log_event event)
{
    leaving_world *w = context;
    w->told[node] += event == BBM_EVENT_UPSTREAM_LEAVING;
}

/* A runner tells the leader that it leaves, while the provider's listing still
   has it as ready.  All VMs learn it with the leader's listing, also one that
   has restarted since. */
START_TEST(leaving_upstream_is_known_after_a_restart)
{
    leaving_world w = {0};
    w.list.world.fleet = create_fleet_of_three(
        (fleet_desc){.seed = 34}, &(fleet_hooks){.context = &w,
                                                 .read_listing = on_list,
                                                 .log = on_leaving_log});
    fleet *f = w.list.world.fleet;
    run_with_list(&w.list, 4 * BBM_SECOND);
    ck_assert(fleet_publish(f, 0, 1, "first", 0, pools));
    run_with_list(&w.list, 3 * BBM_SECOND);
    bbm_event ev = {.kind = BBM_EV_ROLLOUT_ANSWER};
    ev.u.rollout_answer.id = "runner-0";
    ev.u.rollout_answer.notice.leaving = true;
    ck_assert(fleet_deliver(f, 0, &ev));
    run_with_list(&w.list, 2 * BBM_SECOND);
    for (int i = 0; i < 3; i++)
        ck_assert_int_eq(w.told[i], 1);
    fleet_crash(f, 2);
    fleet_start(f, 2);
    run_with_list(&w.list, 3 * BBM_SECOND);
    ck_assert_int_eq(w.told[2], 2);
    destroy_world(&w.list.world);
}
END_TEST

/* ---- keys of an isolated VM ---- */

static const char keyed_pools[] =
    "{\"rates\":[{\"name\":\"r\",\"tokens_per_s\":1000,\"burst\":10000}],"
    "\"customers\":[{\"name\":\"c\",\"rate\":\"r\"}],"
    "\"pools\":[{\"name\":\"p\",\"slots\":4}],\"routes\":["
    "{\"name\":\"keyed\",\"host\":\"h\",\"path\":\"/keyed/\","
    "\"pools\":[\"p\"],\"timeout_ms\":1000,\"aim_ms\":100},"
    "{\"name\":\"open\",\"host\":\"h\",\"path\":\"/open/\","
    "\"pools\":[\"p\"],\"open\":true,\"timeout_ms\":1000,"
    "\"aim_ms\":100}]}";

/* Sends a request with a key that no configuration has to VM 2; returns the
   code of its refusal, or BBM_OK. */
static int
request_with_unknown_key(stop_world *w, const char *path)
{
    static uint64_t requests = 1000;
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = path;
    ev.u.pool_request.has_key = true;
    ev.u.pool_request.request.request = ++requests;
    w->code = BBM_OK;
    ck_assert(fleet_deliver(w->list.world.fleet, 2, &ev));
    return w->code;
}

static void
play_isolated_vm(bool serve_stale_keys, int expected)
{
    stop_world w = {0};
    w.list.world.fleet = create_fleet_of_three(
        (fleet_desc){.seed = 33, .node.serve_stale_keys = serve_stale_keys},
        &(fleet_hooks){
            .context = &w, .read_listing = on_list, .answer = on_refusal});
    fleet *f = w.list.world.fleet;
    run_with_list(&w.list, 4 * BBM_SECOND);
    ck_assert(fleet_publish(f, 0, 1, "first", 0, keyed_pools));
    run_with_list(&w.list, 3 * BBM_SECOND);
    ck_assert_int_eq(request_with_unknown_key(&w, "/keyed/x"),
                     BBM_ERR_BAD_KEY);
    net_isolate(fleet_net(f), 2, true);
    run_with_list(&w.list, 8 * BBM_SECOND);
    ck_assert_int_eq(request_with_unknown_key(&w, "/keyed/x"), expected);
    ck_assert_int_eq(request_with_unknown_key(&w, "/open/x"), BBM_OK);
    net_isolate(fleet_net(f), 2, false);
    run_with_list(&w.list, 4 * BBM_SECOND);
    ck_assert_int_eq(request_with_unknown_key(&w, "/keyed/x"),
                     BBM_ERR_BAD_KEY);
    destroy_world(&w.list.world);
}

/* A VM that can't know whether a key was withdrawn doesn't serve keyed routes
   of pools either, unless its settings allow that. */
START_TEST(isolated_vm_stops_keyed_pool_routes)
{
    play_isolated_vm(false, BBM_ERR_KEYS_STALE);
    play_isolated_vm(true, BBM_ERR_BAD_KEY);
}
END_TEST

/* ---- quarantined prompt parts ---- */

static const char engine_pool[] =
    "{\"pools\":[{\"name\":\"p\",\"engine\":true,\"slots\":4,"
    "\"memory_tokens\":100000,\"token_bytes\":1000,\"link_mbps\":1000,"
    "\"prefill_tokens_per_s\":50000}],\"routes\":["
    "{\"name\":\"ask\",\"host\":\"h\",\"path\":\"/ask/\",\"pools\":[\"p\"],"
    "\"open\":true,\"stream\":true,\"timeout_ms\":15000,\"aim_ms\":400}]}";

#define DEADLY_PART 7
#define SOUND_PART 8

/* Sends a request with a prompt part to a VM; returns its number. */
static uint64_t
request_with_part(stop_world *w, int vm, uint64_t part)
{
    static uint64_t requests = 5000;
    bbm_prompt_part parts[2] = {{part, 500}, {100000 + requests, 100}};
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = "/ask/x";
    ev.u.pool_request.request.request = ++requests;
    ev.u.pool_request.request.id = "id";
    ev.u.pool_request.request.model = "m";
    ev.u.pool_request.request.parts = parts;
    ev.u.pool_request.request.parts_len = 2;
    ev.u.pool_request.request.prompt_tokens = 600;
    w->code = BBM_OK;
    ck_assert(fleet_deliver(w->list.world.fleet, vm, &ev));
    return requests;
}

/* Ends a request: by a crash of its runner, or with a complete answer. */
static void
end_request(stop_world *w, int vm, uint64_t request, bool crashed)
{
    bbm_event ev = {.kind = BBM_EV_FORWARD_FINISHED};
    ev.u.forwarded = (bbm_forward_result){
        .request = request,
        .attempt = 1,
        .outcome = crashed ? BBM_FORWARD_NO_ANSWER : BBM_FORWARD_COMPLETE,
        .status = crashed ? 0 : 200,
        .disconnected = crashed,
        .began_at = crashed ? 0 : fleet_now(w->list.world.fleet),
    };
    ck_assert(fleet_deliver(w->list.world.fleet, vm, &ev));
}

/* A VM may send one request with the part as a trial. */
static bool
is_part_refused(stop_world *w, int vm)
{
    int refused = 0;
    for (int i = 0; i < 3; i++) {
        request_with_part(w, vm, DEADLY_PART);
        refused += w->code == BBM_ERR_QUARANTINED;
    }
    return refused >= 2;
}

/* All VMs lose power: what crashes runners must not be learnt anew. */
START_TEST(quarantined_parts_survive_a_restart_of_all)
{
    stop_world w = {0};
    w.list.world.fleet = create_fleet_of_three(
        (fleet_desc){.seed = 35}, &(fleet_hooks){.context = &w,
                                                 .read_listing = on_list,
                                                 .answer = on_refusal});
    fleet *f = w.list.world.fleet;
    run_with_list(&w.list, 4 * BBM_SECOND);
    ck_assert(fleet_publish(f, 0, 1, "first", 0, engine_pool));
    run_with_list(&w.list, 3 * BBM_SECOND);
    for (int i = 0; i < 3; i++) {
        uint64_t deadly = request_with_part(&w, 1, DEADLY_PART);
        ck_assert_int_eq(w.code, BBM_OK);
        end_request(&w, 1, deadly, true);
        run_with_list(&w.list, 350 * BBM_MS);
    }
    end_request(&w, 1, request_with_part(&w, 1, SOUND_PART), false);
    run_with_list(&w.list, 3 * BBM_SECOND);
    for (int vm = 0; vm < 3; vm++)
        ck_assert(is_part_refused(&w, vm));
    for (int vm = 0; vm < 3; vm++)
        fleet_crash(f, vm);
    for (int vm = 0; vm < 3; vm++)
        fleet_start(f, vm);
    run_with_list(&w.list, 4 * BBM_SECOND);
    for (int vm = 0; vm < 3; vm++) {
        request_with_part(&w, vm, SOUND_PART);
        ck_assert_int_eq(w.code, BBM_OK);
        ck_assert_msg(is_part_refused(&w, vm), "VM %d", vm);
    }
    destroy_world(&w.list.world);
}
END_TEST

TEST_MAIN("joining", seeds_bootstrap_one_group,
          restart_of_all_bootstraps_no_second_group,
          restart_of_all_elects_without_lease_wait,
          lost_disk_of_the_first_seed_bootstraps_nothing,
          disks_lost_in_turn_lose_no_version,
          group_works_after_voters_fail_one_by_one,
          removed_voter_follows_the_others, removed_learner_follows_the_others,
          read_at_isolated_vm_is_refused,
          highest_version_wins_and_never_goes_back,
          minority_acknowledges_nothing, start_of_all_sends_the_state_once,
          new_leader_keeps_reported_upstreams,
          starting_vm_holds_requests_briefly,
          stopping_vm_accepts_requests_it_can_finish,
          members_that_go_for_good_are_replaced,
          leaving_upstream_is_known_after_a_restart,
          isolated_vm_stops_keyed_pool_routes,
          quarantined_parts_survive_a_restart_of_all);
