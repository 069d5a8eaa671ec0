/** @file
 *  Stand-ins for the review's scripts: the provider's list, its servers, and
 *  clients.  All names of headers come from the scripts.
 *
 *      standin ports N
 *          prints N free ports of the loopback interface
 *      standin serve DIR ADDRESS LIST-PORT SERVER-PORT...
 *          serves DIR/list on the first port; on the others it is the servers
 *          a, b, c, ...
 *      standin send ADDRESS PORT COUNT SPACING-MS TIMEOUT-MS TEMPLATE OUT \
 *              [KEPT-MS]
 *          sends COUNT requests made from the file TEMPLATE, one each
 *          SPACING-MS, with @ID@ and @N@ replaced; writes the bodies to
 *          OUT-N.body and prints a line for each: number, id, status, how the
 *          answer ended, and the times of its start and its end.  With KEPT-MS
 *          each client has sent another request on its connection so long
 *          before, of which nothing is printed
 *
 *  DIR/names has four lines, the names of the headers for: id of a request,
 *  signature of an answer, event after which a stream goes on, and a header
 *  whose value is recorded.  DIR/report answers targets that begin with "/-/".
 *  DIR/work-ms has the time that a request takes.  A server answers targets
 *  with "/stream/" by eight events, any other one by 60 times its letter.
 *  While DIR/hold exists, the first run of an id waits for DIR/release, and
 *  its answer then breaks off.  If DIR/endless exists, it has a number of
 * bytes per second: streams get bytes at that rate that never end.  Once
 * DIR/gone-a exists, server a has ended: it resets its connections and refuses
 * new ones.  Each run is a line of DIR/runs: time, server, target, id, number
 * of the run, event after which it goes on, and length of the recorded header,
 * whose value is in DIR/value-ID.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_BYTES ((size_t)256 * 1024)
#define TEXT_BYTES 256
#define PATH_BYTES 512
#define IDS_MAX 4096
#define PORTS_MAX 64
#define EVENTS 8
#define EVENTS_BEFORE_BREAK 2
#define BODY_BYTES 60
#define BODY_BYTES_BEFORE_BREAK 20
#define SLICE_MS 2
#define CONNECT_QUEUE 512
#define ENDLESS_BLOCK_BYTES 16384

typedef struct names {
    char id[TEXT_BYTES];
    char signature[TEXT_BYTES];
    char last_event[TEXT_BYTES];
    char recorded[TEXT_BYTES];
} names;

typedef struct seen_id {
    char id[TEXT_BYTES];
    unsigned runs;
} seen_id;

typedef struct listener {
    const char *dir;
    int socket;
    char name; /* 0: the list */
} listener;

typedef struct connection {
    const listener *at;
    int socket;
} connection;

typedef struct message {
    char data[BUFFER_BYTES];
    size_t len;
    size_t head_len; /* with the blank line */
} message;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static names header_names;
static seen_id seen[IDS_MAX];
static size_t seen_len;

/* ---- small things ---- */

static int64_t
now_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
sleep_ms(int64_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&ts, NULL);
}

static void
fail(const char *text)
{
    perror(text);
    exit(EXIT_FAILURE);
}

static bool
has_file(const char *dir, const char *name)
{
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "%s/%s", dir, name);
    return access(path, F_OK) == 0;
}

/* Returns the length; a missing file is empty. */
static size_t
read_file(const char *dir, const char *name, char *text, size_t size)
{
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "%s%s%s", dir, dir[0] ? "/" : "", name);
    FILE *f = fopen(path, "rb");
    size_t len = f ? fread(text, 1, size - 1, f) : 0;
    if (f)
        fclose(f);
    text[len] = '\0';
    return len;
}

