/** @file
 *  State of a node and the functions shared by the sources of node/
 *  (private).
 *
 *  All functions run on the thread that steps the node.  They read the time
 *  from bbm_node::now and queue what is to be done as actions.  Those that
 *  process a message return BBM_ERR_DECODE if it is malformed; other codes
 *  are ignored by the caller.
 */
#ifndef NODE_CORE_H
#define NODE_CORE_H

#include "bbm_admission.h"
#include "bbm_entries.h"
#include "bbm_loads.h"
#include "bbm_node.h"
#include "bbm_rate.h"
#include "bbm_relays.h"
#include "bbm_release.h"
#include "bbm_retry.h"

#include <sys/queue.h>
#include <uthash.h>

/** First field of the messages between daemons whose content is the same in
 *  all formats, or that don't say theirs.  Others begin with their format,
 *  BBM_FORMAT_STATED or later. */
#define NODE_MESSAGE_VERSION 2

/** Kinds of message between daemons. */
typedef enum node_message_kind {
    NODE_RAFT,          /**< Raft message of the control group. */
    NODE_MEMBERS,       /**< Message of the failure detector. */
    NODE_HELLO,         /**< Identity of the sender's data folder. */
    NODE_POLL,          /**< Requests changes of the public state. */
    NODE_POLL_REPLY,    /**< Reply to a poll: changes and their age. */
    NODE_PUSH,          /**< Changes of the public state, without a poll. */
    NODE_PROPOSE,       /**< Command to append to the log; to the leader. */
    NODE_OUTCOME,       /**< Outcome of a proposed command; to its sender. */
    NODE_RATE_REPORT,   /**< Rate holder's report to the rate owner. */
    NODE_RATE_GRANT,    /**< Rate owner's grant to a holder. */
    NODE_BOOTSTRAP,     /**< Members with which to bootstrap the group. */
    NODE_LISTING,       /**< Changes of the listing, or the complete one. */
    NODE_LOADS,         /**< A VM's load, demand and news. */
    NODE_TOTALS,        /**< The leader's totals over all VMs. */
    NODE_ORIGINS,       /**< Origins of streams; to the leader. */
    NODE_ORIGIN_QUERY,  /**< Asks the leader where a stream began. */
    NODE_ORIGIN,        /**< The answer; 0: nobody knows. */
    NODE_RELEASE,       /**< Evidence about releases; to the leader. */
    NODE_MESSAGE_COUNT, /**< Number of kinds. */
} node_message_kind;

/** Stage of an open request. */
typedef enum request_stage {
    STAGE_RATE,    /**< Waits for tokens of its customer's rate. */
    STAGE_QUEUE,   /**< Waits for a runner. */
    STAGE_CLAIM,   /**< Waits for its claim to be recorded in the log. */
    STAGE_RUNNING, /**< Sent to an upstream, or about to be. */
} request_stage;

/** Attempts that one request may make, each at another upstream. */
#define ATTEMPTS_MAX 3

/** An open request. */
typedef struct node_request {
    uint64_t id;                  /**< Unique in this run of the daemon. */
    request_stage stage;          /**< Current stage. */
    char customer[BBM_NAME_SIZE]; /**< Customer, or "" on open routes. */
    char key[BBM_NAME_SIZE];      /**< Name of the API key, or "". */
    char route[BBM_NAME_SIZE];    /**< Name of the route. */
    char model[BBM_NAME_SIZE];    /**< Model, or "" on a service route. */
    char scope[BBM_NAME_SIZE];    /**< Scope of cache entries, as
                                       bbm_config_model_scope. */
    bool repeatable;              /**< May run more than once. */
    bool claimed;                 /**< Its claim is in the log. */
    bbm_digest idem_key;          /**< Digest of the idempotency key. */
    bbm_digest body_digest;       /**< Digest of the request. */
    uint32_t attempt;             /**< Current attempt, from 1; 0: none. */
    bool first_byte_received;     /**< In the current attempt. */
    bool has_pick;                /**< A runner slot is held: see pick. */
    bbm_pick pick;                /**< Chosen runner, while has_pick. */
    char upstream[BBM_NAME_SIZE]; /**< Engine or service of the attempt. */
    char failed_upstreams[ATTEMPTS_MAX][BBM_NAME_SIZE]; /**< Not tried
                                                             again. */
    size_t failed_upstreams_len;    /**< Number of failed_upstreams. */
    bool maybe_sent;                /**< An attempt that has ended may have
                                         reached its upstream, and run. */
    bbm_block_id *blocks;           /**< Block ids of the prompt; owned. */
    size_t blocks_len;              /**< Number of blocks. */
    double block_tokens;            /**< Tokens in a block. */
    double prompt_tokens;           /**< Estimated from the prompt's bytes;
                                         the route's cost for a service. */
    double output_tokens;           /**< Upper limit of the answer. */
    bool tokens_reserved;           /**< Prompt and output tokens are
                                         reserved from the rate. */
    double consumed_tokens;         /**< Reserved tokens that were consumed;
                                         the rest is returned at the end. */
    double weight;                  /**< The customer's, for fair queuing. */
    uint32_t priority;              /**< The route's; 0 is the most urgent. */
    bbm_time arrived_at;            /**< Arrival of the request. */
    bbm_time started_at;            /**< Start of the current attempt. */
    bbm_time rate_deadline;         /**< Refused if its tokens are not reserved
                                         by then. */
    bbm_time start_deadline;        /**< Refused if not started by then; no
                                         retry after it. */
    bbm_time first_byte_timeout;    /**< From the send to the first byte. */
    bbm_time idle_timeout;          /**< Between two bytes of the answer. */
    bbm_time first_token_at;        /**< Time of the first byte of the latest
                                         answer; 0: none. */
    TAILQ_ENTRY(node_request) link; /**< In rate_waiters (STAGE_RATE). */
    UT_hash_handle hh;              /**< By id. */
} node_request;

