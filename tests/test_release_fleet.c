/* Releases of software over whole nodes in virtual time: orders at any VM, the
   replicated state, the listing, requests and the outcome, while VMs, disks,
   leaders and clocks fail. */
#include "bbm_codes.h"
#include "fleet.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX 70
#define STEP (10 * BBM_MS)
#define OLD_UPSTREAMS 3
#define NEW_UPSTREAMS 3
#define UPSTREAMS (OLD_UPSTREAMS + NEW_UPSTREAMS)
#define ATTEMPTS_MAX 16384
#define SHARE 0.1
#define SLACK 50
#define REVERT_TIME (5 * BBM_SECOND)
#define BAD_ANSWERS 50
#define ATTEMPT_TIME (40 * BBM_MS)
#define DURATION_MS 12000
/* From the reverted state until the new upstreams leave. */
#define DRAIN_DELAY (2 * BBM_SECOND)

static const char config_text[] =
    "{\"pools\":[{\"name\":\"p\",\"slots\":64}],\"routes\":["
    "{\"name\":\"get\",\"host\":\"h\",\"path\":\"/get/\",\"pools\":[\"p\"],"
    "\"open\":true,\"repeatable\":true,\"attempts\":2,\"aim_ms\":120}]}";

typedef struct attempt {
    int node;
    uint64_t request;
    uint32_t number;
    int upstream;
    bbm_time end_at;
    bool bad;
} attempt;

/* A history. */
typedef struct plan {
    int nodes;
    double per_s;
    double bad_share; /* of the answers of the new build */
    bool crash_leader;
    bool lose_power;
    bool wipe_disk;
    bool cut_node;     /* the last node, from 3 s on */
    bool listed_early; /* the new upstreams are listed before the order */
    bool step_clocks;  /* by seconds, forward, back and back again */
} plan;

typedef struct world {
    fleet *fleet;
    const plan *plan;
    bbm_rng rng;
    bool due[NODES_MAX];
    bool down[NODES_MAX];
    attempt attempts[ATTEMPTS_MAX];
    size_t attempts_len;
    uint64_t requests;
    double owed;
    uint64_t ops;
    int codes[4096]; /* by operator call; 1: not answered */
    char body[4096]; /* of the last reply */
    bool has_new;    /* the provider lists the new upstreams */
    bool old_stopped;
    bool new_stopped;
    bbm_time ordered_at; /* when the order was acknowledged */
    bbm_time ended_at;
    bbm_release_state state;
    /* results */
    uint64_t requests_in_time;
    uint64_t sends_in_time;
    uint64_t sends_to_new; /* since the start */
    uint64_t sends_of_cut_node;
    uint64_t sends_unordered; /* of VMs that don't know of the order */
    bbm_time cut_at;
    uint64_t bad;
    bbm_time bad_50_at;
    bbm_time last_send_at;
    uint64_t lost; /* attempts that ran at the old build when it stopped */
} world;

static void
on_list(void *context, int node)
{
    world *w = context;
    w->due[node] = true;
}

static bool
is_cut(const world *w, int node)
{
    return w->cut_at && node == w->plan->nodes - 1;
}

static bool
knows_order(const world *w, int node)
{
    const bbm_state *state = bbm_node_state(fleet_node(w->fleet, node));
    return bbm_releases_latest(
               bbm_registry_releases(bbm_state_registry(state)), "p")
           != NULL;
}

static void
on_forward(void *context, int node, const bbm_forward_request *send)
{
    world *w = context;
    int u = atoi(send->upstream + 2);
    bool is_new = u >= OLD_UPSTREAMS;
    bool stopped = is_new ? w->new_stopped : w->old_stopped;
    bbm_time now = fleet_now(w->fleet);
    if (is_new) {
        w->sends_to_new++;
        w->last_send_at = now;
        w->sends_unordered += !knows_order(w, node);
        w->sends_in_time += w->ordered_at && !is_cut(w, node)
                            && now - w->ordered_at < DURATION_MS * BBM_MS;
        w->sends_of_cut_node +=
            is_cut(w, node) && now - w->cut_at > REVERT_TIME;
    }
    ck_assert_uint_lt(w->attempts_len, ATTEMPTS_MAX);
    w->attempts[w->attempts_len++] = (attempt){
        .node = node,
        .request = send->request,
        .number = send->attempt,
        .upstream = stopped ? -1 : u,
        .end_at = now + (stopped ? 0 : ATTEMPT_TIME),
        .bad = is_new && bbm_rng_unit(&w->rng) < w->plan->bad_share,
    };
}

