/** @file
 *  Files of checksummed records (private).
 */
#ifndef STORE_FILE_H
#define STORE_FILE_H

#include "bbm_pack.h"

/** Size of a record's header: 4 bytes of length, 8 of checksum. */
#define RECORD_HEADER_BYTES 12
/** A header with a greater payload length is treated as corrupt. */
#define RECORD_PAYLOAD_BYTES_MAX ((uint32_t)256 * 1024 * 1024)

/** Append a record with this payload, header included, to a buffer. */
void store_record_add(bbm_buf *out, const bbm_buf *payload);

/** Receives the payload of a record, which stands at @p at in the file; a
 *  negative return value ends the reading and becomes its result. */
typedef int store_record_fn(void *context, bbm_bytes payload, uint64_t at);

/** Read all records of a file, one at a time.  @p size receives the file's
 * length, and
 *  @p valid_size that of its complete records, both in bytes; what follows
 *  them was never synced.  BBM_ERR_IO, BBM_ERR_CORRUPT, or the code returned
 *  by @p fn. */
int store_file_read(int folder, const char *name, store_record_fn *fn,
                    void *context, uint64_t *valid_size, uint64_t *size);

/** Read @p len bytes at @p at; 0 or BBM_ERR_IO, also if the file ends
 *  before. */
int store_read_at(int fd, uint64_t at, void *data, size_t len);

/** Write all bytes at the file position; 0 or a negative code. */
int store_write_all(int fd, const void *data, size_t len);

/** Create or replace a file with these bytes and sync it, but not its
 *  folder. */
int store_file_create(int folder, const char *name, const bbm_buf *bytes);

/** Result code for the present errno: BBM_ERR_DISK_FULL if space, quota or
 *  file size is exhausted, else BBM_ERR_IO. */
int store_errno_code(void);

/** Cleanup function of STORE_AUTO_CLOSE. */
void store_auto_close(int *fd);

/** Closes the file descriptor in a variable at the end of its scope. */
#define STORE_AUTO_CLOSE __attribute__((cleanup(store_auto_close)))

#endif
