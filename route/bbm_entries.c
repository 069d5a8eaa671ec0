#include "bbm_entries.h"

#include <string.h>

/* A VM is overloaded if its open requests exceed the mean of the ready VMs
   times OVERLOAD_FACTOR, plus OVERLOAD_MIN_REQUESTS. */
#define OVERLOAD_FACTOR 1.5
#define OVERLOAD_MIN_REQUESTS 16.0

typedef struct ranked {
    const bbm_member *member;
    int group; /* 0: same zone, 1: other zone, 2: overloaded, 3: suspect */
    uint64_t weight; /* rendezvous hash for the client */
} ranked;

static bool
serves(const bbm_member *m)
{
    return m->ready && !m->leaving && m->status != BBM_MEMBER_DEAD
           && m->entry_url[0];
}

static double
mean_load(const bbm_members *members)
{
    double sum = 0;
    double count = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(members, i)) != NULL; i++) {
        if (!serves(m))
            continue;
        sum += (double)m->open_requests;
        count++;
    }
    return count > 0 ? sum / count : 0;
}

static int
group_of(const bbm_member *m, const char *zone, double mean)
{
    if (m->status == BBM_MEMBER_SUSPECT)
        return 3;
    if ((double)m->open_requests
        > mean * OVERLOAD_FACTOR + OVERLOAD_MIN_REQUESTS)
        return 2;
    return strcmp(m->zone, zone) == 0 ? 0 : 1;
}

static bool
ranks_before(const ranked *a, const ranked *b)
{
    if (a->group != b->group)
        return a->group < b->group;
    return a->weight > b->weight;
}

size_t
bbm_entries_pick(const bbm_members *members, const char *zone, uint64_t client,
                 size_t max, const bbm_member *out[BBM_ENTRIES_MAX])
{
    ranked best[BBM_ENTRIES_MAX];
    size_t len = 0;
    if (max > BBM_ENTRIES_MAX)
        max = BBM_ENTRIES_MAX;
    double mean = mean_load(members);
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(members, i)) != NULL; i++) {
        if (!serves(m))
            continue;
        ranked r = {
            .member = m,
            .group = group_of(m, zone, mean),
            .weight = bbm_hash_text(m->name, client),
        };
        size_t at = len;
        while (at > 0 && ranks_before(&r, &best[at - 1]))
            at--;
        if (at == max)
            continue;
        if (len < max)
            len++;
        memmove(&best[at + 1], &best[at], (len - at - 1) * sizeof(r));
        best[at] = r;
    }
    for (size_t i = 0; i < len; i++)
        out[i] = best[i].member;
    return len;
}
