#include "exchange.h"

#include "bbm_codes.h"
#include "bbm_log.h"
#include "control.h"

#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Of an answer that must not promise that its request has not run. */
#define UNKNOWN_STATUS 502u

/* libmicrohttpd's record of each header of a request, and its copies and
   records of what it parses in it (cookies, arguments). */
#define HEADER_RECORD_BYTES ((size_t)64)
/* Status line of an answer, and the headers that are added to it. */
#define ADDED_HEAD_BYTES ((size_t)1024)
/* Most bytes of an answer that are appended at once. */
#define ANSWER_STEP_BYTES ((size_t)16 * 1024)
/* A larger buffer of an answer is released whenever it is empty. */
#define KEPT_ANSWER_BYTES ((size_t)64 * 1024)
/* ": " and the end of the line. */
#define LINE_EXTRA_BYTES ((size_t)4)

exchange_counts exchange_count;

exchange *
exchange_create(exchange_kind kind, uint64_t id)
{
    exchange *ex = bbm_calloc(1, sizeof(*ex));
    atomic_init(&ex->refs, 1);
    ex->kind = kind;
    ex->id = id;
    ex->socket = -1;
    ex->cached_tokens = -1;
    ex->content_length = -1;
    pthread_mutex_init(&ex->lock, NULL);
    return ex;
}

exchange *
exchange_ref(exchange *ex)
{
    atomic_fetch_add(&ex->refs, 1);
    return ex;
}

void
exchange_set_memory(exchange *ex, memory_budget *memory,
                    size_t connection_bytes)
{
    ex->memory = memory;
    ex->connection_counted = connection_bytes;
    memory_budget_force(memory, MEMORY_CONNECTIONS, connection_bytes);
}

/* Called with the lock held, or by the last holder. */
static void
set_sends(exchange *ex, unsigned sends)
{
    bool was_at_work = ex->sends && !ex->finished;
    ex->sends = sends;
    bool is_at_work = ex->sends && !ex->finished;
    atomic_fetch_add(&exchange_count.at_work, is_at_work - was_at_work);
}

void
exchange_unref(exchange *ex)
{
    if (!ex || atomic_fetch_sub(&ex->refs, 1) != 1)
        return;
    set_sends(ex, 0);
    free(ex->method);
    free(ex->path);
    free(ex->query);
    free(ex->request_target);
    free(ex->host);
    platform_request_free(&ex->parsed_headers);
    exchange_headers_free(&ex->headers);
    exchange_headers_free(&ex->answer_headers);
    bbm_buf_free(&ex->config.document);
    bbm_buf_free(&ex->body);
    bbm_buf_free(&ex->out);
    memory_budget_give(ex->memory, MEMORY_BODIES, ex->body_counted);
    memory_budget_give(ex->memory, MEMORY_CHANGES, ex->change_counted);
    memory_budget_give(ex->memory, MEMORY_ANSWERS, ex->answer_counted);
    memory_budget_give(ex->memory, MEMORY_TRANSFERS, ex->transfer_counted);
    memory_budget_give(ex->memory, MEMORY_CONNECTIONS, ex->connection_counted);
    bbm_completion_request_free(&ex->completion);
    if (ex->new_key)
        explicit_bzero(ex->new_key, strlen(ex->new_key));
    free(ex->new_key);
    pthread_mutex_destroy(&ex->lock);
    free(ex);
}

void
exchange_headers_add(exchange_headers *h, const char *name, const char *value)
{
    bbm_grow(&h->items, &h->cap, h->len, sizeof(*h->items));
    h->items[h->len++] = (exchange_header){
        .name = bbm_strdup(name),
        .value = bbm_strdup(value),
    };
}

void
exchange_headers_free(exchange_headers *h)
{
    for (size_t i = 0; i < h->len; i++) {
        free(h->items[i].name);
        free(h->items[i].value);
    }
    free(h->items);
    *h = (exchange_headers){0};
}

