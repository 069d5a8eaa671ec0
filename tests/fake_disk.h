/** @file
 *  A disk for histories: what is synced, and writes on their way to it.
 */
#ifndef FAKE_DISK_H
#define FAKE_DISK_H

#include "bbm_raft.h"

/** Writes that may be on their way. */
#define FAKE_WRITES_MOST 4096

/** A write on its way. */
typedef struct fake_write {
    bbm_raft_persist persist;
    bbm_time due; /**< Synced then. */
} fake_write;

/** A disk. */
typedef struct fake_disk {
    uint64_t term;
    bbm_member_id vote;
    bbm_raft_snapshot snapshot;
    bbm_entry *entries;
    size_t len;
    size_t cap;
    fake_write writes[FAKE_WRITES_MOST];
    size_t writes_len;
} fake_disk;

/** Queue a write, which is taken over; never before an earlier one. */
void fake_disk_write(fake_disk *d, bbm_raft_persist *persist, bbm_time due);
/** Sync the next write that is due; its number goes to @p seq. */
bool fake_disk_sync(fake_disk *d, bbm_time now, uint64_t *seq);
/** Power fails: the first @p kept writes are synced, the others lost. */
void fake_disk_crash(fake_disk *d, size_t kept);
/** What a restart reads. */
void fake_disk_load(const fake_disk *d, bbm_raft_saved *saved);
/** Empty it. */
void fake_disk_clear(fake_disk *d);

#endif
