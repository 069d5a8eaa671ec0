/** @file
 *  A seeded history of a control group under faults, checked as it goes.
 */
#ifndef RAFT_HISTORY_H
#define RAFT_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Which mechanism is switched off, to see the check fail. */
typedef enum raft_weakness {
    RAFT_SOUND,
    RAFT_NO_LEASE,
    RAFT_NO_SYNC,
    RAFT_OLD_IDENTITY, /**< An emptied disk votes under its old identity. */
} raft_weakness;

/** What is run. */
typedef struct raft_history_desc {
    uint64_t seed;
    int members; /**< 3 or 5. */
    int steps;   /**< Of 5 ms. */
    raft_weakness weakness;
} raft_history_desc;

/** What came of it. */
typedef struct raft_history_result {
    const char *broken; /**< NULL, or the invariant that was broken. */
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
