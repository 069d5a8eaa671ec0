/* Kept connections of the provider's and the watcher's calls that go silent: a
   call fails within its time, and the next one has a new connection.  Servers
   that send an answer twice, the copy where the next one is due: it isn't
   taken for that one.  And malformed answers, which say nothing. */
#include "answer_cases.h"
#include "bbm_codes.h"
#include "connections.h"
#include "control.h"
#include "provider.h"
#include "test_main.h"
#include "watcher.h"

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
/* Until bytes that were sent have surely been received; shorter than the time
   between two reports. */
#define DELIVERY_MS 50

struct server;

/* Answers request number @p n (from 1, over all connections). */
typedef void server_script(struct server *s, int fd, int n);

/* A server that answers each request with the same body, or by its script.
   Connections that were open when it was silenced take bytes and deliver none.
 */
typedef struct server {
    int listener;
    char address[BBM_NAME_SIZE];
    const char *body;
    server_script *script; /* NULL: none */
    atomic_int requests;
    char copy[1024]; /* of an answer, sent before the next one of its
                        connection */
    int copied_to;   /* socket of that connection */
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

static void
send_answer(int fd, const char *status, const char *body, char sent[1024])
{
    int len = snprintf(sent, 1024,
                       "HTTP/1.1 %s\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       status, strlen(body), body);
    (void)!send(fd, sent, (size_t)len, MSG_NOSIGNAL);
}

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
        int number = atomic_fetch_add(&s->requests, 1) + 1;
        if (s->script)
            s->script(s, fd, number);
        else
            send_answer(fd, "200 OK", s->body, answer);
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
        ck_assert_int_lt(number, CONNECTIONS_MAX);
        reader *r = malloc(sizeof(*r));
        *r = (reader){.server = s, .number = number};
        s->fds[number] = fd;
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

static void
set_up(fixture *w, const char *body)
{
    start_server(&w->server, body);
    w->control = mailbox_create(256);
    w->provider = provider_create(&(provider_desc){
        .list_address = w->server.address,
        .owner = "vm-1",
        .control = w->control,
    });
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
}

/* Silences the connections there are, and @p more that will be opened. */
static void
silence(fixture *w, int more)
{
    atomic_store(&w->server.silent,
                 atomic_load(&w->server.connections) + more);
}

/* The next result of a kind; fails if none comes within @p ms. */
static control_item *
expect_result(fixture *w, control_kind kind, int64_t ms)
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
    ck_abort_msg("no result of kind %d within %lld ms", (int)kind,
                 (long long)ms);
    return NULL;
}

/* Whether the next result of a kind says success. */
static bool
next_result(fixture *w, control_kind kind, int64_t ms)
{
    control_item *item = expect_result(w, kind, ms);
    bool succeeded = item->succeeded;
    control_item_destroy(item);
    return succeeded;
}

static void
read_list(fixture *w)
{
    provider_read_listing(w->provider);
}

static void
read_report(fixture *w)
{
    bbm_rollout_action act = {.timeout = 250 * BBM_MS};
    bbm_name_set(act.id, "i-1");
    bbm_name_set(act.address, w->server.address);
    provider_send_rollout(w->provider, &act, BBM_NEVER);
}

/* @p more connections are silent beside those there are: a call with a new
   connection meets the first of them. */
static void
check_silence_shows(const char *body, void (*call)(fixture *w),
                    control_kind kind, int64_t limit_ms, int more)
{
    fixture w;
    set_up(&w, body);
    call(&w);
    ck_assert(next_result(&w, kind, limit_ms + SLACK_MS));
    silence(&w, more);
    call(&w);
    ck_assert(!next_result(&w, kind, limit_ms + SLACK_MS));
    int before = atomic_load(&w.server.connections);
    call(&w);
    ck_assert(next_result(&w, kind, limit_ms + SLACK_MS));
    ck_assert_int_gt(atomic_load(&w.server.connections), before);
    tear_down(&w);
}

START_TEST(silent_connection_to_the_list_is_replaced)
{
    check_silence_shows("{\"instances\":[],\"next-token\":null}", read_list,
                        CONTROL_LISTING, 900, 1);
}
END_TEST

START_TEST(silent_connection_for_reports_is_replaced)
{
    check_silence_shows("{\"phase\":\"both\",\"models\":[],\"busy\":false,"
                        "\"sequence\":0,\"queued\":0,\"active\":0,"
                        "\"kv-used\":0,\"kv-total\":1,\"handles\":0}",
                        read_report, CONTROL_ROLLOUT_REPORT, 250, 0);
}
END_TEST

START_TEST(silent_connection_to_a_store_is_replaced)
{
    fixture w;
    set_up(&w, "{\"epoch\":1,\"next-token\":1,\"lost\":false,\"events\":[]}");
    provider_watch_store(w.provider, w.server.address, true);
    ck_assert(next_result(&w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    silence(&w, 0);
    while (next_result(&w, CONTROL_STORE_STATUS, 1700 + 2 * SLACK_MS))
        ;
    ck_assert(next_result(&w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    tear_down(&w);
}
END_TEST

/* ---- copies ---- */

static void
set_up_script(fixture *w, server_script *script)
{
    set_up(w, "");
    w->server.script = script;
    w->server.copied_to = -1;
}

/* Sends the copy of the last answer, if it was sent on the same connection,
   and then the next answer, of which there will be a copy. */
static void
answer_behind_copy(server *s, int fd, const char *status, const char *body)
{
    if (s->copied_to == fd)
        (void)!send(fd, s->copy, strlen(s->copy), MSG_NOSIGNAL);
    s->copied_to = fd;
    send_answer(fd, status, body, s->copy);
}

/* Sends a page with the upstream "i-N". */
static void
send_page(server *s, int fd, int n, const char *next)
{
    char body[512];
    snprintf(body, sizeof(body),
             "{\"instances\":[{\"id\":\"i-%d\",\"service\":\"s\","
             "\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":1,"
             "\"state\":\"ready\"}],\"next-token\":%s}",
             n, next);
    answer_behind_copy(s, fd, "200 OK", body);
}

static void
send_next_list(server *s, int fd, int n)
{
    send_page(s, fd, n, "null");
}

/* An upstream that only the late list has would be used, and one that it lacks
   be given up. */
START_TEST(copied_list_is_not_the_next_one)
{
    fixture w;
    set_up_script(&w, send_next_list);
    for (int n = 1; n <= 3; n++) {
        char id[BBM_NAME_SIZE];
        snprintf(id, sizeof(id), "i-%d", n);
        read_list(&w);
        control_item *item = expect_result(&w, CONTROL_LISTING, 900);
        ck_assert_uint_eq(item->listing.len, 1);
        ck_assert_str_eq(item->listing.items[0].id, id);
        control_item_destroy(item);
    }
    tear_down(&w);
}
END_TEST

static void
send_two_pages(server *s, int fd, int n)
{
    send_page(s, fd, n, n == 1 ? "\"2\"" : "null");
}

START_TEST(copied_page_is_not_the_next_one)
{
    fixture w;
    set_up_script(&w, send_two_pages);
    read_list(&w);
    control_item *item = expect_result(&w, CONTROL_LISTING, 1800);
    ck_assert_int_eq(atomic_load(&w.server.requests), 2);
    ck_assert_uint_eq(item->listing.len, 2);
    control_item_destroy(item);
    tear_down(&w);
}
END_TEST

static void
write_report(int sequence, char body[512])
{
    snprintf(body, 512,
             "{\"models\":[],\"busy\":false,\"sequence\":%d,\"born\":5}",
             sequence);
}

static void
refuse_first_report(server *s, int fd, int n)
{
    char body[512];
    write_report(n, body);
    answer_behind_copy(s, fd, n == 1 ? "503 Busy" : "200 OK", body);
}

/* A runner that answers would be taken for one that doesn't. */
START_TEST(copied_refusal_is_not_the_next_report)
{
    fixture w;
    set_up_script(&w, refuse_first_report);
    read_report(&w);
    ck_assert(!next_result(&w, CONTROL_ROLLOUT_REPORT, 250 + SLACK_MS));
    read_report(&w);
    ck_assert(next_result(&w, CONTROL_ROLLOUT_REPORT, 250 + SLACK_MS));
    tear_down(&w);
}
END_TEST

static void
copy_first_report(server *s, int fd, int n)
{
    char body[512];
    write_report(n, body);
    answer_behind_copy(s, fd, "200 OK", body);
    if (n > 1)
        s->copied_to = -1;
}

/* A copied report has a sequence number that the rollout knows.  It must not
   shift those that follow. */
START_TEST(copied_report_costs_one_call)
{
    fixture w;
    set_up_script(&w, copy_first_report);
    static const uint64_t sequences[] = {1, 1, 3, 4};
    for (size_t i = 0; i < BBM_COUNT(sequences); i++) {
        read_report(&w);
        control_item *item =
            expect_result(&w, CONTROL_ROLLOUT_REPORT, 250 + SLACK_MS);
        ck_assert_uint_eq(item->runner_report.sequence, sequences[i]);
        control_item_destroy(item);
        usleep(DELIVERY_MS * 1000);
    }
    ck_assert_int_eq(atomic_load(&w.server.connections), 2);
    tear_down(&w);
}
END_TEST

static void
fail_first_poll(server *s, int fd, int n)
{
    answer_behind_copy(s, fd, n == 1 ? "500 Failed" : "200 OK",
                       "{\"epoch\":1,\"next-token\":1}");
    if (n > 1)
        s->copied_to = -1;
}

/* A store that answers would be taken for one that failed. */
START_TEST(copied_failure_is_not_the_next_poll_of_a_store)
{
    fixture w;
    set_up_script(&w, fail_first_poll);
    provider_watch_store(w.provider, w.server.address, true);
    ck_assert(!next_result(&w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    ck_assert(next_result(&w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    ck_assert(next_result(&w, CONTROL_STORE_STATUS, 1700 + SLACK_MS));
    ck_assert_int_eq(atomic_load(&w.server.connections), 2);
    tear_down(&w);
}
END_TEST

static void
fail_first_state(server *s, int fd, int n)
{
    char body[512];
    snprintf(body, sizeof(body),
             "{\"incarnation\":\"8\",\"weights\":\"v1\",\"running\":0,"
             "\"queued\":0,\"backlog_tokens\":0,\"age_ms\":0,"
             "\"leaving\":false,\"loading\":false,\"whole\":true,"
             "\"first_event\":%d,\"last_event\":%d,\"events\":[]}",
             n, n);
    answer_behind_copy(s, fd, n == 1 ? "503 Busy" : "200 OK", body);
    if (n > 1)
        s->copied_to = -1;
}

/* An engine that reports would count one more failure. */
START_TEST(copied_failure_is_not_an_engines_next_report)
{
    char url[BBM_NAME_SIZE + 8];
    fixture w;
    set_up_script(&w, fail_first_state);
    snprintf(url, sizeof(url), "http://%s", w.server.address);
    watcher *engines = watcher_create(w.control, 100 * BBM_MS);
    watcher_watch(engines, "e", url, true);
    control_item_destroy(expect_result(&w, CONTROL_REPORT_FAILED, 1000));
    for (uint64_t n = 2; n <= 5; n++) {
        control_item *item;
        while ((item = mailbox_take(w.control)) == NULL)
            mailbox_wait(w.control, 10);
        ck_assert_int_eq(item->kind, CONTROL_REPORT);
        ck_assert_uint_eq(item->report.last_event, n);
        control_item_destroy(item);
    }
    ck_assert_int_eq(atomic_load(&w.server.connections), 2);
    watcher_destroy(engines);
    tear_down(&w);
}
END_TEST

/* ---- malformed answers ---- */

static const answer_case *sent_case;

/* The body doesn't matter; the connection ends behind it. */
static void
answer_by_case(server *s, int fd, int n)
{
    (void)s;
    (void)n;
    bbm_buf text = {0};
    answer_case_write(sent_case, "", "{\"events\":1}", &text);
    (void)!send(fd, text.data, text.len, MSG_NOSIGNAL);
    bbm_buf_free(&text);
    shutdown(fd, SHUT_WR);
}

/* True if the answer to an order for an upstream counts as one. */
static bool
is_order_answered(fixture *w)
{
    bbm_rollout_action act = {.is_order = true, .timeout = 200 * BBM_MS};
    bbm_name_set(act.id, "i-1");
    bbm_name_set(act.address, w->server.address);
    provider_send_rollout(w->provider, &act, BBM_NEVER);
    control_item *item = expect_result(w, CONTROL_ROLLOUT_ANSWER, SLACK_MS);
    bool answered = item->order_answer != BBM_ORDER_NO_ANSWER;
    control_item_destroy(item);
    return answered;
}

static bool
is_store_alive(fixture *w)
{
    provider_watch_store(w->provider, w->server.address, true);
    return next_result(w, CONTROL_STORE_STATUS, 1700 + SLACK_MS);
}

/* True if the answer to an order for an engine says that it was taken. */
static bool
is_order_taken(fixture *w)
{
    bbm_action act = {.kind = BBM_ACT_ORDER};
    watcher *engines = watcher_create(w->control, BBM_SECOND);
    bbm_name_set(act.u.order.id, "o-1");
    snprintf(act.u.order.url, sizeof(act.u.order.url), "http://%s",
             w->server.address);
    act.u.order.timeout = BBM_SECOND;
    act.u.order.not_after = BBM_NEVER;
    watcher_order(engines, &act);
    control_item *item =
        expect_result(w, CONTROL_ORDER_RESULT, 1000 + SLACK_MS);
    bool taken = item->code == BBM_OK;
    control_item_destroy(item);
    watcher_destroy(engines);
    return taken;
}

typedef bool answer_check(fixture *w);

static void
check_cases(const answer_case *cases, size_t cases_len, answer_check *check,
            bool expected)
{
    for (size_t i = 0; i < cases_len; i++) {
        fixture w;
        sent_case = &cases[i];
        set_up_script(&w, answer_by_case);
        unsigned long long before = atomic_load(&connection_count.malformed);
        bool answered = check(&w);
        bool malformed = atomic_load(&connection_count.malformed) > before;
        ck_assert_msg(answered == expected && malformed != expected,
                      "%s: answered %d, malformed %d", sent_case->name,
                      answered, malformed);
        tear_down(&w);
    }
}

/* Orders whose answer was malformed counted as carried out, and stores as
   alive. */
START_TEST(malformed_answers_to_calls_are_none)
{
    static answer_check *const checks[] = {is_order_answered, is_store_alive,
                                           is_order_taken};
    for (size_t i = 0; i < BBM_COUNT(checks); i++) {
        check_cases(malformed_answers, malformed_answers_len, checks[i],
                    false);
        check_cases(sound_answers, sound_answers_len, checks[i], true);
    }
}
END_TEST

TEST_MAIN("provider", malformed_answers_to_calls_are_none,
          copied_failure_is_not_an_engines_next_report,
          silent_connection_to_the_list_is_replaced,
          silent_connection_for_reports_is_replaced,
          silent_connection_to_a_store_is_replaced,
          copied_list_is_not_the_next_one, copied_page_is_not_the_next_one,
          copied_refusal_is_not_the_next_report, copied_report_costs_one_call,
          copied_failure_is_not_the_next_poll_of_a_store);
