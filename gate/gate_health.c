#include "gate_core.h"

/* Passive health checks: whether an upstream is avoided depends only on the
   results of attempts.  What upstreams report about their own health isn't
   used: it may be wrong either way. */

/* Number of consecutive failures from which an upstream is avoided, if the
   last one was without an answer, and if it was an error or a truncated
   answer. */
#define FAILURES_TO_AVOID_NO_ANSWER 1
#define FAILURES_TO_AVOID_ANSWERED 4
/* Time for which an upstream is avoided after one failure.  Each further
   consecutive failure doubles it, up to the maximum. */
#define AVOID_FIRST (800 * BBM_MS)
#define AVOID_MAX (4 * BBM_SECOND)
/* Time for which an upstream is avoided after it refused a request because it
   is full or busy. */
#define AVOID_AFTER_REFUSAL (60 * BBM_MS)
/* An upstream that refuses a request with status 421 has another id or other
   weights than listed.  It is avoided for this time, in which the next listing
   may arrive. */
#define AVOID_MISLISTED (400 * BBM_MS)
/* Weight of the last result in the smoothed share of failures.  An upstream
   is also avoided if its share exceeds both the maximum and this multiple of
   the average of its pool. */
#define FAILURE_SMOOTHING_WEIGHT 0.15
#define FAILURE_SHARE_MAX 0.4
#define FAILURE_POOL_RATIO 2.0
/* An upstream that was avoided here after failures, and hasn't succeeded
   since, stays avoided while at least this number of VMs suspect it to have
   failed. */
#define SUSPECTING_VMS_MIN 2
/* An answer within this time shows that an upstream works. */
#define LATELY BBM_SECOND

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
    uint32_t threshold =
        answered ? FAILURES_TO_AVOID_ANSWERED : FAILURES_TO_AVOID_NO_ANSWER;
    if (u->consecutive_failures >= threshold)
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
gate_has_answered_lately(const bbm_gate *g, const gate_upstream *u)
{
    return u->last_answer_at && g->now - u->last_answer_at < LATELY;
}

/* With many VMs each sends few requests to an upstream: if each had to find
   out by itself that it has failed, they would lose a request each.  An
   upstream that only some VMs can't reach still answers others. */
static bool
is_suspect_elsewhere(const bbm_gate *g, const gate_upstream *u)
{
    return g->placements_delayed && g->now - g->totals_at < LATELY
           && u->totals.suspecting_vms >= SUSPECTING_VMS_MIN
           && !u->totals.answered_vms && !gate_has_answered_lately(g, u);
}

bool
gate_is_suspect(const bbm_gate *g, const gate_upstream *u)
{
    return g->now < u->suspect_until || is_suspect_elsewhere(g, u);
}

bool
gate_is_avoided(const bbm_gate *g, const gate_upstream *u)
{
    if (g->now < u->avoid_until || is_suspect_elsewhere(g, u))
        return true;
    if (u->half_open && u->open_requests > 0)
        return true;
    return u->totals.suspecting_vms >= SUSPECTING_VMS_MIN && u->half_open;
}
