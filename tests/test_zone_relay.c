/* Totals that cross zones once: the choice of the VMs that forward them, and
   that every VM hears of the others' load when these VMs fail. */
#include "news_world.h"
#include "test_main.h"

#include "bbm_relays.h"

#include <stdio.h>
#include <string.h>

/* Without a fault, totals are at most this old at any VM. */
#define AGE_MAX_MS 200u
/* The same after a relay was lost. */
#define REPAIR_AGE_MAX_MS 700u
/* Half of a link of 10 Mbit/s, as VMs without a disk have it. */
#define WEAK_BYTES_PER_S_MAX 625000

/* ---- the choice alone ---- */

#define VMS 24
#define ZONES 3
#define PERIOD (60 * BBM_MS)

typedef struct choice {
    bbm_relays *relays;
    char names[VMS][BBM_NAME_SIZE];
    char zones[VMS][BBM_NAME_SIZE];
    bbm_relays_vm vms[VMS];
    bool silent[VMS]; /* sends no reports */
    bool deaf[VMS];   /* gets nothing */
    bool mute[VMS];   /* forwards nothing */
    uint64_t numbers[VMS];
    size_t got[VMS]; /* messages of the last totals */
    uint64_t number;
    size_t crossed; /* messages to other zones, of the last totals */
    bbm_time now;
    const bbm_relays_plan *plan;
} choice;

static void
create_choice(choice *c, size_t disks)
{
    *c = (choice){.relays = bbm_relays_create(), .now = BBM_SECOND};
    for (size_t i = 0; i < VMS; i++) {
        snprintf(c->names[i], BBM_NAME_SIZE, "vm-%zu", i);
        snprintf(c->zones[i], BBM_NAME_SIZE, "z%zu", i % ZONES);
        c->vms[i] = (bbm_relays_vm){.name = c->names[i],
                                    .zone = c->zones[i],
                                    .may_relay = true,
                                    .has_disk = i < disks};
    }
}

static void
receive(choice *c, const char *to, const char *const *names, size_t len,
        size_t fanout)
{
    size_t vm = 0;
    const char *share[VMS];
    while (strcmp(c->names[vm], to) != 0)
        vm++;
    if (c->deaf[vm])
        return;
    c->got[vm]++;
    c->numbers[vm] = c->number;
    for (size_t i = 0; i < bbm_relays_heads(len, fanout) && !c->mute[vm];
         i++) {
        size_t share_len = bbm_relays_share(names, len, fanout, i, share);
        receive(c, names[i], share, share_len, fanout);
    }
}

/* One period: reports, then totals. */
static void
play(choice *c)
{
    for (size_t i = 0; i < VMS; i++) {
        c->got[i] = 0;
        if (!c->silent[i])
            bbm_relays_hear(c->relays, c->names[i], c->numbers[i], c->now);
    }
    c->now += PERIOD;
    c->number++;
    c->plan = bbm_relays_make_plan(c->relays,
                                   &(bbm_relays_query){.vms = c->vms,
                                                       .vms_len = VMS,
                                                       .zone = "z0",
                                                       .number = c->number,
                                                       .period = PERIOD,
                                                       .now = c->now});
    c->crossed = 0;
    for (size_t i = 0; i < c->plan->sends_len; i++) {
        const bbm_relays_send *s = &c->plan->sends[i];
        c->crossed += s->names_len > 0;
        receive(c, s->to, s->names, s->names_len, s->fanout);
    }
}

static void
expect_each_once(const choice *c)
{
    for (size_t i = 0; i < VMS; i++)
        ck_assert_msg(c->got[i] == 1, "%s got %zu", c->names[i], c->got[i]);
}

/* Guards against VMs that no list names, or that several do. */
START_TEST(each_vm_gets_totals_once)
{
    for (size_t disks = 0; disks <= VMS; disks += 4) {
        choice c;
        create_choice(&c, disks);
        play(&c); /* heard for the first time */
        expect_each_once(&c);
        for (int i = 0; i < 20; i++) {
            play(&c);
            expect_each_once(&c);
            ck_assert_uint_eq(c.plan->relays, ZONES - 1);
            ck_assert_uint_eq(c.plan->sends_len, VMS / ZONES + ZONES - 1);
        }
        bbm_relays_destroy(c.relays);
    }
}
END_TEST

/* A VM without a disk would fill its link. */
START_TEST(disks_forward_and_weak_vms_share_the_work)
{
    choice c;
    create_choice(&c, 0);
    c.vms[7].has_disk = true; /* zone z1; z2 has none */
    play(&c);
    play(&c);
    for (size_t i = 0; i < c.plan->sends_len; i++) {
        const bbm_relays_send *s = &c.plan->sends[i];
        size_t heads = bbm_relays_heads(s->names_len, s->fanout);
        if (!s->names_len)
            continue;
        bool strong = strcmp(s->to, "vm-7") == 0;
        ck_assert_uint_eq(s->names_len, VMS / ZONES - 1);
        ck_assert_uint_eq(heads, strong ? VMS / ZONES - 1 : 4);
    }
    bbm_relays_destroy(c.relays);
}
END_TEST

