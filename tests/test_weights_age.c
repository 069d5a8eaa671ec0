/* From when a VM counts the age of weights that a newer version has overtaken:
   one that hears of the version late, one that heard in time, and with wrong
   calendars. */
#include "fleet.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define VMS 4
/* VMs of a tree of two levels. */
#define VMS_MAX 12
/* The VM that hears of the version late; VM 0 leads. */
#define LATE 3
#define LATENESS (4 * BBM_SECOND)
/* Ends between two ticks, so that messages are processed before the first
   tick. */
#define FREEZE_TIME (LATENESS - 5 * BBM_MS)
/* Long enough for a VM that was frozen to no longer reckon with another
   freeze. */
#define OLD_WEIGHTS_MAX (16 * BBM_SECOND)
/* A VM that heard in time still uses the old weights this long before the
   bound. */
#define UNUSED_TIME_MAX BBM_SECOND
/* A calendar that is behind makes the age of a version too low by at most
   this, however late the VM hears of it. */
#define UNPROVED_AGE_MAX (1500 * BBM_MS)
/* One that is ahead makes it too high by at most the time between two proofs
   that the VM has all versions. */
#define POLL_PERIOD (800 * BBM_MS)
#define CALENDAR_ERROR_MS 5000

static const char pools[] =
    "{\"pools\":[{\"name\":\"p\",\"engine\":true,\"slots\":50,"
    "\"memory_tokens\":100000,\"token_bytes\":1000,\"link_mbps\":1000,"
    "\"prefill_tokens_per_s\":50000}],\"routes\":["
    "{\"name\":\"ask\",\"host\":\"h\",\"path\":\"/ask/\",\"pools\":[\"p\"],"
    "\"open\":true,\"stream\":true,\"timeout_ms\":300,\"aim_ms\":100}]}";

typedef struct sent_request {
    uint64_t request;
    uint32_t attempt;
} sent_request;

typedef struct world {
    fleet *fleet;
    int vms;
    bbm_listing listing;
    uint64_t requests;
    bool list_wanted[VMS_MAX];
    bool report_wanted;
    sent_request sent[VMS_MAX]; /* not yet answered; attempt 0: none */
    bbm_time last_sent_at[VMS_MAX];
} world;

static void
on_list(void *context, int node)
{
    world *w = context;
    w->list_wanted[node] = true;
}

static void
on_forward(void *context, int node, const bbm_forward_request *send)
{
    world *w = context;
    w->sent[node] = (sent_request){send->request, send->attempt};
    w->last_sent_at[node] = fleet_now(w->fleet);
}

static void
on_rollout(void *context, int node, const bbm_rollout_action *action)
{
    (void)node;
    (void)action;
    world *w = context;
    w->report_wanted = true;
}

static void
send_request(world *w, int vm)
{
    bbm_prompt_part part = {1000 + w->requests, 100};
    bbm_event ev = {.kind = BBM_EV_POOL_REQUEST};
    ev.u.pool_request.host = "h";
    ev.u.pool_request.path = "/ask/x";
    ev.u.pool_request.request.request = ++w->requests;
    ev.u.pool_request.request.id = "id";
    ev.u.pool_request.request.model = "m";
    ev.u.pool_request.request.parts = &part;
    ev.u.pool_request.request.parts_len = 1;
    ev.u.pool_request.request.prompt_tokens = 100;
    fleet_deliver(w->fleet, vm, &ev);
}

static void
end_request(world *w, int vm)
{
    sent_request s = w->sent[vm];
    bbm_event ev = {.kind = BBM_EV_FORWARD_FINISHED};
    ev.u.forwarded = (bbm_forward_result){
        .request = s.request,
        .attempt = s.attempt,
        .outcome = BBM_FORWARD_COMPLETE,
        .status = 200,
        .began_at = fleet_now(w->fleet),
    };
    if (s.attempt && fleet_deliver(w->fleet, vm, &ev))
        w->sent[vm] = (sent_request){0};
}

/* The runner answers requests at once, and the rollout never. */
static void
run(world *w, bbm_time span)
{
    fleet *f = w->fleet;
    bbm_time end = fleet_now(f) + span;
    for (int i = 0; fleet_now(f) < end; i++) {
        fleet_step(f);
        for (int vm = 0; vm < w->vms; vm++) {
            bbm_event ev = {.kind = BBM_EV_LISTING};
            ev.u.listing.listing = &w->listing;
            if (w->list_wanted[vm] && fleet_deliver(f, vm, &ev))
                w->list_wanted[vm] = false;
            end_request(w, vm);
            if (i % 5 == 0)
                send_request(w, vm);
        }
        bbm_event no_report = {.kind = BBM_EV_ROLLOUT_REPORT};
        no_report.u.rollout_report.id = "runner";
        if (w->report_wanted) {
            w->report_wanted = false;
            fleet_deliver(f, 0, &no_report);
        }
    }
}

