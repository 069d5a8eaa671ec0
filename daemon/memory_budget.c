#include "memory_budget.h"

#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/* Shares of the total that one holder may have, in eighths.  Bodies leave
   room for the answers of requests whose bodies are held; a peer's snapshot
   of some MB fits into the shares of messages. */
#define TOTAL_PARTS 8
static const size_t share_parts[MEMORY_HOLDERS] = {
    [MEMORY_CONNECTIONS] = 4, [MEMORY_BODIES] = 4,  [MEMORY_ANSWERS] = 3,
    [MEMORY_TRANSFERS] = 4,   [MEMORY_EVENTS] = 1,  [MEMORY_PEERS] = 3,
    [MEMORY_MAILBOX] = 2,     [MEMORY_CONFIGS] = 3, [MEMORY_CHANGES] = 4,
};
/* Part of the machine's memory that is counted: a daemon of a large deployment
   has some 40 of 88 MB without it.  On smaller machines less is left: a daemon
   without load has 13 MB, and blocks of freed memory take a fifth of what is
   counted. */
#define COUNTED_PART 2
#define UNCOUNTED_BYTES_MIN ((size_t)20 * 1000 * 1000)
/* Whatever the machine has. */
#define COUNTED_BYTES_MIN ((size_t)8 * 1024 * 1024)
#define RESERVE_PARTS 1

#define CGROUP_FOLDER "/sys/fs/cgroup"
#define PATH_SIZE 1024

static size_t
min_size(size_t a, size_t b)
{
    return a < b ? a : b;
}

void
memory_budget_init(memory_budget *b, size_t machine_bytes)
{
    memset(b, 0, sizeof(*b));
    size_t rest = machine_bytes > UNCOUNTED_BYTES_MIN
                      ? machine_bytes - UNCOUNTED_BYTES_MIN
                      : 0;
    b->total = min_size(machine_bytes / COUNTED_PART, rest);
    if (b->total < COUNTED_BYTES_MIN)
        b->total = COUNTED_BYTES_MIN;
    b->reserve = b->total / TOTAL_PARTS * RESERVE_PARTS;
    for (size_t i = 0; i < MEMORY_HOLDERS; i++)
        b->shares[i] = b->total / TOTAL_PARTS * share_parts[i];
}

/* The first item of a holder has room as long as the total has: no length that
   a configuration allows is refused without load. */
static bool
fits(const memory_budget *b, memory_holder holder, size_t held, size_t sum,
     size_t bytes, size_t item_bytes)
{
    if (sum + bytes > b->total)
        return false;
    bool first = held + bytes <= item_bytes;
    if (item_bytes <= MEMORY_SMALL_BYTES || first)
        return true;
    return held + bytes <= b->shares[holder]
           && sum + bytes <= b->total - b->reserve;
}

bool
memory_budget_has_room(const memory_budget *b, memory_holder holder,
                       size_t bytes, size_t item_bytes)
{
    if (!b)
        return true;
    return fits(b, holder, atomic_load(&b->held[holder]),
                atomic_load(&b->held_sum), bytes, item_bytes);
}

/* Threads that take at the same time may each see the other's bytes, and both
   be refused; they never exceed a limit together. */
bool
memory_budget_take(memory_budget *b, memory_holder holder, size_t bytes,
                   size_t item_bytes)
{
    if (!b || !bytes)
        return true;
    size_t held = atomic_fetch_add(&b->held[holder], bytes);
    size_t sum = atomic_fetch_add(&b->held_sum, bytes);
    if (fits(b, holder, held, sum, bytes, item_bytes))
        return true;
    memory_budget_give(b, holder, bytes);
    atomic_fetch_add(&b->refused, 1);
    return false;
}

bool
memory_budget_take_own(memory_budget *b, memory_holder holder, size_t bytes)
{
    if (!b || bytes > MEMORY_SMALL_BYTES)
        return memory_budget_take(b, holder, bytes, bytes);
    size_t held = atomic_fetch_add(&b->held[holder], bytes);
    atomic_fetch_add(&b->held_sum, bytes);
    if (held + bytes <= b->shares[holder])
        return true;
    memory_budget_give(b, holder, bytes);
    atomic_fetch_add(&b->refused, 1);
    return false;
}

