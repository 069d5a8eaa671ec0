#include "calls.h"

#include "bbm_mem.h"
#include "control.h"
#include "mailbox.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Jobs that may be queued, plus one; a power of two. */
#define MAILBOX_SIZE 16384

/* Time for which the end of an answer is held back if its connection may be
   reset behind it.  A reset was seen 20 ms behind the end. */
#define RESET_WAIT (50 * BBM_MS)

/* A finished transfer that isn't reported yet. */
typedef struct held_end {
    CURL *easy; /* its result is CURLE_OK */
    bbm_time until;
    struct held_end *prev, *next;
} held_end;

struct calls {
    calls_desc desc;
    mailbox *jobs;
    CURLM *multi;
    held_end *held; /* the first to be reported first */
    pthread_t thread;
    atomic_bool stop;
};

static void
run_queued_jobs(calls *c)
{
    void *job;
    while ((job = mailbox_take(c->jobs)) != NULL)
        c->desc.run_job(c->desc.context, job);
}

static void
hold_end(calls *c, CURL *easy)
{
    held_end *h = bbm_calloc(1, sizeof(*h));
    h->easy = easy;
    h->until = control_now() + RESET_WAIT;
    DL_APPEND(c->held, h);
}

static void
drop_held_end(calls *c, held_end *h)
{
    DL_DELETE(c->held, h);
    free(h);
}

static void
report_held_ends(calls *c)
{
    while (c->held && control_now() >= c->held->until) {
        CURL *easy = c->held->easy;
        drop_held_end(c, c->held);
        c->desc.transfer_done(c->desc.context, easy, CURLE_OK);
    }
}

/* Returns the number of transfers still running. */
static int
drive_transfers(calls *c)
{
    int running = 0;
    int messages_left;
    CURLMsg *msg;
    curl_multi_perform(c->multi, &running);
    while ((msg = curl_multi_info_read(c->multi, &messages_left)) != NULL) {
        if (msg->msg != CURLMSG_DONE)
            continue;
        if (msg->data.result == CURLE_OK && c->desc.may_be_reset
            && c->desc.may_be_reset(c->desc.context, msg->easy_handle))
            hold_end(c, msg->easy_handle);
        else
            c->desc.transfer_done(c->desc.context, msg->easy_handle,
                                  msg->data.result);
    }
    report_held_ends(c);
    return running;
}

/* The next end that is held back is reported in time. */
static int
limit_wait_ms(const calls *c, int wait_ms)
{
    if (!c->held)
        return wait_ms;
    int64_t left_ms = (c->held->until - control_now()) / BBM_MS + 1;
    if (left_ms < 0)
        return 0;
    return left_ms < wait_ms ? (int)left_ms : wait_ms;
}

static void *
run_thread(void *context)
{
    calls *c = context;
    while (!atomic_load(&c->stop)) {
        run_queued_jobs(c);
        if (c->desc.before_poll)
            c->desc.before_poll(c->desc.context);
        drive_transfers(c);
        int wait_ms = c->desc.wait_limit_ms
                          ? c->desc.wait_limit_ms(c->desc.context)
                          : c->desc.wait_ms;
        curl_multi_poll(c->multi, NULL, 0, limit_wait_ms(c, wait_ms), NULL);
    }
    run_queued_jobs(c);
    return NULL;
}

calls *
calls_create(const calls_desc *desc)
{
    calls *c = bbm_calloc(1, sizeof(*c));
    c->desc = *desc;
    c->jobs = mailbox_create(MAILBOX_SIZE);
    c->multi = curl_multi_init();
    if (desc->idle_connections_max)
        curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
                          desc->idle_connections_max);
    if (pthread_create(&c->thread, NULL, run_thread, c) != 0)
        abort();
    return c;
}

void
calls_stop(calls *c, int waits_max, int wait_ms)
{
    atomic_store(&c->stop, true);
    curl_multi_wakeup(c->multi);
    pthread_join(c->thread, NULL);
    for (int i = 0; i < waits_max && drive_transfers(c) > 0; i++)
        curl_multi_poll(c->multi, NULL, 0, wait_ms, NULL);
}

