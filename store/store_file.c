#include "store_file.h"

#include "bbm_codes.h"
#include "bbm_hash.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Hash seed of record checksums; part of the file format. */
#define CHECKSUM_SEED 0x62626d31u

void
store_auto_close(int *fd)
{
    if (*fd >= 0)
        close(*fd);
}

int
store_errno_code(void)
{
    return errno == ENOSPC || errno == EDQUOT || errno == EFBIG
               ? BBM_ERR_DISK_FULL
               : BBM_ERR_IO;
}

void
store_record_add(bbm_buf *out, const bbm_buf *payload)
{
    uint32_t len = (uint32_t)payload->len;
    uint64_t checksum =
        bbm_hash64(payload->data ? payload->data : (const void *)"",
                   payload->len, CHECKSUM_SEED + len);
    bbm_buf_add(out, &len, sizeof(len));
    bbm_buf_add(out, &checksum, sizeof(checksum));
    bbm_buf_add(out, payload->data, payload->len);
}

int
store_read_at(int fd, uint64_t at, void *data, size_t len)
{
    uint8_t *pos = data;
    while (len) {
        ssize_t n = pread(fd, pos, len, (off_t)at);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return BBM_ERR_IO;
        pos += n;
        at += (uint64_t)n;
        len -= (size_t)n;
    }
    return BBM_OK;
}

static bool
all_zero(const uint8_t *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (data[i])
            return false;
    }
    return true;
}

/* Whether there are only zeros from @p at to the end. */
static int
rest_is_zero(int fd, uint64_t at, uint64_t size, bool *is_zero)
{
    uint8_t block[4096];
    *is_zero = true;
    while (*is_zero && at < size) {
        size_t len =
            size - at < sizeof(block) ? (size_t)(size - at) : sizeof(block);
        int rc = store_read_at(fd, at, block, len);
        if (rc < 0)
            return rc;
        *is_zero = all_zero(block, len);
        at += len;
    }
    return BBM_OK;
}

/* A record that is being read. */
typedef struct record {
    uint32_t len;
    uint64_t checksum;
    uint8_t *payload; /* room for cap bytes */
    size_t cap;
} record;

static void
record_free(record *r)
{
    free(r->payload);
}

/* Reads the record at @p at.  *complete is false if reading ends before it: an
   incomplete last record, or zeros up to the end of the file, come from a
   write that was never synced.  A complete record with a wrong checksum is
   corrupt. */
static int
read_record(int fd, uint64_t at, uint64_t size, record *r, bool *complete)
{
    uint8_t header[RECORD_HEADER_BYTES];
    uint64_t bytes_left = size - at;
    bool is_zero = false;
    *complete = false;
    if (bytes_left < RECORD_HEADER_BYTES)
        return BBM_OK;
    int rc = store_read_at(fd, at, header, sizeof(header));
    if (rc == BBM_OK && all_zero(header, sizeof(header)))
        rc = rest_is_zero(fd, at, size, &is_zero);
    if (rc < 0 || is_zero)
        return rc;
    memcpy(&r->len, header, sizeof(r->len));
    memcpy(&r->checksum, header + sizeof(r->len), sizeof(r->checksum));
    if (r->len > RECORD_PAYLOAD_BYTES_MAX)
        return BBM_ERR_CORRUPT;
    if (r->len > bytes_left - RECORD_HEADER_BYTES)
        return BBM_OK;
    if (r->len > r->cap || !r->cap) {
        r->cap = r->len + 1;
        r->payload = bbm_realloc(r->payload, r->cap);
    }
    rc = store_read_at(fd, at + RECORD_HEADER_BYTES, r->payload, r->len);
    if (rc < 0)
        return rc;
    *complete = true;
    return bbm_hash64(r->payload, r->len, CHECKSUM_SEED + r->len)
                   == r->checksum
               ? BBM_OK
               : BBM_ERR_CORRUPT;
}

int
store_file_read(int folder, const char *name, store_record_fn *fn,
                void *context, uint64_t *valid_size, uint64_t *size)
{
    STORE_AUTO_CLOSE int fd = openat(folder, name, O_RDONLY | O_CLOEXEC);
    struct stat st;
    if (fd < 0 || fstat(fd, &st) < 0)
        return BBM_ERR_IO;
    *size = (uint64_t)st.st_size;
    *valid_size = 0;
    __attribute__((cleanup(record_free))) record r = {0};
    while (*valid_size < *size) {
        bool complete;
        int rc = read_record(fd, *valid_size, *size, &r, &complete);
        if (rc < 0 || !complete)
            return rc;
        uint64_t at = *valid_size + RECORD_HEADER_BYTES;
        rc = fn(context, (bbm_bytes){.data = r.payload, .len = r.len}, at);
        if (rc < 0)
            return rc;
        *valid_size = at + r.len;
    }
    return BBM_OK;
}

int
store_write_all(int fd, const void *data, size_t len)
{
    const uint8_t *pos = data;
    while (len) {
        ssize_t n = write(fd, pos, len);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return store_errno_code();
        pos += n;
        len -= (size_t)n;
    }
    return BBM_OK;
}

int
store_file_create(int folder, const char *name, const bbm_buf *bytes)
{
    STORE_AUTO_CLOSE int fd =
        openat(folder, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return store_errno_code();
    int rc = store_write_all(fd, bytes->data, bytes->len);
    if (rc < 0)
        return rc;
    return fsync(fd) < 0 ? store_errno_code() : BBM_OK;
}
