#include "news_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 3
#define RUNNERS 90
#define SERVICES 4
#define CHAINS 1200
#define REQUESTS_PER_S 600
#define STEP_MS 10
#define HEAD_TIME (100 * BBM_MS)
#define REST_TIME (150 * BBM_MS)

static const char document[] =
    "{\"pools\":[{\"name\":\"llm\",\"engine\":true,\"slots\":32,"
    "\"memory_tokens\":122170,\"token_bytes\":163840,\"link_mbps\":550000,"
    "\"prefill_tokens_per_s\":93600},"
    "{\"name\":\"svc\",\"slots\":6}],"
    "\"routes\":["
    "{\"name\":\"ask\",\"host\":\"h\",\"path\":\"/ask/\","
    "\"pools\":[\"llm\"],\"open\":true,\"stream\":true,\"timeout_ms\":5000,"
    "\"aim_ms\":500,\"gap_ms\":300,\"attempts\":1},"
    "{\"name\":\"call\",\"host\":\"h\",\"path\":\"/call/\","
    "\"pools\":[\"svc\"],\"open\":true,\"timeout_ms\":1500,"
    "\"aim_ms\":120,\"attempts\":1}]}";

static void
on_list(void *context, int node)
{
    news_world *w = context;
    w->lists[node] = true;
}

static void
on_forward(void *context, int node, const bbm_forward_request *send)
{
    news_world *w = context;
    if (w->len == w->cap) {
        w->cap = w->cap ? w->cap * 2 : 256;
        w->attempts = bbm_realloc(w->attempts, w->cap * sizeof(*w->attempts));
    }
    w->attempts[w->len++] =
        (news_attempt){.node = node,
                       .request = send->request,
                       .number = send->attempt,
                       .due_at = fleet_now(w->fleet) + HEAD_TIME};
}

static void
deliver_listing(news_world *w, int node)
{
    bbm_listing listing = {0};
    for (int i = 0; i < RUNNERS + SERVICES; i++) {
        bool runner = i < RUNNERS;
        bbm_listing_entry u = {.slots = runner ? 32 : 6};
        snprintf(u.id, sizeof(u.id), "upstream-%d", i);
        snprintf(u.address, sizeof(u.address), "10.9.0.%d:80", i + 1);
        snprintf(u.zone, sizeof(u.zone), "zone-%d", i % NEWS_ZONES);
        bbm_name_set(u.pool, runner ? "llm" : "svc");
        if (runner)
            bbm_listing_entry_set_version(&u, "m", 1);
        bbm_listing_add(&listing, &u);
    }
    bbm_event ev = {.kind = BBM_EV_LISTING};
    ev.u.listing.listing = &listing;
    fleet_deliver(w->fleet, node, &ev);
    bbm_listing_free(&listing);
}

static void
deliver_request(news_world *w)
{
    int node = (int)bbm_rng_below(&w->rng, NEWS_VMS);
    uint64_t chain = bbm_rng_below(&w->rng, CHAINS);
    uint64_t kind = bbm_rng_below(&w->rng, 606);
    bool question = kind < 320;
    bool chat = !question && kind < 449;
    bbm_prompt_part parts[3] = {
        {1 + chain % 4, 2520}, {1000 + chain, 3780}, {0, 2890}};
    if (chat) {
        parts[0] = (bbm_prompt_part){5, 198};
        parts[1].tokens = 628;
    }
    size_t len = question ? 3 : chat ? 2 : 0;
    w->requests++;
    if (len)
        parts[len - 1].id = 1000000 + w->requests;
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = len ? "/ask/a" : "/call/a";
    ev.u.pool_request.request = (bbm_gate_request_desc){
        .request = w->requests,
        .id = "id",
        .model = len ? "m" : "",
        .parts = parts,
        .parts_len = len,
        .prompt_tokens = question ? 9190
                         : chat   ? 826
                                  : 0,
        .output_tokens_max = question ? 9
                             : chat   ? 49
                                      : 0,
        .client_timeout = 5 * BBM_SECOND,
    };
    if (!w->crashed[node])
        fleet_deliver(w->fleet, node, &ev);
}

