/* Kept connections of the provider's calls that go silent: a call fails within
   its time, and the next one has a new connection. */
#include "bbm_mem.h"
#include "control.h"
#include "provider.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* How long a call may last beyond its time limit. */
#define SLACK_MS 500
#define CONNECTIONS_MAX 16

/* A server that answers each request with the same body.  Connections that
   were open when it was silenced take bytes and deliver none. */
typedef struct server {
    int listener;
    char address[BBM_NAME_SIZE];
    const char *body;
    pthread_t thread;
    atomic_int connections;
    atomic_int silent; /* the first so many connections */
    pthread_t readers[CONNECTIONS_MAX];
    int fds[CONNECTIONS_MAX];
} server;

typedef struct reader {
    server *server;
    int number;
} reader;

static void *
serve_connection(void *context)
{
    reader *r = context;
    server *s = r->server;
    int fd = s->fds[r->number];
    char head[4096];
    ssize_t n;
    while ((n = recv(fd, head, sizeof(head) - 1, 0)) > 0) {
        char answer[1024];
        head[n] = '\0';
        if (!strstr(head, "\r\n\r\n") || r->number < atomic_load(&s->silent))
            continue;
        int len = snprintf(answer, sizeof(answer),
                           "HTTP/1.1 200 OK\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           strlen(s->body), s->body);
        (void)!send(fd, answer, (size_t)len, MSG_NOSIGNAL);
    }
    free(r);
    return NULL;
}

static void *
accept_connections(void *context)
{
    server *s = context;
    int fd;
    while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
        int number = atomic_load(&s->connections);
        /* A failed check may only leave the test from its own thread. */
        if (number == CONNECTIONS_MAX)
            abort();
        reader *r = malloc(sizeof(*r));
        *r = (reader){.server = s, .number = number};
        s->fds[number] = fd;
        /* Counted before it is served: the test reads the number once it has
           an answer. */
        atomic_fetch_add(&s->connections, 1);
        pthread_create(&s->readers[number], NULL, serve_connection, r);
    }
    return NULL;
}

static void
start_server(server *s, const char *body)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t len = sizeof(address);
    *s = (server){.body = body};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    s->listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(s->listener, (void *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(s->listener, 16), 0);
    getsockname(s->listener, (void *)&address, &len);
    snprintf(s->address, sizeof(s->address), "127.0.0.1:%d",
             ntohs(address.sin_port));
    pthread_create(&s->thread, NULL, accept_connections, s);
}

static void
stop_server(server *s)
{
    shutdown(s->listener, SHUT_RDWR);
    pthread_join(s->thread, NULL);
    close(s->listener);
    for (int i = 0; i < atomic_load(&s->connections); i++) {
        shutdown(s->fds[i], SHUT_RDWR);
        pthread_join(s->readers[i], NULL);
        close(s->fds[i]);
    }
}

typedef struct fixture {
    server server;
    mailbox *control;
    provider *provider;
} fixture;

/* On the heap: the threads go on using it after a failed check has left the
   test. */
static fixture *
set_up(const char *body)
{
    fixture *w = bbm_calloc(1, sizeof(*w));
    start_server(&w->server, body);
    w->control = mailbox_create(256);
    w->provider = provider_create(&(provider_desc){
        .list_address = w->server.address,
        .owner = "vm-1",
        .control = w->control,
    });
    return w;
}

static void
tear_down(fixture *w)
{
    provider_destroy(w->provider);
    stop_server(&w->server);
    control_item *item;
    while ((item = mailbox_take(w->control)) != NULL)
        control_item_destroy(item);
    mailbox_destroy(w->control);
    free(w);
}

static void
silence(fixture *w)
{
    atomic_store(&w->server.silent, atomic_load(&w->server.connections));
}

/* Whether the next result of a kind says success; fails if none comes within
   @p ms. */
static bool
next_result(fixture *w, control_kind kind, int64_t ms)
{
    bbm_time until = control_now() + ms * BBM_MS;
    while (control_now() < until) {
        control_item *item = mailbox_take(w->control);
        bool found = item && item->kind == kind;
        bool succeeded = item && item->succeeded;
        if (item)
            control_item_destroy(item);
        else
            mailbox_wait(w->control, 10);
        if (found)
            return succeeded;
    }
    ck_abort_msg("no result of kind %d within %lld ms", (int)kind,
                 (long long)ms);
    return false;
}

static void
read_list(fixture *w)
{
    provider_read_listing(w->provider);
}

static void
read_report(fixture *w)
{
    bbm_rollout_action act = {0};
    bbm_name_set(act.id, "i-1");
    bbm_name_set(act.address, w->server.address);
    provider_send_rollout(w->provider, &act, BBM_NEVER);
}

static void
check_silence_shows(const char *body, void (*call)(fixture *w),
                    control_kind kind, int64_t limit_ms)
{
    fixture *w = set_up(body);
    call(w);
    ck_assert(next_result(w, kind, limit_ms + SLACK_MS));
    silence(w);
    call(w);
    ck_assert(!next_result(w, kind, limit_ms + SLACK_MS));
    int before = atomic_load(&w->server.connections);
    call(w);
    ck_assert(next_result(w, kind, limit_ms + SLACK_MS));
    ck_assert_int_gt(atomic_load(&w->server.connections), before);
    tear_down(w);
}

START_TEST(silent_connection_to_the_list_is_replaced)
{
    check_silence_shows("{\"instances\":[],\"next-token\":null}", read_list,
                        CONTROL_LISTING, 900);
}
END_TEST

START_TEST(silent_connection_for_reports_is_replaced)
{
    check_silence_shows("{\"phase\":\"both\",\"models\":[],\"busy\":false,"
                        "\"sequence\":0,\"queued\":0,\"active\":0,"
                        "\"kv-used\":0,\"kv-total\":1,\"handles\":0}",
                        read_report, CONTROL_ROLLOUT_REPORT, 250);
}
END_TEST

START_TEST(silent_connection_to_a_store_is_replaced)
{
    fixture *w =
        set_up("{\"epoch\":1,\"next-token\":1,\"lost\":false,\"events\":[]}");
    provider_watch_store(w->provider, w->server.address, true);
    ck_assert(next_result(w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    silence(w);
    while (next_result(w, CONTROL_STORE_STATUS, 1700 + 2 * SLACK_MS))
        ;
    ck_assert(next_result(w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    tear_down(w);
}
END_TEST

TEST_MAIN("provider", silent_connection_to_the_list_is_replaced,
          silent_connection_for_reports_is_replaced,
          silent_connection_to_a_store_is_replaced);