/* VMs of earlier builds can't read a list. */
START_TEST(earlier_builds_are_no_relays)
{
    choice c;
    create_choice(&c, 4);
    for (size_t i = 1; i < VMS; i += ZONES)
        c.vms[i].may_relay = false;
    for (int i = 0; i < 10; i++) {
        play(&c);
        expect_each_once(&c);
    }
    ck_assert_uint_eq(c.plan->relays, 1);
    bbm_relays_destroy(c.relays);
}
END_TEST

/* Totals that a VM has missed in a row, at most. */
static uint64_t
longest_gap(choice *c, size_t periods, size_t except)
{
    uint64_t gap = 0;
    for (size_t p = 0; p < periods; p++) {
        play(c);
        for (size_t i = 0; i < VMS; i++) {
            if (i != except && c->number - c->numbers[i] > gap)
                gap = c->number - c->numbers[i];
        }
    }
    return gap;
}

/* Half failures of a relay: it is dead, gets nothing but reports, or gets all
   and forwards nothing.  At 60 ms a period, 10 totals are 0.6 s. */
START_TEST(a_lost_relay_is_replaced)
{
    for (int fault = 0; fault < 3; fault++) {
        choice c;
        create_choice(&c, 4); /* vm-1 is the relay of z1 */
        longest_gap(&c, 20, 0);
        c.silent[1] = fault == 0;
        c.deaf[1] = fault <= 1;
        c.mute[1] = true;
        ck_assert_uint_le(longest_gap(&c, 100, 1), 6);
        ck_assert_uint_eq(c.plan->relays, ZONES - 1);
        bbm_relays_destroy(c.relays);
    }
}
END_TEST

/* A VM that forwards to a part of its zone is lost; the rest of the zone
   keeps its relay. */
START_TEST(a_lost_part_gets_totals_directly)
{
    choice c;
    create_choice(&c, 0);
    longest_gap(&c, 20, 0);
    size_t head = VMS;
    for (size_t i = 0; i < c.plan->sends_len; i++) {
        if (c.plan->sends[i].names_len)
            head = (size_t)atoi(c.plan->sends[i].names[0] + 3);
    }
    ck_assert_uint_lt(head, VMS);
    c.mute[head] = true;
    ck_assert_uint_le(longest_gap(&c, 100, head), 6);
    ck_assert_uint_eq(c.plan->relays, ZONES - 1);
    bbm_relays_destroy(c.relays);
}
END_TEST

/* ---- between nodes ---- */

/* The VM of a zone that has sent the most totals to its zone lately; -1:
   none. */
static int
find_relay(news_world *w, int zone)
{
    uint64_t before[NEWS_VMS] = {0};
    int relay = -1;
    uint64_t most = 0;
    for (int pass = 0; pass < 2; pass++) {
        for (int i = zone; i < NEWS_VMS; i += NEWS_ZONES) {
            bbm_node *n = fleet_node(w->fleet, i);
            if (!n)
                continue;
            uint64_t sent = bbm_node_count(n, fleet_now(w->fleet))
                                .traffic[BBM_TRAFFIC_TOTALS]
                                .in_zone;
            if (pass && sent - before[i] > most) {
                most = sent - before[i];
                relay = i;
            }
            before[i] = sent;
        }
        if (!pass)
            news_world_run(w, 200 * BBM_MS);
    }
    return relay;
}

static uint64_t
oldest_within(news_world *w, bbm_time span)
{
    uint64_t oldest = 0;
    for (bbm_time t = 0; t < span; t += 20 * BBM_MS) {
        news_world_run(w, 20 * BBM_MS);
        uint64_t age = news_world_oldest_totals_ms(w);
        oldest = age > oldest ? age : oldest;
    }
    return oldest;
}

static uint64_t
totals_out_of_zone(news_world *w, bbm_time span)
{
    bbm_traffic before[BBM_TRAFFIC_COUNT];
    bbm_traffic after[BBM_TRAFFIC_COUNT];
    news_world_traffic(w, before);
    ck_assert_uint_le(oldest_within(w, span), AGE_MAX_MS);
    news_world_traffic(w, after);
    return after[BBM_TRAFFIC_TOTALS].out_zone
           - before[BBM_TRAFFIC_TOTALS].out_zone;
}

