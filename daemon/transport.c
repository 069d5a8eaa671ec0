#include "transport.h"

#include "bbm_log.h"
#include "control.h"
#include "frames.h"
#include "link.h"
#include "seal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

/* Messages queued for a slow peer, and bytes queued for all peers together;
   further ones are dropped.  The first message to a peer is queued whatever
   its length. */
#define SEND_QUEUE_MESSAGES 256
#define SEND_QUEUES_BYTES ((size_t)16 * 1024 * 1024)
/* Delay between attempts to connect to a peer. */
#define RECONNECT_MIN (50 * BBM_MS)
#define RECONNECT_MAX (250 * BBM_MS)
/* Probes of an idle connection.  A connection that is used shows its end
   sooner; these only release what would be held for nobody. */
#define PROBE_IDLE_S 20
#define PROBE_INTERVAL_S 1
/* Time without accepting after that has failed, for want of descriptors for
   instance. */
#define ACCEPT_PAUSE (100 * BBM_MS)
#define READ_BYTES ((size_t)64 * 1024)
/* Reads from one connection before others have their turn. */
#define READS_MAX 8
#define EVENTS_MAX 64
#define BLOCK_FILE_PERIOD (100 * BBM_MS)

/* What an event of the I/O thread belongs to; the first member of each. */
typedef enum source_kind {
    SOURCE_WAKE,
    SOURCE_LISTENER,
    SOURCE_RECEIVER,
    SOURCE_LINK,
} source_kind;

typedef struct source {
    source_kind kind;
    int fd; /* -1: none */
} source;

/* A connection that a peer has made to this daemon; I/O thread only. */
typedef struct receiver {
    source source;
    frame_reader reader;
    TAILQ_ENTRY(receiver) link;
} receiver;

/* A message to be sent, with its head. */
typedef struct outgoing {
    STAILQ_ENTRY(outgoing) link;
    size_t len;
    size_t pos; /* bytes that have been sent */
    uint8_t bytes[];
} outgoing;

typedef enum link_state {
    LINK_WAITING,    /* for the next attempt to connect; no socket */
    LINK_CONNECTING, /* until the connection is made */
    LINK_GREETING,   /* until the peer's greeting has come */
    LINK_UP,
    LINK_CLOSED, /* to be released by the I/O thread */
} link_state;

/* The connection of this daemon to a peer. */
typedef struct peer_link {
    source source;
    char name[BBM_NAME_SIZE];
    char address[BBM_ADDRESS_SIZE];
    struct sockaddr_in to;
    link_state state;
    link_life life;
    uint64_t losses; /* connections that have ended */
    bbm_time retry_at;
    bbm_time retry_delay;
    uint8_t greeting[FRAMES_GREETING_BYTES]; /* of the peer */
    size_t greeting_len;
    STAILQ_HEAD(, outgoing) queue;
    size_t queue_len;
    bool awaits_room;              /* the socket took no more */
    TAILQ_ENTRY(peer_link) listed; /* in `waiting` or `closed` */
    UT_hash_handle hh;
} peer_link;

TAILQ_HEAD(link_list, peer_link);

struct transport {
    const bbm_settings *settings;
    seal *seal;
    mailbox *control;
    int epoll;
    source wake;
    source listener;
    bbm_time accept_at; /* accepting is paused until then; 0: it isn't */
    TAILQ_HEAD(, receiver) receivers;
    uint8_t *read_buffer; /* of the I/O thread */
    pthread_t thread;
    bool started;
    atomic_bool stopping;
    atomic_ullong rejected;
    pthread_mutex_t lock; /* guards all links and the fields below */
    peer_link *links;     /* by name */
    struct link_list waiting;
    struct link_list closed;
    size_t queued_bytes; /* of all links */
    uint64_t dropped;    /* messages for which the queues had no room */
    uint64_t links_lost;
    bbm_time link_lost_at; /* 0: none was */
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

/* ---- sockets ---- */

static void
wake_thread(const transport *t)
{
    uint64_t one = 1;
    /* It fails only with a full counter, which wakes the thread too. */
    (void)!write(t->wake.fd, &one, sizeof(one));
}

static bool
watch(const transport *t, int operation, source *s, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = s};
    return epoll_ctl(t->epoll, operation, s->fd, &event) == 0;
}

static bool
set_option(int fd, int level, int option, int value)
{
    return setsockopt(fd, level, option, &value, sizeof(value)) == 0;
}

/* A connection whose packets are lost without a reset looks open for as long
   as the kernel sends its bytes again, a quarter of an hour.  The peer's
   kernel acknowledges what it gets, also while the peer is frozen, slow or has
   nothing to say, so a limit on the time without one is the proof that is
   needed.  Connections that are accepted inherit the options of the listening
   socket. */
