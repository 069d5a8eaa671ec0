#include "fleet.h"

#include "cpu_clock.h"
#include "fake_disk.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_PERIOD (10 * BBM_MS)
#define START_TIME (100 * BBM_SECOND)

typedef struct vm {
    char name[BBM_NAME_SIZE];
    bbm_node *node;        /* NULL: down */
    bbm_member_id disk_id; /* 0: it has no disk */
    uint64_t run_id;
    int starts; /* number of starts so far */
    size_t sent_bytes;
    bbm_time frozen_until;
    int64_t wall_offset_ms;
    bbm_format format; /* of its build; 0: as in the parameters */
    fake_disk disk;
    bool disk_stalled;
} vm;

struct fleet {
    fleet_desc desc;
    fleet_hooks hooks;
    bbm_rng rng;
    net net;
    vm *vms;
    bbm_peer *peers;
    bbm_time now;
    uint64_t runs; /* starts of all nodes; the last run_id */
    double cpu_ns;
};

/* Index of the node that a BBM_ACT_SEND goes to, by name ("vm-" and index + 1)
   or address; -1: none. */
static int
receiver_of(const fleet *f, const bbm_action *a)
{
    int i = atoi(a->u.send.to + 3) - 1;
    if (a->u.send.to[0])
        return i >= 0 && i < f->desc.nodes ? i : -1;
    for (int j = 0; j < f->desc.nodes; j++) {
        if (strcmp(f->peers[j].address, a->u.send.address) == 0)
            return j;
    }
    return -1;
}

static int
disks_count(const fleet_desc *d)
{
    return d->seeds ? d->disks : d->founders;
}

/* ---- actions ---- */

static void deliver_event(fleet *f, int i, const bbm_event *ev);

static void
queue_write(fleet *f, int i, bbm_action *a)
{
    uint64_t bound = (uint64_t)f->desc.sync_max + 1;
    bbm_time due = f->now + (bbm_time)bbm_rng_below(&f->rng, bound);
    fake_disk_write(&f->vms[i].disk, &a->u.persist, due);
}

static void
do_action(fleet *f, int i, bbm_action *a)
{
    const fleet_hooks *h = &f->hooks;
    int to;
    switch (a->kind) {
    case BBM_ACT_SEND:
        to = receiver_of(f, a);
        f->vms[i].sent_bytes += a->u.send.bytes.len;
        if (to >= 0)
            net_send(&f->net, f->now, i, to, a->u.send.bytes.data,
                     a->u.send.bytes.len);
        return;
    case BBM_ACT_PERSIST:
        queue_write(f, i, a);
        return;
    case BBM_ACT_START:
        if (h->start)
            h->start(h->context, i, &a->u.start);
        return;
    case BBM_ACT_ABORT:
        if (h->abort_request)
            h->abort_request(h->context, i, a->u.abort.request,
                             a->u.abort.code);
        return;
    case BBM_ACT_ANSWER:
        if (h->answer)
            h->answer(h->context,
                      &(fleet_answer){
                          .node = i,
                          .id = a->u.answer.request,
                          .code = a->u.answer.code,
                          .from_claim = a->u.answer.code == BBM_OK,
                          .retry_after_ms = a->u.answer.retry_after_ms,
                      });
        return;
    case BBM_ACT_REPLY:
        if (h->answer)
            h->answer(h->context, &(fleet_answer){
                                      .node = i,
                                      .id = a->u.reply.op,
                                      .operator_call = true,
                                      .code = a->u.reply.code,
                                      .body = (char *)a->u.reply.body.data,
                                      .len = a->u.reply.body.len,
                                  });
        return;
    case BBM_ACT_ORDER:
        if (h->order)
            h->order(h->context, i, a);
        return;
    case BBM_ACT_RESUBMIT:
        if (h->resubmit)
            h->resubmit(h->context, i, a->u.resubmit.request);
        return;
    case BBM_ACT_READ_LISTING:
        if (h->read_listing)
            h->read_listing(h->context, i);
        return;
    case BBM_ACT_FORWARD:
        if (h->forward)
            h->forward(h->context, i, &a->u.forward.send);
        return;
    case BBM_ACT_LOG:
        if (h->log)
            h->log(h->context, i, a->u.log.event);
        return;
    case BBM_ACT_ROLLOUT:
        if (h->rollout)
            h->rollout(h->context, i, &a->u.rollout.action);
        return;
    case BBM_ACT_WATCH_RUNNER:
    case BBM_ACT_READY:
    case BBM_ACT_WATCH_STORE:
    case BBM_ACT_LIMITS:
    case BBM_ACT_STOPPED:
        return;
    }
}

