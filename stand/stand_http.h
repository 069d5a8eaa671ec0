/** @file
 *  HTTP server shared by the stand-ins; one thread per connection.
 *
 *      stand_server *s = stand_listen(9000, on_request, context);
 *      stand_wait();                      until SIGTERM or SIGINT
 *      stand_close(s);
 *
 *  on_request is called once the body is complete and answers with
 *  stand_reply, stand_stream or stand_drop.  It may sleep, since it runs on
 *  the thread of its connection.
 */
#ifndef STAND_HTTP_H
#define STAND_HTTP_H

#include "bbm_pack.h"

#include <jansson.h>
#include <microhttpd.h>

/** A request; valid until it is answered. */
typedef struct stand_request {
    struct MHD_Connection *connection; /**< Owned by libmicrohttpd. */
    const char *method;                /**< "GET", for example. */
    const char *path;                  /**< Without the query. */
    bbm_buf body;                      /**< Complete; a 0 byte follows it. */
    const char *response_id; /**< X-Request-Id of the answer; NULL: the
                                request's own. */
    const char *signature;   /**< Signature of an upstream of a pool: sent
                                with the request's attempt id.  NULL: neither
                                is sent. */
    char limit[16];          /**< Requests a second that an upstream of a pool
                                takes, stated with its signature; "": none. */
} stand_request;

/** Handles a request; called concurrently for several connections. */
typedef enum MHD_Result stand_handler(void *context, stand_request *r);
/** Produces the next bytes of a streamed answer.
 *  @return the number of bytes written to @p buf, or
 *          MHD_CONTENT_READER_END_OF_STREAM or _END_WITH_ERROR */
typedef ssize_t stand_stream_fn(void *context, uint64_t pos, char *buf,
                                size_t max);

typedef struct stand_server stand_server;

/** Listen on 127.0.0.1; exits the process with status 1 on failure. */
stand_server *stand_listen(uint16_t port, stand_handler *handler,
                           void *context);
/** Wait for SIGTERM or SIGINT, which stand_block_signals must have
 *  blocked. */
void stand_wait(void);
/** Block the signals that stand_wait waits for, and ignore SIGPIPE; call it
 *  before any thread starts. */
void stand_block_signals(void);
/** Exit the process with status 0; open streams are not awaited. */
void stand_close(stand_server *s);
/** Replace the content of an object by the path, the headers and the query
 *  arguments of the request. */
void stand_describe(const stand_request *r, json_t *description);
/** A header of the request; "" if there is none. */
const char *stand_header(const stand_request *r, const char *name);
/** An argument of the query; NULL if there is none. */
const char *stand_query_argument(const stand_request *r, const char *name);
/** Answer with a JSON document; takes over the reference to it. */
enum MHD_Result stand_reply(stand_request *r, unsigned status, json_t *doc);
/** Answer 200 with a stream.
 *  @param free_context releases @p context when the stream has ended */
enum MHD_Result stand_stream(stand_request *r, const char *type,
                             stand_stream_fn *read_block, void *context,
                             MHD_ContentReaderFreeCallback free_context);
/** Close the connection without an answer. */
enum MHD_Result stand_drop(stand_request *r);
void stand_sleep_ms(int64_t ms);
/** The monotonic clock, in milliseconds. */
int64_t stand_now_ms(void);

#endif
