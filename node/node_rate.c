#include "node_core.h"

#include <stdlib.h>
#include <string.h>

/* Rates over the fleet: this VM's parts, and the owner's books when it
   leads. */

#define RATE_PERIOD (20 * BBM_MS)
#define RETRY_LEAST (100 * BBM_MS)
#define RETRY_MOST (60 * BBM_SECOND)

/* ---- requests ---- */

static void
go_on(bbm_node *n, node_request *r)
{
    if (r->repeatable)
        node_request_place(n, r);
    else
        node_claim_begin(n, r);
}

/* When the customer's rate will have made good what is missing. */
static bbm_time
come_back(bbm_node *n, const node_request *r, double tokens)
{
    const bbm_customer *c = bbm_config_customer(node_config(n), r->customer);
    bbm_rate_part part = bbm_rate_part_of(n->holder, r->customer, n->now);
    if (!c)
        return BBM_SECOND;
    double missing = tokens - part.level;
    double rate = (double)c->rate_ref->tokens_per_s;
    bbm_time wait = (bbm_time)(missing / rate * (double)BBM_SECOND);
    if (wait < RETRY_LEAST)
        return RETRY_LEAST;
    return wait > RETRY_MOST ? RETRY_MOST : wait;
}

void
node_rate_try(bbm_node *n, node_request *r)
{
    double tokens = r->prompt_tokens + r->output_tokens;
    bool waited = r->stage == STAGE_RATE;
    if (!r->customer[0] || tokens <= 0) {
        go_on(n, r);
        return;
    }
    bbm_rate_verdict verdict =
        bbm_rate_take(n->holder, r->customer, tokens, waited, n->now);
    if (verdict == BBM_RATE_TAKEN) {
        if (waited)
            TAILQ_REMOVE(&n->waiting_rate, r, link);
        r->stage = STAGE_RUNNING;
        r->reserved = true;
        go_on(n, r);
        return;
    }
    if (n->now >= r->rate_until) {
        bbm_time wait = come_back(n, r, tokens);
        bbm_rate_want_over(n->holder, r->customer);
        node_request_refuse(n, r, BBM_ERR_RATE, wait);
        return;
    }
    if (!waited) {
        r->stage = STAGE_RATE;
        TAILQ_INSERT_TAIL(&n->waiting_rate, r, link);
        n->rate_at = n->now;
        node_rate_tick(n);
    }
}

static void
try_waiting(bbm_node *n)
{
    node_request *r, *next;
    for (r = TAILQ_FIRST(&n->waiting_rate); r; r = next) {
        next = TAILQ_NEXT(r, link);
        node_rate_try(n, r);
    }
}

void
node_rate_ran(bbm_node *n, node_request *r, double total)
{
    if (!r->reserved || total <= r->ran)
        return;
    bbm_rate_ran(n->holder, r->customer, total - r->ran, n->now);
    r->ran = total;
}

void
node_rate_settle(bbm_node *n, node_request *r)
{
    if (!r->reserved)
        return;
    r->reserved = false;
    double left = r->prompt_tokens + r->output_tokens - r->ran;
    if (left > 0)
        bbm_rate_release(n->holder, r->customer, left, n->now);
}

/* ---- owner ---- */

static void
drop_first_held(bbm_node *n)
{
    node_grant *g = STAILQ_FIRST(&n->held_grants);
    STAILQ_REMOVE_HEAD(&n->held_grants, link);
    bbm_buf_free(&g->grant.bytes);
    free(g);
}

static void
drop_held(bbm_node *n)
{
    while (!STAILQ_EMPTY(&n->held_grants))
        drop_first_held(n);
    n->books_index = 0;
}

void
node_rate_resign(bbm_node *n)
{
    drop_held(n);
    bbm_rate_owner_destroy(n->owner);
    n->owner = NULL;
}

static void
take_customer(bbm_node *n, const bbm_customer *c, bool begins)
{
    bbm_rate_owner_customer(n->owner, c->name,
                            (double)c->rate_ref->tokens_per_s,
                            (double)c->rate_ref->burst, n->now);
    bbm_bytes books;
    if (begins && bbm_state_books(n->state, c->name, &books))
        bbm_rate_owner_restore(n->owner, c->name, books.data, books.len,
                               n->now);
}

/* Into office with the first applied entry of the own term: by then all the
   books of earlier owners are applied too. */
void
node_rate_update(bbm_node *n, bool new_revision)
{
    bool in_office = n->raft && bbm_raft_role_of(n->raft) == BBM_LEADER;
    uint64_t term = n->raft ? bbm_raft_term(n->raft) : 0;
    if (n->owner && (!in_office || term != n->owner_term))
        node_rate_resign(n);
    bool begins =
        !n->owner && in_office && node_leads(n) && n->applied >= n->lead_from;
    if (begins) {
        bbm_rate_desc desc = {.epoch = term};
        bbm_name_set(desc.node, n->desc.name);
        n->owner_term = term;
        n->owner = bbm_rate_owner_create(&desc);
    }
    const bbm_config *cfg = node_config(n);
    if (!n->owner || !cfg || !(begins || new_revision))
        return;
    for (const bbm_customer *c = cfg->customers; c; c = c->hh.next)
        take_customer(n, c, begins);
}

