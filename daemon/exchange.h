/** @file
 *  A client's request and its answer inside the daemon.
 *
 *  Three threads share an exchange: the client's HTTP thread reads the request
 *  and writes the answer, a producer (a traffic or forward thread) fills the
 *  answer from an upstream, and control routes it.  It is reference-counted;
 *  each holder has one reference.
 *
 *  The answer passes through a bounded buffer.  When it is full the producer
 *  pauses the upstream transfer.  When it has drained below the low-water
 *  mark, or the client has disconnected, the client's thread calls
 *  exchange.on_drained to resume the transfer.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "bbm_node.h"
#include "bbm_platform.h"
#include "memory_budget.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/queue.h>

/** Buffered answer bytes from which on the upstream transfer is paused. */
#define EXCHANGE_HIGH_WATER_BYTES ((size_t)256 * 1024)
/** Buffered answer bytes below which a paused transfer is resumed. */
#define EXCHANGE_LOW_WATER_BYTES ((size_t)64 * 1024)
/** Size of the buffers for single header values, with the terminating NUL;
 *  longer values are truncated. */
#define EXCHANGE_HEADER_SIZE 256

/** Memory of a client's connection for the heads of a request and of its
 *  answer. */
#define EXCHANGE_HEADS_BYTES ((size_t)24 * 1024)

/** Retry-After of a request that was refused for want of memory: idle bodies
 *  are discarded after that time at the latest. */
#define EXCHANGE_MEMORY_RETRY_MS 1000

/** A header that is passed on unchanged. */
typedef struct exchange_header {
    char *name;  /**< Owned. */
    char *value; /**< Owned. */
} exchange_header;

/** Headers in the order received. */
typedef struct exchange_headers {
    exchange_header *items; /**< Owned. */
    size_t len;
    size_t cap;
} exchange_headers;

/** How an exchange is handled. */
typedef enum exchange_kind {
    EXCHANGE_ROUTE,    /**< Routed to an engine or service. */
    EXCHANGE_POOL,     /**< Forwarded unchanged to an upstream of a pool. */
    EXCHANGE_ENTRIES,  /**< Query for the VM addresses that a client may
                            use. */
    EXCHANGE_METRICS,  /**< Metrics scrape. */
    EXCHANGE_OPERATOR, /**< An operator's or the provider's call. */
} exchange_kind;

/** The attempt at an upstream whose answer is passed on. */
typedef struct exchange_source {
    uint32_t attempt;          /**< Its number; 0: no answer has begun. */
    uint64_t origin;           /**< As in bbm_forward_request. */
    bbm_forward_result result; /**< How it ended; valid once it has. */
} exchange_source;

/** What is known of the client's end of the connection. */
typedef enum exchange_client {
    EXCHANGE_CLIENT_CONNECTED,
    EXCHANGE_CLIENT_HALF_CLOSED, /**< It sends no more; it may have closed its
                                      socket, or wait for the answer. */
    EXCHANGE_CLIENT_GONE,        /**< Nobody can read the answer. */
} exchange_client;

/** Counts over all exchanges of the process. */
typedef struct exchange_counts {
    atomic_ullong failed_after_send; /**< Failed by the daemon, after a send
                                        that may have run. */
    atomic_ullong promises_withheld; /**< Answers whose status would have said
                                        that nothing ran, after such a
                                        send. */
    atomic_ullong closed_after_send; /**< Connections that the daemon ended
                                        after such a send, without having
                                        decided to, before the whole answer
                                        had been sent. */
    atomic_int at_work; /**< Unanswered requests that may run now. */
} exchange_counts;

/** The process's counts; written by several threads. */
extern exchange_counts exchange_count;

