#include "transport.h"

#include "bbm_log.h"
#include "control.h"
#include "link.h"
#include "seal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/transport/tcp/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <uthash.h>

/* Messages queued for a slow peer; further ones are dropped. */
#define SEND_QUEUE_MESSAGES 256
#define RECEIVE_QUEUE_MESSAGES 512
#define MESSAGE_BYTES_MAX ((size_t)64 * 1024 * 1024)
/* Delay between attempts to connect to a peer. */
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 250
/* Probes of an idle connection.  A connection that is used shows its end
   sooner; these only release what would be held for nobody. */
#define PROBE_IDLE_S 20
#define PROBE_INTERVAL_S 1
/* Shortest time between two searches for the sockets of new connections. */
#define SOCKET_SEARCH_PERIOD (20 * BBM_MS)
/* The search ends after this number of descriptors that aren't open. */
#define SOCKET_SEARCH_GAP 256
/* Time given to the sockets to close when the transport is destroyed. */
#define CLOSE_TIMEOUT_S 1
#define URL_SIZE (BBM_ADDRESS_SIZE + 8)
#define BLOCK_FILE_PERIOD (100 * BBM_MS)

typedef struct peer_link {
    char name[BBM_NAME_SIZE];
    char address[BBM_ADDRESS_SIZE];
    struct sockaddr_in to;
    transport *transport;
    nng_socket socket;
    link_life life;
    atomic_bool connected; /* set by nng's threads, as are the next two */
    atomic_uint new_port;  /* local port of a connection without timeouts,
                              in network order; 0: there is none */
    atomic_ullong losses;  /* connections that have ended */
    UT_hash_handle hh;
} peer_link;

struct transport {
    const bbm_settings *settings;
    seal *seal;
    mailbox *control;
    nng_socket listener;
    pthread_t thread;
    bool started;
    peer_link *links;    /* used by the control thread only */
    atomic_bool any_new; /* a link has a new_port */
    bbm_time searched_at;
    uint64_t links_lost;
    bbm_time link_lost_at; /* 0: none was */
    atomic_ullong rejected;
    pthread_mutex_t close_lock;
    pthread_cond_t closed;
    size_t closing; /* sockets that are being closed; under close_lock */
    bool abandoned; /* the last socket that closes releases the transport;
                       under close_lock */
    atomic_bool stopping; /* what still arrives is dropped */
    pthread_mutex_t blocked_lock;
    char *blocked_names; /* text of test_cut_file; under blocked_lock */
    bbm_time blocked_read_at;
};

/* ---- peers blocked by a test ---- */

/* Returns whether test_cut_file, which has one name per line, names the peer.
   The file is reread after BLOCK_FILE_PERIOD. */
static bool
is_blocked(transport *t, const char *name)
{
    if (!t->settings->test_cut_file[0])
        return false;
    pthread_mutex_lock(&t->blocked_lock);
    bbm_time now = control_now();
    if (now - t->blocked_read_at > BLOCK_FILE_PERIOD) {
        size_t len;
        t->blocked_read_at = now;
        free(t->blocked_names);
        t->blocked_names = bbm_read_file(t->settings->test_cut_file, &len);
    }
    char line[BBM_NAME_SIZE + 2];
    snprintf(line, sizeof(line), "%s\n", name);
    bool blocked = t->blocked_names && strstr(t->blocked_names, line);
    pthread_mutex_unlock(&t->blocked_lock);
    return blocked;
}

/* ---- encryption ---- */

static nng_msg *
encrypt_message(transport *t, const char *to, const bbm_buf *bytes)
{
    bbm_buf sealed = {0};
    nng_msg *msg = NULL;
    seal_encrypt(t->seal, to, bytes, &sealed);
    if (nng_msg_alloc(&msg, sealed.len) == 0)
        memcpy(nng_msg_body(msg), sealed.data, sealed.len);
    bbm_buf_free(&sealed);
    return msg;
}

/* ---- receiving ---- */

static void
handle_message(transport *t, nng_msg *msg)
{
    control_item *item = control_item_create(CONTROL_MESSAGE);
    bool valid = seal_decrypt(t->seal, nng_msg_body(msg), nng_msg_len(msg),
                              item->name, &item->bytes)
                 == BBM_OK;
    if (!valid)
        atomic_fetch_add(&t->rejected, 1);
    bool wanted =
        valid && !atomic_load(&t->stopping) && !is_blocked(t, item->name);
    /* With a full mailbox the message is dropped: delivery is not
       guaranteed, and the receiving thread must not block. */
    if (!wanted || !mailbox_put(t->control, item))
        control_item_destroy(item);
}

