/** @file
 *  State of the failure detector, shared by its sources (private).
 */
#ifndef MEMBERS_CORE_H
#define MEMBERS_CORE_H

#include "bbm_members.h"

#include <sys/queue.h>

/** Version of the message format; messages of another version are rejected. */
#define MEMBERS_FORMAT 1
/** Maximum number of pings that wait for an answer. */
#define PROBES_MAX 8

/** Kinds of message. */
typedef enum members_message_kind {
    MEMBERS_PING,
    MEMBERS_ACK,
    MEMBERS_PING_REQ, /* asks the receiver to ping a third member */
    MEMBERS_SYNC,     /* the full member list; if its sequence number isn't 0,
                         the receiver answers with its own list */
    MEMBERS_KIND_COUNT,
} members_message_kind;

/** A row of the member table. */
typedef struct members_row {
    bbm_member info;
    uint32_t sends_left; /* messages that are still to carry its state */
} members_row;

/** A ping that waits for an answer. */
typedef struct members_probe {
    uint64_t seq; /* 0: unused */
    char target[BBM_NAME_SIZE];
    char requester[BBM_NAME_SIZE]; /* sender of the MEMBERS_PING_REQ; "" if
                                      the ping is this VM's own */
    uint64_t requester_seq;        /* sequence number of that request */
    bbm_time sent_at;
    bool indirect_sent; /* ping requests were sent to other members */
} members_probe;

/** An output in the queue. */
typedef struct members_queued {
    bbm_members_output out;
    TAILQ_ENTRY(members_queued) link;
} members_queued;

/** The detector. */
struct bbm_members {
    bbm_members_desc desc;
    bbm_rng rng;
    members_row *rows; /* sorted by name */
    size_t len;
    size_t cap;
    members_probe probes[PROBES_MAX];
    uint64_t last_seq; /* sequence number of the latest ping */
    bbm_time next_ping_at;
    uint64_t periods;   /* probe periods since the start */
    size_t ping_cursor; /* row that was pinged last, round robin */
    bbm_time now;       /* latest time passed in */
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE];
    size_t seeds_len;
    uint64_t seed_periods; /* probe periods since the seeds were set */
    bbm_buf formats;       /* of the members in the message that is being
                              written, in their order */
    size_t formats_len;
    TAILQ_HEAD(, members_queued) outputs;
    members_queued *current_output; /* output returned last; owned */
};

/** A member by name, or NULL. */
members_row *members_find_row(const bbm_members *m, const char *name);
/** The row of this VM. */
members_row *members_self_row(const bbm_members *m);
/** Add a member; its name must be new.  NULL if the table is full. */
members_row *members_add_row(bbm_members *m, const bbm_member *info);
/** Remove the row at index @p at. */
void members_remove_row(bbm_members *m, size_t at);
/** Number of messages that carry an update, so that it reaches all members
 *  with high probability. */
uint32_t members_sends_needed(const bbm_members *m);
/** Queue an output and return it, empty. */
bbm_members_output *members_add_output(bbm_members *m);
/** Release an output; NULL is allowed. */
void members_free_output(members_queued *q);
/** Record a change of run or status: sets its time, sends it to the other
 *  members and queues a notice of it. */
void members_disseminate_change(bbm_members *m, members_row *r);
/** Set a status, and disseminate it if it differs from the present one. */
void members_set_status(bbm_members *m, members_row *r,
                        bbm_member_status status);
/** Decode a member; sets the reader's error if it is malformed or has no
 *  name. */
void members_get_member(bbm_reader *rd, bbm_member *info);
/** Append the updates to be sent to member @p to, at most updates_max. */
void members_put_updates(bbm_members *m, bbm_buf *buf, const char *to);
/** Queue a message with its header; the caller appends the rest, and ends it
 *  with members_end_message. */
bbm_buf *members_start_message(bbm_members *m, members_message_kind kind,
                               const char *to, const char *address,
                               uint64_t seq);
/** Append the formats of the members in the message. */
void members_end_message(bbm_members *m, bbm_buf *buf);
/** Send a ping or an answer, with updates. */
void members_send_with_updates(bbm_members *m, members_message_kind kind,
                               const bbm_member *to, uint64_t seq);
/** Send the full member list; with @p want_reply the receiver answers with its
 *  own. */
void members_send_sync(bbm_members *m, const bbm_member *to, bool want_reply);
/** A new probe with the next sequence number.  Replaces the oldest one if none
 *  is unused. */
members_probe *members_new_probe(bbm_members *m, const char *target);

#endif
