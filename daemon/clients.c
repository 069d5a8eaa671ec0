#include "clients.h"

#include "bbm_mem.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <uthash.h>

/* Each connection is looked at so often in the time that a head may take. */
#define CHECKS_PER_HEAD 4
/* Number of connections that are asked for bytes in the search for one that is
   idle. */
#define EVICT_SCAN 16
/* A head that began within this time may be whole and not read yet, and on a
   connection that did so the request may be about to come. */
#define FRESH_TIME (250 * BBM_MS)

typedef enum client_state {
    CLIENT_IDLE, /* nothing of a request has come */
    CLIENT_HEAD, /* bytes of a head have come */
    CLIENT_BUSY, /* its request is at work */
    CLIENT_CLOSED,
} client_state;

struct client {
    int fd;
    client_state state;
    bbm_time since;      /* begin of the state, as far as it is known */
    bbm_time waiting_at; /* when it began to wait */
    bbm_time checked_at; /* last time that it was looked at */
    uint64_t bytes;      /* received when it became idle */
    bool had_request;    /* a request has begun to come */
    struct client_host *host;
    TAILQ_ENTRY(client) link;  /* in a list of its host, while it waits */
    TAILQ_ENTRY(client) check; /* in clients.checks, while it waits */
};

TAILQ_HEAD(client_list, client);

/* All connections of an address. */
typedef struct client_host {
    uint32_t address;
    size_t len;               /* connections, in any state */
    struct client_list idle;  /* longest first */
    struct client_list heads; /* the same */
    size_t idle_len;
    size_t heads_len;
    UT_hash_handle hh;
} client_host;

struct clients {
    pthread_mutex_t lock;
    client_host *hosts;
    struct client_list checks; /* that wait, by checked_at */
    size_t open_len;
    size_t waiting_len; /* in `checks` */
};

clients_counts clients_count;

clients *
clients_create(void)
{
    clients *c = bbm_calloc(1, sizeof(*c));
    pthread_mutex_init(&c->lock, NULL);
    TAILQ_INIT(&c->checks);
    return c;
}

/* ---- lists ---- */

/* Bytes that the kernel has received; 0 if it can't tell. */
static uint64_t
received(int fd)
{
    struct tcp_info info = {0};
    socklen_t len = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
        return 0;
    return info.tcpi_bytes_received;
}

static bool
waits(const client *x)
{
    return x->state == CLIENT_IDLE || x->state == CLIENT_HEAD;
}

static void
leave_lists(clients *c, client *x)
{
    switch (x->state) {
    case CLIENT_IDLE:
        TAILQ_REMOVE(&x->host->idle, x, link);
        x->host->idle_len--;
        break;
    case CLIENT_HEAD:
        TAILQ_REMOVE(&x->host->heads, x, link);
        x->host->heads_len--;
        break;
    case CLIENT_BUSY:
    case CLIENT_CLOSED:
        return;
    }
    TAILQ_REMOVE(&c->checks, x, check);
    c->waiting_len--;
}

/* Sets the state and puts the connection at the end of the lists. */
static void
set_state(clients *c, client *x, client_state state, bbm_time now)
{
    leave_lists(c, x);
    x->state = state;
    x->since = now;
    x->checked_at = now;
    switch (state) {
    case CLIENT_IDLE:
        x->waiting_at = now;
        TAILQ_INSERT_TAIL(&x->host->idle, x, link);
        x->host->idle_len++;
        break;
    case CLIENT_HEAD:
        TAILQ_INSERT_TAIL(&x->host->heads, x, link);
        x->host->heads_len++;
        break;
    case CLIENT_BUSY:
    case CLIENT_CLOSED:
        return;
    }
    TAILQ_INSERT_TAIL(&c->checks, x, check);
    c->waiting_len++;
}

static client_host *
find_or_add_host(clients *c, uint32_t address)
{
    client_host *h = NULL;
    HASH_FIND(hh, c->hosts, &address, sizeof(address), h);
    if (h)
        return h;
    h = bbm_calloc(1, sizeof(*h));
    h->address = address;
    TAILQ_INIT(&h->idle);
    TAILQ_INIT(&h->heads);
    HASH_ADD(hh, c->hosts, address, sizeof(h->address), h);
    return h;
}

static void
release(clients *c, client *x)
{
    client_host *h = x->host;
    leave_lists(c, x);
    c->open_len -= x->state != CLIENT_CLOSED;
    free(x);
    if (--h->len)
        return;
    HASH_DEL(c->hosts, h);
    free(h);
}

static void
close_client(clients *c, client *x, bool late, clients_report *report)
{
    set_state(c, x, CLIENT_CLOSED, x->since);
    c->open_len--;
    report->closed++;
    report->address = x->host->address;
    report->late = late;
    atomic_fetch_add(late ? &clients_count.late_heads : &clients_count.evicted,
                     1);
    shutdown(x->fd, SHUT_RDWR);
}

/* ---- connections ---- */

