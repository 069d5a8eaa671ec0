/** @file
 *  A bounded queue with many producers and one consumer, which can wait for
 *  items.
 *
 *      mailbox *box = mailbox_create(4096);
 *      if (!mailbox_put(box, item)) ...         full: drop the item
 *      mailbox_put_waiting(box, item);          blocks while it is full
 *      mailbox_wait(box, 20);                   at most 20 ms
 *      while ((item = mailbox_take(box)) != NULL) ...
 */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <stdbool.h>
#include <stddef.h>

/** Mailbox; opaque. */
typedef struct mailbox mailbox;

/** Create a mailbox for @p size - 1 items.  @p size is a power of two, 4 or
 *  more. */
mailbox *mailbox_create(unsigned size);
/** Release the mailbox, but not the items in it; NULL is allowed. */
void mailbox_destroy(mailbox *box);
/** Put an item; false if the mailbox is full.  From any thread. */
bool mailbox_put(mailbox *box, void *item);
/** Put an item that must not be dropped; spins while the mailbox is full. */
void mailbox_put_waiting(mailbox *box, void *item);
/** Take the oldest item; NULL if there is none.  From one thread only. */
void *mailbox_take(mailbox *box);
/** Wait until an item is put, at most @p ms milliseconds; returns at once if
 *  one was put since the last wait.  From the thread that takes the items. */
void mailbox_wait(mailbox *box, int ms);

#endif