TAILQ_HEAD(request_list, node_request);

/** Receiver of a proposal's outcome. */
typedef enum proposal_waiter {
    WAITER_NONE,     /**< None: the outcome is dropped. */
    WAITER_CLAIM,    /**< The request whose id is waiter_id. */
    WAITER_OPERATOR, /**< The operator's call whose number is waiter_id. */
} proposal_waiter;

/** A command that this daemon proposed and whose outcome is not known. */
typedef struct node_proposal {
    uint64_t seq;           /**< Unique in this run of the daemon. */
    proposal_waiter waiter; /**< Receiver of the outcome. */
    uint64_t waiter_id;     /**< Request or call; 0 for WAITER_NONE. */
    bbm_buf bytes;          /**< Encoded command; owned. */
    bbm_time retry_at;      /**< Next send. */
    bbm_time expires_at;    /**< Dropped then; BBM_NEVER: never. */
    uint32_t sends;         /**< Times that a leader may have appended it. */
    bool abandoned;         /**< WAITER_CLAIM: the request has ended; the claim
                                 is closed as not run if it was recorded. */
    char customer[BBM_NAME_SIZE]; /**< WAITER_CLAIM: scope of the key. */
    bbm_digest idem_key;          /**< WAITER_CLAIM: idempotency key. */
    UT_hash_handle hh;            /**< By seq. */
} node_proposal;

/** Leader: an entry of the log whose outcome a daemon waits for. */
typedef struct node_pending_entry {
    uint64_t index;             /**< Index in the log. */
    char origin[BBM_NAME_SIZE]; /**< Daemon that proposed it. */
    uint64_t run;               /**< Run of that daemon. */
    uint64_t seq;               /**< Number of the proposal in that run. */
    UT_hash_handle hh;          /**< By index. */
} node_pending_entry;

/** A daemon that polls this one for the public state. */
typedef struct node_child {
    char name[BBM_NAME_SIZE]; /**< Name of the daemon. */
    bbm_time last_poll_at;    /**< Latest poll received. */
    uint64_t sent_index;      /**< Public index that it has once everything
                                   sent to it has arrived. */
    bbm_time last_sent_at;    /**< Latest send of changes. */
    UT_hash_handle hh;        /**< By name. */
} node_child;

/** A daemon's data folder, as its hello described it. */
typedef struct node_disk {
    char name[BBM_NAME_SIZE]; /**< Name of the daemon. */
    bbm_member_id id;         /**< Identity of the folder; 0: unknown. */
    bool log_empty;           /**< Its log is empty and its term is 0. */
    bool first_start;         /**< The daemon's settings say that the system
                                   has never run. */
    bbm_time last_hello_at;   /**< Latest hello; 0: none. */
    bbm_time first_hello_at;  /**< First hello with this id. */
    UT_hash_handle hh;        /**< By name. */
} node_disk;

/** Queue of requests for a model's runners. */
typedef struct node_queue {
    char model[BBM_NAME_SIZE]; /**< Name of the model. */
    bbm_admission *admission;  /**< The queue; owned. */
    UT_hash_handle hh;         /**< By model. */
} node_queue;

/** Number of open requests of one customer. */
typedef struct node_customer {
    char name[BBM_NAME_SIZE]; /**< Customer; "" for open routes. */
    size_t open_requests;     /**< At least 1; removed with the last one. */
    UT_hash_handle hh;        /**< By name. */
} node_customer;

/** A runner whose cache and load reports are subscribed to. */
typedef struct node_watch {
    char engine[BBM_NAME_SIZE]; /**< Name of the engine. */
    char url[BBM_URL_SIZE];     /**< Its URL. */
    bool configured;            /**< Used while a revision is applied: it
                                     contains this engine. */
    UT_hash_handle hh;          /**< By engine. */
} node_watch;

/** Leader: an order that it sent in its term. */
typedef struct node_sent_order {
    char id[BBM_NAME_SIZE]; /**< Id of the order. */
    bbm_time last_sent_at;  /**< Latest send to the engine. */
    bool is_refused;        /**< The engine has refused the latest send, or
                                 hasn't answered it. */
    bool end_proposed;      /**< Its final state was proposed to the log. */
    UT_hash_handle hh;      /**< By id. */
} node_sent_order;