static void *
receive_messages(void *context)
{
    transport *t = context;
    for (;;) {
        nng_msg *msg = NULL;
        int rc = nng_recvmsg(t->listener, &msg, 0);
        if (rc == NNG_ECLOSED)
            return NULL;
        if (rc != 0)
            continue;
        handle_message(t, msg);
        nng_msg_free(msg);
    }
}

/* ---- closing ---- */

/* nng_close waits for nng's own threads, and with messages in transit at that
   moment it may never return.  Neither the control thread nor the end of the
   process may depend on it, so each socket is closed on a thread of its
   own. */

typedef struct close_task {
    transport *transport;
    nng_socket socket;
    peer_link *link; /* owned; nng's threads use it until the socket is closed;
                        NULL: the listener */
} close_task;

static void
release(transport *t)
{
    if (t->started)
        pthread_join(t->thread, NULL);
    seal_destroy(t->seal);
    pthread_cond_destroy(&t->closed);
    pthread_mutex_destroy(&t->close_lock);
    pthread_mutex_destroy(&t->blocked_lock);
    free(t->blocked_names);
    free(t);
}

static void *
run_close(void *context)
{
    close_task *task = context;
    transport *t = task->transport;
    nng_close(task->socket);
    free(task->link);
    free(task);
    pthread_mutex_lock(&t->close_lock);
    t->closing--;
    bool is_last = !t->closing && t->abandoned;
    pthread_cond_broadcast(&t->closed);
    pthread_mutex_unlock(&t->close_lock);
    if (is_last)
        release(t);
    return NULL;
}

static void
begin_close(transport *t, nng_socket socket, peer_link *link)
{
    close_task *task = bbm_calloc(1, sizeof(*task));
    *task = (close_task){.transport = t, .socket = socket, .link = link};
    pthread_mutex_lock(&t->close_lock);
    t->closing++;
    pthread_mutex_unlock(&t->close_lock);
    pthread_t thread;
    if (pthread_create(&thread, NULL, run_close, task) != 0) {
        run_close(task);
        return;
    }
    pthread_detach(thread);
}

/* False if sockets haven't closed in time; the transport is theirs then. */
static bool
wait_for_closes(transport *t)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += CLOSE_TIMEOUT_S;
    int rc = 0;
    pthread_mutex_lock(&t->close_lock);
    while (t->closing && rc == 0)
        rc = pthread_cond_timedwait(&t->closed, &t->close_lock, &until);
    size_t left = t->closing;
    t->abandoned = left > 0;
    pthread_mutex_unlock(&t->close_lock);
    if (!left)
        return true;
    char number[24];
    snprintf(number, sizeof(number), "%zu", left);
    bbm_log(BBM_EVENT_CLOSE_TIMEOUT, "sockets", number, NULL);
    return false;
}

static void
close_link(transport *t, peer_link *l)
{
    HASH_DEL(t->links, l);
    begin_close(t, l->socket, l);
}

/* ---- silent connections ---- */

/* A connection whose packets are lost without a reset looks open for as long
   as the kernel sends its bytes again, a quarter of an hour.  The peer's
   kernel acknowledges what it gets, also while the peer is frozen, slow or has
   nothing to say, so a limit on the time without one is the proof that is
   needed.  nng has no option for it and doesn't tell its sockets, so they are
   found by the addresses of both ends. */

static void
set_timeouts(int fd)
{
    const unsigned unacked_ms = LINK_UNACKED_TIMEOUT / BBM_MS;
    const int on = 1;
    const int idle_s = PROBE_IDLE_S;
    const int interval_s = PROBE_INTERVAL_S;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof(unacked_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
}

static bool
parse_address(const char *address, struct sockaddr_in *to)
{
    char host[64];
    uint16_t port = 0;
    *to = (struct sockaddr_in){.sin_family = AF_INET};
    bool valid = bbm_address_split(address, host, &port)
                 && inet_pton(AF_INET, host, &to->sin_addr) == 1;
    to->sin_port = htons(port);
    return valid;
}

static bool
is_same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
    return a->sin_addr.s_addr == b->sin_addr.s_addr
           && a->sin_port == b->sin_port;
}

/* The link whose new connection has these addresses, or NULL.  Two links may
   go to one address, as a daemon is known by its address before its name. */
