#include "answer_reader.h"

#include "bbm_mem.h"
#include "chunk_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

typedef enum answer_part {
    PART_STATUS_LINE,
    PART_FIELDS,
    PART_BODY, /* no more lines */
    PART_MALFORMED,
} answer_part;

struct answer_reader {
    answer_part part;
    const char *fault; /* valid if malformed */
    bool ends_with_lf; /* lines of this head have no carriage return */
    bool is_http_1_0;
    unsigned status;      /* 0: no status line was read */
    int64_t length;       /* -1: none */
    chunk_reader *chunks; /* of the body; NULL: it isn't in chunks */
};

answer_reader *
answer_reader_create(void)
{
    answer_reader *r = bbm_calloc(1, sizeof(*r));
    r->length = -1;
    return r;
}

void
answer_reader_destroy(answer_reader *r)
{
    if (!r)
        return;
    chunk_reader_destroy(r->chunks);
    free(r);
}

static answer_line
malformed(answer_reader *r, const char *fault)
{
    r->part = PART_MALFORMED;
    r->fault = fault;
    return (answer_line){.kind = ANSWER_LINE_MALFORMED, .u.fault = fault};
}

/* ---- bytes (RFC 9110, 5.5 and 5.6.2) ---- */

static bool
is_digit(char c)
{
    return c >= '0' && c <= '9';
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static bool
is_token(const char *text, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        char c = text[i];
        bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (!letter && !is_digit(c)
            && (c == '\0' || !strchr("!#$%&'*+-.^_`|~", c)))
            return false;
    }
    return len > 0;
}

bool
answer_text_has_controls(const char *text, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        unsigned char c = (unsigned char)text[i];
        if ((c < ' ' && c != '\t') || c == 0x7f)
            return true;
    }
    return false;
}

static bool
equals(const char *text, size_t len, const char *other)
{
    return len == strlen(other) && strncasecmp(text, other, len) == 0;
}

/* ---- the status line (RFC 9112, 4) ---- */

static bool
is_status_line(const char *line, size_t len)
{
    static const char pattern[] = "HTTP/1.x ddd ";
    size_t n = sizeof(pattern) - 1;
    if (len < n - 1)
        return false;
    for (size_t i = 0; i < n && i < len; i++) {
        bool matches = line[i] == pattern[i];
        if (pattern[i] == 'x')
            matches = line[i] == '0' || line[i] == '1';
        else if (pattern[i] == 'd')
            matches = is_digit(line[i]);
        if (!matches)
            return false;
    }
    return true;
}

static answer_line
read_status_line(answer_reader *r, const char *line, size_t len)
{
    if (!is_status_line(line, len))
        return malformed(r, "no status line");
    if (answer_text_has_controls(line, len))
        return malformed(r, "control byte in the status line");
    r->is_http_1_0 = line[7] == '0';
    r->status = (unsigned)((line[9] - '0') * 100 + (line[10] - '0') * 10
                           + (line[11] - '0'));
    r->length = -1;
    r->part = PART_FIELDS;
    if (r->status < 100 || r->status > 599)
        return malformed(r, "status out of range");
    if (r->status == 101)
        return malformed(r, "switches protocols");
    return (answer_line){.kind = ANSWER_LINE_STATUS, .u.status = r->status};
}

/* ---- fields (RFC 9112, 5) ---- */

/* A line that begins with a blank would continue the one before: its name
   isn't valid, as a blank belongs to none. */
const char *
answer_field_parse(const char *line, size_t len, answer_field *f)
{
    const char *colon = memchr(line, ':', len);
    if (!colon || !is_token(line, (size_t)(colon - line)))
        return "line is no field";
    const char *end = line + len;
    *f = (answer_field){
        .name = line, .name_len = (size_t)(colon - line), .value = colon + 1};
    while (f->value < end && is_blank(*f->value))
        f->value++;
    while (end > f->value && is_blank(end[-1]))
        end--;
    f->value_len = (size_t)(end - f->value);
    return answer_text_has_controls(f->value, f->value_len)
               ? "control byte in a value"
               : NULL;
}

/* -1 unless the text is a decimal number of 63 bits. */
static int64_t
parse_length(const char *text, size_t len)
{
    int64_t length = 0;
    for (size_t i = 0; i < len; i++) {
        int digit = text[i] - '0';
        if (!is_digit(text[i]) || length > (INT64_MAX - digit) / 10)
            return -1;
        length = length * 10 + digit;
    }
    return len ? length : -1;
}

