/** @file
 *  The log in memory: a snapshot and the entries after it (private).
 */
#ifndef RAFT_LOG_H
#define RAFT_LOG_H

#include "bbm_raft.h"

/** Snapshot and entries; entries[i] has index snapshot.index + 1 + i. */
typedef struct raft_log {
    bbm_raft_snapshot snapshot; /**< Covers all earlier entries. */
    bbm_entry *entries;         /**< Owned. */
    size_t len;                 /**< Number of entries. */
    size_t cap;                 /**< Allocated entries. */
    size_t bytes;               /**< Sum of the entries' data. */
    bbm_entry_file file;        /**< Of entries that aren't read yet. */
} raft_log;

/** Index of the last entry, or of the snapshot if there are no entries. */
uint64_t raft_log_last(const raft_log *log);
/** Term of the entry at an index, the snapshot's last entry included; 0 if
 *  it was compacted earlier or isn't in the log yet. */
uint64_t raft_log_term(const raft_log *log, uint64_t index);
/** Entry at an index; NULL if it was compacted or isn't in the log yet. */
const bbm_entry *raft_log_entry(const raft_log *log, uint64_t index);
/** Copies of @p len entries from @p index on, with their data; the caller owns
 *  both. */
bbm_entry *raft_log_copy(const raft_log *log, uint64_t index, size_t len);
/** The same, but the data is the log's unless it had to be read from the file;
 *  valid until the log changes, and to be freed by raft_log_free_view(). */
bbm_entry *raft_log_view(const raft_log *log, uint64_t index, size_t len);
/** Free a view. */
void raft_log_free_view(bbm_entry *view, size_t len);
/** Append an entry with the next index and a copy of the data. */
const bbm_entry *raft_log_append(raft_log *log, uint64_t term,
                                 bbm_entry_kind kind, const uint8_t *data,
                                 size_t len);
/** Delete the entries from @p index on. */
void raft_log_truncate(raft_log *log, uint64_t index);
/** Install a snapshot, whose data is moved.  Later entries are kept if the
 *  log has the snapshot's last entry, and deleted otherwise. */
void raft_log_install_snapshot(raft_log *log, bbm_raft_snapshot *snapshot);
/** Group as of the last entry. */
void raft_log_group(const raft_log *log, bbm_raft_group *group);
/** Index of the last BBM_ENTRY_GROUP entry; 0 if the group is the
 *  snapshot's. */
uint64_t raft_log_group_index(const raft_log *log);
/** Free the entries and the snapshot. */
void raft_log_free(raft_log *log);

#endif
