/* A cluster of 20 failure detectors on a simulated network: detection of
   stopped, restarted and leaving VMs, and no false detection under pauses and
   packet loss. */
#include "bbm_members.h"
#include "net.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define VMS 20
#define STEP_TIME (50 * BBM_MS)

typedef struct cluster {
    bbm_members *vms[VMS];
    bbm_time frozen_until[VMS]; /* messages are delivered then */
    net net;
    bbm_time now;
    int dead_reports; /* changes to dead, over all VMs */
    uint64_t bytes;   /* sent by all VMs */
} cluster;

static void
vm_name(int i, char name[BBM_NAME_SIZE])
{
    snprintf(name, BBM_NAME_SIZE, "vm-%d", i);
}

static void
start_vm(cluster *c, int i, uint64_t run)
{
    bbm_members_desc desc = {.run = run, .seed = run + (uint64_t)i};
    vm_name(i, desc.self.name);
    snprintf(desc.self.address, BBM_ADDRESS_SIZE, "10.0.0.%d:7400", i);
    bbm_members_destroy(c->vms[i]);
    c->vms[i] = bbm_members_create(&desc);
    bbm_members_add_peer(c->vms[i], "vm-0", "10.0.0.0:7400");
    bbm_members_add_peer(c->vms[i], "vm-1", "10.0.0.1:7400");
}

static void
drain_outputs(cluster *c, int i)
{
    bbm_members_output *out;
    while ((out = bbm_members_next_output(c->vms[i])) != NULL) {
        if (!out->changed) {
            c->bytes += out->bytes.len;
            net_send(&c->net, c->now, i, atoi(out->member + 3),
                     out->bytes.data, out->bytes.len);
            continue;
        }
        const bbm_member *m = bbm_members_find(c->vms[i], out->member);
        c->dead_reports += m && m->status == BBM_MEMBER_DEAD;
    }
}

static bool
is_running(const cluster *c, int i)
{
    return c->vms[i] && c->now >= c->frozen_until[i];
}

static void
advance(cluster *c, bbm_time span)
{
    bbm_time until = c->now + span;
    while (c->now < until) {
        c->now += STEP_TIME;
        net_message message;
        while (net_receive(&c->net, c->now, &message)) {
            if (is_running(c, message.to)) {
                bbm_members_receive(c->vms[message.to], message.bytes.data,
                                    message.bytes.len, c->now);
                drain_outputs(c, message.to);
            }
            else if (c->vms[message.to]) {
                net_send(&c->net, c->frozen_until[message.to], message.from,
                         message.to, message.bytes.data, message.bytes.len);
            }
            bbm_buf_free(&message.bytes);
        }
        for (int i = 0; i < VMS; i++) {
            if (!is_running(c, i))
                continue;
            bbm_members_tick(c->vms[i], c->now);
            drain_outputs(c, i);
        }
    }
}

static void
setup_with_seed(cluster *c, double loss, uint64_t seed)
{
    *c = (cluster){.now = 100 * BBM_SECOND};
    net_init(&c->net, &(net_desc){.seed = seed, .delay_max = 20 * BBM_MS});
    for (int i = 0; i < VMS; i++)
        start_vm(c, i, seed);
    advance(c, 30 * BBM_SECOND);
    c->net.desc.loss = loss;
    c->dead_reports = 0;
}

static void
setup(cluster *c, double loss)
{
    setup_with_seed(c, loss, 1);
}

static void
teardown(cluster *c)
{
    for (int i = 0; i < VMS; i++)
        bbm_members_destroy(c->vms[i]);
    net_free(&c->net);
}

/* Number of other VMs that have this VM in the given status. */
static int
count_views(const cluster *c, int vm, bbm_member_status status)
{
    char name[BBM_NAME_SIZE];
    int count = 0;
    vm_name(vm, name);
    for (int i = 0; i < VMS; i++) {
        if (i == vm || !c->vms[i])
            continue;
        const bbm_member *m = bbm_members_find(c->vms[i], name);
        count += m && m->status == status;
    }
    return count;
}

START_TEST(all_find_each_other)
{
    cluster c;
    setup(&c, 0);
    for (int i = 0; i < VMS; i++)
        ck_assert_int_eq(count_views(&c, i, BBM_MEMBER_ALIVE), VMS - 1);
    teardown(&c);
}
END_TEST

START_TEST(a_stopped_vm_is_declared_dead_by_all)
{
    cluster c;
    setup(&c, 0);
    bbm_members_destroy(c.vms[7]);
    c.vms[7] = NULL;
    advance(&c, 20 * BBM_SECOND);
    ck_assert_int_eq(count_views(&c, 7, BBM_MEMBER_DEAD), VMS - 1);
    teardown(&c);
}
END_TEST

START_TEST(a_pause_of_five_seconds_is_tolerated)
{
    cluster c;
    setup(&c, 0);
    for (int i = 0; i < VMS; i += 4) {
        c.frozen_until[i] = c.now + 5 * BBM_SECOND;
        advance(&c, 8 * BBM_SECOND);
    }
    advance(&c, 10 * BBM_SECOND);
    ck_assert_int_eq(c.dead_reports, 0);
    for (int i = 0; i < VMS; i++)
        ck_assert_int_eq(count_views(&c, i, BBM_MEMBER_ALIVE), VMS - 1);
    teardown(&c);
}
END_TEST

START_TEST(ten_percent_packet_loss_is_tolerated)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        cluster c;
        setup_with_seed(&c, 0.1, seed);
        advance(&c, 120 * BBM_SECOND);
        ck_assert_int_eq(c.dead_reports, 0);
        teardown(&c);
    }
}
END_TEST

START_TEST(a_quick_restart_is_detected_by_its_run)
{
    cluster c;
    setup(&c, 0);
    start_vm(&c, 5, 2);
    advance(&c, 15 * BBM_SECOND);
    for (int i = 0; i < VMS; i++) {
        const bbm_member *m = bbm_members_find(c.vms[i], "vm-5");
        ck_assert_uint_eq(m->run, 2);
        ck_assert_int_eq(m->status, BBM_MEMBER_ALIVE);
    }
    teardown(&c);
}
END_TEST

START_TEST(a_leaving_vm_is_reported_and_stays_alive)
{
    cluster c;
    setup(&c, 0);
    bbm_members_update_self(c.vms[3], true, true, 0, 1);
    advance(&c, 8 * BBM_SECOND);
    for (int i = 0; i < VMS; i++) {
        const bbm_member *m = bbm_members_find(c.vms[i], "vm-3");
        ck_assert(m->leaving);
        ck_assert_int_eq(m->status, BBM_MEMBER_ALIVE);
    }
    teardown(&c);
}
END_TEST

START_TEST(traffic_is_bounded)
{
    cluster c;
    setup(&c, 0);
    c.bytes = 0;
    advance(&c, 60 * BBM_SECOND);
    /* All control traffic of a VM is limited to 2 KB/s. */
    ck_assert_uint_le(c.bytes / 60 / VMS, 2048);
    teardown(&c);
}
END_TEST

TEST_MAIN("members", all_find_each_other, a_stopped_vm_is_declared_dead_by_all,
          a_pause_of_five_seconds_is_tolerated,
          ten_percent_packet_loss_is_tolerated,
          a_quick_restart_is_detected_by_its_run,
          a_leaving_vm_is_reported_and_stays_alive, traffic_is_bounded);