static void
on_answer(void *context, const fleet_answer *answer)
{
    world *w = context;
    if (!answer->operator_call || answer->id >= BBM_COUNT(w->codes))
        return;
    w->codes[answer->id] = answer->code;
    size_t len =
        answer->len < sizeof(w->body) ? answer->len : sizeof(w->body) - 1;
    memcpy(w->body, answer->body, len);
    w->body[len] = '\0';
}

static void
deliver_listing(world *w, int node)
{
    bbm_listing listing = {0};
    for (int i = 0; i < UPSTREAMS; i++) {
        bool is_new = i >= OLD_UPSTREAMS;
        if (is_new ? !w->has_new || w->new_stopped : w->old_stopped)
            continue;
        bbm_listing_entry u = {.started_at_ms = (uint64_t)i + 1, .slots = 64};
        snprintf(u.id, sizeof(u.id), "u-%d", i);
        snprintf(u.address, sizeof(u.address), "10.9.0.%d:80", i + 1);
        bbm_name_set(u.build, is_new ? "v2" : "v1");
        bbm_name_set(u.pool, "p");
        bbm_name_set(u.zone, "zone-0");
        bbm_listing_add(&listing, &u);
    }
    bbm_event ev = {.kind = BBM_EV_LISTING};
    ev.u.listing.listing = &listing;
    fleet_deliver(w->fleet, node, &ev);
    bbm_listing_free(&listing);
}

static void
end_attempt(world *w, const attempt *a)
{
    bbm_event ev = {.kind = BBM_EV_FORWARD_FINISHED};
    bool unsent = a->upstream < 0;
    if (a->bad && ++w->bad == BAD_ANSWERS)
        w->bad_50_at = fleet_now(w->fleet);
    ev.u.forwarded = (bbm_forward_result){
        .request = a->request,
        .attempt = a->number,
        .outcome = unsent   ? BBM_FORWARD_UNSENT
                   : a->bad ? BBM_FORWARD_FAILED
                            : BBM_FORWARD_COMPLETE,
        .status = unsent   ? 0
                  : a->bad ? 500
                           : 200,
        .began_at = fleet_now(w->fleet),
    };
    if (!w->down[a->node])
        fleet_deliver(w->fleet, a->node, &ev);
}

static void
end_attempts(world *w)
{
    size_t i = 0;
    while (i < w->attempts_len) {
        attempt a = w->attempts[i];
        if (fleet_now(w->fleet) < a.end_at) {
            i++;
            continue;
        }
        w->attempts[i] = w->attempts[--w->attempts_len];
        end_attempt(w, &a);
    }
}

static void
send_request(world *w)
{
    uint64_t number = ++w->requests;
    int node = (int)bbm_rng_below(&w->rng, (uint64_t)w->plan->nodes);
    if (w->down[node])
        return;
    w->requests_in_time +=
        w->ordered_at
        && fleet_now(w->fleet) - w->ordered_at < DURATION_MS * BBM_MS;
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request = (bbm_pool_request_event){
        .host = "h",
        .path = "/get/x",
        .request = {.request = number,
                    .id = "id",
                    .id_hash = number,
                    .model = "",
                    .prompt_tokens = -1,
                    .output_tokens_max = -1,
                    .client_timeout = 1500 * BBM_MS},
    };
    fleet_deliver(w->fleet, node, &ev);
}

/* The state as the leader has it: the provider acts on it at once. */
static void
observe_outcome(world *w)
{
    int leader = fleet_leader(w->fleet);
    if (leader < 0 || !w->ordered_at)
        return;
    const bbm_release_info *r =
        bbm_releases_latest(bbm_registry_releases(bbm_state_registry(
                                bbm_node_state(fleet_node(w->fleet, leader)))),
                            "p");
    if (r && r->state != BBM_RELEASE_IN_PROGRESS && !w->ended_at) {
        w->state = r->state;
        w->ended_at = fleet_now(w->fleet);
        w->old_stopped = r->state == BBM_RELEASE_COMPLETED;
        for (size_t i = 0; w->old_stopped && i < w->attempts_len; i++)
            w->lost += w->attempts[i].upstream >= 0
                       && w->attempts[i].upstream < OLD_UPSTREAMS
                       && !is_cut(w, w->attempts[i].node);
    }
    if (w->ended_at && w->state == BBM_RELEASE_REVERTED
        && fleet_now(w->fleet) - w->ended_at > DRAIN_DELAY)
        w->new_stopped = true;
    if (fleet_now(w->fleet) - w->ordered_at > 500 * BBM_MS)
        w->has_new = true;
}

