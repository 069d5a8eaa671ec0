#include "raft_history.h"

#include "fake_disk.h"
#include "net.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERS_MAX 5
#define STEP_TIME (5 * BBM_MS)
#define ELECTION_TIMEOUT (150 * BBM_MS)
#define DRIFT_PPM ((int64_t)1000)
#define COMMANDS_MAX 65536
#define ENTRIES_MAX 65536
/* A member compacts its log at this length. */
#define SNAPSHOT_ENTRIES 40
/* Steps without faults in which the group must recover. */
#define HEAL_STEPS 2000

typedef struct replica {
    bbm_raft *raft;
    bbm_member_id id;
    fake_disk disk;
    bool up;
    bool disk_lost; /* got an empty disk and a new identity, which is not in
                       the group */
    bbm_time frozen_until;
    bbm_time offset;  /* of its clock */
    int64_t ppm;      /* drift of its clock, parts per million */
    uint64_t applied; /* last applied index */
    uint64_t value;   /* last applied command */
} replica;

typedef struct history {
    raft_history_desc desc;
    raft_history_result result;
    bbm_rng rng;
    net net;
    replica replicas[MEMBERS_MAX];
    bbm_time now;
    uint64_t applied_commands[ENTRIES_MAX]; /* by index, if is_applied */
    bool is_applied[ENTRIES_MAX];
    uint64_t proposed_at[ENTRIES_MAX]; /* by index: command that a leader
                                          appended */
    uint64_t next_command;
    uint64_t acked; /* highest acknowledged command */
    bbm_member_id next_id;
    bool healing;
} history;

static void
report_violation(history *h, const char *what)
{
    if (!h->result.violation)
        h->result.violation = what;
}

/* Time on a member's clock, which has an offset and drifts. */
static bbm_time
local_clock(const history *h, const replica *r)
{
    return r->offset + h->now + h->now / 1000000 * r->ppm;
}

/* ---- members ---- */

static void
start(history *h, replica *r)
{
    bbm_raft_saved saved;
    fake_disk_load(&r->disk, &saved);
    bbm_raft_desc desc = {
        .id = r->id,
        .seed = h->desc.seed + (uint64_t)(r - h->replicas),
        .election_timeout = ELECTION_TIMEOUT,
        .drift_ppm = 2 * DRIFT_PPM,
        .saved = &saved,
        .now = local_clock(h, r),
        .unsafe_no_lease = h->desc.weakness == RAFT_NO_LEASE,
        .unsafe_no_sync = h->desc.weakness == RAFT_NO_SYNC,
    };
    r->raft = bbm_raft_create(&desc);
    r->up = true;
    r->applied = r->disk.snapshot.index;
    r->value = 0;
}

static void
stop(replica *r)
{
    bbm_raft_destroy(r->raft);
    r->raft = NULL;
    r->up = false;
}