client *
clients_add(clients *c, int fd, uint32_t address, bbm_time now)
{
    client *x = bbm_calloc(1, sizeof(*x));
    x->fd = fd;
    x->state = CLIENT_BUSY; /* in no list yet */
    pthread_mutex_lock(&c->lock);
    x->host = find_or_add_host(c, address);
    x->host->len++;
    c->open_len++;
    set_state(c, x, CLIENT_IDLE, now);
    pthread_mutex_unlock(&c->lock);
    return x;
}

void
clients_remove(clients *c, client *x)
{
    pthread_mutex_lock(&c->lock);
    release(c, x);
    pthread_mutex_unlock(&c->lock);
}

void
clients_begin(clients *c, client *x)
{
    pthread_mutex_lock(&c->lock);
    if (waits(x))
        set_state(c, x, CLIENT_BUSY, x->since);
    pthread_mutex_unlock(&c->lock);
}

void
clients_end(clients *c, client *x, bbm_time now)
{
    pthread_mutex_lock(&c->lock);
    if (x->state != CLIENT_CLOSED) {
        x->bytes = received(x->fd);
        set_state(c, x, CLIENT_IDLE, now);
    }
    pthread_mutex_unlock(&c->lock);
}

/* ---- closing ---- */

static void
check_client(clients *c, client *x, bbm_time head_time, bbm_time now,
             clients_report *report)
{
    if (x->state == CLIENT_IDLE && received(x->fd) > x->bytes) {
        set_state(c, x, CLIENT_HEAD, now);
        return;
    }
    if (x->state == CLIENT_HEAD && now - x->since >= head_time) {
        close_client(c, x, true, report);
        return;
    }
    x->checked_at = now;
    TAILQ_REMOVE(&c->checks, x, check);
    TAILQ_INSERT_TAIL(&c->checks, x, check);
}

void
clients_expire(clients *c, bbm_time head_time, bbm_time now,
               clients_report *report)
{
    client *x;
    *report = (clients_report){0};
    pthread_mutex_lock(&c->lock);
    while ((x = TAILQ_FIRST(&c->checks)) != NULL
           && now - x->checked_at >= head_time / CHECKS_PER_HEAD)
        check_client(c, x, head_time, now, report);
    pthread_mutex_unlock(&c->lock);
}

/* The connection that is idle for longest.  Those that have received bytes
   since are put into the other list. */
static client *
find_idle(clients *c, client_host *h, bbm_time now)
{
    client *x;
    for (size_t i = 0; i < EVICT_SCAN; i++) {
        x = TAILQ_FIRST(&h->idle);
        if (!x || received(x->fd) <= x->bytes)
            return x;
        set_state(c, x, CLIENT_HEAD, now);
    }
    return NULL;
}

static client *
choose_victim(clients *c, bbm_time now)
{
    client_host *most_heads = NULL;
    client_host *most_idle = NULL;
    for (client_host *h = c->hosts; h; h = h->hh.next) {
        if (h->heads_len
            && (!most_heads || h->heads_len > most_heads->heads_len))
            most_heads = h;
        if (h->idle_len && (!most_idle || h->idle_len > most_idle->idle_len))
            most_idle = h;
    }
    client *head = most_heads ? TAILQ_FIRST(&most_heads->heads) : NULL;
    if (head && now - head->since >= FRESH_TIME)
        return head;
    client *idle = most_idle ? find_idle(c, most_idle, now) : NULL;
    if (!head && most_idle)
        head = TAILQ_FIRST(&most_idle->heads);
    if (!head || !idle)
        return head ? head : idle;
    bool is_fresh = now - idle->since < FRESH_TIME;
    return is_fresh && head->waiting_at < idle->waiting_at ? head : idle;
}

bool
clients_evict(clients *c, bbm_time now, clients_report *report)
{
    *report = (clients_report){0};
    pthread_mutex_lock(&c->lock);
    client *x = choose_victim(c, now);
    if (x)
        close_client(c, x, false, report);
    pthread_mutex_unlock(&c->lock);
    return x != NULL;
}

size_t
clients_len(clients *c)
{
    pthread_mutex_lock(&c->lock);
    size_t len = c->open_len;
    pthread_mutex_unlock(&c->lock);
    return len;
}

size_t
clients_waiting(clients *c)
{
    pthread_mutex_lock(&c->lock);
    size_t len = c->waiting_len;
    pthread_mutex_unlock(&c->lock);
    return len;
}

bool
clients_first_request(clients *c, client *x)
{
    pthread_mutex_lock(&c->lock);
    bool first = !x->had_request;
    x->had_request = true;
    pthread_mutex_unlock(&c->lock);
    return first;
}

bool
clients_had_request(clients *c, const client *x)
{
    pthread_mutex_lock(&c->lock);
    bool had_request = x->had_request;
    pthread_mutex_unlock(&c->lock);
    return had_request;
}

void
clients_destroy(clients *c)
{
    if (!c)
        return;
    /* Connections have ended, and were removed, with the HTTP library. */
    pthread_mutex_destroy(&c->lock);
    free(c);
}
