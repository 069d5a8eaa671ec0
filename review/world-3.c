#include "world-3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define NAMES_MAX 32
#define LIST_LAG_MS 800
/* The list is recorded each 20 ms. */
#define LIST_PERIOD_MS 20
#define LISTS_MAX 128
#define LIST_BYTES 8192
#define PUBLISH_TIMEOUT_MS 25000
#define RUNS_MAX 4096
#define ATTEMPT_BYTES 24
#define STACK_BYTES ((size_t)256 * 1024)

typedef struct wire_name {
    char what[NAME_BYTES];
    char text[256];
} wire_name;

typedef struct list_state {
    long at;
    char text[LIST_BYTES];
} list_state;

typedef struct served {
    runner *r;
    int fd;
    size_t slot;
    int run;
} served;

world the_world;

static wire_name names[NAMES_MAX];
static size_t names_len;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec began;
static list_state lists[LISTS_MAX];
static size_t lists_next;
static pthread_mutex_t lists_lock = PTHREAD_MUTEX_INITIALIZER;
/* The last attempts that servers ran. */
static char runs[RUNS_MAX][ATTEMPT_BYTES];
static size_t runs_next;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- record and time ---- */

long
world_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - began.tv_sec) * 1000
           + (now.tv_nsec - began.tv_nsec) / 1000000;
}

void
world_sleep(int ms)
{
    struct timespec pause = {.tv_sec = ms / 1000,
                             .tv_nsec = (long)(ms % 1000) * 1000000};
    nanosleep(&pause, NULL);
}

unsigned
world_random(unsigned n)
{
    unsigned value = 0;
    if (getrandom(&value, sizeof(value), 0) != sizeof(value))
        value = (unsigned)world_ms();
    return value % n;
}

void
world_record(const char *format, ...)
{
    va_list args;
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%7ld ", world_ms());
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    pthread_mutex_unlock(&record_lock);
}

void
world_end(int status, const char *text)
{
    world_record("end %d: %s", status, text);
    pthread_mutex_lock(&record_lock);
    fflush(record_file);
    puts(text);
    fflush(stdout);
    _exit(status);
}

const char *
world_name(const char *what)
{
    for (size_t i = 0; i < names_len; i++) {
        if (strcmp(names[i].what, what) == 0)
            return names[i].text;
    }
    fprintf(stderr, "no name for %s\n", what);
    exit(2);
}

void
world_open(const char *names_file, const char *record)
{
    clock_gettime(CLOCK_MONOTONIC, &began);
    FILE *in = fopen(names_file, "re");
    record_file = fopen(record, "we");
    if (!in || !record_file) {
        fputs("can't open the names or the record\n", stderr);
        exit(2);
    }
    wire_name *n = names;
    while (names_len < NAMES_MAX
           && fscanf(in, "%63s %255[^\n]", n->what, n->text) == 2) {
        names_len++;
        n++;
    }
    fclose(in);
    const char *trouble = getenv("TROUBLE");
    the_world.trouble = !trouble || strcmp(trouble, "0") != 0;
    struct rlimit files;
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

void
world_thread(void *(*run)(void *), void *context)
{
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, STACK_BYTES);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attr, run, context) != 0)
        world_end(2, "can't start a thread");
    pthread_attr_destroy(&attr);
}

/* ---- connections ---- */

int
world_connect(const char *ip, uint16_t port, int timeout_ms)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    struct timeval limit = {.tv_sec = timeout_ms / 1000,
                            .tv_usec = (long)(timeout_ms % 1000) * 1000};
    int on = 1;
    inet_pton(AF_INET, ip, &to.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
        return fd;
    close(fd);
    return -1;
}

