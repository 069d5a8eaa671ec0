/** @file
 *  The forwarding thread beside an upstream that follows a script, for its
 *  tests.
 *
 *      fixture w;
 *      set_up(&w, script);
 *      ended e = run_request(&w, false, false);
 *      check_whole(&e);
 *      tear_down(&w);
 */
#ifndef FORWARD_WORLD_H
#define FORWARD_WORLD_H

#include "control.h"
#include "forward.h"

#include <pthread.h>
#include <stdatomic.h>

/** An attempt must end within this time where the upstream's answer is refused
 *  or broken; far below the deadline of the requests. */
#define END_MS_MAX 3000
#define DEADLINE (60 * BBM_SECOND)
/** Time without an event after which a stream counts as stalled. */
#define STALL_MS 1000

struct upstream;

/** Sends the answer to request number @p n (from 1) on its connection. */
typedef void upstream_script(struct upstream *u, int fd, int n);

typedef struct upstream {
    int listener;
    uint16_t port;
    upstream_script *script;
    pthread_t thread;
    atomic_int connections;
    atomic_int requests;
    atomic_bool stopping;
    atomic_ullong sent_bytes;
    char id[BBM_NAME_SIZE]; /* attempt id of the request being answered */
    const char *refusal;    /* status line, and headers, of refuse_then_copy */
    char copy[512];         /* of the last refusal; "": none */
    int copied_to;          /* connection on which that was refused */
    char head[32768];       /* of that request */
    struct broken_stream {
        unsigned status;
        const char *body; /* the whole stream */
        size_t sent_len;  /* bytes of it that are sent */
        enum { UNFRAMED, CHUNKED, LENGTH } framing;
        bool ends_chunks; /* CHUNKED: with the last chunk */
        bool announces_close;
        bool resets;
    } stream; /* sent by send_broken_stream */
} upstream;

typedef struct fixture {
    upstream upstream;
    mailbox *control;
    forward *forward;
    uint64_t requests;
    memory_budget *memory; /* of the requests; NULL: nothing is counted */
    const char *method;    /* of the requests; NULL: GET */
    size_t body_len;       /* of the requests; 0: they have no body */
    char body_fill;        /* byte that these bodies consist of */
} fixture;

/** An attempt and how it ended. */
typedef struct ended {
    exchange *ex;
    bbm_forward_result result;
    int64_t ms;
} ended;

/** Key of the headers between VMs. */
extern const uint8_t test_secret[BBM_DIGEST_SIZE];
extern const bbm_forward_request plain_stream;
extern const bbm_forward_request resumable_stream;

/** Send all bytes on a connection of the upstream; false on failure. */
bool send_bytes(upstream *u, int fd, const char *data, size_t len);
bool send_text(upstream *u, int fd, const char *text);
/** Send the head of an answer to the request being answered; @p more are
 *  further header lines. */
bool send_head(upstream *u, int fd, const char *status, const char *more);
/** Send a complete answer to the request with @p id; @p more are further
 *  header lines. */
bool send_answer(upstream *u, int fd, const char *id, const char *more);

void set_up(fixture *w, upstream_script *script);
void tear_down(fixture *w);

/** An exchange of a client that is connected: the exchange only compares the
   connection with NULL while it isn't suspended. */
exchange *create_exchange(uint64_t id);
/** Sends a request, or resumes its stream after an event unless @p last_event
   is "". */
exchange *start_attempt(fixture *w, const bbm_forward_request *kind,
                        const char *last_event);
exchange *start_request(fixture *w, bool repeatable, bool stream);
/** The next item of a kind; fails if it doesn't arrive within @p ms. */
control_item *expect_item(fixture *w, control_kind kind, int64_t ms);
ended run_attempt(fixture *w, const bbm_forward_request *kind,
                  const char *last_event);
ended run_request(fixture *w, bool repeatable, bool stream);
void check_whole(ended *e);
/** No byte of an answer went to the client. */
void check_nothing_passed(ended *e);

#endif
