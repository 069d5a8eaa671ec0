#include "fleet.h"

#include "cpu_clock.h"
#include "fake_disk.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (10 * BBM_MS)
#define FIRST (100 * BBM_SECOND)

typedef struct place {
    char name[BBM_NAME_SIZE];
    bbm_node *node;
    bbm_member_id disk;
    uint64_t run;
    int starts;
    size_t sent;
    bbm_time frozen_until;
    fake_disk files;
} place;

struct fleet {
    fleet_desc desc;
    fleet_hooks hooks;
    bbm_rng rng;
    net net;
    place *places;
    bbm_peer *peers;
    bbm_time now;
    uint64_t runs;
    double cpu_ns;
};

static int
index_of(const fleet *f, const bbm_action *a)
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
disks_of(const fleet_desc *d)
{
    return d->seeds ? d->disks : d->founders;
}

/* ---- actions ---- */

static void give(fleet *f, int i, const bbm_event *ev);

static void
queue_write(fleet *f, int i, bbm_action *a)
{
    uint64_t longest = (uint64_t)f->desc.sync_max + 1;
    bbm_time due = f->now + (bbm_time)bbm_rng_below(&f->rng, longest);
    fake_disk_write(&f->places[i].files, &a->u.persist, due);
}

static void
do_action(fleet *f, int i, bbm_action *a)
{
    const fleet_hooks *h = &f->hooks;
    int to;
    switch (a->kind) {
    case BBM_ACT_SEND:
        to = index_of(f, a);
        f->places[i].sent += a->u.send.bytes.len;
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
            h->abort_request(h->context, i, a->u.cut.request, a->u.cut.code);
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
            h->resubmit(h->context, i, a->u.later.request);
        return;
    case BBM_ACT_READ_LISTING:
        if (h->read_listing)
            h->read_listing(h->context, i);
        return;
    case BBM_ACT_LOG:
        if (h->log)
            h->log(h->context, i, a->u.log.event);
        return;
    case BBM_ACT_WATCH_RUNNER:
    case BBM_ACT_READY:
    case BBM_ACT_FORWARD:
    case BBM_ACT_ROLLOUT:
    case BBM_ACT_WATCH_STORE:
    case BBM_ACT_LIMITS:
    case BBM_ACT_STOPPED:
        return;
    }
}

static void
give(fleet *f, int i, const bbm_event *ev)
{
    place *p = &f->places[i];
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
    place *p = &f->places[i];
    if (!p->node || f->now < p->frozen_until)
        return false;
    give(f, i, ev);
    return true;
}

/* ---- nodes ---- */

void
fleet_start(fleet *f, int i)
{
    place *p = &f->places[i];
    if (p->node)
        return;
    bbm_raft_saved saved = {0};
    if (p->disk)
        fake_disk_load(&p->files, &saved);
    bbm_node_desc d = f->desc.node;
    p->run = ++f->runs;
    d.run = p->run;
    d.seed = f->desc.seed + f->runs;
    d.disk_id = p->disk;
    d.saved = p->disk ? &saved : NULL;
    if (f->desc.seeds) {
        d.self_repair = true;
        d.first_start = p->starts == 0 && f->now == FIRST;
        d.seeds_len = (size_t)f->desc.seeds;
        for (int j = 0; j < f->desc.seeds; j++)
            bbm_text_set(d.seeds[j], BBM_ADDRESS_SIZE, f->peers[j].address);
    }
    else {
        d.peers = f->peers;
        /* At most a handful is named in settings; the rest is learnt. */
        d.peers_len = (size_t)(f->desc.nodes < 8 ? f->desc.nodes : 8);
    }
    p->starts++;
    d.now = f->now;
    d.founders_len = (size_t)f->desc.founders;
    for (int j = 0; j < f->desc.founders; j++)
        bbm_name_set(d.founders[j], f->places[j].name);
    bbm_name_set(d.name, p->name);
    snprintf(d.zone, sizeof(d.zone), "zone-%d", i % 3);
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
    place *p = &f->places[i];
    if (!p->node)
        return;
    size_t most = p->files.writes_len + 1;
    fake_disk_crash(&p->files, (size_t)bbm_rng_below(&f->rng, most));
    bbm_node_destroy(p->node);
    p->node = NULL;
}