static void
set_options(int fd, const char *address)
{
    bool set = set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                          LINK_UNACKED_TIMEOUT / BBM_MS)
               && set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1)
               && set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S)
               && set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S)
               && set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    if (!set)
        bbm_log(BBM_EVENT_LINK_OPTIONS, "address", address, "error",
                strerrorname_np(errno), NULL);
}

/* ---- receiving ---- */

static void
on_message(void *context, const uint8_t *data, size_t len)
{
    transport *t = context;
    control_item *item = control_item_create(CONTROL_MESSAGE);
    bool valid =
        seal_decrypt(t->seal, data, len, item->name, &item->bytes) == BBM_OK;
    if (!valid)
        atomic_fetch_add(&t->rejected, 1);
    bool wanted =
        valid && !atomic_load(&t->stopping) && !is_blocked(t, item->name);
    /* With a full mailbox the message is dropped: delivery is not
       guaranteed, and the receiving thread must not block. */
    if (!wanted || !mailbox_put(t->control, item))
        control_item_destroy(item);
}

static void
destroy_receiver(transport *t, receiver *r)
{
    TAILQ_REMOVE(&t->receivers, r, link);
    close(r->source.fd);
    frame_reader_free(&r->reader);
    free(r);
}

static void
read_messages(transport *t, receiver *r)
{
    ssize_t n = 0;
    for (int i = 0; i < READS_MAX; i++) {
        n = recv(r->source.fd, t->read_buffer, READ_BYTES, 0);
        if (n <= 0)
            break;
        if (frame_reader_read(&r->reader, t->read_buffer, (size_t)n,
                              on_message, t)
            < 0) {
            atomic_fetch_add(&t->rejected, 1);
            destroy_receiver(t, r);
            return;
        }
        if ((size_t)n < READ_BYTES)
            return;
    }
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
        destroy_receiver(t, r);
}

static void
add_receiver(transport *t, int fd)
{
    receiver *r = bbm_calloc(1, sizeof(*r));
    r->source = (source){.kind = SOURCE_RECEIVER, .fd = fd};
    TAILQ_INSERT_TAIL(&t->receivers, r, link);
    bool greeted = send(fd, frames_receiver_greeting,
                        sizeof(frames_receiver_greeting), MSG_NOSIGNAL)
                   == (ssize_t)sizeof(frames_receiver_greeting);
    if (!greeted || !watch(t, EPOLL_CTL_ADD, &r->source, EPOLLIN))
        destroy_receiver(t, r);
}

static void
accept_connections(transport *t)
{
    int fd;
    while ((fd = accept4(t->listener.fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC))
           >= 0)
        add_receiver(t, fd);
    if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
        return;
    bbm_log(BBM_EVENT_ACCEPT_FAILED, "error", strerrorname_np(errno), NULL);
    watch(t, EPOLL_CTL_MOD, &t->listener, 0);
    t->accept_at = control_now() + ACCEPT_PAUSE;
}

/* ---- links: all called with the lock held ---- */

