/** @file
 *  Clients and upstreams that make a daemon hold bytes, for the memory_*
 *  scenarios of process.sh.
 *
 *      memory_load bodies IP PORT COUNT BYTES chunked|declared PIECE SECONDS
 *      memory_load readers IP PORT COUNT PATH SECONDS
 *      memory_load paced IP PORT PATH BYTES RATE...
 *      memory_load heads IP PORT COUNT SECONDS
 *      memory_load askers IP PORT COUNT PATH NOTES SECONDS
 *      memory_load callers IP PORT COUNT PATH
 *      memory_load prompts IP PORT COUNT PARTS SECONDS
 *      memory_load upstream PORT COUNT BYTES length|stream SECONDS
 *
 *  `bodies` sends COUNT requests at once, each with a body of BYTES less one
 *  byte, in chunks of PIECE bytes or in pieces of PIECE bytes after a declared
 *  length (0: whole), and leaves them unfinished.  `readers` sends COUNT
 *  requests for PATH and reads nothing.  `paced` sends a request for PATH for
 *  each RATE, reads its answer of BYTES at so many bytes a second, and exits
 *  with 0 if all were whole.  `heads` keeps COUNT connections open with the
 *  beginning of a request, adds a byte to each every second, and opens those
 *  that end again at once.  `askers` keeps COUNT connections open, with one
 *  whole request for PATH on each, which has a header of NOTES bytes, and
 * opens those that end again, some 200 a second.  `callers` sends COUNT
 * requests one after the other, each on a new connection, and exits with 0 if
 * each was answered with 200 within a second.  `prompts` sends COUNT requests
 * whose prompts have PARTS parts, without the last byte of their bodies.
 * `upstream` listens on COUNT ports from PORT and answers each request with
 * BYTES. "held" is printed once all bytes are sent or their connections have
 * ended. All end after SECONDS.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define SOCKETS_MAX 1024
#define HEAD_SIZE 1024
#define BLOCK_BYTES ((size_t)64 * 1024)
/* Small receive buffers, so that what isn't read stays with the daemon. */
#define RECEIVE_BYTES 4096

typedef struct client {
    int fd; /* -1: ended */
    char head[HEAD_SIZE];
    size_t head_len;
    size_t pos;      /* bytes sent of the head and of what follows it */
    size_t wire_len; /* all bytes that are to be sent */
    size_t answer_len;
    char answer[16]; /* begin of the answer */
} client;

typedef struct body_shape {
    size_t unit_len; /* bytes on the wire of one chunk, or BLOCK_BYTES */
    size_t piece;    /* longest write; 0: unlimited */
    char *unit;      /* repeated: the wire bytes after the head */
    size_t unit_copies;
} body_shape;

static double
now_s(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static struct sockaddr_in
address_of(const char *ip, int port)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    if (inet_pton(AF_INET, ip, &to.sin_addr) != 1) {
        fprintf(stderr, "not an address: %s\n", ip);
        exit(2);
    }
    return to;
}

static void *
allocate(size_t size)
{
    void *p = calloc(1, size);
    if (!p)
        exit(1);
    return p;
}

static void
end_client(client *c)
{
    if (c->fd >= 0)
        close(c->fd);
    c->fd = -1;
}

static int
connect_client(const struct sockaddr_in *to, bool reads)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int bytes = RECEIVE_BYTES;
    if (fd >= 0 && !reads)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    if (fd < 0 || connect(fd, (const void *)to, sizeof(*to)) < 0) {
        if (fd >= 0)
            close(fd);
        return -1;
    }
    return fd;
}

/* Sends what the socket takes; a body repeats its unit. */
static void
send_some(client *c, const body_shape *shape)
{
    while (c->pos < c->wire_len) {
        const char *from = c->head + c->pos;
        size_t len = c->head_len - c->pos;
        if (c->pos >= c->head_len) {
            size_t at = (c->pos - c->head_len) % shape->unit_len;
            from = shape->unit + at;
            len = shape->unit_len * shape->unit_copies - at;
            if (len > c->wire_len - c->pos)
                len = c->wire_len - c->pos;
            if (shape->piece && len > shape->piece)
                len = shape->piece;
        }
        ssize_t n = send(c->fd, from, len, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EAGAIN)
            return;
        if (n <= 0) {
            end_client(c);
            return;
        }
        c->pos += (size_t)n;
        if (shape && shape->piece && c->pos > c->head_len)
            return; /* the others have their turn */
    }
}

