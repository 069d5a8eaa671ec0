#include "connections.h"

#include "bbm_hash.h"
#include "bbm_mem.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

/* Requests that a connection may carry; their ids are searched before each
   send. */
#define CARRIED_MAX 256

/* Addresses that are remembered as sending answers twice. */
#define REPEATERS_MAX 1024

/* A shorter body mostly arrives and is read with the head of its request.  A
   longer one may lie unread in the receive buffer of the upstream, which then
   resets the connection when it closes it. */
#define READ_WITH_HEAD_BYTES ((size_t)16 * 1024)

connection_counts connection_count;

typedef struct connection_key {
    struct in_addr remote;
    int remote_port;
    int local_port; /* 0: any */
} connection_key;

/* An address that has sent an answer twice, or bytes that belong to none. */
typedef struct repeater {
    connection_key key;
    UT_hash_handle hh; /* by key, the oldest first */
} repeater;

typedef struct connection {
    connection_key key;
    int fd;
    bool refused;      /* it has brought a refusal */
    bool watched;      /* its end is kept */
    bool long_request; /* the one whose answer ends with the connection */
    uint64_t number;
    uint64_t *ids; /* hashes of the ids that it has carried */
    size_t ids_len;
    size_t ids_cap;
    UT_hash_handle hh;    /* by key */
    UT_hash_handle by_fd; /* by socket */
} connection;

/* How a watched connection ended. */
typedef struct connection_end {
    uint64_t number;
    bool early; /* it was reset, or the request not acknowledged whole */
    int fd;     /* still open, to be judged later; -1: closed */
    UT_hash_handle hh;
} connection_end;

struct connections {
    repeater *repeaters;
    connection_end *ends;
    connection *by_key;
    connection *by_fd;
    uint64_t opened; /* connections, as numbers */
};

connections *
connections_create(void)
{
    return bbm_calloc(1, sizeof(connections));
}

static void
forget(connections *c, connection *n)
{
    HASH_DEL(c->by_key, n);
    HASH_DELETE(by_fd, c->by_fd, n);
    free(n->ids);
    free(n);
}

static void
drop_end(connections *c, connection_end *e)
{
    if (e->fd >= 0)
        close(e->fd);
    HASH_DEL(c->ends, e);
    free(e);
}

void
connections_destroy(connections *c)
{
    if (!c)
        return;
    connection *n, *next;
    HASH_ITER(hh, c->by_key, n, next)
    {
        forget(c, n);
    }
    repeater *r, *next_repeater;
    HASH_ITER(hh, c->repeaters, r, next_repeater)
    {
        HASH_DEL(c->repeaters, r);
        free(r);
    }
    connection_end *e, *next_end;
    HASH_ITER(hh, c->ends, e, next_end)
    {
        drop_end(c, e);
    }
    free(c);
}

void
connection_use_begin(connection_use *u)
{
    *u = (connection_use){.socket = -1, .opened_socket = -1};
}

void
connection_use_open(connection_use *u, int fd)
{
    u->opened_socket = fd;
    atomic_fetch_add(&connection_count.opened, 1);
}

static connection *
find_by_socket(const connections *c, int fd)
{
    connection *n = NULL;
    HASH_FIND(by_fd, c->by_fd, &fd, sizeof(fd), n);
    return n;
}

static connection *
add(connections *c, const connection_key *key, int fd)
{
    connection *n = bbm_calloc(1, sizeof(*n));
    n->key = *key;
    n->fd = fd;
    n->number = ++c->opened;
    HASH_ADD(hh, c->by_key, key, sizeof(n->key), n);
    HASH_ADD(by_fd, c->by_fd, fd, sizeof(n->fd), n);
    return n;
}

static bool
has_carried(const connection *n, const char *id)
{
    uint64_t hash = bbm_hash_text(id, 0);
    for (size_t i = 0; i < n->ids_len; i++) {
        if (n->ids[i] == hash)
            return true;
    }
    return false;
}

