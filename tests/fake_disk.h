/** @file
 *  A simulated disk: synced state and a queue of unsynced writes.
 */
#ifndef FAKE_DISK_H
#define FAKE_DISK_H

#include "bbm_raft.h"

/** Maximum number of unsynced writes. */
#define FAKE_WRITES_MAX 4096

/** An unsynced write. */
typedef struct fake_write {
    bbm_raft_persist persist;
    bbm_time sync_at; /**< Time at which it is synced. */
} fake_write;

/** A disk; the fields before `writes` are its synced state. */
typedef struct fake_disk {
    uint64_t term;
    bbm_member_id vote;
    bbm_raft_snapshot snapshot;
    bbm_entry *entries;
    size_t len;
    size_t cap;
    fake_write writes[FAKE_WRITES_MAX]; /**< Unsynced, oldest first. */
    size_t writes_len;                  /**< Number of unsynced writes. */
} fake_disk;

/** Queue a write, whose contents are moved.  Writes are synced in order: if
 *  @p sync_at is earlier than that of the write before, the latter counts. */
void fake_disk_write(fake_disk *d, bbm_raft_persist *persist,
                     bbm_time sync_at);
/** Sync the next write if its time has come; @p seq receives its number. */
bool fake_disk_sync(fake_disk *d, bbm_time now, uint64_t *seq);
/** Power loss: sync the first @p synced_count queued writes and discard the
 *  others. */
void fake_disk_crash(fake_disk *d, size_t synced_count);
/** Copy the synced state, as read by a restarted member. */
void fake_disk_load(const fake_disk *d, bbm_raft_saved *saved);
/** Free everything and make the disk empty. */
void fake_disk_clear(fake_disk *d);

#endif
