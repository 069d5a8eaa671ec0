#include "gate_core.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_RETRY_SHARE 0.1
#define DEFAULT_RETRY_SLACK 20.0
#define DEFAULT_OLD_WEIGHTS_GRACE (1500 * BBM_MS)
#define DEFAULT_OLD_WEIGHTS_MAX (8 * BBM_SECOND)
/* Service time of a pool of services until one of its calls has completed. */
#define INITIAL_SERVICE_MS 30.0
/* 1 Mbit/s is 1000 bits per millisecond. */
#define BITS_PER_BYTE 8.0
#define BITS_PER_MS_PER_MBPS 1000.0

/* ---- creation ---- */

bbm_gate *
bbm_gate_create(const bbm_gate_desc *desc)
{
    bbm_gate *g = bbm_calloc(1, sizeof(*g));
    g->desc = *desc;
    if (g->desc.retry_share <= 0)
        g->desc.retry_share = DEFAULT_RETRY_SHARE;
    if (g->desc.retry_slack <= 0)
        g->desc.retry_slack = DEFAULT_RETRY_SLACK;
    if (!g->desc.old_weights_grace)
        g->desc.old_weights_grace = DEFAULT_OLD_WEIGHTS_GRACE;
    if (!g->desc.old_weights_max)
        g->desc.old_weights_max = DEFAULT_OLD_WEIGHTS_MAX;
    g->rng = bbm_rng_of(desc->seed);
    g->vms = 1;
    g->retry_vms = 1;
    g->shares = bbm_shares_create(desc->seed);
    g->speeds = bbm_speed_create();
    g->chains = bbm_chains_create();
    g->places = bbm_places_create();
    g->quarantine = bbm_quarantine_create(desc->seed, desc->accused_parts_max);
    g->origins = bbm_origins_create(GATE_OWN_ORIGINS_MAX);
    TAILQ_INIT(&g->waiting);
    STAILQ_INIT(&g->outputs);
    return g;
}

void
bbm_gate_destroy(bbm_gate *g)
{
    if (!g)
        return;
    gate_request *r, *next;
    HASH_ITER(hh, g->requests, r, next)
    {
        gate_request_free(g, r);
    }
    BBM_TABLE_FREE(gate_pool, g->pools);
    HASH_CLEAR(by_hash, g->upstreams_by_hash);
    BBM_TABLE_FREE(gate_upstream, g->upstreams);
    BBM_TABLE_FREE(gate_weights, g->weights);
    BBM_TABLE_FREE(gate_store, g->stores);
    BBM_TABLE_FREE(gate_customer, g->customers);
    BBM_TABLE_FREE(gate_peer, g->peers);
    bbm_speed_destroy(g->speeds);
    gate_free_releases(g);
    bbm_chains_destroy(g->chains);
    bbm_places_destroy(g->places);
    bbm_quarantine_destroy(g->quarantine);
    bbm_origins_destroy(g->origins);
    free(g->reported_origins.items);
    bbm_buf_free(&g->unsent_placements);
    free(g->vm_hashes);
    gate_queued_output *output;
    while ((output = STAILQ_FIRST(&g->outputs)) != NULL) {
        STAILQ_REMOVE_HEAD(&g->outputs, link);
        free(output);
    }
    free(g->current_output);
    bbm_shares_destroy(g->shares);
    free(g);
}

/* ---- outputs ---- */

bbm_gate_output *
gate_push_output(bbm_gate *g, bbm_gate_kind kind, const gate_request *r)
{
    gate_queued_output *q = bbm_calloc(1, sizeof(*q));
    q->out.kind = kind;
    if (r) {
        q->out.request = r->number;
        bbm_name_set(q->out.id, r->id);
    }
    STAILQ_INSERT_TAIL(&g->outputs, q, link);
    return &q->out;
}

const bbm_gate_output *
bbm_gate_next_output(bbm_gate *g)
{
    free(g->current_output);
    g->current_output = STAILQ_FIRST(&g->outputs);
    if (!g->current_output)
        return NULL;
    STAILQ_REMOVE_HEAD(&g->outputs, link);
    return &g->current_output->out;
}

