/** @file
 *  Where streams that clients may take up again began.
 *
 *  Upstreams of one pool may run several builds of their software, and what
 *  two builds write doesn't fit together: a stream may go on only at the build
 *  that began it.  A client that takes a stream up again names the attempt
 *  that brought its first event, and may do so at a VM that has never seen
 *  that attempt.
 *
 *  An origin is a hash of a pool, in its upper half, and of a build; a stream
 *  is named by a hash of its customer and of that attempt's id.  Both are
 * never 0.
 *
 *      bbm_origins *o = bbm_origins_create(1024);
 *      bbm_origins_add(o, &row, now);
 *      uint64_t origin = bbm_origins_find(o, stream, now);   0: unknown
 *
 *  Pure: the caller passes in the time, in milliseconds of any one clock.
 */
#ifndef BBM_ORIGINS_H
#define BBM_ORIGINS_H

#include "bbm_pack.h"

/** Longest time for which an origin is known; no stream is taken up later. */
#define BBM_ORIGIN_LIFE_MAX_MS ((int64_t)600 * 1000)
/** Maximum number of rows in a message or command. */
#define BBM_ORIGIN_ROWS_MAX 4096

/** The origin of one stream. */
typedef struct bbm_origin_row {
    uint64_t stream; /**< The stream. */
    uint64_t origin; /**< Where it began. */
    int64_t life_ms; /**< Time for which it may be taken up again. */
} bbm_origin_row;

/** Origins of many streams; opaque. */
typedef struct bbm_origins bbm_origins;

/** The origin of the streams that a build of a pool's upstreams begins. */
uint64_t bbm_origin_of(const char *pool, const char *build);

/** Create an empty table.  If it has @p rows_max rows, the oldest makes room
 *  for a new one. */
bbm_origins *bbm_origins_create(size_t rows_max);
/** Destroy a table; NULL is allowed. */
void bbm_origins_destroy(bbm_origins *o);
/** Add a row.  A stream that is known keeps its origin: it has only one. */
void bbm_origins_add(bbm_origins *o, const bbm_origin_row *row,
                     int64_t now_ms);
/** The origin of a stream; 0: unknown. */
uint64_t bbm_origins_find(const bbm_origins *o, uint64_t stream,
                          int64_t now_ms);
/** True if no known stream of the same pool began elsewhere, at another build.
 */
bool bbm_origins_is_sole(const bbm_origins *o, uint64_t origin);
/** Remove the rows whose life has ended, once a second at most; adding rows
 * does that too. */
void bbm_origins_expire(bbm_origins *o, int64_t now_ms);
/** Number of rows. */
size_t bbm_origins_len(const bbm_origins *o);

/** Append a row. */
void bbm_origin_row_put(bbm_buf *buf, const bbm_origin_row *row);
/** Read a row; a malformed one sets the reader's error. */
void bbm_origin_row_get(bbm_reader *rd, bbm_origin_row *row);

/** Append all rows, with the moments at which their lives end. */
void bbm_origins_encode(const bbm_origins *o, bbm_buf *buf);
/** Add encoded rows; false if they are malformed. */
bool bbm_origins_decode(bbm_origins *o, bbm_reader *rd);

#endif