static void
send_grant(bbm_node *n, const bbm_rate_grant *grant)
{
    if (strcmp(grant->node, n->desc.name) == 0) {
        size_t changed;
        bbm_rate_granted(n->holder, grant->bytes.data, grant->bytes.len,
                         n->now, &changed);
        return;
    }
    bbm_buf *buf = node_send(n, grant->node, NODE_GRANT);
    bbm_put_bytes(buf, grant->bytes.data, grant->bytes.len);
}

/* Put the books that allow for the held grants into the log. */
static void
write_books(bbm_node *n)
{
    char customer[BBM_NAME_SIZE];
    bbm_buf books = {0};
    while (bbm_rate_owner_books(n->owner, customer, &books)) {
        bbm_command cmd = {.kind = BBM_CMD_BOOKS, .at_ms = n->wall_ms};
        bbm_name_set(cmd.u.books.customer, customer);
        cmd.u.books.books = bbm_buf_view(&books);
        bbm_buf bytes = {0};
        uint64_t index = 0;
        bbm_command_encode(&cmd, &bytes);
        if (bbm_raft_propose(n->raft, bytes.data, bytes.len, n->now, &index)
            == BBM_OK)
            n->books_index = index;
        bbm_buf_free(&bytes);
        books.len = 0;
    }
    bbm_buf_free(&books);
}

/* Grants that change a part wait for the books; others go at once.  Those
   that come while books are under way wait for the next. */
static void
send_grants(bbm_node *n)
{
    bbm_rate_grant grant;
    while (n->owner && bbm_rate_owner_take(n->owner, &grant)) {
        if (!grant.changes) {
            send_grant(n, &grant);
            bbm_buf_free(&grant.bytes);
            continue;
        }
        node_grant *g = bbm_calloc(1, sizeof(*g));
        g->grant = grant;
        STAILQ_INSERT_TAIL(&n->held_grants, g, link);
    }
    bool under_way = n->books_index > n->applied;
    if (!n->owner || under_way || STAILQ_EMPTY(&n->held_grants))
        return;
    write_books(n);
    node_grant *g;
    STAILQ_FOREACH(g, &n->held_grants, link)
    {
        g->index = n->books_index;
    }
}

void
node_rate_applied(bbm_node *n)
{
    node_grant *g;
    bool any = false;
    if (!n->owner)
        return;
    while ((g = STAILQ_FIRST(&n->held_grants)) != NULL && g->index
           && g->index <= n->applied) {
        send_grant(n, &g->grant);
        drop_first_held(n);
        any = true;
    }
    if (!any)
        return;
    send_grants(n);
    try_waiting(n);
}

/* ---- messages ---- */

static void
report(bbm_node *n)
{
    if (!n->leader[0] || !bbm_rate_report_due(n->holder, n->now))
        return;
    bbm_buf bytes = {0};
    if (n->owner && node_leads(n)) {
        bbm_rate_report(n->holder, n->owner_term, n->now, &bytes);
        bbm_rate_owner_report(n->owner, bytes.data, bytes.len, n->now);
        send_grants(n);
    }
    else if (strcmp(n->leader, n->desc.name) != 0) {
        bbm_rate_report(n->holder, n->leader_term, n->now, &bytes);
        bbm_buf *buf = node_send(n, n->leader, NODE_REPORT);
        bbm_put_bytes(buf, bytes.data, bytes.len);
    }
    bbm_buf_free(&bytes);
}

int
node_rate_receive(bbm_node *n, const char *from, node_message kind,
                  bbm_reader *rd)
{
    bbm_bytes inner = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    int rc = BBM_OK;
    if (kind == NODE_REPORT) {
        node_rate_update(n, false);
        if (!n->owner || !node_leads(n))
            return BBM_OK;
        rc = bbm_rate_owner_report(n->owner, inner.data, inner.len, n->now);
        send_grants(n);
    }
    else if (strcmp(from, n->leader) == 0) {
        size_t changed = 0;
        rc = bbm_rate_granted(n->holder, inner.data, inner.len, n->now,
                              &changed);
        if (bbm_rate_was_cut(n->holder))
            report(n);
    }
    try_waiting(n);
    return rc;
}

void
node_rate_tick(bbm_node *n)
{
    if (n->now < n->rate_at)
        return;
    n->rate_at = n->now + RATE_PERIOD;
    node_rate_update(n, false);
    if (n->owner && node_leads(n)) {
        bbm_rate_owner_tick(n->owner, n->now);
        send_grants(n);
    }
    report(n);
    try_waiting(n);
}
