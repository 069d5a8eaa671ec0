/** @file
 *  Room of a runner for further requests.
 *
 *  Handles bursts in which runners get more requests than their slots, their
 *  memory and their prompt processing allow, and the backlog that such a burst
 *  leaves behind.  A runner is full for a request if one of these is used up.
 *  Of the slots, only those count that are used by requests at least as
 *  urgent, as a runner admits urgent requests first.  A request that can't
 *  meet its target latency any more gets less of the slots and of the backlog,
 *  so that what is left serves requests that can.
 *
 *      bbm_room_load load = {...};
 *      if (bbm_room_for(&load, tokens, late) < 1)
 *          ... hold it, or send it elsewhere ...
 *
 *  Pure.
 */
#ifndef BBM_ROOM_H
#define BBM_ROOM_H

#include <stdbool.h>

/** Load of a runner, by the requests of all VMs. */
typedef struct bbm_room_load {
    double memory_tokens;  /**< KV cache memory that the open requests need. */
    double memory_max;     /**< Part of it that open requests may use. */
    double backlog_ms;     /**< Time to process the prompts that wait there. */
    double backlog_max_ms; /**< Limit of that. */
    double open_ahead;     /**< Open requests that are at least as urgent. */
    double slots;          /**< Requests that it runs at a time. */
    double slot_ms; /**< Mean time for which a request occupies a slot. */
} bbm_room_load;

/** Number of further requests that the slots allow, also negative.  Some wait
 *  there, so that a slot that becomes free isn't idle until VMs hear of it. */
double bbm_room_slots(const bbm_room_load *load, bool late);
/** True if a request is to wait for room elsewhere.
 *  @param tokens memory that it may need.
 *  @param late   it can't meet its target latency any more. */
bool bbm_room_is_full(const bbm_room_load *load, double tokens, bool late);

#endif
