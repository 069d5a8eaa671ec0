/** @file
 *  State of the fleet, shared by its sources (private).
 */
#ifndef FLEET_CORE_H
#define FLEET_CORE_H

#include "bbm_fleet.h"

/** Limit of the requests since a report that are recorded individually. */
#define RECENT_MAX 128
/** Assumed mean duration of a request at a runner without history. */
#define SERVICE_DEFAULT_NS (2 * BBM_SECOND)
/** A runner that returns gets its full share of slots after this. */
#define WARM_UP_NS (8 * BBM_SECOND)
/** A runner without a report for longer than this is not usable. */
#define REPORT_AGE_MAX_NS (5 * BBM_SECOND)

/** A request that this VM sent to a runner. */
typedef struct fleet_recent {
    bbm_time sent_at;
    double uncached_tokens; /**< Prompt tokens still to compute. */
} fleet_recent;

/** A runner. */
typedef struct fleet_runner {
    bool used;                   /**< The slot holds a runner. */
    bool configured;             /**< In the current configuration. */
    char name[BBM_NAME_SIZE];    /**< Of the engine. */
    char model[BBM_NAME_SIZE];   /**< Served model. */
    char zone[BBM_NAME_SIZE];    /**< Availability zone. */
    char weights[BBM_NAME_SIZE]; /**< Version last reported. */
    uint64_t name_hash;          /**< For rendezvous hashing. */
    double slots;                /**< Requests in a batch. */
    double prefill_tokens_per_s;
    double import_tokens_per_s;      /**< From the KV store; 0: no import. */
    size_t cache_blocks;             /**< Capacity of its cache. */
    bool leaving_configured;         /**< Leaving, by configuration. */
    bool loading;                    /**< Reported: loading weights. */
    bool leaving_reported;           /**< Leaving, by its report. */
    uint64_t incarnation;            /**< Reported; 0: no report yet. */
    uint64_t last_event;             /**< Last cache event applied. */
    uint32_t running;                /**< Reported. */
    uint32_t queued;                 /**< Reported. */
    double backlog_tokens;           /**< Reported. */
    bbm_time measured_at;            /**< When the runner measured these. */
    bbm_time last_report_at;         /**< 0: no report yet. */
    uint32_t local_requests;         /**< Requests of this VM there now. */
    fleet_recent recent[RECENT_MAX]; /**< Sent since `measured_at`. */
    size_t recent_len;               /**< Entries in use. */
    double service_ns;               /**< Mean duration of a request. */
    uint32_t consecutive_failures;   /**< Since the last success. */
    uint32_t consecutive_ejections;  /**< Since the last success. */
    bbm_time ejected_until;          /**< No requests before this. */
    bbm_time returned_at;            /**< Start of the warm-up; 0: none. */
} fleet_runner;

/** Demand for a first block. */
typedef struct fleet_hot {
    bbm_block_id id;     /**< Chain hash. */
    double rate;         /**< Requests per second, decaying. */
    bbm_time updated_at; /**< Moment for which the rate holds. */
} fleet_hot;

/** Slots of the table of first blocks whose demand is measured. */
#define HOT_MAX 256

/** The fleet. */
struct bbm_fleet {
    bbm_fleet_desc desc;
    bbm_rng rng;      /**< For random choices. */
    bbm_cache *cache; /**< Which runner caches what. */
    fleet_runner runners[BBM_CACHE_RUNNERS_MAX]; /**< By slot. */
    uint32_t len;                                /**< Slots ever used. */
    double vm_count;        /**< VMs that send requests, limited. */
    uint32_t next_turn;     /**< For round robin. */
    fleet_hot hot[HOT_MAX]; /**< By chain hash. */
};

/** The runner of an engine, or NULL. */
fleet_runner *fleet_find(const bbm_fleet *f, const char *engine);
/** Estimated number of requests at a runner. */
double fleet_load(const bbm_fleet *f, const fleet_runner *r);
/** Slots that can be filled now; fewer during the warm-up. */
double fleet_slots(const fleet_runner *r, bbm_time now);
/** Estimated time until a new request's prompt is computed, ns. */
double fleet_wait_ns(const bbm_fleet *f, const fleet_runner *r, bbm_time now);
/** True if a runner gets new requests. */
bool fleet_is_usable(const bbm_fleet *f, const fleet_runner *r, bbm_time now);
/** Count a request for a first block; returns its requests per second. */
double fleet_hot_count(bbm_fleet *f, bbm_block_id id, bbm_time now);
/** Requests per second for a first block; 0 if it is not measured. */
double fleet_hot_rate(const bbm_fleet *f, bbm_block_id id, bbm_time now);

#endif
