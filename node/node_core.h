/** @file
 *  State of a node, shared by the package's sources (private).
 */
#ifndef NODE_CORE_H
#define NODE_CORE_H

#include "bbm_admission.h"
#include "bbm_entries.h"
#include "bbm_loads.h"
#include "bbm_node.h"
#include "bbm_rate.h"
#include "bbm_retry.h"

#include <sys/queue.h>
#include <uthash.h>

/** Version of the messages; another one is refused. */
#define NODE_MESSAGE_VERSION 2

/** Kinds of message between daemons. */
typedef enum node_message_kind {
    NODE_RAFT,          /**< Of the replicated log. */
    NODE_MEMBERS,       /**< Of the failure detector. */
    NODE_HELLO,         /**< A data folder tells its identity. */
    NODE_POLL,          /**< What is new? */
    NODE_POLL_REPLY,    /**< This is new, and how fresh it is. */
    NODE_PUSH,          /**< This is new, unasked. */
    NODE_PROPOSE,       /**< A command for the leader. */
    NODE_OUTCOME,       /**< What came of it. */
    NODE_RATE_REPORT,   /**< A holder's report to the owner of the rates. */
    NODE_RATE_GRANT,    /**< The owner's grant. */
    NODE_BOOTSTRAP,     /**< Found a group of these data folders. */
    NODE_LISTING,       /**< Changes of the listing, or the whole. */
    NODE_LOADS,         /**< A VM's load, demand and placements. */
    NODE_TOTALS,        /**< The leader's sums of them. */
    NODE_MESSAGE_COUNT, /**< Number of kinds. */
} node_message_kind;

/** Where a request is. */
typedef enum request_stage {
    STAGE_RATE,    /**< Waits for tokens. */
    STAGE_QUEUE,   /**< Waits for a runner. */
    STAGE_CLAIM,   /**< Waits for its claim. */
    STAGE_RUNNING, /**< Sent to an upstream. */
} request_stage;

/** Attempts that one request may make, each at another upstream. */
#define ATTEMPTS_MAX 3

/** A request that is open. */
typedef struct node_request {
    uint64_t id;                  /**< Number. */
    request_stage stage;          /**< Where it is. */
    char customer[BBM_NAME_SIZE]; /**< Whose, or "" on open routes. */
    char key[BBM_NAME_SIZE];      /**< Name of its key, or "". */
    char route[BBM_NAME_SIZE];    /**< Its route. */
    char model[BBM_NAME_SIZE];    /**< Its model, or "". */
    char scope[BBM_NAME_SIZE];    /**< Scope of cache entries. */
    bool repeatable;              /**< May be tried again. */
    bool claimed;                 /**< Holds a claim. */
    bbm_digest idem_key;          /**< Idempotency key. */
    bbm_digest body_digest;       /**< Digest of the request. */
    uint32_t attempt;             /**< Attempts so far. */
    bool first_byte_received;     /**< The upstream began to answer. */
    bool has_pick;                /**< Runs at a runner. */
    bbm_pick pick;                /**< Which one. */
    char upstream[BBM_NAME_SIZE]; /**< Engine or service. */
    char failed_upstreams[ATTEMPTS_MAX]
                         [BBM_NAME_SIZE]; /**< Where it failed. */
    size_t failed_upstreams_len;          /**< How often. */
    bool maybe_sent;                /**< An attempt may have reached one. */
    bbm_block_id *blocks;           /**< Of its prompt; owned. */
    size_t blocks_len;              /**< Blocks. */
    double block_tokens;            /**< Tokens in a block. */
    double prompt_tokens;           /**< Estimate. */
    double output_tokens;           /**< Reserved for the answer. */
    bool tokens_reserved;           /**< Tokens are taken from the rate. */
    double consumed_tokens;         /**< Of these, have run. */
    double weight;                  /**< The customer's. */
    uint32_t priority;              /**< The route's. */
    bbm_time arrived_at;            /**< When it came. */
    bbm_time started_at;            /**< When this attempt began. */
    bbm_time rate_deadline;         /**< Gives up waiting for tokens. */
    bbm_time start_deadline;        /**< Must have started by then. */
    bbm_time first_byte_timeout;    /**< Time to the first byte. */
    bbm_time idle_timeout;          /**< Time between bytes. */
    bbm_time first_token_at;        /**< When it began to answer; 0. */
    TAILQ_ENTRY(node_request) link; /**< In the list of its stage. */
    UT_hash_handle hh;              /**< By number. */
} node_request;

