/** @file
 *  Decisions on the bytes that a daemon holds for others.
 *
 *  Load that it handles: many unfinished bodies, whole or in pieces; clients
 *  and upstreams that read slowly; messages of other VMs that come faster than
 *  they are handled.  A daemon that exceeds the machine's memory is killed and
 *  loses all open requests, so what it holds is counted by holder, and refused
 *  where it would exceed a share or the total.
 *
 *  Half of the machine's memory, or less on small machines, is for what is
 *  counted.  The rest is for the program, the decision state, the buffers of
 * libraries and what is in use for a moment.  A share is a limit, not a
 * reservation: shares overlap.  A part of the total is kept for items of
 * MEMORY_SMALL_BYTES or less, so that an ordinary request has room whatever
 * the large ones hold.
 *
 *      memory_budget b;
 *      memory_budget_init(&b, 88000000);
 *      if (!memory_budget_take(&b, MEMORY_BODIES, len, sum)) ... refuse or
 * evict memory_budget_give(&b, MEMORY_BODIES, len);
 *
 *  Counting is by atomics, from any thread.  A NULL budget counts and refuses
 *  nothing.
 */
#ifndef MEMORY_BUDGET_H
#define MEMORY_BUDGET_H

#include "bbm_time.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Items up to this size may use all of the total; a body counts as a whole.
 *  Ordinary bodies have 9 KB, and 55 KB at most. */
#define MEMORY_SMALL_BYTES ((size_t)64 * 1024)
/** An unfinished body that grew within this time isn't idle: a client whose
 *  packets are lost sends again after 0.2 s or more. */
#define MEMORY_IDLE_TIME BBM_SECOND

/** An answer of which a client has read nothing for this time may be ended:
 *  upstreams end one that stays unread for some seconds, too. */
#define MEMORY_UNREAD_TIME (2 * BBM_SECOND)

/** Who holds bytes. */
typedef enum memory_holder {
    MEMORY_CONNECTIONS, /**< Clients' connections, and the heads of their
                             requests. */
    MEMORY_BODIES,      /**< Bodies of requests. */
    MEMORY_ANSWERS,     /**< Answers that clients have not read yet. */
    MEMORY_TRANSFERS,   /**< Buffers of open transfers to upstreams. */
    MEMORY_EVENTS,      /**< Events of streams that aren't complete yet. */
    MEMORY_PEERS,       /**< Messages to and from other VMs that aren't sent or
                             received as a whole. */
    MEMORY_MAILBOX,     /**< Items that control has not handled yet. */
    MEMORY_CONFIGS,     /**< Texts of the configuration's revisions, and what
                             the control group keeps of changes. */
    MEMORY_CHANGES,     /**< Changes that are read or wait for an outcome. */
    MEMORY_HOLDERS,     /**< Number of holders. */
} memory_holder;

/** What is held, and the limits. */
typedef struct memory_budget {
    size_t total;                  /**< Limit on the sum, bytes. */
    size_t reserve;                /**< Part of it for small items only. */
    size_t shares[MEMORY_HOLDERS]; /**< Limits on each holder. */
    atomic_size_t held[MEMORY_HOLDERS];
    atomic_size_t held_sum;
    atomic_ullong refused;   /**< Times that something had no room. */
    atomic_ullong evictions; /**< Unfinished bodies that were discarded. */
} memory_budget;

/** An unfinished body, or an answer that isn't read, as a candidate for
 *  eviction. */
typedef struct memory_body {
    size_t bytes;     /**< That it holds. */
    bbm_time idle_at; /**< Since when it has not grown or been read. */
    bool is_answer;
} memory_body;

/** Set the limits for a machine of @p machine_bytes; nothing is held. */
void memory_budget_init(memory_budget *b, size_t machine_bytes);
/** Count @p bytes more, if they have room.  @p item_bytes is the size of the
 *  whole item that they belong to. */
bool memory_budget_take(memory_budget *b, memory_holder holder, size_t bytes,
                        size_t item_bytes);
/** Count @p bytes more, if the holder's share has room, or the total for an
 *  item that isn't small.  So clients that use up the total don't keep small
 *  messages of the control group from being handled. */
bool memory_budget_take_own(memory_budget *b, memory_holder holder,
                            size_t bytes);
/** Count @p bytes more that can't be refused. */
void memory_budget_force(memory_budget *b, memory_holder holder, size_t bytes);
/** Count @p bytes less. */
void memory_budget_give(memory_budget *b, memory_holder holder, size_t bytes);
/** True if memory_budget_take() would have room. */
bool memory_budget_has_room(const memory_budget *b, memory_holder holder,
                            size_t bytes, size_t item_bytes);
/** Bytes that one item can have at most, if nobody holds any but what can't be
 *  refused. */
size_t memory_budget_item_max(const memory_budget *b);
/** Bytes that a holder holds. */
size_t memory_budget_held(const memory_budget *b, memory_holder holder);
/** Name of a holder, for logs and metrics. */
const char *memory_holder_name(memory_holder holder);

/** True if @p a is to be evicted before @p b: bodies before answers, one that
 *  is idle first, of idle ones the largest and then the longest idle, of
 * others the largest. */
bool memory_budget_evict_before(const memory_body *a, const memory_body *b,
                                bbm_time now);
/** True if @p victim may be evicted so that a body of @p item_bytes grows. One
 *  that isn't idle gives way to a small one only, and if it is larger than
 *  small itself; an answer that is read is never evicted. */
bool memory_budget_may_evict(const memory_body *victim, size_t item_bytes,
                             bbm_time now);

/** Memory of this machine in bytes, or its control group's or process's limit
 *  if that is lower. */
size_t memory_budget_detect(void);

#endif
