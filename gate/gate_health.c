#include "gate_core.h"

/* Which upstreams are to be avoided, by what is seen of them.  Their own word
   on their health may be wrong either way and isn't asked for. */

/* After a failure in a row of this length an upstream is avoided. */
#define STRIKES_LOST 1
#define STRIKES_FAILED 4
/* It is avoided for so long after the first time, twice as long after the
   second and so on. */
#define AVOID_FIRST (800 * BBM_MS)
#define AVOID_MOST (4 * BBM_SECOND)
/* One that is full or busy gets nothing for a moment. */
#define AVOID_BUSY (60 * BBM_MS)
/* One that says that it is another, or has other weights, is wrongly listed:
   until the next listing may have come. */
#define AVOID_OTHER (400 * BBM_MS)
/* Weight of the last result in the smoothed share of failures, the share
   above which an upstream is avoided, and how far above its pool's. */
#define FAILING_STEP 0.15
#define FAILING_MOST 0.4
#define FAILING_TIMES 2.0
/* Others' suspicion counts when so many VMs share it. */
#define SUSPECTS_LEAST 2

static double
failing_of_pool(const bbm_gate *g, const gate_pool *pool)
{
    double sum = 0;
    double count = 0;
    for (const gate_upstream *u = g->upstreams; u; u = u->hh.next) {
        if (u->pool != pool || !u->listed)
            continue;
        sum += u->failure_share;
        count++;
    }
    return count > 0 ? sum / count : 0;
}

static void
avoid(bbm_gate *g, gate_upstream *u, bool suspect)
{
    bbm_time span = AVOID_FIRST;
    for (uint32_t i = 1; i < u->consecutive_failures && span < AVOID_MOST; i++)
        span *= 2;
    if (span > AVOID_MOST)
        span = AVOID_MOST;
    u->avoid_until = g->now + span;
    u->half_open = true;
    if (suspect)
        u->suspect_until = u->avoid_until;
}

void
gate_record_success(bbm_gate *g, gate_upstream *u)
{
    u->last_answer_at = g->now;
    u->consecutive_failures = 0;
    u->half_open = false;
    u->suspect_until = 0;
    u->failure_share -= u->failure_share * FAILING_STEP;
}

void
gate_record_failure(bbm_gate *g, gate_upstream *u, bbm_forward_outcome how)
{
    u->consecutive_failures++;
    u->failure_share += (1 - u->failure_share) * FAILING_STEP;
    bool answered = how == BBM_FORWARD_FAILED || how == BBM_FORWARD_TRUNCATED;
    uint32_t most = answered ? STRIKES_FAILED : STRIKES_LOST;
    if (u->consecutive_failures >= most)
        avoid(g, u, !answered);
    else if (u->failure_share > FAILING_MOST
             && u->failure_share > FAILING_TIMES * failing_of_pool(g, u->pool))
        avoid(g, u, false);
}

void
gate_record_refusal(bbm_gate *g, gate_upstream *u, uint32_t status)
{
    bbm_time until = g->now + (status == 421 ? AVOID_OTHER : AVOID_BUSY);
    if (until > u->avoid_until)
        u->avoid_until = until;
}

bool
gate_is_avoided(const bbm_gate *g, const gate_upstream *u)
{
    if (g->now < u->avoid_until)
        return true;
    if (u->half_open && u->open_requests > 0)
        return true;
    return u->totals.suspecting_vms >= SUSPECTS_LEAST && u->half_open;
}