/** A read that waits until the public state is fresh enough. */
typedef struct node_read {
    uint64_t op;                 /**< Operator's call to answer. */
    char pool[BBM_NAME_SIZE];    /**< Pool whose release is read; "": the
                                      source of the revision is. */
    bbm_time requested_at;       /**< The state must be fresh up to here. */
    bbm_time expires_at;         /**< Refused then. */
    TAILQ_ENTRY(node_read) link; /**< In bbm_node::reads, oldest first. */
} node_read;

/** Stores of KV cache in use; further configured ones are ignored. */
#define NODE_STORES_MAX 4

/** A store of KV cache. */
typedef struct node_store {
    char address[BBM_NAME_SIZE]; /**< IP:port. */
    bool alive;                  /**< Answered the latest probe; only the
                                      leader probes. */
    bool watched;                /**< Probed by this VM, as the leader. */
    bool configured;             /**< Used while a revision is applied: it
                                      contains this store. */
} node_store;

/** An operator's replacement of a control VM. */
typedef struct node_replacement {
    bool active;                  /**< Under way; else the rest is unused. */
    uint64_t op;                  /**< Operator's call to answer. */
    char old_name[BBM_NAME_SIZE]; /**< VM whose member is removed. */
    char new_name[BBM_NAME_SIZE]; /**< VM whose folder is added. */
    bbm_member_id new_id;         /**< Folder that is added. */
    bbm_time expires_at;          /**< Ended with an error then. */
} node_replacement;

/** A rate grant that is sent once the ledger that covers it is committed. */
typedef struct node_grant {
    bbm_rate_grant grant;          /**< The grant; its bytes are owned. */
    uint64_t ledger_index;         /**< Log index of the ledger; 0: not yet
                                        proposed. */
    STAILQ_ENTRY(node_grant) link; /**< In order of their creation. */
} node_grant;

/** Leader: a release of software in progress. */
typedef struct node_release {
    bbm_release *decision; /**< Owned. */
    uint64_t proposal;     /**< Its last proposed change. */
} node_release;

/** An action in the queue. */
typedef struct node_queued_action {
    bbm_action action;                    /**< The action. */
    TAILQ_ENTRY(node_queued_action) link; /**< In order. */
} node_queued_action;

/** A node. */
struct bbm_node {
    bbm_node_desc desc;     /**< With defaults filled in. */
    bbm_rng rng;            /**< Random choices; seeded by desc. */
    bbm_time now;           /**< Time of the current step; never goes back. */
    int64_t wall_ms;        /**< Calendar time of the latest tick. */
    bbm_time wall_at;       /**< Time of that tick. */
    bbm_node_counts counts; /**< Metrics. */
    TAILQ_HEAD(, node_queued_action) actions; /**< Not yet handed out. */
    node_queued_action *current_action;       /**< Handed out last; freed with
                                                   the next one. */

    bbm_state *state;             /**< Replicated state in force here. */
    bbm_raft *raft;               /**< NULL without a data folder. */
    bool in_group;                /**< The data folder of this VM is a member
                                       of the control group. */
    node_disk *disks;             /**< Data folders of other daemons. */
    bbm_time next_hello_at;       /**< Next hello to founders, seeds and the
                                       leader. */
    node_replacement replacement; /**< Replacement under way. */

    node_proposal *proposals;   /**< Without a known outcome, by seq. */
    uint64_t last_proposal_seq; /**< 0: none yet. */
    node_pending_entry *pending_entries; /**< Leader only. */

    char leader[BBM_NAME_SIZE]; /**< Known leader, or "". */
    uint64_t leader_term;       /**< Term of the leader; 0: none known. */
    bbm_time fresh_at;          /**< The public state here contains all that
                                     was committed by this time. */
    bool keys_stale;            /**< The public state is older than
                                     desc.key_age_max: routes with API keys
                                     refuse. */
    bool wants_snapshot;        /**< A command is of a later format: the next
                                     ones can't be applied behind it. */
    node_child *children;       /**< Daemons that poll this one. */
    char parent[BBM_NAME_SIZE]; /**< Daemon that this one polls, or "". */
    bbm_time next_poll_at;      /**< Next poll. */
    uint32_t polls_unanswered;  /**< Polls since the latest answer that was
                                     younger than key_age_max. */
    bbm_time incomplete_since;  /**< Since then others have more of the public
                                     state, and nothing of it has come; 0: they
                                     don't. */
    uint64_t last_poll_seq;     /**< Unused. */

