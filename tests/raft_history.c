#include "raft_history.h"

#include "fake_disk.h"
#include "net.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERS_MOST 5
#define STEP (5 * BBM_MS)
#define ELECTION (150 * BBM_MS)
#define DRIFT_PPM ((int64_t)1000)
#define COMMANDS_MOST 65536
#define ENTRIES_MOST 65536
#define SNAPSHOT_EVERY 40
/* After the faults the group has so long to serve again. */
#define HEAL_STEPS 2000

typedef struct place {
    bbm_raft *raft;
    bbm_member_id id;
    fake_disk disk;
    bool up;
    bool lost; /* its first folder is gone: a newcomer outside the group */
    bbm_time frozen_until;
    bbm_time offset;
    int64_t ppm;
    uint64_t applied;
    uint64_t value; /* last command applied */
} place;

typedef struct history {
    raft_history_desc desc;
    raft_history_result result;
    bbm_rng rng;
    net net;
    place places[MEMBERS_MOST];
    bbm_time now;
    uint64_t log[ENTRIES_MOST]; /* command at each index, once applied */
    bool known[ENTRIES_MOST];
    uint64_t proposed_at[ENTRIES_MOST]; /* by index: command of a leader */
    uint64_t next_command;
    uint64_t acked; /* highest command acknowledged */
    bbm_member_id next_id;
    bool healing;
} history;

static void
broken(history *h, const char *what)
{
    if (!h->result.broken)
        h->result.broken = what;
}

/* A member's clock drifts from the true time. */
static bbm_time
clock_of(const history *h, const place *p)
{
    return p->offset + h->now + h->now / 1000000 * p->ppm;
}

/* ---- members ---- */

static void
start(history *h, place *p)
{
    bbm_raft_saved saved;
    fake_disk_load(&p->disk, &saved);
    bbm_raft_desc desc = {
        .id = p->id,
        .seed = h->desc.seed + (uint64_t)(p - h->places),
        .election_timeout = ELECTION,
        .drift_ppm = 2 * DRIFT_PPM,
        .saved = &saved,
        .now = clock_of(h, p),
        .unsafe_no_lease = h->desc.weakness == RAFT_NO_LEASE,
        .unsafe_no_sync = h->desc.weakness == RAFT_NO_SYNC,
    };
    p->raft = bbm_raft_create(&desc);
    p->up = true;
    p->applied = p->disk.snapshot.index;
    p->value = 0;
}

static void
stop(place *p)
{
    bbm_raft_destroy(p->raft);
    p->raft = NULL;
    p->up = false;
}

static int
place_of(const history *h, bbm_member_id id)
{
    for (int i = 0; i < h->desc.members; i++) {
        if (h->places[i].id == id)
            return i;
    }
    return -1;
}

static uint64_t
command_of(const bbm_entry *e)
{
    uint64_t command = 0;
    if (e->kind == BBM_ENTRY_COMMAND && e->len == sizeof(command))
        memcpy(&command, e->data, sizeof(command));
    return command;
}

static void
apply(history *h, place *p, const bbm_entry *e)
{
    if (e->index != p->applied + 1)
        broken(h, "entries are applied in order");
    p->applied = e->index;
    uint64_t command = command_of(e);
    if (e->index >= ENTRIES_MOST)
        return;
    if (h->known[e->index] && h->log[e->index] != command)
        broken(h, "all members apply the same entries");
    h->known[e->index] = true;
    h->log[e->index] = command;
    if (!command)
        return;
    p->value = command;
    /* The member that leads acknowledges its commands when it applies. */
    bool ours = bbm_raft_role_of(p->raft) == BBM_LEADER
                && h->proposed_at[e->index] == command;
    if (ours && command > h->acked) {
        h->result.acknowledged++;
        h->acked = command;
    }
}

static void
restore(place *p, const bbm_raft_output *out)
{
    p->applied = out->u.restore.index;
    if (out->u.restore.data.len == sizeof(p->value))
        memcpy(&p->value, out->u.restore.data.data, sizeof(p->value));
}

static void
queue_persist(history *h, place *p, bbm_raft_output *out)
{
    bbm_time due =
        h->now + (bbm_time)bbm_rng_below(&h->rng, 20 * (uint64_t)BBM_MS);
    fake_disk_write(&p->disk, &out->u.persist, due);
}

static void
compact(place *p)
{
    if (bbm_raft_log_len(p->raft) < SNAPSHOT_EVERY)
        return;
    bbm_buf data = {0};
    bbm_buf_add(&data, &p->value, sizeof(p->value));
    bbm_raft_compact(p->raft, p->applied, data);
}

