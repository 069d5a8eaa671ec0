#include "gate_core.h"

/* This VM's part of the retry budget of all VMs.

   All VMs together may send so many retries for each request, and further ones
   as slack, which each has an equal part of.  What others have sent isn't
   known, so a VM takes no part of the slack that another may be using:

   - One that starts may replace a VM that has just used its part.  It has only
     what its own requests allow until the window of the budget has passed.
   - One that loses sight of others may be cut off from them while they go on.
     It counts them for a while. */

#define DEFAULT_RETRY_WINDOW (10 * BBM_SECOND)
/* VMs that are gone count for this time after they were last seen. */
#define VMS_MEMORY (60 * BBM_SECOND)
/* Share of its part of the budget that a VM uses.  Below 1, since a VM counts
   a request a moment before its upstream does. */
#define BUDGET_SHARE 0.8

static double
retries_max(const bbm_gate *g)
{
    double max = g->desc.retry_slack * BUDGET_SHARE / (double)g->retry_vms;
    /* A budget that can't save up a whole retry would never allow one. */
    return max < 1 ? 1 : max;
}

static void
fill_if_due(const bbm_gate *g, gate_pool *p)
{
    bbm_time window =
        g->desc.retry_window ? g->desc.retry_window : DEFAULT_RETRY_WINDOW;
    if (p->retry_slack_granted || g->now - g->started_at < window)
        return;
    p->retry_slack_granted = true;
    bbm_retry_fill(&p->retry_budget);
}

void
gate_create_retry_budget(const bbm_gate *g, gate_pool *p)
{
    p->retry_budget = bbm_retry_budget_of(g->desc.retry_share * BUDGET_SHARE,
                                          retries_max(g));
}

void
gate_set_retry_vms(bbm_gate *g, size_t vms)
{
    bool forgotten = g->now - g->retry_vms_seen_at > VMS_MEMORY;
    if (vms >= g->retry_vms)
        g->retry_vms_seen_at = g->now;
    if (vms == g->retry_vms || (vms < g->retry_vms && !forgotten))
        return;
    g->retry_vms = vms;
    g->retry_vms_seen_at = g->now;
    for (gate_pool *p = g->pools; p; p = p->hh.next)
        bbm_retry_set_max(&p->retry_budget, retries_max(g));
}

void
gate_record_retry_request(bbm_gate *g, gate_pool *p)
{
    fill_if_due(g, p);
    bbm_retry_record_request(&p->retry_budget);
}

bool
gate_acquire_retry(bbm_gate *g, const gate_request *r)
{
    gate_pool *p = gate_find_pool(g, r->pools[0]);
    if (!p)
        return false;
    fill_if_due(g, p);
    bool acquired = bbm_retry_acquire(&p->retry_budget);
    g->counts.retries_denied += !acquired;
    return acquired;
}
