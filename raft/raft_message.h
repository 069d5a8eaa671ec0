/** @file
 *  Messages between members (private).
 */
#ifndef RAFT_MESSAGE_H
#define RAFT_MESSAGE_H

#include "bbm_raft.h"

/** Kinds of message. */
typedef enum raft_message_kind {
    RAFT_PREVOTE,       /**< Could I win? */
    RAFT_PREVOTE_REPLY, /**< Yes or no. */
    RAFT_VOTE,          /**< Vote for me. */
    RAFT_VOTE_REPLY,    /**< Yes or no. */
    RAFT_APPEND,        /**< Entries, or a heartbeat. */
    RAFT_APPEND_REPLY,  /**< Taken, or not. */
    RAFT_SNAPSHOT,      /**< The whole state. */
    RAFT_KINDS,         /**< Number of kinds. */
} raft_message_kind;

/** Entries that one message may carry. */
#define RAFT_ENTRIES_MOST 4096

/** A message; fields that a kind has no use for are 0. */
typedef struct raft_message {
    raft_message_kind kind; /**< Which. */
    bbm_member_id from;     /**< Sender. */
    bbm_member_id to;       /**< Receiver: its data folder. */
    uint64_t term;       /**< Sender's term; asked-for term in a pre-vote. */
    uint64_t index;      /**< Last or previous index; match in a reply. */
    uint64_t index_term; /**< Term at that index. */
    uint64_t commit;     /**< Leader's commit index. */
    bbm_time sent;       /**< Leader's clock when it sent; echoed. */
    bool granted;        /**< Vote given, or entries taken. */
    bool anew;           /**< Pre-vote answer: the sender neither led nor heard
                              a leader since its start.  Vote: all did so. */
    uint64_t group_mark; /**< Of the group that the sender goes by. */
    bbm_entry *entries;  /**< RAFT_APPEND; data points into the bytes. */
    size_t len;          /**< Entries. */
    bbm_raft_group group; /**< RAFT_SNAPSHOT. */
    bbm_bytes data;       /**< RAFT_SNAPSHOT. */
} raft_message;

/** Write a message. */
void raft_message_encode(const raft_message *m, bbm_buf *buf);

/** Read a message; m->entries is to be freed.  0 or BBM_ERR_DECODE. */
int raft_message_decode(const uint8_t *data, size_t len, raft_message *m);

#endif
