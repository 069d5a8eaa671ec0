/** @file
 *  Raft consensus: a replicated log as a pure state machine.
 *
 *  The module performs no I/O and reads no clock.  A member is identified by
 *  the random identity of its data folder, not by its machine: a disk that
 *  was replaced by an empty one is a new member, which cannot vote a second
 *  time in a term in which the old disk has voted.
 *
 *      bbm_raft *r = bbm_raft_create(&(bbm_raft_desc){.id = me, .seed = 7});
 *      bbm_raft_bootstrap(r, members, count, now);   once, on one member
 *      bbm_raft_tick(r, now);                        every 10 ms or so
 *      bbm_raft_receive(r, bytes, len, now);         for each message
 *      bbm_raft_propose(r, data, len, now, &index);  on the leader
 *
 *  After each call the driver handles all outputs, in order:
 *
 *      bbm_raft_output *out;
 *      while ((out = bbm_raft_next_output(r)) != NULL) {
 *          switch (out->kind) { ... }
 *      }
 *
 *  The driver writes and syncs each BBM_RAFT_PERSIST, then calls
 *  bbm_raft_persisted(r, seq).  Messages that depend on the write are queued
 *  inside the module until then, so that the driver may sync in another
 *  thread.
 *
 *  The leader holds a lease: no other member can become leader before
 *  bbm_raft_lease_until(), provided that clocks drift by at most drift_ppm.
 *  A caller that relies on the lease compares it with the clock immediately
 *  before it acts.
 *
 *  Source: the Raft paper by Ongaro and Ousterhout, with pre-vote, check
 *  quorum, learners and single-server membership changes.
 */
#ifndef BBM_RAFT_H
#define BBM_RAFT_H

#include "bbm_mem.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Identity of a data folder; 0 means no member. */
typedef uint64_t bbm_member_id;

/** Maximum number of members of a group, learners included. */
#define BBM_RAFT_MEMBERS_MAX 9

/** One member of the group. */
typedef struct bbm_raft_member {
    bbm_member_id id;         /**< Identity of its data folder. */
    char name[BBM_NAME_SIZE]; /**< Name of the VM that has the folder. */
    bool voter;               /**< False for a learner. */
} bbm_raft_member;

/** Membership of the group at some index of the log: the Raft paper's
 *  cluster configuration. */
typedef struct bbm_raft_group {
    bbm_raft_member members[BBM_RAFT_MEMBERS_MAX]; /**< Unordered. */
    size_t len;                                    /**< Number of members. */
} bbm_raft_group;

/** Type of a log entry. */
typedef enum bbm_entry_kind {
    BBM_ENTRY_NOOP,    /**< Empty; the first entry of each leader. */
    BBM_ENTRY_COMMAND, /**< Command bytes, opaque to this module. */
    BBM_ENTRY_GROUP,   /**< An encoded bbm_raft_group. */
} bbm_entry_kind;

/** An entry of the log. */
typedef struct bbm_entry {
    uint64_t index;      /**< Position in the log, from 1. */
    uint64_t term;       /**< Term of the leader that appended it. */
    bbm_entry_kind kind; /**< Type of the data. */
    uint8_t *data;       /**< Owned by the log; NULL while it is still in a
                              file, at stored_at. */
    size_t len;          /**< Bytes of data. */
    uint64_t stored_at;  /**< Position in its file; 0: not in a file. */
} bbm_entry;

/** The file from which data of entries is read when it is needed, so that a
 *  long log isn't held in memory at a restart. */
typedef struct bbm_entry_file {
    /** Read @p len bytes at @p at.  Ends the process if they can't be read:
     *  the state would have a gap. */
    void (*read)(void *context, uint64_t at, uint8_t *data, size_t len);
    /** Release the context. */
    void (*close)(void *context);
    void *context; /**< NULL: there is no file. */
} bbm_entry_file;

/** Snapshot of the state machine after the entry at an index. */
typedef struct bbm_raft_snapshot {
    uint64_t index;       /**< Last entry included; 0 if there is none. */
    uint64_t term;        /**< Term of that entry. */
    bbm_raft_group group; /**< Group as of that entry. */
    bbm_buf data;         /**< Encoded state machine. */
} bbm_raft_snapshot;

/** Persistent state as read from the data folder at a restart. */
typedef struct bbm_raft_saved {
    uint64_t term;              /**< Highest term seen. */
    bbm_member_id vote;         /**< Vote in that term; 0 if none. */
    bbm_raft_snapshot snapshot; /**< Latest snapshot. */
    bbm_entry *entries;         /**< Entries after it, without gaps. */
    size_t len;                 /**< Number of entries. */
    bbm_entry_file file;        /**< Of the entries whose data isn't read. */
} bbm_raft_saved;

