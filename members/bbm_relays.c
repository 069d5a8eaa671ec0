#include "bbm_relays.h"

#include "bbm_table.h"

#include <string.h>

/* Messages that a VM with a disk, and one without, sends of the same totals.
   With 63 VMs totals are 3.2 kB, 16 times per second: to 15 VMs they would
   take 0.6 of a link of 10 Mbit/s, to 4 VMs 0.16. */
#define FANOUT_DISK 32
#define FANOUT_WEAK 4
/* A VM is behind if it hasn't received totals that were sent this number of
   periods and this time before: they wait for its next report, which waits
   for the leader's next totals, and all three may be delayed. */
#define LATE_PERIODS 3
#define LATE_TIME (50 * BBM_MS)
/* A VM that was behind gets the totals directly for this time.  It would fall
   behind again at once if its relay is still lost. */
#define DIRECT_TIME (2 * BBM_SECOND)
/* A relay with which half of its zone fell behind isn't chosen for this time;
   by then a VM that is dead is no longer a member. */
#define AVOID_TIME (10 * BBM_SECOND)
/* A VM that hasn't reported for this time is forgotten. */
#define FORGET_TIME (60 * BBM_SECOND)
/* Last totals that are remembered.  At the shortest period of 40 ms they
   cover 640 ms. */
#define SENT_MAX 16

typedef struct vm_state {
    char name[BBM_NAME_SIZE];
    bbm_time first_heard_at;
    bbm_time heard_at;
    uint64_t number; /* latest totals that it has stated */
    bbm_time direct_until;
    bbm_time avoid_until; /* as a relay */
    UT_hash_handle hh;
} vm_state;

typedef struct zone_state {
    char name[BBM_NAME_SIZE];
    char relay[BBM_NAME_SIZE]; /* "": none */
    UT_hash_handle hh;
} zone_state;

struct bbm_relays {
    vm_state *vms;
    zone_state *zones;
    uint64_t sent_numbers[SENT_MAX];
    bbm_time sent_at[SENT_MAX];
    size_t sent_len; /* so far; the ring's next index modulo SENT_MAX */
    bbm_relays_send sends[BBM_RELAYS_VMS_MAX];
    const char *names[BBM_RELAYS_VMS_MAX];
    size_t names_len;
    bbm_relays_plan plan;
};

bbm_relays *
bbm_relays_create(void)
{
    return bbm_calloc(1, sizeof(bbm_relays));
}

void
bbm_relays_destroy(bbm_relays *r)
{
    if (!r)
        return;
    BBM_TABLE_FREE(vm_state, r->vms);
    BBM_TABLE_FREE(zone_state, r->zones);
    free(r);
}

static vm_state *
find_vm(const bbm_relays *r, const char *name)
{
    vm_state *vm = NULL;
    HASH_FIND_STR(r->vms, name, vm);
    return vm;
}

void
bbm_relays_hear(bbm_relays *r, const char *name, uint64_t number, bbm_time now)
{
    vm_state *vm = find_vm(r, name);
    if (!vm) {
        vm = bbm_calloc(1, sizeof(*vm));
        bbm_name_set(vm->name, name);
        vm->first_heard_at = now;
        HASH_ADD_STR(r->vms, name, vm);
    }
    vm->heard_at = now;
    vm->number = number;
}

static zone_state *
get_zone(bbm_relays *r, const char *name)
{
    zone_state *z = NULL;
    HASH_FIND_STR(r->zones, name, z);
    if (!z) {
        z = bbm_calloc(1, sizeof(*z));
        bbm_name_set(z->name, name);
        HASH_ADD_STR(r->zones, name, z);
    }
    return z;
}

static bbm_time
late_time(const bbm_relays_query *q)
{
    return q->period * LATE_PERIODS + LATE_TIME;
}

/* The latest totals that all VMs should have stated by now; 0: none. */
static uint64_t
expected_number(const bbm_relays *r, const bbm_relays_query *q)
{
    uint64_t number = 0;
    for (size_t i = 0; i < SENT_MAX && i < r->sent_len; i++) {
        if (q->now - r->sent_at[i] >= late_time(q)
            && r->sent_numbers[i] > number)
            number = r->sent_numbers[i];
    }
    return number;
}

static bool
is_heard(const vm_state *vm, const bbm_relays_query *q)
{
    return vm && q->now - vm->heard_at < late_time(q);
}

static bool
is_late(const vm_state *vm, const bbm_relays_query *q, uint64_t expected)
{
    return is_heard(vm, q) && q->now - vm->first_heard_at >= late_time(q)
           && vm->number < expected;
}

static bool
gets_directly(const vm_state *vm, const bbm_relays_query *q)
{
    return vm && q->now < vm->direct_until;
}

static bool
is_in(const bbm_relays_vm *vm, const char *zone)
{
    return strcmp(vm->zone, zone) == 0;
}

/* Marks the VMs of a zone that are behind.  If it is half of those that its
   relay should reach, the relay has failed.  VMs that get the totals directly
   tell nothing about it. */
static void
find_late(bbm_relays *r, const bbm_relays_query *q, zone_state *z)
{
    uint64_t expected = expected_number(r, q);
    size_t late = 0;
    size_t reached = 0;
    for (size_t i = 0; i < q->vms_len; i++) {
        vm_state *vm = find_vm(r, q->vms[i].name);
        if (!is_in(&q->vms[i], z->name) || !is_heard(vm, q)
            || strcmp(vm->name, z->relay) == 0)
            continue;
        bool direct = gets_directly(vm, q);
        bool is_behind = is_late(vm, q, expected);
        reached += !direct;
        late += !direct && is_behind;
        if (is_behind)
            vm->direct_until = q->now + DIRECT_TIME;
    }
    vm_state *relay = find_vm(r, z->relay);
    if (is_late(relay, q, expected))
        relay->direct_until = q->now + DIRECT_TIME;
    if (relay && late > 0 && late * 2 >= reached)
        relay->avoid_until = q->now + AVOID_TIME;
}

