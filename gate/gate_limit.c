#include "gate_core.h"

/* Limits that upstreams state: how many requests a second they take from all
   VMs together.

   A VM heeds a limit from the first answer that states it, without waiting for
   the others; these hear of it with the loads.  Each then uses only its own
   turns (bbm_turns.h).  Without a turn the upstream is no candidate, so that
   requests go to others of the pool.

   A limit holds for one run of the upstream, and until an answer without it
   comes to a request that was sent after the last statement: answers may
   overtake each other. */

/* A statement of this VM is reported for this time.  Every VM has had its turn
   and a statement of its own by then, or has heard of one. */
#define REPORT_TIME (60 * BBM_SECOND)
/* News replaces a statement that is older by this: what comes back of this
   VM's own report looks later than it is. */
#define NEWS_DELAY_MAX (300 * BBM_MS)
/* An upstream whose last statement is older is asked: requests that prefer
   others would never learn that its limit has ended. */
#define ASK_TIME (3 * BBM_SECOND)
/* Shortest time between two log lines about the limit of an upstream. */
#define LOG_PERIOD (2 * BBM_SECOND)
/* Share of the limits that is meant for returning clients; the rest is for new
   ones. */
#define RETURN_CAPACITY_SHARE 0.5
/* A later return would outlast a limit that has ended meanwhile. */
#define RETURN_MAX (5 * BBM_SECOND)

static bool
is_of_present_run(const gate_upstream *u, const gate_limit *l)
{
    return l->kind != BBM_LIMIT_UNSTATED && l->run == gate_run_of(&u->info);
}

bool
gate_is_limited(const gate_upstream *u)
{
    return u->limit.kind == BBM_LIMIT_SET && is_of_present_run(u, &u->limit);
}

static void
apply(bbm_gate *g, gate_upstream *u, const gate_limit *l)
{
    u->limit = *l;
    if (l->kind == BBM_LIMIT_SET)
        bbm_turns_set_limit(&u->turns, (double)l->per_1000_s / 1000,
                            gate_calendar(g));
    else
        bbm_turns_remove_limit(&u->turns);
}

/* At most one line per period and upstream, and none for what the last line
   says. */
static bool
must_log(const bbm_gate *g, gate_upstream *u)
{
    const gate_limit *l = &u->limit;
    const gate_limit *last = &u->logged_limit;
    bool changed = l->kind != last->kind || l->run != last->run
                   || l->per_1000_s != last->per_1000_s;
    if (!changed
        || (last->kind != BBM_LIMIT_UNSTATED
            && g->now - last->at < LOG_PERIOD))
        return false;
    u->logged_limit = *l;
    return true;
}

bool
gate_record_limit(bbm_gate *g, gate_upstream *u,
                  const bbm_upstream_notice *notice, bbm_time sent_at)
{
    gate_limit l = {.run = gate_run_of(&u->info), .at = g->now};
    if (notice->limited) {
        l.kind = BBM_LIMIT_SET;
        l.per_1000_s = (uint32_t)(notice->limit * 1000);
    }
    else if (!notice->invalid && gate_is_limited(u) && sent_at != BBM_NEVER
             && sent_at >= u->limit.at) {
        l.kind = BBM_LIMIT_NONE;
    }
    else {
        return false;
    }
    if (u->own_limit.kind != l.kind || u->own_limit.per_1000_s != l.per_1000_s)
        g->load_changed = true;
    u->own_limit = l;
    apply(g, u, &l);
    return must_log(g, u);
}

void
gate_push_limit(bbm_gate *g, const gate_upstream *u, bool reported)
{
    bool limited = u->limit.kind == BBM_LIMIT_SET;
    bbm_gate_output *out = gate_push_output(g, BBM_GATE_UPSTREAM_NOTICE, NULL);
    bbm_name_set(out->u.upstream_notice.upstream, u->info.id);
    out->u.upstream_notice.notice.limited = limited;
    out->u.upstream_notice.notice.limit = (double)u->limit.per_1000_s / 1000;
    out->u.upstream_notice.limit_ended = !limited;
    out->u.upstream_notice.limit_reported = reported;
}

void
gate_apply_limit_news(bbm_gate *g, gate_upstream *u)
{
    const bbm_limit_statement *s = &u->totals.limit;
    gate_limit l = {
        .kind = s->kind,
        .run = s->run,
        .per_1000_s = s->per_1000_s,
        .at = g->now - s->age_ms * BBM_MS,
    };
    if (!is_of_present_run(u, &l))
        return;
    if (!is_of_present_run(u, &u->limit)
        || l.at > u->limit.at + NEWS_DELAY_MAX) {
        apply(g, u, &l);
        if (must_log(g, u))
            gate_push_limit(g, u, true);
    }
}

void
gate_forget_limit(gate_upstream *u)
{
    u->own_limit = (gate_limit){0};
    u->limit = (gate_limit){0};
    bbm_turns_remove_limit(&u->turns);
}

bbm_limit_statement
gate_limit_to_report(const bbm_gate *g, const gate_upstream *u)
{
    const gate_limit *l = &u->own_limit;
    bbm_time age = g->now - l->at;
    if (!is_of_present_run(u, l) || age >= REPORT_TIME)
        return (bbm_limit_statement){0};
    return (bbm_limit_statement){
        .kind = l->kind,
        .run = l->run,
        .per_1000_s = l->per_1000_s,
        .age_ms = (uint32_t)(age / BBM_MS),
    };
}

bool
gate_has_turn(bbm_gate *g, gate_upstream *u)
{
    if (!gate_is_limited(u))
        return true;
    bbm_turn_order order = gate_turn_order(
        g, bbm_hash64(&u->limit.run, sizeof(u->limit.run), u->hash));
    bbm_turns_update(&u->turns, &order, gate_calendar(g));
    return u->turns.available > 0;
}

bool
gate_has_turn_before(const bbm_gate *g, const gate_upstream *u, bbm_time until)
{
    return u->turns.available
           || (u->turns.ahead_len
               && u->turns.ahead[0] - g->calendar_offset <= until);
}

bool
gate_must_ask_limit(const bbm_gate *g, const gate_upstream *u)
{
    return gate_is_limited(u) && g->now - u->limit.at >= ASK_TIME;
}

bbm_time
gate_limit_retry_after(bbm_gate *g, const gate_choice *c)
{
    bbm_returns *returns = &c->limited_pool->limit_returns;
    /* The other VMs send their clients to the same upstreams. */
    double spacing_s = (double)g->vms / c->limit / RETURN_CAPACITY_SHARE;
    bbm_time spacing = (bbm_time)(spacing_s * (double)BBM_SECOND);
    bbm_time at =
        bbm_returns_schedule(returns, g->now + spacing / 2, spacing, g->now);
    if (returns->next > g->now + RETURN_MAX)
        returns->next = g->now + RETURN_MAX;
    return at - g->now;
}

void
bbm_gate_set_vms(bbm_gate *g, const uint64_t *vms, size_t len, uint64_t self)
{
    g->vm_hashes = bbm_realloc(g->vm_hashes, len * sizeof(*vms));
    for (size_t i = 0; i < len; i++)
        g->vm_hashes[i] = vms[i];
    g->vm_hashes_len = len;
    g->self_hash = self;
}

void
bbm_gate_set_calendar(bbm_gate *g, bbm_time calendar, bbm_time now)
{
    g->calendar_offset = calendar - now;
}