static void
run(world *w, bbm_time span)
{
    bbm_time end = fleet_now(w->fleet) + span;
    while (fleet_now(w->fleet) < end) {
        fleet_step(w->fleet);
        end_attempts(w);
        observe_outcome(w);
        for (int i = 0; i < w->plan->nodes; i++) {
            if (w->due[i] && !w->down[i])
                deliver_listing(w, i);
            w->due[i] = false;
        }
        w->owed += w->plan->per_s * (double)STEP / (double)BBM_SECOND;
        while (w->owed >= 1) {
            send_request(w);
            w->owed -= 1;
        }
    }
}

/* Calls a VM as an operator does: result of the call, or 1 if there is none
   within a second. */
static int
call(world *w, int node, bbm_verb verb, const char *pool, const char *build,
     uint64_t duration_ms)
{
    uint64_t op = ++w->ops;
    w->codes[op] = 1;
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = op;
    ev.u.call.verb = verb;
    ev.u.call.revision = duration_ms;
    bbm_name_set(ev.u.call.name, pool);
    bbm_name_set(ev.u.call.other_name, build);
    fleet_deliver(w->fleet, node, &ev);
    for (int i = 0; i < 100 && w->codes[op] == 1; i++)
        run(w, STEP);
    return w->codes[op];
}

static int
order(world *w, int node, const char *build)
{
    return call(w, node, BBM_VERB_RELEASE, "p", build, DURATION_MS);
}

static world *
create(const plan *p, uint64_t seed)
{
    world *w = bbm_calloc(1, sizeof(*w));
    w->plan = p;
    w->rng = bbm_rng_of(seed);
    w->has_new = p->listed_early;
    w->fleet = fleet_create(
        &(fleet_desc){
            .seed = seed,
            .nodes = p->nodes,
            .seeds = 3,
            .disks = 3,
            .delay_max = 5 * BBM_MS,
            .sync_max = 4 * BBM_MS,
            .node.discovery = true,
            .node.gossip_period = 300 * BBM_MS,
            .node.election_timeout = 450 * BBM_MS,
            .node.list_period = 900 * BBM_MS,
            .node.serve_stale_keys = true,
            .node.release_share = SHARE,
            .node.release_slack = SLACK,
            .node.release_revert_time = REVERT_TIME,
        },
        &(fleet_hooks){.context = w,
                       .read_listing = on_list,
                       .forward = on_forward,
                       .answer = on_answer});
    run(w, 4 * BBM_SECOND);
    w->codes[++w->ops] = 1;
    ck_assert(fleet_publish(w->fleet, fleet_leader(w->fleet), w->ops, "p", 0,
                            config_text));
    run(w, 3 * BBM_SECOND);
    ck_assert_int_eq(w->codes[w->ops], BBM_OK);
    return w;
}

static void
destroy(world *w)
{
    fleet_destroy(w->fleet);
    free(w);
}

static void
stop(world *w, int node)
{
    w->down[node] = true;
    fleet_crash(w->fleet, node);
    size_t kept = 0;
    for (size_t i = 0; i < w->attempts_len; i++) {
        if (w->attempts[i].node != node)
            w->attempts[kept++] = w->attempts[i];
    }
    w->attempts_len = kept;
}

static void
start(world *w, int node)
{
    fleet_start(w->fleet, node);
    w->down[node] = false;
}

static void
inject_after_ack(world *w)
{
    const plan *p = w->plan;
    if (p->wipe_disk) {
        int leader = fleet_leader(w->fleet);
        stop(w, leader);
        fleet_wipe(w->fleet, leader);
        run(w, BBM_SECOND);
        start(w, leader);
    }
    if (!p->lose_power)
        return;
    for (int i = 0; i < p->nodes; i++)
        stop(w, i);
    run(w, 800 * BBM_MS);
    for (int i = 0; i < p->nodes; i++)
        start(w, i);
}

static void
step_clocks(world *w, int64_t offset_ms)
{
    for (int i = 0; i < w->plan->nodes; i += 2)
        fleet_set_wall_offset(w->fleet, i, offset_ms);
}