/* ---- configuration ---- */

static void
apply_pool(bbm_gate *g, const bbm_pool *c)
{
    gate_pool *p = NULL;
    HASH_FIND_STR(g->pools, c->name, p);
    if (!p) {
        p = bbm_calloc(1, sizeof(*p));
        bbm_name_set(p->name, c->name);
        p->service_ms = INITIAL_SERVICE_MS;
        gate_create_retry_budget(g, p);
        HASH_ADD_STR(g->pools, name, p);
    }
    p->configured = true;
    p->is_engine = c->is_engine;
    p->slots = (uint32_t)c->slots;
    p->prefill_tokens_per_ms = (double)c->prefill_tokens_per_s / 1000;
    p->memory_tokens = (double)c->memory_tokens;
    p->fetch_ms_per_token = (double)c->token_bytes * BITS_PER_BYTE
                            / ((double)c->link_mbps * BITS_PER_MS_PER_MBPS);
}

static void
remove_unconfigured_pools(bbm_gate *g)
{
    gate_pool *p, *next;
    HASH_ITER(hh, g->pools, p, next)
    {
        if (p->configured)
            continue;
        for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
            if (u->pool == p)
                u->pool = NULL;
        }
        HASH_DEL(g->pools, p);
        free(p);
    }
}

static void
apply_stores(bbm_gate *g, const bbm_config *cfg)
{
    gate_store *old = g->stores;
    g->stores = NULL;
    for (const bbm_store_object *c = cfg->stores; c; c = c->hh.next) {
        gate_store *s = NULL;
        HASH_FIND_STR(old, c->address, s);
        if (s) {
            HASH_DEL(old, s);
        }
        else {
            s = bbm_calloc(1, sizeof(*s));
            bbm_name_set(s->address, c->address);
            s->hash = bbm_hash_text(c->address, 0);
        }
        bbm_name_set(s->zone, c->zone);
        s->memory_tokens = (double)c->memory_tokens;
        HASH_ADD_STR(g->stores, address, s);
    }
    BBM_TABLE_FREE(gate_store, old);
}

/* Tolerated overrun of a customer's rate in any window, in tokens. */
static double
rate_overrun_max(const bbm_gate *g, const bbm_customer *c)
{
    double window = (double)c->rate_ref->tokens_per_s * g->desc.rate_window_s
                    + (double)c->rate_ref->burst;
    double overrun = window * g->desc.rate_overrun;
    return c->by_request ? overrun : overrun + g->desc.rate_slack;
}

static void
apply_customers(bbm_gate *g, const bbm_config *cfg)
{
    BBM_TABLE_FREE(gate_customer, g->customers);
    bbm_name_set(g->shared_scope, cfg->shared_scope);
    for (const bbm_customer *c = cfg->customers; c; c = c->hh.next) {
        bbm_share_limits limits = {
            .rate = (double)c->rate_ref->tokens_per_s,
            .burst = (double)c->rate_ref->burst,
            .overrun_max = rate_overrun_max(g, c),
        };
        bbm_shares_set_customer(g->shares, c->name, &limits, g->now);
        gate_customer *entry = bbm_calloc(1, sizeof(*entry));
        entry->hash = bbm_hash_text(c->name, 0);
        bbm_name_set(entry->name, c->name);
        bbm_name_set(entry->scope, bbm_config_cache_scope(cfg, c->name));
        HASH_ADD(hh, g->customers, hash, sizeof(entry->hash), entry);
    }
}

void
bbm_gate_configure(bbm_gate *g, const bbm_config *cfg, bbm_time now)
{
    gate_advance(g, now);
    if (!g->started_at)
        g->started_at = g->now;
    for (gate_pool *p = g->pools; p; p = p->hh.next)
        p->configured = false;
    for (const bbm_pool *c = cfg->pools; c; c = c->hh.next)
        apply_pool(g, c);
    remove_unconfigured_pools(g);
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next)
        u->pool = gate_find_pool(g, u->info.pool);
    apply_stores(g, cfg);
    apply_customers(g, cfg);
    gate_update_scopes(g);
    gate_update_origins(g);
    gate_list_speeds(g);
    gate_dispatch_waiting(g);
}