    bbm_members *members;       /**< All VMs of the system. */
    bbm_format unstated_format; /**< That a VM that states none was last seen
                                     to write. */
    bbm_format received_format; /**< That the message which is being
                                     processed says; BBM_FORMAT_UNKNOWN: it
                                     says none. */
    bool state_unreadable;      /**< The log's state is of a later format:
                                     this VM has left the control group. */
    bbm_time bad_message_logged_at; /**< Last log line about a rejected
                                         message; 0: none. */
    uint64_t bad_messages_unlogged; /**< Rejected since that line. */
    bbm_fleet *fleet;               /**< Runners and what they cache. */
    node_queue *queues;             /**< By model. */
    node_watch *watches;            /**< Runners subscribed to. */
    bbm_burn *burn;                 /**< Burn rates of the objectives. */
    bbm_rate_holder *rate_holder;   /**< This VM's allocations. */
    bbm_rate_owner *rate_owner; /**< NULL unless this node is the leader. */
    uint64_t rate_owner_term;   /**< Term of rate_owner. */
    uint64_t term_first_index;  /**< Leader: log index of the first entry
                                     of its term, a no-op.  Once it is
                                     applied, all earlier terms are. */
    bbm_time leader_since;      /**< When this node became the leader. */
    uint64_t applied_index;     /**< Last log index applied here. */
    STAILQ_HEAD(, node_grant) pending_grants; /**< Wait for the ledger. */
    uint64_t ledger_index;            /**< Log index of the latest ledger
                                           proposed; 0: none. */
    bbm_time next_rate_check_at;      /**< Next check of the rates. */
    bbm_retry_budget retry_budget;    /**< For repeatable requests. */
    node_customer *customers;         /**< Those with open requests. */
    node_request *requests;           /**< All open ones, by id. */
    struct request_list rate_waiters; /**< STAGE_RATE, by arrival. */
    uint32_t service_cursor;          /**< Round robin over services. */

    node_sent_order *sent_orders;   /**< Leader only. */
    bbm_time next_orders_check_at;  /**< Next check of the orders. */
    bbm_time next_lost_vm_check_at; /**< Next search for claims of lost
                                         VMs. */
    uint64_t config_revision;       /**< Revision in force; 0: none. */
    bbm_time first_configured_at;   /**< When the first revision came into
                                         force. */

    bbm_member_id founder_ids[BBM_RAFT_MEMBERS_MAX]; /**< Data folders that
                                                          this daemon, as the
                                                          first seed, chose as
                                                          members. */
    char founder_names[BBM_RAFT_MEMBERS_MAX][BBM_NAME_SIZE]; /**< Names of
                                                                  their VMs. */
    size_t founders_len;           /**< 0: not chosen yet. */
    bbm_time next_bootstrap_at;    /**< Next attempt to bootstrap the group. */
    bbm_time started_at;           /**< When this node was created. */
    bbm_time next_repair_at;       /**< Next check of the control group. */
    bbm_time last_group_leader_at; /**< When this folder last followed a
                                        leader of its group. */
    bbm_time last_leader_update_at; /**< When another VM last reported a
                                         leader with a fresh state. */
    bool removed_from_group;  /**< The group goes on without this folder. */
    bbm_state *lagging_state; /**< State of the log while it is older than
                                   the state received from other VMs, which
                                   stays in force; else NULL. */

    bbm_gate *gate;                    /**< Requests to pools; NULL: no
                                            discovery. */
    bbm_time invalid_notice_logged_at; /**< Last log line about an invalid
                                            notice of an upstream; 0: none. */
    uint64_t invalid_notices;          /**< Invalid notices since that line. */
    bbm_time sample_window_start;      /**< Log sampling: start of the current
                                            window of a second. */
    uint64_t sample_window_requests;   /**< Log sampling: first attempts in the
                                            window. */
    uint64_t sample_one_in;            /**< Log sampling: one in this number of
                                            successful requests is logged; 0:
                                            all. */
    bool caught_up;                /**< The configuration was current once, or
                                        CATCH_UP_TIMEOUT passed; stays set. */
    TAILQ_HEAD(, node_read) reads; /**< Wait for a fresh state. */
    bbm_listing raw_listing;       /**< As last read by this VM. */
    bbm_listing listing;           /**< In force here; has the versions of
                                        weights known from the rollout. */
    uint64_t listing_term;         /**< Term of the leader whose listing it is;
                                        0: this VM read it without a leader. */
    uint64_t listing_version;      /**< Number of the listing in that term; 0
                                        with listing_term 0. */
    uint64_t listing_led_term;     /**< Last term in which this VM read it as
                                        the leader. */
    bbm_time listing_read_at;     /**< When it was read from the provider, here
                                        or at the leader; 0: never. */
    bbm_time own_listing_read_at; /**< Latest read by this VM; 0: never. */
    bbm_time next_listing_check_at; /**< Earliest next read by this VM. */
    bool listing_unreadable;        /**< The latest read failed. */
    bbm_time listing_changed_at;    /**< Leader: latest change of listing. */
    node_store stores[NODE_STORES_MAX]; /**< Stores of KV cache. */
    size_t stores_len;                  /**< Stores in use. */
    bbm_time quarantine_compared_at;    /**< See node_quarantine.c. */
    bbm_origins *origins_received; /**< Leader: origins that it has received,
                                        known before they are in the state;
                                        NULL on the other VMs. */
    bbm_buf pending_origins;       /**< Leader: rows of the next batch. */
    size_t pending_origins_len;    /**< Number of these rows. */
    uint64_t origins_proposal;     /**< Proposal of the last batch. */
    uint64_t origins_dropped_term; /**< Last term in which rows were dropped,
                                        and that was logged. */
    uint64_t origins_term;         /**< Term of the leader that was last sent
                                        origins. */
    bbm_time next_origins_at;      /**< Next report of origins. */
    uint64_t gate_revision;        /**< Configuration revision of the gate. */
    char shared_scope[BBM_NAME_SIZE]; /**< Its shared cache scope. */
    bbm_loads *loads;             /**< Latest report of each VM; NULL before
                                       the first. */
    bbm_time next_load_report_at; /**< Next report even without a change. */
    bbm_buf relayed_news;         /**< News to be sent with the next
                                             report or totals, in groups by VM. */
    size_t relayed_news_len;      /**< Groups in relayed_news. */
    bbm_buf sent_totals;          /**< Leader: the totals sent last. */
    bbm_relays *relays;           /**< Leader: who forwards totals; NULL
                                       before it is used. */
    uint64_t relays_term;         /**< Term of the leader of relays. */
    size_t totals_requests;       /**< Leader: VMs that have asked for totals
                                       since. */
    bbm_time totals_asked_at;     /**< When this VM last asked for totals. */
    uint64_t totals_term;         /**< Term of the leader of the last
                                       totals. */
    uint64_t totals_number;       /**< Number of these totals in that term. */
    bbm_time totals_at;           /**< When they were received; leader: when
                                       they were sent; 0: never. */
    bbm_rollout *rollout;         /**< NULL unless this node is the leader. */
    uint64_t rollout_term;        /**< Term of rollout. */
    bbm_rollout_progress rollout_progress; /**< As last logged. */
    bbm_time rollout_logged_at;            /**< When that was logged. */