static void
drain(history *h, int i)
{
    place *p = &h->places[i];
    bbm_raft_output *out;
    while ((out = bbm_raft_next_output(p->raft)) != NULL) {
        int to;
        switch (out->kind) {
        case BBM_RAFT_SEND:
            to = place_of(h, out->u.send.to);
            if (to >= 0)
                net_send(&h->net, h->now, i, to, out->u.send.bytes.data,
                         out->u.send.bytes.len);
            break;
        case BBM_RAFT_PERSIST:
            queue_persist(h, p, out);
            break;
        case BBM_RAFT_COMMIT:
            apply(h, p, &out->u.commit);
            break;
        case BBM_RAFT_RESTORE:
            restore(p, out);
            break;
        case BBM_RAFT_ROLE:
            h->result.leaders += bbm_raft_role_of(p->raft) == BBM_LEADER;
            break;
        case BBM_RAFT_GROUP:
            break;
        }
    }
}

static bool
runs(const history *h, const place *p)
{
    return p->up && h->now >= p->frozen_until;
}

static void
sync_disk(history *h, int i)
{
    place *p = &h->places[i];
    uint64_t seq;
    while (fake_disk_sync(&p->disk, h->now, &seq)) {
        bbm_raft_persisted(p->raft, seq, clock_of(h, p));
        drain(h, i);
    }
}

/* ---- faults ---- */

static int
pick_place(history *h)
{
    return (int)bbm_rng_below(&h->rng, (uint64_t)h->desc.members);
}

static int
count_down(const history *h)
{
    int down = 0;
    for (int i = 0; i < h->desc.members; i++)
        down += !h->places[i].up || h->places[i].lost;
    return down;
}

/* Writes on their way to the disk are lost from some point on. */
static void
crash(history *h, place *p)
{
    size_t most = p->disk.writes_len + 1;
    fake_disk_crash(&p->disk, (size_t)bbm_rng_below(&h->rng, most));
    stop(p);
    h->result.crashes++;
}

static void
lose_disk(history *h, place *p)
{
    stop(p);
    fake_disk_clear(&p->disk);
    h->result.lost_disks++;
    if (h->desc.weakness == RAFT_OLD_IDENTITY)
        return;
    p->lost = true;
    p->id = h->next_id++;
}

static void
freeze(history *h, place *p)
{
    uint64_t most = 8 * (uint64_t)ELECTION;
    p->frozen_until = h->now + (bbm_time)bbm_rng_below(&h->rng, most);
    h->result.freezes++;
}

/* The whole group, most of which is back at once. */
static void
crash_all(history *h)
{
    for (int i = 0; i < h->desc.members; i++) {
        place *p = &h->places[i];
        if (p->up)
            crash(h, p);
        if (!p->up && bbm_rng_below(&h->rng, 5) > 0)
            start(h, p);
    }
}

/* Two members that don't hear each other, though a third hears both. */
static void
cut_pair(history *h)
{
    int a = pick_place(h);
    int b = pick_place(h);
    h->net.blocked[a][b] = true;
    h->net.blocked[b][a] = true;
    h->result.cuts++;
}

static void
make_fault(history *h)
{
    place *p = &h->places[pick_place(h)];
    int minority = (h->desc.members - 1) / 2;
    bool weak_disk = h->desc.weakness == RAFT_OLD_IDENTITY;
    switch (bbm_rng_below(&h->rng, 8)) {
    case 0:
        if (p->up)
            crash(h, p);
        return;
    case 1:
        if (!p->up)
            start(h, p);
        return;
    case 2:
        if (p->up)
            freeze(h, p);
        return;
    case 3:
        net_isolate(&h->net, pick_place(h), true);
        h->result.cuts++;
        return;
    case 4:
        net_isolate(&h->net, pick_place(h), false);
        return;
    case 5:
        cut_pair(h);
        return;
    case 6:
        if (bbm_rng_below(&h->rng, 12) == 0)
            crash_all(h);
        return;
    case 7:
        /* Only as many disks as the group can lose. */
        if (p->up && !p->lost && (weak_disk || count_down(h) < minority)
            && bbm_rng_below(&h->rng, 4) == 0)
            lose_disk(h, p);
        return;
    }
}

/* ---- clients ---- */

static void
propose(history *h)
{
    place *p = &h->places[pick_place(h)];
    if (!runs(h, p) || h->next_command >= COMMANDS_MOST)
        return;
    uint64_t command = ++h->next_command;
    uint64_t index = 0;
    int rc = bbm_raft_propose(p->raft, (uint8_t *)&command, sizeof(command),
                              clock_of(h, p), &index);
    if (rc == 0 && index < ENTRIES_MOST) {
        h->proposed_at[index] = command;
        h->result.proposed++;
    }
    drain(h, (int)(p - h->places));
}