void
bbm_gate_set_vm_count(bbm_gate *g, size_t vms, bool placements_delayed)
{
    g->placements_delayed = placements_delayed;
    if (vms == 0)
        return;
    gate_set_retry_vms(g, vms);
    if (vms == g->vms)
        return;
    g->vms = vms;
    bbm_shares_set_vm_count(g->shares, vms);
    bbm_quarantine_set_vm_count(g->quarantine, vms);
}

void
bbm_gate_set_totals_age(bbm_gate *g, bbm_time age)
{
    bbm_shares_set_totals_age(g->shares, age);
}

void
bbm_gate_set_store_alive(bbm_gate *g, const char *address, bool alive)
{
    gate_store *s = NULL;
    HASH_FIND_STR(g->stores, address, s);
    if (!s)
        return;
    /* It may have restarted: a store that responds again counts as empty. */
    if (alive && !s->alive)
        s->alive_since = g->now;
    s->alive = alive;
}

/* ---- upstreams ---- */

void
gate_reset_health(gate_upstream *u)
{
    u->avoid_until = 0;
    u->suspect_until = 0;
    u->consecutive_failures = 0;
    u->half_open = false;
    u->failure_share = 0;
    u->lateness_ms = 0;
    u->pause_until = 0;
}

/* A restart and new weights empty a runner's cache. */
static bool
cache_was_emptied(const bbm_listing_entry *before,
                  const bbm_listing_entry *now)
{
    if (before->started_at_ms != now->started_at_ms
        || before->models_len != now->models_len)
        return true;
    for (size_t i = 0; i < now->models_len; i++) {
        if (before->models[i].version != now->models[i].version)
            return true;
    }
    return false;
}

static void
apply_listing_entry(bbm_gate *g, const bbm_listing_entry *info)
{
    gate_upstream *u = NULL;
    HASH_FIND_STR(g->upstreams, info->id, u);
    if (!u) {
        u = bbm_calloc(1, sizeof(*u));
        u->hash = bbm_hash_text(info->id, 0);
        u->partition_rank = bbm_partition_rank(u->hash);
        bbm_name_set(u->info.id, info->id);
        HASH_ADD_KEYPTR(hh, g->upstreams, u->info.id, strlen(u->info.id), u);
        HASH_ADD(by_hash, g->upstreams_by_hash, hash, sizeof(u->hash), u);
    }
    else if (u->info.started_at_ms != info->started_at_ms) {
        gate_reset_health(u);
        gate_forget_limit(u);
    }
    if (!u->was_listed || cache_was_emptied(&u->info, info))
        u->cache_empty_since = g->now;
    u->was_listed = true;
    u->info = *info;
    u->listed = true;
    u->unlisted_at = 0;
    u->pool = gate_find_pool(g, info->pool);
    u->origin = bbm_origin_of(info->pool, info->build);
}

void
bbm_gate_set_listing(bbm_gate *g, const bbm_listing *listing, bbm_time now)
{
    gate_advance(g, now);
    if (!g->places_since)
        g->places_since = g->now;
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next)
        u->listed = false;
    for (size_t i = 0; i < listing->len; i++)
        apply_listing_entry(g, &listing->items[i]);
    gate_upstream *u, *next;
    HASH_ITER(hh, g->upstreams, u, next)
    {
        if (!u->listed && !u->unlisted_at)
            u->unlisted_at = g->now;
        if (u->listed || u->open_requests || gate_keeps_notice(g, u))
            continue;
        HASH_DELETE(by_hash, g->upstreams_by_hash, u);
        HASH_DEL(g->upstreams, u);
        free(u);
    }
    gate_update_origins(g);
    gate_list_speeds(g);
    gate_dispatch_waiting(g);
}

bool
bbm_gate_add_version(bbm_gate *g, const char *model, uint64_t version,
                     bbm_time age, bbm_time now)
{
    gate_advance(g, now);
    gate_weights *w = NULL;
    HASH_FIND_STR(g->weights, model, w);
    if (!w) {
        w = bbm_calloc(1, sizeof(*w));
        bbm_name_set(w->model, model);
        HASH_ADD_STR(g->weights, model, w);
    }
    return bbm_versions_add(&w->versions, version, g->now - age);
}

