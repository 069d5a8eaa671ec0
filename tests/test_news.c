/* How hundreds of VMs hear of each other's load: no link fills up, and news
   stays young, also when VMs fail that forward it. */
#include "fleet.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define VMS 200
#define SEEDS 3
#define DISKS 3
#define RUNNERS 117
#define REQUESTS_PER_S 435
#define STEP_MS 10
/* Half of a link of 100 Mbit/s, as the VMs with disks have it, and half of one
   of 10 Mbit/s, as the others. */
#define LEADER_BYTES_PER_S_MAX 6250000
#define OTHER_BYTES_PER_S_MAX 625000
/* News must be this young at every VM: decisions weigh it in full up to
   then. */
#define TOTALS_AGE_MAX_MS 400u
/* The same while the trees are repaired. */
#define REPAIR_AGE_MAX_MS 800u

static const char document[] =
    "{\"pools\":[{\"name\":\"llm\",\"engine\":true,\"slots\":16,"
    "\"memory_tokens\":101786,\"token_bytes\":163840,\"link_mbps\":550000,"
    "\"prefill_tokens_per_s\":51100}],"
    "\"routes\":["
    "{\"name\":\"check\",\"host\":\"h\",\"path\":\"/check/\","
    "\"pools\":[\"llm\"],\"open\":true,\"stream\":true,\"timeout_ms\":300,"
    "\"aim_ms\":600,\"gap_ms\":300,\"attempts\":1}]}";

typedef struct world {
    fleet *fleet;
    bool due[VMS]; /* the VM has asked for the listing */
    bool crashed[VMS];
    bbm_rng rng;
    uint64_t requests;
} world;

static void
on_list(void *context, int node)
{
    world *w = context;
    w->due[node] = true;
}

static void
deliver_listing(world *w, int node)
{
    bbm_listing listing = {0};
    for (int i = 0; i < RUNNERS; i++) {
        bbm_listing_entry u = {.slots = 16};
        snprintf(u.id, sizeof(u.id), "runner-%d", i);
        snprintf(u.address, sizeof(u.address), "10.9.0.%d:80", i + 1);
        bbm_name_set(u.pool, "llm");
        bbm_name_set(u.zone, "zone-0");
        bbm_listing_entry_set_version(&u, "m", 1);
        bbm_listing_add(&listing, &u);
    }
    bbm_event ev = {.kind = BBM_EV_LISTING};
    ev.u.listing.listing = &listing;
    fleet_deliver(w->fleet, node, &ev);
    bbm_listing_free(&listing);
}

static void
deliver_request(world *w)
{
    int node = (int)bbm_rng_below(&w->rng, VMS);
    uint64_t chain = bbm_rng_below(&w->rng, 1283);
    bbm_prompt_part parts[3] = {
        {1 + chain % 4, 2520}, {1000 + chain, 3780}, {0, 2890}};
    parts[2].id = 1000000 + ++w->requests;
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = "/check/a";
    ev.u.pool_request.request = (bbm_gate_request_desc){
        .request = w->requests,
        .id = "id",
        .model = "m",
        .parts = parts,
        .parts_len = 3,
        .prompt_tokens = 9190,
        .output_tokens_max = 50,
        .client_timeout = BBM_SECOND,
    };
    if (!w->crashed[node])
        fleet_deliver(w->fleet, node, &ev);
}

static void
run_under_load(world *w, bbm_time span)
{
    bbm_time until = fleet_now(w->fleet) + span;
    for (uint64_t step = 0; fleet_now(w->fleet) < until; step++) {
        fleet_step(w->fleet);
        for (int i = 0; i < VMS; i++) {
            if (w->due[i] && !w->crashed[i])
                deliver_listing(w, i);
            w->due[i] = false;
        }
        uint64_t due = (step + 1) * REQUESTS_PER_S * STEP_MS / 1000
                       - step * REQUESTS_PER_S * STEP_MS / 1000;
        for (uint64_t i = 0; i < due; i++)
            deliver_request(w);
    }
}

/* Age of the oldest totals of a running VM. */
static uint64_t
oldest_totals_ms(const world *w)
{
    uint64_t oldest = 0;
    for (int i = 0; i < VMS; i++) {
        if (w->crashed[i])
            continue;
        bbm_node_counts c =
            bbm_node_count(fleet_node(w->fleet, i), fleet_now(w->fleet));
        if (c.totals_age_ms > oldest)
            oldest = c.totals_age_ms;
    }
    return oldest;
}

static void
create_world(world *w)
{
    *w = (world){.rng = bbm_rng_of(3)};
    w->fleet = fleet_create(
        &(fleet_desc){
            .seed = 41,
            .nodes = VMS,
            .seeds = SEEDS,
            .disks = DISKS,
            .delay_max = 3 * BBM_MS,
            .sync_max = 2 * BBM_MS,
            .node.discovery = true,
            .node.gossip_period = 300 * BBM_MS,
        },
        &(fleet_hooks){.context = w, .read_listing = on_list});
    run_under_load(w, 4 * BBM_SECOND);
    ck_assert(fleet_publish(w->fleet, 0, 1, "first", 0, document));
    run_under_load(w, 4 * BBM_SECOND);
}

START_TEST(no_link_fills_and_news_is_young)
{
    world w;
    create_world(&w);
    int leader = fleet_leader(w.fleet);
    ck_assert_int_ge(leader, 0);
    size_t before[VMS];
    for (int i = 0; i < VMS; i++)
        before[i] = fleet_sent_bytes(w.fleet, i);
    for (int k = 0; k < 30; k++) {
        run_under_load(&w, 100 * BBM_MS);
        ck_assert_uint_le(oldest_totals_ms(&w), TOTALS_AGE_MAX_MS);
    }
    for (int i = 0; i < VMS; i++) {
        size_t per_s = (fleet_sent_bytes(w.fleet, i) - before[i]) / 3;
        size_t max =
            i < DISKS ? LEADER_BYTES_PER_S_MAX : OTHER_BYTES_PER_S_MAX;
        ck_assert_msg(per_s <= max, "%s sends %zu bytes per second",
                      fleet_name(w.fleet, i), per_s);
    }
    fleet_destroy(w.fleet);
}
END_TEST

/* The first VMs of each zone forward the news.  When they fail, the others
   report to the leader directly until the tree has closed. */
START_TEST(news_survives_vms_that_forward_it)
{
    world w;
    create_world(&w);
    int leader = fleet_leader(w.fleet);
    for (int i = 0; i < 12; i++) {
        if (i == leader)
            continue;
        fleet_crash(w.fleet, i);
        w.crashed[i] = i >= DISKS;
        if (i < DISKS)
            fleet_start(w.fleet, i);
    }
    run_under_load(&w, 1500 * BBM_MS);
    for (int k = 0; k < 20; k++) {
        run_under_load(&w, 100 * BBM_MS);
        ck_assert_uint_le(oldest_totals_ms(&w), REPAIR_AGE_MAX_MS);
    }
    run_under_load(&w, 5 * BBM_SECOND);
    for (int k = 0; k < 20; k++) {
        run_under_load(&w, 100 * BBM_MS);
        ck_assert_uint_le(oldest_totals_ms(&w), TOTALS_AGE_MAX_MS);
    }
    fleet_destroy(w.fleet);
}
END_TEST

TEST_MAIN("news", no_link_fills_and_news_is_young,
          news_survives_vms_that_forward_it);
