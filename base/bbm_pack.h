/** @file
 *  Encoding and decoding of value sequences in MessagePack.
 *
 *  A message, log record or snapshot is a flat sequence of integers and byte
 *  strings.  Encoding never fails.  A decoding error is sticky: decode all
 *  fields, then check once.
 *
 *      bbm_buf buf = {0};
 *      bbm_put_u64(&buf, 7);
 *      bbm_put_str(&buf, "name");
 *
 *      bbm_reader r = bbm_reader_of(buf.data, buf.len);
 *      uint64_t n = bbm_get_u64(&r);
 *      bbm_get_name(&r, name);
 *      if (!bbm_reader_done(&r)) ...      invalid value, or bytes left over
 *
 *  A byte string that is read points into the message, which must outlive it.
 */
#ifndef BBM_PACK_H
#define BBM_PACK_H

#include "bbm_mem.h"

/** Growable bytes.  All zero is an empty buffer. */
typedef struct bbm_buf {
    uint8_t *data; /**< Owned; NULL while empty. */
    size_t len;    /**< Bytes in use. */
    size_t cap;    /**< Bytes allocated. */
} bbm_buf;

/** A view of bytes; not owned. */
typedef struct bbm_bytes {
    const uint8_t *data; /**< May be NULL when len is 0. */
    size_t len;          /**< Size in bytes. */
} bbm_bytes;

/** Decoder state. */
typedef struct bbm_reader {
    const uint8_t *data; /**< The message. */
    size_t len;          /**< Size of the message in bytes. */
    size_t pos;          /**< Offset of the next value. */
    bool failed;         /**< A value was missing or of another type. */
} bbm_reader;

/** Append raw bytes. */
void bbm_buf_add(bbm_buf *buf, const void *data, size_t len);
/** Release the bytes and make the buffer empty. */
void bbm_buf_free(bbm_buf *buf);
/** The buffer's bytes as a view. */
bbm_bytes bbm_buf_view(const bbm_buf *buf);

/** Append an unsigned integer. */
void bbm_put_u64(bbm_buf *buf, uint64_t value);
/** Append a signed integer. */
void bbm_put_i64(bbm_buf *buf, int64_t value);
/** Append a byte string. */
void bbm_put_bytes(bbm_buf *buf, const void *data, size_t len);
/** Append the head of a byte string of @p len bytes, which is to be followed
 * by the bytes themselves. */
void bbm_put_bytes_head(bbm_buf *buf, size_t len);
/** Append a string as a byte string; NULL is written as "". */
void bbm_put_str(bbm_buf *buf, const char *text);

/** A decoder at the start of @p len bytes. */
bbm_reader bbm_reader_of(const void *data, size_t len);
/** An unsigned integer; 0 after an error. */
uint64_t bbm_get_u64(bbm_reader *r);
/** An unsigned integer no larger than @p max; 0 after an error. */
uint32_t bbm_get_u32(bbm_reader *r, uint32_t max);
/** A signed integer; 0 after an error. */
int64_t bbm_get_i64(bbm_reader *r);
/** A byte string; empty after an error. */
bbm_bytes bbm_get_bytes(bbm_reader *r);
/** Copy a byte string of exactly @p len bytes to @p dst; zeros after an
 *  error. */
void bbm_get_fixed(bbm_reader *r, void *dst, size_t len);
/** A name: shorter than BBM_NAME_SIZE and without zero bytes; "" after an
 *  error. */
void bbm_get_name(bbm_reader *r, char name[BBM_NAME_SIZE]);
/** A byte string as a new string that the caller frees; "" after an error. */
char *bbm_get_strdup(bbm_reader *r);
/** True if there was no error and all bytes were decoded. */
bool bbm_reader_done(const bbm_reader *r);

#endif
