/** @file
 *  Releases of software to pools: orders, what VMs report, and the leader's
 *  decisions.
 *
 *  The order, the exposure and the outcome are in the replicated public state.
 *  Each VM passes them to its gate with the moment up to which that state is
 *  known to be complete, and reports its evidence to the leader, which decides
 *  (bbm_release.h) and proposes each change under its term.
 *
 *  The provider lists upstreams of the new build before all VMs know of the
 *  order.  The leader, which does, marks them in the listing as loading: a VM
 *  that doesn't know of the order sends them nothing.  A gate that knows of it
 *  ignores the mark.
 */
#include "node_core.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Shorter than that of other calls: the client of an order moves on after a
   second, and an outcome that comes later is of no use to it. */
#define ORDER_TIMEOUT (4 * BBM_SECOND)
#define CHANGE_TIMEOUT (2 * BBM_SECOND)
/* Period of reports: with many VMs longer, so that the leader's link isn't
   filled. */
#define REPORT_PERIOD_MIN (100 * BBM_MS)
#define REPORT_PERIOD_PER_VM (2500 * BBM_US)
/* While a release is in progress, the public state is polled at least so
   often: with two levels of VMs it is then at most some 0.7 s old, and a VM
   isn't kept from the new build by a lost poll. */
#define POLL_PERIOD (300 * BBM_MS)
#define DECIDE_PERIOD (50 * BBM_MS)
/* A VM lets a build that is released get requests until its view of the
   releases is older than this part of the time to a revert; the rest is for
   the decision. */
#define VIEW_PART 0.6
#define DEFAULT_REVERT_TIME (5 * BBM_SECOND)

static const char *const state_names[] = {
    [BBM_RELEASE_IN_PROGRESS] = "in_progress",
    [BBM_RELEASE_COMPLETED] = "completed",
    [BBM_RELEASE_REVERTED] = "reverted",
};
static const char *const stage_names[] = {
    [BBM_RELEASE_TRIAL] = "trial",
    [BBM_RELEASE_RAMP] = "ramp",
    [BBM_RELEASE_FULL] = "full",
};

static const bbm_releases *
all_releases(const bbm_node *n)
{
    return bbm_registry_releases(bbm_state_registry(n->state));
}

bbm_time
node_release_view_max(const bbm_node *n)
{
    bbm_time revert = n->desc.release_revert_time ? n->desc.release_revert_time
                                                  : DEFAULT_REVERT_TIME;
    return (bbm_time)((double)revert * VIEW_PART);
}

/* ---- operators ---- */

/* False while a VM is known to be of a build that doesn't know releases: it
   would send requests to both builds, or couldn't read the control state.  A
   VM of which nothing is known yet has just started, or is lost. */
static bool
all_know_releases(const bbm_node *n)
{
    if (n->desc.format < BBM_FORMAT_RELEASES)
        return false;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        bool counts = node_member_alive(m);
        const bbm_raft_group *g = n->raft ? bbm_raft_group_of(n->raft) : NULL;
        for (size_t k = 0; g && k < g->len; k++)
            counts = counts || strcmp(g->members[k].name, m->name) == 0;
        if (counts && m->format && m->format < BBM_FORMAT_RELEASES)
            return false;
    }
    return true;
}

void
node_release_order(bbm_node *n, const bbm_operator_event *call)
{
    if (!call->name[0] || !call->other_name[0] || !call->revision) {
        node_reply_code(n, call->op, BBM_ERR_BAD_FIELD, NULL);
        return;
    }
    if (!all_know_releases(n)) {
        node_reply_code(n, call->op, BBM_ERR_NOT_READY, NULL);
        return;
    }
    bbm_command cmd = {.kind = BBM_CMD_RELEASE};
    cmd.u.release.is_order = true;
    bbm_release_info *info = &cmd.u.release.info;
    bbm_name_set(info->pool, call->name);
    bbm_name_set(info->build, call->other_name);
    info->duration_ms = call->revision;
    info->share = bbm_release_first_share(n->desc.release_share);
    node_propose_change(n, &cmd, call->op, n->now + ORDER_TIMEOUT);
}