TAILQ_HEAD(request_list, node_request);

/** Who waits for a proposal's outcome. */
typedef enum proposal_waiter {
    WAITER_NONE,     /**< Only that it gets through. */
    WAITER_CLAIM,    /**< A request, by its number. */
    WAITER_OPERATOR, /**< A call, by its number. */
} proposal_waiter;

/** A command on its way. */
typedef struct node_proposal {
    uint64_t seq;           /**< Number in this run. */
    proposal_waiter waiter; /**< Who waits. */
    uint64_t waiter_id;     /**< Request or call. */
    bbm_buf bytes;          /**< Encoded command. */
    bbm_time retry_at;      /**< Send again then. */
    bbm_time expires_at;    /**< Give up then; BBM_NEVER. */
    bool abandoned;         /**< A claim that must be undone if it is made. */
    char customer[BBM_NAME_SIZE]; /**< WAITER_CLAIM: scope. */
    bbm_digest idem_key;          /**< WAITER_CLAIM: key. */
    UT_hash_handle hh;            /**< By seq. */
} node_proposal;

/** Leader: a proposal in the log whose outcome somebody wants. */
typedef struct node_pending_entry {
    uint64_t index;             /**< In the log. */
    char origin[BBM_NAME_SIZE]; /**< Who proposed. */
    uint64_t run;               /**< Its run. */
    uint64_t seq;               /**< Its number. */
    UT_hash_handle hh;          /**< By index. */
} node_pending_entry;

/** A daemon that polls us. */
typedef struct node_child {
    char name[BBM_NAME_SIZE]; /**< Which. */
    bbm_time last_poll_at;    /**< When last. */
    uint64_t sent_index;      /**< Public index that it has, or will have
                            when what was sent arrives. */
    bbm_time last_sent_at;    /**< When something was sent last. */
    UT_hash_handle hh;        /**< By name. */
} node_child;

/** A data folder that told its identity. */
typedef struct node_disk {
    char name[BBM_NAME_SIZE]; /**< Its daemon. */
    bbm_member_id id;         /**< Its identity. */
    bool log_empty;           /**< Its log is empty. */
    bool first_start;         /**< Told that the system has never run. */
    bbm_time last_hello_at;   /**< When. */
    bbm_time first_hello_at;  /**< When this folder was first heard of. */
    UT_hash_handle hh;        /**< By name. */
} node_disk;

/** Queue before a model's runners. */
typedef struct node_queue {
    char model[BBM_NAME_SIZE]; /**< Which. */
    bbm_admission *admission;  /**< The queue. */
    UT_hash_handle hh;         /**< By model. */
} node_queue;

/** Requests of one customer. */
typedef struct node_customer {
    char name[BBM_NAME_SIZE]; /**< Customer. */
    size_t open_requests;     /**< Requests open. */
    UT_hash_handle hh;        /**< By name. */
} node_customer;

/** A runner that reports are asked from. */
typedef struct node_watch {
    char engine[BBM_NAME_SIZE]; /**< Which. */
    char url[BBM_URL_SIZE];     /**< Where. */
    bool configured;            /**< Still configured. */
    UT_hash_handle hh;          /**< By engine. */
} node_watch;

/** An order that was sent under this leadership. */
typedef struct node_sent_order {
    char id[BBM_NAME_SIZE]; /**< Which. */
    bbm_time last_sent_at;  /**< When last. */
    bool end_proposed;      /**< Its end was proposed. */
    UT_hash_handle hh;      /**< By id. */
} node_sent_order;

/** A call that waits for a view that is newer than itself. */
typedef struct node_read {
    uint64_t op;                 /**< Call to answer. */
    bbm_time requested_at;       /**< The view must be as fresh. */
    bbm_time expires_at;         /**< Give up. */
    TAILQ_ENTRY(node_read) link; /**< In order. */
} node_read;

/** Stores of KV cache that are known. */
#define NODE_STORES_MAX 4

/** A store of KV cache. */
typedef struct node_store {
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    bool alive;                  /**< Answers. */
    bool watched;                /**< By us, as the leader. */
    bool configured;             /**< Still configured. */
} node_store;