/* ---- loads ---- */

gate_upstream *
gate_find_upstream(const bbm_gate *g, uint64_t hash)
{
    gate_upstream *u = NULL;
    HASH_FIND(by_hash, g->upstreams_by_hash, &hash, sizeof(hash), u);
    return u;
}

/* A VM without a path to a pool can't tell whether its upstreams work. */
static bool
suspects(const bbm_gate *g, const gate_upstream *u)
{
    return g->now < u->suspect_until && !gate_is_cut_off(u);
}

static void
put_upstream_load(const bbm_gate *g, gate_upstream *u, bbm_buf *buf)
{
    u->reported = (bbm_load){
        .upstream = u->hash,
        .open_requests = u->open_requests,
        .backlog_tokens = u->backlog_tokens,
        .memory_tokens = u->memory_tokens,
        .suspecting_vms = suspects(g, u),
        .answered_vms = gate_has_answered_lately(g, u),
        .paused_vms = gate_is_paused(g, u),
        .leaving_run = u->leaving_run,
        .limit = gate_limit_to_report(g, u),
    };
    bbm_load_put(buf, &u->reported);
}

static bool
has_load_to_report(const bbm_gate *g, const gate_upstream *u)
{
    return u->open_requests > 0 || suspects(g, u)
           || gate_has_answered_lately(g, u) || gate_is_paused(g, u)
           || u->leaving_run
           || gate_limit_to_report(g, u).kind != BBM_LIMIT_UNSTATED;
}

void
bbm_gate_put_load(bbm_gate *g, bbm_time now, bbm_buf *buf)
{
    gate_advance(g, now);
    g->load_changed = false;
    size_t len = 0;
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        u->reported = (bbm_load){0};
        len += has_load_to_report(g, u);
    }
    g->held_reported = (uint32_t)g->waiting_len;
    bbm_put_u64(buf, 1); /* VM */
    bbm_put_u64(buf, g->held_reported);
    bbm_put_u64(buf, len);
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (has_load_to_report(g, u))
            put_upstream_load(g, u, buf);
    }
    bbm_put_u64(buf, HASH_COUNT(g->customers));
    for (const gate_customer *c = g->customers; c; c = c->hh.next) {
        bbm_share_demand d = bbm_shares_demand(g->shares, c->name, g->now);
        bbm_demand row = {
            .customer = c->hash,
            .long_term = (uint64_t)d.long_term,
            .short_term = (uint64_t)d.short_term,
            .spent = d.spent_known ? (uint64_t)d.spent + 1 : 0,
        };
        bbm_demand_put(buf, &row);
    }
}

static void
get_upstream_totals(bbm_gate *g, bbm_reader *rd)
{
    for (gate_upstream *u = g->upstreams; u; u = u->hh.next)
        u->totals = (bbm_load){0};
    size_t len = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_load l;
        bbm_load_get(rd, &l);
        gate_upstream *u = gate_find_upstream(g, l.upstream);
        if (!u)
            continue;
        u->totals = l;
        gate_apply_limit_news(g, u);
    }
}

void
bbm_gate_get_totals(bbm_gate *g, bbm_reader *rd, bbm_time now)
{
    gate_advance(g, now);
    size_t vms = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    uint32_t held = bbm_get_u32(rd, UINT32_MAX);
    g->held_elsewhere = held > g->held_reported ? held - g->held_reported : 0;
    g->totals_at = g->now;
    get_upstream_totals(g, rd);
    gate_update_partitions(g);
    size_t len = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_demand row;
        bbm_demand_get(rd, &row);
        bbm_share_demand total = {
            .long_term = (double)row.long_term,
            .short_term = (double)row.short_term,
            .spent_known = row.spent > 0,
            .spent = row.spent ? (double)(row.spent - 1) : 0,
        };
        gate_customer *c = NULL;
        HASH_FIND(hh, g->customers, &row.customer, sizeof(row.customer), c);
        if (c)
            bbm_shares_set_total(g->shares, c->name, &total, vms, g->now);
    }
}

