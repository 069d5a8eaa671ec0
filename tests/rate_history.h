/** @file
 *  A seeded history of one customer's bucket over several VMs, checked for
 *  every window, and the share of wrongful refusals.
 */
#ifndef RATE_HISTORY_H
#define RATE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Which mechanism is switched off, to see the check fail. */
typedef enum rate_weakness {
    RATE_SOUND,
    RATE_NO_RESERVE,
    RATE_NO_BOOKS,
    RATE_NO_RECLAIM_TIME, /**< The owner takes parts back at once. */
} rate_weakness;

/** Faults that happen. */
typedef enum rate_faults {
    RATE_FAULTS_NONE,
    RATE_FAULTS_OWNER,   /**< The owner is lost, another takes over. */
    RATE_FAULTS_HOLDER,  /**< A holder restarts. */
    RATE_FAULTS_NETWORK, /**< Loss, doubling, reordering. */
    RATE_FAULTS_ALL,     /**< These, and freezes, cuts and drift. */
} rate_faults;

/** What is run. */
typedef struct rate_history_desc {
    uint64_t seed;
    int holders;
    double load; /**< Demand as a share of the rate. */
    int seconds;
    double burst_s; /**< Burst, in seconds of the rate. */
    bool phases;    /**< Demand comes and goes, answers may be long. */
    rate_faults faults;
    rate_weakness weakness;
} rate_history_desc;

/** What came of it. */
typedef struct rate_history_result {
    bool broken; /**< Some window had more than burst and rate. */
    double over; /**< By how many tokens. */
    int64_t requests;
    int64_t refused;
    int64_t wrongful; /**< Refused though a single bucket had the tokens. */
    int64_t messages; /**< Reports and grants. */
    int64_t bytes;
    int faults;
} rate_history_result;

rate_history_result rate_history_run(const rate_history_desc *desc);

#ifdef __cplusplus
}
#endif

#endif