static bool
send_all(int fd, const char *data, size_t len)
{
    while (len) {
        ssize_t n = send(fd, data, len, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data += n;
        len -= (size_t)n;
    }
    return true;
}

static bool
send_text(int fd, const char *text)
{
    return send_all(fd, text, strlen(text));
}

static struct sockaddr_in
address_of(const char *ip, long port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    if (inet_pton(AF_INET, ip, &address.sin_addr) != 1)
        fail(ip);
    address.sin_port = htons((uint16_t)port);
    return address;
}

/* Copies the value of a header; "" if it is missing. */
static void
header_value(const message *m, const char *name, char *value, size_t size)
{
    size_t name_len = strlen(name);
    const char *line = strstr(m->data, "\r\n");
    const char *end = m->data + m->head_len - 2;
    value[0] = '\0';
    while (line && line < end) {
        line += 2;
        const char *next = strstr(line, "\r\n");
        if (name_len && next && strncasecmp(line, name, name_len) == 0
            && line[name_len] == ':') {
            const char *text = line + name_len + 1;
            text += strspn(text, " ");
            size_t len = (size_t)(next - text);
            len = len < size - 1 ? len : size - 1;
            memcpy(value, text, len);
            value[len] = '\0';
            return;
        }
        line = next;
    }
}

static long
header_number(const message *m, const char *name, long missing)
{
    char value[TEXT_BYTES];
    header_value(m, name, value, sizeof(value));
    return value[0] ? strtol(value, NULL, 10) : missing;
}

/* Reads until the head is complete.  False at an end or a time-out. */
static bool
read_head(int fd, message *m)
{
    for (;;) {
        m->data[m->len] = '\0';
        const char *end = strstr(m->data, "\r\n\r\n");
        if (end) {
            m->head_len = (size_t)(end - m->data) + 4;
            return true;
        }
        if (m->len + 1 >= sizeof(m->data))
            return false;
        ssize_t n =
            recv(fd, m->data + m->len, sizeof(m->data) - 1 - m->len, 0);
        if (n <= 0)
            return false;
        m->len += (size_t)n;
    }
}

static bool
read_more(int fd, message *m)
{
    if (m->len + 1 >= sizeof(m->data))
        return false;
    ssize_t n = recv(fd, m->data + m->len, sizeof(m->data) - 1 - m->len, 0);
    if (n <= 0)
        return false;
    m->len += (size_t)n;
    m->data[m->len] = '\0';
    return true;
}

/* ---- servers ---- */

static unsigned
count_run(const char *id)
{
    for (size_t i = 0; i < seen_len; i++) {
        if (strcmp(seen[i].id, id) == 0)
            return ++seen[i].runs;
    }
    if (seen_len == IDS_MAX)
        return 1;
    snprintf(seen[seen_len].id, sizeof(seen[seen_len].id), "%s", id);
    seen[seen_len].runs = 1;
    seen_len++;
    return 1;
}

static unsigned
record_run(const listener *at, const message *m, const char *target,
           const char *id, long last_event)
{
    char *value = calloc(1, BUFFER_BYTES);
    char path[PATH_BYTES];
    if (!value)
        fail("calloc");
    header_value(m, header_names.recorded, value, BUFFER_BYTES);
    pthread_mutex_lock(&lock);
    unsigned run = count_run(id);
    snprintf(path, sizeof(path), "%s/runs", at->dir);
    FILE *f = fopen(path, "a");
    if (f) {
        fprintf(f, "%lld %c %s %s %u %ld %zu\n", (long long)now_ms(), at->name,
                target, id, run, last_event, strlen(value));
        fclose(f);
    }
    snprintf(path, sizeof(path), "%s/value-%s", at->dir, id);
    f = fopen(path, "w");
    if (f) {
        fputs(value, f);
        fclose(f);
    }
    pthread_mutex_unlock(&lock);
    free(value);
    return run;
}

static bool
has_gone(const listener *at)
{
    char name[] = {'g', 'o', 'n', 'e', '-', at->name, '\0'};
    return has_file(at->dir, name);
}

static void
reset_at_close(int fd)
{
    struct linger now = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* Returns false if the server has gone meanwhile. */
static bool
work(const listener *at, bool held)
{
    char text[TEXT_BYTES];
    read_file(at->dir, "work-ms", text, sizeof(text));
    int64_t until = now_ms() + strtol(text, NULL, 10);
    while (held ? !has_file(at->dir, "release") : now_ms() < until) {
        if (has_gone(at))
            return false;
        sleep_ms(SLICE_MS);
    }
    return true;
}

static bool
send_chunk(int fd, const char *text, size_t len)
{
    char size[TEXT_BYTES];
    snprintf(size, sizeof(size), "%zx\r\n", len);
    return send_text(fd, size) && send_all(fd, text, len)
           && send_text(fd, "\r\n");
}

/* Sends bytes until the other side closes. */
static void
answer_without_end(const listener *at, int fd, const char *head)
{
    static char block[ENDLESS_BLOCK_BYTES];
    char text[TEXT_BYTES];
    read_file(at->dir, "endless", text, sizeof(text));
    int64_t rate = strtol(text, NULL, 10);
    int64_t start = now_ms();
    int64_t sent = 0;
    if (!send_text(fd, head)
        || !send_text(fd, "Content-Type: text/event-stream\r\n\r\n"))
        return;
    while (send_all(fd, block, sizeof(block))) {
        sent += (int64_t)sizeof(block);
        int64_t ahead = sent * 1000 / (rate > 0 ? rate : 1);
        if (start + ahead > now_ms())
            sleep_ms(start + ahead - now_ms());
    }
}

/* Returns true if the connection can be used again. */
static bool
answer_stream(int fd, const char *head, long last_event, bool breaks)
{
    char event[TEXT_BYTES];
    long last = breaks ? last_event + EVENTS_BEFORE_BREAK : EVENTS;
    bool sent = send_text(fd, head)
                && send_text(fd, "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n");
    for (long i = last_event + 1; i <= last && sent; i++) {
        int len =
            snprintf(event, sizeof(event), "id: %ld\ndata: piece\n\n", i);
        sent = send_chunk(fd, event, (size_t)len);
    }
    if (breaks) {
        send_chunk(fd, "id: ", 4);
        return false;
    }
    return sent && send_text(fd, "0\r\n\r\n");
}

static bool
answer_body(int fd, const char *head, char letter, bool breaks)
{
    char body[BODY_BYTES];
    char length[TEXT_BYTES];
    memset(body, letter, sizeof(body));
    snprintf(length, sizeof(length),
             "Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
             BODY_BYTES);
    bool sent =
        send_text(fd, head) && send_text(fd, length)
        && send_all(fd, body, breaks ? BODY_BYTES_BEFORE_BREAK : BODY_BYTES);
    return sent && !breaks;
}

static bool
answer_file(const listener *at, int fd, const char *name)
{
    char head[TEXT_BYTES];
    char *text = calloc(1, BUFFER_BYTES);
    if (!text)
        fail("calloc");
    size_t len = read_file(at->dir, name, text, BUFFER_BYTES);
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             len);
    bool sent = send_text(fd, head) && send_all(fd, text, len);
    free(text);
    return sent;
}

static bool
answer(const listener *at, int fd, const message *m)
{
    char target[TEXT_BYTES] = "";
    char id[TEXT_BYTES];
    char head[4 * TEXT_BYTES];
    if (!at->name)
        return answer_file(at, fd, "list");
    const char *start = strchr(m->data, ' ');
    if (start)
        snprintf(target, sizeof(target), "%.*s", (int)strcspn(start + 1, " "),
                 start + 1);
    if (strncmp(target, "/-/", 3) == 0)
        return answer_file(at, fd, "report");
    header_value(m, header_names.id, id, sizeof(id));
    long last_event = header_number(m, header_names.last_event, 0);
    unsigned run = record_run(at, m, target, id, last_event);
    bool held = run == 1 && has_file(at->dir, "hold");
    if (!work(at, held)) {
        reset_at_close(fd);
        return false;
    }
    snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %c.%u\r\n",
             header_names.id, id, header_names.signature, at->name, run);
    if (strstr(target, "/stream/") && has_file(at->dir, "endless")) {
        answer_without_end(at, fd, head);
        return false;
    }
    return strstr(target, "/stream/")
               ? answer_stream(fd, head, last_event, held)
               : answer_body(fd, head, at->name, held);
}