static void
log_loss(transport *t, peer_link *l, bbm_time now)
{
    link_loss loss = link_take_loss(&l->life, l->losses, now);
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

static void
close_socket(peer_link *l)
{
    if (l->source.fd >= 0)
        close(l->source.fd);
    l->source.fd = -1;
    l->greeting_len = 0;
    l->awaits_room = false;
    /* The peer drops a message that has come in part. */
    if (!STAILQ_EMPTY(&l->queue))
        STAILQ_FIRST(&l->queue)->pos = 0;
}

/* Ends the connection, or the attempt to make one; the next attempt follows
   after a while. */
static void
lose_connection(transport *t, peer_link *l, bbm_time now)
{
    bool was_up = l->state == LINK_UP;
    close_socket(l);
    l->state = LINK_WAITING;
    l->retry_at = now + l->retry_delay;
    l->retry_delay *= 2;
    if (l->retry_delay > RECONNECT_MAX)
        l->retry_delay = RECONNECT_MAX;
    TAILQ_INSERT_TAIL(&t->waiting, l, listed);
    if (!was_up)
        return;
    l->losses++;
    log_loss(t, l, now);
}

static void
begin_connect(transport *t, peer_link *l, bbm_time now)
{
    l->state = LINK_CONNECTING;
    l->source.fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool begun = l->source.fd >= 0;
    if (begun)
        set_options(l->source.fd, l->address);
    begun = begun
            && (connect(l->source.fd, (void *)&l->to, sizeof(l->to)) == 0
                || errno == EINPROGRESS)
            && watch(t, EPOLL_CTL_ADD, &l->source, EPOLLIN | EPOLLOUT);
    if (!begun)
        lose_connection(t, l, now);
}

static void
remove_message(transport *t, peer_link *l)
{
    outgoing *m = STAILQ_FIRST(&l->queue);
    STAILQ_REMOVE_HEAD(&l->queue, link);
    l->queue_len--;
    t->queued_bytes -= m->len;
    free(m);
}

static bool
has_room(const transport *t, const peer_link *l, size_t len)
{
    return !l->queue_len
           || (l->queue_len < SEND_QUEUE_MESSAGES
               && t->queued_bytes + len <= SEND_QUEUES_BYTES);
}

/* Sends what the socket takes.  Returns false if the connection has ended. */
static bool
send_queue(transport *t, peer_link *l)
{
    outgoing *m;
    while ((m = STAILQ_FIRST(&l->queue)) != NULL) {
        ssize_t n = send(l->source.fd, m->bytes + m->pos, m->len - m->pos,
                         MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno != EAGAIN)
            return false;
        m->pos += n > 0 ? (size_t)n : 0;
        if (m->pos < m->len)
            break;
        remove_message(t, l);
    }
    bool awaits_room = m != NULL;
    if (awaits_room == l->awaits_room)
        return true;
    l->awaits_room = awaits_room;
    return watch(t, EPOLL_CTL_MOD, &l->source,
                 awaits_room ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

/* Returns false if the connection couldn't be made. */
static bool
finish_connect(const transport *t, peer_link *l)
{
    int error = 0;
    socklen_t len = sizeof(error);
    if (getsockopt(l->source.fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0
        || error)
        return false;
    l->state = LINK_GREETING;
    return send(l->source.fd, frames_sender_greeting,
                sizeof(frames_sender_greeting), MSG_NOSIGNAL)
               == (ssize_t)sizeof(frames_sender_greeting)
           && watch(t, EPOLL_CTL_MOD, &l->source, EPOLLIN);
}

/* Takes bytes of the peer's greeting; nothing else is expected from it.
   Returns false if it isn't one. */
static bool
take_greeting(peer_link *l, const uint8_t *bytes, size_t len, bbm_time now)
{
    size_t room = sizeof(l->greeting) - l->greeting_len;
    size_t n = len < room ? len : room;
    memcpy(l->greeting + l->greeting_len, bytes, n);
    l->greeting_len += n;
    if (l->state != LINK_GREETING || l->greeting_len < sizeof(l->greeting))
        return true;
    if (memcmp(l->greeting, frames_receiver_greeting, sizeof(l->greeting))
        != 0)
        return false;
    l->state = LINK_UP;
    l->retry_delay = RECONNECT_MIN;
    link_connected(&l->life, now);
    return true;
}

/* Returns false if the connection has ended. */
static bool
read_link(peer_link *l, bbm_time now)
{
    uint8_t bytes[64];
    ssize_t n;
    while ((n = recv(l->source.fd, bytes, sizeof(bytes), 0)) > 0) {
        if (!take_greeting(l, bytes, (size_t)n, now))
            return false;
        if ((size_t)n < sizeof(bytes))
            return true;
    }
    return n < 0 && (errno == EAGAIN || errno == EINTR);
}

static bool
handle_link_events(transport *t, peer_link *l, uint32_t events, bbm_time now)
{
    if (l->state == LINK_CONNECTING && !finish_connect(t, l))
        return false;
    if (events & ~(uint32_t)EPOLLOUT && !read_link(l, now))
        return false;
    return l->state != LINK_UP || send_queue(t, l);
}

static void
on_link_events(transport *t, peer_link *l, uint32_t events)
{
    pthread_mutex_lock(&t->lock);
    bbm_time now = control_now();
    /* The control thread may have closed it meanwhile. */
    if (l->source.fd >= 0 && !handle_link_events(t, l, events, now))
        lose_connection(t, l, now);
    pthread_mutex_unlock(&t->lock);
}

static peer_link *
open_link(transport *t, const char *name, const char *address, bbm_time now)
{
    struct sockaddr_in to;
    if (!bbm_address_parse(address, &to))
        return NULL;
    peer_link *l = bbm_calloc(1, sizeof(*l));
    l->source = (source){.kind = SOURCE_LINK, .fd = -1};
    bbm_name_set(l->name, name);
    bbm_text_set(l->address, sizeof(l->address), address);
    l->to = to;
    l->retry_delay = RECONNECT_MIN;
    STAILQ_INIT(&l->queue);
    link_open(&l->life, now);
    HASH_ADD_STR(t->links, name, l);
    begin_connect(t, l, now);
    if (l->state == LINK_WAITING)
        wake_thread(t);
    return l;
}

/* The I/O thread releases the link, as it may be about to handle an event of
   it. */
static void
close_link(transport *t, peer_link *l)
{
    while (!STAILQ_EMPTY(&l->queue))
        remove_message(t, l);
    HASH_DEL(t->links, l);
    if (l->state == LINK_WAITING)
        TAILQ_REMOVE(&t->waiting, l, listed);
    close_socket(l);
    l->state = LINK_CLOSED;
    TAILQ_INSERT_TAIL(&t->closed, l, listed);
    wake_thread(t);
}

/* Returns the link to a peer.  It is reopened if the peer's address has
   changed or a connection attempt takes too long. */
static peer_link *
link_for(transport *t, const char *name, const char *address, bbm_time now)
{
    peer_link *l = NULL;
    HASH_FIND_STR(t->links, name, l);
    if (!l)
        return open_link(t, name, address, now);
    bool keeps =
        link_before_send(&l->life, l->state == LINK_UP, now) == LINK_USE
        && strcmp(l->address, address) == 0;
    if (keeps)
        return l;
    close_link(t, l);
    return open_link(t, name, address, now);
}

static void
send_message(transport *t, peer_link *l, outgoing *m, bbm_time now)
{
    if (!has_room(t, l, m->len)) {
        t->dropped++;
        free(m);
        return;
    }
    STAILQ_INSERT_TAIL(&l->queue, m, link);
    l->queue_len++;
    t->queued_bytes += m->len;
    link_sent(&l->life, now);
    if (l->state != LINK_UP || l->awaits_room || send_queue(t, l))
        return;
    lose_connection(t, l, now);
    wake_thread(t);
}

/* Makes the connections whose time has come. */
static void
connect_waiting(transport *t, bbm_time now)
{
    peer_link *l = TAILQ_FIRST(&t->waiting);
    while (l) {
        peer_link *next = TAILQ_NEXT(l, listed);
        if (l->retry_at <= now) {
            TAILQ_REMOVE(&t->waiting, l, listed);
            begin_connect(t, l, now);
        }
        l = next;
    }
}

static void
release_closed(transport *t)
{
    peer_link *l;
    while ((l = TAILQ_FIRST(&t->closed)) != NULL) {
        TAILQ_REMOVE(&t->closed, l, listed);
        free(l);
    }
}

/* ---- the I/O thread ---- */

static int
wait_ms_until(bbm_time at, bbm_time now)
{
    return at <= now ? 0 : (int)((at - now + BBM_MS - 1) / BBM_MS);
}

/* Does what is due.  Returns the time until more is, in ms; -1: nothing. */
static int
run_timers(transport *t)
{
    bbm_time now = control_now();
    bbm_time next = BBM_NEVER;
    if (t->accept_at && t->accept_at <= now) {
        t->accept_at = 0;
        watch(t, EPOLL_CTL_MOD, &t->listener, EPOLLIN);
    }
    if (t->accept_at)
        next = t->accept_at;
    pthread_mutex_lock(&t->lock);
    release_closed(t);
    connect_waiting(t, now);
    const peer_link *l;
    TAILQ_FOREACH(l, &t->waiting, listed)
    {
        if (l->retry_at < next)
            next = l->retry_at;
    }
    pthread_mutex_unlock(&t->lock);
    return next == BBM_NEVER ? -1 : wait_ms_until(next, now);
}

static void
handle_event(transport *t, source *s, uint32_t events)
{
    uint64_t count;
    switch (s->kind) {
    case SOURCE_WAKE:
        (void)!read(s->fd, &count, sizeof(count));
        return;
    case SOURCE_LISTENER:
        accept_connections(t);
        return;
    case SOURCE_RECEIVER:
        read_messages(t, (receiver *)s);
        return;
    case SOURCE_LINK:
        on_link_events(t, (peer_link *)s, events);
        return;
    }
}

static void *
run_io(void *context)
{
    transport *t = context;
    struct epoll_event events[EVENTS_MAX];
    while (!atomic_load(&t->stopping)) {
        int n = epoll_wait(t->epoll, events, EVENTS_MAX, run_timers(t));
        for (int i = 0; i < n; i++)
            handle_event(t, events[i].data.ptr, events[i].events);
    }
    return NULL;
}

/* ---- called by the control thread ---- */

static outgoing *
encrypt_message(transport *t, const char *to, const bbm_buf *bytes)
{
    bbm_buf sealed = {0};
    seal_encrypt(t->seal, to, bytes, &sealed);
    outgoing *m = bbm_calloc(1, sizeof(*m) + FRAMES_HEAD_BYTES + sealed.len);
    m->len = FRAMES_HEAD_BYTES + sealed.len;
    frames_put_head(m->bytes, sealed.len);
    memcpy(m->bytes + FRAMES_HEAD_BYTES, sealed.data, sealed.len);
    bbm_buf_free(&sealed);
    return m;
}

void
transport_send(transport *t, const char *name, const char *address,
               const bbm_buf *bytes)
{
    if (!address[0] || is_blocked(t, name))
        return;
    outgoing *m = encrypt_message(t, name, bytes);
    bbm_time now = control_now();
    pthread_mutex_lock(&t->lock);
    /* The link to a peer whose name is not known yet is stored under its
       address. */
    peer_link *l = link_for(t, name[0] ? name : address, address, now);
    if (l)
        send_message(t, l, m, now);
    else
        free(m);
    pthread_mutex_unlock(&t->lock);
}

transport_counts
transport_count(transport *t)
{
    transport_counts c = {.rejected = atomic_load(&t->rejected)};
    pthread_mutex_lock(&t->lock);
    c.links_lost = t->links_lost;
    c.dropped = t->dropped;
    c.queued_bytes = t->queued_bytes;
    if (t->link_lost_at)
        c.link_lost_age_ms =
            (uint64_t)((control_now() - t->link_lost_at) / BBM_MS);
    for (const peer_link *l = t->links; l; l = l->hh.next)
        c.links += l->state == LINK_UP;
    pthread_mutex_unlock(&t->lock);
    return c;
}

/* ---- creation ---- */

static bool
listen_for_peers(transport *t)
{
    struct sockaddr_in address;
    const char *text = t->settings->peer_address;
    t->listener.fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (t->listener.fd < 0 || !bbm_address_parse(text, &address))
        return false;
    set_options(t->listener.fd, text);
    return set_option(t->listener.fd, SOL_SOCKET, SO_REUSEADDR, 1)
           && bind(t->listener.fd, (void *)&address, sizeof(address)) == 0
           && listen(t->listener.fd, SOMAXCONN) == 0
           && watch(t, EPOLL_CTL_ADD, &t->listener, EPOLLIN);
}

static bool
open_epoll(transport *t)
{
    t->epoll = epoll_create1(EPOLL_CLOEXEC);
    t->wake.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return t->epoll >= 0 && t->wake.fd >= 0
           && watch(t, EPOLL_CTL_ADD, &t->wake, EPOLLIN);
}

transport *
transport_create(const bbm_settings *settings, uint64_t run,
                 const uint8_t *message_secret, mailbox *control)
{
    transport *t = bbm_calloc(1, sizeof(*t));
    t->settings = settings;
    t->control = control;
    t->seal = seal_create(settings->name, run, message_secret);
    t->wake = (source){.kind = SOURCE_WAKE, .fd = -1};
    t->listener = (source){.kind = SOURCE_LISTENER, .fd = -1};
    t->read_buffer = bbm_calloc(READ_BYTES, 1);
    TAILQ_INIT(&t->receivers);
    TAILQ_INIT(&t->waiting);
    TAILQ_INIT(&t->closed);
    pthread_mutex_init(&t->lock, NULL);
    pthread_mutex_init(&t->blocked_lock, NULL);
    t->started = open_epoll(t) && listen_for_peers(t)
                 && pthread_create(&t->thread, NULL, run_io, t) == 0;
    if (t->started)
        return t;
    transport_destroy(t);
    return NULL;
}

static void
close_fd(int fd)
{
    if (fd >= 0)
        close(fd);
}

void
transport_destroy(transport *t)
{
    if (!t)
        return;
    atomic_store(&t->stopping, true);
    if (t->started) {
        wake_thread(t);
        pthread_join(t->thread, NULL);
    }
    peer_link *l, *next;
    HASH_ITER(hh, t->links, l, next)
    {
        close_link(t, l);
    }
    release_closed(t);
    while (!TAILQ_EMPTY(&t->receivers))
        destroy_receiver(t, TAILQ_FIRST(&t->receivers));
    close_fd(t->listener.fd);
    close_fd(t->wake.fd);
    close_fd(t->epoll);
    seal_destroy(t->seal);
    pthread_mutex_destroy(&t->lock);
    pthread_mutex_destroy(&t->blocked_lock);
    free(t->blocked_names);
    free(t->read_buffer);
    free(t);
}