static size_t
count_char(const char *text, char c)
{
    size_t n = 0;
    for (; *text; text++)
        n += *text == c;
    return n;
}

size_t
exchange_header_bytes(const char *name, const char *value)
{
    size_t line = strlen(name) + strlen(value) + LINE_EXTRA_BYTES;
    if (strcasecmp(name, "Cookie") != 0)
        return line + HEADER_RECORD_BYTES;
    return line + strlen(value)
           + HEADER_RECORD_BYTES * (2 + count_char(value, ';'));
}

bool
exchange_head_fits(const exchange *ex, const exchange_headers *headers)
{
    size_t bytes =
        ex->head_bytes + strlen(ex->request_target)
        + HEADER_RECORD_BYTES * (1 + count_char(ex->request_target, '&'))
        + ADDED_HEAD_BYTES;
    for (size_t i = 0; i < headers->len; i++)
        bytes += strlen(headers->items[i].name)
                 + strlen(headers->items[i].value) + LINE_EXTRA_BYTES;
    return bytes <= EXCHANGE_HEADS_BYTES;
}

/* Called with the lock held. */
static void
resume_connection(exchange *ex)
{
    if (!ex->suspended || !ex->connection)
        return;
    ex->suspended = false;
    MHD_resume_connection(ex->connection);
}

const char *
exchange_client_id(const exchange *ex)
{
    return ex->parsed_headers.id ? ex->parsed_headers.id : "";
}

/* Called with the lock held. */
static void
set_finished(exchange *ex)
{
    if (ex->sends && !ex->finished)
        atomic_fetch_sub(&exchange_count.at_work, 1);
    ex->finished = true;
}

/* Called with the lock held.  Whoever decides on an answer may know less than
   the thread that sends: the last check is where the status is set. */
static bool
withholds_promise(const exchange *ex, unsigned status)
{
    bool withheld = ex->sends && bbm_status_promises_not_run(status);
    if (withheld)
        atomic_fetch_add(&exchange_count.promises_withheld, 1);
    return withheld;
}

/* Called with the lock held. */
static unsigned
allowed_status(const exchange *ex, unsigned status)
{
    return withholds_promise(ex, status) ? UNKNOWN_STATUS : status;
}

bool
exchange_set_head(exchange *ex, unsigned status, const char *type,
                  const char *upstream, int64_t cached_tokens)
{
    pthread_mutex_lock(&ex->lock);
    if (!ex->finished) {
        ex->has_head = true;
        ex->status = status;
        ex->cached_tokens = cached_tokens;
        bbm_text_set(ex->answer_type, sizeof(ex->answer_type), type);
        bbm_name_set(ex->upstream, upstream);
    }
    bool connected = ex->connection != NULL;
    pthread_mutex_unlock(&ex->lock);
    return connected;
}

bool
exchange_set_verbatim_head(exchange *ex, unsigned status, int64_t length,
                           exchange_headers *headers)
{
    pthread_mutex_lock(&ex->lock);
    /* The upstream's head may arrive when control has just answered with an
       error that isn't queued yet; that body must not get this head. */
    if (!ex->finished) {
        ex->has_head = true;
        ex->verbatim = true;
        ex->status = allowed_status(ex, status);
        ex->content_length = length;
        exchange_headers_free(&ex->answer_headers);
        ex->answer_headers = *headers;
        *headers = (exchange_headers){0};
    }
    bool connected = ex->connection != NULL;
    /* The head alone doesn't resume the connection: the first body bytes or
       the end of the answer do.  Until then an error can replace the head. */
    pthread_mutex_unlock(&ex->lock);
    return connected;
}

/* Called with the lock held. */
static void
free_answer(exchange *ex)
{
    bbm_buf_free(&ex->out);
    ex->out_pos = 0;
    memory_budget_give(ex->memory, MEMORY_ANSWERS, ex->answer_counted);
    ex->answer_counted = 0;
}

bbm_buf
exchange_take_answer(exchange *ex)
{
    bbm_buf taken = ex->out;
    ex->out = (bbm_buf){0};
    ex->out_pos = 0;
    return taken;
}

