/** @file
 *  A replicated log as a pure state machine.
 *
 *  Members are named by the random identity of their data folder, never by
 *  machine: a disk that comes back empty is a new member and its old votes
 *  can't be given twice.  The module does no I/O and reads no clock.
 *
 *  Step by step:
 *
 *      bbm_raft *r = bbm_raft_create(&(bbm_raft_desc){.id = me, .seed = 7});
 *      bbm_raft_bootstrap(r, members, count, now);       once, on one member
 *      bbm_raft_tick(r, now);                        every 10 ms or so
 *      bbm_raft_receive(r, bytes, len, now);         a message came in
 *      bbm_raft_propose(r, data, len, now, &index);  on the leader
 *
 *  After each call take the outputs, in order, until NULL:
 *
 *      bbm_raft_output *out;
 *      while ((out = bbm_raft_next_output(r)) != NULL) {
 *          switch (out->kind) { ... }
 *      }
 *
 *  BBM_RAFT_PERSIST must be synced to disk; call bbm_raft_persisted(r, seq)
 *  when it is.  Messages that depend on it are kept back inside until then,
 *  so a driver may sync in another thread.
 *
 *  The leader holds a lease: until bbm_raft_lease_until() no other member can
 *  be leader, clocks drifting by no more than drift_ppm.  Check the time
 *  again right before an act that relies on it.
 *
 *  Source: the Raft paper by Ongaro and Ousterhout, with pre-vote, check
 *  quorum, learners and change of one member at a time.
 */
#ifndef BBM_RAFT_H
#define BBM_RAFT_H

#include "bbm_mem.h"
#include "bbm_pack.h"
#include "bbm_time.h"

/** Identity of a data folder; 0 is nobody. */
typedef uint64_t bbm_member_id;

/** Members that a group may have, learners included. */
#define BBM_RAFT_MEMBERS_MAX 9

/** One member of the group. */
typedef struct bbm_raft_member {
    bbm_member_id id;         /**< Identity of its data folder. */
    char name[BBM_NAME_SIZE]; /**< Daemon that has the folder. */
    bool voter;               /**< False for a learner. */
} bbm_raft_member;

/** The group at one point of the log. */
typedef struct bbm_raft_group {
    bbm_raft_member members[BBM_RAFT_MEMBERS_MAX]; /**< In no order. */
    size_t len;                                    /**< Members. */
} bbm_raft_group;

/** What an entry holds. */
typedef enum bbm_entry_kind {
    BBM_ENTRY_NOOP,    /**< Nothing: a leader's first entry. */
    BBM_ENTRY_COMMAND, /**< Bytes of the proposer. */
    BBM_ENTRY_GROUP,   /**< A bbm_raft_group. */
} bbm_entry_kind;

/** An entry of the log. */
typedef struct bbm_entry {
    uint64_t index;      /**< From 1. */
    uint64_t term;       /**< Term of the leader that appended it. */
    bbm_entry_kind kind; /**< What data holds. */
    uint8_t *data;       /**< Owned by the log. */
    size_t len;          /**< Bytes. */
} bbm_entry;

/** The state up to and with an index. */
typedef struct bbm_raft_snapshot {
    uint64_t index;       /**< Last entry covered; 0: none. */
    uint64_t term;        /**< Its term. */
    bbm_raft_group group; /**< Group at that index. */
    bbm_buf data;         /**< Bytes of the state machine. */
} bbm_raft_snapshot;

/** What survives a restart, as read from the data folder. */
typedef struct bbm_raft_saved {
    uint64_t term;              /**< Highest term seen. */
    bbm_member_id vote;         /**< Vote in that term; 0: none. */
    bbm_raft_snapshot snapshot; /**< Last snapshot. */
    bbm_entry *entries;         /**< Entries after it, without gaps. */
    size_t len;                 /**< Entries. */
} bbm_raft_saved;

/** How to make a member. */
typedef struct bbm_raft_desc {
    bbm_member_id id;            /**< Own identity; not 0. */
    uint64_t seed;               /**< For election timeouts. */
    bbm_time election_timeout;   /**< Shortest election timeout; 0: 500 ms. */
    bbm_time heartbeat_interval; /**< 0: election / 5. */
    int64_t drift_ppm;           /**< Clock drift between VMs; 0: 1000. */
    size_t batch_bytes;          /**< Entries in a message; 0: 512 KiB. */
    bool unsafe_no_lease;        /**< Tests only: no vote is held back. */
    bool unsafe_no_prevote;      /**< Tests only: elections at once. */
    bool unsafe_no_sync;         /**< Tests only: no wait for the disk. */
    bbm_raft_saved *saved;       /**< Taken over and emptied; NULL: new. */
    bbm_time now;                /**< Present moment. */
} bbm_raft_desc;

/** Role of a member. */
typedef enum bbm_raft_role {
    BBM_FOLLOWER,  /**< Follows a leader, or waits for one. */
    BBM_PREVOTER,  /**< Asks whether an election could be won. */
    BBM_CANDIDATE, /**< Asks for votes. */
    BBM_LEADER,    /**< Leads. */
} bbm_raft_role;

/** Kinds of output. */
typedef enum bbm_raft_output_kind {
    BBM_RAFT_SEND,    /**< Send bytes to a member. */
    BBM_RAFT_PERSIST, /**< Write and sync; answer with the number. */
    BBM_RAFT_COMMIT,  /**< Apply an entry. */
    BBM_RAFT_RESTORE, /**< Replace the state by a snapshot. */
    BBM_RAFT_ROLE,    /**< Role, term or leader changed. */
    BBM_RAFT_GROUP,   /**< The group changed. */
} bbm_raft_output_kind;

