/** @file
 *  Which VM may send a request to an upstream that limits the requests of all
 *  VMs together.
 *
 *  Answers the load at an upstream that states how many requests a second it
 *  takes, when a share for each VM would be less than a request, so that the
 *  bursts of many VMs add up to more than the limit.
 *
 *  A limit of N a second gives a turn each 1/N s of calendar time.  Each turn
 *  belongs to one VM, chosen by rendezvous hashing, so that all VMs know
 *  without messages whose it is; a VM that another one lacks in its list, or
 *  whose clock differs, only moves a few turns.  A turn lasts for
 *  BBM_TURN_TIME, in which its VM has a request for it or lets it go.  So over
 *  any time t an upstream gets at most N x (t + BBM_TURN_TIME) + 1 requests.
 *
 *      bbm_turns turns = {0};
 *      bbm_turns_set_limit(&turns, 1.5, calendar);
 *      bbm_turns_update(&turns, &order, calendar);
 *      if (turns.available)
 *          bbm_turns_take(&turns);          send it
 *
 *  Pure: the caller passes in the calendar time.
 */
#ifndef BBM_TURNS_H
#define BBM_TURNS_H

#include "bbm_time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time for which a turn may be used. */
#define BBM_TURN_TIME BBM_SECOND
/** A lower limit counts as this, in requests per second, so that the upstream
 *  is asked now and then whether its limit still holds. */
#define BBM_TURN_RATE_MIN 0.1
/** Turns are known this time before they begin. */
#define BBM_TURN_LOOKAHEAD (500 * BBM_MS)
/** Maximum number of turns of a VM that are known ahead. */
#define BBM_TURNS_AHEAD_MAX 32

/** The VMs that take turns at something. */
typedef struct bbm_turn_order {
    uint64_t id; /**< What they take turns at: for an upstream, a hash of
                      it and of its run. */
    const uint64_t *vms; /**< Hashes of the names of all VMs; not owned. */
    size_t vms_len;      /**< Their number; 0: this VM is alone. */
    uint64_t self;       /**< Hash of the name of this VM. */
} bbm_turn_order;

/** The turns of this VM at an upstream; all zero: no limit.  Moments are
 *  calendar time in nanoseconds. */
typedef struct bbm_turns {
    double limit;         /**< Requests per second, at least
                               BBM_TURN_RATE_MIN; 0: unlimited. */
    uint32_t available;   /**< Turns that may be used now. */
    bbm_time granted_at;  /**< When the last of these began. */
    bbm_time searched_to; /**< Later turns haven't been looked at. */
    bbm_time ahead[BBM_TURNS_AHEAD_MAX]; /**< When the next turns begin. */
    size_t ahead_len;                    /**< Number of these. */
} bbm_turns;

/** True if a turn belongs to this VM. */
bool bbm_turn_is_own(const bbm_turn_order *order, int64_t turn);
/** The hash of the VM that a turn belongs to. */
uint64_t bbm_turn_owner(const bbm_turn_order *order, int64_t turn);
/** Set the limit, in requests per second; turns before @p now are gone.  No
 *  effect if it is the present one. */
void bbm_turns_set_limit(bbm_turns *t, double limit, bbm_time now);
/** Remove the limit. */
void bbm_turns_remove_limit(bbm_turns *t);
/** Bring `available` and `ahead` up to date. */
void bbm_turns_update(bbm_turns *t, const bbm_turn_order *order, bbm_time now);
/** Use one of the available turns. */
void bbm_turns_take(bbm_turns *t);

#endif
