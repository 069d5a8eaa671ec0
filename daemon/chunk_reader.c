#include "chunk_reader.h"

#include "answer_reader.h"
#include "bbm_mem.h"

#include <stdlib.h>
#include <string.h>

/* Limits on the line of a size, with its extensions, or of a trailer; and on
   all trailers. */
#define LINE_BYTES_MAX ((size_t)8 * 1024)
#define TRAILER_BYTES_MAX ((size_t)64 * 1024)

typedef enum chunk_part {
    PART_SIZE,     /* the line with the size of a chunk */
    PART_DATA,     /* bytes of the body */
    PART_DATA_END, /* the line end behind them */
    PART_TRAILERS,
    PART_END,
    PART_MALFORMED,
} chunk_part;

struct chunk_reader {
    chunk_part part;
    const char *fault; /* valid if malformed */
    bool ends_with_lf;
    uint64_t data_left;   /* PART_DATA: bytes of the chunk that are to come */
    size_t trailer_bytes; /* read so far */
    bbm_buf line;         /* beginning of a line that isn't complete */
};

chunk_reader *
chunk_reader_create(bool ends_with_lf)
{
    chunk_reader *c = bbm_calloc(1, sizeof(*c));
    c->ends_with_lf = ends_with_lf;
    return c;
}

void
chunk_reader_destroy(chunk_reader *c)
{
    if (!c)
        return;
    bbm_buf_free(&c->line);
    free(c);
}

bool
chunk_reader_is_complete(const chunk_reader *c)
{
    return c->part == PART_END;
}

static const char *
fail(chunk_reader *c, const char *fault)
{
    c->part = PART_MALFORMED;
    c->fault = fault;
    return fault;
}

/* ---- lines ---- */

static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

/* Behind the size only extensions may come; blanks before them, or before the
   end of the line, are sent by some servers. */
static const char *
read_size(chunk_reader *c, const char *line, size_t len)
{
    uint64_t size = 0;
    size_t i = 0;
    for (; i < len && hex_digit(line[i]) >= 0; i++) {
        if (size > (uint64_t)INT64_MAX >> 4)
            return fail(c, "size of a chunk is too large");
        size = size << 4 | (uint64_t)hex_digit(line[i]);
    }
    bool has_digits = i > 0;
    while (i < len && (line[i] == ' ' || line[i] == '\t'))
        i++;
    bool has_extension = i < len && line[i] == ';';
    if (!has_digits || (i < len && !has_extension)
        || answer_text_has_controls(line + i, len - i))
        return fail(c, "invalid size of a chunk");
    c->data_left = size;
    c->part = size ? PART_DATA : PART_TRAILERS;
    return NULL;
}

static const char *
read_trailer(chunk_reader *c, const char *line, size_t len)
{
    answer_field field;
    c->trailer_bytes += len;
    if (!len)
        c->part = PART_END;
    else if (answer_field_parse(line, len, &field))
        return fail(c, "trailer is no field");
    else if (c->trailer_bytes > TRAILER_BYTES_MAX)
        return fail(c, "too many trailers");
    return NULL;
}

/* @p line ends with a line feed. */
static const char *
read_line(chunk_reader *c, const char *line, size_t len)
{
    size_t text_len = len - 1;
    bool has_cr = text_len && line[text_len - 1] == '\r';
    if (has_cr == c->ends_with_lf)
        return fail(c, "line ends differ");
    text_len -= has_cr;
    switch (c->part) {
    case PART_SIZE:
        return read_size(c, line, text_len);
    case PART_DATA_END:
        if (text_len)
            return fail(c, "chunk is longer than its size");
        c->part = PART_SIZE;
        return NULL;
    case PART_TRAILERS:
        return read_trailer(c, line, text_len);
    case PART_DATA:
    case PART_END:
    case PART_MALFORMED:
        break;
    }
    return c->fault;
}

/* ---- bytes ---- */

/* Reads up to the end of a line.  *taken receives the number of bytes. */
static const char *
take_line(chunk_reader *c, const char *data, size_t len, size_t *taken)
{
    const char *end = memchr(data, '\n', len);
    *taken = end ? (size_t)(end - data) + 1 : len;
    if (c->line.len + *taken > LINE_BYTES_MAX)
        return fail(c, "line between chunks is too long");
    if (end && !c->line.len)
        return read_line(c, data, *taken);
    bbm_buf_add(&c->line, data, *taken);
    if (!end)
        return NULL;
    const char *fault = read_line(c, (char *)c->line.data, c->line.len);
    bbm_buf_free(&c->line);
    return fault;
}

static size_t
take_data(chunk_reader *c, const char *data, size_t len, bbm_buf *out)
{
    size_t taken = len < c->data_left ? len : (size_t)c->data_left;
    bbm_buf_add(out, data, taken);
    c->data_left -= taken;
    if (!c->data_left)
        c->part = PART_DATA_END;
    return taken;
}

const char *
chunk_reader_read(chunk_reader *c, const char *data, size_t len, bbm_buf *out)
{
    size_t taken = 0;
    for (size_t pos = 0; pos < len && c->part != PART_END; pos += taken) {
        const char *fault = NULL;
        if (c->part == PART_MALFORMED)
            return c->fault;
        if (c->part == PART_DATA)
            taken = take_data(c, data + pos, len - pos, out);
        else
            fault = take_line(c, data + pos, len - pos, &taken);
        if (fault)
            return fault;
    }
    return NULL;
}