/** A replacement of a control VM under way. */
typedef struct node_replacement {
    bool active;                  /**< There is one. */
    uint64_t op;                  /**< Call to answer. */
    char old_name[BBM_NAME_SIZE]; /**< Leaves. */
    char new_name[BBM_NAME_SIZE]; /**< Comes. */
    bbm_member_id new_id;         /**< The new folder. */
    bbm_time expires_at;          /**< Give up. */
} node_replacement;

/** A grant that waits until the books are agreed. */
typedef struct node_grant {
    bbm_rate_grant grant;          /**< To send. */
    uint64_t ledger_index;         /**< Of its books; 0: not written yet. */
    STAILQ_ENTRY(node_grant) link; /**< In order. */
} node_grant;

/** An action in the queue. */
typedef struct node_queued_action {
    bbm_action action;                    /**< What to do. */
    TAILQ_ENTRY(node_queued_action) link; /**< In order. */
} node_queued_action;

/** A node. */
struct bbm_node {
    bbm_node_desc desc;                       /**< With defaults filled in. */
    bbm_rng rng;                              /**< For choices. */
    bbm_time now;                             /**< Latest moment. */
    int64_t wall_ms;                          /**< Latest calendar time. */
    bbm_node_counts counts;                   /**< Metrics. */
    TAILQ_HEAD(, node_queued_action) actions; /**< To be taken. */
    node_queued_action *current_action;       /**< Handed out last. */

    bbm_state *state;             /**< Replicated. */
    bbm_raft *raft;               /**< NULL without a disk. */
    bool in_group;                /**< Our folder is a member. */
    node_disk *disks;             /**< Heard of. */
    bbm_time next_hello_at;       /**< Next hello. */
    node_replacement replacement; /**< Under way. */

    node_proposal *proposals;            /**< On their way. */
    uint64_t last_proposal_seq;          /**< Last number. */
    node_pending_entry *pending_entries; /**< Leader's. */

    char leader[BBM_NAME_SIZE]; /**< Known leader, or "". */
    uint64_t leader_term;       /**< Its term. */
    bbm_time fresh_at;          /**< Public state is complete up to here. */
    bool keys_stale;            /**< Keyed routes are stopped. */
    node_child *children;       /**< Who polls us. */
    char parent[BBM_NAME_SIZE]; /**< Whom we poll. */
    bbm_time next_poll_at;      /**< Next poll. */
    uint32_t polls_unanswered;  /**< Polls without an answer. */
    uint64_t last_poll_seq;     /**< Number of the last poll. */

    bbm_members *members;         /**< All VMs. */
    bbm_fleet *fleet;             /**< Runners. */
    node_queue *queues;           /**< By model. */
    node_watch *watches;          /**< Runners asked. */
    bbm_burn *burn;               /**< Objectives. */
    bbm_rate_holder *rate_holder; /**< Our parts of the buckets. */
    bbm_rate_owner *rate_owner;   /**< Leader only. */
    uint64_t rate_owner_term;     /**< Term of its office. */
    uint64_t term_first_index;    /**< First index of our leadership. */
    bbm_time leader_since;        /**< When it began. */
    uint64_t applied_index;       /**< Last index of the log applied here. */
    STAILQ_HEAD(, node_grant) pending_grants; /**< Wait for the books. */
    uint64_t ledger_index;            /**< Of the last books in the log. */
    bbm_time next_rate_check_at;      /**< Next look at the rates. */
    bbm_retry_budget retry_budget;    /**< For repeatable requests. */
    node_customer *customers;         /**< Open requests. */
    node_request *requests;           /**< All open. */
    struct request_list rate_waiters; /**< STAGE_RATE. */
    uint32_t service_cursor;          /**< Round robin over services. */

    node_sent_order *sent_orders;   /**< Leader's. */
    bbm_time next_orders_check_at;  /**< Next look at the orders. */
    bbm_time next_lost_vm_check_at; /**< Next look for lost VMs. */
    uint64_t config_revision;       /**< Revision that was taken over. */
    bbm_time first_configured_at;   /**< When. */