bool
world_send(int fd, const void *data, size_t len)
{
    const char *at = data;
    while (len) {
        ssize_t n = send(fd, at, len, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += n;
        len -= (size_t)n;
    }
    return true;
}

static bool
fill(stream *s)
{
    ssize_t n = recv(s->fd, s->buf, sizeof(s->buf), 0);
    s->at = 0;
    s->len = n > 0 ? (size_t)n : 0;
    return n > 0;
}

bool
world_read_line(stream *s, char *line, size_t size)
{
    size_t len = 0;
    for (;;) {
        if (s->at == s->len && !fill(s))
            return false;
        char c = s->buf[s->at++];
        if (c == '\n')
            break;
        if (len + 1 < size)
            line[len++] = c;
    }
    if (len && line[len - 1] == '\r')
        len--;
    line[len] = '\0';
    return true;
}

bool
world_read(stream *s, char *data, size_t len)
{
    while (len) {
        if (s->at == s->len && !fill(s))
            return false;
        size_t n = s->len - s->at < len ? s->len - s->at : len;
        if (data) {
            memcpy(data, s->buf + s->at, n);
            data += n;
        }
        s->at += n;
        len -= n;
    }
    return true;
}

static const char *
value_of(const char *line, const char *name)
{
    size_t len = strlen(name);
    if (strncasecmp(line, name, len) != 0 || line[len] != ':')
        return NULL;
    line += len + 1;
    return line + strspn(line, " ");
}

bool
world_read_head(stream *s, head *h)
{
    static _Thread_local char line[HEAD_BYTES];
    *h = (head){.length = -1};
    if (!world_read_line(s, h->first, sizeof(h->first)))
        return false;
    while (world_read_line(s, line, sizeof(line))) {
        const char *v;
        if (!line[0]) {
            h->complete = true;
            return true;
        }
        if ((v = value_of(line, world_name("attempt"))) != NULL)
            snprintf(h->attempt, sizeof(h->attempt), "%s", v);
        else if ((v = value_of(line, world_name("instance"))) != NULL)
            snprintf(h->instance, sizeof(h->instance), "%s", v);
        else if ((v = value_of(line, world_name("last-event"))) != NULL)
            h->last_event = strtol(v, NULL, 10);
        else if ((v = value_of(line, "Content-Length")) != NULL)
            h->length = strtoll(v, NULL, 10);
        else if ((v = value_of(line, "Transfer-Encoding")) != NULL)
            h->chunked = strcasecmp(v, "chunked") == 0;
    }
    return false;
}

int
world_status(const head *h)
{
    return strlen(h->first) > 9 ? (int)strtol(h->first + 9, NULL, 10) : 0;
}

static int
listen_on(const char *ip, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(port)};
    int on = 1;
    inet_pton(AF_INET, ip, &at.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0
        || listen(fd, 1024) < 0)
        world_end(2, "can't listen");
    return fd;
}

/* ---- the provider's list ---- */

static void
add_entry(const runner *r, char *text, size_t size)
{
    size_t len = strlen(text);
    len += (size_t)snprintf(
        text + len, size - len,
        "%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
        "\"zone\":\"zona-a\",\"version\":\"%s\",\"slots\":64,"
        "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":%lld",
        len ? "," : "", r->id, r->service, r->port, r->build,
        (long long)r->born);
    snprintf(text + len, size - len, "%s}",
             r->streams ? ",\"phase\":\"both\",\"models\":[{\"name\":\"m1\","
                          "\"version\":1,\"adapters\":[]}]"
                        : "");
}

/* A server that has crashed remains on the list for some seconds; those of
   the cases are back before. */
static void *
record_lists(void *context)
{
    (void)context;
    for (;;) {
        pthread_mutex_lock(&lists_lock);
        list_state *l = &lists[lists_next++ % LISTS_MAX];
        l->at = world_ms();
        l->text[0] = '\0';
        for (size_t i = 0; i < the_world.runners_len; i++)
            add_entry(&the_world.runners[i], l->text, sizeof(l->text));
        pthread_mutex_unlock(&lists_lock);
        world_sleep(LIST_PERIOD_MS);
    }
    return NULL;
}

static void
copy_list(char *text, size_t size)
{
    const list_state *found = NULL;
    long until = world_ms() - LIST_LAG_MS;
    pthread_mutex_lock(&lists_lock);
    for (size_t i = 0; i < LISTS_MAX; i++) {
        const list_state *l = &lists[i];
        if (l->text[0] && l->at <= until && (!found || l->at > found->at))
            found = l;
    }
    snprintf(text, size, "%s", found ? found->text : "");
    pthread_mutex_unlock(&lists_lock);
}

static void *
serve_list(void *context)
{
    int listener = *(int *)context;
    static char text[LIST_BYTES];
    static char body[LIST_BYTES + 256];
    static char answer[LIST_BYTES + 512];
    static stream s;
    head h;
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0)
            continue;
        s = (stream){.fd = fd};
        if (world_read_head(&s, &h)) {
            copy_list(text, sizeof(text));
            snprintf(body, sizeof(body), "%s%s%s", world_name("list-begin"),
                     text, world_name("list-end"));
            int len = snprintf(answer, sizeof(answer),
                               "HTTP/1.1 200 OK\r\n"
                               "Content-Type: application/json\r\n"
                               "Connection: close\r\n"
                               "Content-Length: %zu\r\n\r\n%s",
                               strlen(body), body);
            world_send(fd, answer, (size_t)len);
        }
        close(fd);
    }
    return NULL;
}

static void
start_list(void)
{
    static int listener;
    listener = listen_on("127.0.0.1", the_world.list_port);
    world_thread(record_lists, NULL);
    world_thread(serve_list, &listener);
}

/* ---- servers ---- */

