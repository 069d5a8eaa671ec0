/** @file
 *  Keeps the quarantined prompt parts in the replicated state, so that they
 *  survive a restart of all VMs.  VMs tell each other of them sooner: see
 *  bbm_quarantine.h.
 */
#include "node_core.h"

/* Period at which the gate's parts and the replicated ones are compared. */
#define COMPARE_PERIOD BBM_SECOND
#define PROPOSAL_TIMEOUT (5 * BBM_SECOND)

static void
adopt(bbm_node *n, const bbm_quarantined *q)
{
    bbm_quarantine_entry entry = {
        .part = q->part,
        .until = n->now + (q->until_ms - n->wall_ms) * BBM_MS,
        .last_crash_at = n->now - (n->wall_ms - q->last_crash_ms) * BBM_MS,
    };
    bbm_gate_add_quarantined(n->gate, &entry, q->times, n->now);
}

static void
propose(bbm_node *n, const bbm_quarantined *q)
{
    bbm_command cmd = {.kind = BBM_CMD_QUARANTINE, .u.quarantine = *q};
    node_propose(n, &cmd, WAITER_NONE, 0, n->now + PROPOSAL_TIMEOUT);
}

static bool
is_quarantined_here(const bbm_node *n, uint64_t part)
{
    bbm_quarantine_entry entry;
    uint32_t times;
    for (size_t i = 0; bbm_gate_quarantined_at(n->gate, i, &entry, &times);
         i++) {
        if (entry.part == part)
            return true;
    }
    return false;
}

/* Leader: adds the parts that the state lacks. */
static void
propose_new(bbm_node *n, const bbm_registry *reg)
{
    bbm_quarantine_entry entry;
    uint32_t times;
    for (size_t i = 0; i < BBM_QUARANTINED_MAX
                       && bbm_gate_quarantined_at(n->gate, i, &entry, &times);
         i++) {
        bbm_quarantined q = {
            .part = entry.part,
            .last_crash_ms =
                n->wall_ms - (n->now - entry.last_crash_at) / BBM_MS,
            .until_ms = n->wall_ms + (entry.until - n->now) / BBM_MS,
            .times = times,
        };
        if (!bbm_registry_is_quarantined(reg, q.part))
            propose(n, &q);
    }
}

/* Leader: removes the parts that were released.  All others of the state have
   been adopted before. */
static void
propose_released(bbm_node *n, const bbm_registry *reg)
{
    bbm_quarantined q;
    for (size_t i = 0; bbm_registry_quarantined_at(reg, i, &q); i++) {
        if (q.until_ms <= n->wall_ms || is_quarantined_here(n, q.part))
            continue;
        q.until_ms = 0;
        propose(n, &q);
    }
}

void
node_quarantine_tick(bbm_node *n)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    bbm_quarantined q;
    if (n->now - n->quarantine_compared_at < COMPARE_PERIOD
        || n->desc.format < BBM_FORMAT_QUARANTINE)
        return;
    n->quarantine_compared_at = n->now;
    for (size_t i = 0; bbm_registry_quarantined_at(reg, i, &q); i++) {
        if (q.until_ms > n->wall_ms)
            adopt(n, &q);
    }
    if (!node_leads(n))
        return;
    propose_new(n, reg);
    propose_released(n, reg);
}
