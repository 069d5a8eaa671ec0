/** @file
 *  The control thread: it owns the node and carries out its actions.
 *
 *  Everything else talks to it through its mailbox, in typed items.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "bbm_settings.h"
#include "exchange.h"
#include "mailbox.h"

/** Kinds of item. */
typedef enum control_kind {
    CONTROL_EXCHANGE,   /**< A caller or operator asks. */
    CONTROL_CLIENT_DISCONNECTED,       /**< A caller went away. */
    CONTROL_MESSAGE,    /**< A daemon's message. */
    CONTROL_PERSISTED,  /**< A write is synced. */
    CONTROL_FIRST_BYTE, /**< An upstream began to answer. */
    CONTROL_PROGRESS,   /**< Tokens were generated. */
    CONTROL_FINISHED,   /**< An attempt ended. */
    CONTROL_REPORT,     /**< A runner's report. */
    CONTROL_REPORT_FAILED,    /**< A runner could not be asked. */
    CONTROL_ORDER_RESULT,      /**< What an engine said to an order. */
    CONTROL_LOG,        /**< Another thread has something to log. */
    CONTROL_RESPONSE_HEAD,       /**< A pool's upstream began to answer. */
    CONTROL_FORWARD_FINISHED,  /**< An attempt at a pool ended. */
    CONTROL_LISTING,    /**< The list of upstreams was read. */
    CONTROL_ROLLOUT_REPORT,     /**< A runner's report for the rollout. */
    CONTROL_ROLLOUT_ANSWER,    /**< A runner answered an order. */
    CONTROL_STORE_STATUS,      /**< A store of KV cache answers, or doesn't. */
    CONTROL_RELOAD,     /**< Settings may name other seeds. */
    CONTROL_STOP,       /**< Shut down gracefully. */
} control_kind;

/** An item; fields that a kind has no use for are zero. */
typedef struct control_item {
    control_kind kind;            /**< Which. */
    exchange *ex;                 /**< A reference. */
    uint64_t id;                  /**< Request, or number of a write. */
    uint32_t attempt;             /**< Of a request. */
    int64_t output_tokens;               /**< Tokens. */
    bbm_finished_event finished;  /**< Its type and body are in the item. */
    char name[BBM_NAME_SIZE];     /**< Sender, runner or order. */
    char content_type[BBM_NAME_SIZE];     /**< Content type. */
    int code;                     /**< Result. */
    bbm_log_event event;          /**< To log. */
    bbm_buf bytes;                /**< Message, or body. */
    bbm_report report;            /**< Its events are owned by the item. */
    bbm_cache_event *events;      /**< Of the report. */
    bool succeeded;                    /**< It could be read, or it answers. */
    bbm_forward_result forwarded; /**< CONTROL_FORWARD_FINISHED. */
    bbm_listing listing;          /**< CONTROL_LISTING; owned. */
    bbm_runner_report runner_report;     /**< CONTROL_ROLLOUT_REPORT. */
    bbm_order_answer order_answer;      /**< CONTROL_ROLLOUT_ANSWER. */
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE]; /**< CONTROL_RELOAD. */
    size_t seeds_len;                            /**< How many. */
} control_item;

/** A new item. */
control_item *control_item_create(control_kind kind);
/** Release an item. */
void control_item_destroy(control_item *item);

/** Monotonic clock, nanoseconds. */
bbm_time control_now(void);
/** Calendar clock, milliseconds. */
int64_t control_wall_ms(void);

/** Parts of the daemon that control uses. */
typedef struct control_desc {
    const bbm_settings *settings; /**< Outlives control. */
    uint64_t run;                 /**< This run. */
    mailbox *box;                 /**< Its mailbox. */
    atomic_bool *ready;           /**< Told readiness. */
    atomic_llong *last_tick;      /**< Told when it moved. */
    struct traffic **traffic;     /**< Traffic threads. */
    size_t traffic_len;           /**< How many. */
    struct forward *forward;      /**< To pools, or NULL. */
    struct provider *provider;    /**< Of pools' upstreams, or NULL. */
    atomic_bool *closing;         /**< Told that this VM stops. */
    struct front_limits *limits;  /**< Told limits on callers. */
    struct watcher *watcher;      /**< Asks runners. */
    struct transport *transport;  /**< To other daemons. */
    struct disk *disk;            /**< Data folder, or NULL. */
} control_desc;

/** Run until the node has stopped, or *now is set. */
void control_run(const control_desc *desc, const atomic_bool *at_once);

#endif