static void *
serve_connection(void *context)
{
    connection *c = context;
    message *m = calloc(1, sizeof(*m));
    if (!m)
        fail("calloc");
    while (read_head(c->socket, m)) {
        size_t whole =
            m->head_len + (size_t)header_number(m, "Content-Length", 0);
        while (m->len < whole && read_more(c->socket, m))
            ;
        if (m->len < whole || !answer(c->at, c->socket, m))
            break;
        m->len -= whole;
        memmove(m->data, m->data + whole, m->len);
    }
    close(c->socket);
    free(m);
    free(c);
    return NULL;
}

static void *
accept_connections(void *context)
{
    listener *at = context;
    for (;;) {
        int fd = accept(at->socket, NULL, NULL);
        if (fd < 0)
            return NULL;
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (at->name && has_gone(at)) {
            reset_at_close(fd);
            close(fd);
            continue;
        }
        connection *c = calloc(1, sizeof(*c));
        pthread_t thread;
        if (!c)
            fail("calloc");
        c->at = at;
        c->socket = fd;
        if (pthread_create(&thread, NULL, serve_connection, c) != 0)
            fail("pthread_create");
        pthread_detach(thread);
    }
}

static int
listen_at(const char *ip, long port)
{
    struct sockaddr_in address = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0
        || listen(fd, CONNECT_QUEUE) < 0)
        fail("listen");
    return fd;
}

