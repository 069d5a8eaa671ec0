#include "events.h"

#include <string.h>

/* End of the last event in the bytes: the place after its blank line. */
static size_t
find_end(const uint8_t *data, size_t len)
{
    for (size_t i = len; i >= 2; i--) {
        if (data[i - 1] != '\n')
            continue;
        bool blank = data[i - 2] == '\n'
                     || (i >= 4 && data[i - 2] == '\r' && data[i - 3] == '\n');
        if (blank)
            return i;
    }
    return 0;
}

static void
take_id(event_splitter *c, const uint8_t *line, size_t len)
{
    if (len < 3 || memcmp(line, "id:", 3) != 0)
        return;
    line += 3;
    len -= 3;
    while (len && *line == ' ') {
        line++;
        len--;
    }
    while (len && (line[len - 1] == '\r' || line[len - 1] == ' '))
        len--;
    if (!len || len >= sizeof(c->last_id))
        return;
    memcpy(c->last_id, line, len);
    c->last_id[len] = '\0';
}

size_t
event_splitter_append(event_splitter *c, const char *data, size_t len)
{
    bbm_buf_add(&c->bytes, data, len);
    size_t end = find_end(c->bytes.data, c->bytes.len);
    const uint8_t *line = c->bytes.data;
    const uint8_t *stop = line + end;
    while (line < stop) {
        const uint8_t *next = memchr(line, '\n', (size_t)(stop - line));
        if (!next)
            break;
        take_id(c, line, (size_t)(next - line));
        line = next + 1;
    }
    return end;
}

void
event_splitter_consume(event_splitter *c, size_t len)
{
    c->bytes.len -= len;
    memmove(c->bytes.data, c->bytes.data + len, c->bytes.len);
}

void
event_splitter_free(event_splitter *c)
{
    bbm_buf_free(&c->bytes);
}
