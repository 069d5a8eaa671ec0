#include "frames.h"

#include "bbm_codes.h"

#include <string.h>

/* Zero, "SP", version 0, the pattern of the socket in two bytes, two bytes of
   zero. */
const uint8_t frames_sender_greeting[] = {0, 'S', 'P', 0, 0, 0x50, 0, 0};
const uint8_t frames_receiver_greeting[] = {0, 'S', 'P', 0, 0, 0x51, 0, 0};

void
frames_put_head(uint8_t head[FRAMES_HEAD_BYTES], size_t len)
{
    uint64_t left = len;
    for (size_t i = FRAMES_HEAD_BYTES; i > 0; i--) {
        head[i - 1] = (uint8_t)left;
        left >>= 8;
    }
}

static uint64_t
get_head(const uint8_t head[FRAMES_HEAD_BYTES])
{
    uint64_t len = 0;
    for (size_t i = 0; i < FRAMES_HEAD_BYTES; i++)
        len = len << 8 | head[i];
    return len;
}

/* Reads a greeting or the head of a message once it has come whole. */
static int
finish_head(frame_reader *r)
{
    if (!r->greeted) {
        r->greeted =
            memcmp(r->head, frames_sender_greeting, sizeof(r->head)) == 0;
        r->head_len = 0;
        return r->greeted ? BBM_OK : BBM_ERR_DECODE;
    }
    r->message_len = get_head(r->head);
    return r->message_len <= FRAMES_MESSAGE_BYTES_MAX ? BBM_OK
                                                      : BBM_ERR_DECODE;
}

static size_t
min_size(size_t a, uint64_t b)
{
    return a < b ? a : (size_t)b;
}

/* Reads bytes of the message; a message that comes whole isn't copied. */
static size_t
read_message(frame_reader *r, const uint8_t *data, size_t len, frame_fn *fn,
             void *context)
{
    uint64_t come = r->message.len + r->dropped;
    size_t n = min_size(len, r->message_len - come);
    bool whole = come + n == r->message_len;
    if (r->dropping) {
        r->dropped += n;
    }
    else if (whole && !r->message.len) {
        fn(context, data, n);
    }
    else {
        bbm_buf_add(&r->message, data, n);
        if (whole)
            fn(context, r->message.data, r->message.len);
    }
    if (whole) {
        bbm_buf_free(&r->message);
        r->head_len = 0;
        r->dropping = false;
        r->dropped = 0;
    }
    return n;
}

int
frame_reader_read(frame_reader *r, const uint8_t *data, size_t len,
                  frame_fn *fn, void *context)
{
    while (len || (r->head_len == sizeof(r->head) && !r->message_len)) {
        size_t n = 0;
        if (r->head_len < sizeof(r->head)) {
            n = min_size(len, sizeof(r->head) - r->head_len);
            memcpy(r->head + r->head_len, data, n);
            r->head_len += n;
            if (r->head_len == sizeof(r->head)) {
                int rc = finish_head(r);
                if (rc < 0)
                    return rc;
            }
        }
        else {
            n = read_message(r, data, len, fn, context);
        }
        data += n;
        len -= n;
    }
    return BBM_OK;
}

void
frame_reader_drop(frame_reader *r)
{
    r->dropped += r->message.len;
    r->dropping = true;
    bbm_buf_free(&r->message);
}

void
frame_reader_free(frame_reader *r)
{
    bbm_buf_free(&r->message);
}