/** A request and its answer. */
typedef struct exchange {
    atomic_int refs; /**< Number of references. */
    exchange_kind kind;
    uint64_t id; /**< Unique during this run of the process. */

    /* The request: written by the client's thread, constant once it has been
       submitted to control. */
    char *method; /**< "POST" for instance. */
    char *path;   /**< Without the query. */
    char *query;  /**< Still encoded, with the leading "?"; or "". */
    char content_type[EXCHANGE_HEADER_SIZE]; /**< "": header missing. */
    char accept[EXCHANGE_HEADER_SIZE];       /**< "": header missing. */
    bbm_buf body;          /**< Guarded by `lock` while it is unfinished;
                                see bodies.h. */
    size_t body_declared;  /**< Its declared length; 0: unknown. */
    size_t body_received;  /**< Bytes that have come, also of one that was
                                discarded. */
    size_t body_counted;   /**< Counted for it in `memory`. */
    bbm_time body_grew_at; /**< Arrival of its last bytes. */
    bool body_discarded;   /**< There was no room for it. */
    bool body_listed;      /**< It is unfinished: `body_link` is used. */
    TAILQ_ENTRY(exchange) body_link; /**< In the list of bodies.h. */
    memory_budget *memory;     /**< Counts what is held; NULL: nothing does. */
    bbm_time received_at;      /**< Arrival of the request's target. */
    size_t transfer_counted;   /**< Counted for its transfers to upstreams. */
    size_t connection_counted; /**< Counted for this request besides its
                                    body and answer. */
    size_t change_counted;     /**< Counted for the change that it makes. */
    size_t body_bytes_max;     /**< Longest body that is accepted. */
    bool too_large;            /**< The body exceeds body_bytes_max. */
    bool has_key;              /**< The request has an API key. */
    bbm_digest key_digest;     /**< Keyed digest of the API key; valid if
                                    has_key. */
    bool has_idempotency_key;  /**< The request has an Idempotency-Key. */
    bbm_digest idempotency_digest; /**< Digest of the Idempotency-Key; valid if
                                        has_idempotency_key. */
    bbm_completion_request completion; /**< Parsed body; all zero unless the
                                            path is a completion's. */
    bbm_digest request_digest;         /**< Of method, path, query and body;
                                            EXCHANGE_ROUTE. */
    uint64_t caller_hash;              /**< Hash of the API key, or else of the
                                            client's address; 0: neither is
                                            known.  EXCHANGE_ENTRIES. */
    char zone[BBM_NAME_SIZE];          /**< Zone named by the client, or "";
                                            EXCHANGE_ENTRIES. */
    bbm_operator_event operator_event; /**< EXCHANGE_OPERATOR. */
    char *request_target;              /**< Path and query as received. */
    char *host;                        /**< Host header; EXCHANGE_POOL. */
    exchange_headers headers;          /**< To be sent to the upstream;
                                            EXCHANGE_POOL. */
    platform_request parsed_headers;   /**< Values parsed from the headers;
                                           EXCHANGE_POOL. */
    size_t head_bytes;                 /**< What the request's head takes of
                                            EXCHANGE_HEADS_BYTES; EXCHANGE_POOL. */
    bool is_relayed;        /**< It comes from another VM, not from its
                                 client; EXCHANGE_POOL. */
    uint32_t attempts_used; /**< Attempts of that VM that may have run it. */
    uint64_t fingerprint; /**< Hash of all that a repeat of the request doesn't
                               change; EXCHANGE_POOL. */
    platform_call provider_call; /**< Call of the provider or of its
                                      operator; PLATFORM_NONE: it is
                                      neither. */
    platform_config config;      /**< Configuration to be published;
                                      provider's calls only. */
    bool is_http_1_0;            /**< The client doesn't know chunks. */
    exchange_source source;      /**< Used by the forwarding thread only;
                                      EXCHANGE_POOL. */
    size_t entries_max; /**< Most entries to return; 0: the default. */
    char *new_key;      /**< API key created by this call; returned once,
                             then wiped.  NULL: none. */
    bool submitted;     /**< Handed to control. */
    TAILQ_ENTRY(exchange) link; /**< In the list of its front. */

    /* The answer. */
    pthread_mutex_t lock;              /**< Guards all fields below. */
    struct MHD_Connection *connection; /**< NULL once libmicrohttpd has ended
                                            the request or its
                                            connection. */
    int socket;             /**< Client's socket, polled for a close; -1:
                                 unknown. */
    bool suspended;         /**< The connection is suspended in
                                 libmicrohttpd. */
    unsigned sends;         /**< Sends to upstreams or other VMs, less those
                                 that were answered with "not run". */
    bool has_head;          /**< Status and headers are set. */
    unsigned status;        /**< HTTP status. */
    bool verbatim;          /**< Headers and body are the upstream's;
                                 the daemon adds "Connection: close"
                                 at most. */
    bool head_queued;       /**< The head was queued for sending: the status
                                 can't change any more. */
    bool closes_connection; /**< Send "Connection: close". */
    int64_t content_length; /**< The upstream's Content-Length; -1:
                                 unknown. */
    exchange_headers answer_headers; /**< The upstream's; valid if verbatim. */
    char answer_type[EXCHANGE_HEADER_SIZE]; /**< Content-Type. */
    char upstream[BBM_NAME_SIZE]; /**< Upstream that answered, or "". */
    int64_t cached_tokens;        /**< Prompt tokens expected in the upstream's
                                       cache; -1: unknown. */
    int64_t retry_after_ms;       /**< 0: no Retry-After header. */
    int error_code;               /**< Code of an answer that the daemon made
                                       itself; 0: none. */
    bbm_buf out;                  /**< Answer bytes. */
    bbm_time read_at;             /**< When the client's connection last took
                                       bytes of it, or its begin. */
    bool evicted;                 /**< Its connection was ended for want of
                                       memory. */
    size_t answer_counted;        /**< Counted for them in `memory`. */
    size_t out_pos;               /**< Bytes of `out` already written. */
    bool finished;                /**< No more bytes will follow. */
    bool truncated;               /**< The answer is incomplete: end the
                                       connection with an error. */
    bool upstream_paused;         /**< The buffer was full: the producer has
                                       paused the transfer and waits for
                                       on_drained. */
    /** Makes the producer resume the upstream transfer; called without the
     *  lock, in the client's thread.  NULL before exchange_set_producer(). */
    void (*on_drained)(struct exchange *ex);
    void *producer; /**< Context of on_drained. */
} exchange;

