/** @file
 *  State of a member, shared by the sources of the module (private).
 */
#ifndef RAFT_CORE_H
#define RAFT_CORE_H

#include "bbm_hash.h"
#include "raft_log.h"
#include "raft_message.h"

#include <sys/queue.h>

/** Progress of a member as seen by the leader, and its vote as seen by a
 *  candidate.  Times are by the own clock; 0 means never. */
typedef struct raft_peer {
    bbm_member_id id;
    uint64_t next_index;       /**< Next index to send. */
    uint64_t match_index;      /**< Highest index known to be synced there. */
    bbm_time acked_sent_at;    /**< Sending time of the latest request that it
                                    has answered; basis of the lease. */
    bbm_time last_contact_at;  /**< Time of its last answer. */
    bbm_time snapshot_sent_at; /**< Time of the last snapshot sent to it. */
    bool granted;              /**< Granted the vote in this term. */
    bool pregranted;           /**< Granted the pre-vote in this round. */
    bool no_leader_seen; /**< Reported in this round that it has neither led
                              nor received from a leader since its start. */
} raft_peer;

/** A queue of outputs. */
TAILQ_HEAD(raft_queue, raft_queued);

/** A queued output. */
typedef struct raft_queued {
    bbm_raft_output output;
    uint64_t wait_seq;             /**< Deliver only after this write; 0 for
                                        at once. */
    bool is_append_reply;          /**< A later one replaces it. */
    TAILQ_ENTRY(raft_queued) link; /**< In bbm_raft.ready or .waiting. */
} raft_queued;

/** A write that isn't yet confirmed as synced. */
typedef struct raft_pending_write {
    uint64_t seq;   /**< Number of the write. */
    uint64_t index; /**< Last index of the log once it is synced. */
    size_t bytes;   /**< Of its snapshot and entries. */
} raft_pending_write;

/** A member of a Raft group. */
struct bbm_raft {
    bbm_raft_desc desc;   /**< Defaults filled in. */
    bbm_rng rng;          /**< For election timeouts. */
    raft_log log;         /**< Snapshot and entries. */
    bbm_raft_group group; /**< As of the last entry. */
    bbm_raft_role role;
    uint64_t term;                         /**< Current term. */
    bbm_member_id vote;                    /**< Vote in it; 0 if none. */
    bbm_member_id leader;                  /**< Leader in it; 0: unknown. */
    uint64_t commit_index;                 /**< Highest committed index. */
    uint64_t last_applied;                 /**< Highest index output. */
    bbm_time now;                          /**< Latest time passed in. */
    bbm_time election_timeout_at;          /**< Start of a pre-vote. */
    bbm_time prevote_started_at;           /**< Start of the last one. */
    bbm_time last_leader_contact_at;       /**< 0: none since the start. */
    bbm_time no_vote_until;                /**< Votes are withheld while a
                                                lease may be valid. */
    bbm_time next_heartbeat_at;            /**< Used by a leader. */
    bbm_time leader_since;                 /**< Time of the last election
                                                won; 0: none since the
                                                start. */
    raft_peer peers[BBM_RAFT_MEMBERS_MAX]; /**< By position in group. */
    uint64_t persist_issued;               /**< Last write number issued. */
    uint64_t persist_confirmed;            /**< Last one confirmed. */
    uint64_t vote_write; /**< Number of the write of the last vote. */
    raft_pending_write *pending_writes; /**< In order of seq. */
    size_t pending_writes_len;
    size_t pending_writes_cap;
    size_t unsynced_bytes;       /**< Of these writes. */
    uint64_t durable_index;      /**< Last index synced here. */
    struct raft_queue ready;     /**< Outputs for the driver; committed entries
                                        come after them. */
    struct raft_queue waiting;   /**< For a write. */
    raft_queued *current_output; /**< Returned last; owned. */
};

/** Queue an output that doesn't wait for a write. */
bbm_raft_output *raft_queue_output(bbm_raft *r, bbm_raft_output_kind kind);
/** Queue a message; if @p durable, it waits until all writes issued so far
 *  are synced. */
void raft_send(bbm_raft *r, raft_message *m, bool durable);
/** Queue a write of the term, the vote and the entries from index @p from to
 *  the end; 0 writes no entries.  Stored entries from @p truncate_from on are
 *  deleted first; 0 deletes none.  @p snapshot is copied; NULL writes none. */
void raft_persist(bbm_raft *r, const bbm_raft_snapshot *snapshot,
                  uint64_t truncate_from, uint64_t from);
/** Free an output; NULL is allowed. */
void raft_free_queued(raft_queued *q);
/** Make messages ready whose writes are synced. */
void raft_release_waiting(bbm_raft *r);
/** Reload the group from the log and rebuild the peers; members that stay
 *  keep their progress.  Outputs BBM_RAFT_GROUP if the group has changed. */
void raft_reload_group(bbm_raft *r);
/** Position of a member in the group, or -1. */
int raft_position(const bbm_raft *r, bbm_member_id id);
/** True if this member is a voter. */
bool raft_is_voter(const bbm_raft *r);
/** Size of a majority of the voters. */
size_t raft_quorum(const bbm_raft *r);
/** Highest value that a quorum of voters has reached; 0 without voters.
 *  @p values is indexed like the group; learners' values are ignored. */
int64_t raft_quorum_value(const bbm_raft *r, const int64_t *values);
/** Become a follower in @p term.  @p leader is 0 if it is unknown.  A higher
 *  term is persisted if @p persist; otherwise the caller writes it, with its
 *  vote. */
void raft_adopt_term(bbm_raft *r, uint64_t term, bbm_member_id leader,
                     bool persist);
/** Become a follower in @p term; a higher term is persisted.  @p leader is 0
 *  if it is unknown. */
void raft_become_follower(bbm_raft *r, uint64_t term, bbm_member_id leader);
/** Set a new random election timeout. */
void raft_reset_timeout(bbm_raft *r);
/** True if this member has neither led nor received from a leader since its
 *  start. */
bool raft_no_leader_seen(const bbm_raft *r);
/** Start a round of pre-votes. */
void raft_start_prevote(bbm_raft *r);
/** Become leader of the current term. */
void raft_become_leader(bbm_raft *r);
/** Leader: advance the commit index. */
void raft_advance_commit(bbm_raft *r);
/** Leader: send each peer its missing entries, or a heartbeat. */
void raft_broadcast(bbm_raft *r);
/** Leader: send entries, a heartbeat or a snapshot to the peer at @p pos. */
void raft_send_append(bbm_raft *r, size_t pos);
/** Leader: append an entry and persist it; returns its index. */
uint64_t raft_append_entry(bbm_raft *r, bbm_entry_kind kind,
                           const uint8_t *data, size_t len);
/** Handle entries or a heartbeat from a leader. */
void raft_on_append(bbm_raft *r, const raft_message *m);
/** Handle a peer's answer to entries or a snapshot. */
void raft_on_append_reply(bbm_raft *r, const raft_message *m);
/** Handle a snapshot from a leader. */
void raft_on_snapshot(bbm_raft *r, const raft_message *m);
/** Handle a request for a vote or pre-vote. */
void raft_on_vote(bbm_raft *r, const raft_message *m);
/** Handle an answer to such a request. */
void raft_on_vote_reply(bbm_raft *r, const raft_message *m);

#endif