static void
answer(news_world *w, news_attempt *a)
{
    bbm_event ev = {.kind = a->has_head ? BBM_EV_FORWARD_FINISHED
                                        : BBM_EV_RESPONSE_HEAD};
    if (a->has_head) {
        ev.u.forwarded = (bbm_forward_result){
            .request = a->request,
            .attempt = a->number,
            .outcome = BBM_FORWARD_COMPLETE,
            .status = 200,
            .began_at = fleet_now(w->fleet),
        };
    }
    else {
        ev.u.response_head.request = a->request;
        ev.u.response_head.attempt = a->number;
    }
    fleet_deliver(w->fleet, a->node, &ev);
}

static void
deliver_answers(news_world *w)
{
    size_t kept = 0;
    for (size_t i = 0; i < w->len; i++) {
        news_attempt a = w->attempts[i];
        if (a.due_at <= fleet_now(w->fleet)) {
            answer(w, &a);
            if (a.has_head)
                continue;
            a.has_head = true;
            a.due_at += REST_TIME;
        }
        w->attempts[kept++] = a;
    }
    w->len = kept;
}

void
news_world_run(news_world *w, bbm_time span)
{
    bbm_time until = fleet_now(w->fleet) + span;
    while (fleet_now(w->fleet) < until) {
        fleet_step(w->fleet);
        for (int i = 0; i < NEWS_VMS; i++) {
            if (w->lists[i] && !w->crashed[i])
                deliver_listing(w, i);
            w->lists[i] = false;
        }
        deliver_answers(w);
        for (int i = 0; i < REQUESTS_PER_S * STEP_MS / 1000; i++)
            deliver_request(w);
    }
}

uint64_t
news_world_oldest_totals_ms(const news_world *w)
{
    uint64_t oldest = 0;
    for (int i = 0; i < NEWS_VMS; i++) {
        if (w->crashed[i] || !fleet_is_running(w->fleet, i))
            continue;
        bbm_node_counts c =
            bbm_node_count(fleet_node(w->fleet, i), fleet_now(w->fleet));
        if (c.totals_age_ms > oldest)
            oldest = c.totals_age_ms;
    }
    return oldest;
}

void
news_world_traffic(const news_world *w, bbm_traffic sum[BBM_TRAFFIC_COUNT])
{
    memset(sum, 0, sizeof(*sum) * BBM_TRAFFIC_COUNT);
    for (int i = 0; i < NEWS_VMS; i++) {
        bbm_node *n = fleet_node(w->fleet, i);
        if (!n)
            continue;
        bbm_node_counts c = bbm_node_count(n, fleet_now(w->fleet));
        for (size_t k = 0; k < BBM_TRAFFIC_COUNT; k++) {
            sum[k].in_zone += c.traffic[k].in_zone;
            sum[k].out_zone += c.traffic[k].out_zone;
        }
    }
}

void
news_world_create(news_world *w, bool zone_relay)
{
    *w = (news_world){.rng = bbm_rng_of(3)};
    w->fleet = fleet_create(
        &(fleet_desc){
            .seed = 41,
            .nodes = NEWS_VMS,
            .zones = NEWS_ZONES,
            .seeds = SEEDS,
            .disks = NEWS_DISKS,
            .delay_max = 3 * BBM_MS,
            .sync_max = 2 * BBM_MS,
            .node.discovery = true,
            .node.gossip_period = 300 * BBM_MS,
            .node.zone_relay = zone_relay,
        },
        &(fleet_hooks){
            .context = w, .read_listing = on_list, .forward = on_forward});
    news_world_run(w, 4 * BBM_SECOND);
    fleet_publish(w->fleet, 0, 1, "first", 0, document);
    news_world_run(w, 4 * BBM_SECOND);
}

void
news_world_destroy(news_world *w)
{
    fleet_destroy(w->fleet);
    free(w->attempts);
}
