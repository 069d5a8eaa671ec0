#include "bbm_loads.h"

#include "bbm_table.h"

#include <string.h>

/* A VM whose last report is older than this no longer counts in the totals. */
#define REPORT_TIMEOUT (1500 * BBM_MS)

typedef struct vm_row {
    char name[BBM_NAME_SIZE];
    bbm_load *loads;
    size_t loads_len;
    bbm_demand *demands;
    size_t demands_len;
    uint32_t vms; /* that the report is about */
    uint32_t held_requests;
    bbm_time last_report_at;
    UT_hash_handle hh;
} vm_row;

typedef struct load_sum {
    bbm_load load;
    UT_hash_handle hh;
} load_sum;

typedef struct demand_sum {
    bbm_demand demand;
    UT_hash_handle hh;
} demand_sum;

struct bbm_loads {
    vm_row *vms;
};

static void
put_limit(bbm_buf *buf, const bbm_limit_statement *s)
{
    bbm_put_u64(buf, s->kind);
    if (s->kind == BBM_LIMIT_UNSTATED)
        return;
    bbm_put_u64(buf, s->run);
    bbm_put_u64(buf, s->per_1000_s);
    bbm_put_u64(buf, s->age_ms);
}

static void
get_limit(bbm_reader *rd, bbm_limit_statement *s)
{
    *s = (bbm_limit_statement){
        .kind = (bbm_limit_kind)bbm_get_u32(rd, BBM_LIMIT_SET)};
    if (s->kind == BBM_LIMIT_UNSTATED)
        return;
    s->run = bbm_get_u64(rd);
    s->per_1000_s = bbm_get_u32(rd, UINT32_MAX);
    s->age_ms = bbm_get_u32(rd, UINT32_MAX);
}

static void
put_load(bbm_buf *buf, const bbm_load *l, bbm_format format)
{
    bbm_put_u64(buf, l->upstream);
    bbm_put_u64(buf, l->open_requests);
    bbm_put_u64(buf, l->backlog_tokens);
    bbm_put_u64(buf, l->memory_tokens);
    bbm_put_u64(buf, l->suspecting_vms);
    bbm_put_u64(buf, l->answered_vms);
    bbm_put_u64(buf, l->paused_vms);
    bbm_put_u64(buf, l->leaving_run);
    if (format >= BBM_FORMAT_LIMITS)
        put_limit(buf, &l->limit);
}

static void
get_load(bbm_reader *rd, bbm_load *l, bbm_format format)
{
    *l = (bbm_load){0};
    l->upstream = bbm_get_u64(rd);
    l->open_requests = bbm_get_u32(rd, UINT32_MAX);
    l->backlog_tokens = bbm_get_u32(rd, UINT32_MAX);
    l->memory_tokens = bbm_get_u32(rd, UINT32_MAX);
    l->suspecting_vms = bbm_get_u32(rd, UINT32_MAX);
    l->answered_vms = bbm_get_u32(rd, UINT32_MAX);
    l->paused_vms = bbm_get_u32(rd, UINT32_MAX);
    l->leaving_run = bbm_get_u64(rd);
    if (format >= BBM_FORMAT_LIMITS)
        get_limit(rd, &l->limit);
}

void
bbm_load_put(bbm_buf *buf, const bbm_load *l)
{
    put_load(buf, l, BBM_FORMAT_LATEST);
}

void
bbm_load_get(bbm_reader *rd, bbm_load *l)
{
    get_load(rd, l, BBM_FORMAT_LATEST);
}

static void
put_demand(bbm_buf *buf, const bbm_demand *d, bbm_format format)
{
    bbm_put_u64(buf, d->customer);
    bbm_put_u64(buf, d->long_term);
    bbm_put_u64(buf, d->short_term);
    if (format >= BBM_FORMAT_ORIGINS)
        bbm_put_u64(buf, d->spent);
}

static void
get_demand(bbm_reader *rd, bbm_demand *d, bbm_format format)
{
    *d = (bbm_demand){0};
    d->customer = bbm_get_u64(rd);
    d->long_term = bbm_get_u64(rd);
    d->short_term = bbm_get_u64(rd);
    if (format >= BBM_FORMAT_ORIGINS)
        d->spent = bbm_get_u64(rd);
}

void
bbm_demand_put(bbm_buf *buf, const bbm_demand *d)
{
    put_demand(buf, d, BBM_FORMAT_LATEST);
}

void
bbm_demand_get(bbm_reader *rd, bbm_demand *d)
{
    get_demand(rd, d, BBM_FORMAT_LATEST);
}

void
bbm_loads_convert(bbm_reader *rd, bbm_format from, bbm_format to, bbm_buf *buf)
{
    bbm_put_u64(buf, bbm_get_u32(rd, BBM_LOADS_ROWS_MAX)); /* VMs */
    bbm_put_u64(buf, bbm_get_u32(rd, UINT32_MAX));         /* held requests */
    size_t loads_len = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    bbm_put_u64(buf, loads_len);
    for (size_t i = 0; i < loads_len && !rd->failed; i++) {
        bbm_load l;
        get_load(rd, &l, from);
        put_load(buf, &l, to);
    }
    size_t demands_len = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    bbm_put_u64(buf, demands_len);
    for (size_t i = 0; i < demands_len && !rd->failed; i++) {
        bbm_demand d;
        get_demand(rd, &d, from);
        put_demand(buf, &d, to);
    }
}

