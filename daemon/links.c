#include "links.h"

#include "bbm_log.h"
#include "bbm_settings.h"
#include "control.h"
#include "frames.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

/* Messages queued for a slow peer, and bytes queued for all peers together;
   further ones are dropped.  The first message to a peer is queued if the
   memory budget has room for it, and always if it is small. */
#define QUEUE_MESSAGES 256
#define QUEUES_BYTES ((size_t)16 * 1024 * 1024)
/* Delay between attempts to connect to a peer. */
#define RECONNECT_MIN (50 * BBM_MS)
#define RECONNECT_MAX (250 * BBM_MS)

typedef enum link_state {
    LINK_WAITING,    /* for the next attempt to connect; no socket */
    LINK_CONNECTING, /* until the connection is made */
    LINK_GREETING,   /* until the peer's greeting has come */
    LINK_UP,
    LINK_CLOSED, /* to be released by the I/O thread */
} link_state;

/* The connection to a peer. */
typedef struct peer_link {
    io_source source;
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
    STAILQ_HEAD(, links_message) queue;
    size_t queue_len;
    bool awaits_room;              /* the socket took no more */
    TAILQ_ENTRY(peer_link) listed; /* in `waiting` or `closed` */
    UT_hash_handle hh;
} peer_link;

TAILQ_HEAD(link_list, peer_link);

struct links {
    int epoll;
    int wake;
    memory_budget *memory;
    pthread_mutex_t lock; /* guards all links and the fields below */
    peer_link *by_name;
    struct link_list waiting;
    struct link_list closed;
    size_t queued_bytes; /* of all links */
    uint64_t dropped;    /* messages for which the queues had no room */
    uint64_t lost;       /* connections that have ended */
    bbm_time lost_at;    /* the last one; 0: none has */
};

/* ---- one link: all called with the lock held ---- */

