/** @file
 *  Memory allocation, names and clean-up.
 *
 *  Allocation failure aborts the process: a router that has lost the state of
 *  a claim or a lease must not continue.  A size that an outsider chooses is
 *  limited before the allocation.
 *
 *      BBM_AUTO_FREE char *text = bbm_strdup("x");   freed at scope end
 */
#ifndef BBM_MEM_H
#define BBM_MEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of the name of an object in bytes, with the terminating zero. */
#define BBM_NAME_SIZE 64

/** Zeroed memory for @p n items of @p size bytes; never NULL. */
void *bbm_calloc(size_t n, size_t size) __attribute__((returns_nonnull));

/** realloc that never returns NULL; a size of 0 counts as 1. */
void *bbm_realloc(void *p, size_t size) __attribute__((returns_nonnull));

/** A copy of @p s that the caller frees; NULL for NULL. */
char *bbm_strdup(const char *s);

/** A copy of @p len bytes of @p p that the caller frees; NULL if @p len is
 *  0. */
void *bbm_memdup(const void *p, size_t len);

/** Copy a name, truncated to BBM_NAME_SIZE - 1 bytes; NULL is "". */
void bbm_name_set(char dst[BBM_NAME_SIZE], const char *src);

/** Copy a string into @p size bytes, truncated if necessary and filled up with
 *  zeros, at least one; NULL is "". */
void bbm_text_set(char *dst, size_t size, const char *src);

/** Grow the array that the pointer variable at @p items points to, so that one
 *  more item fits; @p *cap is its capacity and @p used its length in items. */
void bbm_grow(void *items, size_t *cap, size_t used, size_t item_size);

/** Give freed memory back to the system.  The allocator keeps what lies
 *  between blocks in use: most of the tree of a document that was read.
 *  Takes half a millisecond after a document of 1.6 MB. */
void bbm_trim(void);

/** Free the memory that a pointer variable points to; @p variable is its
 *  address. */
void bbm_auto_free(void *variable);

/** Attribute of a pointer variable: its memory is freed at the end of the
 *  scope. */
#define BBM_AUTO_FREE __attribute__((cleanup(bbm_auto_free)))

/** Number of elements of an array. */
#define BBM_COUNT(array) (sizeof(array) / sizeof((array)[0]))

#endif