/** Parameters of bbm_raft_create. */
typedef struct bbm_raft_desc {
    bbm_member_id id;            /**< Own identity; not 0. */
    uint64_t seed;               /**< Seeds the election timeouts. */
    bbm_time election_timeout;   /**< Minimum timeout; 0 means 500 ms. */
    bbm_time heartbeat_interval; /**< 0 means election_timeout / 5. */
    int64_t drift_ppm;        /**< Maximum clock drift between VMs in parts per
                                   million; 0 means 1000. */
    size_t batch_bytes;       /**< A message gets no further entry once its
                                   entries reach this; 0 means 512 KiB. */
    size_t backlog_bytes_max; /**< Beyond it, and twice the snapshot, nothing
                                   is accepted that would have to be
                                   written; 0 means 4 MiB. */
    bool unsafe_no_lease;     /**< Tests only: votes are never withheld. */
    bool unsafe_no_prevote;   /**< Tests only: elections without pre-vote. */
    bool unsafe_no_sync;      /**< Tests only: messages don't wait for disk
                                   writes. */
    bbm_raft_saved *saved;    /**< Moved from and zeroed; NULL for a new
                                   member. */
    bbm_time now;             /**< Current time. */
} bbm_raft_desc;

/** Role of a member. */
typedef enum bbm_raft_role {
    BBM_FOLLOWER,  /**< Has a leader, or waits for the election timeout. */
    BBM_PREVOTER,  /**< Requests pre-votes, in its present term. */
    BBM_CANDIDATE, /**< Requests votes, in a new term. */
    BBM_LEADER,    /**< Elected leader of its term. */
} bbm_raft_role;

/** Types of output. */
typedef enum bbm_raft_output_kind {
    BBM_RAFT_SEND,    /**< Send a message to a member. */
    BBM_RAFT_PERSIST, /**< Write, sync, then call bbm_raft_persisted. */
    BBM_RAFT_COMMIT,  /**< Apply a committed entry. */
    BBM_RAFT_RESTORE, /**< Replace the state machine by a snapshot. */
    BBM_RAFT_ROLE,    /**< Role, term or leader changed. */
    BBM_RAFT_GROUP,   /**< Membership changed, perhaps not yet committed. */
} bbm_raft_output_kind;

/** A write to the data folder; its parts are applied in field order. */
typedef struct bbm_raft_persist {
    uint64_t seq;                /**< Argument of bbm_raft_persisted. */
    uint64_t term;               /**< Current term. */
    bbm_member_id vote;          /**< Vote in that term; 0 if none. */
    bbm_raft_snapshot *snapshot; /**< Replaces the stored snapshot and all
                                      stored entries: `entries` then holds
                                      every entry after it.  An owned copy;
                                      NULL: both stay. */
    uint64_t truncate_from;      /**< Delete entries from this index on; 0
                                      deletes none. */
    bbm_entry *entries;          /**< Entries to append; owned copies. */
    size_t len;                  /**< Number of entries. */
} bbm_raft_persist;

/** One output; valid until the next call of bbm_raft_next_output.  A driver
 *  may take ownership of its buffers by copying the pointers and zeroing
 *  them here. */
typedef struct bbm_raft_output {
    bbm_raft_output_kind kind; /**< Selects the union member. */
    union {
        struct {
            bbm_member_id to;     /**< Receiver. */
            bbm_buf bytes;        /**< Encoded message. */
        } send;                   /**< For BBM_RAFT_SEND. */
        bbm_raft_persist persist; /**< For BBM_RAFT_PERSIST. */
        bbm_entry commit;         /**< For BBM_RAFT_COMMIT; data is a copy. */
        struct {
            uint64_t index; /**< Last entry included in the snapshot. */
            bbm_buf data;   /**< Encoded state machine; a copy. */
        } restore;          /**< For BBM_RAFT_RESTORE. */
    } u;                    /**< Unused for BBM_RAFT_ROLE and _GROUP. */
} bbm_raft_output;

/** A member of a Raft group; opaque. */
typedef struct bbm_raft bbm_raft;

/** Create a member.  If a snapshot was saved, the first output restores it.
 *  Saved entries after the snapshot are output for commit only once the
 *  group confirms that they are committed. */
bbm_raft *bbm_raft_create(const bbm_raft_desc *desc);

/** Free a member; NULL is allowed. */
void bbm_raft_destroy(bbm_raft *r);

/** Bootstrap a new group with the given members.  BBM_ERR_UNSAFE if the log
 *  isn't empty, if the term isn't 0, or if @p len is 0 or more than
 *  BBM_RAFT_MEMBERS_MAX. */
int bbm_raft_bootstrap(bbm_raft *r, const bbm_raft_member *members, size_t len,
                       bbm_time now);

/** Run timers: heartbeats, elections and the leader's quorum check. */
void bbm_raft_tick(bbm_raft *r, bbm_time now);

/** Handle a received message.  BBM_ERR_DECODE if it is malformed, has another
 *  format version, or is addressed to another member. */
int bbm_raft_receive(bbm_raft *r, const uint8_t *data, size_t len,
                     bbm_time now);

/** Sender that a message claims; 0 if its header is malformed or it has
 *  another format version.  The rest of the message isn't checked. */
bbm_member_id bbm_raft_sender(const uint8_t *data, size_t len);

/** Encoded state machine in a message: a view into it, empty unless the
 *  message carries a snapshot.  BBM_ERR_DECODE if that is malformed; other
 *  messages aren't checked. */
