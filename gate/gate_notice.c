#include "gate_core.h"

#include <string.h>

/* What upstreams state of themselves in their answers: that they leave, and
   that they want no requests for a while.

   Answers the load around a planned stop, where a listing comes too late, and
   an overload that an upstream sees before the loads of other VMs arrive.
   Neither is a fault, so neither counts against the upstream's health.

   Both belong to one run of the upstream.  A pause holds for this VM only: the
   upstream asked this one.  The other VMs hear of it as load. */

/* A pause is capped at this: an upstream that asks for more is listed as
   leaving or gone by then. */
#define PAUSE_MAX (600 * BBM_SECOND)
/* An upstream that has stated that it leaves, or a limit, is remembered for
   this time after it was last listed.  A listing may lack it for a moment and
   then have it again as ready. */
#define NOTICE_MEMORY (60 * BBM_SECOND)
/* Share of the capacity after a pause that is meant for returning clients; the
   rest is for new ones. */
#define RETURN_CAPACITY_SHARE 0.5

void
gate_record_notice(bbm_gate *g, const gate_request *r,
                   const bbm_upstream_notice *notice, bool answered)
{
    gate_upstream *u = r->upstream;
    bool brittle_news = gate_record_brittle(g, u->pool, notice);
    bbm_upstream_notice news = {.invalid = notice->invalid};
    bool limit_news = false;
    if (r->upstream_run == gate_run_of(&u->info)) {
        news.leaving =
            notice->leaving && u->leaving_run != gate_run_of(&u->info);
        news.pause = notice->pause < PAUSE_MAX ? notice->pause : PAUSE_MAX;
        limit_news =
            gate_record_limit(g, u, notice, answered ? r->sent_at : BBM_NEVER);
    }
    if (news.leaving) {
        u->leaving_run = gate_run_of(&u->info);
        g->load_changed = true;
    }
    if (news.pause > 0 && g->now + news.pause > u->pause_until) {
        u->pause_until = g->now + news.pause;
        g->load_changed = true;
        g->counts.pauses++;
    }
    if (!news.leaving && !news.pause && !news.invalid && !limit_news
        && !brittle_news)
        return;
    news.brittle = brittle_news;
    news.refusals_max = notice->refusals_max;
    news.limited = limit_news && notice->limited;
    news.limit = notice->limit;
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_UPSTREAM_NOTICE, r);
    bbm_name_set(out->u.upstream_notice.upstream, u->info.id);
    out->u.upstream_notice.notice = news;
    out->u.upstream_notice.limit_ended = limit_news && !notice->limited;
}

void
bbm_gate_record_notice(bbm_gate *g, const char *upstream,
                       const bbm_upstream_notice *notice, bbm_time now)
{
    gate_advance(g, now);
    gate_upstream *u = NULL;
    HASH_FIND_STR(g->upstreams, upstream, u);
    if (!u)
        return;
    if (notice->leaving) {
        u->leaving_run = gate_run_of(&u->info);
        g->load_changed = true;
    }
    gate_record_brittle(g, u->pool, notice);
    if (gate_record_limit(g, u, notice, BBM_NEVER))
        gate_push_limit(g, u, false);
}

/* True if a run of the upstream has told this VM or another that it leaves. */
static bool
said_leaving(const gate_upstream *u, uint64_t run)
{
    return u->leaving_run == run || u->totals.leaving_run == run;
}

bool
gate_is_leaving(const gate_upstream *u)
{
    return u->info.leaving || said_leaving(u, gate_run_of(&u->info));
}

bool
gate_is_paused(const bbm_gate *g, const gate_upstream *u)
{
    return g->now < u->pause_until;
}

bool
gate_keeps_notice(const bbm_gate *g, const gate_upstream *u)
{
    return gate_is_paused(g, u)
           || ((u->leaving_run || gate_is_limited(u))
               && g->now - u->unlisted_at < NOTICE_MEMORY);
}

bbm_time
gate_pause_retry_after(bbm_gate *g, const gate_request *r,
                       const gate_choice *c)
{
    gate_pool *p = c->paused_pool;
    double service_ms = p->is_engine
                            ? r->prompt_tokens / p->prefill_tokens_per_ms
                            : p->service_ms / (p->slots ? p->slots : 1);
    /* The other VMs send their clients to the same upstreams. */
    double spacing_ms = service_ms * (double)g->vms / (double)c->paused
                        / RETURN_CAPACITY_SHARE;
    bbm_time at =
        bbm_returns_schedule(&p->returns, c->pause_end,
                             (bbm_time)(spacing_ms * (double)BBM_MS), g->now);
    return at - g->now;
}

void
bbm_gate_mark_listing(const bbm_gate *g, bbm_listing *listing)
{
    for (size_t i = 0; i < listing->len; i++) {
        bbm_listing_entry *info = &listing->items[i];
        gate_upstream *u = NULL;
        HASH_FIND_STR(g->upstreams, info->id, u);
        if (u && said_leaving(u, gate_run_of(info)))
            info->leaving = true;
    }
}
