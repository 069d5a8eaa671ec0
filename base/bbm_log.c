#include "bbm_log.h"

#include "bbm_mem.h"

#include <stdarg.h>
#include <string.h>
#include <time.h>

/* A line is at most this long; a longer field is cut. */
#define LINE_SIZE 2048
#define FIELD_MOST 256
/* Room kept for the marks that close a line, and for the next field's name. */
#define LINE_RESERVE 16
#define FIELD_RESERVE 128

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

typedef struct line {
    char text[LINE_SIZE];
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
    if (l->len + 4 < LINE_SIZE)
        l->text[l->len++] = c;
}

static void
add_raw(line *l, const char *text)
{
    for (; *text; text++)
        add_char(l, *text);
}

/* Control bytes and all bytes above ASCII are written as \u00XX: a line holds
   valid JSON whatever bytes came in. */
static void
add_quoted(line *l, const char *text)
{
    static const char digits[] = "0123456789abcdef";
    add_char(l, '"');
    for (size_t i = 0; text[i] && i < FIELD_MOST; i++) {
        if (l->len + LINE_RESERVE > LINE_SIZE)
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
    if (l->len + FIELD_RESERVE > LINE_SIZE)
        return;
    add_char(l, ',');
    add_quoted(l, name);
    add_char(l, ':');
    add_quoted(l, value ? value : "");
}

static void
write_line(line *l)
{
    l->text[l->len++] = '}';
    l->text[l->len++] = '\n';
    FILE *file = log_desc.file ? log_desc.file : stderr;
    fwrite(l->text, 1, l->len, file);
    fflush(file);
}

void
bbm_log_write(bbm_log_event event, const bbm_log_pair *pairs, size_t len)
{
    const event_row *row = find_event(event);
    if (!row || row->level < log_desc.level)
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
    if (!row || row->level < log_desc.level)
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
