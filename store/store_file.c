#include "store_file.h"

#include "bbm_codes.h"
#include "bbm_hash.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Seed of the records' checksums. */
#define CHECK_SEED 0x62626d31u

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
    uint64_t check =
        bbm_hash64(payload->data ? payload->data : (const void *)"",
                   payload->len, CHECK_SEED + len);
    bbm_buf_add(out, &len, sizeof(len));
    bbm_buf_add(out, &check, sizeof(check));
    bbm_buf_add(out, payload->data, payload->len);
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

/* A record that the file's end cuts short, or a tail of zeros, is a write
   that was never synced.  A whole record with a wrong sum is damage. */
static int
read_records(const uint8_t *data, size_t size, store_record_fn *fn,
             void *context, uint64_t *good)
{
    size_t at = 0;
    while (at < size) {
        *good = at;
        size_t rest = size - at;
        if (rest < RECORD_HEADER_BYTES || all_zero(data + at, rest))
            return BBM_OK;
        uint32_t len;
        uint64_t check;
        memcpy(&len, data + at, sizeof(len));
        memcpy(&check, data + at + sizeof(len), sizeof(check));
        if (len > RECORD_PAYLOAD_BYTES_MAX)
            return BBM_ERR_CORRUPT;
        if (len > rest - RECORD_HEADER_BYTES)
            return BBM_OK;
        const uint8_t *payload = data + at + RECORD_HEADER_BYTES;
        if (bbm_hash64(payload, len, CHECK_SEED + len) != check)
            return BBM_ERR_CORRUPT;
        int rc = fn(context, (bbm_bytes){.data = payload, .len = len});
        if (rc < 0)
            return rc;
        at += RECORD_HEADER_BYTES + len;
    }
    *good = at;
    return BBM_OK;
}

int
store_file_read(int folder, const char *name, store_record_fn *fn,
                void *context, uint64_t *good, uint64_t *size)
{
    STORE_AUTO_CLOSE int fd = openat(folder, name, O_RDONLY | O_CLOEXEC);
    struct stat st;
    if (fd < 0 || fstat(fd, &st) < 0)
        return BBM_ERR_IO;
    *size = (uint64_t)st.st_size;
    *good = 0;
    BBM_AUTO_FREE uint8_t *data = bbm_calloc((size_t)st.st_size + 1, 1);
    size_t have = 0;
    while (have < (size_t)st.st_size) {
        ssize_t n = read(fd, data + have, (size_t)st.st_size - have);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return BBM_ERR_IO;
        have += (size_t)n;
    }
    return read_records(data, have, fn, context, good);
}

int
store_write_all(int fd, const void *data, size_t len)
{
    const uint8_t *at = data;
    while (len) {
        ssize_t n = write(fd, at, len);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return store_errno_code();
        at += n;
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