static void
read_some(client *c)
{
    char bytes[4096];
    ssize_t n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (n < 0 && errno == EAGAIN)
        return;
    if (n <= 0) {
        end_client(c);
        return;
    }
    for (ssize_t i = 0; i < n && c->answer_len + 1 < sizeof(c->answer); i++)
        c->answer[c->answer_len++] = bytes[i];
}

static void
print_held(const client *clients, size_t count)
{
    size_t open = 0;
    size_t refused = 0;
    for (size_t i = 0; i < count; i++) {
        open += clients[i].fd >= 0;
        refused += strncmp(clients[i].answer, "HTTP/1.1 503", 12) == 0;
    }
    printf("held: %zu of %zu connections open, %zu answered with 503\n", open,
           count, refused);
    fflush(stdout);
}

static int
run_clients(client *clients, size_t count, const body_shape *shape, bool reads,
            double seconds)
{
    struct pollfd fds[SOCKETS_MAX];
    double end = now_s() + seconds;
    bool told = false;
    while (now_s() < end) {
        bool sending = false;
        for (size_t i = 0; i < count; i++) {
            const client *c = &clients[i];
            short events = reads ? POLLIN : 0;
            if (c->fd >= 0 && c->pos < c->wire_len) {
                events |= POLLOUT;
                sending = true;
            }
            fds[i] = (struct pollfd){.fd = c->fd, .events = events};
        }
        if (!sending && !told)
            print_held(clients, count);
        told = told || !sending;
        if (poll(fds, (nfds_t)count, 100) <= 0)
            continue;
        for (size_t i = 0; i < count; i++) {
            if (fds[i].revents & POLLIN)
                read_some(&clients[i]);
            else if (fds[i].revents & (POLLERR | POLLHUP))
                end_client(&clients[i]);
            if (clients[i].fd >= 0 && fds[i].revents & POLLOUT)
                send_some(&clients[i], shape);
        }
    }
    print_held(clients, count);
    return 0;
}

/* ---- bodies ---- */

static body_shape
chunk_shape(size_t piece)
{
    char head[32];
    int head_len = snprintf(head, sizeof(head), "%zx\r\n", piece);
    body_shape s = {.unit_len = (size_t)head_len + piece + 2};
    s.unit_copies = 1 + BLOCK_BYTES / s.unit_len;
    s.unit = allocate(s.unit_len * s.unit_copies);
    for (size_t i = 0; i < s.unit_copies; i++) {
        char *at = s.unit + i * s.unit_len;
        memcpy(at, head, (size_t)head_len);
        memset(at + head_len, 'x', piece);
        at[(size_t)head_len + piece] = '\r';
        at[(size_t)head_len + piece + 1] = '\n';
    }
    return s;
}

static body_shape
declared_shape(size_t bytes, size_t piece)
{
    body_shape s = {
        .unit_len = piece ? piece : bytes, .piece = piece, .unit_copies = 1};
    s.unit = allocate(s.unit_len);
    memset(s.unit, 'x', s.unit_len);
    return s;
}