/* 47 of 63 VMs are in other zones than the leader, which are 3. */
START_TEST(totals_cross_zones_once)
{
    news_world direct, relayed;
    news_world_create(&direct, false);
    news_world_create(&relayed, true);
    uint64_t all = totals_out_of_zone(&direct, 2 * BBM_SECOND);
    uint64_t once = totals_out_of_zone(&relayed, 2 * BBM_SECOND);
    ck_assert_uint_gt(once, 0);
    ck_assert_uint_ge(all, once * 12);
    news_world_destroy(&direct);
    news_world_destroy(&relayed);
}
END_TEST

static int
other_zone(const news_world *w)
{
    return (fleet_leader(w->fleet) + 1) % NEWS_ZONES;
}

typedef enum fault {
    FAULT_CRASH,
    FAULT_FREEZE,
    FAULT_CUT, /* it reaches the leader, but not its zone */
    FAULT_COUNT,
} fault;

static void
break_relay(news_world *w, int relay, fault f)
{
    switch (f) {
    case FAULT_CRASH:
        fleet_crash(w->fleet, relay);
        w->crashed[relay] = true;
        return;
    case FAULT_FREEZE:
        fleet_freeze(w->fleet, relay, 3 * BBM_SECOND);
        return;
    case FAULT_CUT:
        for (int i = relay % NEWS_ZONES; i < NEWS_VMS; i += NEWS_ZONES)
            fleet_net(w->fleet)->blocked[relay][i] = true;
        return;
    case FAULT_COUNT:
        return;
    }
}

START_TEST(a_zone_hears_again_at_once)
{
    for (fault f = 0; f < FAULT_COUNT; f++) {
        news_world w;
        news_world_create(&w, true);
        int zone = other_zone(&w);
        int relay = find_relay(&w, zone);
        ck_assert_int_ge(relay, 0);
        ck_assert_int_lt(relay, NEWS_DISKS);
        break_relay(&w, relay, f);
        ck_assert_uint_le(oldest_within(&w, 2500 * BBM_MS), REPAIR_AGE_MAX_MS);
        int next = find_relay(&w, zone);
        ck_assert_int_ge(next, 0);
        ck_assert_int_ne(next, relay);
        news_world_destroy(&w);
    }
}
END_TEST

/* A zone that has lost its VMs with disks: the others forward, and none fills
   its link. */
START_TEST(weak_vms_forward_within_their_links)
{
    news_world w;
    news_world_create(&w, true);
    int zone = other_zone(&w);
    for (int i = zone; i < NEWS_DISKS; i += NEWS_ZONES)
        break_relay(&w, i, FAULT_CRASH);
    oldest_within(&w, 5 * BBM_SECOND);
    int relay = find_relay(&w, zone);
    ck_assert_int_ge(relay, NEWS_DISKS);
    size_t before[NEWS_VMS];
    for (int i = 0; i < NEWS_VMS; i++)
        before[i] = fleet_sent_bytes(w.fleet, i);
    ck_assert_uint_le(oldest_within(&w, BBM_SECOND), AGE_MAX_MS);
    for (int i = NEWS_DISKS; i < NEWS_VMS; i++)
        ck_assert_uint_le(fleet_sent_bytes(w.fleet, i) - before[i],
                          WEAK_BYTES_PER_S_MAX);
    news_world_destroy(&w);
}
END_TEST

/* Builds that know no lists get their totals directly, and so do those behind
   them on a list. */
START_TEST(builds_side_by_side_hear_all)
{
    news_world w;
    news_world_create(&w, true);
    for (int i = NEWS_DISKS; i < NEWS_VMS; i += 2) {
        fleet_crash(w.fleet, i);
        fleet_set_format(w.fleet, i, BBM_FORMAT_STATED);
        fleet_start(w.fleet, i);
    }
    news_world_run(&w, 6 * BBM_SECOND);
    ck_assert_uint_le(oldest_within(&w, BBM_SECOND), AGE_MAX_MS);
    news_world_destroy(&w);
}
END_TEST

/* A new leader knows nothing of who has received what. */
START_TEST(news_goes_on_under_a_new_leader)
{
    news_world w;
    news_world_create(&w, true);
    break_relay(&w, fleet_leader(w.fleet), FAULT_CRASH);
    news_world_run(&w, 6 * BBM_SECOND);
    ck_assert_int_ge(fleet_leader(w.fleet), 0);
    ck_assert_uint_le(oldest_within(&w, 2 * BBM_SECOND), AGE_MAX_MS);
    ck_assert_int_ge(find_relay(&w, other_zone(&w)), 0);
    news_world_destroy(&w);
}
END_TEST

TEST_MAIN("zone_relay", each_vm_gets_totals_once,
          disks_forward_and_weak_vms_share_the_work,
          earlier_builds_are_no_relays, a_lost_relay_is_replaced,
          a_lost_part_gets_totals_directly, totals_cross_zones_once,
          a_zone_hears_again_at_once, weak_vms_forward_within_their_links,
          builds_side_by_side_hear_all, news_goes_on_under_a_new_leader);
