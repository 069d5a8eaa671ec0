/** @file
 *  Durable storage of a control VM: one data folder.
 *
 *  The folder contains a random identity, one snapshot and the log entries
 *  after it.  Every record carries its length and a checksum.  A write
 *  returns after the file is synced, and also the folder if a name in it
 *  changed.
 *
 *      bbm_store *store;
 *      bbm_store_report report;
 *      int rc = bbm_store_open("/var/lib/bluebellmoor", &store, &report);
 *      ... bbm_store_id(store) is the identity ...
 *      bbm_store_load(store, &saved);                state for a restart
 *      rc = bbm_store_write(store, &persist, 1);     0 once synced
 *      bbm_store_close(store);
 *
 *  A failed append is truncated from the log again, and the write may be
 *  retried, for instance when the disk has space.  A snapshot whose files
 *  can't be completed leaves the former pair in use.  Opening removes an
 *  incomplete record at the end of the log, which was never synced, and
 *  reports its size.  A complete record with a wrong checksum is an error
 *  that names the file: the record may have been acknowledged.  The data of
 *  large entries stays in the file and is read when it is needed.
 *
 *  `N.snapshot` and `N.log` form a pair of generation N, which rises with
 *  each snapshot.  The log gets its name last, so that a pair whose log
 *  exists is complete.
 */
#ifndef BBM_STORE_H
#define BBM_STORE_H

#include "bbm_raft.h"

/** An open data folder; opaque. */
typedef struct bbm_store bbm_store;

/** Result of opening a folder. */
typedef struct bbm_store_report {
    bool created;          /**< The folder had no identity and got a new
                                one. */
    size_t torn_bytes;     /**< Bytes removed from the end of the log: an
                                incomplete record, or zeros. */
    char failed_file[256]; /**< Corrupt or unreadable file, or the
                                folder if it can't be created; "" if none. */
} bbm_store_report;

/** Open a folder; create it if it doesn't exist.
 *  BBM_ERR_IO, BBM_ERR_CORRUPT or BBM_ERR_DISK_FULL; *store is then NULL. */
int bbm_store_open(const char *folder, bbm_store **store,
                   bbm_store_report *report);

/** Close a store; NULL is allowed. */
void bbm_store_close(bbm_store *store);

/** Random identity of the folder, created with it; never 0. */
bbm_member_id bbm_store_id(const bbm_store *store);

/** Move the state that was read at opening to @p saved.  Later calls give an
 *  empty state. */
void bbm_store_load(bbm_store *store, bbm_raft_saved *saved);

/** Append writes to the log, in order, with one sync for all of them.  A
 *  write with a snapshot must be the only one.  BBM_ERR_DISK_FULL or
 *  BBM_ERR_IO; then none of the writes counts as written. */
int bbm_store_write(bbm_store *store, const bbm_raft_persist *writes,
                    size_t len);

/** Bytes of the log and the snapshot on disk. */
uint64_t bbm_store_size(const bbm_store *store);

#endif
