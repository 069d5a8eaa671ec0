#include "gate_core.h"

/* Use of runners whose weights have been overtaken by a newer version. */

/* A request may wait at a runner until its start deadline, so a runner is
   eligible only if its weights won't be too old by then.  That wait is capped
   at this time, or at the silence after which the client of a stream leaves if
   that is longer; otherwise runners with old weights would be left idle when
   clients wait for long. */
#define WAIT_MAX (3 * BBM_SECOND)
/* Time in which a runner notices that an attempt there has been ended: by a VM
   with little processor time, over a busy link.  Of this the link may take
   LINK_TIME; a VM that was later than the rest keeps more. */
#define END_TIME (400 * BBM_MS)
#define LINK_TIME (100 * BBM_MS)
/* Time in which the news of a version reaches all VMs. */
#define NEWS_TIME (100 * BBM_MS)
/* A VM that was late to process an event may be as late again for this long.
 */
#define STALL_WINDOW (5 * BBM_SECOND)

const gate_weights *
gate_find_weights(const bbm_gate *g, const char *model)
{
    gate_weights *w = NULL;
    HASH_FIND_STR(g->weights, model, w);
    return w;
}

bbm_time
bbm_gate_version_named_at(const bbm_gate *g, const char *model,
                          uint64_t version)
{
    const gate_weights *w = gate_find_weights(g, model);
    return w ? bbm_versions_named_at(&w->versions, version) : BBM_NEVER;
}

gate_weights_age
gate_age_of_weights(const bbm_gate *g, const gate_weights *w, uint64_t version)
{
    bbm_time overtaken_at =
        w ? bbm_versions_overtaken_at(&w->versions, version) : BBM_NEVER;
    if (overtaken_at == BBM_NEVER)
        return (gate_weights_age){.until = BBM_NEVER};
    return (gate_weights_age){
        .until = overtaken_at + g->desc.old_weights_max,
        .is_old =
            g->now - overtaken_at >= g->desc.old_weights_grace - NEWS_TIME,
    };
}

bool
gate_weights_expire(const bbm_gate *g, const gate_request *r,
                    const gate_weights_age *age)
{
    if (age->until == BBM_NEVER)
        return false;
    bbm_time wait = r->start_deadline - g->now;
    bbm_time wait_max =
        r->silence_limit > WAIT_MAX ? r->silence_limit : WAIT_MAX;
    if (wait > wait_max)
        wait = wait_max;
    bbm_time end_time = gate_longest_stall(g) + LINK_TIME;
    if (end_time < END_TIME)
        end_time = END_TIME;
    return g->now + wait + end_time >= age->until;
}

bool
gate_must_end_attempt(const bbm_gate *g, const gate_request *r)
{
    if (r->stage != GATE_SENT || r->is_relaying || !r->weights_version)
        return false;
    gate_weights_age age = gate_age_of_weights(
        g, gate_find_weights(g, r->model), r->weights_version);
    return age.until != BBM_NEVER && g->now + END_TIME >= age.until;
}

void
gate_record_stall(bbm_gate *g, bbm_time gap)
{
    gate_stalls *s = &g->stalls;
    if (g->now - s->window_at >= STALL_WINDOW) {
        s->previous =
            g->now - s->window_at < 2 * STALL_WINDOW ? s->longest : 0;
        s->longest = 0;
        s->window_at = g->now;
    }
    if (gap > s->longest)
        s->longest = gap;
}

bbm_time
gate_longest_stall(const bbm_gate *g)
{
    const gate_stalls *s = &g->stalls;
    return s->longest > s->previous ? s->longest : s->previous;
}
