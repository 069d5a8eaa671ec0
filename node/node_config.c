/** @file
 *  Applies a new configuration, new keys and drain marks.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

const bbm_config *
node_config(const bbm_node *n)
{
    return bbm_registry_config(bbm_state_registry(n->state));
}

void
node_watch_runner(bbm_node *n, const char *engine, const char *url, bool on)
{
    bbm_action *a = node_push_action(n, BBM_ACT_WATCH_RUNNER);
    bbm_name_set(a->u.watch_runner.engine, engine);
    bbm_text_set(a->u.watch_runner.url, BBM_URL_SIZE, url);
    a->u.watch_runner.on = on;
}

static void
ensure_watch(bbm_node *n, const bbm_engine *e)
{
    node_watch *w = NULL;
    HASH_FIND_STR(n->watches, e->name, w);
    if (!w) {
        w = bbm_calloc(1, sizeof(*w));
        bbm_name_set(w->engine, e->name);
        HASH_ADD_STR(n->watches, engine, w);
    }
    w->configured = true;
    if (strncmp(w->url, e->url, BBM_URL_SIZE - 1) == 0)
        return;
    bbm_text_set(w->url, BBM_URL_SIZE, e->url);
    node_watch_runner(n, w->engine, w->url, true);
}

static void
watch_runners(bbm_node *n, const bbm_config *cfg)
{
    node_watch *w, *next;
    for (w = n->watches; w; w = w->hh.next)
        w->configured = false;
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next)
        ensure_watch(n, e);
    HASH_ITER(hh, n->watches, w, next)
    {
        if (w->configured)
            continue;
        node_watch_runner(n, w->engine, w->url, false);
        HASH_DEL(n->watches, w);
        free(w);
    }
}

void
node_apply_config(bbm_node *n)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    uint64_t revision = bbm_registry_revision(reg);
    bool drain = n->stopping || bbm_registry_is_draining(reg, n->desc.name);
    if (drain && !n->draining)
        n->draining_since = n->now;
    n->draining = drain;
    if (revision != n->config_revision) {
        const bbm_config *cfg = bbm_registry_config(reg);
        bool first = n->config_revision == 0;
        n->config_revision = revision;
        if (first)
            n->first_configured_at = n->now;
        n->counts.revision = revision;
        bbm_fleet_configure(n->fleet, cfg, n->now);
        bbm_burn_configure(n->burn, cfg);
        watch_runners(n, cfg);
        node_rate_update(n, true);
        char number[BBM_NAME_SIZE];
        snprintf(number, sizeof(number), "%llu", (unsigned long long)revision);
        node_log(n, BBM_EVENT_REVISION, number, "");
    }
    node_gate_configure(n);
    node_request_check_keys(n);
    node_request_dispatch_queued(n);
}
