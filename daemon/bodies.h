/** @file
 *  The bodies that fronts are receiving, counted against the memory budget.
 *
 *  While a body is unfinished it can be discarded so that another one has
 *  room.  Its client is answered with 503 once it has sent the rest: the
 *  request has not run.
 *
 *      bodies *b = bodies_create(&budget);
 *      if (!bodies_admit(b, ex, declared_length)) ... refuse at once
 *      bodies_append(b, ex, data, len);
 *      bodies_end(b, ex);                   complete, or its request has ended
 *      if (ex->body_discarded) ... refuse
 *
 *  A body that isn't discarded counts until its exchange is released.
 */
#ifndef BODIES_H
#define BODIES_H

#include "exchange.h"

/** Bodies of all fronts of a daemon; opaque. */
typedef struct bodies bodies;

/** Create; @p memory outlives it and all exchanges. */
bodies *bodies_create(memory_budget *memory);
/** Release, once all fronts are destroyed; NULL is allowed. */
void bodies_destroy(bodies *b);
/** Make room for a body of a declared length, if it isn't small.  Returns
 *  false if there is none.  Of a NULL @p b, all have room. */
bool bodies_admit(bodies *b, exchange *ex, size_t declared_bytes);
/** Append bytes to the body; without room for them it is discarded.  A NULL
 *  @p b counts nothing. */
void bodies_append(bodies *b, exchange *ex, const void *data, size_t len);
/** Discard an unfinished body so that something of @p item_bytes has room.
 *  Returns false if there is none that may be. */
bool bodies_evict(bodies *b, const exchange *except, size_t item_bytes);
/** Discard the body, if it isn't yet. */
void bodies_discard(exchange *ex);
/** The body is no longer unfinished; it may be called more than once. */
void bodies_end(bodies *b, exchange *ex);

#endif
