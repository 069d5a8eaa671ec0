/** @file
 *  Compression of byte strings, as zlib streams.
 */
#ifndef BBM_DEFLATE_H
#define BBM_DEFLATE_H

#include "bbm_pack.h"

/** Append the compressed @p bytes. */
void bbm_deflate(bbm_bytes bytes, bbm_buf *buf);
/** Append the @p len bytes that were compressed to @p deflated.
 *  BBM_ERR_DECODE, without any bytes appended, if it isn't a stream of as many
 *  bytes. */
int bbm_inflate(bbm_bytes deflated, size_t len, bbm_buf *buf);

#endif
