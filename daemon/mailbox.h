/** @file
 *  A bounded queue with many producers and one consumer, which can wait for
 *  items.
 *
 *  It can also be bounded by what its items hold, as counted by a memory
 *  budget.
 *
 *      mailbox *box = mailbox_create(4096);
 *      mailbox_set_memory(box, &budget, bytes_of);
 *      if (!mailbox_put(box, item)) ...         full: drop the item
 *      mailbox_put_waiting(box, item);          blocks while it is full
 *      mailbox_wait(box, 20);                   at most 20 ms
 *      while ((item = mailbox_take(box)) != NULL) ...
 */
#ifndef MAILBOX_H
#define MAILBOX_H

#include "memory_budget.h"

#include <stdbool.h>
#include <stddef.h>

/** Mailbox; opaque. */
typedef struct mailbox mailbox;

/** Create a mailbox for @p size - 1 items.  @p size is a power of two, 4 or
 *  more. */
mailbox *mailbox_create(unsigned size);
/** Size of an item in bytes, with all that it holds; the same from its put to
 *  its take. */
typedef size_t mailbox_bytes_fn(const void *item);

/** Count the items as held by MEMORY_MAILBOX.  Before the first item.
 *  @p memory outlives the mailbox. */
void mailbox_set_memory(mailbox *box, memory_budget *memory,
                        mailbox_bytes_fn *bytes_of);
/** The budget that was set; NULL: none. */
memory_budget *mailbox_memory(const mailbox *box);
/** Release the mailbox, but not the items in it; NULL is allowed. */
void mailbox_destroy(mailbox *box);
/** Put an item; false if the mailbox is full or the budget has no room.  From
 *  any thread. */
bool mailbox_put(mailbox *box, void *item);
/** Put an item that must not be dropped; spins while the mailbox is full.  It
 *  counts, but the budget doesn't refuse it. */
void mailbox_put_waiting(mailbox *box, void *item);
/** Take the oldest item; NULL if there is none.  From one thread only. */
void *mailbox_take(mailbox *box);
/** Wait until an item is put, at most @p ms milliseconds; returns at once if
 *  one was put since the last wait.  From the thread that takes the items. */
void mailbox_wait(mailbox *box, int ms);

#endif