void
node_release_reply(bbm_node *n, uint64_t op, const char *pool)
{
    const bbm_release_info *r = bbm_releases_latest(all_releases(n), pool);
    if (!r) {
        node_reply_code(n, op, BBM_ERR_NOT_FOUND, NULL);
        return;
    }
    json_t *doc = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "state",
        state_names[r->state], "pool", r->pool, "build", r->build, "stage",
        stage_names[r->stage], "share", (json_int_t)r->share, "duration_ms",
        (json_int_t)r->duration_ms, "age_ms", (json_int_t)r->age_ms, "step",
        (json_int_t)r->step);
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    node_reply(n, op, BBM_OK, text);
}

/* ---- the listing ---- */

void
node_release_mark_listing(const bbm_node *n, bbm_listing *listing)
{
    const bbm_releases *all = all_releases(n);
    if (!all->len)
        return;
    for (size_t i = 0; i < listing->len; i++) {
        bbm_listing_entry *u = &listing->items[i];
        const bbm_release_info *r = bbm_releases_latest(all, u->pool);
        if (r && r->state != BBM_RELEASE_COMPLETED
            && strcmp(r->build, u->build) == 0)
            u->loading = true;
    }
}

/* True if an upstream of the pool serves; @p build: of this build only. */
static bool
has_serving(const bbm_listing *listing, const char *pool, const char *build)
{
    for (size_t i = 0; i < listing->len; i++) {
        const bbm_listing_entry *u = &listing->items[i];
        if (strcmp(u->pool, pool) == 0 && !u->loading && !u->leaving
            && (!build || strcmp(u->build, build) == 0))
            return true;
    }
    return false;
}

/* True if an upstream in a listing is of a build that served before. */
static bool
has_known_build(const bbm_listing *listing, const bbm_listing *known,
                const char *pool)
{
    for (size_t i = 0; i < listing->len; i++) {
        const bbm_listing_entry *u = &listing->items[i];
        if (strcmp(u->pool, pool) == 0 && !u->leaving
            && has_serving(known, pool, u->build))
            return true;
    }
    return false;
}

/* A VM that reads the list itself has heard nothing of a leader for 2 s: an
   order may have been accepted that it doesn't know.  A build that didn't
   serve before gets no requests while another one can. */
void
node_release_mark_own_listing(const bbm_node *n, bbm_listing *listing)
{
    for (size_t i = 0; i < listing->len; i++) {
        bbm_listing_entry *u = &listing->items[i];
        if (has_serving(&n->listing, u->pool, NULL)
            && !has_serving(&n->listing, u->pool, u->build)
            && has_known_build(listing, &n->listing, u->pool))
            u->loading = true;
    }
}

/* ---- this VM ---- */

static void
log_in_force(bbm_node *n, const bbm_release_info *r)
{
    bbm_action *a = node_log_event(n, BBM_EVENT_RELEASE_IN_FORCE);
    node_log_text(a, "pool", r->pool);
    node_log_text(a, "build", r->build);
    node_log_text(a, "state", state_names[r->state]);
    node_log_text(a, "stage", stage_names[r->stage]);
    node_log_number(a, "share", r->share);
    node_log_number(a, "serial", (int64_t)r->serial);
    node_log_number(a, "step", (int64_t)r->step);
    node_log_number(a, "age_ms", (int64_t)r->age_ms);
}

/* True if this VM knew a release as it is, but for its age. */
static bool
was_known(const bbm_node *n, const bbm_release_info *r)
{
    for (size_t i = 0; i < n->known_releases.len; i++) {
        const bbm_release_info *known = &n->known_releases.items[i];
        if (known->serial == r->serial)
            return known->state == r->state && known->stage == r->stage;
    }
    return false;
}

static void
log_changes(bbm_node *n, const bbm_releases *all)
{
    for (size_t i = 0; i < all->len; i++) {
        if (!was_known(n, &all->items[i]))
            log_in_force(n, &all->items[i]);
    }
    bbm_releases_free(&n->known_releases);
    if (!all->len)
        return;
    n->known_releases = (bbm_releases){
        .items = bbm_memdup(all->items, all->len * sizeof(*all->items)),
        .len = all->len,
        .cap = all->len,
    };
}

void
node_release_apply(bbm_node *n)
{
    if (!n->gate)
        return;
    bbm_gate_set_releases_fresh(n->gate, n->fresh_at);
    uint64_t index = bbm_state_public_index(n->state);
    if (index == n->releases_index)
        return;
    n->releases_index = index;
    const bbm_releases *all = all_releases(n);
    if (!all->len)
        return;
    log_changes(n, all);
    bbm_gate_set_releases(n->gate, all, n->now);
}