int bbm_raft_snapshot_data(const uint8_t *data, size_t len,
                           bbm_bytes *snapshot);

/** Append a message that carries a snapshot with another encoding of the same
 *  state machine.  BBM_ERR_DECODE if the message is malformed,
 *  BBM_ERR_ARGUMENT if it carries no snapshot. */
int bbm_raft_replace_snapshot_data(const uint8_t *data, size_t len,
                                   bbm_bytes snapshot, bbm_buf *buf);

/** Report that all writes up to and including number @p seq are synced. */
void bbm_raft_persisted(bbm_raft *r, uint64_t seq, bbm_time now);

/** Append a command to the log; @p index receives its index.  The command is
 *  in force once it is output for commit; it may be lost before that.
 *  BBM_ERR_NOT_LEADER unless this member is leader, and within the election
 *  timeout was elected or got answers from a quorum.  BBM_ERR_BACKLOG, without
 *  effect, if entries that no quorum has confirmed reach backlog_bytes_max.
 *  A leader whose own disk lags by as much gives up leadership. */
int bbm_raft_propose(bbm_raft *r, const uint8_t *data, size_t len,
                     bbm_time now, uint64_t *index);

/** Change one member of the group.  If @p remove is set, the member with the
 *  id of @p change is removed.  Otherwise a new member is added as a learner,
 *  and an existing one becomes a voter or a learner, as @p change.voter says.
 *  BBM_ERR_NOT_LEADER without a lease.  BBM_ERR_UNSAFE while another change
 *  is uncommitted, if the new voter isn't a member or hasn't caught up, if
 *  the group is full, or if no quorum of the new group has answered within
 *  the election timeout.  BBM_ERR_NOT_FOUND if the member to remove doesn't
 *  exist. */
int bbm_raft_change_membership(bbm_raft *r, const bbm_raft_member *change,
                               bool remove, bbm_time now);

/** Compact the log up to @p index, which must have been applied.  @p data is
 *  the encoded state machine as of that index; the member takes ownership. */
void bbm_raft_compact(bbm_raft *r, uint64_t index, bbm_buf data);

/** Free the contents of a write and zero it. */
void bbm_raft_persist_free(bbm_raft_persist *p);

/** Next output, or NULL if there is none. */
bbm_raft_output *bbm_raft_next_output(bbm_raft *r);

/** True if the next output is a committed entry to apply.  A driver may leave
 *  those for later, so that one call doesn't take long. */
bool bbm_raft_next_is_commit(const bbm_raft *r);
/** Bytes of the entries after an index. */
size_t bbm_raft_bytes_after(const bbm_raft *r, uint64_t index);

/** Current role. */
bbm_raft_role bbm_raft_role_of(const bbm_raft *r);
/** Current term. */
uint64_t bbm_raft_term(const bbm_raft *r);
/** Leader of the current term, this member included; 0 if unknown. */
bbm_member_id bbm_raft_leader(const bbm_raft *r);
/** Highest index known to be committed. */
uint64_t bbm_raft_commit_index(const bbm_raft *r);
/** Index of the last entry of the log. */
uint64_t bbm_raft_last_index(const bbm_raft *r);
/** Number of entries after the snapshot. */
size_t bbm_raft_log_len(const bbm_raft *r);
/** True if the writes that aren't confirmed reach backlog_bytes_max: nothing
 *  is accepted before some are. */
bool bbm_raft_disk_lags(const bbm_raft *r);
/** Bytes of the entries after the snapshot. */
size_t bbm_raft_log_bytes(const bbm_raft *r);
/** Bytes of the snapshot. */
size_t bbm_raft_snapshot_bytes(const bbm_raft *r);
/** Bytes of snapshots and entries in writes that aren't confirmed. */
size_t bbm_raft_unsynced_bytes(const bbm_raft *r);
/** Group as of the last entry of the log, committed or not. */
const bbm_raft_group *bbm_raft_group_of(const bbm_raft *r);
/** Member of the current group by identity, or NULL. */
const bbm_raft_member *bbm_raft_member_of(const bbm_raft *r, bbm_member_id id);
/** Time, by the own clock, until which no other member can become leader; 0
 *  unless this member is leader and has committed an entry of its own term. */
bbm_time bbm_raft_lease_until(const bbm_raft *r);
/** Time of the last message from a leader, or of the latest call while this
 *  member is leader; 0 if there was none since the start. */
bbm_time bbm_raft_last_leader_contact_at(const bbm_raft *r);
/** Leader: time of a member's last answer to entries, a heartbeat or a
 *  snapshot in this term; 0 if there was none. */
bbm_time bbm_raft_last_contact_at(const bbm_raft *r, bbm_member_id id);

/** Leader: true if a member's log has the latest change of the group and
 *  lacks at most 64 entries, so that the member may become a voter. */
bool bbm_raft_is_caught_up(const bbm_raft *r, bbm_member_id id);

/** Append the encoded group; used in the log and in messages. */
void bbm_raft_group_encode(const bbm_raft_group *g, bbm_buf *buf);
/** Decode a group; sets the reader's error if it is malformed. */
void bbm_raft_group_decode(bbm_reader *rd, bbm_raft_group *g);

#endif
