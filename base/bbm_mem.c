#include "bbm_mem.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
abort_if_null(void *p)
{
    if (!p) {
        fputs("out of memory\n", stderr);
        abort();
    }
    return p;
}

void *
bbm_calloc(size_t n, size_t size)
{
    return abort_if_null(calloc(n ? n : 1, size ? size : 1));
}

void *
bbm_realloc(void *p, size_t size)
{
    return abort_if_null(realloc(p, size ? size : 1));
}

char *
bbm_strdup(const char *s)
{
    return s ? abort_if_null(strdup(s)) : NULL;
}

void *
bbm_memdup(const void *p, size_t len)
{
    if (!len)
        return NULL;
    void *copy = bbm_calloc(1, len);
    memcpy(copy, p, len);
    return copy;
}

void
bbm_text_set(char *dst, size_t size, const char *src)
{
    size_t len = src ? strnlen(src, size - 1) : 0;
    if (len)
        memmove(dst, src, len);
    memset(dst + len, 0, size - len);
}

void
bbm_name_set(char dst[BBM_NAME_SIZE], const char *src)
{
    bbm_text_set(dst, BBM_NAME_SIZE, src);
}

void
bbm_grow(void *items, size_t *cap, size_t used, size_t item_size)
{
    if (used < *cap)
        return;
    void *old;
    memcpy(&old, items, sizeof(old));
    *cap = *cap ? *cap * 2 : 8;
    void *grown = bbm_realloc(old, *cap * item_size);
    memcpy(items, &grown, sizeof(grown));
}

void
bbm_trim(void)
{
    malloc_trim(0);
}

void
bbm_auto_free(void *variable)
{
    void *p;
    memcpy(&p, variable, sizeof(p));
    free(p);
}