static bool
send_report(int fd, const runner *r)
{
    char body[512];
    char answer[1024];
    int len = snprintf(
        body, sizeof(body),
        "{\"phase\":\"both\",\"models\":[{\"name\":\"m1\",\"version\":1,"
        "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,"
        "\"active\":0,\"handles\":0,\"born\":%lld}",
        (long long)r->born);
    len = snprintf(answer, sizeof(answer),
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Content-Length: %d\r\n\r\n%s",
                   len, body);
    return world_send(fd, answer, (size_t)len);
}

static bool
send_stream(int fd, const runner *r, const head *h, int run)
{
    char text[512];
    char event[256];
    int len = snprintf(text, sizeof(text),
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                       "\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n"
                       "%s: %s.%s.%d\r\n\r\n",
                       world_name("attempt"), h->attempt, world_name("stamp"),
                       r->id, r->build, run);
    if (!world_send(fd, text, (size_t)len))
        return false;
    for (long i = h->last_event + 1; i <= r->events; i++) {
        world_sleep(r->event_ms);
        if (atomic_load(&r->run) != run)
            return false;
        int size = snprintf(event, sizeof(event), "id: %ld\ndata: %s %s\n\n",
                            i, r->build, r->id);
        len = snprintf(text, sizeof(text), "%x\r\n%s\r\n", (unsigned)size,
                       event);
        if (!world_send(fd, text, (size_t)len))
            return false;
    }
    return world_send(fd, "0\r\n\r\n", 5);
}

static bool
send_plain(int fd, const runner *r, const head *h, int run)
{
    char text[2048];
    world_sleep(r->answer_ms);
    int len = snprintf(text, sizeof(text),
                       "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n%s: %s\r\n"
                       "%s: %s.%d\r\n\r\n%0800d",
                       world_name("attempt"), h->attempt, world_name("stamp"),
                       r->id, run, 0);
    return world_send(fd, text, (size_t)len);
}

static bool
send_misdirected(int fd, const runner *r)
{
    char text[256];
    int len = snprintf(text, sizeof(text),
                       "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n"
                       "Content-Length: 0\r\n\r\n",
                       world_name("other-instance"), r->id);
    return world_send(fd, text, (size_t)len);
}

static void
record_run(const char *attempt)
{
    pthread_mutex_lock(&runs_lock);
    snprintf(runs[runs_next++ % RUNS_MAX], ATTEMPT_BYTES, "%.23s", attempt);
    pthread_mutex_unlock(&runs_lock);
}

bool
world_has_run(const char *attempt)
{
    bool found = false;
    pthread_mutex_lock(&runs_lock);
    for (size_t i = 0; i < RUNS_MAX && !found; i++)
        found = strcmp(runs[i], attempt) == 0;
    pthread_mutex_unlock(&runs_lock);
    return found;
}

static bool
serve_request(stream *s, const runner *r, int run)
{
    head h;
    if (!world_read_head(s, &h))
        return false;
    if (h.length > 0 && !world_read(s, NULL, (size_t)h.length))
        return false;
    if (strstr(h.first, world_name("report-path")))
        return send_report(s->fd, r);
    if (h.instance[0] && strcmp(h.instance, r->id) != 0)
        return send_misdirected(s->fd, r);
    record_run(h.attempt);
    world_record("run %s at %s (%s), after event %ld", h.attempt, r->id,
                 r->build, h.last_event);
    return r->streams ? send_stream(s->fd, r, &h, run)
                      : send_plain(s->fd, r, &h, run);
}

static void *
serve_connection(void *context)
{
    served v = *(served *)context;
    free(context);
    stream *s = calloc(1, sizeof(*s));
    s->fd = v.fd;
    while (atomic_load(&v.r->run) == v.run && serve_request(s, v.r, v.run))
        ;
    free(s);
    pthread_mutex_lock(&v.r->lock);
    v.r->fds[v.slot] = -1;
    close(v.fd);
    pthread_mutex_unlock(&v.r->lock);
    return NULL;
}

static void
add_connection(runner *r, int fd, int run)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    size_t slot = 0;
    pthread_mutex_lock(&r->lock);
    while (slot < CONNECTIONS_MAX && r->fds[slot] >= 0)
        slot++;
    bool taken = slot < CONNECTIONS_MAX && atomic_load(&r->run) == run;
    if (taken)
        r->fds[slot] = fd;
    pthread_mutex_unlock(&r->lock);
    if (!taken) {
        close(fd);
        return;
    }
    served *v = malloc(sizeof(*v));
    *v = (served){.r = r, .fd = fd, .slot = slot, .run = run};
    world_thread(serve_connection, v);
}

