/** @file
 *  Three nodes in one process, driven message by message in virtual time.
 *
 *  The nodes bootstrap their control group, an operator publishes a
 *  configuration through one of them, and all three apply it.  The node code
 *  uses no sockets, threads, clocks or files; a real driver provides those,
 *  the loop below replaces them.
 */
#include "bbm_node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_COUNT 3
#define QUEUE_MAX 4096 /* messages; further ones are dropped */
#define TICK_INTERVAL (20 * BBM_MS)

typedef struct queued_message {
    char from[BBM_NAME_SIZE];
    int to; /* index of the receiver */
    bbm_buf bytes;
} queued_message;

typedef struct fleet {
    bbm_node *nodes[NODES_COUNT];
    char names[NODES_COUNT][BBM_NAME_SIZE];
    queued_message queue[QUEUE_MAX];
    size_t queue_len;
    bbm_time now;
    int replies; /* to the operator */
} fleet;

static const char document[] =
    "{\"rates\":[{\"name\":\"small\",\"tokens_per_s\":100,\"burst\":1000}],"
    "\"customers\":[{\"name\":\"jardin\",\"rate\":\"small\"}]}";

static int
node_index(const fleet *f, const char *name)
{
    for (int i = 0; i < NODES_COUNT; i++) {
        if (strcmp(f->names[i], name) == 0)
            return i;
    }
    return -1;
}

static void
enqueue_message(fleet *f, int from, bbm_action *a)
{
    int to = node_index(f, a->u.send.to);
    if (to < 0 || f->queue_len == BBM_COUNT(f->queue))
        return;
    queued_message *m = &f->queue[f->queue_len++];
    bbm_name_set(m->from, f->names[from]);
    m->to = to;
    m->bytes = a->u.send.bytes;
    a->u.send.bytes = (bbm_buf){0};
}

static void
step_node(fleet *f, int i, const bbm_event *ev)
{
    uint64_t persist_seq = 0;
    bbm_node_step(f->nodes[i], ev, f->now);
    bbm_action *a;
    while ((a = bbm_node_next_action(f->nodes[i])) != NULL) {
        if (a->kind == BBM_ACT_SEND)
            enqueue_message(f, i, a);
        else if (a->kind == BBM_ACT_PERSIST)
            persist_seq = a->u.persist.seq; /* a real driver syncs here */
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
    if (persist_seq) {
        bbm_event done = {.kind = BBM_EV_PERSISTED};
        done.u.persisted.seq = persist_seq;
        step_node(f, i, &done);
    }
}

static void
deliver_messages(fleet *f)
{
    size_t len = f->queue_len;
    queued_message *messages = bbm_calloc(len, sizeof(*messages));
    memcpy(messages, f->queue, len * sizeof(*messages));
    f->queue_len = 0;
    for (size_t i = 0; i < len; i++) {
        bbm_event ev = {.kind = BBM_EV_MESSAGE};
        ev.u.message.from = messages[i].from;
        ev.u.message.data = messages[i].bytes.data;
        ev.u.message.len = messages[i].bytes.len;
        step_node(f, messages[i].to, &ev);
        bbm_buf_free(&messages[i].bytes);
    }
    free(messages);
}

static void
run_for(fleet *f, bbm_time duration)
{
    bbm_time end = f->now + duration;
    while (f->now < end) {
        f->now += TICK_INTERVAL;
        for (int i = 0; i < NODES_COUNT; i++) {
            bbm_event ev = {.kind = BBM_EV_TICK};
            step_node(f, i, &ev);
        }
        deliver_messages(f);
    }
}

int
main(void)
{
    bbm_hash_setup();
    fleet *f = bbm_calloc(1, sizeof(*f));
    bbm_peer peers[NODES_COUNT] = {0};
    f->now = BBM_SECOND;
    for (int i = 0; i < NODES_COUNT; i++) {
        snprintf(f->names[i], BBM_NAME_SIZE, "vm-%d", i + 1);
        bbm_name_set(peers[i].name, f->names[i]);
        snprintf(peers[i].address, BBM_ADDRESS_SIZE, "address-%d", i + 1);
    }
    for (int i = 0; i < NODES_COUNT; i++) {
        bbm_node_desc desc = {
            .run = (uint64_t)i + 100,
            .seed = (uint64_t)i,
            .disk_id = (uint64_t)i + 1,
            .peers = peers,
            .peers_len = NODES_COUNT,
            .founders_len = NODES_COUNT,
            .now = f->now,
        };
        bbm_name_set(desc.name, f->names[i]);
        bbm_name_set(desc.zone, "zone-a");
        memcpy(desc.address, peers[i].address, BBM_ADDRESS_SIZE);
        for (int j = 0; j < NODES_COUNT; j++)
            bbm_name_set(desc.founders[j], f->names[j]);
        f->nodes[i] = bbm_node_create(&desc);
    }
    run_for(f, 5 * BBM_SECOND);
    bbm_event ev = {.kind = BBM_EV_OPERATOR};
    ev.u.call.op = 1;
    ev.u.call.verb = BBM_VERB_PUBLISH;
    bbm_name_set(ev.u.call.id, "first");
    ev.u.call.text = (bbm_bytes){.data = (const uint8_t *)document,
                                 .len = strlen(document)};
    step_node(f, 2, &ev);
    run_for(f, 2 * BBM_SECOND);
    int in_force = 0;
    for (int i = 0; i < NODES_COUNT; i++) {
        in_force += bbm_node_count(f->nodes[i], f->now).revision == 1;
        bbm_node_destroy(f->nodes[i]);
    }
    for (size_t i = 0; i < f->queue_len; i++)
        bbm_buf_free(&f->queue[i].bytes);
    free(f);
    printf("revision 1 in force on %d of %d nodes\n", in_force, NODES_COUNT);
    return in_force == NODES_COUNT ? 0 : 1;
}
