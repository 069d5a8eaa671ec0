/** @file
 *  A fleet of nodes in one process and in virtual time, for properties and
 *  benches.  A driver of the façade as any other program may write one: it
 *  carries messages, keeps disks, and stands in for upstreams and callers.
 */
#ifndef FLEET_H
#define FLEET_H

#include "bbm_node.h"
#include "net.h"

/** How to make a fleet. */
typedef struct fleet_desc {
    uint64_t seed;
    int nodes;
    int founders;       /**< Named as founders; each has a disk. */
    int seeds;          /**< Addresses to join by; then nobody is named. */
    int disks;          /**< With seeds: the first so many have a disk. */
    bbm_time delay_max;     /**< Longest delay of a message. */
    bbm_time sync_max;      /**< Longest time of a sync. */
    double loss;        /**< Share of messages lost. */
    double duplicated;     /**< Share that comes twice. */
    bbm_node_desc node; /**< Switches for every node. */
} fleet_desc;

/** A fleet; opaque. */
typedef struct fleet fleet;

/** An answer to a caller or operator. */
typedef struct fleet_answer {
    int node;
    uint64_t id;        /**< Request or call. */
    bool operator_call; /**< Which of them. */
    int code;           /**< BBM_OK: answered. */
    bool from_claim;          /**< From a claim. */
    int64_t retry_after_ms;
    const char *body; /**< JSON of an operator's call. */
    size_t len;
} fleet_answer;

/** Told of every action that the driver doesn't carry out itself. */
typedef struct fleet_hooks {
    void *context;
    void (*start)(void *context, int node, const bbm_start *start);
    void (*abort_request)(void *context, int node, uint64_t request, int code);
    void (*answer)(void *context, const fleet_answer *answer);
    void (*order)(void *context, int node, const bbm_action *a);
    void (*read_listing)(void *context, int node);
    void (*resubmit)(void *context, int node, uint64_t request);
    void (*log)(void *context, int node, bbm_log_event event);
} fleet_hooks;

fleet *fleet_create(const fleet_desc *desc, const fleet_hooks *hooks);
void fleet_destroy(fleet *f);
bbm_time fleet_now(const fleet *f);
bbm_node *fleet_node(const fleet *f, int i);
net *fleet_net(fleet *f);
/** One step of 10 ms for all. */
void fleet_step(fleet *f);
void fleet_run(fleet *f, bbm_time span);
/** Give an event to a node that runs; false if it doesn't. */
bool fleet_deliver(fleet *f, int i, const bbm_event *ev);
/** End a node at once; what was not synced is lost in part. */
void fleet_crash(fleet *f, int i);
/** Replace the disk of one that is down by an empty one. */
void fleet_wipe(fleet *f, int i);
/** Start it again, with its disk. */
void fleet_start(fleet *f, int i);
void fleet_freeze(fleet *f, int i, bbm_time span);
bool fleet_is_running(const fleet *f, int i);
/** Name of a node. */
const char *fleet_name(const fleet *f, int i);
/** Position of the leader with a lease, or -1. */
int fleet_leader(const fleet *f);
/** Publish a text on top of a revision; answers by the hook. */
bool fleet_publish(fleet *f, int i, uint64_t op, const char *id,
                   uint64_t expected, const char *text);
/** Bytes of messages that a daemon has sent so far. */
size_t fleet_sent_bytes(const fleet *f, int i);
/** Processor time spent in nodes so far, nanoseconds. */
double fleet_cpu_ns(const fleet *f);

#endif
