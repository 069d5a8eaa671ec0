/** @file
 *  What the stand-ins share: a small HTTP server, a thread a connection.
 *
 *      stand_server *s = stand_listen(9000, on_request, context);
 *      stand_wait();                      until SIGTERM
 *      stand_close(s);
 *
 *  on_request gets the whole body and answers by one of the stand_reply
 *  calls; it may sleep.
 */
#ifndef STAND_HTTP_H
#define STAND_HTTP_H

#include "bbm_pack.h"

#include <jansson.h>
#include <microhttpd.h>

/** A request. */
typedef struct stand_request {
    struct MHD_Connection *connection; /**< To answer on. */
    const char *method;                /**< "GET" for instance. */
    const char *path;                  /**< Without the query. */
    bbm_buf body;                      /**< Whole, with an end mark after. */
    const char *other_id; /**< Named in the answer instead of its own. */
} stand_request;

/** Answers a request. */
typedef enum MHD_Result stand_fn(void *context, stand_request *r);
/** Fills a streamed answer: bytes, or MHD_CONTENT_READER_END_*. */
typedef ssize_t stand_stream_fn(void *context, uint64_t pos, char *buf,
                                size_t max);

/** A server; opaque. */
typedef struct stand_server stand_server;

/** Listen on loopback; ends the process if that fails. */
stand_server *stand_listen(uint16_t port, stand_fn *fn, void *context);
/** Sleep until SIGTERM or SIGINT; to be blocked by stand_block_signals. */
void stand_wait(void);
/** Block the signals that stand_wait takes; before any thread starts. */
void stand_block_signals(void);
/** End. */
void stand_close(stand_server *s);
/** A header of the request, or "". */
const char *stand_header(const stand_request *r, const char *name);
/** An argument of the query, or NULL. */
const char *stand_argument(const stand_request *r, const char *name);
/** Answer with a JSON document, which is released. */
enum MHD_Result stand_reply(stand_request *r, unsigned status, json_t *doc);
/** Answer with a stream; @p done releases the context. */
enum MHD_Result stand_stream(stand_request *r, const char *type,
                             stand_stream_fn *fn, void *context,
                             MHD_ContentReaderFreeCallback done);
/** Close the connection without an answer. */
enum MHD_Result stand_drop(stand_request *r);
/** Sleep. */
void stand_sleep_ms(int64_t ms);
/** Monotonic milliseconds. */
int64_t stand_now_ms(void);

#endif
