/** @file
 *  An HTTP client thread: receives jobs through a mailbox, drives libcurl's
 *  multi interface and reports each finished transfer to its owner.
 *
 *      calls *c = calls_create(&(calls_desc){
 *          .context = owner, .run_job = run_job,
 *          .transfer_done = on_done, .free_job = free});
 *      calls_put(c, job);                from any thread
 *      calls_add(c, easy);               in a callback: start a transfer
 *      calls_remove(c, easy);            in a callback: remove it
 *      calls_stop(c, 0, 0);              runs the jobs that are queued
 *      calls_destroy(c);
 */
#ifndef CALLS_H
#define CALLS_H

#include "answer_reader.h"
#include "bbm_pack.h"
#include "connections.h"

#include <curl/curl.h>

/** HTTP client with its thread; opaque. */
typedef struct calls calls;

/** Parameters of calls_create().  The callbacks run in the HTTP client's
 *  thread.  After that thread has ended, `transfer_done` is called by
 *  calls_stop() and `free_job` by calls_destroy(), in the thread that calls
 *  these functions. */
typedef struct calls_desc {
    void *context; /**< First argument of the callbacks. */
    /** Executes a job and releases it. */
    void (*run_job)(void *context, void *job);
    /** A transfer has finished.  It stays in the multi handle until
     *  calls_remove(). */
    void (*transfer_done)(void *context, CURL *easy, CURLcode code);
    /** True if a transfer that has finished with CURLE_OK is to be reported a
     *  little later, as its connection may be reset behind the answer; may be
     *  NULL. */
    bool (*may_be_reset)(void *context, CURL *easy);
    /** Called once per loop, before transfers are driven; may be NULL. */
    void (*before_poll)(void *context);
    /** Longest wait in ms that the transfers allow, at most wait_ms; NULL:
     *  wait_ms. */
    int (*wait_limit_ms)(void *context);
    void (*free_job)(void *job); /**< Releases a job that was never run. */
    int wait_ms;               /**< Longest wait for events in one loop, ms. */
    long idle_connections_max; /**< Idle connections kept open; 0: libcurl's
                                    default. */
} calls_desc;

/** Create the client and start its thread. */
calls *calls_create(const calls_desc *desc);
/** Run the queued jobs and end the thread.  Then drive the open transfers in
 *  the calling thread until all have finished, but for at most @p waits_max
 *  waits of up to @p wait_ms milliseconds; 0: not at all. */
void calls_stop(calls *c, int waits_max, int wait_ms);
/** Release a stopped client; NULL is allowed. */
void calls_destroy(calls *c);
/** Queue a job; blocks while the mailbox is full. */
void calls_put(calls *c, void *job);

/* ---- transfers ---- */

/** Create an easy handle that ignores proxy settings of the environment and
 *  follows no redirects.  Chunks aren't decoded: answer_reader_body() does
 *  that.  @p protocols is a list in libcurl's form, @p connect_ms the connect
 *  timeout in milliseconds. */
CURL *calls_create_easy(const char *url, const char *protocols,
                        long connect_ms);
/** Use a new connection for this transfer and close it afterwards: libcurl
 *  resends a request by itself only on a reused connection. */
void calls_forbid_reuse(CURL *easy);
/** Keep the connections of a transfer in @p table, which outlives the client.
 *  @p use begins anew; it is for connections_find(). */
void calls_track_connection(CURL *easy, connections *table,
                            connection_use *use);
/** At the end of a head: close the connection after this transfer unless the
 *  status is 200.  Any other answer may be a refusal, of which a copy may come
 *  where the next answer is due. */
void calls_keep_if_ok(CURL *easy, const connection_use *use);
/** True if a request's body, of @p body_len bytes, wasn't written whole. */
bool calls_is_partly_uploaded(CURL *easy, size_t body_len);
/** True if the answer whose final head was read is a success with a body that
 *  ends with the connection. */
bool calls_is_unframed_success(CURL *easy, const answer_reader *reader);
/** The result of a transfer, given the one of libcurl.  An answer is whole
 *  only if its reader has found its end, too.  Nor is a success without a
 *  length whole that ends while the request's body, of @p body_len bytes, is
 *  still being written: the upstream has crashed or given up.  The same holds
 *  if @p ended_early, see connections_ended_early(). */
CURLcode calls_result(CURL *easy, CURLcode code, const answer_reader *reader,
                      size_t body_len, bool ended_early);
/** True if a transfer ended because the answer breaks the rules of HTTP, as
 *  libcurl or calls_result() found. */
bool calls_is_malformed(CURLcode code);
/** Set method and body.  @p body must outlive the transfer; NULL: no body. */
void calls_set_request(CURL *easy, const char *method, const bbm_buf *body);
/** Append a header line; the list stays as it is if memory runs out. */
void calls_append_header(struct curl_slist **lines, const char *line);

/** Start a transfer. */
void calls_add(calls *c, CURL *easy);
/** Start a finished transfer again, on a new connection. */
void calls_restart(calls *c, CURL *easy, connection_use *use);
/** Remove a transfer, finished or not.  The handle is not released: the owner
 *  calls curl_easy_cleanup(). */
void calls_remove(calls *c, CURL *easy);

#endif