static void
play_release(world *w)
{
    const plan *p = w->plan;
    ck_assert_int_eq(order(w, p->nodes - 1, "v2"), BBM_OK);
    w->ordered_at = fleet_now(w->fleet);
    inject_after_ack(w);
    run(w, 2 * BBM_SECOND);
    if (p->step_clocks)
        step_clocks(w, 7000);
    run(w, BBM_SECOND);
    if (p->cut_node) {
        w->cut_at = fleet_now(w->fleet);
        net_isolate(fleet_net(w->fleet), p->nodes - 1, true);
    }
    if (p->step_clocks)
        step_clocks(w, -5000);
    if (p->crash_leader) {
        int leader = fleet_leader(w->fleet);
        stop(w, leader);
        run(w, 2 * BBM_SECOND);
        start(w, leader);
    }
    run(w, 2 * BBM_SECOND);
    if (p->step_clocks)
        step_clocks(w, -9000);
    run(w,
        (DURATION_MS + 1000) * BBM_MS - (fleet_now(w->fleet) - w->ordered_at));
    printf("%d nodes, %.0f/s: state %d after %lld ms, %llu of %llu to the new "
           "build, %llu bad, lost %llu\n",
           p->nodes, p->per_s, w->state,
           (long long)(w->ended_at - w->ordered_at) / BBM_MS,
           (unsigned long long)w->sends_in_time,
           (unsigned long long)w->requests_in_time, (unsigned long long)w->bad,
           (unsigned long long)w->lost);
}

static void
check(const plan *p)
{
    for (uint64_t seed = 1; seed <= 2; seed++) {
        world *w = create(p, seed);
        if (!p->listed_early)
            ck_assert_uint_eq(w->sends_to_new, 0);
        play_release(w);
        ck_assert_int_ne(w->ended_at, 0);
        ck_assert_int_le(w->ended_at, w->ordered_at + DURATION_MS * BBM_MS);
        ck_assert_uint_eq(w->sends_of_cut_node, 0);
        ck_assert_uint_eq(w->sends_unordered, 0);
        if (p->bad_share > 0) {
            ck_assert_int_eq(w->state, BBM_RELEASE_REVERTED);
            ck_assert_double_le((double)w->sends_in_time,
                                (double)w->requests_in_time * SHARE + SLACK);
            if (w->bad_50_at)
                ck_assert_int_le(w->last_send_at, w->bad_50_at + REVERT_TIME);
        }
        else {
            ck_assert_int_eq(w->state, BBM_RELEASE_COMPLETED);
            ck_assert_uint_eq(w->lost, 0);
        }
        /* A resend, and a read, at another VM. */
        ck_assert_int_eq(order(w, 0, "v2"), BBM_OK);
        ck_assert_int_eq(call(w, 1, BBM_VERB_RELEASE_GET, "p", "", 0), BBM_OK);
        ck_assert_ptr_nonnull(strstr(
            w->body, p->bad_share > 0 ? "\"reverted\"" : "\"completed\""));
        destroy(w);
    }
}

START_TEST(sound_builds_are_completed)
{
    check(&(plan){.nodes = 6, .per_s = 100});
    check(&(plan){.nodes = 20, .per_s = 150});
}
END_TEST

START_TEST(bad_builds_are_reverted)
{
    check(&(plan){.nodes = 6, .per_s = 100, .bad_share = 0.4});
    check(&(plan){.nodes = 20, .per_s = 150, .bad_share = 0.4});
}
END_TEST

START_TEST(releases_over_seventy_vms)
{
    check(&(plan){.nodes = 70, .per_s = 150});
    check(&(plan){.nodes = 70, .per_s = 150, .bad_share = 0.5});
}
END_TEST

START_TEST(releases_outlive_their_leader)
{
    check(&(plan){.nodes = 6, .per_s = 100, .crash_leader = true});
    check(&(plan){
        .nodes = 6, .per_s = 100, .crash_leader = true, .bad_share = 0.4});
}
END_TEST

/* An acknowledged order must be in force after all VMs have lost power, or a
   disk was lost. */
START_TEST(acknowledged_orders_are_kept)
{
    check(&(plan){.nodes = 6, .per_s = 100, .lose_power = true});
    check(&(plan){
        .nodes = 6, .per_s = 100, .lose_power = true, .bad_share = 0.5});
    check(&(plan){.nodes = 6, .per_s = 100, .wipe_disk = true});
}
END_TEST

START_TEST(a_vm_that_is_cut_off_sends_nothing_to_the_new_build)
{
    check(
        &(plan){.nodes = 6, .per_s = 100, .cut_node = true, .bad_share = 0.4});
    check(&(plan){.nodes = 6, .per_s = 100, .cut_node = true});
}
END_TEST

/* Calendars step by seconds, forward, back and back again, at half of the
   VMs. */