static void
read_names(const char *dir)
{
    char text[4 * TEXT_BYTES];
    read_file(dir, "names", text, sizeof(text));
    char *const fields[] = {header_names.id, header_names.signature,
                            header_names.last_event, header_names.recorded};
    const char *line = text;
    for (size_t i = 0; i < sizeof(fields) / sizeof(*fields); i++) {
        size_t len = strcspn(line, "\n");
        snprintf(fields[i], TEXT_BYTES, "%.*s", (int)len, line);
        line += len + (line[len] == '\n');
    }
}

static int
serve(int argc, char **argv)
{
    static listener listeners[PORTS_MAX];
    pthread_t thread = 0;
    read_names(argv[0]);
    for (int i = 2; i < argc && i < PORTS_MAX; i++) {
        listener *at = &listeners[i];
        at->dir = argv[0];
        at->socket = listen_at(argv[1], strtol(argv[i], NULL, 10));
        at->name = i == 2 ? '\0' : (char)('a' + i - 3);
        if (pthread_create(&thread, NULL, accept_connections, at) != 0)
            fail("pthread_create");
    }
    pthread_join(thread, NULL);
    return EXIT_SUCCESS;
}

/* ---- clients ---- */

typedef struct client {
    struct sockaddr_in address;
    long number;
    long timeout_ms;
    long kept_ms; /* 0: a new connection */
    int64_t start_at;
    const char *request_template;
    const char *out;
    pthread_t thread;
} client;

static void
fill_template(const client *c, const char *id, char *text, size_t size)
{
    char number[TEXT_BYTES];
    size_t len = 0;
    snprintf(number, sizeof(number), "%ld", c->number);
    for (const char *at = c->request_template; *at && len + 1 < size;) {
        const char *with = NULL;
        size_t skip = 1;
        if (strncmp(at, "@ID@", 4) == 0) {
            with = id;
            skip = 4;
        }
        else if (strncmp(at, "@N@", 3) == 0) {
            with = number;
            skip = 3;
        }
        if (with)
            len += (size_t)snprintf(text + len, size - len, "%s", with);
        else
            text[len++] = *at;
        at += skip;
    }
    text[len < size ? len : size - 1] = '\0';
}

/* Appends the chunks that have arrived to the body.  Returns 1 at the end of
   the answer, 0 if more must be read, -1 if it is no chunked body. */
static int
decode_chunks(const message *m, size_t *pos, FILE *body)
{
    for (;;) {
        const char *at = m->data + *pos;
        const char *line_end = strstr(at, "\r\n");
        char *size_end = NULL;
        if (!line_end)
            return 0;
        unsigned long size = strtoul(at, &size_end, 16);
        if (size_end == at)
            return -1;
        size_t head = (size_t)(line_end - at) + 2;
        if (m->len - *pos < head + size + 2)
            return 0;
        fwrite(at + head, 1, size, body);
        *pos += head + size + 2;
        if (!size)
            return 1;
    }
}

static const char *
receive_answer(int fd, message *m, long *status, FILE *body)
{
    if (!read_head(fd, m))
        return m->len ? "cut" : "none";
    const char *space = strchr(m->data, ' ');
    *status = space ? strtol(space, NULL, 10) : 0;
    long length = header_number(m, "Content-Length", -1);
    char encoding[TEXT_BYTES];
    header_value(m, "Transfer-Encoding", encoding, sizeof(encoding));
    size_t pos = m->head_len;
    if (encoding[0]) {
        int end;
        while ((end = decode_chunks(m, &pos, body)) == 0) {
            if (!read_more(fd, m))
                return "cut";
        }
        return end > 0 ? "complete" : "cut";
    }
    bool open = true;
    while (open && (length < 0 || m->len < pos + (size_t)length))
        open = read_more(fd, m);
    size_t len = m->len - pos;
    if (length >= 0 && len > (size_t)length)
        len = (size_t)length;
    fwrite(m->data + pos, 1, len, body);
    return length < 0 || len == (size_t)length ? "complete" : "cut";
}

