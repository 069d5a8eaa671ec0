/** @file
 *  The open connections of an HTTP client's thread, and the requests that each
 *  of them has carried.
 *
 *  An upstream may send an answer too many, late, where the next one is due.
 *  An answer's connection and id say whose it is only if that id was sent once
 *  on the connection.
 *
 *      connections *c = connections_create();
 *      connection_use u;
 *      connection_use_begin(&u);           with each transfer
 *      connection_use_open(&u, fd);        in CURLOPT_SOCKOPTFUNCTION
 *      connections_find(c, &u, "10.0.0.1", 80, 40000, "id");
 *                                          in CURLOPT_PREREQFUNCTION
 *      connections_record(c, &u, "id");    there, if the request is sent
 *      connections_watch_end(c, &u, len);  if the answer has no length
 *      connections_close(c, fd);           CURLOPT_CLOSESOCKETFUNCTION
 *      connections_ended_early(c, &u);     once the transfer has ended
 *      connections_drop_end(c, &u);
 *      connections_destroy(c);
 */
#ifndef CONNECTIONS_H
#define CONNECTIONS_H

#include "bbm_log.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Table of open connections, used by one thread; opaque. */
typedef struct connections connections;

/** What a transfer knows of its connection. */
typedef struct connection_use {
    int socket;        /**< -1: unknown. */
    int opened_socket; /**< Opened since the last send; -1: none. */
    uint64_t number;   /**< Of the connection in its table; 0: unknown. */
    uint32_t carried;  /**< Requests sent on it before this one. */
    bool has_id;       /**< The request has an id. */
    bool carried_id;   /**< One of these had this request's id. */
    bool has_unread;   /**< Bytes had arrived on it that belong to no
                            request. */
    bool expects_copy; /**< It has brought a refusal, from an address that
                            sends answers twice. */
} connection_use;

/** Counts over all tables of the process; written by several threads. */
typedef struct connection_counts {
    atomic_ullong opened;   /**< Connections opened to upstreams and VMs. */
    atomic_ullong not_run;  /**< Answers that say that a request hasn't run. */
    atomic_ullong foreign;  /**< Answers with the id of another request. */
    atomic_ullong copies;   /**< Of these, with an id that the connection had
                                 carried. */
    atomic_ullong replaced; /**< Idle connections that were closed since a
                                 request couldn't be sent on them. */
    atomic_ullong malformed; /**< Answers that weren't used, as they break the
                                  rules of HTTP. */
} connection_counts;
extern connection_counts connection_count;

connections *connections_create(void);
/** NULL is allowed.  Open sockets stay open. */
void connections_destroy(connections *c);

void connection_use_begin(connection_use *u);
void connection_use_open(connection_use *u, int fd);
/** Set the fields of @p u for a request with @p id, "" for none, that is about
 *  to be sent.  The addresses are those that libcurl gives: it doesn't tell
 *  which socket a transfer uses. */
void connections_find(connections *c, connection_use *u, const char *remote_ip,
                      int remote_port, int local_port, const char *id);
/** The request is sent on the connection that was found for @p u. */
void connections_record(connections *c, const connection_use *u,
                        const char *id);
/** The request of @p u was refused. */
void connections_record_refusal(const connections *c, const connection_use *u);
/** The answer had the id of another request, @p id.  Returns true if that was
 *  sent on the connection: the answer came twice.  From then on the address
 *  counts as one that sends answers twice, as it does if bytes arrive that
 *  belong to no request. */
bool connections_record_foreign(connections *c, const connection_use *u,
                                const char *id);
/** True if an answer to the request for which @p u was found couldn't be told
 *  from another one on this connection.  Such a request needs a new one; the
 *  kept one counts as replaced, and is logged with @p id and @p upstream. */
bool connection_use_conflicts(const connection_use *u, const char *id,
                              const char *upstream);
/** True if the request is the last one that its connection may carry, which
 *  remembers no more ids. */
bool connection_use_is_last(const connection_use *u);
/** Log an event about the connection of a request.  @p more are the names and
 *  values of the last two fields; NULL: none. */
void connection_use_log(const connection_use *u, bbm_log_event event,
                        const char *id, const char *upstream,
                        const char *const more[4]);
/** Count and log a malformed answer to the request with @p id, "" for none;
 *  @p fault says what is wrong with it. */
void connection_use_record_malformed(const connection_use *u, const char *id,
                                     const char *upstream, const char *fault);
/** The answer to the request of @p u, with a body of @p body_len bytes, ends
 *  with its connection: keep what the connection shows when it is closed,
 *  until connections_drop_end(). */
void connections_watch_end(connections *c, const connection_use *u,
                           size_t body_len);
/** True if a connection that was watched ended in order, but bytes of the
 *  request aren't acknowledged, or may lie unread there:
 *  connections_ended_early() is better asked a little later. */
bool connections_may_be_reset(const connections *c, const connection_use *u);
/** True if a connection that was watched has ended, and the upstream's machine
 *  hasn't acknowledged the whole request by now, or has reset it. */
bool connections_ended_early(connections *c, const connection_use *u);
/** Forget how the connection of @p u ended; nothing needs to be known. */
void connections_drop_end(connections *c, const connection_use *u);
/** Close a socket, of a known connection or not; @p table is a connections. */
int connections_close(void *table, int fd);

#endif
