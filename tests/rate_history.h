/** @file
 *  Simulates a seeded history of one customer's token bucket over several
 *  VMs, checks the bound in every window and counts wrongful refusals.
 */
#ifndef RATE_HISTORY_H
#define RATE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Mechanism that is disabled, to show that the check detects it. */
typedef enum rate_weakness {
    RATE_NO_WEAKNESS,
    RATE_NO_RESERVE, /**< Reserved tokens don't count against a capacity. */
    RATE_NO_LEDGER,  /**< A new owner does not restore the ledger. */
    RATE_NO_RECLAIM_TIME, /**< The owner reclaims after 0.5 s, before the lease
                               has ended. */
} rate_weakness;

/** Faults that occur. */
typedef enum rate_faults {
    RATE_FAULTS_NONE,
    RATE_FAULTS_OWNER,   /**< The owner fails and a new one takes over. */
    RATE_FAULTS_HOLDER,  /**< A holder restarts. */
    RATE_FAULTS_NETWORK, /**< Loss, duplication and reordering. */
    RATE_FAULTS_ALL,     /**< All of the above, and frozen and isolated VMs,
                              stalled engines and clock drift. */
} rate_faults;

/** Parameters of a history. */
typedef struct rate_history_desc {
    uint64_t seed;
    int holders;    /**< Number of VMs that hold allocations. */
    double load;    /**< Demand as a share of the rate. */
    int seconds;    /**< Duration. */
    double burst_s; /**< Burst, in seconds of the rate. */
    bool phases;    /**< Demand alternates between `load` and 0.02 of the rate;
                         answers may be long. */
    rate_faults faults;
    rate_weakness weakness;
} rate_history_desc;

/** Result of a history. */
typedef struct rate_history_result {
    bool broken;           /**< Some window exceeded burst and rate. */
    double surplus_tokens; /**< Most tokens above the bound in a window. */
    int64_t requests;
    int64_t refused;
    int64_t wrongful; /**< Refused although a single bucket had the tokens. */
    int64_t messages; /**< Reports and grants. */
    int64_t bytes;    /**< Of these messages. */
    int faults;       /**< Faults that were caused. */
} rate_history_result;

/** Run one history. */
rate_history_result rate_history_run(const rate_history_desc *desc);

#ifdef __cplusplus
}
#endif

#endif
