#include "bbm_log.h"

#include "bbm_codes.h"
#include "bbm_mem.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Maximum size of a line, and of a value before escaping; longer values are
   truncated. */
#define LINE_MAX_BYTES 2048
#define FIELD_MAX_BYTES 256
/* Bytes reserved for the end of a line, and for the start of another field. */
#define LINE_RESERVED_BYTES 16
#define FIELD_RESERVED_BYTES 128

typedef struct event_row {
    bbm_log_event event;
    bbm_level level;
    const char *text;
} event_row;

static const event_row event_rows[] = {
#define X(name, number, level, text) {name, BBM_##level, text},
    BBM_EVENT_TABLE(X)
#undef X
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static bbm_log_desc log_desc;

/* Size of the buffer for lines that are not yet written. */
#define BUFFER_BYTES ((size_t)64 * 1024)
/* Poll interval of the writer thread, and the number of such intervals that
   bbm_log_stop waits for it. */
#define WRITER_PERIOD_MS 40
#define STOP_POLLS_MAX_COUNT 10

/* Lines that are not yet written. */
typedef struct log_buffer {
    pthread_mutex_t lock; /* protects the fields below except thread */
    pthread_t thread;
    bool running;
    bool stop;
    char *bytes;       /* ring buffer of BUFFER_BYTES */
    size_t start;      /* index of the first byte */
    size_t len;        /* bytes in use */
    uint64_t dropped;  /* lines dropped so far */
    uint64_t reported; /* value of dropped when it was last logged */
} log_buffer;

static log_buffer buffer = {.lock = PTHREAD_MUTEX_INITIALIZER};

typedef struct line {
    char text[LINE_MAX_BYTES];
    size_t len;
} line;

static const event_row *
find_event(bbm_log_event event)
{
    for (size_t i = 0; i < BBM_COUNT(event_rows); i++) {
        if (event_rows[i].event == event)
            return &event_rows[i];
    }
    return NULL;
}

static void
add_char(line *l, char c)
{
    if (l->len + 4 < LINE_MAX_BYTES)
        l->text[l->len++] = c;
}

static void
add_raw(line *l, const char *text)
{
    for (; *text; text++)
        add_char(l, *text);
}

/* Control bytes and all bytes above ASCII are written as \u00XX, so that a
   line is valid JSON for any input. */
static void
add_quoted(line *l, const char *text)
{
    static const char digits[] = "0123456789abcdef";
    add_char(l, '"');
    for (size_t i = 0; text[i] && i < FIELD_MAX_BYTES; i++) {
        if (l->len + LINE_RESERVED_BYTES > LINE_MAX_BYTES)
            break;
        unsigned char c = (unsigned char)text[i];
        if (c == '"' || c == '\\') {
            add_char(l, '\\');
            add_char(l, (char)c);
        }
        else if (c < 0x20 || c >= 0x7f) {
            add_raw(l, "\\u00");
            add_char(l, digits[c >> 4]);
            add_char(l, digits[c & 15]);
        }
        else {
            add_char(l, (char)c);
        }
    }
    add_char(l, '"');
}

static int64_t
system_wall_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
bbm_log_setup(const bbm_log_desc *desc)
{
    log_desc = *desc;
}

static void
begin_line(line *l, const event_row *row)
{
    char head[96];
    int64_t ms = log_desc.wall_ms ? log_desc.wall_ms() : system_wall_ms();
    snprintf(head, sizeof(head), "{\"ms\":%lld,\"event\":%d,\"level\":\"%s\"",
             (long long)ms, (int)row->event, level_names[row->level]);
    add_raw(l, head);
    add_raw(l, ",\"node\":");
    add_quoted(l, log_desc.node ? log_desc.node : "");
    add_raw(l, ",\"text\":");
    add_quoted(l, row->text);
}

static void
add_field(line *l, const char *name, const char *value)
{
    if (l->len + FIELD_RESERVED_BYTES > LINE_MAX_BYTES)
        return;
    add_char(l, ',');
    add_quoted(l, name);
    add_char(l, ':');
    add_quoted(l, value ? value : "");
}

/* Call with the lock held.  Appends a complete line; false if it does not
   fit. */
static bool
buffer_put(const char *text, size_t len)
{
    if (buffer.len + len > BUFFER_BYTES)
        return false;
    size_t to = (buffer.start + buffer.len) % BUFFER_BYTES;
    size_t first = BUFFER_BYTES - to < len ? BUFFER_BYTES - to : len;
    memcpy(buffer.bytes + to, text, first);
    memcpy(buffer.bytes, text + first, len - first);
    buffer.len += len;
    return true;
}

/* Call with the lock held.  Logs the number of lines dropped since the last
   such line. */
static void
report_dropped(void)
{
    uint64_t unreported = buffer.dropped - buffer.reported;
    if (!unreported)
        return;
    line l = {.len = 0};
    char number[24];
    snprintf(number, sizeof(number), "%llu", (unsigned long long)unreported);
    begin_line(&l, find_event(BBM_EVENT_LINES_DROPPED));
    add_field(&l, "lines", number);
    l.text[l.len++] = '}';
    l.text[l.len++] = '\n';
    if (buffer_put(l.text, l.len))
        buffer.reported = buffer.dropped;
}

static FILE *
log_file(void)
{
    return log_desc.file ? log_desc.file : stderr;
}

static void
write_line(line *l)
{
    l->text[l->len++] = '}';
    l->text[l->len++] = '\n';
    pthread_mutex_lock(&buffer.lock);
    bool buffered = buffer.running;
    if (buffered) {
        report_dropped();
        buffer.dropped += !buffer_put(l->text, l->len);
    }
    pthread_mutex_unlock(&buffer.lock);
    if (buffered)
        return;
    fwrite(l->text, 1, l->len, log_file());
    fflush(log_file());
}

/* Writes a part of the buffer; false if it was empty. */
static bool
write_chunk(void)
{
    char chunk[8192];
    pthread_mutex_lock(&buffer.lock);
    size_t len = buffer.len < sizeof(chunk) ? buffer.len : sizeof(chunk);
    size_t first =
        BUFFER_BYTES - buffer.start < len ? BUFFER_BYTES - buffer.start : len;
    memcpy(chunk, buffer.bytes + buffer.start, first);
    memcpy(chunk + first, buffer.bytes, len - first);
    buffer.start = (buffer.start + len) % BUFFER_BYTES;
    buffer.len -= len;
    pthread_mutex_unlock(&buffer.lock);
    if (!len)
        return false;
    fwrite(chunk, 1, len, log_file());
    fflush(log_file());
    return true;
}

static bool
is_stopping(void)
{
    pthread_mutex_lock(&buffer.lock);
    bool stop = buffer.stop;
    pthread_mutex_unlock(&buffer.lock);
    return stop;
}

static void *
run_writer(void *context)
{
    (void)context;
    struct timespec pause = {.tv_nsec = WRITER_PERIOD_MS * 1000000L};
    while (write_chunk() || !is_stopping()) {
        if (!is_stopping())
            nanosleep(&pause, NULL);
    }
    return NULL;
}

int
bbm_log_start(void)
{
    buffer.bytes = bbm_calloc(BUFFER_BYTES, 1);
    buffer.stop = false;
    if (pthread_create(&buffer.thread, NULL, run_writer, NULL) != 0) {
        free(buffer.bytes);
        buffer.bytes = NULL;
        return BBM_ERR_IO;
    }
    pthread_mutex_lock(&buffer.lock);
    buffer.running = true;
    pthread_mutex_unlock(&buffer.lock);
    return BBM_OK;
}

/* If the reader of the log has stopped reading, the thread may be blocked in a
   write; it is then detached and ends with the process. */
void
bbm_log_stop(void)
{
    if (!buffer.running)
        return;
    struct timespec pause = {.tv_nsec = WRITER_PERIOD_MS * 1000000L};
    pthread_mutex_lock(&buffer.lock);
    buffer.stop = true;
    buffer.running = false;
    pthread_mutex_unlock(&buffer.lock);
    for (int i = 0; i < STOP_POLLS_MAX_COUNT; i++) {
        nanosleep(&pause, NULL);
        pthread_mutex_lock(&buffer.lock);
        bool empty = buffer.len == 0;
        pthread_mutex_unlock(&buffer.lock);
        if (empty) {
            pthread_join(buffer.thread, NULL);
            free(buffer.bytes);
            buffer.bytes = NULL;
            return;
        }
    }
    pthread_detach(buffer.thread);
}

uint64_t
bbm_log_dropped(void)
{
    pthread_mutex_lock(&buffer.lock);
    uint64_t dropped = buffer.dropped;
    pthread_mutex_unlock(&buffer.lock);
    return dropped;
}

void
bbm_log_write(bbm_log_event event, const bbm_log_pair *pairs, size_t len)
{
    const event_row *row = find_event(event);
    if (!row || row->level < log_desc.min_level)
        return;
    line l = {.len = 0};
    begin_line(&l, row);
    for (size_t i = 0; i < len; i++)
        add_field(&l, pairs[i].name, pairs[i].value);
    write_line(&l);
}

void
bbm_log(bbm_log_event event, ...)
{
    const event_row *row = find_event(event);
    if (!row || row->level < log_desc.min_level)
        return;
    line l = {.len = 0};
    begin_line(&l, row);
    va_list args;
    va_start(args, event);
    for (const char *name; (name = va_arg(args, const char *)) != NULL;) {
        const char *value = va_arg(args, const char *);
        add_field(&l, name, value);
    }
    va_end(args);
    write_line(&l);
}

const char *
bbm_log_text(bbm_log_event event)
{
    const event_row *row = find_event(event);
    return row ? row->text : "unknown event";
}

int
bbm_level_parse(const char *name)
{
    for (size_t i = 0; i < BBM_COUNT(level_names); i++) {
        if (strcmp(level_names[i], name) == 0)
            return (int)i;
    }
    return -1;
}
