/** @file
 *  State of the failure detector, shared by its sources (private).
 */
#ifndef MEMBERS_CORE_H
#define MEMBERS_CORE_H

#include "bbm_members.h"

#include <sys/queue.h>

/** Version of the message format; another one is refused. */
#define MEMBERS_FORMAT 1
/** Pings that may be under way. */
#define PROBES_MAX 8

/** Kinds of message. */
typedef enum members_message_kind {
    MEMBERS_PING,
    MEMBERS_ACK,
    MEMBERS_PING_REQ, /* ping a third one */
    MEMBERS_SYNC,     /* all members; answered in kind when asked */
    MEMBERS_KIND_COUNT,
} members_message_kind;

/** A member and what is still to be told of it. */
typedef struct members_row {
    bbm_member info;
    uint32_t sends_left; /* times that its news are still to be told */
} members_row;

/** A ping under way. */
typedef struct members_probe {
    uint64_t seq; /* 0: free */
    char target[BBM_NAME_SIZE];
    char requester[BBM_NAME_SIZE]; /* on whose behalf, or empty */
    uint64_t requester_seq;
    bbm_time sent_at;
    bool indirect_sent;
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
    members_row *rows; /* by name */
    size_t len;
    size_t cap;
    members_probe probes[PROBES_MAX];
    uint64_t next_seq;
    bbm_time next_ping_at;
    uint64_t periods;
    size_t ping_cursor; /* round of pings */
    bbm_time now;
    char seeds[BBM_SEEDS_MAX][BBM_ADDRESS_SIZE]; /* to ask for members */
    size_t seeds_len;
    uint64_t seed_requests; /* times */
    TAILQ_HEAD(, members_queued) outputs;
    members_queued *current_output;
};

/** A member by name, or NULL. */
members_row *members_find_row(const bbm_members *m, const char *name);
/** This VM. */
members_row *members_self_row(const bbm_members *m);
/** Add a member that isn't known; NULL if there are too many. */
members_row *members_add_row(bbm_members *m, const bbm_member *info);
/** Forget a member. */
void members_remove_row(bbm_members *m, size_t at);
/** Times that news are told until all are likely to know. */
uint32_t members_sends_needed(const bbm_members *m);
/** Queue an output. */
bbm_members_output *members_add_output(bbm_members *m);
/** Release an output; NULL is allowed. */
void members_free_output(members_queued *q);
/** Its run or status is new from now on: tell of it. */
void members_disseminate_change(bbm_members *m, members_row *r);
/** Change a status and tell of it. */
void members_set_status(bbm_members *m, members_row *r,
                        bbm_member_status status);
/** Read a member; sets the reader's error. */
void members_get_member(bbm_reader *rd, bbm_member *info);
/** Append the news that are due to a receiver. */
void members_put_updates(bbm_members *m, bbm_buf *buf, const char *to);
/** Begin a message; its fields are to be appended. */
bbm_buf *members_start_message(bbm_members *m, members_message_kind kind,
                               const char *to, const char *address,
                               uint64_t seq);
/** Send a ping or an answer with news. */
void members_send_with_updates(bbm_members *m, members_message_kind kind,
                               const bbm_member *to, uint64_t seq);
/** Send all that is known; @p ask for the same. */
void members_send_sync(bbm_members *m, const bbm_member *to, bool ask);
/** A free place for a ping, or the oldest one's. */
members_probe *members_new_probe(bbm_members *m, const char *target);

#endif
