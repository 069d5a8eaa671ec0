/** @file
 *  A thread that makes HTTP calls for others: it takes jobs from a mailbox,
 *  drives libcurl, and hands each transfer that ended to its owner.
 *
 *      calls *c = calls_create(&(calls_desc){
 *          .context = owner, .job = do_job, .done = end_call, .drop = free});
 *      calls_put(c, job);                from any thread
 *      calls_add(c, easy);               in a callback: begin a transfer
 *      calls_remove(c, easy);            in a callback: end it
 *      calls_stop(c, 0, 0);              jobs put before are done
 *      calls_destroy(c);
 */
#ifndef CALLS_H
#define CALLS_H

#include "bbm_pack.h"

#include <curl/curl.h>

/** Such a thread; opaque. */
typedef struct calls calls;

/** How to make one.  All callbacks run in its thread, but `drop`. */
typedef struct calls_desc {
    void *context;                         /**< Given to the callbacks. */
    void (*run_job)(void *context, void *job); /**< Do a job, and release it. */
    /** A transfer ended; it stays added until it is removed. */
    void (*transfer_done)(void *context, CURL *easy, CURLcode code);
    void (*before_poll)(void *context); /**< At each turn; NULL: nothing. */
    void (*free_job)(void *job);     /**< Release a job that is not done. */
    int wait_ms;                 /**< Longest sleep between turns. */
    long idle_connections_max;                   /**< Idle connections kept; 0: libcurl's. */
} calls_desc;

/** Start the thread. */
calls *calls_create(const calls_desc *desc);
/** End the thread once the jobs that wait are done; then, in the caller's
 *  thread, up to @p turns turns of @p wait_ms for transfers under way. */
void calls_stop(calls *c, int turns, int wait_ms);
/** Release one that was stopped, or NULL. */
void calls_destroy(calls *c);
/** Put a job; waits while the mailbox is full. */
void calls_put(calls *c, void *job);
/* ---- transfers ---- */

/** A transfer that takes nothing from the environment and follows nowhere:
 *  @p protocols as libcurl lists them, @p connect_ms to connect. */
CURL *calls_create_easy(const char *url, const char *protocols, long connect_ms);
/** What is sent on it may not be sent twice: a connection of its own. */
void calls_forbid_reuse(CURL *easy);
/** Its method, and its body, which must outlive it; NULL: none. */
void calls_set_request(CURL *easy, const char *method, const bbm_buf *body);
/** Append a line to a list of headers. */
void calls_append_header(struct curl_slist **lines, const char *line);

/** Begin a transfer. */
void calls_add(calls *c, CURL *easy);
/** Forget a transfer, ended or not. */
void calls_remove(calls *c, CURL *easy);

#endif
