#include "bbm_members.h"
#include "net.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

#define VMS 20
#define STEP (50 * BBM_MS)

typedef struct world {
    bbm_members *vms[VMS];
    bbm_time frozen_until[VMS];
    net net;
    bbm_time now;
    int deaths; /* times that anybody was thought dead */
    uint64_t bytes;
} world;

static void
name_of(int i, char name[BBM_NAME_SIZE])
{
    snprintf(name, BBM_NAME_SIZE, "vm-%d", i);
}

static void
start(world *w, int i, uint64_t run)
{
    bbm_members_desc desc = {.run = run, .seed = run + (uint64_t)i};
    name_of(i, desc.self.name);
    snprintf(desc.self.address, BBM_ADDRESS_SIZE, "10.0.0.%d:7400", i);
    bbm_members_destroy(w->vms[i]);
    w->vms[i] = bbm_members_create(&desc);
    bbm_members_add_peer(w->vms[i], "vm-0", "10.0.0.0:7400");
    bbm_members_add_peer(w->vms[i], "vm-1", "10.0.0.1:7400");
}

static void
drain(world *w, int i)
{
    bbm_members_output *out;
    while ((out = bbm_members_next_output(w->vms[i])) != NULL) {
        if (!out->changed) {
            w->bytes += out->bytes.len;
            net_send(&w->net, w->now, i, atoi(out->member + 3),
                     out->bytes.data, out->bytes.len);
            continue;
        }
        const bbm_member *m = bbm_members_find(w->vms[i], out->member);
        w->deaths += m && m->status == BBM_MEMBER_DEAD;
    }
}

static bool
runs(const world *w, int i)
{
    return w->vms[i] && w->now >= w->frozen_until[i];
}

static void
pass(world *w, bbm_time span)
{
    bbm_time end = w->now + span;
    while (w->now < end) {
        w->now += STEP;
        net_message m;
        while (net_receive(&w->net, w->now, &m)) {
            if (runs(w, m.to)) {
                bbm_members_receive(w->vms[m.to], m.bytes.data, m.bytes.len,
                                    w->now);
                drain(w, m.to);
            }
            else if (w->vms[m.to]) {
                net_send(&w->net, w->frozen_until[m.to], m.from, m.to,
                         m.bytes.data, m.bytes.len);
            }
            bbm_buf_free(&m.bytes);
        }
        for (int i = 0; i < VMS; i++) {
            if (!runs(w, i))
                continue;
            bbm_members_tick(w->vms[i], w->now);
            drain(w, i);
        }
    }
}

static void
begin_seeded(world *w, double loss, uint64_t seed)
{
    *w = (world){.now = 100 * BBM_SECOND};
    net_init(&w->net, &(net_desc){.seed = seed, .delay_max = 20 * BBM_MS});
    for (int i = 0; i < VMS; i++)
        start(w, i, seed);
    pass(w, 30 * BBM_SECOND);
    w->net.desc.loss = loss;
    w->deaths = 0;
}

static void
begin(world *w, double loss)
{
    begin_seeded(w, loss, 1);
}

static void
end(world *w)
{
    for (int i = 0; i < VMS; i++)
        bbm_members_destroy(w->vms[i]);
    net_free(&w->net);
}

/* VMs that see one in a status. */
static int
seen(const world *w, int of, bbm_member_status status)
{
    char name[BBM_NAME_SIZE];
    int count = 0;
    name_of(of, name);
    for (int i = 0; i < VMS; i++) {
        if (i == of || !w->vms[i])
            continue;
        const bbm_member *m = bbm_members_find(w->vms[i], name);
        count += m && m->status == status;
    }
    return count;
}

START_TEST(all_find_each_other)
{
    world w;
    begin(&w, 0);
    for (int i = 0; i < VMS; i++)
        ck_assert_int_eq(seen(&w, i, BBM_MEMBER_ALIVE), VMS - 1);
    end(&w);
}
END_TEST

START_TEST(a_lost_vm_is_dead_to_all_in_seconds)
{
    world w;
    begin(&w, 0);
    bbm_members_destroy(w.vms[7]);
    w.vms[7] = NULL;
    pass(&w, 20 * BBM_SECOND);
    ck_assert_int_eq(seen(&w, 7, BBM_MEMBER_DEAD), VMS - 1);
    end(&w);
}
END_TEST

START_TEST(a_freeze_of_five_seconds_kills_nobody)
{
    world w;
    begin(&w, 0);
    for (int i = 0; i < VMS; i += 4) {
        w.frozen_until[i] = w.now + 5 * BBM_SECOND;
        pass(&w, 8 * BBM_SECOND);
    }
    pass(&w, 10 * BBM_SECOND);
    ck_assert_int_eq(w.deaths, 0);
    for (int i = 0; i < VMS; i++)
        ck_assert_int_eq(seen(&w, i, BBM_MEMBER_ALIVE), VMS - 1);
    end(&w);
}
END_TEST

START_TEST(loss_of_a_tenth_kills_nobody)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        world w;
        begin_seeded(&w, 0.1, seed);
        pass(&w, 120 * BBM_SECOND);
        ck_assert_int_eq(w.deaths, 0);
        end(&w);
    }
}
END_TEST

START_TEST(a_restart_within_a_second_is_seen)
{
    world w;
    begin(&w, 0);
    start(&w, 5, 2);
    pass(&w, 15 * BBM_SECOND);
    for (int i = 0; i < VMS; i++) {
        const bbm_member *m = bbm_members_find(w.vms[i], "vm-5");
        ck_assert_uint_eq(m->run, 2);
        ck_assert_int_eq(m->status, BBM_MEMBER_ALIVE);
    }
    end(&w);
}
END_TEST

START_TEST(leaving_is_told_and_is_not_dead)
{
    world w;
    begin(&w, 0);
    bbm_members_update_self(w.vms[3], true, true, 0, 1);
    pass(&w, 8 * BBM_SECOND);
    for (int i = 0; i < VMS; i++) {
        const bbm_member *m = bbm_members_find(w.vms[i], "vm-3");
        ck_assert(m->leaving);
        ck_assert_int_eq(m->status, BBM_MEMBER_ALIVE);
    }
    end(&w);
}
END_TEST

START_TEST(its_bytes_are_bounded)
{
    world w;
    begin(&w, 0);
    w.bytes = 0;
    pass(&w, 60 * BBM_SECOND);
    /* The letter's 2 KB/s for all of control. */
    ck_assert_uint_le(w.bytes / 60 / VMS, 2048);
    end(&w);
}
END_TEST

TEST_MAIN("members", all_find_each_other, a_lost_vm_is_dead_to_all_in_seconds,
          a_freeze_of_five_seconds_kills_nobody, loss_of_a_tenth_kills_nobody,
          a_restart_within_a_second_is_seen, leaving_is_told_and_is_not_dead,
          its_bytes_are_bounded);