    bbm_member_id founder_ids[BBM_RAFT_MEMBERS_MAX]; /**< To found with. */
    char founder_names[BBM_RAFT_MEMBERS_MAX][BBM_NAME_SIZE]; /**< Theirs. */
    size_t founders_len;        /**< How many; 0: not chosen yet. */
    bbm_time next_bootstrap_at; /**< Next time that it is told. */
    bbm_time started_at;        /**< When this node was made. */
    bbm_time next_repair_at;    /**< Next look at the control group. */
    bbm_time
        last_group_leader_at; /**< When our folder last followed a leader. */
    bbm_time
        last_leader_update_at; /**< When another VM last told of the leader. */
    bool removed_from_group;   /**< The group goes on without our folder. */
    bbm_state *lagging_state;  /**< The log's state while it is older than what
                             was heard from others, or NULL. */

    bbm_gate *gate; /**< Requests to pools; NULL: no discovery. */
    bbm_time sample_window_start;    /**< When the present second began. */
    uint64_t sample_window_requests; /**< Requests sent in it. */
    uint64_t sample_one_in;          /**< So many share one that is logged. */
    bool caught_up;                /**< The configuration was current once. */
    TAILQ_HEAD(, node_read) reads; /**< Wait for a fresh view. */
    bbm_listing raw_listing;       /**< Upstreams as read last, by us. */
    bbm_listing listing;      /**< As in force here, with what is known. */
    uint64_t listing_term;    /**< Term of the leader that told it; 0: own. */
    uint64_t listing_version; /**< Its number under that leader. */
    bbm_time listing_read_at; /**< When it was read from the platform; 0. */
    bbm_time own_listing_read_at;   /**< When we ourselves read it last; 0. */
    bbm_time next_listing_check_at; /**< Next look at it. */
    bool listing_unreadable;        /**< It could not be read. */
    bbm_time listing_changed_at;    /**< Leader: when it last changed. */
    node_store stores[NODE_STORES_MAX]; /**< Of KV cache. */
    size_t stores_len;                  /**< How many. */
    uint64_t gate_revision;             /**< Revision that the gate has. */
    bbm_loads *loads;                   /**< As the VMs told them. */
    bbm_time
        next_load_report_at; /**< Next tale of load, though nothing changed. */
    bbm_buf
        relayed_placements; /**< Leader of many: placements to be passed on. */
    size_t relayed_placements_len; /**< VMs that told them. */
    bbm_rollout *rollout;          /**< Leader only. */
    uint64_t rollout_term;         /**< Its term. */

    bool ready_reported;     /**< As told. */
    bool stopping;           /**< Shutting down. */
    bool draining;           /**< Leaves: by stop or command. */
    bbm_time draining_since; /**< When that began. */
    bool stopped_reported;   /**< Told. */
};

/* ---- node_push_action.c ---- */

/** Queue an action. */
bbm_action *node_push_action(bbm_node *n, bbm_action_kind kind);
/** Queue a log line; fields are added with node_log_text. */
bbm_action *node_log_event(bbm_node *n, bbm_log_event event);
/** Add a field to a queued log line. */
void node_log_text(bbm_action *a, const char *name, const char *value);
/** Add a number. */
void node_log_number(bbm_action *a, const char *name, int64_t value);
/** Queue a log line with up to two fields. */
void node_log(bbm_node *n, bbm_log_event event, const char *subject,
              const char *detail);
/** Start a message to a daemon; append its fields to the action's buffer.
 *  The address is filled in from the members; without a name it must be set:
 *  the message is for whoever is there. */
bbm_action *node_send_to(bbm_node *n, const char *to, node_message_kind kind);
/** The same; returns the buffer. */
bbm_buf *node_send(bbm_node *n, const char *to, node_message_kind kind);
/** Answer an operator's call with a JSON text, which is taken over. */
void node_reply(bbm_node *n, uint64_t op, int code, char *json);
/** Append "{...}" of code and text to an operator's call. */
void node_reply_code(bbm_node *n, uint64_t op, int code,
                     const bbm_outcome *out);
/** Release an action; NULL is allowed. */
void node_free_action(node_queued_action *q);

/* ---- node_config.c ---- */

/** Ask a runner for reports, from all its blocks on, or stop. */
void node_watch_runner(bbm_node *n, const char *engine, const char *url,
                       bool on);
/** Configuration in force, or NULL. */
const bbm_config *node_config(const bbm_node *n);
/** A new configuration may be in force: take it over. */
void node_apply_config(bbm_node *n);

/* ---- node_control.c ---- */

