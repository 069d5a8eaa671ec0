/** @file
 *  A seeded history of a whole fleet of nodes under faults: orders that may
 *  not be repeated, publishes that race, keys that are withdrawn.
 */
#ifndef NODE_HISTORY_H
#define NODE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Which mechanism is switched off, to see the check fail. */
typedef enum node_weakness {
    NODE_SOUND,
    NODE_NO_CLAIM,   /**< Bookings run without a claim. */
    NODE_STALE_KEYS, /**< Keyed routes go on with stale keys. */
} node_weakness;

/** What came of it. */
typedef struct node_history_result {
    const char *broken; /**< NULL, or the promise that was broken. */
    int bookings;       /**< Asked for, repeats included. */
    int runs;           /**< At the booking service. */
    int not_run;        /**< Answers that said so. */
    int publishes;      /**< Accepted. */
    int withdrawn;      /**< Keys. */
    int crashes;
    int freezes;
    int cuts;
} node_history_result;

node_history_result node_history_run(uint64_t seed, int steps,
                                     node_weakness weakness);

#ifdef __cplusplus
}
#endif

#endif
