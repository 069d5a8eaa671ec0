/** @file
 *  Hash tables of structs with intrusive links.
 *
 *  A table is a pointer to a struct with a member `UT_hash_handle hh`; NULL is
 *  the empty table.
 *
 *      BBM_TABLE_FREE(thing, owner->things);      removes and frees all rows
 *
 *  Source: uthash.
 */
#ifndef BBM_TABLE_H
#define BBM_TABLE_H

#include <stdlib.h>
#include <uthash.h>

/** Remove all rows of a table and free each; the table is then empty. */
#define BBM_TABLE_FREE(type, table)                                           \
    do {                                                                      \
        type *row_, *next_;                                                   \
        HASH_ITER(hh, table, row_, next_)                                     \
        {                                                                     \
            HASH_DEL(table, row_);                                            \
            free(row_);                                                       \
        }                                                                     \
    } while (0)

#endif