/** Count what the exchange holds; @p connection_bytes of it at once.  @p
 * memory outlives it. */
void exchange_set_memory(exchange *ex, memory_budget *memory,
                         size_t connection_bytes);
/** Create an exchange; the caller holds its one reference. */
exchange *exchange_create(exchange_kind kind, uint64_t id);
/** Add a reference; returns @p ex. */
exchange *exchange_ref(exchange *ex);
/** Drop a reference; the last one releases the exchange.  NULL is allowed. */
void exchange_unref(exchange *ex);

/** Append a copy of a header. */
void exchange_headers_add(exchange_headers *h, const char *name,
                          const char *value);
/** Release all headers. */
void exchange_headers_free(exchange_headers *h);

/** What a header of a request takes of EXCHANGE_HEADS_BYTES. */
size_t exchange_header_bytes(const char *name, const char *value);
/** True if an answer with these headers can be sent: its head fits beside that
 *  of the request.  libmicrohttpd would close the connection otherwise. */
bool exchange_head_fits(const exchange *ex, const exchange_headers *headers);

/** Set the head of an answer that is passed on unchanged.  Takes over the
 *  content of @p headers; @p length is -1 if unknown.  No effect if the answer
 *  has ended already.  Returns false if the client has disconnected. */
bool exchange_set_verbatim_head(exchange *ex, unsigned status, int64_t length,
                                exchange_headers *headers);
/** Set the head of an upstream's answer.  @p cached_tokens is -1 if unknown.
 *  No effect if the answer has ended already.  Returns false if the client has
 *  disconnected. */
bool exchange_set_head(exchange *ex, unsigned status, const char *type,
                       const char *upstream, int64_t cached_tokens);
/** Set the thread that fills the answer, and `on_drained`. */
void exchange_set_producer(exchange *ex, void *producer,
                           void (*on_drained)(exchange *ex));
/** Take the bytes of a complete answer: the caller frees them, but they count
 *  until the exchange is released.  With the lock held. */
bbm_buf exchange_take_answer(exchange *ex);
/** Returns false if the buffer is full, or holds some and the memory budget
 * has no room for more: the producer must pause until `on_drained`.  True if
 * the client has disconnected or the answer has ended. */
bool exchange_has_room(exchange *ex);
/** Append answer bytes; after exchange_has_room(), and for one piece that the
 *  producer has read.  They are kept even if others have taken the room since.
 *  If the client has disconnected or the answer has ended, they are
 *  discarded. */
void exchange_write(exchange *ex, const void *data, size_t len);
/** End the answer; @p truncated if it is incomplete.  No effect if it has
 *  ended already. */
void exchange_finish(exchange *ex, bool truncated);
/** Set head and body of a complete answer.  No effect if the answer has ended
 *  already. */
void exchange_answer(exchange *ex, unsigned status, const char *type,
                     const void *data, size_t len);
/** Count @p bytes for the change that this call makes, instead of those that
 *  were counted before.  BBM_ERR_MEMORY if they have no room now, and
 *  BBM_ERR_TOO_LARGE if they never have: body_bytes_max is then the length of
 *  a body of this kind that has. */
int exchange_count_change(exchange *ex, size_t bytes);
/** Set the Retry-After header of the answer that follows. */
void exchange_set_retry_after(exchange *ex, int64_t ms);
/** Answer with an error.  An answer whose status can't change any more ends as
 *  truncated instead.  Whatever the code, the status doesn't promise that the
 *  request has not run while one of its sends may have.  @p retry_after_ms is
 *  0 for no Retry-After header.  Returns false, without effect, if the answer
 *  has ended already. */
bool exchange_fail(exchange *ex, int code, int64_t retry_after_ms);
/** Call before the first bytes of the request are sent to an upstream or to
 *  another VM, each time.  Returns false if the answer has ended: then nothing
 *  may be sent, as the client may have been told that nothing runs. */
bool exchange_begin_send(exchange *ex);
/** Record that the receiver of the last send stated that the request did not
 *  run there. */
void exchange_record_not_run(exchange *ex);
/** The client's request or connection has ended, as libmicrohttpd tells it.
 *  Logged if the answer of a request that may have run wasn't sent whole.
 *  Returns whether the answer was unfinished; *paused receives whether the
 *  producer waits for `on_drained`. */
bool exchange_detach(exchange *ex, enum MHD_RequestTerminationCode reason,
                     bool *paused);
/** The id that the client gave its request, for the log; "" if none. */
const char *exchange_client_id(const exchange *ex);
/** State of the client's connection.  A client whose answer is complete counts
 *  as connected, whatever it does: it leaves nothing behind. */
exchange_client exchange_client_state(exchange *ex);
/** True if the client is connected and may still send. */
bool exchange_client_connected(exchange *ex);

#endif