static peer_link *
find_new_link(const transport *t, const struct sockaddr_in *own,
              const struct sockaddr_in *to)
{
    for (peer_link *l = t->links; l; l = l->hh.next) {
        if (atomic_load(&l->new_port) == own->sin_port
            && is_same_address(&l->to, to))
            return l;
    }
    return NULL;
}

/* True if a descriptor is an IPv4 connection.  *closed counts the descriptors
   in a row that aren't open. */
static bool
read_addresses(int fd, struct sockaddr_in *own, struct sockaddr_in *to,
               int *closed)
{
    socklen_t own_len = sizeof(*own);
    socklen_t to_len = sizeof(*to);
    bool is_connected = getpeername(fd, (void *)to, &to_len) == 0;
    *closed = !is_connected && errno == EBADF ? *closed + 1 : 0;
    return is_connected && to->sin_family == AF_INET
           && getsockname(fd, (void *)own, &own_len) == 0;
}

static void
log_loss(transport *t, peer_link *l, bbm_time now)
{
    link_loss loss = link_take_loss(&l->life, atomic_load(&l->losses), now);
    if (!loss.lost)
        return;
    char age[24];
    char idle[24];
    char unproved[24];
    t->links_lost++;
    t->link_lost_at = now;
    snprintf(age, sizeof(age), "%lld", (long long)(loss.age / BBM_MS));
    snprintf(idle, sizeof(idle), "%lld", (long long)(loss.idle / BBM_MS));
    snprintf(unproved, sizeof(unproved), "%u", loss.unproved);
    bbm_log(BBM_EVENT_LINK_LOST, "vm", l->name, "address", l->address,
            "age_ms", age, "idle_ms", idle, "unproved", unproved, NULL);
}

/* Sets the timeouts of connections that were made since the last search. */
static void
find_new_sockets(transport *t, bbm_time now)
{
    if (!atomic_load(&t->any_new)
        || now - t->searched_at < SOCKET_SEARCH_PERIOD)
        return;
    t->searched_at = now;
    atomic_store(&t->any_new, false);
    for (int fd = 0, closed = 0; closed < SOCKET_SEARCH_GAP; fd++) {
        struct sockaddr_in own = {0};
        struct sockaddr_in to = {0};
        peer_link *l = read_addresses(fd, &own, &to, &closed)
                           ? find_new_link(t, &own, &to)
                           : NULL;
        if (!l)
            continue;
        set_timeouts(fd);
        atomic_store(&l->new_port, 0);
        log_loss(t, l, now);
        link_connected(&l->life, now);
    }
}

/* Connections that are accepted inherit the timeouts of the listening
   socket. */
static void
set_listener_timeouts(const struct sockaddr_in *address)
{
    for (int fd = 0, closed = 0; closed < SOCKET_SEARCH_GAP; fd++) {
        struct sockaddr_in own = {0};
        socklen_t len = sizeof(own);
        int listens = 0;
        socklen_t listens_len = sizeof(listens);
        bool has_address = getsockname(fd, (void *)&own, &len) == 0;
        closed = !has_address && errno == EBADF ? closed + 1 : 0;
        if (has_address && own.sin_family == AF_INET
            && is_same_address(&own, address)
            && getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens,
                          &listens_len)
                   == 0
            && listens)
            set_timeouts(fd);
    }
}

/* ---- sending ---- */

static void
on_connection(nng_pipe pipe, nng_pipe_ev event, void *context)
{
    peer_link *l = context;
    nng_sockaddr own;
    bool made = event == NNG_PIPE_EV_ADD_POST;
    atomic_store(&l->connected, made);
    if (!made) {
        atomic_fetch_add(&l->losses, 1);
    }
    else if (nng_pipe_get_addr(pipe, NNG_OPT_LOCADDR, &own) == 0
             && own.s_family == NNG_AF_INET) {
        atomic_store(&l->new_port, own.s_in.sa_port);
        atomic_store(&l->transport->any_new, true);
    }
}