START_TEST(steps_of_the_calendar_change_no_release)
{
    check(&(plan){.nodes = 6, .per_s = 100, .step_clocks = true});
    check(&(plan){
        .nodes = 6, .per_s = 100, .step_clocks = true, .bad_share = 0.4});
}
END_TEST

START_TEST(calls_of_operators_are_answered_as_stated)
{
    plan p = {.nodes = 6, .per_s = 50};
    world *w = create(&p, 1);
    ck_assert_int_eq(call(w, 4, BBM_VERB_RELEASE_GET, "p", "", 0),
                     BBM_ERR_NOT_FOUND);
    ck_assert_int_eq(
        call(w, 4, BBM_VERB_RELEASE, "unknown", "v2", DURATION_MS),
        BBM_ERR_BAD_FIELD);
    ck_assert_int_eq(order(w, 4, "v2"), BBM_OK);
    w->ordered_at = fleet_now(w->fleet);
    ck_assert_int_eq(order(w, 2, "v2"), BBM_OK);
    ck_assert_int_eq(order(w, 5, "v3"), BBM_ERR_CONFLICT);
    ck_assert_int_eq(call(w, 3, BBM_VERB_RELEASE_GET, "p", "", 0), BBM_OK);
    ck_assert_ptr_nonnull(strstr(w->body, "\"in_progress\""));
    ck_assert_ptr_nonnull(strstr(w->body, "\"build\":\"v2\""));
    destroy(w);
}
END_TEST

/* The new upstreams are listed by the provider before a VM that is cut off can
   know of the order. */
START_TEST(a_vm_that_missed_the_order_sends_nothing_to_the_new_build)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        plan p = {.nodes = 6, .per_s = 200};
        world *w = create(&p, seed);
        net_isolate(fleet_net(w->fleet), 5, true);
        run(w, STEP);
        w->cut_at = fleet_now(w->fleet) - REVERT_TIME;
        ck_assert_int_eq(order(w, 3, "v2"), BBM_OK);
        w->ordered_at = fleet_now(w->fleet);
        run(w, DURATION_MS * BBM_MS / 2);
        ck_assert_uint_gt(w->sends_to_new, 0);
        ck_assert_uint_eq(w->sends_of_cut_node, 0);
        destroy(w);
    }
}
END_TEST

/* A VM gets the list from the leader, and changes of the control state from
   another VM, whose messages to it are lost. */
START_TEST(a_vm_that_has_the_list_before_the_order_waits)
{
    plan p = {.nodes = 20, .per_s = 200};
    world *w = create(&p, 1);
    int leader = fleet_leader(w->fleet);
    for (int i = 0; i < p.nodes; i++) {
        for (int k = 10; k < p.nodes; k++)
            fleet_net(w->fleet)->blocked[i][k] = i != leader && i != k;
    }
    w->has_new = true;
    ck_assert_int_eq(order(w, leader, "v2"), BBM_OK);
    w->ordered_at = fleet_now(w->fleet);
    int unknowing = 0;
    for (int i = 0; i < 30; i++) {
        run(w, 100 * BBM_MS);
        for (int k = 10; k < p.nodes; k++)
            unknowing += !knows_order(w, k);
    }
    /* The test needs VMs that lack the order for a while. */
    ck_assert_int_gt(unknowing, 20);
    ck_assert_uint_gt(w->sends_to_new, 0);
    ck_assert_uint_eq(w->sends_unordered, 0);
    destroy(w);
}
END_TEST

/* Upstreams are replaced by those of a newer build without any order. */
START_TEST(builds_that_nobody_ordered_are_served)
{
    plan p = {.nodes = 6, .per_s = 50, .listed_early = true};
    world *w = create(&p, 1);
    uint64_t before = w->sends_to_new;
    ck_assert_uint_gt(before, 0);
    w->old_stopped = true;
    run(w, 3 * BBM_SECOND);
    ck_assert_uint_gt(w->sends_to_new, before + 100);
    destroy(w);
}
END_TEST

TEST_MAIN("release_fleet", sound_builds_are_completed, bad_builds_are_reverted,
          releases_over_seventy_vms, releases_outlive_their_leader,
          acknowledged_orders_are_kept,
          a_vm_that_is_cut_off_sends_nothing_to_the_new_build,
          steps_of_the_calendar_change_no_release,
          calls_of_operators_are_answered_as_stated,
          a_vm_that_missed_the_order_sends_nothing_to_the_new_build,
          a_vm_that_has_the_list_before_the_order_waits,
          builds_that_nobody_ordered_are_served);
