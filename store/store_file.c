#include "store_file.h"

#include "bbm_codes.h"
#include "bbm_hash.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
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

static bool
all_zero(const uint8_t *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (data[i])
            return false;
    }
    return true;
}

/* An incomplete last record, or zeros up to the end of the file, come from a
   write that was never synced: reading ends before them.  A complete record
   with a wrong checksum is corrupt. */
static int
read_records(const uint8_t *data, size_t size, store_record_fn *fn,
             void *context, uint64_t *valid_size)
{
    size_t pos = 0;
    while (pos < size) {
        *valid_size = pos;
        size_t bytes_left = size - pos;
        if (bytes_left < RECORD_HEADER_BYTES
            || all_zero(data + pos, bytes_left))
            return BBM_OK;
        uint32_t len;
        uint64_t checksum;
        memcpy(&len, data + pos, sizeof(len));
        memcpy(&checksum, data + pos + sizeof(len), sizeof(checksum));
        if (len > RECORD_PAYLOAD_BYTES_MAX)
            return BBM_ERR_CORRUPT;
        if (len > bytes_left - RECORD_HEADER_BYTES)
            return BBM_OK;
        const uint8_t *payload = data + pos + RECORD_HEADER_BYTES;
        if (bbm_hash64(payload, len, CHECKSUM_SEED + len) != checksum)
            return BBM_ERR_CORRUPT;
        int rc = fn(context, (bbm_bytes){.data = payload, .len = len});
        if (rc < 0)
            return rc;
        pos += RECORD_HEADER_BYTES + len;
    }
    *valid_size = pos;
    return BBM_OK;
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
    BBM_AUTO_FREE uint8_t *data = bbm_calloc((size_t)st.st_size + 1, 1);
    size_t bytes_read = 0;
    while (bytes_read < (size_t)st.st_size) {
        ssize_t n =
            read(fd, data + bytes_read, (size_t)st.st_size - bytes_read);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return BBM_ERR_IO;
        bytes_read += (size_t)n;
    }
    return read_records(data, bytes_read, fn, context, valid_size);
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