static void
deliver_event(fleet *f, int i, const bbm_event *ev)
{
    vm *p = &f->vms[i];
    double before = cpu_clock_ns();
    bbm_node_step(p->node, ev, f->now);
    f->cpu_ns += cpu_clock_ns() - before;
    bbm_action *a;
    while (p->node && (a = bbm_node_next_action(p->node)) != NULL)
        do_action(f, i, a);
}

bool
fleet_deliver(fleet *f, int i, const bbm_event *ev)
{
    vm *p = &f->vms[i];
    if (!p->node || f->now < p->frozen_until)
        return false;
    deliver_event(f, i, ev);
    return true;
}

/* ---- nodes ---- */

void
fleet_start(fleet *f, int i)
{
    vm *p = &f->vms[i];
    if (p->node)
        return;
    bbm_raft_saved saved = {0};
    if (p->disk_id)
        fake_disk_load(&p->disk, &saved);
    bbm_node_desc d = f->desc.node;
    if (p->format)
        d.format = p->format;
    p->run_id = ++f->runs;
    d.run = p->run_id;
    d.seed = f->desc.seed + f->runs;
    d.disk_id = p->disk_id;
    d.saved = p->disk_id ? &saved : NULL;
    if (f->desc.seeds) {
        d.self_repair = true;
        d.first_start = p->starts == 0 && f->now == START_TIME;
        d.seeds_len = (size_t)f->desc.seeds;
        for (int j = 0; j < f->desc.seeds; j++)
            bbm_text_set(d.seeds[j], BBM_ADDRESS_SIZE, f->peers[j].address);
    }
    else {
        d.peers = f->peers;
        /* As in settings, only a few peers are named; a node learns the others
           from them. */
        d.peers_len = (size_t)(f->desc.nodes < 8 ? f->desc.nodes : 8);
    }
    p->starts++;
    d.now = f->now;
    d.founders_len = (size_t)f->desc.founders;
    for (int j = 0; j < f->desc.founders; j++)
        bbm_name_set(d.founders[j], f->vms[j].name);
    bbm_name_set(d.name, p->name);
    snprintf(d.zone, sizeof(d.zone), "zone-%d",
             i % (f->desc.zones ? f->desc.zones : 3));
    bbm_text_set(d.address, sizeof(d.address), f->peers[i].address);
    snprintf(d.entry_url, sizeof(d.entry_url), "http://127.0.0.1:%d",
             10000 + i);
    p->node = bbm_node_create(&d);
    bbm_action *a;
    while ((a = bbm_node_next_action(p->node)) != NULL)
        do_action(f, i, a);
}

void
fleet_crash(fleet *f, int i)
{
    vm *p = &f->vms[i];
    if (!p->node)
        return;
    size_t bound = p->disk.writes_len + 1;
    fake_disk_crash(&p->disk, (size_t)bbm_rng_below(&f->rng, bound));
    bbm_node_destroy(p->node);
    p->node = NULL;
}

void
fleet_wipe(fleet *f, int i)
{
    vm *p = &f->vms[i];
    fake_disk_clear(&p->disk);
    p->disk_id += 1000;
}

void
fleet_set_format(fleet *f, int i, bbm_format format)
{
    f->vms[i].format = format;
}

void
fleet_set_wall_offset(fleet *f, int i, int64_t offset_ms)
{
    f->vms[i].wall_offset_ms = offset_ms;
}

void
fleet_freeze(fleet *f, int i, bbm_time span)
{
    f->vms[i].frozen_until = f->now + span;
}

bool
fleet_is_running(const fleet *f, int i)
{
    return f->vms[i].node && f->now >= f->vms[i].frozen_until;
}

/* ---- virtual time ---- */

static void
sync_due_writes(fleet *f, int i)
{
    vm *p = &f->vms[i];
    uint64_t seq;
    if (f->vms[i].disk_stalled)
        return;
    while (fleet_is_running(f, i) && fake_disk_sync(&p->disk, f->now, &seq)) {
        bbm_event ev = {.kind = BBM_EV_PERSISTED};
        ev.u.persisted.seq = seq;
        deliver_event(f, i, &ev);
    }
}

static void
deliver_messages(fleet *f)
{
    net_message m;
    while (net_receive(&f->net, f->now, &m)) {
        const vm *p = &f->vms[m.to];
        bbm_event ev = {.kind = BBM_EV_MESSAGE};
        ev.u.message.from = f->vms[m.from].name;
        ev.u.message.data = m.bytes.data;
        ev.u.message.len = m.bytes.len;
        if (fleet_is_running(f, m.to))
            deliver_event(f, m.to, &ev);
        else if (p->node)
            net_send(&f->net, p->frozen_until, m.from, m.to, m.bytes.data,
                     m.bytes.len);
        bbm_buf_free(&m.bytes);
    }
}

