#include "traffic_answer.h"

#include <jansson.h>
#include <string.h>

#define DATA_MARK "data:"
#define DONE_MARK "[DONE]"

static void
parse_usage(answer_parser *p, const char *text, size_t len)
{
    json_error_t error;
    json_t *doc = json_loadb(text, len, 0, &error);
    json_t *usage = json_object_get(doc, "usage");
    json_t *prompt = json_object_get(usage, "prompt_tokens");
    json_t *output = json_object_get(usage, "completion_tokens");
    if (json_is_integer(prompt) && json_integer_value(prompt) >= 0)
        p->prompt_tokens = json_integer_value(prompt);
    if (json_is_integer(output) && json_integer_value(output) >= 0)
        p->output_tokens = json_integer_value(output);
    json_decref(doc);
}

static bool
mentions_usage(const bbm_buf *text)
{
    return memmem(text->data, text->len, "\"usage\"", 7) != NULL;
}

static void
finish_line(answer_parser *p)
{
    const char *line = (const char *)p->text.data;
    size_t len = p->text.len;
    size_t mark_len = strlen(DATA_MARK);
    if (len && line[len - 1] == '\r')
        len--;
    if (len < mark_len || memcmp(line, DATA_MARK, mark_len) != 0)
        return;
    const char *value = line + mark_len;
    size_t value_len = len - mark_len;
    while (value_len && *value == ' ') {
        value++;
        value_len--;
    }
    bool is_end = value_len == strlen(DONE_MARK)
                  && memcmp(value, DONE_MARK, value_len) == 0;
    if (is_end) {
        p->saw_done = true;
        return;
    }
    p->data_events++;
    if (!p->line_truncated && mentions_usage(&p->text))
        parse_usage(p, value, value_len);
}

static void
append_line_bytes(answer_parser *p, const char *data, size_t len)
{
    size_t room = ANSWER_LINE_BYTES_MAX - p->text.len;
    if (len > room) {
        p->line_truncated = true;
        len = room;
    }
    bbm_buf_add(&p->text, data, len);
}

static void
append_stream_bytes(answer_parser *p, const char *data, size_t len)
{
    while (len) {
        const char *end = memchr(data, '\n', len);
        size_t line_len = end ? (size_t)(end - data) : len;
        append_line_bytes(p, data, line_len);
        if (!end)
            return;
        finish_line(p);
        p->text.len = 0;
        p->line_truncated = false;
        data += line_len + 1;
        len -= line_len + 1;
    }
}

void
answer_parser_append(answer_parser *p, const char *data, size_t len)
{
    if (!p->bytes) {
        p->prompt_tokens = -1;
        p->output_tokens = -1;
    }
    p->bytes += len;
    if (p->is_event_stream)
        append_stream_bytes(p, data, len);
    else if (p->bytes <= ANSWER_BODY_BYTES_MAX)
        bbm_buf_add(&p->text, data, len);
}

void
answer_parser_finish(answer_parser *p)
{
    bool is_complete =
        !p->is_event_stream && p->bytes && p->bytes <= ANSWER_BODY_BYTES_MAX;
    if (is_complete && mentions_usage(&p->text))
        parse_usage(p, (const char *)p->text.data, p->text.len);
}

void
answer_parser_free(answer_parser *p)
{
    bbm_buf_free(&p->text);
}
