/** @file
 *  Duties of the leader: orders to engines to load weights, and closing the
 *  claims of lost VMs.
 */
#include "node_core.h"

#include "bbm_table.h"

#include <stdlib.h>
#include <string.h>

#define ORDERS_CHECK_PERIOD (200 * BBM_MS)
#define LOST_VM_CHECK_PERIOD BBM_SECOND
/* Engines that may load weights at the same time.  One that refuses its order,
   or leaves it without an answer and doesn't load, isn't counted. */
#define LOADING_ENGINES_MAX 3
/* Share of a model's other runners that must be usable while one loads. */
#define SERVING_SHARE_MIN 0.6
/* Timeout of the HTTP request of an order.  An order is sent only if the
   leader's lease lasts longer. */
#define ORDER_TIMEOUT (400 * BBM_MS)
/* An order is sent again if the engine doesn't report the ordered weights
   within this time. */
#define ORDER_RETRY_DELAY (5 * BBM_SECOND)

/* ---- reports of the engines ---- */

static bool
find_view(const bbm_node *n, const char *engine, bbm_runner_view *view)
{
    for (size_t i = 0; bbm_fleet_at(n->fleet, i, n->now, view); i++) {
        if (strcmp(view->name, engine) == 0)
            return true;
    }
    return false;
}

static bool
has_weights(const bbm_node *n, const char *engine, const char *weights)
{
    bbm_runner_view view;
    return find_view(n, engine, &view) && view.is_reporting
           && strcmp(view.weights, weights) == 0;
}

/* True if enough runners of the model stay usable while the target loads. */
static bool
keeps_capacity(const bbm_node *n, const bbm_engine *target)
{
    const bbm_config *cfg = node_config(n);
    double all = 0;
    double serving = 0;
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        if (strcmp(e->model, target->model) != 0 || e == target)
            continue;
        all++;
        serving += bbm_fleet_usable(n->fleet, e->name, n->now);
    }
    return all < 1 || serving >= all * SERVING_SHARE_MIN;
}

/* ---- sending ---- */

static node_sent_order *
find_sent_order(bbm_node *n, const char *id)
{
    node_sent_order *s = NULL;
    HASH_FIND_STR(n->sent_orders, id, s);
    return s;
}

static void
propose_order_state(bbm_node *n, const char *id, bbm_order_state state,
                    int code)
{
    bbm_command cmd = {.kind = BBM_CMD_ORDER_END};
    bbm_name_set(cmd.u.order_end.id, id);
    cmd.u.order_end.state = state;
    cmd.u.order_end.code = code;
    node_propose(n, &cmd, WAITER_NONE, 0, n->now + ORDER_RETRY_DELAY);
}

static void
send_order(bbm_node *n, const bbm_order *o, const bbm_engine *e)
{
    node_sent_order *s = find_sent_order(n, o->id);
    if (!s) {
        s = bbm_calloc(1, sizeof(*s));
        bbm_name_set(s->id, o->id);
        HASH_ADD_STR(n->sent_orders, id, s);
        propose_order_state(n, o->id, BBM_ORDER_SENT, BBM_OK);
    }
    s->last_sent_at = n->now;
    s->is_refused = false;
    bbm_action *a = node_push_action(n, BBM_ACT_ORDER);
    bbm_name_set(a->u.order.id, o->id);
    bbm_text_set(a->u.order.url, BBM_URL_SIZE, e->url);
    bbm_name_set(a->u.order.weights, o->weights);
    a->u.order.fence = o->fence;
    a->u.order.timeout = ORDER_TIMEOUT;
    /* An engine that ignores fencing numbers must not receive orders of two
       leaders: this one has arrived or timed out before the lease ends. */
    a->u.order.not_after = bbm_raft_lease_until(n->raft) - ORDER_TIMEOUT;
    const bbm_config *cfg = node_config(n);
    bbm_weights *w = NULL;
    HASH_FIND_STR(cfg->weights, o->weights, w);
    if (w)
        bbm_text_set(a->u.order.source, BBM_URL_SIZE, w->source);
}