    uint64_t releases_index;         /**< Public index whose releases the gate
                                          has. */
    bbm_releases known_releases;     /**< As last logged. */
    node_release *releases;          /**< Leader: those in progress; owned. */
    size_t releases_len;             /**< Their number. */
    size_t releases_cap;             /**< Allocated number. */
    uint64_t releases_term;          /**< Leader: term of these decisions. */
    bbm_time next_release_report_at; /**< Next report of evidence. */
    bbm_time next_release_check_at;  /**< Leader: next decision. */

    bool ready_reported;     /**< Value of the latest BBM_ACT_READY. */
    bool stopping;           /**< BBM_EV_STOP was received. */
    bool draining;           /**< Stopping, or drained by an operator. */
    bbm_time draining_since; /**< When draining last became true. */
    bool stopped_reported;   /**< BBM_ACT_STOPPED was queued. */
};

/* ---- node_act.c ---- */

/** Queues an action; valid until it is handed out.  The caller fills it in. */
bbm_action *node_push_action(bbm_node *n, bbm_action_kind kind);
/** Queues a log line; add its fields with node_log_text and
 *  node_log_number. */
bbm_action *node_log_event(bbm_node *n, bbm_log_event event);
/** Adds a text field to a queued log line. */
void node_log_text(bbm_action *a, const char *name, const char *value);
/** Adds a number field to a queued log line. */
void node_log_number(bbm_action *a, const char *name, int64_t value);
/** Queues a log line with up to two fields; "" leaves one out. */
void node_log(bbm_node *n, bbm_log_event event, const char *subject,
              const char *detail);
/** Queues a message to a daemon; append its fields to the action's buffer.
 *  The address is looked up among the members.  If @p to is "", the caller
 *  sets the address, and the message goes to the daemon at that address. */
bbm_action *node_send_to(bbm_node *n, const char *to, node_message_kind kind);
/** Like node_send_to, but returns the message's buffer. */
bbm_buf *node_send(bbm_node *n, const char *to, node_message_kind kind);
/** Like node_send, for content that depends on the format. */
bbm_buf *node_send_in_format(bbm_node *n, const char *to,
                             node_message_kind kind, bbm_format format);
/** Answers an operator's call; @p json, from malloc, is freed here.  NULL: no
 *  body. */
void node_reply(bbm_node *n, uint64_t op, int code, char *json);
/** Answers an operator's call with a JSON object of the code, its text and
 *  the leader, and of @p out unless it is NULL. */
void node_reply_code(bbm_node *n, uint64_t op, int code,
                     const bbm_outcome *out);
/** Releases an action; NULL is allowed. */
void node_free_action(node_queued_action *q);

/* ---- node_formats.c ---- */

/** Latest format that a VM is known to read, at most this VM's;
 *  BBM_FORMAT_UNKNOWN if nothing is known.  This VM's own format if it states
 *  none. */
bbm_format node_known_format(const bbm_node *n, const char *vm);
/** Format in which a VM is sent reports, totals and listings. */
bbm_format node_news_format(const bbm_node *n, const char *vm);
/** Format in which a VM is sent control state: the oldest if nothing is
 *  known. */
bbm_format node_state_format(const bbm_node *n, const char *vm);
/** Control VMs: latest format whose state all members of the group read. */
bbm_format node_group_format(const bbm_node *n);
/** Creates an empty replicated state. */
bbm_state *node_create_state(const bbm_node *n);
/** Oldest format of the alive VMs; BBM_FORMAT_UNKNOWN if one isn't known. */
bbm_format node_oldest_format(const bbm_node *n);
/** Records the format of a message from a VM that states none. */
void node_observe_format(bbm_node *n, const char *vm, bbm_format format);