/* A read under the lease sees every command acknowledged before it. */
static void
read_value(history *h)
{
    place *p = &h->places[pick_place(h)];
    if (!runs(h, p))
        return;
    bbm_time now = clock_of(h, p);
    bbm_raft_tick(p->raft, now);
    drain(h, (int)(p - h->places));
    if (bbm_raft_lease_until(p->raft) <= now)
        return;
    h->result.reads++;
    if (p->value < h->acked)
        broken(h, "a read under the lease sees what was acknowledged");
}

static void
check_leases(history *h)
{
    int leases = 0;
    for (int i = 0; i < h->desc.members; i++) {
        const place *p = &h->places[i];
        if (p->up && bbm_raft_lease_until(p->raft) > clock_of(h, p))
            leases++;
    }
    if (leases > 1)
        broken(h, "at most one member holds the lease");
}

/* ---- the run ---- */

static void
step(history *h)
{
    h->now += STEP;
    net_message mail;
    while (net_receive(&h->net, h->now, &mail)) {
        place *p = &h->places[mail.to];
        if (runs(h, p)) {
            bbm_raft_receive(p->raft, mail.bytes.data, mail.bytes.len,
                             clock_of(h, p));
            drain(h, mail.to);
        }
        else if (p->up) {
            /* A frozen process finds it when it goes on. */
            net_send(&h->net, p->frozen_until, mail.from, mail.to,
                     mail.bytes.data, mail.bytes.len);
        }
        bbm_buf_free(&mail.bytes);
    }
    for (int i = 0; i < h->desc.members; i++) {
        place *p = &h->places[i];
        if (!runs(h, p))
            continue;
        sync_disk(h, i);
        bbm_raft_tick(p->raft, clock_of(h, p));
        drain(h, i);
        compact(p);
        drain(h, i);
    }
    check_leases(h);
}

static void
begin(history *h)
{
    bbm_raft_member members[MEMBERS_MOST] = {0};
    for (int i = 0; i < h->desc.members; i++) {
        place *p = &h->places[i];
        p->id = h->next_id++;
        p->offset = (bbm_time)bbm_rng_below(&h->rng, 1000) * BBM_SECOND;
        p->ppm = (int64_t)bbm_rng_below(&h->rng, 2 * (uint64_t)DRIFT_PPM)
                 - DRIFT_PPM;
        members[i].id = p->id;
        members[i].voter = true;
        start(h, p);
    }
    bbm_raft_bootstrap(h->places[0].raft, members, (size_t)h->desc.members,
                       clock_of(h, &h->places[0]));
    drain(h, 0);
    /* Until the founding is on every disk nothing may be lost. */
    for (int i = 0; i < 400; i++)
        step(h);
}

/* All faults end; the group must serve, and hold what was acknowledged. */
static void
heal(history *h)
{
    net_heal(&h->net);
    for (int i = 0; i < h->desc.members; i++) {
        h->places[i].frozen_until = 0;
        if (!h->places[i].up)
            start(h, &h->places[i]);
    }
    int before = h->result.acknowledged;
    for (int i = 0; i < HEAL_STEPS; i++) {
        step(h);
        if (i % 20 == 0)
            propose(h);
    }
    /* The followers learn of the last commits a heartbeat later. */
    for (int i = 0; i < HEAL_STEPS / 10; i++)
        step(h);
    if (h->result.acknowledged == before)
        broken(h, "the group serves again after the faults");
    for (int i = 0; i < h->desc.members; i++) {
        const place *p = &h->places[i];
        if (!p->lost && p->value < h->acked)
            broken(h, "every acknowledged command is held");
    }
}

raft_history_result
raft_history_run(const raft_history_desc *desc)
{
    history *h = bbm_calloc(1, sizeof(*h));
    h->desc = *desc;
    h->rng = bbm_rng_of(desc->seed);
    h->next_id = 1;
    net_init(
        &h->net,
        &(net_desc){.seed = desc->seed, .loss = 0, .delay_max = 20 * BBM_MS});
    begin(h);
    h->net.desc.loss = 0.05 * bbm_rng_unit(&h->rng);
    h->net.desc.duplicated = 0.1 * bbm_rng_unit(&h->rng);
    h->net.desc.delay_max = (bbm_time)(1 + bbm_rng_below(&h->rng, 60)) * BBM_MS;
    /* Busy histories and quiet ones, in which logs don't tell members apart.
     */
    uint64_t pause = desc->seed % 2 ? 1 : 60;
    for (int i = 0; i < desc->steps && !h->result.broken; i++) {
        step(h);
        if (bbm_rng_below(&h->rng, pause) == 0)
            propose(h);
        read_value(h);
        if (bbm_rng_below(&h->rng, 25) == 0)
            make_fault(h);
    }
    if (!h->result.broken)
        heal(h);
    raft_history_result result = h->result;
    for (int i = 0; i < desc->members; i++) {
        bbm_raft_destroy(h->places[i].raft);
        fake_disk_clear(&h->places[i].disk);
    }
    net_free(&h->net);
    free(h);
    return result;
}