static int
run_bodies(char **args)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    size_t count = (size_t)atol(args[2]);
    size_t bytes = (size_t)atol(args[3]);
    bool chunked = strcmp(args[4], "chunked") == 0;
    size_t piece = (size_t)atol(args[5]);
    if (count > SOCKETS_MAX || bytes < 2 || (chunked && !piece))
        return 2;
    body_shape shape =
        chunked ? chunk_shape(piece) : declared_shape(bytes, piece);
    size_t body_len = bytes - 1;
    if (chunked)
        body_len = (bytes - 1) / piece * shape.unit_len
                   + ((bytes - 1) % piece
                          ? shape.unit_len - piece - 2 + (bytes - 1) % piece
                          : 0);
    client *clients = allocate(count * sizeof(*clients));
    for (size_t i = 0; i < count; i++) {
        client *c = &clients[i];
        char framing[64];
        if (chunked)
            snprintf(framing, sizeof(framing), "Transfer-Encoding: chunked");
        else
            snprintf(framing, sizeof(framing), "Content-Length: %zu", bytes);
        c->fd = connect_client(&to, true);
        c->head_len = (size_t)snprintf(
            c->head, sizeof(c->head),
            "POST /safe/x HTTP/1.1\r\nHost: a.example\r\n"
            "X-Bluebellmoor-Attempt-Id: body-%zu\r\n%s\r\n\r\n",
            i, framing);
        c->wire_len = c->head_len + body_len;
    }
    int rc = run_clients(clients, count, &shape, true, atof(args[6]));
    free(clients);
    free(shape.unit);
    return rc;
}

/* ---- readers ---- */

static int
run_readers(char **args)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    size_t count = (size_t)atol(args[2]);
    if (count > SOCKETS_MAX)
        return 2;
    client *clients = allocate(count * sizeof(*clients));
    for (size_t i = 0; i < count; i++) {
        client *c = &clients[i];
        c->fd = connect_client(&to, false);
        c->head_len =
            (size_t)snprintf(c->head, sizeof(c->head),
                             "GET %s HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Bluebellmoor-Attempt-Id: reader-%zu\r\n\r\n",
                             args[3], i);
        c->wire_len = c->head_len;
    }
    int rc = run_clients(clients, count, NULL, false, atof(args[4]));
    free(clients);
    return rc;
}

/* ---- paced readers ---- */

#define PACED_MAX 16
#define PACED_STEP_S 0.02

typedef struct paced {
    int fd; /* -1: ended */
    double rate;
    double allowed;    /* bytes that may be read now */
    size_t read_bytes; /* of head and body */
    char last[5];      /* the last bytes read */
    char head[HEAD_SIZE];
} paced;

static void
read_paced(paced *p)
{
    char bytes[4096];
    while (p->fd >= 0 && p->allowed >= sizeof(bytes)) {
        ssize_t n = recv(p->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (n < 0 && errno == EAGAIN)
            return;
        if (n <= 0) {
            close(p->fd);
            p->fd = -1;
            return;
        }
        for (ssize_t i = 0; i < n; i++) {
            if (p->read_bytes + (size_t)i + 1 < sizeof(p->head))
                p->head[p->read_bytes + (size_t)i] = bytes[i];
            memmove(p->last, p->last + 1, sizeof(p->last) - 1);
            p->last[sizeof(p->last) - 1] = bytes[i];
        }
        p->read_bytes += (size_t)n;
        p->allowed -= (double)n;
    }
}

/* A chunked answer must have its last chunk. */
static bool
is_whole(const paced *p, size_t bytes)
{
    const char *end = strstr(p->head, "\r\n\r\n");
    size_t head_len = end ? (size_t)(end - p->head) + 4 : 0;
    bool has_length = strcasestr(p->head, "content-length:") != NULL;
    return head_len && p->read_bytes >= head_len + bytes
           && (has_length || memcmp(p->last, "0\r\n\r\n", 5) == 0);
}

static int
run_paced(char **args, int len)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    size_t bytes = (size_t)atol(args[3]);
    size_t count = (size_t)len - 4;
    static paced readers[PACED_MAX];
    if (len < 5 || count > PACED_MAX)
        return 2;
    for (size_t i = 0; i < count; i++) {
        char request[HEAD_SIZE];
        int request_len = snprintf(request, sizeof(request),
                                   "GET %s HTTP/1.1\r\nHost: a.example\r\n"
                                   "X-Bluebellmoor-Attempt-Id: paced-%zu\r\n"
                                   "Connection: close\r\n\r\n",
                                   args[2], i);
        readers[i].fd = connect_client(&to, false);
        readers[i].rate = atof(args[4 + i]);
        if (readers[i].fd < 0
            || send(readers[i].fd, request, (size_t)request_len, MSG_NOSIGNAL)
                   != request_len)
            return 1;
    }
    bool open = true;
    while (open) {
        open = false;
        usleep((useconds_t)(PACED_STEP_S * 1e6));
        for (size_t i = 0; i < count; i++) {
            readers[i].allowed += readers[i].rate * PACED_STEP_S;
            read_paced(&readers[i]);
            open = open || readers[i].fd >= 0;
        }
    }
    int cut = 0;
    for (size_t i = 0; i < count; i++) {
        bool whole = is_whole(&readers[i], bytes);
        printf("%.0f bytes/s: %zu bytes, %s\n", readers[i].rate,
               readers[i].read_bytes, whole ? "whole" : "cut");
        cut += !whole;
    }
    return cut ? 1 : 0;
}