static int
replica_index(const history *h, bbm_member_id id)
{
    for (int i = 0; i < h->desc.members; i++) {
        if (h->replicas[i].id == id)
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
apply(history *h, replica *r, const bbm_entry *e)
{
    if (e->index != r->applied + 1)
        report_violation(h, "entries are applied in order");
    r->applied = e->index;
    uint64_t command = command_of(e);
    if (e->index >= ENTRIES_MAX)
        return;
    if (h->is_applied[e->index] && h->applied_commands[e->index] != command)
        report_violation(h, "all members apply the same entries");
    h->is_applied[e->index] = true;
    h->applied_commands[e->index] = command;
    if (!command)
        return;
    r->value = command;
    /* A leader acknowledges its commands when it applies them. */
    bool proposed_here = bbm_raft_role_of(r->raft) == BBM_LEADER
                         && h->proposed_at[e->index] == command;
    if (proposed_here && command > h->acked) {
        h->result.acknowledged++;
        h->acked = command;
    }
}

static void
restore(replica *r, const bbm_raft_output *out)
{
    r->applied = out->u.restore.index;
    if (out->u.restore.data.len == sizeof(r->value))
        memcpy(&r->value, out->u.restore.data.data, sizeof(r->value));
}

static void
queue_persist(history *h, replica *r, bbm_raft_output *out)
{
    bbm_time sync_at =
        h->now + (bbm_time)bbm_rng_below(&h->rng, 20 * (uint64_t)BBM_MS);
    fake_disk_write(&r->disk, &out->u.persist, sync_at);
}

static void
compact(replica *r)
{
    if (bbm_raft_log_len(r->raft) < SNAPSHOT_ENTRIES)
        return;
    bbm_buf data = {0};
    bbm_buf_add(&data, &r->value, sizeof(r->value));
    bbm_raft_compact(r->raft, r->applied, data);
}

static void
process_outputs(history *h, int i)
{
    replica *r = &h->replicas[i];
    bbm_raft_output *out;
    while ((out = bbm_raft_next_output(r->raft)) != NULL) {
        int to;
        switch (out->kind) {
        case BBM_RAFT_SEND:
            to = replica_index(h, out->u.send.to);
            if (to >= 0)
                net_send(&h->net, h->now, i, to, out->u.send.bytes.data,
                         out->u.send.bytes.len);
            break;
        case BBM_RAFT_PERSIST:
            queue_persist(h, r, out);
            break;
        case BBM_RAFT_COMMIT:
            apply(h, r, &out->u.commit);
            break;
        case BBM_RAFT_RESTORE:
            restore(r, out);
            break;
        case BBM_RAFT_ROLE:
            h->result.leaders += bbm_raft_role_of(r->raft) == BBM_LEADER;
            break;
        case BBM_RAFT_GROUP:
            break;
        }
    }
}

static bool
is_running(const history *h, const replica *r)
{
    return r->up && h->now >= r->frozen_until;
}

static void
sync_disk(history *h, int i)
{
    replica *r = &h->replicas[i];
    uint64_t seq;
    while (fake_disk_sync(&r->disk, h->now, &seq)) {
        bbm_raft_persisted(r->raft, seq, local_clock(h, r));
        process_outputs(h, i);
    }
}

/* ---- faults ---- */

static int
random_replica(history *h)
{
    return (int)bbm_rng_below(&h->rng, (uint64_t)h->desc.members);
}

static int
count_down(const history *h)
{
    int down = 0;
    for (int i = 0; i < h->desc.members; i++)
        down += !h->replicas[i].up || h->replicas[i].disk_lost;
    return down;
}

/* Loses the unsynced writes from a random one on. */
static void
crash(history *h, replica *r)
{
    size_t limit = r->disk.writes_len + 1;
    fake_disk_crash(&r->disk, (size_t)bbm_rng_below(&h->rng, limit));
    stop(r);
    h->result.crashes++;
}

static void
lose_disk(history *h, replica *r)
{
    stop(r);
    fake_disk_clear(&r->disk);
    h->result.lost_disks++;
    if (h->desc.weakness == RAFT_OLD_IDENTITY)
        return;
    r->disk_lost = true;
    r->id = h->next_id++;
}

static void
freeze(history *h, replica *r)
{
    uint64_t limit = 8 * (uint64_t)ELECTION_TIMEOUT;
    r->frozen_until = h->now + (bbm_time)bbm_rng_below(&h->rng, limit);
    h->result.freezes++;
}

/* Crashes all members; four in five restart at once. */
static void
crash_all(history *h)
{
    for (int i = 0; i < h->desc.members; i++) {
        replica *r = &h->replicas[i];
        if (r->up)
            crash(h, r);
        if (!r->up && bbm_rng_below(&h->rng, 5) > 0)
            start(h, r);
    }
}

/* Cuts the link between two members, which both still reach the others. */
static void
cut_link(history *h)
{
    int a = random_replica(h);
    int b = random_replica(h);
    h->net.blocked[a][b] = true;
    h->net.blocked[b][a] = true;
    h->result.cuts++;
}

static void
inject_fault(history *h)
{
    replica *r = &h->replicas[random_replica(h)];
    int minority = (h->desc.members - 1) / 2;
    bool reuses_identity = h->desc.weakness == RAFT_OLD_IDENTITY;
    switch (bbm_rng_below(&h->rng, 8)) {
    case 0:
        if (r->up)
            crash(h, r);
        return;
    case 1:
        if (!r->up)
            start(h, r);
        return;
    case 2:
        if (r->up)
            freeze(h, r);
        return;
    case 3:
        net_isolate(&h->net, random_replica(h), true);
        h->result.cuts++;
        return;
    case 4:
        net_isolate(&h->net, random_replica(h), false);
        return;
    case 5:
        cut_link(h);
        return;
    case 6:
        if (bbm_rng_below(&h->rng, 12) == 0)
            crash_all(h);
        return;
    case 7:
        /* Never more disks than the group tolerates. */
        if (r->up && !r->disk_lost
            && (reuses_identity || count_down(h) < minority)
            && bbm_rng_below(&h->rng, 4) == 0)
            lose_disk(h, r);
        return;
    }
}

/* ---- clients ---- */

static void
propose(history *h)
{
    replica *r = &h->replicas[random_replica(h)];
    if (!is_running(h, r) || h->next_command >= COMMANDS_MAX)
        return;
    uint64_t command = ++h->next_command;
    uint64_t index = 0;
    int rc = bbm_raft_propose(r->raft, (uint8_t *)&command, sizeof(command),
                              local_clock(h, r), &index);
    if (rc == 0 && index < ENTRIES_MAX) {
        h->proposed_at[index] = command;
        h->result.proposed++;
    }
    process_outputs(h, (int)(r - h->replicas));
}

/* Checks that a read under the lease sees every command acknowledged before
   it. */
static void
read_value(history *h)
{
    replica *r = &h->replicas[random_replica(h)];
    if (!is_running(h, r))
        return;
    bbm_time now = local_clock(h, r);
    bbm_raft_tick(r->raft, now);
    process_outputs(h, (int)(r - h->replicas));
    if (bbm_raft_lease_until(r->raft) <= now)
        return;
    h->result.reads++;
    if (r->value < h->acked)
        report_violation(h,
                         "a read under the lease sees what was acknowledged");
}

static void
check_leases(history *h)
{
    int leases = 0;
    for (int i = 0; i < h->desc.members; i++) {
        const replica *r = &h->replicas[i];
        if (r->up && bbm_raft_lease_until(r->raft) > local_clock(h, r))
            leases++;
    }
    if (leases > 1)
        report_violation(h, "at most one member holds the lease");
}

/* ---- simulation ---- */

static void
step(history *h)
{
    h->now += STEP_TIME;
    net_message mail;
    while (net_receive(&h->net, h->now, &mail)) {
        replica *r = &h->replicas[mail.to];
        if (is_running(h, r)) {
            bbm_raft_receive(r->raft, mail.bytes.data, mail.bytes.len,
                             local_clock(h, r));
            process_outputs(h, mail.to);
        }
        else if (r->up) {
            /* A frozen process receives it when it resumes. */
            net_send(&h->net, r->frozen_until, mail.from, mail.to,
                     mail.bytes.data, mail.bytes.len);
        }
        bbm_buf_free(&mail.bytes);
    }
    for (int i = 0; i < h->desc.members; i++) {
        replica *r = &h->replicas[i];
        if (!is_running(h, r))
            continue;
        sync_disk(h, i);
        bbm_raft_tick(r->raft, local_clock(h, r));
        process_outputs(h, i);
        compact(r);
        process_outputs(h, i);
    }
    check_leases(h);
}

static void
bootstrap(history *h)
{
    bbm_raft_member members[MEMBERS_MAX] = {0};
    for (int i = 0; i < h->desc.members; i++) {
        replica *r = &h->replicas[i];
        r->id = h->next_id++;
        r->offset = (bbm_time)bbm_rng_below(&h->rng, 1000) * BBM_SECOND;
        r->ppm = (int64_t)bbm_rng_below(&h->rng, 2 * (uint64_t)DRIFT_PPM)
                 - DRIFT_PPM;
        members[i].id = r->id;
        members[i].voter = true;
        start(h, r);
    }
    bbm_raft_bootstrap(h->replicas[0].raft, members, (size_t)h->desc.members,
                       local_clock(h, &h->replicas[0]));
    process_outputs(h, 0);
    /* No faults until the first entry is synced on every disk. */
    for (int i = 0; i < 400; i++)
        step(h);
}

/* Ends all faults; then the group must accept commands again, and every member
   must have all acknowledged ones. */
static void
heal(history *h)
{
    net_heal(&h->net);
    for (int i = 0; i < h->desc.members; i++) {
        h->replicas[i].frozen_until = 0;
        if (!h->replicas[i].up)
            start(h, &h->replicas[i]);
    }
    int acknowledged_before = h->result.acknowledged;
    for (int i = 0; i < HEAL_STEPS; i++) {
        step(h);
        if (i % 20 == 0)
            propose(h);
    }
    /* Followers receive the last commit index with a later heartbeat. */
    for (int i = 0; i < HEAL_STEPS / 10; i++)
        step(h);
    if (h->result.acknowledged == acknowledged_before)
        report_violation(h, "the group serves again after the faults");
    for (int i = 0; i < h->desc.members; i++) {
        const replica *r = &h->replicas[i];
        if (!r->disk_lost && r->value < h->acked)
            report_violation(h, "every member has all acknowledged commands");
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
    bootstrap(h);
    h->net.desc.loss = 0.05 * bbm_rng_unit(&h->rng);
    h->net.desc.duplicated = 0.1 * bbm_rng_unit(&h->rng);
    h->net.desc.delay_max =
        (bbm_time)(1 + bbm_rng_below(&h->rng, 60)) * BBM_MS;
    /* Odd seeds propose at every step.  Even ones propose at one step in 60 on
       average, so that the members' logs are often equal and don't decide
       elections. */
    uint64_t propose_interval = desc->seed % 2 ? 1 : 60;
    for (int i = 0; i < desc->steps && !h->result.violation; i++) {
        step(h);
        if (bbm_rng_below(&h->rng, propose_interval) == 0)
            propose(h);
        read_value(h);
        if (bbm_rng_below(&h->rng, 25) == 0)
            inject_fault(h);
    }
    if (!h->result.violation)
        heal(h);
    raft_history_result result = h->result;
    for (int i = 0; i < desc->members; i++) {
        bbm_raft_destroy(h->replicas[i].raft);
        fake_disk_clear(&h->replicas[i].disk);
    }
    net_free(&h->net);
    free(h);
    return result;
}
