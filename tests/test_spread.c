/* How a large configuration reaches hundreds of VMs over weak links: in time,
   without queues that a VM has no memory for. */
#include "bbm_platform.h"
#include "fleet.h"
#include "memory_budget.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define VMS 200
#define DISKS 6
#define ROUTES 40
#define MORE_ROUTES 1400
#define CUSTOMERS 19
/* 100 Mbit/s for the VMs with a disk, 10 Mbit/s for the others. */
#define STRONG_LINK 12500000
#define WEAK_LINK 1250000
/* A change must be in force on all VMs this long after it was acknowledged. */
#define APPLY_TIME (3 * BBM_SECOND)
/* An operator waits this long for the acknowledgement, and longer for a
   configuration of many routes. */
#define ACK_TIME (6 * BBM_SECOND + 3 * BBM_MS * (ROUTES + MORE_ROUTES))
/* A tenth of the VMs may get a change twice. */
#define COPIES_MAX (VMS + VMS / 10)
/* VMs that start have the configuration after this. */
#define RECOVERY_TIME (6 * BBM_SECOND)
#define MACHINE_BYTES ((size_t)88 * 1000 * 1000)

typedef struct world {
    fleet *fleet;
    bbm_rng rng;
    bbm_buf source;
    uint64_t version;
    bool acked;
    int code;
} world;

static void
on_answer(void *context, const fleet_answer *answer)
{
    world *w = context;
    w->acked = answer->operator_call;
    w->code = answer->code;
}

/* ---- the operator's document ---- */

static const char *
word(world *w, char text[16])
{
    static const char *const syllables[] = {
        "ba", "de", "fi", "go", "hu", "ja", "ke", "li", "mo", "nu", "pa",
        "re", "si", "to", "vu", "wa", "xe", "yi", "zo", "ku", "le", "mi"};
    const char *a = syllables[bbm_rng_below(&w->rng, 22)];
    const char *b = syllables[bbm_rng_below(&w->rng, 22)];
    unsigned number = (unsigned)bbm_rng_below(&w->rng, 1000);
    snprintf(text, 16, "%s%s%u", a, b, number);
    return text;
}

static void
add_text(bbm_buf *buf, const char *text)
{
    bbm_buf_add(buf, text, strlen(text));
}

static void
add_route(world *w, bbm_buf *buf, int i)
{
    char route[512];
    char name[16];
    char host[16];
    char path[16];
    snprintf(route, sizeof(route),
             "%s{\"name\":\"r-%s-%d\",\"host\":\"%s.example\","
             "\"path-prefix\":\"/%s/%d/\",\"type\":\"stream\","
             "\"timeout-ms\":%d,\"target-latency-ms\":600,\"priority\":1,"
             "\"service\":\"llm\",\"max-attempts\":1,\"public\":false,"
             "\"sticky\":true,\"resumable\":false,\"target-gap-ms\":300}",
             i ? "," : "", word(w, name), i, word(w, host), word(w, path), i,
             5000 + (int)bbm_rng_below(&w->rng, 9) * 500);
    add_text(buf, route);
}

static void
add_customer(world *w, bbm_buf *buf, int i)
{
    char customer[512];
    snprintf(customer, sizeof(customer),
             "%s{\"name\":\"customer-%d\",\"api-keys\":[\"%016llx%08x\"],"
             "\"priority\":1,\"unit\":\"tokens\",\"uncached-tokens\":200,"
             "\"rate-per-s\":211813,\"burst\":211813}",
             i ? "," : "", i, (unsigned long long)bbm_rng_next(&w->rng), i);
    add_text(buf, customer);
}

static void
write_source(world *w, int routes)
{
    char head[64];
    w->source.len = 0;
    w->version++;
    /* The routes that were there stay as they are. */
    w->rng = bbm_rng_of(7);
    snprintf(head, sizeof(head), "{\"version\":%llu,\"routes\":[",
             (unsigned long long)w->version);
    add_text(&w->source, head);
    for (int i = 0; i < routes; i++)
        add_route(w, &w->source, i);
    add_text(&w->source,
             "],\"services\":[{\"name\":\"llm\",\"max-connections\":380,"
             "\"engine\":{\"slots\":16,\"kv-capacity\":101786,"
             "\"kv-token-bytes\":163840,\"link-mbps\":550000}}],"
             "\"limits\":{\"max-header-bytes\":16384,"
             "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
             "\"idle-timeout-ms\":15000},\"tenants\":[");
    for (int i = 0; i < CUSTOMERS; i++)
        add_customer(w, &w->source, i);
    add_text(&w->source, "]}");
}