/* Called with the lock held.  An answer that holds nothing may always go on;
   one that holds some takes part in what large items may use. */
static bool
has_room(const exchange *ex)
{
    size_t pending = ex->out.len - ex->out_pos;
    if (!ex->connection || ex->finished || !pending)
        return true;
    return pending < EXCHANGE_HIGH_WATER_BYTES
           && memory_budget_has_room(ex->memory, MEMORY_ANSWERS,
                                     ANSWER_STEP_BYTES,
                                     MEMORY_SMALL_BYTES + 1);
}

/* Called with the lock held.  Discards the bytes if the client has
   disconnected or the answer has ended. */
static void
append_bytes(exchange *ex, const void *data, size_t len)
{
    if (!ex->connection || ex->finished)
        return;
    size_t pending = ex->out.len - ex->out_pos;
    if (!pending && ex->out.cap > KEPT_ANSWER_BYTES)
        free_answer(ex);
    /* Bytes are moved only if they are fewer than those already written. */
    if (ex->out_pos >= pending) {
        if (pending)
            memmove(ex->out.data, ex->out.data + ex->out_pos, pending);
        ex->out.len = pending;
        ex->out_pos = 0;
    }
    /* The client had nothing to read until now. */
    if (!pending)
        ex->read_at = control_now();
    bbm_buf_add(&ex->out, data, len);
    if (ex->out.len <= ex->answer_counted)
        return;
    memory_budget_force(ex->memory, MEMORY_ANSWERS,
                        ex->out.len - ex->answer_counted);
    ex->answer_counted = ex->out.len;
}

void
exchange_set_producer(exchange *ex, void *producer,
                      void (*on_drained)(exchange *ex))
{
    pthread_mutex_lock(&ex->lock);
    ex->producer = producer;
    ex->on_drained = on_drained;
    pthread_mutex_unlock(&ex->lock);
}

bool
exchange_has_room(exchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool room = has_room(ex);
    if (!room)
        ex->upstream_paused = true;
    pthread_mutex_unlock(&ex->lock);
    return room;
}

void
exchange_write(exchange *ex, const void *data, size_t len)
{
    pthread_mutex_lock(&ex->lock);
    if (len) {
        append_bytes(ex, data, len);
        resume_connection(ex);
    }
    pthread_mutex_unlock(&ex->lock);
}

void
exchange_finish(exchange *ex, bool truncated)
{
    pthread_mutex_lock(&ex->lock);
    if (!ex->finished) {
        set_finished(ex);
        ex->truncated = truncated;
    }
    resume_connection(ex);
    pthread_mutex_unlock(&ex->lock);
}

void
exchange_answer(exchange *ex, unsigned status, const char *type,
                const void *data, size_t len)
{
    pthread_mutex_lock(&ex->lock);
    if (!ex->finished) {
        ex->has_head = true;
        ex->status = allowed_status(ex, status);
        bbm_text_set(ex->answer_type, sizeof(ex->answer_type), type);
        append_bytes(ex, data, len);
        set_finished(ex);
    }
    resume_connection(ex);
    pthread_mutex_unlock(&ex->lock);
}

int
exchange_count_change(exchange *ex, size_t bytes)
{
    memory_budget_give(ex->memory, MEMORY_CHANGES, ex->change_counted);
    ex->change_counted = 0;
    size_t bytes_max = memory_budget_item_max(ex->memory);
    if (bytes > bytes_max) {
        ex->body_bytes_max =
            (size_t)((double)ex->body.len * (double)bytes_max / (double)bytes);
        return BBM_ERR_TOO_LARGE;
    }
    if (!memory_budget_take(ex->memory, MEMORY_CHANGES, bytes, bytes))
        return BBM_ERR_MEMORY;
    ex->change_counted = bytes;
    return BBM_OK;
}

void
exchange_set_retry_after(exchange *ex, int64_t ms)
{
    pthread_mutex_lock(&ex->lock);
    if (!ex->finished)
        ex->retry_after_ms = ms;
    pthread_mutex_unlock(&ex->lock);
}

