#include "stand_http.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CONNECTIONS_MAX 8192u
#define BACKLOG_MAX 4096u
#define THREAD_STACK_BYTES ((size_t)256 * 1024)
#define STREAM_BLOCK_BYTES 4096

struct stand_server {
    struct MHD_Daemon *daemon;
    stand_handler *handler;
    void *context;
};

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *len, void **state)
{
    (void)version;
    stand_server *s = context;
    stand_request *r = *state;
    if (!r) {
        r = bbm_calloc(1, sizeof(*r));
        *state = r;
        return MHD_YES;
    }
    if (*len) {
        bbm_buf_add(&r->body, data, *len);
        *len = 0;
        return MHD_YES;
    }
    r->connection = connection;
    r->method = method;
    r->path = url;
    bbm_buf_add(&r->body, "", 1);
    r->body.len--;
    return s->handler(s->context, r);
}

static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode how)
{
    (void)context;
    (void)connection;
    (void)how;
    stand_request *r = *state;
    if (!r)
        return;
    bbm_buf_free(&r->body);
    free(r);
    *state = NULL;
}

stand_server *
stand_listen(uint16_t port, stand_handler *handler, void *context)
{
    stand_server *s = bbm_calloc(1, sizeof(*s));
    s->handler = handler;
    s->context = context;
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    s->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION
            | MHD_USE_POLL | MHD_USE_ERROR_LOG,
        0, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
        MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, BACKLOG_MAX,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_THREAD_STACK_SIZE,
        THREAD_STACK_BYTES, MHD_OPTION_END);
    if (!s->daemon) {
        fprintf(stderr, "cannot listen on port %u\n", port);
        exit(1);
    }
    return s;
}

void
stand_block_signals(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

void
stand_wait(void)
{
    sigset_t set;
    int number;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigwait(&set, &number);
}

void
stand_close(stand_server *s)
{
    /* MHD_stop_daemon would wait for the threads of streams that sleep. */
    (void)s;
    fflush(NULL);
    _Exit(0);
}

static enum MHD_Result
add_field(void *context, enum MHD_ValueKind kind, const char *name,
          const char *value)
{
    (void)kind;
    json_object_set_new(context, name, json_string(value ? value : ""));
    return MHD_YES;
}

void
stand_describe(const stand_request *r, json_t *description)
{
    json_object_clear(description);
    json_object_set_new(description, "path", json_string(r->path));
    MHD_get_connection_values(
        r->connection,
        (enum MHD_ValueKind)(MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND),
        add_field, description);
}

const char *
stand_header(const stand_request *r, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, name);
    return value ? value : "";
}

const char *
stand_query_argument(const stand_request *r, const char *name)
{
    return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static void
add_ids(const stand_request *r, struct MHD_Response *response)
{
    const char *id =
        r->response_id ? r->response_id : stand_header(r, "X-Request-Id");
    if (*id)
        MHD_add_response_header(response, "X-Request-Id", id);
    if (!r->signature)
        return;
    MHD_add_response_header(response, "X-Bluebellmoor-Attempt-Id",
                            stand_header(r, "X-Bluebellmoor-Attempt-Id"));
    MHD_add_response_header(response, "X-Bluebellmoor-Server-Stamp",
                            r->signature);
    if (r->limit[0])
        MHD_add_response_header(response, "Server-Limit", r->limit);
}

enum MHD_Result
stand_reply(stand_request *r, unsigned status, json_t *doc)
{
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    add_ids(r, response);
    enum MHD_Result rc = MHD_queue_response(r->connection, status, response);
    MHD_destroy_response(response);
    return rc;
}

enum MHD_Result
stand_stream(stand_request *r, const char *type, stand_stream_fn *read_block,
             void *context, MHD_ContentReaderFreeCallback free_context)
{
    struct MHD_Response *response =
        MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                          read_block, context, free_context);
    MHD_add_response_header(response, "Content-Type", type);
    add_ids(r, response);
    enum MHD_Result rc = MHD_queue_response(r->connection, 200, response);
    MHD_destroy_response(response);
    return rc;
}

enum MHD_Result
stand_drop(stand_request *r)
{
    (void)r;
    return MHD_NO;
}

void
stand_sleep_ms(int64_t ms)
{
    if (ms <= 0)
        return;
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&ts, NULL);
}

int64_t
stand_now_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