/* ---- the fleet ---- */

static void
create_world(world *w)
{
    *w = (world){0};
    w->fleet = fleet_create(&(fleet_desc){.seed = 43,
                                          .nodes = VMS,
                                          .zones = 6,
                                          .seeds = 3,
                                          .disks = DISKS,
                                          .delay_max = 3 * BBM_MS,
                                          .sync_max = 2 * BBM_MS,
                                          .node.discovery = true,
                                          .node.revision_texts_max = 2,
                                          .node.gossip_period = 300 * BBM_MS},
                            &(fleet_hooks){.context = w, .answer = on_answer});
    net *n = fleet_net(w->fleet);
    for (int i = 0; i < VMS; i++)
        n->link_bytes_per_s[i] = i < DISKS ? STRONG_LINK : WEAK_LINK;
    fleet_run(w->fleet, 4 * BBM_SECOND);
}

static void
destroy_world(world *w)
{
    fleet_destroy(w->fleet);
    bbm_buf_free(&w->source);
}

static size_t
vms_at_version(const world *w, uint64_t revision)
{
    size_t count = 0;
    for (int i = 0; i < VMS; i++)
        count +=
            fleet_node(w->fleet, i)
            && bbm_node_count(fleet_node(w->fleet, i), fleet_now(w->fleet))
                       .revision
                   >= revision;
    return count;
}

/* Publishes a document through a VM, and checks when it is acknowledged and
   in force everywhere. */
static void
publish(world *w, int vm, int routes)
{
    const uint8_t secret[BBM_DIGEST_SIZE] = {1};
    platform_config cfg;
    write_source(w, routes);
    ck_assert_int_eq(platform_config_read((char *)w->source.data,
                                          w->source.len, secret, &cfg),
                     BBM_OK);
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = w->version;
    ev.u.call.verb = BBM_VERB_PUBLISH;
    ev.u.call.version = cfg.version;
    ev.u.call.text = bbm_buf_view(&cfg.document);
    ev.u.call.source = bbm_buf_view(&w->source);
    w->acked = false;
    bbm_time begun_at = fleet_now(w->fleet);
    ck_assert(fleet_deliver(w->fleet, vm, &ev));
    bbm_buf_free(&cfg.document);
    while (!w->acked && fleet_now(w->fleet) < begun_at + ACK_TIME)
        fleet_step(w->fleet);
    ck_assert_msg(w->acked && w->code == BBM_OK, "not acknowledged");
    bbm_time acked_at = fleet_now(w->fleet);
    while (vms_at_version(w, w->version) < VMS
           && fleet_now(w->fleet) < acked_at + APPLY_TIME)
        fleet_step(w->fleet);
    size_t count = vms_at_version(w, w->version);
    ck_assert_msg(count == VMS, "%d routes: in force on %zu of %d VMs", routes,
                  count, VMS);
}

static size_t
compressed_bytes(const world *w)
{
    const uint8_t secret[BBM_DIGEST_SIZE] = {1};
    platform_config cfg;
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH};
    bbm_buf storage = {0};
    ck_assert_int_eq(platform_config_read((char *)w->source.data,
                                          w->source.len, secret, &cfg),
                     BBM_OK);
    cmd.u.publish.text = bbm_buf_view(&cfg.document);
    cmd.u.publish.source = bbm_buf_view(&w->source);
    bbm_command_deflate(&cmd, &storage);
    bbm_buf_free(&storage);
    bbm_buf_free(&cfg.document);
    return cmd.u.publish.deflated.len;
}

static void
check_memory(const world *w)
{
    memory_budget budget;
    memory_budget_init(&budget, MACHINE_BYTES);
    for (int i = 0; i < VMS; i++) {
        size_t bytes = fleet_net(w->fleet)->waiting_bytes_max[i];
        ck_assert_msg(bytes <= budget.shares[MEMORY_PEERS],
                      "%zu bytes wait for the link of %s", bytes,
                      fleet_name(w->fleet, i));
    }
}

