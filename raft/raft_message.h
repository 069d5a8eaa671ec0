/** @file
 *  Messages between members (private).
 */
#ifndef RAFT_MESSAGE_H
#define RAFT_MESSAGE_H

#include "bbm_raft.h"

/** Types of message; the Raft paper's RPCs and their results. */
typedef enum raft_message_kind {
    RAFT_PREVOTE,       /**< Request for a pre-vote. */
    RAFT_PREVOTE_REPLY, /**< Pre-vote granted or refused. */
    RAFT_VOTE,          /**< Request for a vote. */
    RAFT_VOTE_REPLY,    /**< Vote granted or refused. */
    RAFT_APPEND,        /**< Entries, or a heartbeat without any. */
    RAFT_APPEND_REPLY,  /**< Entries or snapshot accepted, or log mismatch. */
    RAFT_SNAPSHOT,      /**< Encoded state machine. */
    RAFT_KIND_COUNT,    /**< Number of types. */
} raft_message_kind;

/** Maximum number of entries in one message. */
#define RAFT_MESSAGE_ENTRIES_MAX 4096

/** A message; fields that a type doesn't use are 0. */
typedef struct raft_message {
    raft_message_kind kind;
    bbm_member_id from;  /**< Sender. */
    bbm_member_id to;    /**< Receiver. */
    uint64_t term;       /**< Sender's term; in a pre-vote, the term of the
                              election that would follow. */
    uint64_t index;      /**< Vote: sender's last index.  Append: index before
                              the entries.  Snapshot: last index included.
                              Append reply: match index, or if refused, a lower
                              index to retry from. */
    uint64_t index_term; /**< Term of the entry at index. */
    uint64_t leader_commit; /**< Leader's commit index. */
    bbm_time sent_at;     /**< Sending time by the leader's clock; copied into
                               the reply. */
    bool granted;         /**< Vote granted, or entries or snapshot
                               accepted. */
    bool no_leader_seen;  /**< Pre-vote reply: the sender has neither led nor
                               received from a leader since its start; false
                               if it requests pre-votes itself and has the
                               lower identity.  Vote request: all voters have
                               reported that. */
    uint64_t group_hash;  /**< Replies to pre-votes and votes: hash of the
                               sender's members and of which are voters. */
    bbm_entry *entries;   /**< RAFT_APPEND; data points into the message. */
    size_t len;           /**< Number of entries. */
    bbm_raft_group group; /**< RAFT_SNAPSHOT: group as of index. */
    bbm_bytes data;       /**< RAFT_SNAPSHOT: encoded state machine. */
} raft_message;

/** Append the encoded message. */
void raft_message_encode(const raft_message *m, bbm_buf *buf);

/** Decode a message; the caller frees m->entries.  0 or BBM_ERR_DECODE. */
int raft_message_decode(const uint8_t *data, size_t len, raft_message *m);

#endif