void
memory_budget_force(memory_budget *b, memory_holder holder, size_t bytes)
{
    if (!b || !bytes)
        return;
    atomic_fetch_add(&b->held[holder], bytes);
    atomic_fetch_add(&b->held_sum, bytes);
}

void
memory_budget_give(memory_budget *b, memory_holder holder, size_t bytes)
{
    if (!b || !bytes)
        return;
    atomic_fetch_sub(&b->held[holder], bytes);
    atomic_fetch_sub(&b->held_sum, bytes);
}

size_t
memory_budget_item_max(const memory_budget *b)
{
    size_t configs = memory_budget_held(b, MEMORY_CONFIGS);
    if (!b)
        return SIZE_MAX;
    return configs < b->total ? b->total - configs : 0;
}

size_t
memory_budget_held(const memory_budget *b, memory_holder holder)
{
    return b ? atomic_load(&b->held[holder]) : 0;
}

const char *
memory_holder_name(memory_holder holder)
{
    static const char *const names[MEMORY_HOLDERS] = {
        [MEMORY_CONNECTIONS] = "connections", [MEMORY_BODIES] = "bodies",
        [MEMORY_ANSWERS] = "answers",         [MEMORY_TRANSFERS] = "transfers",
        [MEMORY_EVENTS] = "events",           [MEMORY_PEERS] = "peers",
        [MEMORY_MAILBOX] = "mailbox",         [MEMORY_CONFIGS] = "configs",
        [MEMORY_CHANGES] = "changes",
    };
    return names[holder];
}

/* ---- eviction ---- */

static bool
is_idle(const memory_body *body, bbm_time now)
{
    bbm_time limit = body->is_answer ? MEMORY_UNREAD_TIME : MEMORY_IDLE_TIME;
    return now - body->idle_at >= limit;
}

bool
memory_budget_evict_before(const memory_body *a, const memory_body *b,
                           bbm_time now)
{
    if (a->is_answer != b->is_answer)
        return b->is_answer;
    bool a_idle = is_idle(a, now);
    if (a_idle != is_idle(b, now))
        return a_idle;
    if (a->bytes != b->bytes)
        return a->bytes > b->bytes;
    return a->idle_at < b->idle_at;
}

bool
memory_budget_may_evict(const memory_body *victim, size_t item_bytes,
                        bbm_time now)
{
    if (is_idle(victim, now))
        return true;
    return !victim->is_answer && item_bytes <= MEMORY_SMALL_BYTES
           && victim->bytes > MEMORY_SMALL_BYTES;
}

/* ---- the machine ---- */

/* SIZE_MAX: there is no limit, or it can't be read. */
static size_t
cgroup_limit(const char *group)
{
    char path[PATH_SIZE + sizeof(CGROUP_FOLDER "/memory.max")];
    unsigned long long limit;
    snprintf(path, sizeof(path), "%s%s/memory.max", CGROUP_FOLDER, group);
    FILE *file = fopen(path, "re");
    if (!file)
        return SIZE_MAX;
    bool has_limit = fscanf(file, "%llu", &limit) == 1;
    fclose(file);
    return has_limit ? (size_t)limit : SIZE_MAX;
}

/* The lowest limit of the process's control group and those above it. */
static size_t
lowest_cgroup_limit(void)
{
    char group[PATH_SIZE] = "";
    size_t lowest = SIZE_MAX;
    FILE *file = fopen("/proc/self/cgroup", "re");
    if (!file)
        return SIZE_MAX;
    if (fscanf(file, "0::%1023s", group) != 1)
        group[0] = '\0';
    fclose(file);
    char *end;
    while ((end = strrchr(group, '/')) != NULL) {
        lowest = min_size(lowest, cgroup_limit(group));
        *end = '\0';
    }
    return lowest;
}

size_t
memory_budget_detect(void)
{
    struct rlimit limit;
    long pages = sysconf(_SC_PHYS_PAGES);
    long page_bytes = sysconf(_SC_PAGESIZE);
    size_t bytes = SIZE_MAX / 2;
    if (pages > 0 && page_bytes > 0)
        bytes = (size_t)pages * (size_t)page_bytes;
    if (getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        bytes = min_size(bytes, (size_t)limit.rlim_cur);
    return min_size(bytes, lowest_cgroup_limit());
}
