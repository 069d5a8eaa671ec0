/** @file
 *  A fleet of nodes in one process and in virtual time, for tests and benches.
 *  It drives bbm_node through its public interface alone: carries messages,
 *  simulates disks and passes the other actions to hooks, which act as
 *  upstreams and clients.
 *
 *  A node is given by its index, from 0.
 */
#ifndef FLEET_H
#define FLEET_H

#include "bbm_node.h"
#include "net.h"

/** Parameters of fleet_create(). */
typedef struct fleet_desc {
    uint64_t seed;
    int nodes;
    int zones;          /**< Zones, to which the nodes belong in turn; 0:
                             3. */
    int founders;       /**< Number of nodes, from the first, named as
                             founders; without seeds these have a disk. */
    int seeds;          /**< Number of nodes, from the first, whose addresses
                             are the seeds of all nodes; 0: the nodes are
                             configured with founders and peers. */
    int disks;          /**< With seeds: number of nodes, from the first, that
                             have a disk. */
    bbm_time delay_max; /**< Longest delay of a message. */
    bbm_time sync_max;  /**< Longest duration of a disk sync. */
    double loss;        /**< Unused; see fleet_net(). */
    double duplicated;  /**< Unused; see fleet_net(). */
    bbm_node_desc node; /**< Parameters common to all nodes. */
} fleet_desc;

/** A fleet; opaque. */
typedef struct fleet fleet;

/** An answer to a client or an operator; valid during the hook. */
typedef struct fleet_answer {
    int node;
    uint64_t id; /**< Number of the request or of the operator's call. */
    bool operator_call; /**< It answers an operator's call. */
    int code;           /**< BBM_OK or an error. */
    bool from_claim;    /**< The answer stored with an idempotency claim. */
    int64_t retry_after_ms;
    const char *body; /**< JSON; NULL unless operator_call. */
    size_t len;       /**< Of the body. */
} fleet_answer;

/** Called for the actions that the fleet doesn't carry out itself.  A hook may
 *  be NULL. */
typedef struct fleet_hooks {
    void *context; /**< First argument of the hooks. */
    void (*start)(void *context, int node, const bbm_start *start);
    void (*abort_request)(void *context, int node, uint64_t request, int code);
    void (*answer)(void *context, const fleet_answer *answer);
    void (*order)(void *context, int node, const bbm_action *a);
    void (*read_listing)(void *context, int node);
    void (*resubmit)(void *context, int node, uint64_t request);
    void (*forward)(void *context, int node, const bbm_forward_request *send);
    void (*rollout)(void *context, int node, const bbm_rollout_action *action);
    void (*log)(void *context, int node, bbm_log_event event);
} fleet_hooks;

/** Create a fleet and start all its nodes. */
fleet *fleet_create(const fleet_desc *desc, const fleet_hooks *hooks);
void fleet_destroy(fleet *f);
/** Virtual time; it begins at 100 s. */
bbm_time fleet_now(const fleet *f);
/** NULL while the node is down. */
bbm_node *fleet_node(const fleet *f, int i);
/** The network, to inject faults. */
net *fleet_net(fleet *f);
/** Advance all nodes by 10 ms. */
void fleet_step(fleet *f);
/** Advance by @p span, rounded up to whole steps. */
void fleet_run(fleet *f, bbm_time span);
/** Deliver an event to a node; false if it is down or frozen. */
bool fleet_deliver(fleet *f, int i, const bbm_event *ev);
/** Kill a node.  A random number of its pending writes, from the oldest, is
 *  still synced; the others are lost.  No effect if it is down. */
void fleet_crash(fleet *f, int i);
/** Replace the disk of a node that is down by an empty one. */
void fleet_wipe(fleet *f, int i);
/** Restart a node with its disk; no effect if it is up. */
void fleet_start(fleet *f, int i);
/** Set the format of the build that a node has from its next start on; 0:
 *  that of fleet_desc::node. */
void fleet_set_format(fleet *f, int i, bbm_format format);
/** Set by how much a node's calendar is ahead of the others'. */
void fleet_set_wall_offset(fleet *f, int i, int64_t offset_ms);
/** Freeze a node for @p span: it doesn't run, and messages to it wait. */
void fleet_freeze(fleet *f, int i, bbm_time span);
/** True if the node is neither down nor frozen. */
bool fleet_is_running(const fleet *f, int i);
const char *fleet_name(const fleet *f, int i);
/** Index of the running leader that has a lease, or -1.  Only nodes that had a
 *  disk from the beginning are considered. */
int fleet_leader(const fleet *f);
/** Publish a configuration on top of revision @p expected; the answer comes
 *  through the hook.  False if the node is down or frozen. */
bool fleet_publish(fleet *f, int i, uint64_t op, const char *id,
                   uint64_t expected, const char *text);
/** Total bytes of the messages that a node has sent. */
size_t fleet_sent_bytes(const fleet *f, int i);
/** Let no write of a node's disk be synced while @p on. */
void fleet_stall_disk(fleet *f, int i, bool on);
/** Bytes of a node's data folder, and of its writes that aren't synced. */
size_t fleet_disk_bytes(const fleet *f, int i);
size_t fleet_unsynced_bytes(const fleet *f, int i);
/** Processor time spent in all nodes, nanoseconds. */
double fleet_cpu_ns(const fleet *f);

#endif
