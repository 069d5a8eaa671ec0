#include "forward_world.h"

#include "test_main.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

const uint8_t test_secret[BBM_DIGEST_SIZE] = {7, 7, 7};

/* ---- the upstream ---- */

bool
send_bytes(upstream *u, int fd, const char *data, size_t len)
{
    while (len) {
        ssize_t n = send(fd, data, len, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        atomic_fetch_add(&u->sent_bytes, (unsigned long long)n);
        data += n;
        len -= (size_t)n;
    }
    return true;
}

bool
send_text(upstream *u, int fd, const char *text)
{
    return send_bytes(u, fd, text, strlen(text));
}

bool
send_head(upstream *u, int fd, const char *status, const char *more)
{
    char text[512];
    snprintf(text, sizeof(text),
             "HTTP/1.1 %s\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Server-Stamp: s\r\n%s\r\n",
             status, u->id, more);
    return send_text(u, fd, text);
}

/* Sends an answer with the id and the text of a request. */
bool
send_answer(upstream *u, int fd, const char *id, const char *more)
{
    char text[512];
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
             "X-Bluebellmoor-Server-Stamp: s-%s\r\n%sContent-Length: %zu\r\n"
             "\r\nbody of %s",
             id, id, more, strlen("body of ") + strlen(id), id);
    return send_text(u, fd, text);
}

/* Reads a request without a body; false if the connection has ended. */
static bool
read_request(upstream *u, int fd)
{
    static const char name[] = "X-Bluebellmoor-Attempt-Id: ";
    char *head = u->head;
    size_t len = 0;
    while (!len || !strstr(head, "\r\n\r\n")) {
        ssize_t n = recv(fd, head + len, sizeof(u->head) - 1 - len, 0);
        if (n <= 0)
            return false;
        len += (size_t)n;
        head[len] = '\0';
    }
    const char *id = strstr(head, name);
    ck_assert_ptr_nonnull(id);
    sscanf(id + strlen(name), "%30s", u->id);
    return true;
}

static void *
run_connection(upstream *u, int fd)
{
    while (!atomic_load(&u->stopping) && read_request(u, fd))
        u->script(u, fd, atomic_fetch_add(&u->requests, 1) + 1);
    close(fd);
    return NULL;
}

static void *
run_upstream(void *context)
{
    upstream *u = context;
    int fd;
    while ((fd = accept(u->listener, NULL, NULL)) >= 0) {
        struct timeval timeout = {.tv_usec = 500000};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
        atomic_fetch_add(&u->connections, 1);
        run_connection(u, fd);
    }
    return NULL;
}

/* ---- the fixture ---- */

void
set_up(fixture *w, upstream_script *script)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t len = sizeof(address);
    *w = (fixture){.upstream = {.script = script}};
    upstream *u = &w->upstream;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    u->listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(u->listener, (void *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(u->listener, 16), 0);
    getsockname(u->listener, (void *)&address, &len);
    u->port = ntohs(address.sin_port);
    pthread_create(&u->thread, NULL, run_upstream, u);
    w->control = mailbox_create(256);
    w->forward = forward_create(w->control, test_secret);
}

void
tear_down(fixture *w)
{
    forward_stop(w->forward);
    forward_destroy(w->forward);
    atomic_store(&w->upstream.stopping, true);
    shutdown(w->upstream.listener, SHUT_RDWR);
    pthread_join(w->upstream.thread, NULL);
    close(w->upstream.listener);
    control_item *item;
    while ((item = mailbox_take(w->control)) != NULL)
        control_item_destroy(item);
    mailbox_destroy(w->control);
}

/* An exchange of a client that is connected: the exchange only compares the
   connection with NULL while it isn't suspended. */
