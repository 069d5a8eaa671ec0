/** @file
 *  Three nodes in one process, driven message by message in virtual time.
 *
 *  They found their control group, one of them gets a configuration from an
 *  operator, and all three have it in force.  There is no socket, thread,
 *  clock or file: what a real driver does with those is done by the loop
 *  below.
 */
#include "bbm_node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define STEP (20 * BBM_MS)

typedef struct mail {
    char from[BBM_NAME_SIZE];
    int to;
    bbm_buf bytes;
} mail;

typedef struct fleet {
    bbm_node *nodes[NODES];
    char names[NODES][BBM_NAME_SIZE];
    mail box[4096];
    size_t len;
    bbm_time now;
    int replies;
} fleet;

static const char document[] =
    "{\"rates\":[{\"name\":\"small\",\"tokens_per_s\":100,\"burst\":1000}],"
    "\"customers\":[{\"name\":\"jardin\",\"rate\":\"small\"}]}";

static int
index_of(const fleet *f, const char *name)
{
    for (int i = 0; i < NODES; i++) {
        if (strcmp(f->names[i], name) == 0)
            return i;
    }
    return -1;
}

static void
post(fleet *f, int from, bbm_action *a)
{
    int to = index_of(f, a->u.send.to);
    if (to < 0 || f->len == BBM_COUNT(f->box))
        return;
    mail *m = &f->box[f->len++];
    bbm_name_set(m->from, f->names[from]);
    m->to = to;
    m->bytes = a->u.send.bytes;
    a->u.send.bytes = (bbm_buf){0};
}

static void
step(fleet *f, int i, const bbm_event *ev)
{
    uint64_t persisted = 0;
    bbm_node_step(f->nodes[i], ev, f->now);
    bbm_action *a;
    while ((a = bbm_node_next_action(f->nodes[i])) != NULL) {
        if (a->kind == BBM_ACT_SEND)
            post(f, i, a);
        else if (a->kind == BBM_ACT_PERSIST)
            persisted = a->u.persist.seq; /* a real driver syncs here */
        else if (a->kind == BBM_ACT_REPLY) {
            f->replies++;
            printf("%s replies: %.*s\n", f->names[i], (int)a->u.reply.body.len,
                   (char *)a->u.reply.body.data);
        }
        else if (a->kind == BBM_ACT_LOG)
            printf("%6.2f s  %s: %s %s %s\n",
                   (double)f->now / (double)BBM_SECOND, f->names[i],
                   bbm_log_text(a->u.log.event), a->u.log.pairs[0].value,
                   a->u.log.pairs[1].value);
    }
    if (persisted) {
        bbm_event done = {.kind = BBM_EV_PERSISTED};
        done.u.persisted.seq = persisted;
        step(f, i, &done);
    }
}

static void
deliver(fleet *f)
{
    size_t len = f->len;
    mail *box = bbm_calloc(len, sizeof(*box));
    memcpy(box, f->box, len * sizeof(*box));
    f->len = 0;
    for (size_t i = 0; i < len; i++) {
        bbm_event ev = {.kind = BBM_EV_MESSAGE};
        ev.u.message.from = box[i].from;
        ev.u.message.data = box[i].bytes.data;
        ev.u.message.len = box[i].bytes.len;
        step(f, box[i].to, &ev);
        bbm_buf_free(&box[i].bytes);
    }
    free(box);
}

static void
run(fleet *f, bbm_time span)
{
    bbm_time end = f->now + span;
    while (f->now < end) {
        f->now += STEP;
        for (int i = 0; i < NODES; i++) {
            bbm_event ev = {.kind = BBM_EV_TICK};
            step(f, i, &ev);
        }
        deliver(f);
    }
}

int
main(void)
{
    bbm_hash_setup();
    fleet *f = bbm_calloc(1, sizeof(*f));
    bbm_peer peers[NODES] = {0};
    f->now = BBM_SECOND;
    for (int i = 0; i < NODES; i++) {
        snprintf(f->names[i], BBM_NAME_SIZE, "vm-%d", i + 1);
        bbm_name_set(peers[i].name, f->names[i]);
        snprintf(peers[i].address, BBM_ADDRESS_SIZE, "address-%d", i + 1);
    }
    for (int i = 0; i < NODES; i++) {
        bbm_node_desc desc = {
            .run = (uint64_t)i + 100,
            .seed = (uint64_t)i,
            .disk_id = (uint64_t)i + 1,
            .peers = peers,
            .peers_len = NODES,
            .founders_len = NODES,
            .now = f->now,
        };
        bbm_name_set(desc.name, f->names[i]);
        bbm_name_set(desc.zone, "zone-a");
        memcpy(desc.address, peers[i].address, BBM_ADDRESS_SIZE);
        for (int j = 0; j < NODES; j++)
            bbm_name_set(desc.founders[j], f->names[j]);
        f->nodes[i] = bbm_node_create(&desc);
    }
    run(f, 5 * BBM_SECOND);
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = 1;
    ev.u.call.verb = BBM_VERB_PUBLISH;
    bbm_name_set(ev.u.call.id, "first");
    ev.u.call.text = (bbm_bytes){.data = (const uint8_t *)document,
                                 .len = strlen(document)};
    step(f, 2, &ev);
    run(f, 2 * BBM_SECOND);
    int in_force = 0;
    for (int i = 0; i < NODES; i++) {
        in_force += bbm_node_count(f->nodes[i], f->now).revision == 1;
        bbm_node_destroy(f->nodes[i]);
    }
    for (size_t i = 0; i < f->len; i++)
        bbm_buf_free(&f->box[i].bytes);
    free(f);
    printf("revision 1 in force on %d of %d nodes\n", in_force, NODES);
    return in_force == NODES ? 0 : 1;
}