/* ---- crowds of unfinished heads ---- */

/* A connection whose end was seen, or whose unfinished request was answered,
   is to be opened again. */
static bool
has_ended(int fd, bool unfinished)
{
    char block[4096];
    return unfinished || recv(fd, block, sizeof(block), MSG_DONTWAIT) <= 0;
}

#define NUMBER "00000000"

/* Replaces the number in a text, if it has one. */
static void
write_number(char *text, size_t number)
{
    char *at = strstr(text, "asker-");
    char digits[16];
    if (!at)
        return;
    snprintf(digits, sizeof(digits), "%08zu", number % 100000000);
    memcpy(at + strlen("asker-"), digits, strlen(NUMBER));
}

/* Connections that are opened each PACE_S seconds, if their requests are to be
   answered. */
#define PACE 4
#define PACE_S 0.02

/* Keeps @p count connections open until @p end, and sends @p text on each.
   @p unfinished: at once, and a byte more each second; else one after the
   other. */
static int
keep_open(const struct sockaddr_in *to, size_t count, char *text,
          bool unfinished, double end)
{
    double next_byte = now_s() + 1;
    double next_open = now_s();
    size_t opened = 0;
    bool told = false;
    struct pollfd *fds = allocate(count * sizeof(*fds));
    for (size_t i = 0; i < count; i++)
        fds[i] = (struct pollfd){.fd = -1, .events = POLLIN};
    while (now_s() < end) {
        size_t may_open = unfinished ? count : 0;
        if (!unfinished && now_s() >= next_open) {
            may_open = PACE;
            next_open += PACE_S;
        }
        for (size_t i = 0; i < count && may_open; i++) {
            if (fds[i].fd >= 0)
                continue;
            fds[i].fd = connect_client(to, true);
            write_number(text, opened);
            if (fds[i].fd >= 0)
                (void)!send(fds[i].fd, text, strlen(text), MSG_NOSIGNAL);
            opened += fds[i].fd >= 0;
            may_open--;
        }
        if (!told && opened >= count) {
            printf("held: %zu connections opened\n", opened);
            fflush(stdout);
            told = true;
        }
        poll(fds, (nfds_t)count, unfinished ? 20 : 2);
        bool byte_due = unfinished && now_s() >= next_byte;
        if (byte_due)
            next_byte += 1;
        for (size_t i = 0; i < count; i++) {
            if (fds[i].fd >= 0 && byte_due)
                (void)!send(fds[i].fd, "x", 1, MSG_NOSIGNAL);
            if (fds[i].fd < 0 || !fds[i].revents
                || !has_ended(fds[i].fd, unfinished))
                continue;
            close(fds[i].fd);
            fds[i].fd = -1;
        }
    }
    printf("%zu connections opened in all\n", opened);
    free(fds);
    return 0;
}

static int
run_heads(char **args)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    char begin[] = "GET /safe/";
    return keep_open(&to, (size_t)atol(args[2]), begin, true,
                     now_s() + atof(args[3]));
}

static int
run_askers(char **args)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    int notes = atoi(args[4]);
    char *value = allocate((size_t)notes + 1);
    char *text = allocate((size_t)notes + HEAD_SIZE);
    memset(value, 'v', (size_t)notes);
    sprintf(text,
            "GET %s HTTP/1.1\r\nHost: a.example\r\n"
            "X-Bluebellmoor-Attempt-Id: asker-" NUMBER
            "\r\nX-Notes: %s\r\n\r\n",
            args[3], value);
    int rc = keep_open(&to, (size_t)atol(args[2]), text, false,
                       now_s() + atof(args[5]));
    free(value);
    free(text);
    return rc;
}

