#include "events.h"

#include <string.h>

/* Returns true if the byte ends an event. */
static bool
scan_byte(event_scanner *sc, char byte)
{
    if (byte != '\n') {
        sc->after_cr = byte == '\r' && !sc->in_line;
        sc->in_line = true;
        return false;
    }
    bool blank = !sc->in_line || sc->after_cr;
    sc->in_line = false;
    sc->after_cr = false;
    sc->in_event = !blank;
    sc->ended_event = sc->ended_event || blank;
    return blank;
}

size_t
event_scanner_append(event_scanner *sc, const char *data, size_t len)
{
    size_t end = 0;
    for (size_t i = 0; i < len; i++) {
        if (scan_byte(sc, data[i]))
            end = i + 1;
    }
    return end;
}

bool
event_scanner_within_event(const event_scanner *sc)
{
    return sc->in_line || sc->in_event;
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
    size_t old_len = sp->bytes.len;
    bbm_buf_add(&sp->bytes, data, len);
    if (sp->hold) {
        sp->hold->bytes += len;
        memory_budget_force(sp->hold->memory, MEMORY_EVENTS, len);
    }
    size_t end = event_scanner_append(&sp->scanner, data, len);
    if (!end)
        return sp->complete_len;
    const uint8_t *line = sp->bytes.data + sp->complete_len;
    sp->complete_len = old_len + end;
    const uint8_t *stop = sp->bytes.data + sp->complete_len;
    while (line < stop) {
        const uint8_t *next = memchr(line, '\n', (size_t)(stop - line));
        if (!next)
            break;
        parse_id(sp, line, (size_t)(next - line));
        line = next + 1;
    }
    return sp->complete_len;
}

bool
event_splitter_over_limit(const event_splitter *sp)
{
    size_t held_back = sp->bytes.len - sp->complete_len;
    size_t bytes_max = sp->hold && sp->hold->bytes_max ? sp->hold->bytes_max
                                                       : EVENT_HOLD_BYTES_MAX;
    bool crowded = sp->hold && sp->hold->bytes > bytes_max;
    return held_back > (crowded ? EVENT_BYTES_ASSURED : EVENT_BYTES_MAX);
}

void
event_splitter_consume(event_splitter *sp, size_t len)
{
    sp->bytes.len -= len;
    sp->complete_len -= len;
    if (sp->hold) {
        sp->hold->bytes -= len;
        memory_budget_give(sp->hold->memory, MEMORY_EVENTS, len);
    }
    /* A long event is rare: its memory isn't kept for the next one. */
    if (!sp->bytes.len && sp->bytes.cap > EVENT_BYTES_ASSURED)
        bbm_buf_free(&sp->bytes);
    else
        memmove(sp->bytes.data, sp->bytes.data + len, sp->bytes.len);
}

void
event_splitter_free(event_splitter *sp)
{
    if (sp->hold) {
        sp->hold->bytes -= sp->bytes.len;
        memory_budget_give(sp->hold->memory, MEMORY_EVENTS, sp->bytes.len);
    }
    bbm_buf_free(&sp->bytes);
}