static void
create_world_of(world *w, int vms)
{
    *w = (world){.vms = vms};
    bbm_listing_entry u = {
        .pool = "p", .zone = "zone-0", .slots = 50, .models_len = 1};
    bbm_name_set(u.id, "runner");
    bbm_name_set(u.address, "10.9.0.1:80");
    bbm_name_set(u.models[0].name, "m");
    u.models[0].version = 1;
    bbm_listing_add(&w->listing, &u);
    fleet_desc desc = {
        .seed = 41,
        .nodes = w->vms,
        .seeds = 1,
        .disks = 1,
        .delay_max = BBM_MS,
        .sync_max = 2 * BBM_MS,
        .node.discovery = true,
        .node.gate.old_weights_max = OLD_WEIGHTS_MAX,
    };
    w->fleet = fleet_create(&desc, &(fleet_hooks){.context = w,
                                                  .read_listing = on_list,
                                                  .rollout = on_rollout,
                                                  .forward = on_forward});
    run(w, 4 * BBM_SECOND);
    ck_assert(fleet_publish(w->fleet, 0, 1, "first", 0, pools));
    run(w, 4 * BBM_SECOND);
    ck_assert_int_eq(fleet_leader(w->fleet), 0);
}

static void
create_world(world *w)
{
    create_world_of(w, VMS);
}

static void
destroy_world(world *w)
{
    fleet_destroy(w->fleet);
    bbm_listing_free(&w->listing);
}

static void
name_version(world *w, uint64_t version)
{
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = 1 + version;
    ev.u.call.verb = BBM_VERB_WEIGHTS;
    bbm_name_set(ev.u.call.id, "weights");
    bbm_name_set(ev.u.call.name, "m");
    ev.u.call.revision = version;
    ck_assert(fleet_deliver(w->fleet, 0, &ev));
}

/* How long after the naming a VM last used the old weights. */
static bbm_time
used_for(const world *w, int vm, bbm_time named_at)
{
    return w->last_sent_at[vm] - named_at;
}

/* Names a version, and runs until no VM uses the old weights. */
static bbm_time
play(world *w, bbm_time late_until)
{
    bbm_time named_at = fleet_now(w->fleet);
    name_version(w, 2);
    run(w, late_until);
    net_isolate(fleet_net(w->fleet), LATE, false);
    run(w, OLD_WEIGHTS_MAX + LATENESS + BBM_SECOND);
    for (int vm = 0; vm < w->vms; vm++)
        printf("VM %d used the old weights for %lld ms\n", vm,
               (long long)(used_for(w, vm, named_at) / BBM_MS));
    return named_at;
}

static void
check_in_time_vms(const world *w, bbm_time named_at)
{
    for (int vm = 0; vm < LATE; vm++) {
        ck_assert_int_lt(used_for(w, vm, named_at), OLD_WEIGHTS_MAX);
        ck_assert_int_ge(used_for(w, vm, named_at),
                         OLD_WEIGHTS_MAX - UNUSED_TIME_MAX);
    }
}

START_TEST(frozen_vm_counts_from_the_naming)
{
    world w;
    create_world(&w);
    fleet_freeze(w.fleet, LATE, FREEZE_TIME);
    bbm_time named_at = play(&w, LATENESS);
    check_in_time_vms(&w, named_at);
    ck_assert_int_gt(used_for(&w, LATE, named_at), LATENESS);
    ck_assert_int_lt(used_for(&w, LATE, named_at), OLD_WEIGHTS_MAX);
    destroy_world(&w);
}
END_TEST

START_TEST(cut_off_vm_counts_from_the_naming)
{
    world w;
    create_world(&w);
    net_isolate(fleet_net(w.fleet), LATE, true);
    bbm_time named_at = play(&w, LATENESS);
    check_in_time_vms(&w, named_at);
    ck_assert_int_gt(used_for(&w, LATE, named_at), LATENESS);
    ck_assert_int_lt(used_for(&w, LATE, named_at), OLD_WEIGHTS_MAX);
    destroy_world(&w);
}
END_TEST

/* VM 9 is the parent of VMs 6 to 8, which look for another one after two polls
   without an answer. */
