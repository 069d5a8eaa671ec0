#include "traffic_answer.h"

#include <jansson.h>
#include <string.h>

#define DATA_MARK "data:"
#define DONE_MARK "[DONE]"

static void
read_usage(answer_parser *w, const char *text, size_t len)
{
    json_error_t error;
    json_t *doc = json_loadb(text, len, 0, &error);
    json_t *usage = json_object_get(doc, "usage");
    json_t *prompt = json_object_get(usage, "prompt_tokens");
    json_t *output = json_object_get(usage, "completion_tokens");
    if (json_is_integer(prompt) && json_integer_value(prompt) >= 0)
        w->prompt_tokens = json_integer_value(prompt);
    if (json_is_integer(output) && json_integer_value(output) >= 0)
        w->output_tokens = json_integer_value(output);
    json_decref(doc);
}

static bool
mentions_usage(const bbm_buf *text)
{
    return memmem(text->data, text->len, "\"usage\"", 7) != NULL;
}

static void
end_line(answer_parser *w)
{
    const char *line = (const char *)w->text.data;
    size_t len = w->text.len;
    size_t mark = strlen(DATA_MARK);
    if (len && line[len - 1] == '\r')
        len--;
    if (len < mark || memcmp(line, DATA_MARK, mark) != 0)
        return;
    const char *value = line + mark;
    size_t rest = len - mark;
    while (rest && *value == ' ') {
        value++;
        rest--;
    }
    bool is_end =
        rest == strlen(DONE_MARK) && memcmp(value, DONE_MARK, rest) == 0;
    if (is_end) {
        w->saw_done = true;
        return;
    }
    w->data_events++;
    if (!w->line_truncated && mentions_usage(&w->text))
        read_usage(w, value, rest);
}

static void
add_line_bytes(answer_parser *w, const char *data, size_t len)
{
    size_t room = ANSWER_LINE_BYTES_MAX - w->text.len;
    if (len > room) {
        w->line_truncated = true;
        len = room;
    }
    bbm_buf_add(&w->text, data, len);
}

static void
add_events(answer_parser *w, const char *data, size_t len)
{
    while (len) {
        const char *end = memchr(data, '\n', len);
        size_t part = end ? (size_t)(end - data) : len;
        add_line_bytes(w, data, part);
        if (!end)
            return;
        end_line(w);
        w->text.len = 0;
        w->line_truncated = false;
        data += part + 1;
        len -= part + 1;
    }
}

void
answer_parser_append(answer_parser *w, const char *data, size_t len)
{
    if (!w->bytes) {
        w->prompt_tokens = -1;
        w->output_tokens = -1;
    }
    w->bytes += len;
    if (w->is_event_stream)
        add_events(w, data, len);
    else if (w->bytes <= ANSWER_BODY_BYTES_MAX)
        bbm_buf_add(&w->text, data, len);
}

void
answer_parser_finish(answer_parser *w)
{
    bool whole = !w->is_event_stream && w->bytes && w->bytes <= ANSWER_BODY_BYTES_MAX;
    if (whole && mentions_usage(&w->text))
        read_usage(w, (const char *)w->text.data, w->text.len);
}

void
answer_parser_free(answer_parser *w)
{
    bbm_buf_free(&w->text);
}
