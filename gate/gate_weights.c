#include "gate_core.h"

/* Use of runners whose weights have been overtaken by a newer version. */

/* A request may wait at a runner until its start deadline, so a runner is
   eligible only if its weights won't be too old by then.  That wait is capped
   at this time, or at the silence after which the client of a stream leaves if
   that is longer; otherwise runners with old weights would be left idle when
   clients wait for long. */
#define WAIT_MAX (3 * BBM_SECOND)
/* Safety margin of the limits on old weights, for clock differences and
   message delays. */
#define MARGIN (100 * BBM_MS)

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

bbm_time
bbm_gate_old_weights_unused_after(const bbm_gate *g)
{
    bbm_time after =
        g->desc.old_weights_max - GATE_STREAM_SILENCE_MIN - MARGIN;
    return after > g->desc.old_weights_grace ? after
                                             : g->desc.old_weights_grace;
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
        .is_old = g->now - overtaken_at >= g->desc.old_weights_grace - MARGIN,
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
    return g->now + wait + MARGIN >= age->until;
}