static bbm_time
report_period(const bbm_node *n)
{
    bbm_time period =
        (bbm_time)bbm_members_count(n->members) * REPORT_PERIOD_PER_VM;
    return period > REPORT_PERIOD_MIN ? period : REPORT_PERIOD_MIN;
}

/* Sends the evidence to the leader, or passes it to the decisions here. */
static void
report(bbm_node *n)
{
    bool leads = node_leads(n);
    bool elsewhere = n->leader[0] && strcmp(n->leader, n->desc.name) != 0
                     && node_known_format(n, n->leader) >= BBM_FORMAT_RELEASES;
    const bbm_evidence *e;
    for (size_t i = 0;
         (e = bbm_gate_release_evidence(n->gate, i, n->now)) != NULL; i++) {
        bbm_buf body = {0};
        bbm_put_u64(&body, n->desc.run);
        bbm_evidence_put(&body, e);
        if (leads) {
            bbm_reader rd = bbm_reader_of(body.data, body.len);
            node_release_receive(n, n->desc.name, &rd);
        }
        else if (elsewhere) {
            bbm_buf *buf = node_send_in_format(
                n, n->leader, NODE_RELEASE, node_known_format(n, n->leader));
            bbm_buf_add(buf, body.data, body.len);
        }
        bbm_buf_free(&body);
    }
}

/* ---- the leader ---- */

static node_release *
find_decision(const bbm_node *n, uint64_t serial)
{
    for (size_t i = 0; i < n->releases_len; i++) {
        if (bbm_release_serial(n->releases[i].decision) == serial)
            return &n->releases[i];
    }
    return NULL;
}

int
node_release_receive(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t run = bbm_get_u64(rd);
    bbm_evidence e = {0};
    bbm_evidence_get(rd, &e);
    bool valid = bbm_reader_done(rd);
    node_release *r = valid ? find_decision(n, e.serial) : NULL;
    if (r)
        bbm_release_add_evidence(r->decision, bbm_hash_text(from, 0), run, &e,
                                 n->now);
    bbm_evidence_free(&e);
    return valid ? BBM_OK : BBM_ERR_DECODE;
}

void
node_release_destroy(bbm_node *n)
{
    for (size_t i = 0; i < n->releases_len; i++)
        bbm_release_destroy(n->releases[i].decision);
    free(n->releases);
    n->releases = NULL;
    n->releases_len = 0;
    n->releases_cap = 0;
}

/* Age of a release as this VM's gate has it. */
static uint64_t
known_age_ms(bbm_node *n, uint64_t serial)
{
    const bbm_evidence *e;
    for (size_t i = 0;
         (e = bbm_gate_release_evidence(n->gate, i, n->now)) != NULL; i++) {
        if (e->serial == serial)
            return e->age_ms;
    }
    return 0;
}

static node_release *
create_decision(bbm_node *n, const bbm_release_info *info)
{
    bbm_grow(&n->releases, &n->releases_cap, n->releases_len,
             sizeof(*n->releases));
    node_release *r = &n->releases[n->releases_len++];
    *r = (node_release){0};
    r->decision = bbm_release_create(
        &(bbm_release_desc){
            .info = *info,
            .share = n->desc.release_share,
            .slack = n->desc.release_slack,
            .fence = n->leader_term,
            .age_ms = known_age_ms(n, info->serial),
        },
        n->now);
    return r;
}

static bool
is_proposed(const bbm_node *n, const node_release *r)
{
    node_proposal *p = NULL;
    HASH_FIND(hh, n->proposals, &r->proposal, sizeof(r->proposal), p);
    return p != NULL;
}