static bool
is_open(const bbm_order *o)
{
    return o->state == BBM_ORDER_WAITING || o->state == BBM_ORDER_SENT;
}

/* True while the engine of an order may be loading.  One that hasn't answered
   in time may have got the order; then its reports say that it loads. */
static bool
is_in_progress(const bbm_node *n, const bbm_order *o, const node_sent_order *s)
{
    if (!s || n->now - s->last_sent_at >= ORDER_RETRY_DELAY)
        return false;
    bbm_runner_view view;
    bool is_reporting = find_view(n, o->engine, &view) && view.is_reporting;
    return !s->is_refused
           || (is_reporting && !bbm_fleet_usable(n->fleet, o->engine, n->now));
}

/* Closes an open order that is done or impossible.  Returns true if it is to
   be sent, now or later. */
static bool
settle_order(bbm_node *n, const bbm_order *o)
{
    node_sent_order *s = find_sent_order(n, o->id);
    if (s && s->end_proposed)
        return false;
    if (!bbm_config_engine(node_config(n), o->engine)) {
        propose_order_state(n, o->id, BBM_ORDER_FAILED, BBM_ERR_NOT_FOUND);
        return false;
    }
    if (!has_weights(n, o->engine, o->weights))
        return true;
    if (s)
        s->end_proposed = true;
    propose_order_state(n, o->id, BBM_ORDER_DONE, BBM_OK);
    node_log(n, BBM_EVENT_ORDER_COMPLETED, o->engine, o->weights);
    return false;
}

/* An engine that doesn't report gets no order, or silent ones would hold the
   places of those that answer. */
static bool
may_send(const bbm_node *n, const bbm_order *o, const node_sent_order *s)
{
    bbm_runner_view view;
    return (!s || n->now - s->last_sent_at >= ORDER_RETRY_DELAY)
           && find_view(n, o->engine, &view) && view.is_reporting
           && keeps_capacity(n, bbm_config_engine(node_config(n), o->engine));
}

/* The order to send next: the one that was sent least recently, so that
   engines that fail to load leave places to the others.  NULL: none may be
   sent now. */
static const bbm_order *
choose_order(bbm_node *n, const bbm_order *orders, size_t len)
{
    const bbm_order *chosen = NULL;
    bbm_time chosen_sent_at = 0;
    for (size_t i = 0; i < len; i++) {
        const node_sent_order *s = find_sent_order(n, orders[i].id);
        bbm_time sent_at = s ? s->last_sent_at : 0;
        if ((chosen && sent_at >= chosen_sent_at)
            || !may_send(n, &orders[i], s))
            continue;
        chosen = &orders[i];
        chosen_sent_at = sent_at;
    }
    return chosen;
}

/* ---- orders that follow from the configuration ---- */

static bool
has_open_order(const bbm_node *n, const char *engine, const char *weights)
{
    bbm_order o;
    const bbm_orders *orders = bbm_state_orders(n->state);
    for (size_t i = 0; bbm_orders_at(orders, i, &o); i++) {
        if (is_open(&o) && strcmp(o.engine, engine) == 0
            && strcmp(o.weights, weights) == 0)
            return true;
    }
    return false;
}

/* Proposes an order for each engine that doesn't have the weights in force.
   The order's id is made from revision, engine and the engine's incarnation,
   so that a repeated proposal is the same order. */
static void
propose_config_orders(bbm_node *n)
{
    const bbm_config *cfg = node_config(n);
    for (const bbm_engine *e = cfg->engines; e; e = e->hh.next) {
        const char *weights = e->model_ref->weights;
        bbm_runner_view view;
        bool outdated = find_view(n, e->name, &view) && view.is_reporting
                        && strcmp(view.weights, weights) != 0;
        if (!outdated || has_open_order(n, e->name, weights))
            continue;
        bbm_command cmd = {.kind = BBM_CMD_ORDER};
        snprintf(cmd.u.order.id, BBM_NAME_SIZE, "r%llu-%.40s-%.4llx",
                 (unsigned long long)n->config_revision, e->name,
                 (unsigned long long)view.incarnation & 0xffff);
        bbm_name_set(cmd.u.order.engine, e->name);
        bbm_name_set(cmd.u.order.weights, weights);
        node_propose(n, &cmd, WAITER_NONE, 0, n->now + ORDERS_CHECK_PERIOD);
    }
}

