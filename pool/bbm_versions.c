#include "bbm_versions.h"

#include <string.h>

bool
bbm_versions_add(bbm_versions *v, uint64_t number, bbm_time named_at)
{
    if (number <= bbm_versions_newest(v))
        return false;
    if (v->len == BBM_VERSIONS_MAX) {
        v->len--;
        memmove(v->numbers, v->numbers + 1, v->len * sizeof(*v->numbers));
        memmove(v->named_at, v->named_at + 1, v->len * sizeof(*v->named_at));
    }
    /* Calendars of those that named them may differ. */
    for (size_t i = 0; i < v->len; i++) {
        if (v->named_at[i] > named_at)
            v->named_at[i] = named_at;
    }
    v->numbers[v->len] = number;
    v->named_at[v->len++] = named_at;
    return true;
}

uint64_t
bbm_versions_newest(const bbm_versions *v)
{
    return v->len ? v->numbers[v->len - 1] : 0;
}

bbm_time
bbm_versions_named_at(const bbm_versions *v, uint64_t number)
{
    for (size_t i = 0; i < v->len; i++) {
        if (v->numbers[i] == number)
            return v->named_at[i];
    }
    return BBM_NEVER;
}

bbm_time
bbm_versions_overtaken_at(const bbm_versions *v, uint64_t number)
{
    for (size_t i = 0; number && i < v->len; i++) {
        if (v->numbers[i] > number)
            return v->named_at[i];
    }
    return BBM_NEVER;
}
