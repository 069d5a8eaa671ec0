/** @file
 *  Durable storage of a control VM: one data folder.
 *
 *  The folder holds a random identity, one snapshot and the log after it.
 *  Every record carries its length and checksum.  A write returns only after
 *  the file, and the folder where a name changed, are synced.
 *
 *      bbm_store *store;
 *      bbm_store_report report;
 *      int rc = bbm_store_open("/var/lib/bluebellmoor", &store, &report);
 *      ... bbm_store_id(store) is the identity ...
 *      bbm_store_load(store, &saved);                what a restart needs
 *      rc = bbm_store_write(store, &persist, 1);     synced when it is 0
 *      bbm_store_close(store);
 *
 *  A write that fails leaves the log as it was; it may be tried again, for
 *  instance when there is space.  At opening, a tail that was never synced is
 *  cut off and reported; a record that is complete but fails its checksum is
 *  an error that names the file, for it may have been acknowledged.
 *
 *  The file numbers rise: `N.snapshot` and `N.log` belong together, and the
 *  log's name appears last.
 */
#ifndef BBM_STORE_H
#define BBM_STORE_H

#include "bbm_raft.h"

/** An open data folder; opaque. */
typedef struct bbm_store bbm_store;

/** What opening found. */
typedef struct bbm_store_report {
    bool created;          /**< The folder was empty; it has a new identity. */
    size_t torn_bytes;     /**< Bytes of an unsynced tail that were cut. */
    char failed_file[256]; /**< File that is corrupt or unreadable. */
} bbm_store_report;

/** Open or prepare a folder, which must exist or be creatable.
 *  BBM_ERR_IO, BBM_ERR_CORRUPT or BBM_ERR_DISK_FULL; *store is then NULL. */
int bbm_store_open(const char *folder, bbm_store **store,
                   bbm_store_report *report);

/** Close; NULL is allowed. */
void bbm_store_close(bbm_store *store);

/** The folder's identity, never 0. */
bbm_member_id bbm_store_id(const bbm_store *store);

/** Hand over what was read at opening; may be called once. */
void bbm_store_load(bbm_store *store, bbm_raft_saved *saved);

/** Write steps of the log, in order, and sync them once.  A step with a
 *  snapshot goes alone.  BBM_ERR_DISK_FULL or BBM_ERR_IO; none of the steps
 *  counts as written then. */
int bbm_store_write(bbm_store *store, const bbm_raft_persist *steps,
                    size_t len);

/** Bytes of log and snapshot on disk. */
uint64_t bbm_store_size(const bbm_store *store);

#endif
