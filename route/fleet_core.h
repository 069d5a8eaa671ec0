/** @file
 *  State of the fleet, shared by its sources (private).
 */
#ifndef FLEET_CORE_H
#define FLEET_CORE_H

#include "bbm_fleet.h"

/** Size of `fleet_runner.recent`; when it is full, the oldest are merged. */
#define RECENT_MAX 128
/** Mean duration of a request, assumed before the first one has ended. */
#define SERVICE_TIME_DEFAULT_NS (2 * BBM_SECOND)
/** Duration of the warm-up, after which a runner gets all its slots. */
#define WARM_UP_NS (8 * BBM_SECOND)
/** A runner whose last report is older than this is not usable. */
#define REPORT_AGE_MAX_NS (5 * BBM_SECOND)

/** A request that this VM sent to a runner. */
typedef struct fleet_recent {
    bbm_time sent_at;
    double uncached_tokens; /**< To compute; 0 after the first token. */
} fleet_recent;

/** A runner. */
typedef struct fleet_runner {
    bool used;                   /**< False: the slot is empty. */
    bool configured;             /**< In the current configuration. */
    char name[BBM_NAME_SIZE];    /**< Of the engine. */
    char model[BBM_NAME_SIZE];   /**< Served model. */
    char zone[BBM_NAME_SIZE];    /**< Availability zone. */
    char weights[BBM_NAME_SIZE]; /**< Version last reported. */
    uint64_t name_hash;          /**< For rendezvous hashing. */
    double slots;                /**< Requests in a batch. */
    double prefill_tokens_per_s;
    double import_tokens_per_s; /**< From the KV store; 0: no import. */
    size_t cache_blocks;        /**< Capacity of its cache, blocks. */
    bool leaving_configured;    /**< Leaving, by configuration. */
    bool loading;               /**< Reported: loading weights. */
    bool leaving_reported;      /**< Leaving, by its report. */
    uint64_t incarnation;       /**< Reported; 0: no report yet. */
    uint64_t last_event;        /**< Last cache event applied; 0: none. */
    uint32_t running;           /**< Requests in its batch, reported. */
    uint32_t queued;            /**< Requests queued there, reported. */
    double backlog_tokens;      /**< Prompt tokens to compute, reported. */
    bbm_time measured_at;       /**< Moment for which these three hold. */
    bbm_time last_report_at;    /**< 0: no report yet. */
    uint32_t local_requests;    /**< Open requests of this VM there. */
    fleet_recent recent[RECENT_MAX]; /**< Sent since `measured_at`. */
    size_t recent_len;               /**< Entries in use. */
    double service_time_ns;          /**< Mean duration of a request. */
    uint32_t consecutive_failures;   /**< Since a success or ejection. */
    uint32_t consecutive_ejections;  /**< Since the last success. */
    bbm_time ejected_until;          /**< No requests before this. */
    bbm_time warm_up_start;          /**< 0: none; may be in the future. */
} fleet_runner;

/** Demand for a first block. */
typedef struct fleet_hot {
    bbm_block_id id;     /**< Chain hash. */
    double rate;         /**< Requests per second, exponentially decaying. */
    bbm_time updated_at; /**< Moment for which the rate holds. */
} fleet_hot;

/** Size of the table of first blocks whose demand is measured. */
#define HOT_ENTRY_COUNT 256

/** The fleet. */
struct bbm_fleet {
    bbm_fleet_desc desc;
    bbm_rng rng;      /**< For random choices. */
    bbm_cache *cache; /**< Which runner caches what. */
    fleet_runner runners[BBM_CACHE_RUNNERS_MAX]; /**< By slot. */
    uint32_t len;                                /**< Slots ever used. */
    double vm_factor;   /**< Number of VMs, limited; own requests are
                             multiplied by it to estimate those of all. */
    uint32_t next_turn; /**< For round robin. */
    fleet_hot hot[HOT_ENTRY_COUNT]; /**< Indexed by chain hash. */
};

/** The runner of an engine, or NULL. */
fleet_runner *fleet_find(const bbm_fleet *f, const char *engine);
/** Estimated number of requests at a runner, running and queued. */
double fleet_load(const bbm_fleet *f, const fleet_runner *r);
/** Slots that can be filled now; fewer during the warm-up. */
double fleet_slots(const fleet_runner *r, bbm_time now);
/** Estimated time before a new request's prompt can be computed, ns. */
double fleet_wait_ns(const bbm_fleet *f, const fleet_runner *r, bbm_time now);
/** True if a runner gets new requests. */
bool fleet_is_usable(const bbm_fleet *f, const fleet_runner *r, bbm_time now);
/** Count a request for a first block; returns its requests per second. */
double fleet_hot_count(bbm_fleet *f, bbm_block_id id, bbm_time now);
/** Requests per second for a first block; 0 if it is not in the table. */
double fleet_hot_rate(const bbm_fleet *f, bbm_block_id id, bbm_time now);

#endif
