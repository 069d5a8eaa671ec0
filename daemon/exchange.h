/** @file
 *  One caller's request and its answer on their way through the daemon.
 *
 *  An exchange is shared by three threads: the caller's, which reads the
 *  request and writes the answer; a traffic thread, which fills the answer
 *  from an upstream; and control, which decides.  It is counted: each holder
 *  takes a reference and gives it back.
 *
 *  The answer passes through a bounded buffer.  When it is full the traffic
 *  thread pauses the upstream; when it has run low the caller's thread asks
 *  for more through exchange_desc.drained.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "bbm_node.h"
#include "bbm_platform.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

/** Answer bytes that may wait for a slow caller. */
#define EXCHANGE_HIGH_WATER_BYTES ((size_t)256 * 1024)
/** More is asked for when so few are left. */
#define EXCHANGE_LOW_WATER_BYTES ((size_t)64 * 1024)
/** A header of a request that is passed on or shown, longest length. */
#define EXCHANGE_HEADER_SIZE 256

/** A header that is passed on. */
typedef struct exchange_header {
    char *name;  /**< Owned. */
    char *value; /**< Owned. */
} exchange_header;

/** Headers in their order. */
typedef struct exchange_headers {
    exchange_header *items; /**< Owned. */
    size_t len;             /**< How many. */
    size_t cap;             /**< Room. */
} exchange_headers;

/** What an exchange is about. */
typedef enum exchange_kind {
    EXCHANGE_ROUTE,    /**< For an upstream. */
    EXCHANGE_POOL,     /**< For a pool's upstream, passed on as it is. */
    EXCHANGE_ENTRIES,  /**< Which address to use. */
    EXCHANGE_METRICS,  /**< Counters. */
    EXCHANGE_OPERATOR, /**< An operator's call. */
} exchange_kind;

/** An exchange. */
typedef struct exchange {
    atomic_int refs;    /**< Holders. */
    exchange_kind kind; /**< What it is about. */
    uint64_t id;        /**< Number, unique in this run. */

    /* The request: written by the caller's thread before it is handed on. */
    char *method;                      /**< "POST" for instance. */
    char *path;                        /**< Without the query. */
    char *query;                       /**< Encoded, from "?" on, or "". */
    char content_type[EXCHANGE_HEADER_SIZE];   /**< Content-Type. */
    char accept[EXCHANGE_HEADER_SIZE]; /**< Accept. */
    bbm_buf body;                      /**< Its body. */
    size_t body_bytes_max;                  /**< Bytes allowed. */
    bool too_large;                    /**< The body was longer. */
    bool has_key;                      /**< A key was shown. */
    bbm_digest key_digest;                    /**< Its keyed digest. */
    bool has_idempotency_key;                     /**< An Idempotency-Key came. */
    bbm_digest idempotency_digest;                   /**< Its digest. */
    bbm_completion_request completion; /**< Completion request, if it is one. */
    bbm_digest request_digest;            /**< Of method, address and body. */
    uint64_t caller_hash;              /**< Hash of the caller, for entries. */
    char zone[BBM_NAME_SIZE];     /**< Zone that it names, for entries. */
    bbm_operator_event operator_event;      /**< An operator's call. */
    char *request_target;                 /**< Path and query as they were sent. */
    char *host;                   /**< Host that the caller names. */
    exchange_headers headers;     /**< To be passed on. */
    platform_request parsed_headers;  /**< What its headers say. */
    platform_call provider_call;  /**< The provider's, or its operator's. */
    platform_config config;       /**< Of a call that publishes. */
    size_t entries_max;          /**< Entries asked for; 0: the default. */
    char *new_key;  /**< A key that this call gives; shown once. */
    bool submitted; /**< Control knows of it. */

    /* The answer: under the lock. */
    pthread_mutex_t lock;              /**< Of all below. */
    struct MHD_Connection *connection; /**< NULL when the caller is gone. */
    int socket;      /**< The caller's, to see whether it is there. */
    bool suspended;  /**< The caller's thread waits for us. */
    bool has_head;   /**< Status and type are known. */
    unsigned status; /**< HTTP status. */
    bool verbatim;   /**< Head and bytes are the upstream's alone. */
    bool head_queued;      /**< The head went to the caller's connection. */
    bool closes_connection;     /**< Its connection ends with this answer. */
    int64_t content_length;  /**< Bytes of the body, as told; -1: untold. */
    exchange_headers answer_headers;        /**< Of the upstream. */
    char answer_type[EXCHANGE_HEADER_SIZE]; /**< Content type. */
    char upstream[BBM_NAME_SIZE];           /**< Who answered, or "". */
    int64_t cached_tokens;         /**< Prompt tokens expected in its cache; -1. */
    int64_t retry_after_ms; /**< When to come back; 0: not said. */
    int error_code;               /**< Of an answer of our own. */
    bbm_buf out;            /**< Answer bytes. */
    size_t out_pos;          /**< Of these, written. */
    bool finished;          /**< No more will come. */
    bool truncated;            /**< The answer ends with an error. */
    bool upstream_paused;            /**< The upstream waits for room. */
    void (*on_drained)(struct exchange *ex); /**< Ask for more. */
    void *producer;                        /**< Thread that fills it. */
} exchange;

/** A new exchange with one reference. */
exchange *exchange_create(exchange_kind kind, uint64_t id);
/** Take a reference. */
exchange *exchange_ref(exchange *ex);
/** Give a reference back. */
void exchange_unref(exchange *ex);

/** Add a header. */
void exchange_headers_add(exchange_headers *h, const char *name,
                          const char *value);
/** Release all headers. */
void exchange_headers_free(exchange_headers *h);

/** The head of an upstream's answer, passed on as it is; its headers are
 *  moved.  False if the caller is gone. */
bool exchange_set_verbatim_head(exchange *ex, unsigned status, int64_t length,
                         exchange_headers *headers);
/** The answer's head is known.  False if the caller is gone. */
bool exchange_set_head(exchange *ex, unsigned status, const char *type,
                   const char *upstream, int64_t cached);
/** From now on @p thread fills it, and @p drained asks that for more. */
void exchange_set_producer(exchange *ex, void *thread, void (*drained)(exchange *ex));
/** Add bytes; false if there is no room: pause until `drained`.  Without bytes
 *  it only tells whether there is room. */
bool exchange_write(exchange *ex, const void *data, size_t len);
/** The answer is whole, or broken off. */
void exchange_finish(exchange *ex, bool broken);
/** The whole answer at once. */
void exchange_answer(exchange *ex, unsigned status, const char *type,
                     const void *data, size_t len);
/** An error as the whole answer, or as its end if it has begun. */
void exchange_fail(exchange *ex, int code, int64_t retry_after_ms);
/** True if the caller's connection is still there. */
bool exchange_client_connected(exchange *ex);

#endif
