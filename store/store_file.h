/** @file
 *  Files of checksummed records (private).
 */
#ifndef STORE_FILE_H
#define STORE_FILE_H

#include "bbm_pack.h"

/** Bytes before a record's payload: length and checksum. */
#define RECORD_HEADER_BYTES 12
/** A longer payload is taken for damage. */
#define RECORD_PAYLOAD_BYTES_MAX ((uint32_t)256 * 1024 * 1024)

/** Append a record to a buffer. */
void store_record_add(bbm_buf *out, const bbm_buf *payload);

/** Takes one payload; returns 0 or a negative code that ends the reading. */
typedef int store_record_fn(void *context, bbm_bytes payload);

/** Read all records of a file.  *good receives the length of the part that is
 *  whole; what follows it was never synced.  BBM_ERR_IO, BBM_ERR_CORRUPT. */
int store_file_read(int folder, const char *name, store_record_fn *fn,
                    void *context, uint64_t *good, uint64_t *size);

/** Write all bytes at the file's end; 0 or a negative code. */
int store_write_all(int fd, const void *data, size_t len);

/** Make a file with these bytes under a name, synced; not the folder. */
int store_file_create(int folder, const char *name, const bbm_buf *bytes);

/** A negative code for errno. */
int store_errno_code(void);

/** Close a descriptor held in a variable. */
void store_auto_close(int *fd);

/** The descriptor is closed at the end of its scope. */
#define STORE_AUTO_CLOSE __attribute__((cleanup(store_auto_close)))

#endif
