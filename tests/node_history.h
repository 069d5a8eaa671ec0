/** @file
 *  Simulates a fleet of nodes under faults from a seed and checks invariants:
 *  non-repeatable requests run at most once, concurrent publishes don't
 *  share a revision, withdrawn keys stop working in bounded time.
 *
 *  A booking is a request on a route that isn't repeatable, with an
 *  idempotency key; requests with the same key are the same booking.
 */
#ifndef NODE_HISTORY_H
#define NODE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Mechanism that is switched off, to show that the checks can fail. */
typedef enum node_weakness {
    NODE_SOUND,      /**< None. */
    NODE_NO_CLAIM,   /**< Bookings run without a claim. */
    NODE_STALE_KEYS, /**< Routes with keys serve on with stale keys. */
} node_weakness;

/** Result of a history. */
typedef struct node_history_result {
    const char *violation; /**< The violated invariant, or NULL. */
    int bookings;          /**< Booking requests, repeats included. */
    int runs;           /**< Attempts of bookings that reached the service. */
    int not_run;        /**< Answers that say a booking did not run. */
    int publishes;      /**< Accepted publishes. */
    int keys_withdrawn; /**< Acknowledged withdrawals. */
    int crashes;
    int freezes;
    int isolations;
} node_history_result;

/** Run a history of @p steps steps of 10 ms, then heal all faults and check
 *  that the fleet converges. */
node_history_result node_history_run(uint64_t seed, int steps,
                                     node_weakness weakness);

#ifdef __cplusplus
}
#endif

#endif
