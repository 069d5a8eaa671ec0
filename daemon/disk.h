/** @file
 *  The thread that writes to the data folder.
 *
 *  Writes are synced in order and confirmed to control.  A write that fails,
 *  for example because the disk is full, is retried until it succeeds.  No
 *  later write is confirmed meanwhile, so the control group does not count
 *  this VM in its majorities.
 */
#ifndef DISK_H
#define DISK_H

#include "bbm_store.h"
#include "mailbox.h"

/** Disk thread; opaque. */
typedef struct disk disk;

/** Start the thread, which then owns the store.  Confirmations go to the
 *  mailbox @p control. */
disk *disk_create(bbm_store *store, mailbox *control);
/** Load the contents of the folder into @p saved and return the member id
 *  stored in it, which is never 0.  Call it before the first write. */
bbm_member_id disk_load(disk *d, bbm_raft_saved *saved);
/** Queue a write.  Its contents move to the thread: *@p persist is zeroed. */
void disk_write(disk *d, bbm_raft_persist *persist);
/** Bytes of the folder's snapshot and log after the last write. */
uint64_t disk_stored_bytes(const disk *d);
/** Finish the queued writes, but drop those that fail, and release the thread
 *  and the store; NULL is allowed. */
void disk_destroy(disk *d);

#endif
