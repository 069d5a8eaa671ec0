#include "bbm_deflate.h"

#include "bbm_codes.h"

#include <stdio.h>
#include <stdlib.h>
#include <zlib.h>

/* Room for @p len bytes behind those of the buffer. */
static uint8_t *
reserve(bbm_buf *buf, size_t len)
{
    if (buf->len + len > buf->cap) {
        buf->cap = buf->len + len;
        buf->data = bbm_realloc(buf->data, buf->cap);
    }
    return buf->data + buf->len;
}

void
bbm_deflate(bbm_bytes bytes, bbm_buf *buf)
{
    uLongf len = compressBound((uLong)bytes.len);
    uint8_t *room = reserve(buf, len);
    if (compress(room, &len, bytes.data, (uLong)bytes.len) != Z_OK) {
        fputs("out of memory\n", stderr);
        abort();
    }
    buf->len += len;
}

int
bbm_inflate(bbm_bytes deflated, size_t len, bbm_buf *buf)
{
    uLongf inflated_len = (uLongf)len;
    uint8_t *room = reserve(buf, len);
    int rc =
        uncompress(room, &inflated_len, deflated.data, (uLong)deflated.len);
    if (rc != Z_OK || inflated_len != len)
        return BBM_ERR_DECODE;
    buf->len += len;
    return BBM_OK;
}
