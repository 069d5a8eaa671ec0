#include "gate_core.h"

/* Passive health checks: an upstream is avoided because of the results of its
   attempts.  Health reports of the upstreams may be wrong either way and
   aren't used. */

/* Consecutive failures after which an upstream is avoided: without an answer,
   and with an error or a truncated answer. */
#define FAILURES_MAX_NO_ANSWER 1
#define FAILURES_MAX_ANSWERED 4
/* Time for which it is avoided.  Doubles with each further consecutive
   failure, up to the maximum. */
#define AVOID_FIRST (800 * BBM_MS)
#define AVOID_MAX (4 * BBM_SECOND)
/* Time for which an upstream is avoided after it refused a request because it
   is full or busy. */
#define AVOID_AFTER_REFUSAL (60 * BBM_MS)
/* An upstream that reports another id or other weights than expected (status
   421) is listed wrongly: it is avoided until the next listing may have
   arrived. */
#define AVOID_MISLISTED (400 * BBM_MS)
/* Weight of the last result in the smoothed share of failures.  An upstream is
   avoided if its share exceeds the maximum and this multiple of its pool's
   average. */
#define FAILURE_SMOOTHING_WEIGHT 0.15
#define FAILURE_SHARE_MAX 0.4
#define FAILURE_POOL_RATIO 2.0
/* Number of suspecting VMs from which their suspicion counts here. */
#define SUSPECTING_VMS_MIN 2

static double
pool_failure_share(const bbm_gate *g, const gate_pool *pool)
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
    for (uint32_t i = 1; i < u->consecutive_failures && span < AVOID_MAX; i++)
        span *= 2;
    if (span > AVOID_MAX)
        span = AVOID_MAX;
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
    u->failure_share -= u->failure_share * FAILURE_SMOOTHING_WEIGHT;
}

void
gate_record_failure(bbm_gate *g, gate_upstream *u, bbm_forward_outcome outcome)
{
    u->consecutive_failures++;
    u->failure_share += (1 - u->failure_share) * FAILURE_SMOOTHING_WEIGHT;
    bool answered =
        outcome == BBM_FORWARD_FAILED || outcome == BBM_FORWARD_TRUNCATED;
    uint32_t max = answered ? FAILURES_MAX_ANSWERED : FAILURES_MAX_NO_ANSWER;
    if (u->consecutive_failures >= max)
        avoid(g, u, !answered);
    else if (u->failure_share > FAILURE_SHARE_MAX
             && u->failure_share
                    > FAILURE_POOL_RATIO * pool_failure_share(g, u->pool))
        avoid(g, u, false);
}

void
gate_record_refusal(bbm_gate *g, gate_upstream *u, uint32_t status)
{
    bbm_time until =
        g->now + (status == 421 ? AVOID_MISLISTED : AVOID_AFTER_REFUSAL);
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
    return u->totals.suspecting_vms >= SUSPECTING_VMS_MIN && u->half_open;
}