static int
run_callers(char **args)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    int count = atoi(args[2]);
    int served = 0;
    double longest = 0;
    for (int i = 0; i < count; i++) {
        char text[HEAD_SIZE];
        double begin = now_s();
        int len = snprintf(text, sizeof(text),
                           "GET %s HTTP/1.1\r\nHost: a.example\r\n"
                           "X-Bluebellmoor-Attempt-Id: caller-%d\r\n"
                           "Connection: close\r\n\r\n",
                           args[3], i);
        int fd = connect_client(&to, true);
        struct timeval limit = {.tv_sec = 2};
        if (fd < 0)
            continue;
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        (void)!send(fd, text, (size_t)len, MSG_NOSIGNAL);
        ssize_t n = recv(fd, text, sizeof(text) - 1, 0);
        double took = now_s() - begin;
        longest = took > longest ? took : longest;
        served += n > 12 && strncmp(text, "HTTP/1.1 200", 12) == 0 && took < 1;
        close(fd);
    }
    printf("%d of %d served within a second, %.3f s at the longest\n", served,
           count, longest);
    return served == count ? 0 : 1;
}

/* ---- long prompts ---- */

static int
run_prompts(char **args)
{
    struct sockaddr_in to = address_of(args[0], atoi(args[1]));
    size_t count = (size_t)atol(args[2]);
    size_t parts = (size_t)atol(args[3]);
    static client clients[SOCKETS_MAX];
    size_t size = HEAD_SIZE + 4 * parts;
    char *text = allocate(size);
    if (count > SOCKETS_MAX)
        return 2;
    for (size_t i = 0; i < count; i++) {
        size_t len =
            (size_t)snprintf(text, size,
                             "POST /safe/x HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Bluebellmoor-Attempt-Id: prompt-%zu\r\n"
                             "Content-Length: 2\r\n"
                             "X-Bluebellmoor-Prefix-Hash: 1:1",
                             i);
        for (size_t k = 1; k < parts; k++)
            len += (size_t)snprintf(text + len, size - len, ",%zx:1", k % 16);
        len += (size_t)snprintf(text + len, size - len, "\r\n\r\n{");
        clients[i].fd = connect_client(&to, true);
        if (clients[i].fd >= 0
            && send(clients[i].fd, text, len, MSG_NOSIGNAL) != (ssize_t)len)
            end_client(&clients[i]);
    }
    free(text);
    return run_clients(clients, count, NULL, true, atof(args[4]));
}

/* ---- upstreams ---- */

typedef struct answer {
    int fd;
    char request[24 * 1024];
    size_t request_len;
    char head[HEAD_SIZE];
    size_t head_len; /* 0: the request isn't complete */
    size_t pos;
} answer;

/* The answer repeats the request's attempt id, as upstreams do. */
static void
begin_answer(answer *a, size_t bytes, bool stream)
{
    static const char name[] = "X-Bluebellmoor-Attempt-Id: ";
    char id[128] = "";
    const char *at = strcasestr(a->request, name);
    if (at)
        sscanf(at + strlen(name), "%127[^\r]", id);
    char framing[64];
    snprintf(framing, sizeof(framing), "Content-Length: %zu", bytes);
    a->pos = 0;
    a->head_len = (size_t)snprintf(
        a->head, sizeof(a->head),
        "HTTP/1.1 200 OK\r\nX-Bluebellmoor-Attempt-Id: %s\r\n"
        "X-Bluebellmoor-Server-Stamp: s\r\nConnection: close\r\n"
        "Content-Type: %s\r\n%s%s\r\n",
        id, stream ? "text/event-stream" : "text/plain", stream ? "" : framing,
        stream ? "" : "\r\n");
}