static void
process_orders(bbm_node *n)
{
    const bbm_orders *all = bbm_state_orders(n->state);
    BBM_AUTO_FREE bbm_order *orders = NULL; /* those to be sent */
    size_t len = 0;
    size_t cap = 0;
    size_t loading = 0;
    bbm_order o;
    for (size_t i = 0; bbm_orders_at(all, i, &o); i++) {
        if (!is_open(&o) || !settle_order(n, &o))
            continue;
        if (is_in_progress(n, &o, find_sent_order(n, o.id))) {
            loading++;
            continue;
        }
        bbm_grow(&orders, &cap, len, sizeof(*orders));
        orders[len++] = o;
    }
    if (bbm_orders_paused(all)
        || bbm_raft_lease_until(n->raft) - n->now <= ORDER_TIMEOUT)
        return;
    for (; loading < LOADING_ENGINES_MAX; loading++) {
        const bbm_order *next = choose_order(n, orders, len);
        if (!next)
            return;
        send_order(n, next, bbm_config_engine(node_config(n), next->engine));
    }
}

void
node_orders_result(bbm_node *n, const char *id, int code)
{
    node_sent_order *s = find_sent_order(n, id);
    if (!s || s->end_proposed)
        return;
    if (code == BBM_ERR_ORDER_FENCED) {
        s->end_proposed = true;
        propose_order_state(n, id, BBM_ORDER_FAILED, code);
    }
    s->is_refused = code < 0;
    if (code < 0)
        node_log(n, BBM_EVENT_ORDER_FAILED, id, bbm_code_name(code));
}

void
node_orders_reset(bbm_node *n)
{
    BBM_TABLE_FREE(node_sent_order, n->sent_orders);
}

/* ---- claims of lost VMs ---- */

/* Result of the search for a VM whose claims must be closed. */
typedef struct lost_vm {
    const bbm_node *node;     /* Searches among its members. */
    char name[BBM_NAME_SIZE]; /* The lost VM, if found. */
    uint64_t run;             /* Its present run, whose claims stay open; 0:
                                 it is dead or unknown. */
    bool found;
} lost_vm;

/* Finds a VM with running claims that can't end them: it is dead, or was
   restarted and has another run number.  Called for each VM with running
   claims; true: go on with the next one. */
static bool
find_lost_vm(void *context, const char *name, uint64_t run)
{
    lost_vm *lost = context;
    const bbm_member *m = bbm_members_find(lost->node->members, name);
    bool same_run = m && m->run == run;
    if (same_run && m->status != BBM_MEMBER_DEAD)
        return true;
    bbm_name_set(lost->name, name);
    lost->run = m && m->status != BBM_MEMBER_DEAD ? m->run : 0;
    lost->found = true;
    return false;
}

static void
close_lost_claims(bbm_node *n)
{
    lost_vm lost = {.node = n};
    bbm_claims_each_running(bbm_state_claims(n->state), find_lost_vm, &lost);
    if (!lost.found)
        return;
    bbm_command cmd = {.kind = BBM_CMD_RUN_ENDED};
    bbm_name_set(cmd.u.run_ended.node, lost.name);
    cmd.u.run_ended.run = lost.run;
    node_propose(n, &cmd, WAITER_NONE, 0, n->now + LOST_VM_CHECK_PERIOD);
}

void
node_orders_tick(bbm_node *n)
{
    if (!node_leads(n) || !node_config(n))
        return;
    if (n->now >= n->next_orders_check_at) {
        n->next_orders_check_at = n->now + ORDERS_CHECK_PERIOD;
        propose_config_orders(n);
        process_orders(n);
    }
    if (n->now >= n->next_lost_vm_check_at) {
        n->next_lost_vm_check_at = n->now + LOST_VM_CHECK_PERIOD;
        close_lost_claims(n);
    }
}
