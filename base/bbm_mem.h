/** @file
 *  Memory, names and clean-up.
 *
 *  Allocation failure ends the process: a router that lost track of a claim
 *  or of a lease for want of a few bytes must not go on.  Buffers whose size
 *  an outsider chooses are bounded before they are asked for.
 *
 *      BBM_AUTO_FREE char *text = bbm_strdup("x");   freed at scope end
 */
#ifndef BBM_MEM_H
#define BBM_MEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes for the name of an object, its end mark included. */
#define BBM_NAME_SIZE 64

/** Zeroed memory for @p n items of @p size bytes; never NULL. */
void *bbm_calloc(size_t n, size_t size) __attribute__((returns_nonnull));

/** realloc that never returns NULL for a size above zero. */
void *bbm_realloc(void *p, size_t size) __attribute__((returns_nonnull));

/** A copy of @p s; NULL for NULL. */
char *bbm_strdup(const char *s);

/** A copy of @p len bytes of @p p; NULL if @p len is 0. */
void *bbm_memdup(const void *p, size_t len);

/** Copy a name, cut to BBM_NAME_SIZE - 1 bytes. */
void bbm_name_set(char dst[BBM_NAME_SIZE], const char *src);

/** Copy a text into @p size bytes, cut if need be, with an end mark. */
void bbm_text_set(char *dst, size_t size, const char *src);

/** Grow @p *items so that one more fits; @p *cap counts items. */
void bbm_grow(void *items, size_t *cap, size_t used, size_t item_size);

/** Free what a `char *` or other pointer variable holds. */
void bbm_auto_free(void *variable);

/** The variable's memory is freed at the end of its scope. */
#define BBM_AUTO_FREE __attribute__((cleanup(bbm_auto_free)))

/** Number of elements of an array. */
#define BBM_COUNT(array) (sizeof(array) / sizeof((array)[0]))

#endif
