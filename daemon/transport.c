#include "transport.h"

#include "bbm_log.h"
#include "control.h"
#include "frames.h"
#include "links.h"
#include "seal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time without accepting after that has failed, for want of descriptors for
   instance. */
#define ACCEPT_PAUSE (100 * BBM_MS)
#define READ_BYTES ((size_t)64 * 1024)
/* Reads from one connection before others have their turn. */
#define READS_MAX 8
#define EVENTS_MAX 64
/* Period of the log lines on messages for which the mailbox had no room. */
#define FULL_LOG_PERIOD BBM_SECOND
#define BLOCK_FILE_PERIOD (100 * BBM_MS)

/* A connection that a peer has made to this daemon; I/O thread only. */
typedef struct receiver {
    io_source source;
    frame_reader reader;
    size_t counted; /* for its message */
    TAILQ_ENTRY(receiver) link;
} receiver;

struct transport {
    const bbm_settings *settings;
    seal *seal;
    mailbox *control;
    memory_budget *memory; /* the mailbox's */
    int epoll;
    io_source wake;
    io_source listener;
    bbm_time accept_at; /* accepting is paused until then; 0: it isn't */
    TAILQ_HEAD(, receiver) receivers;
    uint8_t *read_buffer;    /* of the I/O thread */
    uint64_t full_drops;     /* messages for a full mailbox; I/O thread */
    bbm_time full_logged_at; /* last log line on them */
    pthread_t thread;
    bool started;
    atomic_bool stopping;
    atomic_ullong rejected;
    links *links;
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

/* ---- receiving ---- */

static void
count_full_mailbox(transport *t)
{
    char count[24];
    bbm_time now = control_now();
    t->full_drops++;
    if (now - t->full_logged_at < FULL_LOG_PERIOD)
        return;
    t->full_logged_at = now;
    snprintf(count, sizeof(count), "%llu", (unsigned long long)t->full_drops);
    bbm_log(BBM_EVENT_MESSAGE_DROPPED, "dropped", count, "why",
            "control's mailbox is full", NULL);
}

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
    if (wanted && mailbox_put(t->control, item))
        return;
    if (wanted)
        count_full_mailbox(t);
    control_item_destroy(item);
}

static void
destroy_receiver(transport *t, receiver *r)
{
    TAILQ_REMOVE(&t->receivers, r, link);
    memory_budget_give(t->memory, MEMORY_PEERS, r->counted);
    close(r->source.fd);
    frame_reader_free(&r->reader);
    free(r);
}

/* Counts the message of which a part has come, or drops it. */
static void
count_message(transport *t, receiver *r)
{
    size_t len = r->reader.message.len;
    if (len <= r->counted) {
        memory_budget_give(t->memory, MEMORY_PEERS, r->counted - len);
        r->counted = len;
    }
    else if (memory_budget_take(t->memory, MEMORY_PEERS, len - r->counted,
                                len)) {
        r->counted = len;
    }
    else {
        char bytes[24];
        snprintf(bytes, sizeof(bytes), "%llu",
                 (unsigned long long)r->reader.message_len);
        bbm_log(BBM_EVENT_MESSAGE_DROPPED, "bytes", bytes, "why",
                "no room while it is received", NULL);
        frame_reader_drop(&r->reader);
        memory_budget_give(t->memory, MEMORY_PEERS, r->counted);
        r->counted = 0;
    }
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
        count_message(t, r);
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
    r->source = (io_source){.kind = IO_SOURCE_RECEIVER, .fd = fd};
    TAILQ_INSERT_TAIL(&t->receivers, r, link);
    bool greeted = send(fd, frames_receiver_greeting,
                        sizeof(frames_receiver_greeting), MSG_NOSIGNAL)
                   == (ssize_t)sizeof(frames_receiver_greeting);
    if (!greeted
        || !io_source_watch(t->epoll, EPOLL_CTL_ADD, &r->source, EPOLLIN))
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
    io_source_watch(t->epoll, EPOLL_CTL_MOD, &t->listener, 0);
    t->accept_at = control_now() + ACCEPT_PAUSE;
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
        io_source_watch(t->epoll, EPOLL_CTL_MOD, &t->listener, EPOLLIN);
    }
    if (t->accept_at)
        next = t->accept_at;
    bbm_time links_next = links_run_timers(t->links);
    if (links_next < next)
        next = links_next;
    return next == BBM_NEVER ? -1 : wait_ms_until(next, now);
}

