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
    uint64_t seed;
    int members; /**< 3 or 5. */
    int steps;   /**< Steps with faults, 5 ms each. */
    raft_weakness weakness;
} raft_history_desc;

/** Result of a simulation; the counts show that it exercised the group. */
typedef struct raft_history_result {
    const char *violation; /**< First violated invariant, or NULL. */
    int proposed;
    int acknowledged;
    int crashes;
    int lost_disks;
    int freezes;
    int cuts;
    int leaders;
    int reads;
} raft_history_result;

raft_history_result raft_history_run(const raft_history_desc *desc);

#ifdef __cplusplus
}
#endif

#endif
