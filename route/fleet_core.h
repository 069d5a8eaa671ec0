/** @file
 *  State of the fleet, shared by the package's sources (private).
 */
#ifndef FLEET_CORE_H
#define FLEET_CORE_H

#include "bbm_fleet.h"

/** Requests sent since a report that are remembered one by one. */
#define RECENT_MOST 128
/** Time constant of the measure of a request's length. */
#define SERVICE_DEFAULT (2 * BBM_SECOND)
/** A runner that comes back gets its full share after this. */
#define WARM_TIME (8 * BBM_SECOND)
/** Missing reports make a runner unusable after this. */
#define HEARD_TIME (5 * BBM_SECOND)

/** A request of this VM sent to a runner. */
typedef struct fleet_recent {
    bbm_time at; /**< When. */
    double miss; /**< Prompt tokens to compute. */
} fleet_recent;

/** A runner. */
typedef struct fleet_runner {
    bool used;                        /**< The slot is taken. */
    bool configured;                  /**< In the configuration in force. */
    char name[BBM_NAME_SIZE];         /**< Of the engine. */
    char model[BBM_NAME_SIZE];        /**< What it serves. */
    char zone[BBM_NAME_SIZE];         /**< Its zone. */
    char weights[BBM_NAME_SIZE];      /**< Version it told of. */
    uint64_t name_hash;               /**< For rendezvous. */
    double slots;                     /**< Requests in its batch. */
    double prefill;                   /**< Tokens per second. */
    double import;                    /**< Tokens per second; 0: none. */
    size_t blocks;                    /**< Of its cache. */
    bool leaving_set;                 /**< By configuration. */
    bool loading;                     /**< Told: it loads weights. */
    bool leaving_told;                /**< By its own word. */
    uint64_t incarnation;             /**< Told; 0: never heard. */
    uint64_t last_event;              /**< Taken. */
    uint32_t running;                 /**< Told. */
    uint32_t queued;                  /**< Told. */
    double backlog;                   /**< Told. */
    bbm_time made;                    /**< When the told figures were true. */
    bbm_time heard;                   /**< When they came in; 0: never. */
    uint32_t own;                     /**< Requests of this VM there now. */
    fleet_recent recent[RECENT_MOST]; /**< Since the report, a ring. */
    size_t recent_len;                /**< In use. */
    double service;                   /**< Mean length of a request, ns. */
    uint32_t failures;                /**< In a row. */
    uint32_t ejections;               /**< In a row. */
    bbm_time ejected_until;           /**< Gets no work before. */
    bbm_time back_since;              /**< Came back then; 0: was there. */
} fleet_runner;

/** Demand for a first block. */
typedef struct fleet_hot {
    bbm_block_id id; /**< Chain hash. */
    double rate;     /**< Requests per second, decaying. */
    bbm_time at;     /**< As of. */
} fleet_hot;

/** Prefixes whose demand is followed. */
#define HOT_MOST 256

/** The fleet. */
struct bbm_fleet {
    bbm_fleet_desc desc;                         /**< As given. */
    bbm_rng rng;                                 /**< For ties. */
    bbm_cache *cache;                            /**< Who holds what. */
    fleet_runner runners[BBM_CACHE_RUNNERS_MAX]; /**< By slot. */
    uint32_t len;                                /**< Slots ever used. */
    double daemons;                              /**< That place requests. */
    uint32_t turn;                               /**< Round robin. */
    fleet_hot hot[HOT_MOST];                     /**< Followed prefixes. */
};

/** Runner by name, or NULL. */
fleet_runner *fleet_find(const bbm_fleet *f, const char *engine);
/** Requests there, as far as is known. */
double fleet_load(const bbm_fleet *f, const fleet_runner *r);
/** Slots it may fill now: fewer while it warms up. */
double fleet_slots(const fleet_runner *r, bbm_time now);
/** Time before a new request's prompt would be computed. */
double fleet_wait_ns(const bbm_fleet *f, const fleet_runner *r, bbm_time now);
/** Gets new work. */
bool fleet_is_usable(const bbm_fleet *f, const fleet_runner *r, bbm_time now);
/** Count a request for a first block; returns requests per second. */
double fleet_hot_count(bbm_fleet *f, bbm_block_id id, bbm_time now);
/** Requests per second for a first block. */
double fleet_hot_rate(const bbm_fleet *f, bbm_block_id id, bbm_time now);

#endif