/** Start the log's member. */
void node_control_create(bbm_node *n);
/** Release. */
void node_control_destroy(bbm_node *n);
/** Time has passed. */
void node_control_tick(bbm_node *n);
/** A message of the log came in. */
int node_control_raft(bbm_node *n, const char *from, bbm_reader *rd);
/** Carry out what the log's member put out. */
void node_control_process_outputs(bbm_node *n);
/** True if we lead under a lease. */
bool node_leads(const bbm_node *n);
/** Begin to replace a control VM. */
void node_replace_member(bbm_node *n, const bbm_operator_event *call);

/* ---- node_join.c ---- */

/** Time has passed: tell of our folder, found the group, keep it whole. */
void node_join_tick(bbm_node *n);
/** An identity came in. */
int node_join_hello(bbm_node *n, const char *from, bbm_reader *rd);
/** The first seed chose the founders. */
int node_join_found(bbm_node *n, const char *from, bbm_reader *rd);
/** What is heard of a daemon's data folder. */
node_disk *node_get_disk(bbm_node *n, const char *name);
/** True if our folder's log is empty. */
bool node_log_is_empty(const bbm_node *n);

/* ---- node_read.c ---- */

/** A call asks for the newest revision's source. */
void node_read_begin(bbm_node *n, uint64_t op);
/** Answer the calls for which the view is fresh enough by now. */
void node_read_tick(bbm_node *n);
/** Release. */
void node_read_destroy(bbm_node *n);

/* ---- node_upstreams.c ---- */

/** Time has passed. */
void node_upstreams_tick(bbm_node *n);
/** The list was read; NULL: it could not be. */
void node_upstreams_read(bbm_node *n, const bbm_listing *listing);
/** What the rollout knows changed: tell all. */
void node_upstreams_update(bbm_node *n);
/** The leader told of upstreams. */
int node_upstreams_receive_listing(bbm_node *n, const char *from,
                                   bbm_reader *rd);
/** A VM's load came in. */
int node_upstreams_receive_loads(bbm_node *n, const char *from,
                                 bbm_reader *rd);
/** The sums came in. */
int node_upstreams_receive_totals(bbm_node *n, const char *from,
                                  bbm_reader *rd);
/** Release. */
void node_upstreams_destroy(bbm_node *n);

/* ---- node_gate.c ---- */

/** Make the gate. */
void node_gate_create(bbm_node *n);
/** A caller's request. */
void node_gate_call(bbm_node *n, const bbm_pool_request_event *ev);
/** A new configuration or newer weights are in force. */
void node_gate_configure(bbm_node *n);
/** Time has passed. */
void node_gate_tick(bbm_node *n);
/** A store of KV cache answers, or doesn't. */
void node_gate_store(bbm_node *n, const char *address, bool alive);
/** Carry out what the gate put out. */
void node_gate_process_outputs(bbm_node *n);

/* ---- node_rollout.c ---- */

/** Time has passed. */
void node_rollout_tick(bbm_node *n);
/** A runner's report came in. */
void node_rollout_report(bbm_node *n, const char *id,
                         const bbm_runner_report *report);
/** A runner answered an order. */
void node_rollout_apply_answer(bbm_node *n, const char *id,
                               bbm_order_answer answer);
/** Leadership ended. */
void node_rollout_reset(bbm_node *n);

/* ---- node_propose.c ---- */

/** Propose a command; the outcome goes to who waits. */
node_proposal *node_propose(bbm_node *n, const bbm_command *cmd,
                            proposal_waiter who, uint64_t number,
                            bbm_time until);
/** Send again, give up. */
void node_propose_tick(bbm_node *n);
/** Another daemon's proposal came in. */
int node_propose_receive(bbm_node *n, const char *from, bbm_reader *rd);
/** An outcome came in. */
int node_propose_outcome(bbm_node *n, bbm_reader *rd);
/** An entry was applied: tell who waits. */
void node_propose_applied(bbm_node *n, uint64_t index, const bbm_outcome *out);
/** Leadership ended: forget the promises. */
void node_propose_reset(bbm_node *n);
/** Release. */
void node_propose_destroy(bbm_node *n);

/* ---- node_relay.c ---- */

/** Time has passed. */
void node_relay_tick(bbm_node *n);
/** A poll came in. */
int node_relay_poll(bbm_node *n, const char *from, bbm_reader *rd);
/** News came in, asked for or not. */
int node_relay_receive(bbm_node *n, const char *from, bbm_reader *rd,
                       bool asked);