/* Returns false if the connection is to be closed. */
static bool
serve(answer *a, const char *block, size_t bytes, bool stream)
{
    if (!a->head_len) {
        ssize_t n =
            recv(a->fd, a->request + a->request_len,
                 sizeof(a->request) - 1 - a->request_len, MSG_DONTWAIT);
        if (n < 0 && errno == EAGAIN)
            return true;
        if (n <= 0)
            return false;
        a->request_len += (size_t)n;
        a->request[a->request_len] = '\0';
        if (!strstr(a->request, "\r\n\r\n"))
            return a->request_len + 1 < sizeof(a->request);
        begin_answer(a, bytes, stream);
    }
    while (a->pos < a->head_len + bytes) {
        const char *from = a->head + a->pos;
        size_t len = a->head_len - a->pos;
        if (a->pos >= a->head_len) {
            size_t at = (a->pos - a->head_len) % BLOCK_BYTES;
            from = block + at;
            len = BLOCK_BYTES - at;
            if (len > a->head_len + bytes - a->pos)
                len = a->head_len + bytes - a->pos;
        }
        ssize_t n = send(a->fd, from, len, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EAGAIN)
            return true;
        if (n <= 0)
            return false;
        a->pos += (size_t)n;
    }
    return false;
}

static int
listen_on(int port)
{
    struct sockaddr_in to = address_of("127.0.0.1", port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(fd, (void *)&to, sizeof(to)) < 0 || listen(fd, SOMAXCONN) < 0) {
        perror("listen");
        exit(1);
    }
    return fd;
}

static int
run_upstream(char **args)
{
    int port = atoi(args[0]);
    size_t listeners = (size_t)atol(args[1]);
    size_t bytes = (size_t)atol(args[2]);
    bool stream = strcmp(args[3], "stream") == 0;
    double end = now_s() + atof(args[4]);
    static char block[BLOCK_BYTES];
    static answer answers[SOCKETS_MAX];
    struct pollfd fds[SOCKETS_MAX];
    size_t len = listeners;
    /* 64 bytes an event, in equal blocks. */
    for (size_t i = 0; i < sizeof(block); i++)
        block[i] = i % 64 < 62 ? "data: "[i % 64 < 6 ? i % 64 : 5] : '\n';
    for (size_t i = 0; i < listeners; i++)
        answers[i].fd = listen_on(port + (int)i);
    while (now_s() < end) {
        for (size_t i = 0; i < len; i++) {
            short events = answers[i].head_len ? POLLOUT : POLLIN;
            fds[i] = (struct pollfd){.fd = answers[i].fd, .events = events};
        }
        if (poll(fds, (nfds_t)len, 100) <= 0)
            continue;
        size_t polled = len;
        for (size_t i = 0; i < listeners; i++) {
            if (!(fds[i].revents & POLLIN) || len == SOCKETS_MAX)
                continue;
            int fd = accept(answers[i].fd, NULL, NULL);
            if (fd >= 0)
                answers[len++] = (answer){.fd = fd};
        }
        for (size_t i = polled; i-- > listeners;) {
            if (!fds[i].revents || serve(&answers[i], block, bytes, stream))
                continue;
            close(answers[i].fd);
            answers[i] = answers[--len];
        }
    }
    return 0;
}

int
main(int argc, char **argv)
{
    if (argc == 9 && strcmp(argv[1], "bodies") == 0)
        return run_bodies(argv + 2);
    if (argc == 7 && strcmp(argv[1], "readers") == 0)
        return run_readers(argv + 2);
    if (argc > 6 && strcmp(argv[1], "paced") == 0)
        return run_paced(argv + 2, argc - 2);
    if (argc == 6 && strcmp(argv[1], "heads") == 0)
        return run_heads(argv + 2);
    if (argc == 8 && strcmp(argv[1], "askers") == 0)
        return run_askers(argv + 2);
    if (argc == 6 && strcmp(argv[1], "callers") == 0)
        return run_callers(argv + 2);
    if (argc == 7 && strcmp(argv[1], "prompts") == 0)
        return run_prompts(argv + 2);
    if (argc == 7 && strcmp(argv[1], "upstream") == 0)
        return run_upstream(argv + 2);
    fputs(
        "usage: memory_load bodies|readers|paced|heads|askers|callers|prompts|"
        "upstream ...\n",
        stderr);
    return 2;
}