static void
log_decision(bbm_node *n, const bbm_release_info *change,
             const bbm_release_reason *why)
{
    bbm_action *a = node_log_event(n, BBM_EVENT_RELEASE_DECIDED);
    node_log_text(a, "pool", change->pool);
    node_log_text(a, "build", change->build);
    node_log_text(a, "state", state_names[change->state]);
    node_log_text(a, "stage", stage_names[change->stage]);
    node_log_text(a, "reason", why->text);
    node_log_number(a, "age_ms", (int64_t)why->age_ms);
    node_log_number(a, "fence", (int64_t)change->fence);
    node_log_number(a, "requests", (int64_t)why->requests);
    node_log_number(a, "sends", (int64_t)why->sends);
    node_log_number(a, "new_answers", (int64_t)why->new_answers);
    node_log_number(a, "new_failures", (int64_t)why->new_failures);
    node_log_number(a, "new_slow", (int64_t)why->new_slow);
    node_log_number(a, "old_answers", (int64_t)why->old_answers);
    node_log_number(a, "old_failures", (int64_t)why->old_failures);
    node_log_number(a, "old_slow", (int64_t)why->old_slow);
    node_log_number(a, "vms", (int64_t)why->vms);
    node_log_number(a, "evidence_age_ms", (int64_t)why->evidence_age_ms);
}

static void
set_inputs(bbm_node *n, const node_release *r, const bbm_release_info *info)
{
    BBM_AUTO_FREE uint64_t *vms =
        bbm_calloc(bbm_members_count(n->members) + 1, sizeof(*vms));
    size_t len = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (node_member_alive(m))
            vms[len++] = bbm_hash_text(m->name, 0);
    }
    bbm_release_set_vms(r->decision, vms, len);
    size_t listed = 0;
    for (size_t i = 0; i < n->listing.len; i++) {
        const bbm_listing_entry *u = &n->listing.items[i];
        listed += strcmp(u->pool, info->pool) == 0
                  && strcmp(u->build, info->build) == 0 && !u->leaving;
    }
    bbm_release_set_upstreams(r->decision, listed, n->now);
}

static void
decide(bbm_node *n, const bbm_release_info *info)
{
    node_release *r = find_decision(n, info->serial);
    if (!r)
        r = create_decision(n, info);
    bbm_release_apply(r->decision, info, n->now);
    set_inputs(n, r, info);
    bbm_command cmd = {.kind = BBM_CMD_RELEASE};
    bbm_release_reason why;
    if (is_proposed(n, r)
        || !bbm_release_decide(r->decision, n->now, &cmd.u.release.info, &why))
        return;
    const node_proposal *p =
        node_propose(n, &cmd, WAITER_NONE, 0, n->now + CHANGE_TIMEOUT);
    if (!p)
        return;
    r->proposal = p->seq;
    bool changes = cmd.u.release.info.state != info->state
                   || cmd.u.release.info.stage != info->stage;
    if (changes)
        log_decision(n, &cmd.u.release.info, &why);
}

static void
drop_ended(bbm_node *n, const bbm_releases *all)
{
    for (size_t i = n->releases_len; i > 0; i--) {
        uint64_t serial = bbm_release_serial(n->releases[i - 1].decision);
        bool in_progress = false;
        for (size_t k = 0; k < all->len; k++)
            in_progress =
                in_progress
                || (all->items[k].serial == serial
                    && all->items[k].state == BBM_RELEASE_IN_PROGRESS);
        if (in_progress)
            continue;
        bbm_release_destroy(n->releases[i - 1].decision);
        n->releases[i - 1] = n->releases[--n->releases_len];
    }
}

static void
decide_all(bbm_node *n)
{
    bool leads = node_leads(n) && n->applied_index >= n->term_first_index;
    if (n->releases_len && (!leads || n->releases_term != n->leader_term))
        node_release_destroy(n);
    if (!leads)
        return;
    n->releases_term = n->leader_term;
    const bbm_releases *all = all_releases(n);
    drop_ended(n, all);
    for (size_t i = 0; i < all->len; i++) {
        if (all->items[i].state == BBM_RELEASE_IN_PROGRESS)
            decide(n, &all->items[i]);
    }
}

static void
poll_often(bbm_node *n)
{
    bool in_progress = bbm_gate_release_evidence(n->gate, 0, n->now) != NULL;
    if (in_progress && n->next_poll_at > n->now + POLL_PERIOD)
        n->next_poll_at = n->now + POLL_PERIOD;
}

void
node_release_tick(bbm_node *n)
{
    if (n->desc.format < BBM_FORMAT_RELEASES)
        return;
    node_release_apply(n);
    poll_often(n);
    if (n->now >= n->next_release_report_at) {
        n->next_release_report_at = n->now + report_period(n);
        report(n);
    }
    if (n->now < n->next_release_check_at)
        return;
    n->next_release_check_at = n->now + DECIDE_PERIOD;
    decide_all(n);
}