/** The public state changed: tell the children. */
void node_relay_push(bbm_node *n);
/** Age of our view of the public state. */
bbm_time node_relay_age(const bbm_node *n);
/** Release. */
void node_relay_destroy(bbm_node *n);

/* ---- node_request.c ---- */

/** A request came in. */
void node_request_begin(bbm_node *n, const bbm_request_event *ev);
/** It may go on: after tokens, a claim, or a free runner. */
void node_request_dispatch(bbm_node *n, node_request *r);
/** Refuse it with a final answer. */
void node_request_refuse(bbm_node *n, node_request *r, int code,
                         bbm_time retry_after);
/** Release it without an answer. */
void node_request_free(bbm_node *n, node_request *r);
/** Upstreams that failed a request; a view, not to be freed. */
bbm_names node_request_failed_upstreams(const node_request *r);
/** By number, or NULL. */
node_request *node_request_find(const bbm_node *n, uint64_t id);
/** Time has passed: deadlines, queues. */
void node_request_tick(bbm_node *n);
/** Start what the runners have room for. */
void node_request_dispatch_queued(bbm_node *n);
/** Keys or configuration changed: cut what is no longer allowed. */
void node_request_check_keys(bbm_node *n);
/** Keys are too old: cut all keyed requests. */
void node_request_abort_keyed(bbm_node *n);
/** Release all. */
void node_request_destroy(bbm_node *n);

/* ---- node_run.c ---- */

/** Send a request to a runner or a service. */
void node_run_start(bbm_node *n, node_request *r);
/** The upstream began to answer. */
void node_run_first_byte(bbm_node *n, uint64_t id, uint32_t attempt);
/** Tokens were generated. */
void node_run_progress(bbm_node *n, uint64_t id, int64_t output);
/** An attempt ended. */
void node_run_finished(bbm_node *n, const bbm_finished_event *ev);
/** The caller went away. */
void node_run_client_disconnected(bbm_node *n, uint64_t id);
/** Abort a running request. */
void node_run_abort(bbm_node *n, node_request *r, int code);
/** Take a runner's slot back after an attempt. */
void node_run_release_slot(bbm_node *n, node_request *r, bool failed);

/* ---- node_claim.c ---- */

/** Ask for a request's claim. */
void node_claim_begin(bbm_node *n, node_request *r);
/** The claim's outcome came. */
void node_claim_outcome(bbm_node *n, const node_proposal *p,
                        const bbm_outcome *out);
/** A request gave up waiting: undo the claim if it is made. */
void node_claim_abandon(bbm_node *n, const node_request *r);
/** Tell the group what came of a claimed request. */
void node_claim_end(bbm_node *n, const node_request *r, bbm_claim_end how,
                    const bbm_finished_event *ev);

/* ---- node_rate.c ---- */

/** Time has passed. */
void node_rate_tick(bbm_node *n);
/** A report or grant came in. */
int node_rate_receive(bbm_node *n, const char *from, node_message_kind kind,
                      bbm_reader *rd);
/** Leadership or configuration changed. */
void node_rate_update(bbm_node *n, bool new_revision);
/** Leadership ended: the books are another's. */
void node_rate_reset_owner(bbm_node *n);
/** An entry of the log was applied: books may be agreed. */
void node_rate_applied(bbm_node *n);
/** Try to take a request's tokens; refuses or goes on. */
void node_rate_reserve(bbm_node *n, node_request *r);
/** Count tokens of a request as run, up to a total. */
void node_rate_consume(bbm_node *n, node_request *r, double total);
/** Give back what a request did not use. */
void node_rate_release(bbm_node *n, node_request *r);

/* ---- node_orders.c ---- */

/** Time has passed; leader only. */
void node_orders_tick(bbm_node *n);
/** An engine answered an order. */
void node_orders_result(bbm_node *n, const char *id, int code);
/** Leadership ended. */
void node_orders_reset(bbm_node *n);

/* ---- node_operator.c ---- */

/** An operator's call. */
void node_operator_call(bbm_node *n, const bbm_operator_event *call);
/** A caller asks for addresses. */
void node_operator_entries(bbm_node *n, uint64_t op, uint64_t caller,
                           const char *zone, size_t most);

#endif