static void
log_loss(links *ls, peer_link *l, bbm_time now)
{
    link_loss loss = link_take_loss(&l->life, l->losses, now);
    char age[24];
    char idle[24];
    char unproved[24];
    ls->lost++;
    ls->lost_at = now;
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
lose_connection(links *ls, peer_link *l, bbm_time now)
{
    bool was_up = l->state == LINK_UP;
    close_socket(l);
    l->state = LINK_WAITING;
    l->retry_at = now + l->retry_delay;
    l->retry_delay *= 2;
    if (l->retry_delay > RECONNECT_MAX)
        l->retry_delay = RECONNECT_MAX;
    TAILQ_INSERT_TAIL(&ls->waiting, l, listed);
    if (!was_up)
        return;
    l->losses++;
    log_loss(ls, l, now);
}

static void
begin_connect(links *ls, peer_link *l, bbm_time now)
{
    l->state = LINK_CONNECTING;
    l->source.fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool begun = l->source.fd >= 0;
    if (begun)
        io_source_set_timeouts(l->source.fd, l->address);
    begun = begun
            && (connect(l->source.fd, (void *)&l->to, sizeof(l->to)) == 0
                || errno == EINPROGRESS)
            && io_source_watch(ls->epoll, EPOLL_CTL_ADD, &l->source,
                               EPOLLIN | EPOLLOUT);
    if (!begun)
        lose_connection(ls, l, now);
}

static void
remove_message(links *ls, peer_link *l)
{
    links_message *m = STAILQ_FIRST(&l->queue);
    STAILQ_REMOVE_HEAD(&l->queue, link);
    l->queue_len--;
    ls->queued_bytes -= m->len;
    memory_budget_give(ls->memory, MEMORY_PEERS, m->len);
    free(m);
}

/* Counts a message if it may be queued. */
static bool
take_room(links *ls, const peer_link *l, size_t len)
{
    bool first = !l->queue_len;
    if (!first
        && (l->queue_len >= QUEUE_MESSAGES
            || ls->queued_bytes + len > QUEUES_BYTES))
        return false;
    if (memory_budget_take(ls->memory, MEMORY_PEERS, len, len))
        return true;
    if (!first || len > MEMORY_SMALL_BYTES)
        return false;
    memory_budget_force(ls->memory, MEMORY_PEERS, len);
    return true;
}

/* Sends what the socket takes.  Returns false if the connection has ended. */
static bool
send_queue(links *ls, peer_link *l)
{
    links_message *m;
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
        remove_message(ls, l);
    }
    bool awaits_room = m != NULL;
    if (awaits_room == l->awaits_room)
        return true;
    l->awaits_room = awaits_room;
    return io_source_watch(ls->epoll, EPOLL_CTL_MOD, &l->source,
                           awaits_room ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

/* Returns false if the connection couldn't be made. */
static bool
finish_connect(const links *ls, peer_link *l)
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
           && io_source_watch(ls->epoll, EPOLL_CTL_MOD, &l->source, EPOLLIN);
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
handle_link_events(links *ls, peer_link *l, uint32_t events, bbm_time now)
{
    if (l->state == LINK_CONNECTING && !finish_connect(ls, l))
        return false;
    if (events & ~(uint32_t)EPOLLOUT && !read_link(l, now))
        return false;
    return l->state != LINK_UP || send_queue(ls, l);
}

static peer_link *
open_link(links *ls, const char *name, const char *address, bbm_time now)
{
    struct sockaddr_in to;
    if (!bbm_address_parse(address, &to))
        return NULL;
    peer_link *l = bbm_calloc(1, sizeof(*l));
    l->source = (io_source){.kind = IO_SOURCE_LINK, .fd = -1};
    bbm_name_set(l->name, name);
    bbm_text_set(l->address, sizeof(l->address), address);
    l->to = to;
    l->retry_delay = RECONNECT_MIN;
    STAILQ_INIT(&l->queue);
    link_open(&l->life, now);
    HASH_ADD_STR(ls->by_name, name, l);
    begin_connect(ls, l, now);
    if (l->state == LINK_WAITING)
        io_source_wake(ls->wake);
    return l;
}

/* The I/O thread releases the link, as it may be about to handle an event of
   it. */
static void
close_link(links *ls, peer_link *l)
{
    while (!STAILQ_EMPTY(&l->queue))
        remove_message(ls, l);
    HASH_DEL(ls->by_name, l);
    if (l->state == LINK_WAITING)
        TAILQ_REMOVE(&ls->waiting, l, listed);
    close_socket(l);
    l->state = LINK_CLOSED;
    TAILQ_INSERT_TAIL(&ls->closed, l, listed);
    io_source_wake(ls->wake);
}

/* Returns the link to a peer.  It is reopened if the peer's address has
   changed or a connection attempt takes too long. */
static peer_link *
link_for(links *ls, const char *name, const char *address, bbm_time now)
{
    peer_link *l = NULL;
    HASH_FIND_STR(ls->by_name, name, l);
    if (!l)
        return open_link(ls, name, address, now);
    bool keeps =
        link_before_send(&l->life, l->state == LINK_UP, now) == LINK_USE
        && strcmp(l->address, address) == 0;
    if (keeps)
        return l;
    close_link(ls, l);
    return open_link(ls, name, address, now);
}

static void
send_message(links *ls, peer_link *l, links_message *m, bbm_time now)
{
    if (!take_room(ls, l, m->len)) {
        ls->dropped++;
        free(m);
        return;
    }
    STAILQ_INSERT_TAIL(&l->queue, m, link);
    l->queue_len++;
    ls->queued_bytes += m->len;
    link_sent(&l->life, now);
    if (l->state != LINK_UP || l->awaits_room || send_queue(ls, l))
        return;
    lose_connection(ls, l, now);
    io_source_wake(ls->wake);
}

/* Makes the connections whose time has come. */
static void
connect_waiting(links *ls, bbm_time now)
{
    peer_link *l = TAILQ_FIRST(&ls->waiting);
    while (l) {
        peer_link *next = TAILQ_NEXT(l, listed);
        if (l->retry_at <= now) {
            TAILQ_REMOVE(&ls->waiting, l, listed);
            begin_connect(ls, l, now);
        }
        l = next;
    }
}

static void
release_closed(links *ls)
{
    peer_link *l;
    while ((l = TAILQ_FIRST(&ls->closed)) != NULL) {
        TAILQ_REMOVE(&ls->closed, l, listed);
        free(l);
    }
}

/* ---- all links ---- */

links *
links_create(int epoll, int wake, memory_budget *memory)
{
    links *ls = bbm_calloc(1, sizeof(*ls));
    ls->epoll = epoll;
    ls->wake = wake;
    ls->memory = memory;
    TAILQ_INIT(&ls->waiting);
    TAILQ_INIT(&ls->closed);
    pthread_mutex_init(&ls->lock, NULL);
    return ls;
}

void
links_destroy(links *ls)
{
    peer_link *l, *next;
    HASH_ITER(hh, ls->by_name, l, next)
    {
        close_link(ls, l);
    }
    release_closed(ls);
    pthread_mutex_destroy(&ls->lock);
    free(ls);
}

void
links_send(links *ls, const char *name, const char *address, links_message *m)
{
    bbm_time now = control_now();
    pthread_mutex_lock(&ls->lock);
    peer_link *l = link_for(ls, name, address, now);
    if (l)
        send_message(ls, l, m, now);
    else
        free(m);
    pthread_mutex_unlock(&ls->lock);
}

void
links_handle_event(links *ls, io_source *s, uint32_t events)
{
    peer_link *l = (peer_link *)s;
    pthread_mutex_lock(&ls->lock);
    bbm_time now = control_now();
    /* The control thread may have closed it meanwhile. */
    if (l->source.fd >= 0 && !handle_link_events(ls, l, events, now))
        lose_connection(ls, l, now);
    pthread_mutex_unlock(&ls->lock);
}

bbm_time
links_run_timers(links *ls)
{
    bbm_time next = BBM_NEVER;
    const peer_link *l;
    pthread_mutex_lock(&ls->lock);
    release_closed(ls);
    connect_waiting(ls, control_now());
    TAILQ_FOREACH(l, &ls->waiting, listed)
    {
        if (l->retry_at < next)
            next = l->retry_at;
    }
    pthread_mutex_unlock(&ls->lock);
    return next;
}

links_counts
links_count(links *ls)
{
    pthread_mutex_lock(&ls->lock);
    links_counts c = {
        .lost = ls->lost,
        .dropped = ls->dropped,
        .queued_bytes = ls->queued_bytes,
    };
    if (ls->lost_at)
        c.lost_age_ms = (uint64_t)((control_now() - ls->lost_at) / BBM_MS);
    for (const peer_link *l = ls->by_name; l; l = l->hh.next)
        c.connected += l->state == LINK_UP;
    pthread_mutex_unlock(&ls->lock);
    return c;
}