/* Bytes that arrived before the request is sent belong to no request. */
static bool
has_unread_bytes(const connection *n)
{
    char byte;
    return recv(n->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static repeater *
find_repeater(const connections *c, const connection *n)
{
    connection_key key = n->key;
    repeater *r = NULL;
    key.local_port = 0;
    HASH_FIND(hh, c->repeaters, &key, sizeof(key), r);
    return r;
}

static void
add_repeater(connections *c, const connection *n)
{
    if (find_repeater(c, n))
        return;
    if (HASH_COUNT(c->repeaters) >= REPEATERS_MAX) {
        repeater *oldest = c->repeaters;
        HASH_DEL(c->repeaters, oldest);
        free(oldest);
    }
    repeater *r = bbm_calloc(1, sizeof(*r));
    r->key = n->key;
    r->key.local_port = 0;
    HASH_ADD(hh, c->repeaters, key, sizeof(r->key), r);
}

void
connections_find(connections *c, connection_use *u, const char *remote_ip,
                 int remote_port, int local_port, const char *id)
{
    connection_key key = {.remote_port = remote_port,
                          .local_port = local_port};
    connection *n = NULL;
    inet_pton(AF_INET, remote_ip, &key.remote);
    HASH_FIND(hh, c->by_key, &key, sizeof(key), n);
    if (u->opened_socket >= 0) {
        if (n)
            forget(c, n);
        n = add(c, &key, u->opened_socket);
    }
    u->opened_socket = -1;
    u->socket = n ? n->fd : -1;
    u->number = n ? n->number : 0;
    u->carried = n ? (uint32_t)n->ids_len : 0;
    u->has_id = id[0] != '\0';
    u->carried_id = n && has_carried(n, id);
    u->has_unread = n && n->ids_len && has_unread_bytes(n);
    if (u->has_unread)
        add_repeater(c, n);
    u->expects_copy = n && n->refused && find_repeater(c, n);
}

void
connections_record(connections *c, const connection_use *u, const char *id)
{
    connection *n = find_by_socket(c, u->socket);
    if (!n)
        return;
    bbm_grow(&n->ids, &n->ids_cap, n->ids_len, sizeof(*n->ids));
    n->ids[n->ids_len++] = bbm_hash_text(id, 0);
}

void
connections_record_refusal(const connections *c, const connection_use *u)
{
    connection *n = find_by_socket(c, u->socket);
    if (n)
        n->refused = true;
}

bool
connections_record_foreign(connections *c, const connection_use *u,
                           const char *id)
{
    const connection *n = find_by_socket(c, u->socket);
    bool copy = n && has_carried(n, id);
    if (n)
        add_repeater(c, n);
    atomic_fetch_add(&connection_count.foreign, 1);
    atomic_fetch_add(&connection_count.copies, copy);
    return copy;
}

/* Why the request can't be sent on the connection, for the log; NULL: it can.
 */
static const char *
find_conflict(const connection_use *u)
{
    if (!u->number)
        return "unknown connection";
    if (!u->carried)
        return NULL;
    if (!u->has_id)
        return "request without an id";
    if (u->carried_id)
        return "its id was sent on it";
    if (u->has_unread)
        return "unread bytes";
    return u->expects_copy ? "a refusal on it may come again" : NULL;
}

bool
connection_use_is_last(const connection_use *u)
{
    return u->carried + 1 >= CARRIED_MAX;
}

void
connection_use_log(const connection_use *u, bbm_log_event event,
                   const char *id, const char *upstream,
                   const char *const more[4])
{
    char number[24];
    char carried[24];
    snprintf(number, sizeof(number), "%llu", (unsigned long long)u->number);
    snprintf(carried, sizeof(carried), "%u", u->carried);
    bbm_log(event, "id", id, "upstream", upstream, "connection", number,
            "carried", carried, "carried_id", u->carried_id ? "yes" : "no",
            more[0], more[1], more[2], more[3], NULL);
}

bool
connection_use_conflicts(const connection_use *u, const char *id,
                         const char *upstream)
{
    const char *why = find_conflict(u);
    if (!why)
        return false;
    atomic_fetch_add(&connection_count.replaced, 1);
    connection_use_log(u, BBM_EVENT_CONNECTION_REPLACED, id, upstream,
                       (const char *[4]){"why", why});
    return true;
}

void
connection_use_record_malformed(const connection_use *u, const char *id,
                                const char *upstream, const char *fault)
{
    atomic_fetch_add(&connection_count.malformed, 1);
    connection_use_log(u, BBM_EVENT_MALFORMED_ANSWER, id, upstream,
                       (const char *[4]){"fault", fault});
}

/* ---- ends ---- */

static connection_end *
find_end(const connections *c, const connection_use *u)
{
    connection_end *e = NULL;
    HASH_FIND(hh, c->ends, &u->number, sizeof(u->number), e);
    return e;
}

/* Bytes written to a socket that the other machine hasn't acknowledged.  The
   end of a connection acknowledges all that has arrived by then, so a machine
   whose process has read the whole request leaves none. */
static int
unacknowledged_bytes(int fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) < 0 ? 0 : bytes;
}

/* A reset behind the end of the other side's bytes is no error to read(). */
static bool
was_reset(int fd)
{
    int error = 0;
    socklen_t len = sizeof(error);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0
           && (error == EPIPE || error == ECONNRESET);
}

/* Returns true if the socket stays open: an upstream that has ended its answer
   may still read the rest of the request. */
static bool
keep_end(connections *c, const connection *n)
{
    connection_end *e = bbm_calloc(1, sizeof(*e));
    e->number = n->number;
    e->early = was_reset(n->fd);
    bool unread = n->long_request || unacknowledged_bytes(n->fd);
    e->fd = unread && !e->early ? n->fd : -1;
    HASH_ADD(hh, c->ends, number, sizeof(e->number), e);
    return e->fd >= 0;
}

void
connections_watch_end(connections *c, const connection_use *u, size_t body_len)
{
    connection *n = find_by_socket(c, u->socket);
    if (!n)
        return;
    n->watched = true;
    n->long_request = body_len > READ_WITH_HEAD_BYTES;
}

bool
connections_may_be_reset(const connections *c, const connection_use *u)
{
    const connection_end *e = find_end(c, u);
    return e && e->fd >= 0;
}

bool
connections_ended_early(connections *c, const connection_use *u)
{
    connection_end *e = find_end(c, u);
    if (!e)
        return false;
    if (e->fd >= 0 && (was_reset(e->fd) || unacknowledged_bytes(e->fd)))
        e->early = true;
    return e->early;
}

void
connections_drop_end(connections *c, const connection_use *u)
{
    connection_end *e = find_end(c, u);
    connection *n = find_by_socket(c, u->socket);
    if (e)
        drop_end(c, e);
    else if (n && n->number == u->number)
        n->watched = false;
}

int
connections_close(void *table, int fd)
{
    connections *c = table;
    connection *n = find_by_socket(c, fd);
    bool stays_open = n && n->watched && keep_end(c, n);
    if (n)
        forget(c, n);
    return stays_open ? 0 : close(fd);
}