/* ---- node_config.c ---- */

/** Subscribes to a runner's reports, beginning with a list of all its blocks,
 *  or ends the subscription. */
void node_watch_runner(bbm_node *n, const char *engine, const char *url,
                       bool on);
/** Configuration in force, or NULL; valid until the state changes. */
const bbm_config *node_config(const bbm_node *n);
/** Applies the newest revision, keys, weights and drain marks of the public
 *  state.  To be called after each change of them. */
void node_apply_config(bbm_node *n);

/* ---- node_control.c ---- */

/** Creates the Raft member from the contents of the data folder. */
void node_control_create(bbm_node *n);
/** Releases the Raft member and the records of other daemons' folders. */
void node_control_destroy(bbm_node *n);
/** Runs the timers of the Raft member and the steps of a replacement. */
void node_control_tick(bbm_node *n);
/** Processes a Raft message. */
int node_control_raft(bbm_node *n, const char *from, bbm_reader *rd);
/** Processes the outputs of the Raft member: sends, writes, applies. */
void node_control_process_outputs(bbm_node *n);
/** True if this node is the leader and its lease has not ended. */
bool node_leads(const bbm_node *n);
/** Starts an operator's replacement of a control VM, or refuses it. */
void node_replace_member(bbm_node *n, const bbm_operator_event *call);

/* ---- node_join.c ---- */

/** Sends hellos, bootstraps the group, repairs it as the leader, and detects
 *  that this VM's folder was removed from it. */
void node_join_tick(bbm_node *n);
/** Processes a hello. */
int node_join_hello(bbm_node *n, const char *from, bbm_reader *rd);
/** Bootstraps the group with the members in a message of the first seed. */
int node_join_bootstrap(bbm_node *n, const char *from, bbm_reader *rd);
/** Record of a daemon's data folder; created if there is none. */
node_disk *node_get_disk(bbm_node *n, const char *name);
/** True if the log of this folder is empty and its term is 0. */
bool node_log_is_empty(const bbm_node *n);

/* ---- node_read.c ---- */

/** Begins a linearizable read for an operator's call: of the latest release of
 *  a pool, or of the newest revision's source (NULL). */
void node_read_begin(bbm_node *n, uint64_t op, const char *pool);
/** Answers the reads for which the state is fresh enough, and refuses those
 *  that have expired. */
void node_read_tick(bbm_node *n);
/** Releases the waiting reads without an answer. */
void node_read_destroy(bbm_node *n);

/* ---- node_news.c ---- */

/** Sends a message to another VM. */
typedef void node_news_fn(bbm_node *n, const char *to, void *context);

/** Call @p fn for each VM that gets the leader's news from this VM. */
void node_news_to_children(bbm_node *n, node_news_fn *fn, void *context);
/** Time after which all VMs have the leader's news; 0: a few milliseconds. */
bbm_time node_news_delay(const bbm_node *n);
/** Sends this VM's report, and the leader's totals, when they are due. */
void node_news_tick(bbm_node *n);
/** Processes a report of load and news, of one VM or of several. */
int node_news_receive_loads(bbm_node *n, const char *from, bbm_reader *rd);
/** Processes the leader's totals. */
int node_news_receive_totals(bbm_node *n, const char *from, bbm_reader *rd);

/* ---- node_upstreams.c ---- */

/** Age of the listing in force, at most an hour; an hour if it is unknown. */
bbm_time node_upstreams_listing_age(const bbm_node *n);
/** Sends the complete listing in force to a VM. */
void node_upstreams_send_listing(bbm_node *n, const char *to);

/** Reads the listing, and reports the load, when they are due. */
void node_upstreams_tick(bbm_node *n);
/** Processes a listing that this VM read from the provider; NULL: the read
 *  failed. */
void node_upstreams_process_read(bbm_node *n, const bbm_listing *listing);
/** Leader: applies the listing with the rollout's versions and sends what
 *  changed to all VMs. */
void node_upstreams_update(bbm_node *n);
/** Processes the leader's changes of the listing. */
int node_upstreams_receive_listing(bbm_node *n, const char *from,
                                   bbm_reader *rd);
/** Releases listings, loads and news. */
void node_upstreams_destroy(bbm_node *n);

/* ---- node_gate.c ---- */

/** Creates the gate. */
void node_gate_create(bbm_node *n);
/** Checks a client's request to a pool and passes it to the gate, refuses it,
 *  or lets it be submitted again shortly after the start. */
void node_gate_request(bbm_node *n, const bbm_pool_request_event *ev);
/** Passes a new configuration and new versions of weights to the gate. */
void node_gate_configure(bbm_node *n);
/** Runs the gate's timers and the probes of the stores. */
void node_gate_tick(bbm_node *n);
/** Processes the result of a probe of a KV cache store. */
void node_gate_store_status(bbm_node *n, const char *address, bool alive);
/** Processes the gate's outputs. */
void node_gate_process_outputs(bbm_node *n);

/* ---- node_rollout.c ---- */