/* The fault of a Content-Length, or NULL. */
static const char *
add_length(answer_reader *r, const answer_field *f)
{
    int64_t length = parse_length(f->value, f->value_len);
    if (length < 0)
        return "invalid length";
    if (r->length >= 0 && r->length != length)
        return "two lengths";
    r->length = length;
    if (r->status < 200 || (r->status == 204 && length))
        return "length of an answer without a body";
    return r->chunks ? "both a length and chunks" : NULL;
}

/* The fault of a Transfer-Encoding, or NULL.  None but chunked is ever asked
   for. */
static const char *
add_encoding(answer_reader *r, const answer_field *f)
{
    if (r->chunks || !equals(f->value, f->value_len, "chunked"))
        return "invalid transfer encoding";
    r->chunks = chunk_reader_create(r->ends_with_lf);
    if (r->status < 200 || r->status == 204)
        return "chunks of an answer without a body";
    if (r->is_http_1_0)
        return "chunks in HTTP/1.0";
    return r->length >= 0 ? "both a length and chunks" : NULL;
}

static answer_line
read_field(answer_reader *r, const char *line, size_t len)
{
    answer_line l = {.kind = ANSWER_LINE_FIELD};
    const answer_field *f = &l.u.field;
    const char *fault = answer_field_parse(line, len, &l.u.field);
    if (fault)
        return malformed(r, fault);
    if (answer_field_is(&l, "Content-Length"))
        fault = add_length(r, f);
    else if (answer_field_is(&l, "Transfer-Encoding"))
        fault = add_encoding(r, f);
    return fault ? malformed(r, fault) : l;
}

/* ---- lines ---- */

static answer_line
end_head(answer_reader *r)
{
    if (r->status < 200) {
        r->part = PART_STATUS_LINE;
        return (answer_line){.kind = ANSWER_LINE_INTERIM_END};
    }
    r->part = PART_BODY;
    return (answer_line){.kind = ANSWER_LINE_HEAD_END};
}

answer_line
answer_reader_line(answer_reader *r, const char *line, size_t len)
{
    size_t text_len = len;
    if (text_len && line[text_len - 1] == '\n')
        text_len--;
    bool has_lf = text_len < len;
    if (has_lf && text_len && line[text_len - 1] == '\r')
        text_len--;
    bool lf_alone = len - text_len == 1;
    switch (r->part) {
    case PART_STATUS_LINE:
        r->ends_with_lf = lf_alone;
        return has_lf ? read_status_line(r, line, text_len)
                      : malformed(r, "line without end");
    case PART_FIELDS:
        /* A byte of a line's end was lost or replaced. */
        if (!has_lf || lf_alone != r->ends_with_lf)
            return malformed(r, "line ends differ");
        return text_len ? read_field(r, line, text_len) : end_head(r);
    case PART_BODY:
        return malformed(r, "line behind the head");
    case PART_MALFORMED:
        break;
    }
    return malformed(r, r->fault);
}

const char *
answer_reader_body(answer_reader *r, const char *data, size_t len,
                   bbm_buf *out)
{
    const char *fault = NULL;
    if (r->part == PART_MALFORMED)
        return r->fault;
    if (r->part != PART_BODY)
        fault = "body without a head";
    else if (r->chunks)
        fault = chunk_reader_read(r->chunks, data, len, out);
    else
        bbm_buf_add(out, data, len);
    if (fault)
        malformed(r, fault);
    return fault;
}

bool
answer_reader_is_complete(const answer_reader *r, bool has_body)
{
    bool has_chunks = has_body && r->chunks;
    return r->part == PART_BODY
           && (!has_chunks || chunk_reader_is_complete(r->chunks));
}

unsigned
answer_reader_status(const answer_reader *r)
{
    return r->status;
}

int64_t
answer_reader_length(const answer_reader *r)
{
    return r->length;
}

bool
answer_reader_is_chunked(const answer_reader *r)
{
    return r->chunks != NULL;
}

bool
answer_reader_is_unframed(const answer_reader *r)
{
    return r->length < 0 && !r->chunks;
}

bool
answer_field_is(const answer_line *l, const char *name)
{
    return equals(l->u.field.name, l->u.field.name_len, name);
}

const char *
answer_field_copy(const answer_line *l, char *text, size_t size)
{
    const answer_field *f = &l->u.field;
    if (f->name_len + f->value_len + 2 > size)
        return NULL;
    char *value = text + f->name_len + 1;
    memcpy(text, f->name, f->name_len);
    text[f->name_len] = '\0';
    memcpy(value, f->value, f->value_len);
    value[f->value_len] = '\0';
    return value;
}