static void *
accept_connections(void *context)
{
    runner *r = context;
    int run = atomic_load(&r->run);
    for (;;) {
        int fd = accept(r->listener, NULL, NULL);
        if (fd >= 0)
            add_connection(r, fd, run);
        else if (atomic_load(&r->run) != run)
            return NULL;
    }
}

void
runner_start(runner *r)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (!atomic_load(&r->run)) {
        pthread_mutex_init(&r->lock, NULL);
        for (size_t i = 0; i < CONNECTIONS_MAX; i++)
            r->fds[i] = -1;
    }
    r->born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    r->listener = listen_on("127.0.0.1", r->port);
    atomic_fetch_add(&r->run, 1);
    atomic_store(&r->up, true);
    world_record("start %s, build %s", r->id, r->build);
    world_thread(accept_connections, r);
}

void
runner_crash(runner *r)
{
    world_record("crash %s, build %s", r->id, r->build);
    atomic_store(&r->up, false);
    atomic_fetch_add(&r->run, 1);
    shutdown(r->listener, SHUT_RDWR);
    close(r->listener);
    pthread_mutex_lock(&r->lock);
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (r->fds[i] >= 0)
            shutdown(r->fds[i], SHUT_RDWR);
    }
    pthread_mutex_unlock(&r->lock);
}

static runner *
add_runner(const char *service)
{
    size_t i = the_world.runners_len++;
    runner *r = &the_world.runners[i];
    snprintf(r->id, sizeof(r->id), "i-%s%zu", service, i);
    snprintf(r->service, sizeof(r->service), "%s", service);
    snprintf(r->build, sizeof(r->build), "v1");
    r->port = (uint16_t)(the_world.servers_port + i);
    return r;
}

runner *
world_add_plain(const char *service, int answer_ms)
{
    runner *r = add_runner(service);
    r->answer_ms = answer_ms;
    return r;
}

runner *
world_add_streams(const char *service, int events, int event_ms)
{
    runner *r = add_runner(service);
    r->streams = true;
    r->events = events;
    r->event_ms = event_ms;
    return r;
}

/* ---- set-up ---- */

static uint16_t
port_of(const char *text)
{
    return (uint16_t)strtoul(text, NULL, 10);
}

void
world_setup(char **args, int len)
{
    the_world.list_port = port_of(args[1]);
    the_world.servers_port = port_of(args[2]);
    the_world.front_port = port_of(args[3]);
    the_world.control_port = port_of(args[4]);
    the_world.ready_port = port_of(args[5]);
    the_world.directory_port = port_of(args[6]);
    the_world.key = args[7];
    for (int i = 8; i < len && the_world.vms_len < VMS_MAX; i++)
        snprintf(the_world.vms[the_world.vms_len++], NAME_BYTES, "%s",
                 args[i]);
}

void
world_serve(void)
{
    for (size_t i = 0; i < the_world.runners_len; i++)
        runner_start(&the_world.runners[i]);
    start_list();
    puts("listening");
    fflush(stdout);
}

/* ---- the operator ---- */

static int
call(const char *ip, uint16_t port, const char *request, size_t len)
{
    int status = 0;
    int fd = world_connect(ip, port, 1500);
    if (fd < 0)
        return 0;
    stream *s = calloc(1, sizeof(*s));
    head h;
    s->fd = fd;
    if (world_send(fd, request, len) && world_read_head(s, &h))
        status = world_status(&h);
    free(s);
    close(fd);
    return status;
}

static bool
all_ready(void)
{
    char request[256];
    int len = snprintf(request, sizeof(request),
                       "GET %s HTTP/1.1\r\nHost: vm\r\n"
                       "Connection: close\r\n\r\n",
                       world_name("ready-path"));
    for (size_t i = 0; i < the_world.vms_len; i++) {
        if (call(the_world.vms[i], the_world.ready_port, request, (size_t)len)
            != 200)
            return false;
    }
    return true;
}

void
world_publish(const char *config_file)
{
    static char body[65536];
    static char request[sizeof(body) + 512];
    FILE *in = fopen(config_file, "re");
    size_t size = in ? fread(body, 1, sizeof(body) - 1, in) : 0;
    if (in)
        fclose(in);
    int len = snprintf(request, sizeof(request),
                       "PUT %s HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       world_name("config-path"), size, body);
    bool published = false;
    size_t next = 0;
    while (world_ms() < PUBLISH_TIMEOUT_MS) {
        const char *ip = the_world.vms[next++ % the_world.vms_len];
        published =
            published
            || call(ip, the_world.control_port, request, (size_t)len) == 200;
        if (published && all_ready()) {
            world_record("configuration published, all daemons are ready");
            return;
        }
        world_sleep(200);
    }
    world_end(2, "the daemons didn't become ready");
}