static void
handle_event(transport *t, io_source *s, uint32_t events)
{
    uint64_t count;
    switch (s->kind) {
    case IO_SOURCE_WAKE:
        (void)!read(s->fd, &count, sizeof(count));
        return;
    case IO_SOURCE_LISTENER:
        accept_connections(t);
        return;
    case IO_SOURCE_RECEIVER:
        read_messages(t, (receiver *)s);
        return;
    case IO_SOURCE_LINK:
        links_handle_event(t->links, s, events);
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

static links_message *
encrypt_message(transport *t, const char *to, const bbm_buf *bytes)
{
    bbm_buf sealed = {0};
    seal_encrypt(t->seal, to, bytes, &sealed);
    links_message *m =
        bbm_calloc(1, sizeof(*m) + FRAMES_HEAD_BYTES + sealed.len);
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
    links_message *m = encrypt_message(t, name, bytes);
    /* The link to a peer whose name is not known yet is stored under its
       address. */
    links_send(t->links, name[0] ? name : address, address, m);
}

transport_counts
transport_count(transport *t)
{
    links_counts c = links_count(t->links);
    return (transport_counts){
        .rejected = atomic_load(&t->rejected),
        .links = c.connected,
        .links_lost = c.lost,
        .link_lost_age_ms = c.lost_age_ms,
        .dropped = c.dropped,
        .queued_bytes = c.queued_bytes,
    };
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
    io_source_set_timeouts(t->listener.fd, text);
    return io_source_set_option(t->listener.fd, SOL_SOCKET, SO_REUSEADDR, 1)
           && bind(t->listener.fd, (void *)&address, sizeof(address)) == 0
           && listen(t->listener.fd, SOMAXCONN) == 0
           && io_source_watch(t->epoll, EPOLL_CTL_ADD, &t->listener, EPOLLIN);
}

static bool
open_epoll(transport *t)
{
    t->epoll = epoll_create1(EPOLL_CLOEXEC);
    t->wake.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return t->epoll >= 0 && t->wake.fd >= 0
           && io_source_watch(t->epoll, EPOLL_CTL_ADD, &t->wake, EPOLLIN);
}

transport *
transport_create(const bbm_settings *settings, uint64_t run,
                 const uint8_t *message_secret, mailbox *control)
{
    transport *t = bbm_calloc(1, sizeof(*t));
    t->settings = settings;
    t->control = control;
    t->memory = mailbox_memory(control);
    t->seal = seal_create(settings->name, run, message_secret);
    t->wake = (io_source){.kind = IO_SOURCE_WAKE, .fd = -1};
    t->listener = (io_source){.kind = IO_SOURCE_LISTENER, .fd = -1};
    t->read_buffer = bbm_calloc(READ_BYTES, 1);
    TAILQ_INIT(&t->receivers);
    pthread_mutex_init(&t->blocked_lock, NULL);
    bool open = open_epoll(t);
    t->links = links_create(t->epoll, t->wake.fd, t->memory);
    t->started = open && listen_for_peers(t)
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
        io_source_wake(t->wake.fd);
        pthread_join(t->thread, NULL);
    }
    links_destroy(t->links);
    while (!TAILQ_EMPTY(&t->receivers))
        destroy_receiver(t, TAILQ_FIRST(&t->receivers));
    close_fd(t->listener.fd);
    close_fd(t->wake.fd);
    close_fd(t->epoll);
    seal_destroy(t->seal);
    pthread_mutex_destroy(&t->blocked_lock);
    free(t->blocked_names);
    free(t->read_buffer);
    free(t);
}
