#include "events.h"

#include <string.h>

/* Length of the complete events at the front: up to and with the last blank
   line. */
static size_t
complete_length(const uint8_t *data, size_t len)
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

/* Takes over the value of an `id:` line; other lines, and values that are
   empty or too long, have no effect. */
static void
parse_id(event_splitter *sp, const uint8_t *line, size_t len)
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
    if (!len || len >= sizeof(sp->last_id))
        return;
    memcpy(sp->last_id, line, len);
    sp->last_id[len] = '\0';
}

size_t
event_splitter_append(event_splitter *sp, const char *data, size_t len)
{
    bbm_buf_add(&sp->bytes, data, len);
    size_t end = complete_length(sp->bytes.data, sp->bytes.len);
    const uint8_t *line = sp->bytes.data;
    const uint8_t *stop = line + end;
    while (line < stop) {
        const uint8_t *next = memchr(line, '\n', (size_t)(stop - line));
        if (!next)
            break;
        parse_id(sp, line, (size_t)(next - line));
        line = next + 1;
    }
    return end;
}

void
event_splitter_consume(event_splitter *sp, size_t len)
{
    sp->bytes.len -= len;
    memmove(sp->bytes.data, sp->bytes.data + len, sp->bytes.len);
}

void
event_splitter_free(event_splitter *sp)
{
    bbm_buf_free(&sp->bytes);
}