static char *
error_text(const exchange *ex, int code, int64_t retry_after_ms)
{
    char id[32];
    snprintf(id, sizeof(id), "%llu", (unsigned long long)ex->id);
    json_t *doc =
        json_pack("{s:{s:i, s:s, s:s, s:s, s:I, s:s}}", "error", "code", code,
                  "name", bbm_code_name(code), "message", bbm_code_text(code),
                  "ran", bbm_ran_text(bbm_code_ran(code)), "retry_after_ms",
                  (json_int_t)retry_after_ms, "request", id);
    if (code == BBM_ERR_TOO_LARGE)
        json_object_set_new(json_object_get(doc, "error"), "limit_bytes",
                            json_integer((json_int_t)ex->body_bytes_max));
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    return text;
}

/* Called with the lock held. */
static exchange_client
client_state(const exchange *ex)
{
    struct pollfd fd = {.fd = ex->socket, .events = POLLRDHUP};
    if (!ex->connection)
        return EXCHANGE_CLIENT_GONE;
    if (ex->socket < 0 || poll(&fd, 1, 0) <= 0)
        return EXCHANGE_CLIENT_CONNECTED;
    if (fd.revents & (POLLHUP | POLLERR))
        return EXCHANGE_CLIENT_GONE;
    return fd.revents & POLLRDHUP ? EXCHANGE_CLIENT_HALF_CLOSED
                                  : EXCHANGE_CLIENT_CONNECTED;
}

/* The client's id, or else the daemon's number for the request. */
static const char *
id_or_number(const exchange *ex, char number[24])
{
    const char *id = exchange_client_id(ex);
    snprintf(number, 24, "%llu", (unsigned long long)ex->id);
    return id[0] ? id : number;
}

/* Called with the lock held.  @p told is the status that the client gets; 0: a
   truncated answer. */
static void
log_failed_after_send(const exchange *ex, int code, unsigned told)
{
    static const char *const clients[] = {
        [EXCHANGE_CLIENT_CONNECTED] = "connected",
        [EXCHANGE_CLIENT_HALF_CLOSED] = "sends no more",
        [EXCHANGE_CLIENT_GONE] = "gone",
    };
    char number[24];
    char status[16] = "cut";
    char sends[16];
    snprintf(sends, sizeof(sends), "%u", ex->sends);
    if (told)
        snprintf(status, sizeof(status), "%u", told);
    bbm_log(BBM_EVENT_FAILED_AFTER_SEND, "id", id_or_number(ex, number),
            "code", bbm_code_name(code), "told", status, "sends", sends,
            "client", clients[client_state(ex)], NULL);
}

static void
set_error(exchange *ex, int code, int64_t retry_after_ms)
{
    BBM_AUTO_FREE char *text = error_text(ex, code, retry_after_ms);
    ex->has_head = true;
    ex->status = bbm_code_status(code);
    ex->error_code = code;
    ex->retry_after_ms = retry_after_ms;
    bbm_text_set(ex->answer_type, sizeof(ex->answer_type), "application/json");
    append_bytes(ex, text, strlen(text));
}

/* Ends an answer that has begun; an event stream of the daemon's own interface
   gets an error event first. */
static void
cut_answer(exchange *ex, int code)
{
    bool is_event_stream =
        !ex->verbatim
        && strncmp(ex->answer_type, "text/event-stream", 17) == 0;
    if (is_event_stream) {
        BBM_AUTO_FREE char *text = error_text(ex, code, 0);
        append_bytes(ex, "data: ", 6);
        append_bytes(ex, text, strlen(text));
        append_bytes(ex, "\n\n", 2);
    }
    ex->truncated = true;
}

/* The status can't change once the head is set, or, for a verbatim answer,
   once it is queued. */
