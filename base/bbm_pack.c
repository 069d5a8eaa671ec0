#include "bbm_pack.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/* ---- encoding ---- */

void
bbm_buf_add(bbm_buf *buf, const void *data, size_t len)
{
    if (!len)
        return;
    if (buf->len + len > buf->cap) {
        size_t cap = buf->cap ? buf->cap : 64;
        while (cap < buf->len + len)
            cap *= 2;
        buf->data = bbm_realloc(buf->data, cap);
        buf->cap = cap;
    }
    memcpy(buf->data + buf->len, data, len);
    buf->len += len;
}

void
bbm_buf_free(bbm_buf *buf)
{
    free(buf->data);
    *buf = (bbm_buf){0};
}

bbm_bytes
bbm_buf_view(const bbm_buf *buf)
{
    return (bbm_bytes){.data = buf->data, .len = buf->len};
}

static int
write_to_buf(void *target, const char *data, size_t len)
{
    bbm_buf_add(target, data, len);
    return 0;
}

static msgpack_packer
packer_for(bbm_buf *buf)
{
    msgpack_packer pk;
    msgpack_packer_init(&pk, buf, write_to_buf);
    return pk;
}

void
bbm_put_u64(bbm_buf *buf, uint64_t value)
{
    msgpack_packer pk = packer_for(buf);
    msgpack_pack_uint64(&pk, value);
}

void
bbm_put_i64(bbm_buf *buf, int64_t value)
{
    msgpack_packer pk = packer_for(buf);
    msgpack_pack_int64(&pk, value);
}

void
bbm_put_bytes(bbm_buf *buf, const void *data, size_t len)
{
    msgpack_packer pk = packer_for(buf);
    msgpack_pack_bin(&pk, len);
    if (len)
        msgpack_pack_bin_body(&pk, data, len);
}

void
bbm_put_bytes_head(bbm_buf *buf, size_t len)
{
    msgpack_packer pk = packer_for(buf);
    msgpack_pack_bin(&pk, len);
}

void
bbm_put_str(bbm_buf *buf, const char *text)
{
    bbm_put_bytes(buf, text, text ? strlen(text) : 0);
}

/* ---- decoding ---- */

bbm_reader
bbm_reader_of(const void *data, size_t len)
{
    return (bbm_reader){.data = data, .len = len};
}

/* Arrays and maps are rejected before decoding, so that nested input can't
   make the library recurse. */
static msgpack_object
next_object(bbm_reader *r)
{
    msgpack_object none = {.type = MSGPACK_OBJECT_NIL};
    if (r->failed || r->pos >= r->len) {
        r->failed = true;
        return none;
    }
    uint8_t type_byte = r->data[r->pos];
    bool nested = (type_byte >= 0x80 && type_byte <= 0x9f)
                  || (type_byte >= 0xdc && type_byte <= 0xdf);
    if (nested) {
        r->failed = true;
        return none;
    }
    msgpack_unpacked value;
    msgpack_unpacked_init(&value);
    size_t at = r->pos;
    msgpack_unpack_return rc =
        msgpack_unpack_next(&value, (const char *)r->data, r->len, &at);
    msgpack_object obj = value.data;
    msgpack_unpacked_destroy(&value);
    if (rc != MSGPACK_UNPACK_SUCCESS) {
        r->failed = true;
        return none;
    }
    r->pos = at;
    return obj;
}

uint64_t
bbm_get_u64(bbm_reader *r)
{
    msgpack_object obj = next_object(r);
    if (obj.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        return obj.via.u64;
    r->failed = true;
    return 0;
}

uint32_t
bbm_get_u32(bbm_reader *r, uint32_t max)
{
    uint64_t value = bbm_get_u64(r);
    if (value <= max)
        return (uint32_t)value;
    r->failed = true;
    return 0;
}

int64_t
bbm_get_i64(bbm_reader *r)
{
    msgpack_object obj = next_object(r);
    if (obj.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        return obj.via.i64;
    if (obj.type == MSGPACK_OBJECT_POSITIVE_INTEGER
        && obj.via.u64 <= INT64_MAX)
        return (int64_t)obj.via.u64;
    r->failed = true;
    return 0;
}

bbm_bytes
bbm_get_bytes(bbm_reader *r)
{
    msgpack_object obj = next_object(r);
    if (obj.type == MSGPACK_OBJECT_BIN) {
        return (bbm_bytes){.data = (const uint8_t *)obj.via.bin.ptr,
                           .len = obj.via.bin.size};
    }
    r->failed = true;
    return (bbm_bytes){0};
}

void
bbm_get_fixed(bbm_reader *r, void *dst, size_t len)
{
    bbm_bytes value = bbm_get_bytes(r);
    if (value.len != len || !value.data) {
        r->failed = true;
        memset(dst, 0, len);
        return;
    }
    memcpy(dst, value.data, len);
}

void
bbm_get_name(bbm_reader *r, char name[BBM_NAME_SIZE])
{
    bbm_bytes value = bbm_get_bytes(r);
    bool fits = value.len < BBM_NAME_SIZE
                && (!value.len || !memchr(value.data, 0, value.len));
    memset(name, 0, BBM_NAME_SIZE);
    if (!fits) {
        r->failed = true;
        return;
    }
    if (value.len)
        memcpy(name, value.data, value.len);
}

char *
bbm_get_strdup(bbm_reader *r)
{
    bbm_bytes value = bbm_get_bytes(r);
    char *text = bbm_calloc(value.len + 1, 1);
    if (value.len)
        memcpy(text, value.data, value.len);
    return text;
}

bool
bbm_reader_done(const bbm_reader *r)
{
    return !r->failed && r->pos == r->len;
}
