/** @file
 *  What callers of a soak make of the answers they get. */
#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include "soak_world.h"

typedef enum request_kind {
    KIND_ONCE,   /**< An order, which may run once. */
    KIND_SAFE,   /**< May run often. */
    KIND_STREAM, /**< A stream that can be taken up. */
    KIND_TALK,   /**< A stream that may run once. */
    KINDS
} request_kind;

/** Name of a kind, also the first part of its path. */
extern const char *const soak_kind_names[KINDS];

/** What a caller does after it has sent a request. */
typedef enum ending { STAYS, HALF_CLOSES, LEAVES } ending;

/** What a caller has of a stream, over all attempts. */
typedef struct stream_state {
    int last;          /**< Id of the last event; 0: none. */
    char first_id[64]; /**< Id of the attempt that brought the first event. */
    int version;       /**< Of the upstream that wrote it. */
    uint64_t run;      /**< That wrote it. */
} stream_state;

/** A request at its latest attempt. */
typedef struct sent_request {
    char order[64];
    char attempt[64]; /**< Name of the attempt. */
    char id[64];      /**< That it was sent with. */
    int vm;
    request_kind kind;
    ending ending;
    stream_state stream;
    int64_t sent_at;
    int64_t ended_at;
    bool resumes;
    bool kept; /**< Not the first request of its connection. */
    char text[768];
} sent_request;

/** True if a status promises that the request has not run and never will. */
bool soak_is_promise(int status);
/** True if a request of the kind runs once. */
bool soak_runs_once(request_kind kind);
/** Judge a whole answer; returns its status. */
int soak_judge_answer(sent_request *q, const char *text, const char *body);
/** Judge a connection that ended, or the end of the time, before a complete
 *  answer; errno as soak_read_message() left it.
 *  @param received number of bytes of an answer */
void soak_judge_loss(sent_request *q, char *text, size_t received);

#endif