static bool
may_be_relay(const bbm_relays *r, const bbm_relays_query *q,
             const bbm_relays_vm *vm, const char *zone)
{
    const vm_state *state = find_vm(r, vm->name);
    return is_in(vm, zone) && vm->may_relay && is_heard(state, q)
           && !gets_directly(state, q) && q->now >= state->avoid_until;
}

/* The present relay as long as it may be one, unless a VM with a disk can
   replace one without; else the first that may. */
static const bbm_relays_vm *
choose_relay(bbm_relays *r, const bbm_relays_query *q, zone_state *z)
{
    const bbm_relays_vm *best = NULL;
    for (size_t i = 0; i < q->vms_len; i++) {
        const bbm_relays_vm *vm = &q->vms[i];
        if (!may_be_relay(r, q, vm, z->name))
            continue;
        bool is_present = strcmp(vm->name, z->relay) == 0;
        if (!best || (vm->has_disk && !best->has_disk)
            || (is_present && vm->has_disk == best->has_disk))
            best = vm;
    }
    const char *name = best ? best->name : "";
    if (strcmp(z->relay, name) != 0) {
        bbm_name_set(z->relay, name);
        r->plan.changed = true;
        bbm_name_set(r->plan.zone, z->name);
        bbm_name_set(r->plan.relay, name);
    }
    return best;
}

static bbm_relays_send *
add_send(bbm_relays *r, const char *to)
{
    bbm_relays_send *s = &r->sends[r->plan.sends_len++];
    *s = (bbm_relays_send){.to = to, .names = &r->names[r->names_len]};
    return s;
}

/* Order of the names: those that forward to others come first, so they should
   be VMs with a disk, and not silent ones. */
static int
forward_rank(const bbm_relays *r, const bbm_relays_query *q,
             const bbm_relays_vm *vm)
{
    if (!vm->may_relay || !is_heard(find_vm(r, vm->name), q))
        return 2;
    return vm->has_disk ? 0 : 1;
}

static void
plan_zone(bbm_relays *r, const bbm_relays_query *q, const char *zone)
{
    zone_state *z = get_zone(r, zone);
    find_late(r, q, z);
    const bbm_relays_vm *relay = choose_relay(r, q, z);
    bbm_relays_send *s = relay ? add_send(r, relay->name) : NULL;
    r->plan.relays += relay != NULL;
    for (int rank = 0; rank <= 2 && s; rank++) {
        for (size_t i = 0; i < q->vms_len; i++) {
            const bbm_relays_vm *vm = &q->vms[i];
            if (vm == relay || !is_in(vm, zone)
                || gets_directly(find_vm(r, vm->name), q)
                || forward_rank(r, q, vm) != rank)
                continue;
            r->names[r->names_len++] = vm->name;
            s->names_len++;
        }
    }
    if (s)
        s->fanout = relay->has_disk ? FANOUT_DISK : FANOUT_WEAK;
    for (size_t i = 0; i < q->vms_len; i++) {
        const bbm_relays_vm *vm = &q->vms[i];
        bool direct = gets_directly(find_vm(r, vm->name), q);
        if (!is_in(vm, zone) || (relay && !direct))
            continue;
        add_send(r, vm->name);
        r->plan.late += direct;
    }
}

static void
forget_silent(bbm_relays *r, bbm_time now)
{
    vm_state *vm, *next;
    HASH_ITER(hh, r->vms, vm, next)
    {
        if (now - vm->heard_at <= FORGET_TIME)
            continue;
        HASH_DEL(r->vms, vm);
        free(vm);
    }
}

/* True if no VM before this one is in its zone. */
static bool
is_first_of_zone(const bbm_relays_query *q, size_t at)
{
    for (size_t i = 0; i < at; i++) {
        if (is_in(&q->vms[i], q->vms[at].zone))
            return false;
    }
    return true;
}

const bbm_relays_plan *
bbm_relays_make_plan(bbm_relays *r, const bbm_relays_query *q)
{
    bbm_relays_query bounded = *q;
    if (bounded.vms_len > BBM_RELAYS_VMS_MAX)
        bounded.vms_len = BBM_RELAYS_VMS_MAX;
    forget_silent(r, q->now);
    r->names_len = 0;
    r->plan = (bbm_relays_plan){.sends = r->sends};
    for (size_t i = 0; i < bounded.vms_len; i++) {
        if (is_in(&q->vms[i], q->zone))
            add_send(r, q->vms[i].name);
        else if (is_first_of_zone(&bounded, i))
            plan_zone(r, &bounded, q->vms[i].zone);
    }
    r->sent_numbers[r->sent_len % SENT_MAX] = q->number;
    r->sent_at[r->sent_len % SENT_MAX] = q->now;
    r->sent_len++;
    return &r->plan;
}

size_t
bbm_relays_heads(size_t len, size_t fanout)
{
    return len < fanout ? len : fanout;
}

size_t
bbm_relays_share(const char *const *names, size_t len, size_t fanout,
                 size_t head, const char **share)
{
    size_t heads = bbm_relays_heads(len, fanout);
    size_t share_len = 0;
    for (size_t i = head + heads; heads && i < len; i += heads)
        share[share_len++] = names[i];
    return share_len;
}