bool
exchange_fail(exchange *ex, int code, int64_t retry_after_ms)
{
    pthread_mutex_lock(&ex->lock);
    if (ex->finished) {
        pthread_mutex_unlock(&ex->lock);
        return false;
    }
    if (ex->verbatim && !ex->head_queued) {
        /* The head was not sent yet: answer with the error instead of a
           truncated answer. */
        ex->has_head = false;
        ex->verbatim = false;
        ex->out.len = 0;
        ex->out_pos = 0;
    }
    bool cut = ex->has_head;
    bool withheld = !cut && withholds_promise(ex, bbm_code_status(code));
    int told = withheld ? BBM_ERR_UPSTREAM : code;
    if (ex->sends) {
        atomic_fetch_add(&exchange_count.failed_after_send, 1);
        log_failed_after_send(ex, code, cut ? 0 : bbm_code_status(told));
    }
    if (cut)
        cut_answer(ex, code);
    else
        set_error(ex, told, withheld ? 0 : retry_after_ms);
    set_finished(ex);
    resume_connection(ex);
    pthread_mutex_unlock(&ex->lock);
    return true;
}

bool
exchange_begin_send(exchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool open = !ex->finished;
    if (open)
        set_sends(ex, ex->sends + 1);
    pthread_mutex_unlock(&ex->lock);
    return open;
}

void
exchange_record_not_run(exchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    if (ex->sends)
        set_sends(ex, ex->sends - 1);
    pthread_mutex_unlock(&ex->lock);
}

exchange_client
exchange_client_state(exchange *ex)
{
    pthread_mutex_lock(&ex->lock);
    bool answered = ex->finished && !ex->truncated;
    exchange_client state =
        answered ? EXCHANGE_CLIENT_CONNECTED : client_state(ex);
    pthread_mutex_unlock(&ex->lock);
    return state;
}

bool
exchange_client_connected(exchange *ex)
{
    return exchange_client_state(ex) == EXCHANGE_CLIENT_CONNECTED;
}

static const char *
answer_state(const exchange *ex)
{
    if (!ex->head_queued)
        return "none";
    return ex->finished && !ex->truncated ? "not sent whole" : "begun";
}

/* Called with the lock held. */
static void
log_closed_after_send(const exchange *ex,
                      enum MHD_RequestTerminationCode reason)
{
    static const char *const ends[] = {
        [MHD_REQUEST_TERMINATED_WITH_ERROR] = "an error",
        [MHD_REQUEST_TERMINATED_TIMEOUT_REACHED] = "its time limit",
        [MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN] = "the stop",
        [MHD_REQUEST_TERMINATED_READ_ERROR] = "a read error",
        [MHD_REQUEST_TERMINATED_CLIENT_ABORT] = "the client",
    };
    char number[24];
    char sends[16];
    snprintf(sends, sizeof(sends), "%u", ex->sends);
    bbm_log(BBM_EVENT_CLOSED_AFTER_SEND, "id", id_or_number(ex, number), "by",
            (size_t)reason < BBM_COUNT(ends) ? ends[reason] : "unknown",
            "answer", answer_state(ex), "sends", sends, NULL);
}

bool
exchange_detach(exchange *ex, enum MHD_RequestTerminationCode reason,
                bool *paused)
{
    bool sent_whole = reason == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    pthread_mutex_lock(&ex->lock);
    /* All bytes of an answer of known length may be sent before its producer
       has said that it is complete. */
    if (sent_whole)
        set_finished(ex);
    bool unfinished = !ex->finished;
    bool by_client = reason == MHD_REQUEST_TERMINATED_READ_ERROR
                     || reason == MHD_REQUEST_TERMINATED_CLIENT_ABORT;
    if (ex->sends && !sent_whole && !ex->truncated) {
        log_closed_after_send(ex, reason);
        atomic_fetch_add(&exchange_count.closed_after_send, !by_client);
    }
    *paused = ex->upstream_paused;
    ex->connection = NULL;
    ex->socket = -1;
    ex->upstream_paused = false;
    pthread_mutex_unlock(&ex->lock);
    return unfinished;
}