void
fleet_wipe(fleet *f, int i)
{
    place *p = &f->places[i];
    fake_disk_clear(&p->files);
    p->disk += 1000;
}

void
fleet_freeze(fleet *f, int i, bbm_time span)
{
    f->places[i].frozen_until = f->now + span;
}

bool
fleet_is_running(const fleet *f, int i)
{
    return f->places[i].node && f->now >= f->places[i].frozen_until;
}

/* ---- the run ---- */

static void
sync_due(fleet *f, int i)
{
    place *p = &f->places[i];
    uint64_t seq;
    while (fleet_is_running(f, i) && fake_disk_sync(&p->files, f->now, &seq)) {
        bbm_event ev = {.kind = BBM_EV_PERSISTED};
        ev.u.persisted.seq = seq;
        give(f, i, &ev);
    }
}

static void
deliver(fleet *f)
{
    net_message m;
    while (net_receive(&f->net, f->now, &m)) {
        const place *p = &f->places[m.to];
        bbm_event ev = {.kind = BBM_EV_MESSAGE};
        ev.u.message.from = f->places[m.from].name;
        ev.u.message.data = m.bytes.data;
        ev.u.message.len = m.bytes.len;
        if (fleet_is_running(f, m.to))
            give(f, m.to, &ev);
        else if (p->node)
            net_send(&f->net, p->frozen_until, m.from, m.to, m.bytes.data,
                     m.bytes.len);
        bbm_buf_free(&m.bytes);
    }
}

void
fleet_step(fleet *f)
{
    f->now += STEP;
    deliver(f);
    for (int i = 0; i < f->desc.nodes; i++) {
        if (!fleet_is_running(f, i))
            continue;
        sync_due(f, i);
        bbm_event ev = {.kind = BBM_EV_TICK};
        ev.u.tick.wall_ms = 1000000 + f->now / BBM_MS;
        give(f, i, &ev);
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
    f->now = FIRST;
    net_init(&f->net, &(net_desc){.seed = desc->seed, .delay_max = desc->delay_max});
    f->places = bbm_calloc((size_t)desc->nodes, sizeof(place));
    f->peers = bbm_calloc((size_t)desc->nodes, sizeof(bbm_peer));
    for (int i = 0; i < desc->nodes; i++) {
        place *p = &f->places[i];
        snprintf(p->name, sizeof(p->name), "vm-%d", i + 1);
        bbm_name_set(f->peers[i].name, p->name);
        snprintf(f->peers[i].address, BBM_ADDRESS_SIZE, "10.0.%d.%d:7400",
                 i / 250, i % 250 + 1);
        p->disk = i < disks_of(desc) ? (uint64_t)i + 1001 : 0;
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
        fake_disk_clear(&f->places[i].files);
    }
    net_free(&f->net);
    free(f->places);
    free(f->peers);
    free(f);
}

/* ---- what can be asked ---- */

bbm_time
fleet_now(const fleet *f)
{
    return f->now;
}

bbm_node *
fleet_node(const fleet *f, int i)
{
    return f->places[i].node;
}

net *
fleet_net(fleet *f)
{
    return &f->net;
}

const char *
fleet_name(const fleet *f, int i)
{
    return f->places[i].name;
}

int
fleet_leader(const fleet *f)
{
    for (int i = 0; i < disks_of(&f->desc); i++) {
        if (fleet_is_running(f, i)
            && bbm_node_count(f->places[i].node, f->now).is_leader)
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
    return f->places[i].sent;
}

double
fleet_cpu_ns(const fleet *f)
{
    return f->cpu_ns;
}