START_TEST(children_of_a_frozen_vm_count_from_the_naming)
{
    world w;
    create_world_of(&w, VMS_MAX);
    fleet_freeze(w.fleet, 9, FREEZE_TIME);
    bbm_time named_at = play(&w, LATENESS);
    for (int vm = 0; vm < VMS_MAX; vm++) {
        ck_assert_int_lt(used_for(&w, vm, named_at), OLD_WEIGHTS_MAX);
        ck_assert_int_ge(used_for(&w, vm, named_at),
                         OLD_WEIGHTS_MAX - UNUSED_TIME_MAX);
    }
    destroy_world(&w);
}
END_TEST

/* One VM that hears late and one that hears in time have wrong calendars. */
static void
play_wrong_calendars(int64_t offset_ms, bool is_frozen)
{
    world w;
    create_world(&w);
    fleet_set_wall_offset(w.fleet, 1, offset_ms);
    fleet_set_wall_offset(w.fleet, LATE, offset_ms);
    run(&w, BBM_SECOND);
    if (is_frozen)
        fleet_freeze(w.fleet, LATE, FREEZE_TIME);
    else
        net_isolate(fleet_net(w.fleet), LATE, true);
    bbm_time named_at = play(&w, LATENESS);
    ck_assert_int_lt(used_for(&w, 1, named_at), OLD_WEIGHTS_MAX);
    ck_assert_int_ge(used_for(&w, 1, named_at),
                     OLD_WEIGHTS_MAX - UNUSED_TIME_MAX - POLL_PERIOD);
    ck_assert_int_gt(used_for(&w, LATE, named_at), LATENESS);
    ck_assert_int_lt(used_for(&w, LATE, named_at),
                     OLD_WEIGHTS_MAX + (offset_ms < 0 ? UNPROVED_AGE_MAX : 0));
    destroy_world(&w);
}

START_TEST(wrong_calendars_lose_no_more_than_the_unproved_age)
{
    play_wrong_calendars(-CALENDAR_ERROR_MS, true);
    play_wrong_calendars(-CALENDAR_ERROR_MS, false);
    play_wrong_calendars(CALENDAR_ERROR_MS, true);
    play_wrong_calendars(CALENDAR_ERROR_MS, false);
}
END_TEST

/* The calendar of the VM that names the version is wrong for all others. */
static void
play_wrong_leader(int64_t offset_ms)
{
    world w;
    create_world(&w);
    fleet_set_wall_offset(w.fleet, 0, offset_ms);
    run(&w, BBM_SECOND);
    net_isolate(fleet_net(w.fleet), LATE, true);
    bbm_time named_at = play(&w, LATENESS);
    for (int vm = 0; vm < LATE; vm++) {
        ck_assert_int_lt(used_for(&w, vm, named_at), OLD_WEIGHTS_MAX);
        ck_assert_int_ge(used_for(&w, vm, named_at),
                         OLD_WEIGHTS_MAX - UNUSED_TIME_MAX - POLL_PERIOD);
    }
    ck_assert_int_lt(used_for(&w, LATE, named_at),
                     OLD_WEIGHTS_MAX + (offset_ms > 0 ? UNPROVED_AGE_MAX : 0));
    destroy_world(&w);
}

START_TEST(wrong_calendar_of_the_leader_makes_no_vm_late)
{
    play_wrong_leader(-CALENDAR_ERROR_MS);
    play_wrong_leader(CALENDAR_ERROR_MS);
}
END_TEST

/* Neither has a view of before, so their calendar alone counts. */
START_TEST(joining_vm_and_restarted_leader_count_from_the_naming)
{
    for (int vm = 0; vm <= LATE; vm += LATE) {
        world w;
        create_world(&w);
        bbm_time named_at = fleet_now(w.fleet);
        name_version(&w, 2);
        run(&w, LATENESS);
        fleet_crash(w.fleet, vm);
        run(&w, BBM_SECOND);
        fleet_start(w.fleet, vm);
        run(&w, OLD_WEIGHTS_MAX);
        ck_assert_int_lt(used_for(&w, vm, named_at), OLD_WEIGHTS_MAX);
        ck_assert_int_ge(used_for(&w, vm, named_at),
                         OLD_WEIGHTS_MAX - UNUSED_TIME_MAX);
        destroy_world(&w);
    }
}
END_TEST

TEST_MAIN("weights_age", frozen_vm_counts_from_the_naming,
          cut_off_vm_counts_from_the_naming,
          children_of_a_frozen_vm_count_from_the_naming,
          wrong_calendars_lose_no_more_than_the_unproved_age,
          wrong_calendar_of_the_leader_makes_no_vm_late,
          joining_vm_and_restarted_leader_count_from_the_naming);