bool
bbm_gate_load_changed(const bbm_gate *g)
{
    return g->load_changed;
}

/* ---- news ---- */

void
gate_add_placement(bbm_gate *g, const bbm_placement *row)
{
    bbm_places_add(g->places, row, g->now);
    /* If there are no other VMs, the placements are never sent: they are
       dropped when the message is full. */
    if (g->unsent_placements_len == BBM_PLACEMENTS_MAX) {
        g->unsent_placements.len = 0;
        g->unsent_placements_len = 0;
    }
    bbm_placement_put(&g->unsent_placements, row);
    g->unsent_placements_len++;
}

void
bbm_gate_put_news(bbm_gate *g, bbm_time now, bbm_buf *buf)
{
    gate_advance(g, now);
    bbm_put_u64(buf, g->unsent_placements_len);
    if (g->unsent_placements_len)
        bbm_buf_add(buf, g->unsent_placements.data, g->unsent_placements.len);
    g->unsent_placements.len = 0;
    g->unsent_placements_len = 0;
    bbm_quarantine_put_news(g->quarantine, g->now, buf);
    gate_put_cut_pools(g, bbm_speed_news_len(g->speeds) > 0, buf);
    gate_put_speeds(g, buf);
}

void
bbm_gate_get_news(bbm_gate *g, bbm_reader *rd, uint64_t vm, bool own,
                  bbm_time now)
{
    gate_advance(g, now);
    size_t len = bbm_get_u32(rd, BBM_PLACEMENTS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_placement row;
        bbm_placement_get(rd, &row);
        if (!rd->failed && !own)
            bbm_places_add(g->places, &row, g->now);
    }
    bbm_quarantine_get_news(g->quarantine, rd, own, g->now);
    gate_get_cut_pools(g, rd, vm);
    gate_get_speeds(g, rd, own);
    gate_apply_quarantine(g);
}

bool
bbm_gate_convert_news(bbm_bytes news, bbm_format from, bbm_format to,
                      bbm_buf *buf)
{
    bbm_reader rd = bbm_reader_of(news.data, news.len);
    size_t len = bbm_get_u32(&rd, BBM_PLACEMENTS_MAX);
    bbm_put_u64(buf, len);
    for (size_t i = 0; i < len && !rd.failed; i++) {
        bbm_placement row;
        bbm_placement_get(&rd, &row);
        bbm_placement_put(buf, &row);
    }
    bbm_quarantine_convert_news(&rd, from, to, buf);
    gate_convert_cut_pools(&rd, from, to, buf);
    gate_convert_speeds(&rd, from, to, buf);
    return bbm_reader_done(&rd);
}

double
bbm_gate_open_requests(const bbm_gate *g, const char *upstream)
{
    gate_upstream *u = NULL;
    HASH_FIND_STR(g->upstreams, upstream, u);
    return u ? gate_open_requests(g, u) : 0;
}

double
bbm_gate_backlog_ms(const bbm_gate *g, const char *upstream)
{
    gate_upstream *u = NULL;
    HASH_FIND_STR(g->upstreams, upstream, u);
    return u && u->pool ? gate_backlog_tokens(g, u) / gate_prefill_rate(u) : 0;
}

bool
bbm_gate_suspects(const bbm_gate *g, const char *upstream)
{
    gate_upstream *u = NULL;
    HASH_FIND_STR(g->upstreams, upstream, u);
    return u && gate_is_suspect(g, u);
}

bool
bbm_gate_answers_lately(const bbm_gate *g, const char *upstream)
{
    gate_upstream *u = NULL;
    HASH_FIND_STR(g->upstreams, upstream, u);
    return u && (u->totals.answered_vms || gate_has_answered_lately(g, u));
}

bbm_gate_counts
bbm_gate_count(const bbm_gate *g)
{
    bbm_gate_counts c = g->counts;
    c.open_requests = HASH_COUNT(g->requests);
    c.held_requests = g->waiting_len;
    c.releases = gate_release_count(g);
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next)
        c.limited_upstreams += gate_is_limited(u);
    c.quarantined_parts = bbm_quarantine_count(g->quarantine);
    return c;
}
