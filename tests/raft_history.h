/** @file
 *  A seeded simulation of a Raft group under faults; its invariants are
 *  checked at every step.
 */
#ifndef RAFT_HISTORY_H
#define RAFT_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Mechanism that is disabled; the simulation must then find a violation. */
typedef enum raft_weakness {
    RAFT_SOUND,        /**< None. */
    RAFT_NO_LEASE,     /**< Votes aren't withheld during a lease. */
    RAFT_NO_SYNC,      /**< Messages don't wait for disk writes. */
    RAFT_OLD_IDENTITY, /**< A member whose disk was emptied keeps its
                            identity. */
} raft_weakness;

/** Parameters of a simulation. */
typedef struct raft_history_desc {
    uint64_t seed;          /**< Determines faults, delays and timeouts. */
    int members;            /**< 3 or 5. */
    int steps;              /**< Steps with faults, 5 ms each. */
    raft_weakness weakness; /**< Mechanism to disable. */
} raft_history_desc;

/** Result of a simulation; the counts show how much it exercised the group. */
typedef struct raft_history_result {
    const char *violation; /**< First violated invariant, or NULL. */
    int proposed;          /**< Commands appended by a leader. */
    int acknowledged;      /**< Commands applied by their leader. */
    int crashes;           /**< Members that lost unsynced writes. */
    int lost_disks;        /**< Members whose disk was emptied. */
    int freezes;           /**< Members that were paused. */
    int cuts;              /**< Isolated members and cut links. */
    int leaders;           /**< Elections won. */
    int reads;             /**< Reads under a lease. */
} raft_history_result;

/** Run a simulation to its end or to the first violation. */
raft_history_result raft_history_run(const raft_history_desc *desc);

#ifdef __cplusplus
}
#endif

#endif
