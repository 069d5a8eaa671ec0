/** @file
 *  State of a member, shared by the package's sources (private).
 */
#ifndef RAFT_CORE_H
#define RAFT_CORE_H

#include "bbm_hash.h"
#include "raft_log.h"
#include "raft_message.h"

#include <sys/queue.h>

/** What the leader knows of a peer, and a candidate of its vote. */
typedef struct raft_peer {
    bbm_member_id id; /**< Whose. */
    uint64_t next;    /**< Next index to send. */
    uint64_t match;   /**< Highest index known to be synced there. */
    bbm_time acked;   /**< Own clock at the sending of what it answered. */
    bbm_time heard;   /**< Own clock when it last answered. */
    bbm_time snapshot_sent; /**< Own clock when a snapshot went there. */
    bool granted;           /**< Voted for us in this round. */
    bool anew;              /**< Said in it that it has just started. */
} raft_peer;

/** An output in the queue. */
typedef struct raft_queued {
    bbm_raft_output out;           /**< What to do. */
    uint64_t wait_seq;             /**< Keep back until this was persisted. */
    TAILQ_ENTRY(raft_queued) link; /**< In ready or held. */
} raft_queued;

/** Last index of the log as of a persist number. */
typedef struct raft_durable {
    uint64_t seq;   /**< Number. */
    uint64_t index; /**< Last index. */
} raft_durable;

/** A member. */
struct bbm_raft {
    bbm_raft_desc desc;                    /**< With defaults filled in. */
    bbm_rng rng;                           /**< For timeouts. */
    raft_log log;                          /**< Snapshot and entries. */
    bbm_raft_group group;                  /**< As of the last entry. */
    bbm_raft_role role;                    /**< Present role. */
    uint64_t term;                         /**< Present term. */
    bbm_member_id vote;                    /**< Vote in this term. */
    bbm_member_id leader;                  /**< Known leader. */
    uint64_t commit;                       /**< Highest committed index. */
    uint64_t applied;                      /**< Highest index handed out. */
    bbm_time now;                          /**< Latest moment seen. */
    bbm_time timeout_at;                   /**< Start an election then. */
    bbm_time heard_leader;                 /**< Last word of one. */
    bbm_time quiet_until;                  /**< Give no vote before. */
    bbm_time beat_at;                      /**< Next heartbeat. */
    bbm_time led_since;                    /**< When leadership began. */
    raft_peer peers[BBM_RAFT_MEMBERS_MAX]; /**< By position in group. */
    uint64_t persist_issued;               /**< Last number given out. */
    uint64_t persist_done;                 /**< Last number confirmed. */
    raft_durable *durables;                /**< Numbers not yet confirmed. */
    size_t durables_len;                   /**< How many. */
    size_t durables_cap;                   /**< Allocated. */
    uint64_t durable_index;                /**< Highest index synced here. */
    TAILQ_HEAD(, raft_queued) ready;       /**< To be taken, in order. */
    TAILQ_HEAD(, raft_queued) held;        /**< Waiting for the disk. */
    raft_queued *taken;                    /**< Handed out last. */
};

/** Queue an output that need not wait. */
bbm_raft_output *raft_output(bbm_raft *r, bbm_raft_output_kind kind);
/** Queue a message; @p durable: only after all so far is synced. */
void raft_send(bbm_raft *r, raft_message *m, bool durable);
/** Queue a write of term, vote and the entries from @p from on (0: none). */
void raft_persist(bbm_raft *r, const bbm_raft_snapshot *snapshot,
                  uint64_t truncate_from, uint64_t from);
/** Release an output; NULL is allowed. */
void raft_free_queued(raft_queued *q);
/** Let go of what waited for writes that are now synced. */
void raft_release_held(bbm_raft *r);
/** Hand out committed entries. */
void raft_apply(bbm_raft *r);
/** Read the group again from the log. */
void raft_regroup(bbm_raft *r);
/** Position of a member in the group, or -1. */
int raft_position(const bbm_raft *r, bbm_member_id id);
/** True if we are a voter. */
bool raft_is_voter(const bbm_raft *r);
/** Voters that make a quorum. */
size_t raft_quorum(const bbm_raft *r);
/** Value that a quorum of voters reaches or passes. */
int64_t raft_quorum_value(const bbm_raft *r, const int64_t *values);
/** Follow in a term; a higher term is persisted. */
void raft_follow(bbm_raft *r, uint64_t term, bbm_member_id leader);
/** Put off the next election by a random time. */
void raft_reset_timeout(bbm_raft *r);
/** True if we have neither led nor heard a leader since our start. */
bool raft_is_anew(const bbm_raft *r);
/** Start asking for pre-votes. */
void raft_start_prevote(bbm_raft *r);
/** Begin to lead. */
void raft_lead(bbm_raft *r);
/** Leader: advance the commit index. */
void raft_advance(bbm_raft *r);
/** Leader: send what each peer lacks, or a heartbeat. */
void raft_broadcast(bbm_raft *r);
/** Leader: send to the peer at a position. */
void raft_send_append(bbm_raft *r, size_t pos);
/** Leader: append an entry and persist it. */
uint64_t raft_append(bbm_raft *r, bbm_entry_kind kind, const uint8_t *data,
                     size_t len);
/** Handlers of messages in leader and follower code. */
void raft_on_append(bbm_raft *r, const raft_message *m);
/** A peer's answer to entries. */
void raft_on_append_reply(bbm_raft *r, const raft_message *m);
/** A whole state from the leader. */
void raft_on_snapshot(bbm_raft *r, const raft_message *m);
/** A request for a vote or pre-vote. */
void raft_on_vote(bbm_raft *r, const raft_message *m);
/** An answer to one. */
void raft_on_vote_reply(bbm_raft *r, const raft_message *m);

#endif