static void
wait_until(int64_t at)
{
    int64_t wait = at - now_ms();
    if (wait > 0)
        sleep_ms(wait);
}

static void
create_request(const client *c, const char *prefix, char *id, char *request)
{
    snprintf(id, TEXT_BYTES, "%s%012llx%04lx", prefix,
             (unsigned long long)now_ms(), (unsigned long)c->number);
    fill_template(c, id, request, BUFFER_BYTES);
}

static void *
run_client(void *context)
{
    client *c = context;
    char id[TEXT_BYTES];
    char path[PATH_BYTES];
    long status = 0;
    const char *end = "unconnected";
    message *m = calloc(1, sizeof(*m));
    char *request = calloc(1, BUFFER_BYTES);
    snprintf(path, sizeof(path), "%s-%ld.body", c->out, c->number);
    FILE *body = fopen(path, "wb");
    if (!m || !request || !body)
        fail(path);
    wait_until(c->start_at - c->kept_ms);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval timeout = {.tv_sec = c->timeout_ms / 1000,
                              .tv_usec = c->timeout_ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    bool connected =
        connect(fd, (struct sockaddr *)&c->address, sizeof(c->address)) == 0;
    if (connected && c->kept_ms) {
        FILE *unused = tmpfile();
        create_request(c, "k", id, request);
        connected =
            unused && send_text(fd, request)
            && strcmp(receive_answer(fd, m, &status, unused), "complete") == 0;
        if (unused)
            fclose(unused);
        memset(m, 0, sizeof(*m));
        status = 0;
    }
    wait_until(c->start_at);
    int64_t started_at = now_ms();
    create_request(c, "", id, request);
    if (connected && send_text(fd, request))
        end = receive_answer(fd, m, &status, body);
    close(fd);
    fclose(body);
    pthread_mutex_lock(&lock);
    printf("%ld %s %ld %s %lld %lld\n", c->number, id, status, end,
           (long long)started_at, (long long)now_ms());
    pthread_mutex_unlock(&lock);
    free(request);
    free(m);
    return NULL;
}

static int
send_requests(int argc, char **argv)
{
    static char request_template[BUFFER_BYTES];
    long count = strtol(argv[2], NULL, 10);
    long spacing = strtol(argv[3], NULL, 10);
    read_file("", argv[5], request_template, sizeof(request_template));
    client *all = calloc((size_t)count + 1, sizeof(*all));
    long kept_ms = argc > 7 ? strtol(argv[7], NULL, 10) : 0;
    int64_t start = now_ms() + kept_ms;
    if (!all)
        fail("calloc");
    for (long i = 0; i < count; i++) {
        client *c = &all[i];
        c->address = address_of(argv[0], strtol(argv[1], NULL, 10));
        c->number = i;
        c->timeout_ms = strtol(argv[4], NULL, 10);
        c->kept_ms = kept_ms;
        c->start_at = start + i * spacing;
        c->request_template = request_template;
        c->out = argv[6];
        if (pthread_create(&c->thread, NULL, run_client, c) != 0)
            fail("pthread_create");
    }
    for (long i = 0; i < count; i++)
        pthread_join(all[i].thread, NULL);
    free(all);
    return EXIT_SUCCESS;
}

/* ---- ports ---- */

static int
print_ports(long count)
{
    int sockets[PORTS_MAX];
    for (long i = 0; i < count && i < PORTS_MAX; i++) {
        struct sockaddr_in address = address_of("127.0.0.1", 0);
        socklen_t len = sizeof(address);
        sockets[i] = socket(AF_INET, SOCK_STREAM, 0);
        if (bind(sockets[i], (struct sockaddr *)&address, len) < 0
            || getsockname(sockets[i], (struct sockaddr *)&address, &len) < 0)
            fail("bind");
        printf("%d\n", ntohs(address.sin_port));
    }
    for (long i = 0; i < count && i < PORTS_MAX; i++)
        close(sockets[i]);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc == 3 && strcmp(argv[1], "ports") == 0)
        return print_ports(strtol(argv[2], NULL, 10));
    if (argc > 4 && strcmp(argv[1], "serve") == 0)
        return serve(argc - 2, argv + 2);
    if ((argc == 9 || argc == 10) && strcmp(argv[1], "send") == 0)
        return send_requests(argc - 2, argv + 2);
    fputs("usage: see the head of standin.c\n", stderr);
    return EXIT_FAILURE;
}