/** Leader: sends the requests and orders that the rollout requires now. */
void node_rollout_tick(bbm_node *n);
/** Processes a runner's report; NULL: it didn't answer. */
void node_rollout_apply_report(bbm_node *n, const char *id,
                               const bbm_runner_report *report);
/** Processes a runner's answer to an order. */
void node_rollout_apply_answer(bbm_node *n, const char *id,
                               bbm_order_answer answer);
/** Discards the rollout when leadership ends. */
void node_rollout_reset(bbm_node *n);

/* ---- node_quarantine.c ---- */

/** Adopts the quarantined prompt parts of the replicated state.  Leader:
 *  proposes changes of them.  To be called on each tick. */
void node_quarantine_tick(bbm_node *n);

/* ---- node_origins.c ---- */

/** Finds where a stream began that a request takes up, and tells the gate now
 *  or once the leader has answered.  @p stream and @p listed are as in
 *  BBM_GATE_FIND_ORIGIN. */
void node_origins_find(bbm_node *n, uint64_t request, uint64_t stream,
                       uint64_t listed);
/** Reports the origins of new streams.  Leader: proposes those received. */
void node_origins_tick(bbm_node *n);
/** Leader: adds reported origins to its next batch. */
int node_origins_receive(bbm_node *n, bbm_reader *rd);
/** Leader: answers where a stream began, if it can. */
int node_origins_answer(bbm_node *n, const char *from, bbm_reader *rd);
/** Processes the leader's answer. */
int node_origins_receive_answer(bbm_node *n, bbm_reader *rd);
/** Releases the origins. */
void node_origins_destroy(bbm_node *n);

/* ---- node_release.c ---- */

/** Proposes an operator's order to release software, or refuses it. */
void node_release_order(bbm_node *n, const bbm_operator_event *call);
/** Replies with the latest release of a pool. */
void node_release_reply(bbm_node *n, uint64_t op, const char *pool);
/** Passes the releases in force to the gate; to be called after each change of
 *  the public state. */
void node_release_apply(bbm_node *n);
/** Age of the public state from which a build that is released gets no
 *  requests of this VM. */
bbm_time node_release_view_max(const bbm_node *n);
/** Passes the releases to the gate and reports their evidence.  Leader:
 *  decides on them. */
void node_release_tick(bbm_node *n);
/** Leader: processes a VM's evidence. */
int node_release_receive(bbm_node *n, const char *from, bbm_reader *rd);
/** Marks the upstreams that must get no requests of VMs which don't know of
 *  the release; see node_release.c. */
void node_release_mark_listing(const bbm_node *n, bbm_listing *listing);
/** The same in a listing that this VM read without a leader. */
void node_release_mark_own_listing(const bbm_node *n, bbm_listing *listing);
/** Releases the decisions. */
void node_release_destroy(bbm_node *n);

/* ---- node_propose.c ---- */

/** Proposes a command to the log, with the present calendar time, and resends
 *  it until the outcome is known or @p until has passed.  The proposal belongs
 *  to the node.  NULL if too many proposals are open. */
node_proposal *node_propose(bbm_node *n, const bbm_command *cmd,
                            proposal_waiter waiter, uint64_t waiter_id,
                            bbm_time until);
/** The same for an operator's call @p op, which is refused at once if the log
 *  has no room for the change. */
void node_propose_change(bbm_node *n, const bbm_command *cmd, uint64_t op,
                         bbm_time until);
/** Sends proposals again and drops those that have expired. */
void node_propose_tick(bbm_node *n);
/** Leader: appends another daemon's proposal to the log. */
int node_propose_receive(bbm_node *n, const char *from, bbm_reader *rd);
/** Processes the outcome of a proposal. */
int node_propose_outcome(bbm_node *n, bbm_reader *rd);
/** Leader: reports the outcome of an applied entry to its proposer. */
void node_propose_applied(bbm_node *n, uint64_t index, const bbm_outcome *out);
/** Discards the pending entries when leadership ends. */
void node_propose_reset(bbm_node *n);
/** Releases proposals and pending entries. */
void node_propose_destroy(bbm_node *n);

/* ---- node_relay.c ---- */

/** True if a VM is alive and its run is known. */
bool node_member_alive(const bbm_member *m);
/** True if VM @p a precedes VM @p b in a tree: the leader first, then all
 *  others by name. */
bool node_precedes(const bbm_node *n, const char *a, const char *b);
/** Polls the parent, drops children that no longer poll, and checks the age
 *  of the public state. */
void node_relay_tick(bbm_node *n);
/** Answers a poll. */
int node_relay_answer_poll(bbm_node *n, const char *from, bbm_reader *rd);
/** Applies changes of the public state; @p is_reply: they answer a poll. */
int node_relay_receive(bbm_node *n, const char *from, bbm_reader *rd,
                       bool is_reply);
/** Tell all daemons that this one leads. */
void node_relay_announce(bbm_node *n);
/** Sends the changes of the public state to the children that lack them. */
void node_relay_push(bbm_node *n);
/** Age of the public state here: time since fresh_at. */
bbm_time node_relay_age(const bbm_node *n);
/** Releases the children. */
void node_relay_destroy(bbm_node *n);