void
fleet_step(fleet *f)
{
    f->now += STEP_PERIOD;
    deliver_messages(f);
    for (int i = 0; i < f->desc.nodes; i++) {
        if (!fleet_is_running(f, i))
            continue;
        sync_due_writes(f, i);
        bbm_event ev = {.kind = BBM_EV_TICK};
        ev.u.tick.wall_ms =
            1000000 + f->now / BBM_MS + f->vms[i].wall_offset_ms;
        deliver_event(f, i, &ev);
    }
}

void
fleet_run(fleet *f, bbm_time span)
{
    bbm_time end = f->now + span;
    while (f->now < end)
        fleet_step(f);
}

fleet *
fleet_create(const fleet_desc *desc, const fleet_hooks *hooks)
{
    fleet *f = bbm_calloc(1, sizeof(*f));
    f->desc = *desc;
    f->hooks = *hooks;
    f->rng = bbm_rng_of(desc->seed);
    f->now = START_TIME;
    net_init(&f->net,
             &(net_desc){.seed = desc->seed, .delay_max = desc->delay_max});
    f->vms = bbm_calloc((size_t)desc->nodes, sizeof(vm));
    f->peers = bbm_calloc((size_t)desc->nodes, sizeof(bbm_peer));
    for (int i = 0; i < desc->nodes; i++) {
        vm *p = &f->vms[i];
        snprintf(p->name, sizeof(p->name), "vm-%d", i + 1);
        bbm_name_set(f->peers[i].name, p->name);
        snprintf(f->peers[i].address, BBM_ADDRESS_SIZE, "10.0.%d.%d:7400",
                 i / 250, i % 250 + 1);
        p->disk_id = i < disks_count(desc) ? (uint64_t)i + 1001 : 0;
    }
    for (int i = 0; i < desc->nodes; i++)
        fleet_start(f, i);
    return f;
}

void
fleet_destroy(fleet *f)
{
    for (int i = 0; i < f->desc.nodes; i++) {
        fleet_crash(f, i);
        fake_disk_clear(&f->vms[i].disk);
    }
    net_free(&f->net);
    free(f->vms);
    free(f->peers);
    free(f);
}

/* ---- queries ---- */

bbm_time
fleet_now(const fleet *f)
{
    return f->now;
}

bbm_node *
fleet_node(const fleet *f, int i)
{
    return f->vms[i].node;
}

net *
fleet_net(fleet *f)
{
    return &f->net;
}

const char *
fleet_name(const fleet *f, int i)
{
    return f->vms[i].name;
}

int
fleet_leader(const fleet *f)
{
    for (int i = 0; i < disks_count(&f->desc); i++) {
        if (fleet_is_running(f, i)
            && bbm_node_count(f->vms[i].node, f->now).is_leader)
            return i;
    }
    return -1;
}

bool
fleet_publish(fleet *f, int i, uint64_t op, const char *id, uint64_t expected,
              const char *text)
{
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = op;
    ev.u.call.verb = BBM_VERB_PUBLISH;
    ev.u.call.revision = expected;
    bbm_name_set(ev.u.call.id, id);
    ev.u.call.text =
        (bbm_bytes){.data = (const uint8_t *)text, .len = strlen(text)};
    return fleet_deliver(f, i, &ev);
}

size_t
fleet_sent_bytes(const fleet *f, int i)
{
    return f->vms[i].sent_bytes;
}

void
fleet_stall_disk(fleet *f, int i, bool on)
{
    f->vms[i].disk_stalled = on;
}

size_t
fleet_disk_bytes(const fleet *f, int i)
{
    const fake_disk *d = &f->vms[i].disk;
    size_t bytes = d->snapshot.data.len;
    for (size_t k = 0; k < d->len; k++)
        bytes += d->entries[k].len;
    return bytes;
}

size_t
fleet_unsynced_bytes(const fleet *f, int i)
{
    const fake_disk *d = &f->vms[i].disk;
    size_t bytes = 0;
    for (size_t k = 0; k < d->writes_len; k++) {
        const bbm_raft_persist *p = &d->writes[k].persist;
        bytes += p->snapshot ? p->snapshot->data.len : 0;
        for (size_t e = 0; e < p->len; e++)
            bytes += p->entries[e].len;
    }
    return bytes;
}

double
fleet_cpu_ns(const fleet *f)
{
    return f->cpu_ns;
}