/** What to write, in this order. */
typedef struct bbm_raft_persist {
    uint64_t seq;                /**< Give to bbm_raft_persisted. */
    uint64_t term;               /**< Term to keep. */
    bbm_member_id vote;          /**< Vote to keep. */
    bbm_raft_snapshot *snapshot; /**< Replace it by this copy, or NULL. */
    uint64_t truncate_from;      /**< Drop entries from here on; 0: none. */
    bbm_entry *entries;          /**< Append these; own copies. */
    size_t len;                  /**< Entries. */
} bbm_raft_persist;

/** One output; valid until the next call of bbm_raft_next_output.  A driver
 * may move what it owns out of it, and leave zeros behind. */
typedef struct bbm_raft_output {
    bbm_raft_output_kind kind; /**< Which member of the union holds. */
    union {
        struct {
            bbm_member_id to;     /**< Receiver. */
            bbm_buf bytes;        /**< Message. */
        } send;                   /**< BBM_RAFT_SEND. */
        bbm_raft_persist persist; /**< BBM_RAFT_PERSIST. */
        bbm_entry commit;         /**< BBM_RAFT_COMMIT; data is a copy. */
        struct {
            uint64_t index; /**< Last entry covered. */
            bbm_buf data;   /**< Bytes of the state machine, a copy. */
        } restore;          /**< BBM_RAFT_RESTORE. */
    } u;                    /**< By kind. */
} bbm_raft_output;

/** A member; opaque. */
typedef struct bbm_raft bbm_raft;

/** Make a member; entries of a saved log are not committed again until the
 *  group says so, but its snapshot is restored as the first output. */
bbm_raft *bbm_raft_create(const bbm_raft_desc *desc);

/** Release a member; NULL is allowed. */
void bbm_raft_destroy(bbm_raft *r);

/** Found a group on an empty log.  BBM_ERR_UNSAFE if the log isn't empty. */
int bbm_raft_bootstrap(bbm_raft *r, const bbm_raft_member *members, size_t len,
                       bbm_time now);

/** Time has passed. */
void bbm_raft_tick(bbm_raft *r, bbm_time now);

/** A message came in.  BBM_ERR_DECODE if it is malformed or not for us. */
int bbm_raft_receive(bbm_raft *r, const uint8_t *data, size_t len,
                     bbm_time now);

/** Who sent a message, by its own word; 0 if it is malformed. */
bbm_member_id bbm_raft_sender(const uint8_t *data, size_t len);

/** Everything up to a BBM_RAFT_PERSIST with this number is synced. */
void bbm_raft_persisted(bbm_raft *r, uint64_t seq, bbm_time now);

/** Append a command.  BBM_ERR_NOT_LEADER unless leading under a lease. */
int bbm_raft_propose(bbm_raft *r, const uint8_t *data, size_t len,
                     bbm_time now, uint64_t *index);

/** Add a learner, make it a voter, or remove a member (@p change.voter and
 *  @p remove say which).  BBM_ERR_UNSAFE while a change is under way, if a
 *  learner has not caught up, or if the quorum would not be alive after. */
int bbm_raft_change_membership(bbm_raft *r, const bbm_raft_member *change,
                               bool remove, bbm_time now);

/** The state machine's bytes as of @p index, which was applied. */
void bbm_raft_compact(bbm_raft *r, uint64_t index, bbm_buf data);

/** Release what a write holds. */
void bbm_raft_persist_free(bbm_raft_persist *p);

/** The next output, or NULL. */
bbm_raft_output *bbm_raft_next_output(bbm_raft *r);

/** Present role. */
bbm_raft_role bbm_raft_role_of(const bbm_raft *r);
/** Present term. */
uint64_t bbm_raft_term(const bbm_raft *r);
/** Leader that is known, or 0. */
bbm_member_id bbm_raft_leader(const bbm_raft *r);
/** Highest committed index. */
uint64_t bbm_raft_commit_index(const bbm_raft *r);
/** Last index of the log. */
uint64_t bbm_raft_last_index(const bbm_raft *r);
/** Entries held after the snapshot. */
size_t bbm_raft_log_len(const bbm_raft *r);
/** The group as of the last entry. */
const bbm_raft_group *bbm_raft_group_of(const bbm_raft *r);
/** A member by identity, or NULL. */
const bbm_raft_member *bbm_raft_member_of(const bbm_raft *r, bbm_member_id id);
/** The moment until which nobody else can lead; 0 unless leader with an
 *  entry of its own term committed. */
bbm_time bbm_raft_lease_until(const bbm_raft *r);
/** Last moment at which a leader was heard, its own included; 0: never. */
bbm_time bbm_raft_last_leader_contact_at(const bbm_raft *r);
/** Last moment at which a member was heard by the leader; 0: never. */
bbm_time bbm_raft_last_contact_at(const bbm_raft *r, bbm_member_id id);

/** Leader: true if a member lacks so little that it could vote. */
bool bbm_raft_is_caught_up(const bbm_raft *r, bbm_member_id id);

/** Write a group, for the log and for messages. */
void bbm_raft_group_encode(const bbm_raft_group *g, bbm_buf *buf);
/** Read a group; sets the reader's error if it is malformed. */
void bbm_raft_group_decode(bbm_reader *rd, bbm_raft_group *g);

#endif