exchange *
create_exchange(uint64_t id)
{
    static char connection;
    exchange *ex = exchange_create(EXCHANGE_POOL, id);
    ex->connection = (void *)&connection;
    ex->method = bbm_strdup("GET");
    ex->host = bbm_strdup("h");
    ex->request_target = bbm_strdup("/a/b");
    char text[BBM_NAME_SIZE];
    snprintf(text, sizeof(text), "id-%d", (int)id);
    ex->parsed_headers.id = bbm_strdup(text);
    exchange_headers_add(&ex->headers, "X-Bluebellmoor-Attempt-Id",
                         ex->parsed_headers.id);
    ex->parsed_headers.client_timeout_ms = DEADLINE / BBM_MS;
    return ex;
}

/* Sends a request, or resumes its stream after an event unless @p last_event
   is "". */
exchange *
start_attempt(fixture *w, const bbm_forward_request *kind,
              const char *last_event)
{
    exchange *ex = create_exchange(++w->requests);
    exchange_set_memory(ex, w->memory, 0);
    if (w->method) {
        free(ex->method);
        ex->method = bbm_strdup(w->method);
    }
    if (w->body_len) {
        ex->body = (bbm_buf){.data = bbm_calloc(1, w->body_len),
                             .len = w->body_len,
                             .cap = w->body_len};
        memset(ex->body.data, w->body_fill, w->body_len);
        ex->parsed_headers.content_length_count = 1;
    }
    bbm_forward_request send = *kind;
    send.request = ex->id;
    send.attempt = 1;
    send.deadline = control_now() + DEADLINE;
    send.priority = -1;
    send.stall_timeout = STALL_MS * BBM_MS;
    bbm_name_set(send.upstream, "u");
    snprintf(send.address, sizeof(send.address), "127.0.0.1:%u",
             w->upstream.port);
    forward_start(w->forward, ex, &send, last_event);
    return ex;
}

const bbm_forward_request plain_stream = {.stream = true};
const bbm_forward_request resumable_stream = {
    .stream = true, .repeatable = true, .resumable = true};

exchange *
start_request(fixture *w, bool repeatable, bool stream)
{
    bbm_forward_request kind = {.repeatable = repeatable, .stream = stream};
    return start_attempt(w, &kind, "");
}

/* The next item of a kind; fails if it doesn't arrive within @p ms. */
control_item *
expect_item(fixture *w, control_kind kind, int64_t ms)
{
    bbm_time until = control_now() + ms * BBM_MS;
    while (control_now() < until) {
        control_item *item = mailbox_take(w->control);
        if (item && item->kind == kind)
            return item;
        if (item)
            control_item_destroy(item);
        else
            mailbox_wait(w->control, 10);
    }
    ck_abort_msg("no item of kind %d within %lld ms", (int)kind,
                 (long long)ms);
    return NULL;
}

ended
run_attempt(fixture *w, const bbm_forward_request *kind,
            const char *last_event)
{
    bbm_time started_at = control_now();
    ended e = {.ex = start_attempt(w, kind, last_event)};
    control_item *item = expect_item(w, CONTROL_FORWARD_FINISHED, END_MS_MAX);
    e.result = item->forwarded;
    e.ms = (control_now() - started_at) / BBM_MS;
    control_item_destroy(item);
    return e;
}

ended
run_request(fixture *w, bool repeatable, bool stream)
{
    bbm_forward_request kind = {.repeatable = repeatable, .stream = stream};
    return run_attempt(w, &kind, "");
}

void
check_whole(ended *e)
{
    char body[BBM_NAME_SIZE + 16];
    snprintf(body, sizeof(body), "body of %s", e->ex->parsed_headers.id);
    ck_assert_msg(e->result.outcome == BBM_FORWARD_COMPLETE, "%s: outcome %d",
                  body, (int)e->result.outcome);
    ck_assert_uint_eq(e->ex->out.len, strlen(body));
    ck_assert_mem_eq(e->ex->out.data, body, strlen(body));
    exchange_unref(e->ex);
}

/* No byte of an answer went to the client. */
void
check_nothing_passed(ended *e)
{
    ck_assert_int_ne(e->result.outcome, BBM_FORWARD_COMPLETE);
    ck_assert_uint_eq(e->ex->out.len, 0);
    ck_assert(!e->ex->verbatim);
    exchange_unref(e->ex);
}