/* ---- node_request.c ---- */

/** Admits a request or refuses it. */
void node_request_begin(bbm_node *n, const bbm_request_event *ev);
/** Starts a request that has its tokens and, if it needs one, its claim; puts
 *  it into the queue if all runners are busy. */
void node_request_dispatch(bbm_node *n, node_request *r);
/** Answers a request with an error and releases it. */
void node_request_refuse(bbm_node *n, node_request *r, int code,
                         bbm_time retry_after);
/** Releases a request without an answer, with its runner's slot and the tokens
 *  that it didn't consume. */
void node_request_free(bbm_node *n, node_request *r);
/** Upstreams at which a request failed; a view into @p r, not to be freed. */
bbm_names node_request_failed_upstreams(const node_request *r);
/** The open request with an id, or NULL. */
node_request *node_request_find(const bbm_node *n, uint64_t id);
/** Refuses requests whose deadline has passed and starts queued ones. */
void node_request_tick(bbm_node *n);
/** Starts the queued requests for which runners have a free slot. */
void node_request_dispatch_queued(bbm_node *n);
/** Aborts or refuses requests whose API key or customer is no longer
 *  valid. */
void node_request_check_keys(bbm_node *n);
/** Aborts or refuses all requests with an API key: the keys are too old. */
void node_request_abort_keyed(bbm_node *n);
/** Releases all requests without answers. */
void node_request_destroy(bbm_node *n);

/* ---- node_run.c ---- */

/** Sends a request to its runner, or to the next service of its route. */
void node_run_start(bbm_node *n, node_request *r);
/** Processes the first byte of an upstream's answer. */
void node_run_first_byte(bbm_node *n, uint64_t id, uint32_t attempt);
/** Counts output tokens; @p output is their total in this attempt. */
void node_run_progress(bbm_node *n, uint64_t id, int64_t output);
/** Processes the end of an attempt: retries the request or ends it. */
void node_run_finished(bbm_node *n, const bbm_finished_event *ev);
/** Ends the request of a client that disconnected.  A claimed request that
 *  runs goes on. */
void node_run_client_disconnected(bbm_node *n, uint64_t id);
/** Aborts a running request and releases it. */
void node_run_abort(bbm_node *n, node_request *r, int code);
/** Releases the runner's slot after an attempt; nothing if none is held. */
void node_run_release_slot(bbm_node *n, node_request *r, bool failed);

/* ---- node_claim.c ---- */

/** Proposes a request's claim. */
void node_claim_begin(bbm_node *n, node_request *r);
/** Processes the outcome of a claim: starts the request, answers it from the
 *  stored answer, or refuses it. */
void node_claim_outcome(bbm_node *n, const node_proposal *p,
                        const bbm_outcome *out);
/** Marks the claim of a request that no longer waits for it, so that it is
 *  closed as not run if it was recorded. */
void node_claim_abandon(bbm_node *n, const node_request *r);
/** Records how a claimed request ended.  @p ev holds the answer for
 *  BBM_CLAIM_ANSWERED; else it may be NULL. */
void node_claim_end(bbm_node *n, const node_request *r, bbm_claim_end end,
                    const bbm_finished_event *ev);

/* ---- node_rate.c ---- */

/** Runs the rate holder and the rate owner, if their check is due. */
void node_rate_tick(bbm_node *n);
/** Processes a rate report or grant. */
int node_rate_receive(bbm_node *n, const char *from, node_message_kind kind,
                      bbm_reader *rd);
/** Creates or discards the owner as leadership changes, and passes it the
 *  customers of a new revision. */
void node_rate_update(bbm_node *n, bool new_revision);
/** Discards the owner and its pending grants when leadership ends. */
void node_rate_reset_owner(bbm_node *n);
/** Sends the grants whose ledger has been committed and applied. */
void node_rate_applied(bbm_node *n);
/** Reserves a request's tokens and goes on with it; else lets it wait, or
 *  refuses it after its rate deadline. */
void node_rate_reserve(bbm_node *n, node_request *r);
/** Counts tokens of a request as consumed, up to a total. */
void node_rate_consume(bbm_node *n, node_request *r, double total);
/** Returns the reserved tokens that a request did not consume. */
void node_rate_release(bbm_node *n, node_request *r);

/* ---- node_orders.c ---- */

/** Leader: sends orders and closes the claims of lost VMs, when due. */
void node_orders_tick(bbm_node *n);
/** Processes an engine's answer to an order. */
void node_orders_result(bbm_node *n, const char *id, int code);
/** Discards the sent orders when leadership ends. */
void node_orders_reset(bbm_node *n);

/* ---- node_operator.c ---- */

/** Executes an operator's call. */
void node_operator_call(bbm_node *n, const bbm_operator_event *call);
/** Replies with up to @p max entry addresses for a client, nearest zone
 *  first; 0: BBM_ENTRIES_MAX.  @p zone "" means this VM's zone. */
void node_operator_entries(bbm_node *n, uint64_t op, uint64_t caller,
                           const char *zone, size_t max);

#endif