/* A configuration grows by many routes.  VMs without a disk pass it on over
   links of 10 Mbit/s, eight copies each: the last ones got it too late, and
   told callers that routes don't exist that were acknowledged. */
START_TEST(grown_configuration_is_in_force_in_time)
{
    world w;
    create_world(&w);
    publish(&w, 0, ROUTES);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    publish(&w, 0, ROUTES + MORE_ROUTES);
    check_memory(&w);
    destroy_world(&w);
}
END_TEST

/* VMs that were told by their parent that a change is on its way asked others,
   which sent it as well. */
START_TEST(change_is_sent_to_each_vm_once)
{
    world w;
    create_world(&w);
    publish(&w, 0, ROUTES);
    /* Until parents have forgotten the children that they had at the start. */
    fleet_run(w.fleet, 6 * BBM_SECOND);
    publish(&w, 0, ROUTES + MORE_ROUTES);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    net *n = fleet_net(w.fleet);
    n->long_message_bytes = compressed_bytes(&w);
    for (int i = 0; i < 3; i++) {
        n->long_messages = 0;
        publish(&w, 0, ROUTES + MORE_ROUTES);
        fleet_run(w.fleet, 2 * BBM_SECOND);
        ck_assert_uint_ge(n->long_messages, VMS - 1);
        ck_assert_uint_le(n->long_messages, COPIES_MAX);
    }
    destroy_world(&w);
}
END_TEST

/* A change for which a queue had no room must come again. */
START_TEST(lost_change_is_sent_again_in_time)
{
    world w;
    create_world(&w);
    publish(&w, 0, ROUTES);
    fleet_run(w.fleet, 6 * BBM_SECOND);
    publish(&w, 0, ROUTES + MORE_ROUTES);
    net *n = fleet_net(w.fleet);
    n->long_message_bytes = compressed_bytes(&w);
    n->lost_long_messages = 8;
    publish(&w, 0, ROUTES + MORE_ROUTES);
    ck_assert_uint_eq(n->lost_long_messages, 0);
    destroy_world(&w);
}
END_TEST

/* Power comes back for all VMs at once: those without a disk have nothing, and
   all ask for the whole configuration. */
START_TEST(all_vms_start_with_a_grown_configuration)
{
    world w;
    create_world(&w);
    publish(&w, 0, ROUTES);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    publish(&w, 0, ROUTES + MORE_ROUTES);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    for (int i = 0; i < VMS; i++)
        fleet_crash(w.fleet, i);
    net *n = fleet_net(w.fleet);
    memset(n->sends_until, 0, sizeof(n->sends_until));
    memset(n->waiting_bytes_max, 0, sizeof(n->waiting_bytes_max));
    n->long_message_bytes = compressed_bytes(&w);
    n->long_messages = 0;
    bbm_time started_at = fleet_now(w.fleet);
    for (int i = 0; i < VMS; i++)
        fleet_start(w.fleet, i);
    while (vms_at_version(&w, w.version) < VMS
           && fleet_now(w.fleet) < started_at + RECOVERY_TIME)
        fleet_step(w.fleet);
    printf("%zu of %d VMs have the configuration %lld ms after the start; "
           "%zu copies\n",
           vms_at_version(&w, w.version), VMS,
           (long long)((fleet_now(w.fleet) - started_at) / BBM_MS),
           n->long_messages);
    ck_assert_uint_eq(vms_at_version(&w, w.version), VMS);
    check_memory(&w);
    destroy_world(&w);
}
END_TEST

/* Further changes of it follow each other closely, by VMs with weak links. */
START_TEST(changes_of_a_grown_configuration_keep_up)
{
    world w;
    create_world(&w);
    publish(&w, 0, ROUTES);
    fleet_run(w.fleet, 2 * BBM_SECOND);
    publish(&w, DISKS + 1, ROUTES + MORE_ROUTES);
    for (int i = 0; i < 4; i++)
        publish(&w, DISKS + 20 * i, ROUTES + MORE_ROUTES);
    check_memory(&w);
    destroy_world(&w);
}
END_TEST

TEST_MAIN("spread", all_vms_start_with_a_grown_configuration,
          change_is_sent_to_each_vm_once, lost_change_is_sent_again_in_time,
          grown_configuration_is_in_force_in_time,
          changes_of_a_grown_configuration_keep_up);