bbm_loads *
bbm_loads_create(void)
{
    return bbm_calloc(1, sizeof(bbm_loads));
}

static void
drop_vm(bbm_loads *all, vm_row *vm)
{
    HASH_DEL(all->vms, vm);
    free(vm->loads);
    free(vm->demands);
    free(vm);
}

void
bbm_loads_destroy(bbm_loads *all)
{
    if (!all)
        return;
    vm_row *vm, *next;
    HASH_ITER(hh, all->vms, vm, next)
    {
        drop_vm(all, vm);
    }
    free(all);
}

void
bbm_loads_add_report(bbm_loads *all, const char *vm, bbm_reader *rd,
                     bbm_time now)
{
    vm_row *row = NULL;
    HASH_FIND_STR(all->vms, vm, row);
    if (!row) {
        row = bbm_calloc(1, sizeof(*row));
        bbm_name_set(row->name, vm);
        HASH_ADD_STR(all->vms, name, row);
    }
    row->last_report_at = now;
    row->vms = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    row->held_requests = bbm_get_u32(rd, UINT32_MAX);
    row->loads_len = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    row->loads = bbm_realloc(row->loads, row->loads_len * sizeof(*row->loads));
    for (size_t i = 0; i < row->loads_len; i++)
        bbm_load_get(rd, &row->loads[i]);
    row->demands_len = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    row->demands =
        bbm_realloc(row->demands, row->demands_len * sizeof(*row->demands));
    for (size_t i = 0; i < row->demands_len; i++)
        bbm_demand_get(rd, &row->demands[i]);
    if (rd->failed)
        drop_vm(all, row);
}

/* The latest statement of the latest run.  @p held: time since the report. */
static void
add_limit(bbm_limit_statement *sum, const bbm_limit_statement *s,
          bbm_time held)
{
    if (s->kind == BBM_LIMIT_UNSTATED)
        return;
    bbm_time age_ms = s->age_ms + held / BBM_MS;
    bool later = s->run != sum->run ? s->run > sum->run
                                    : age_ms < (bbm_time)sum->age_ms;
    if (sum->kind != BBM_LIMIT_UNSTATED && !later)
        return;
    *sum = *s;
    sum->age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

static void
add_load(load_sum **sums, const bbm_load *l, bbm_time held)
{
    load_sum *sum = NULL;
    HASH_FIND(hh, *sums, &l->upstream, sizeof(l->upstream), sum);
    if (!sum) {
        sum = bbm_calloc(1, sizeof(*sum));
        sum->load.upstream = l->upstream;
        HASH_ADD(hh, *sums, load.upstream, sizeof(l->upstream), sum);
    }
    sum->load.open_requests += l->open_requests;
    sum->load.backlog_tokens += l->backlog_tokens;
    sum->load.memory_tokens += l->memory_tokens;
    sum->load.suspecting_vms += l->suspecting_vms;
    sum->load.answered_vms += l->answered_vms;
    sum->load.paused_vms += l->paused_vms;
    if (l->leaving_run > sum->load.leaving_run)
        sum->load.leaving_run = l->leaving_run;
    add_limit(&sum->load.limit, &l->limit, held);
}

static void
add_demand(demand_sum **sums, const bbm_demand *d)
{
    demand_sum *sum = NULL;
    HASH_FIND(hh, *sums, &d->customer, sizeof(d->customer), sum);
    if (!sum) {
        sum = bbm_calloc(1, sizeof(*sum));
        sum->demand.customer = d->customer;
        HASH_ADD(hh, *sums, demand.customer, sizeof(d->customer), sum);
    }
    sum->demand.long_term += d->long_term;
    sum->demand.short_term += d->short_term;
    if (d->spent > sum->demand.spent)
        sum->demand.spent = d->spent;
}

void
bbm_loads_put_totals(bbm_loads *all, bbm_time now, bbm_buf *buf)
{
    load_sum *loads = NULL;
    demand_sum *demands = NULL;
    uint64_t held = 0;
    uint64_t vms = 0;
    vm_row *vm, *next;
    HASH_ITER(hh, all->vms, vm, next)
    {
        if (now - vm->last_report_at > REPORT_TIMEOUT) {
            drop_vm(all, vm);
            continue;
        }
        vms += vm->vms;
        held += vm->held_requests;
        for (size_t i = 0; i < vm->loads_len; i++)
            add_load(&loads, &vm->loads[i], now - vm->last_report_at);
        for (size_t i = 0; i < vm->demands_len; i++)
            add_demand(&demands, &vm->demands[i]);
    }
    bbm_put_u64(buf, vms);
    bbm_put_u64(buf, held);
    bbm_put_u64(buf, HASH_COUNT(loads));
    for (const load_sum *s = loads; s; s = s->hh.next)
        bbm_load_put(buf, &s->load);
    bbm_put_u64(buf, HASH_COUNT(demands));
    for (const demand_sum *s = demands; s; s = s->hh.next)
        bbm_demand_put(buf, &s->demand);
    BBM_TABLE_FREE(load_sum, loads);
    BBM_TABLE_FREE(demand_sum, demands);
}
