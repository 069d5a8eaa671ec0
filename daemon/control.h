/** @file
 *  The control thread.  It owns the node, feeds it events and carries out its
 *  actions.
 *
 *  All other threads reach it only through its mailbox, with a control_item
 *  for each event.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "bbm_settings.h"
#include "exchange.h"
#include "mailbox.h"

/** Kinds of item. */
typedef enum control_kind {
    CONTROL_EXCHANGE,            /**< Request of a client or an operator. */
    CONTROL_CLIENT_DISCONNECTED, /**< A client closed its connection. */
    CONTROL_MESSAGE,             /**< Message from another daemon. */
    CONTROL_PERSISTED,           /**< A write to the data folder is synced. */
    CONTROL_FIRST_BYTE,          /**< First byte of an upstream's answer. */
    CONTROL_PROGRESS,            /**< Output tokens were generated. */
    CONTROL_FINISHED,            /**< An attempt ended. */
    CONTROL_REPORT,              /**< Report of an engine. */
    CONTROL_REPORT_FAILED,       /**< A poll of an engine failed, or its report
                                      is invalid. */
    CONTROL_ORDER_RESULT,        /**< Result of an order to an engine. */
    CONTROL_LOG,                 /**< Log event of another thread. */
    CONTROL_RESPONSE_HEAD,       /**< Head of an answer from a pool. */
    CONTROL_STREAM_PROGRESS,     /**< A stream from a pool has been sending
                                      events for a second. */
    CONTROL_FORWARD_FINISHED,    /**< An attempt at a pool ended. */
    CONTROL_LISTING,             /**< A read of the list of upstreams ended. */
    CONTROL_ROLLOUT_REPORT,      /**< Result of a runner's report, for the
                                      rollout. */
    CONTROL_ROLLOUT_ANSWER,      /**< A runner's answer to an order. */
    CONTROL_STORE_STATUS,        /**< Whether a KV cache store answers. */
    CONTROL_RELOAD,              /**< The settings file was reread; the item
                                      holds its seeds. */
    CONTROL_STOP,                /**< Shut down gracefully. */
} control_kind;

/** An item.  Fields that its kind does not use are zero. */
typedef struct control_item {
    control_kind kind;           /**< Kind of item. */
    exchange *ex;                /**< Counted reference, or NULL. */
    uint64_t id;                 /**< Id of the exchange; CONTROL_PERSISTED:
                                      sequence number of the write;
                                      CONTROL_LISTING: number of entries
                                      that could not be read. */
    uint32_t attempt;            /**< Number of the attempt at an upstream. */
    uint64_t origin;             /**< CONTROL_RESPONSE_HEAD: of a stream that
                                      it begins. */
    int64_t output_tokens;       /**< CONTROL_PROGRESS: generated so far. */
    bbm_finished_event finished; /**< Without its content type and body:
                                      content_type and bytes hold them. */
    char name[BBM_NAME_SIZE];    /**< Name of the sender, engine or runner;
                                      id of the order; address of the
                                      store; detail of a log event. */
    char content_type[BBM_NAME_SIZE]; /**< Of the answer in bytes. */
    int code;                         /**< CONTROL_ORDER_RESULT: BBM_OK or an
                                           error. */
    bbm_log_event event;              /**< CONTROL_LOG. */
    bbm_buf bytes;                    /**< Message, or body of an answer. */
    bbm_report report;                /**< CONTROL_REPORT. */
    bbm_cache_event *events;          /**< Events of the report; owned. */
    bool succeeded;                   /**< The listing or report was read; the
                                           store answers. */
    bbm_forward_result forwarded;     /**< CONTROL_FORWARD_FINISHED. */
    bbm_time began_at;                /**< CONTROL_STREAM_PROGRESS: arrival of
                                           the first bytes of its body. */
    bbm_upstream_notice notice;       /**< CONTROL_RESPONSE_HEAD; of the
                                           rollout's calls only `leaving`. */
    bbm_listing listing;              /**< CONTROL_LISTING; owned. */
    bbm_runner_report runner_report;  /**< CONTROL_ROLLOUT_REPORT. */
    bbm_order_answer order_answer;    /**< CONTROL_ROLLOUT_ANSWER. */
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE]; /**< CONTROL_RELOAD. */
    size_t seeds_len; /**< Used entries of `seeds`. */
} control_item;

/** Create an item; its other fields are zero. */
control_item *control_item_create(control_kind kind);
/** Size of an item with what it owns, for mailbox_set_memory().  An exchange
 *  counts by itself. */
size_t control_item_bytes(const void *item);
/** Release an item and all that it owns. */
void control_item_destroy(control_item *item);

/** Nanoseconds since boot; includes time in which the VM was suspended. */
bbm_time control_now(void);
/** Calendar clock, milliseconds since 1970. */
int64_t control_wall_ms(void);

/** Parts of the daemon that control uses; all outlive control_run(). */
typedef struct control_desc {
    const bbm_settings *settings; /**< Settings of this daemon. */
    uint64_t run;                 /**< Number of this run of the process,
                                       higher than that of earlier runs. */
    mailbox *box;                 /**< Mailbox of control. */
    atomic_bool *ready;           /**< Set to the node's readiness. */
    atomic_llong *last_tick;      /**< Set to control_now() at each tick, so
                                       about every 20 ms. */
    struct traffic **traffic;     /**< Threads that send requests to engines
                                       and services; NULL with pools. */
    size_t traffic_len;           /**< Number of threads; 0 with pools. */
    struct forward *forward;      /**< Thread that sends requests to pools;
                                       NULL without pools. */
    struct provider *provider;    /**< Calls to the provider; NULL without
                                       pools. */
    atomic_bool *closing;         /**< Set when a graceful stop begins. */
    struct front_limits *limits;  /**< Set to the configured limits on
                                       clients. */
    struct watcher *watcher;      /**< Polls engines; NULL with pools. */
    struct transport *transport;  /**< Messages to other daemons. */
    struct disk *disk;            /**< Writes the data folder; NULL: there is
                                       none. */
} control_desc;

/** Run the control thread's loop in the calling thread, until the node has
 *  stopped or *@p stop_now is set.  All open exchanges are then answered with
 *  an error. */
void control_run(const control_desc *desc, const atomic_bool *stop_now);

#endif