static peer_link *
open_link(transport *t, const char *name, const char *address)
{
    peer_link *l = bbm_calloc(1, sizeof(*l));
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "tcp://%s", address);
    bbm_name_set(l->name, name);
    bbm_text_set(l->address, sizeof(l->address), address);
    l->transport = t;
    if (!parse_address(address, &l->to) || nng_push0_open(&l->socket) != 0) {
        free(l);
        return NULL;
    }
    link_open(&l->life, control_now());
    nng_pipe_notify(l->socket, NNG_PIPE_EV_ADD_POST, on_connection, l);
    nng_pipe_notify(l->socket, NNG_PIPE_EV_REM_POST, on_connection, l);
    nng_socket_set_int(l->socket, NNG_OPT_SENDBUF, SEND_QUEUE_MESSAGES);
    nng_socket_set_ms(l->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
    nng_socket_set_ms(l->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
    if (nng_dial(l->socket, url, NULL, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(l->socket);
        free(l);
        return NULL;
    }
    HASH_ADD_STR(t->links, name, l);
    return l;
}

/* Returns the link to a peer.  It is reopened if the peer's address has
   changed or a connection attempt takes too long. */
static peer_link *
link_for(transport *t, const char *name, const char *address, bbm_time now)
{
    peer_link *l = NULL;
    HASH_FIND_STR(t->links, name, l);
    if (!l)
        return open_link(t, name, address);
    log_loss(t, l, now);
    bool keeps =
        link_before_send(&l->life, atomic_load(&l->connected), now) == LINK_USE
        && strcmp(l->address, address) == 0;
    if (keeps)
        return l;
    close_link(t, l);
    return open_link(t, name, address);
}

void
transport_send(transport *t, const char *name, const char *address,
               const bbm_buf *bytes)
{
    if (!address[0] || is_blocked(t, name))
        return;
    /* The link to a peer whose name is not known yet is stored under its
       address. */
    bbm_time now = control_now();
    find_new_sockets(t, now);
    peer_link *l = link_for(t, name[0] ? name : address, address, now);
    nng_msg *msg = l ? encrypt_message(t, name, bytes) : NULL;
    if (!msg)
        return;
    if (nng_sendmsg(l->socket, msg, NNG_FLAG_NONBLOCK) == 0)
        link_sent(&l->life, now);
    else
        nng_msg_free(msg);
}

transport_counts
transport_count(const transport *t)
{
    transport_counts c = {
        .rejected = atomic_load(&t->rejected),
        .links_lost = t->links_lost,
        .link_lost_age_ms =
            t->link_lost_at
                ? (uint64_t)((control_now() - t->link_lost_at) / BBM_MS)
                : 0,
    };
    for (const peer_link *l = t->links; l; l = l->hh.next)
        c.links += atomic_load(&l->connected);
    return c;
}

/* ---- creation ---- */

static bool
listen_for_peers(transport *t, const char *url)
{
    nng_listener listener;
    struct sockaddr_in address;
    if (nng_listener_create(&listener, t->listener, url) != 0)
        return false;
    nng_listener_set_bool(listener, NNG_OPT_TCP_KEEPALIVE, true);
    if (nng_listener_start(listener, 0) != 0)
        return false;
    if (parse_address(t->settings->peer_address, &address))
        set_listener_timeouts(&address);
    return true;
}

transport *
transport_create(const bbm_settings *settings, uint64_t run,
                 const uint8_t *message_secret, mailbox *control)
{
    transport *t = bbm_calloc(1, sizeof(*t));
    char url[URL_SIZE];
    t->settings = settings;
    t->control = control;
    t->seal = seal_create(settings->name, run, message_secret);
    pthread_mutex_init(&t->blocked_lock, NULL);
    pthread_mutex_init(&t->close_lock, NULL);
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&t->closed, &attr);
    pthread_condattr_destroy(&attr);
    snprintf(url, sizeof(url), "tcp://%s", settings->peer_address);
    if (nng_pull0_open(&t->listener) != 0) {
        release(t);
        return NULL;
    }
    nng_socket_set_int(t->listener, NNG_OPT_RECVBUF, RECEIVE_QUEUE_MESSAGES);
    nng_socket_set_size(t->listener, NNG_OPT_RECVMAXSZ, MESSAGE_BYTES_MAX);
    t->started = listen_for_peers(t, url)
                 && pthread_create(&t->thread, NULL, receive_messages, t) == 0;
    if (t->started)
        return t;
    transport_destroy(t);
    return NULL;
}

void
transport_destroy(transport *t)
{
    if (!t)
        return;
    atomic_store(&t->stopping, true);
    begin_close(t, t->listener, NULL);
    peer_link *l, *next;
    HASH_ITER(hh, t->links, l, next)
    {
        close_link(t, l);
    }
    if (wait_for_closes(t))
        release(t);
}
