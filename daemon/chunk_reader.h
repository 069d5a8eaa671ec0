/** @file
 *  Decodes a body in chunks (RFC 9112, 7.1).
 *
 *  libcurl ignores whatever stands behind the digits of a chunk's size: "0x1a"
 *  is the end of the body to it, and what follows are trailers.  Here such a
 *  body is malformed.
 *
 *      chunk_reader *c = chunk_reader_create(false);
 *      const char *fault = chunk_reader_read(c, data, len, &body);
 *      bool whole = chunk_reader_is_complete(c);
 *      chunk_reader_destroy(c);
 */
#ifndef CHUNK_READER_H
#define CHUNK_READER_H

#include "bbm_pack.h"

#include <stdbool.h>
#include <stddef.h>

/** What has been read of a body; opaque. */
typedef struct chunk_reader chunk_reader;

/** @p ends_with_lf: lines end with a line feed alone. */
chunk_reader *chunk_reader_create(bool ends_with_lf);
/** NULL is allowed. */
void chunk_reader_destroy(chunk_reader *c);
/** Read the next @p len bytes, which may end anywhere, and append those of the
 *  body to @p out.  Bytes behind the end of the body are ignored.  Returns
 *  NULL, or what is malformed: a static text, for the log; then nothing more
 *  can be read. */
const char *chunk_reader_read(chunk_reader *c, const char *data, size_t len,
                              bbm_buf *out);
/** True once the last chunk and the trailers have been read. */
bool chunk_reader_is_complete(const chunk_reader *c);

#endif