void
calls_destroy(calls *c)
{
    if (!c)
        return;
    void *job;
    while ((job = mailbox_take(c->jobs)) != NULL)
        c->desc.free_job(job);
    held_end *h, *next;
    DL_FOREACH_SAFE(c->held, h, next)
    {
        drop_held_end(c, h);
    }
    curl_multi_cleanup(c->multi);
    mailbox_destroy(c->jobs);
    free(c);
}

void
calls_put(calls *c, void *job)
{
    mailbox_put_waiting(c->jobs, job);
    curl_multi_wakeup(c->multi);
}

void
calls_add(calls *c, CURL *easy)
{
    curl_multi_add_handle(c->multi, easy);
}

void
calls_restart(calls *c, CURL *easy, connection_use *use)
{
    connection_use_begin(use);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    calls_remove(c, easy);
    calls_add(c, easy);
}

void
calls_remove(calls *c, CURL *easy)
{
    held_end *h = NULL;
    DL_SEARCH_SCALAR(c->held, h, easy, easy);
    if (h)
        drop_held_end(c, h);
    curl_multi_remove_handle(c->multi, easy);
}

/* ---- transfers ---- */

CURL *
calls_create_easy(const char *url, const char *protocols, long connect_ms)
{
    CURL *e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, protocols);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
    curl_easy_setopt(e, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    return e;
}

void
calls_forbid_reuse(CURL *easy)
{
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

static int
on_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
    (void)purpose;
    connection_use_open(context, fd);
    return CURL_SOCKOPT_OK;
}

void
calls_track_connection(CURL *easy, connections *table, connection_use *use)
{
    connection_use_begin(use);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, use);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, connections_close);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, table);
}

void
calls_keep_if_ok(CURL *easy, const connection_use *use)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    if (status != 200 || connection_use_is_last(use))
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

bool
calls_is_partly_uploaded(CURL *easy, size_t body_len)
{
    curl_off_t uploaded = 0;
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    return uploaded < (curl_off_t)body_len;
}

/* Some answers have no body, whatever their head says. */
static bool
has_body(CURL *easy, const answer_reader *reader)
{
    char *method = NULL;
    unsigned status = answer_reader_status(reader);
    curl_easy_getinfo(easy, CURLINFO_EFFECTIVE_METHOD, &method);
    bool is_head = method && strcmp(method, "HEAD") == 0;
    return !is_head && status != 204 && status != 304;
}

bool
calls_is_unframed_success(CURL *easy, const answer_reader *reader)
{
    return has_body(easy, reader) && answer_reader_status(reader) < 300
           && answer_reader_is_unframed(reader);
}

CURLcode
calls_result(CURL *easy, CURLcode code, const answer_reader *reader,
             size_t body_len, bool ended_early)
{
    if (code != CURLE_OK)
        return code;
    if (!answer_reader_is_complete(reader, has_body(easy, reader)))
        return CURLE_WEIRD_SERVER_REPLY;
    bool unfinished =
        calls_is_unframed_success(easy, reader)
        && (ended_early || calls_is_partly_uploaded(easy, body_len));
    return unfinished ? CURLE_PARTIAL_FILE : CURLE_OK;
}

bool
calls_is_malformed(CURLcode code)
{
    switch (code) {
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_FUNCTION_ARGUMENT: /* a line that can't be split */
    case CURLE_UNSUPPORTED_PROTOCOL:  /* no status line */
    case CURLE_BAD_CONTENT_ENCODING:  /* a transfer encoding, too */
    case CURLE_FILESIZE_EXCEEDED:     /* a length beyond 63 bits */
        return true;
    default:
        return false;
    }
}

void
calls_set_request(CURL *easy, const char *method, const bbm_buf *body)
{
    if (body) {
        const char *data = body->len ? (char *)body->data : "";
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)body->len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data);
    }
    if (strcmp(method, "HEAD") == 0)
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    else
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

void
calls_append_header(struct curl_slist **lines, const char *line)
{
    struct curl_slist *appended = curl_slist_append(*lines, line);
    if (appended)
        *lines = appended;
}
