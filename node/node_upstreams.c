/** @file
 *  The listing of upstreams, on all VMs.
 *
 *  The leader reads the provider's listing, adds the weights that the rollout
 *  has established, and sends each change to all VMs (see node_news.c).  A VM
 *  that receives nothing from a leader reads the provider's listing itself.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

/* A VM that isn't the leader reads the provider's listing if its own is older
   than this plus one step for each member with a lesser name, so that the VMs
   don't all read at once. */
#define LISTING_AGE_MAX (2 * BBM_SECOND)
#define LISTING_RANK_STEP (40 * BBM_MS)
/* Interval between such reads. */
#define OWN_LISTING_PERIOD (1500 * BBM_MS)
/* Time between a failed read and the next one. */
#define LISTING_RETRY_DELAY (400 * BBM_MS)
/* Ages of listings in messages are capped at this; it also stands for an
   unknown age. */
#define SENT_AGE_MAX (3600 * BBM_SECOND)

/* ---- applying a listing ---- */

static void
log_upstream(bbm_node *n, bbm_log_event event, const bbm_listing_entry *u)
{
    bbm_action *a = node_log_event(n, event);
    node_log_text(a, "upstream", u->id);
    node_log_text(a, "pool", u->pool);
    node_log_text(a, "address", u->address);
    node_log_text(a, "zone", u->zone);
    if (u->build[0])
        node_log_text(a, "build", u->build);
    node_log_number(a, "list_version", (int64_t)n->listing_version);
}

static void
log_changes(bbm_node *n, const bbm_listing *previous)
{
    for (size_t i = 0; i < n->listing.len; i++) {
        const bbm_listing_entry *u = &n->listing.items[i];
        const bbm_listing_entry *was = bbm_listing_find(previous, u->id);
        if (!was || was->started_at_ms != u->started_at_ms)
            log_upstream(n, BBM_EVENT_UPSTREAM_NEW, u);
        if (u->leaving && (!was || !was->leaving))
            log_upstream(n, BBM_EVENT_UPSTREAM_LEAVING, u);
    }
    for (size_t i = 0; i < previous->len; i++) {
        if (!bbm_listing_find(&n->listing, previous->items[i].id))
            log_upstream(n, BBM_EVENT_UPSTREAM_UNLISTED, &previous->items[i]);
    }
}

/* Replaces the listing in force; the content is moved. */
static void
apply_listing(bbm_node *n, bbm_listing *listing)
{
    bbm_listing previous = n->listing;
    n->listing = *listing;
    *listing = (bbm_listing){0};
    log_changes(n, &previous);
    bbm_listing_free(&previous);
    bbm_gate_set_listing(n->gate, &n->listing, n->now);
}

/* ---- sending the listing ---- */

bbm_time
node_upstreams_listing_age(const bbm_node *n)
{
    bbm_time age =
        n->listing_read_at ? n->now - n->listing_read_at : SENT_AGE_MAX;
    return age < SENT_AGE_MAX ? age : SENT_AGE_MAX;
}

/* Begins a message with the change from a version of the listing; 0: with the
   complete listing. */
static bbm_buf *
begin_listing(bbm_node *n, const char *to, uint64_t previous)
{
    bbm_buf *buf =
        node_send_in_format(n, to, NODE_LISTING, node_news_format(n, to));
    bbm_put_u64(buf, n->listing_term);
    bbm_put_u64(buf, previous);
    bbm_put_u64(buf, n->listing_version);
    bbm_put_i64(buf, node_upstreams_listing_age(n));
    return buf;
}

void
node_upstreams_send_listing(bbm_node *n, const char *to)
{
    bool with_builds = node_news_format(n, to) >= BBM_FORMAT_ORIGINS;
    bbm_listing_diff(NULL, &n->listing, with_builds, begin_listing(n, to, 0));
}

static void
send_complete_listing(bbm_node *n, const char *to, void *context)
{
    (void)context;
    node_upstreams_send_listing(n, to);
}

/* A change from one version of the listing to the next, with builds. */
typedef struct listing_change {
    uint64_t previous; /* 0: the change has the complete listing */
    bbm_bytes diff;
} listing_change;

static void
send_change(bbm_node *n, const char *to, void *context)
{
    const listing_change *change = context;
    if (node_news_format(n, to) < BBM_FORMAT_ORIGINS) {
        node_upstreams_send_listing(n, to);
        return;
    }
    bbm_buf *buf = begin_listing(n, to, change->previous);
    bbm_buf_add(buf, change->diff.data, change->diff.len);
}

void
node_upstreams_update(bbm_node *n)
{
    bbm_listing fresh = {0};
    bbm_buf diff = {0};
    bbm_listing_copy(&fresh, &n->raw_listing);
    if (n->rollout)
        bbm_rollout_mark_listing(n->rollout, &fresh);
    bbm_gate_mark_listing(n->gate, &fresh);
    node_release_mark_listing(n, &fresh);
    bool new_term = n->listing_term != n->leader_term;
    size_t changes = bbm_listing_diff(&n->listing, &fresh, true, &diff);
    if (changes || new_term) {
        uint64_t previous = n->listing_version;
        n->listing_version = new_term ? 1 : previous + 1;
        n->listing_term = n->leader_term;
        n->listing_changed_at = n->now;
        apply_listing(n, &fresh);
        listing_change change = {.previous = previous,
                                 .diff = bbm_buf_view(&diff)};
        if (new_term)
            node_news_to_children(n, send_complete_listing, NULL);
        else
            node_news_to_children(n, send_change, &change);
    }
    bbm_listing_free(&fresh);
    bbm_buf_free(&diff);
}

/* ---- reading ---- */

static void
process_read_failure(bbm_node *n)
{
    n->next_listing_check_at = n->now + LISTING_RETRY_DELAY;
    if (n->listing_unreadable)
        return;
    n->listing_unreadable = true;
    bbm_action *a = node_log_event(n, BBM_EVENT_LISTING_FAILED);
    node_log_number(a, "age_ms", node_upstreams_listing_age(n) / BBM_MS);
}

void
node_upstreams_process_read(bbm_node *n, const bbm_listing *listing)
{
    if (!listing) {
        process_read_failure(n);
        return;
    }
    if (n->listing_unreadable)
        node_log(n, BBM_EVENT_LISTING_RESTORED, "", "");
    n->listing_unreadable = false;
    n->listing_read_at = n->now;
    n->own_listing_read_at = n->now;
    bbm_listing_copy(&n->raw_listing, listing);
    if (node_leads(n)) {
        node_rollout_tick(n);
        node_upstreams_update(n);
        return;
    }
    /* Applies until the leader sends a listing.  If the listing in force has a
       newer version of a runner's weights than the provider reports, that
       version stays. */
    bbm_listing fresh = {0};
    bbm_listing_copy(&fresh, listing);
    for (size_t i = 0; i < fresh.len; i++) {
        const bbm_listing_entry *previous =
            bbm_listing_find(&n->listing, fresh.items[i].id);
        for (size_t k = 0; previous && k < previous->models_len; k++) {
            const bbm_loaded_model *held = &previous->models[k];
            if (held->version
                > bbm_listing_entry_version(&fresh.items[i], held->name))
                bbm_listing_entry_set_version(&fresh.items[i], held->name,
                                              held->version);
        }
    }
    node_release_mark_own_listing(n, &fresh);
    n->listing_term = 0;
    n->listing_version = 0;
    apply_listing(n, &fresh);
}

static size_t
rank_among_members(const bbm_node *n)
{
    size_t rank = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++)
        rank += strcmp(m->name, n->desc.name) < 0;
    return rank;
}

static void
check_listing(bbm_node *n)
{
    bool leads = node_leads(n);
    /* What this VM read before may be from before the change that the group
       missed while it had no leader. */
    bool leads_newly = leads && n->listing_led_term != n->leader_term;
    bbm_time updated_at = n->listing_read_at > n->started_at
                              ? n->listing_read_at
                              : n->started_at;
    bbm_time age_max =
        LISTING_AGE_MAX + (bbm_time)rank_among_members(n) * LISTING_RANK_STEP;
    if (!leads_newly
        && (n->now < n->next_listing_check_at
            || (!leads && n->now - updated_at < age_max)))
        return;
    if (leads)
        n->listing_led_term = n->leader_term;
    n->next_listing_check_at =
        n->now + (leads ? n->desc.list_period : OWN_LISTING_PERIOD);
    node_push_action(n, BBM_ACT_READ_LISTING);
}

/* ---- receiving the listing ---- */

/* A leader of an earlier format tells no builds.  What is known of a run of an
   upstream remains true. */
static void
keep_builds(bbm_listing *fresh, const bbm_listing *known)
{
    for (size_t i = 0; i < fresh->len; i++) {
        bbm_listing_entry *u = &fresh->items[i];
        const bbm_listing_entry *was = bbm_listing_find(known, u->id);
        if (!u->build[0] && was && was->started_at_ms == u->started_at_ms)
            bbm_name_set(u->build, was->build);
    }
}

int
node_upstreams_receive_listing(bbm_node *n, const char *from, bbm_reader *rd)
{
    (void)from;
    uint64_t term = bbm_get_u64(rd);
    uint64_t previous = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    bbm_time age = bbm_get_i64(rd);
    listing_change change = {
        .previous = previous,
        .diff = {.data = rd->data + rd->pos, .len = rd->len - rd->pos},
    };
    bbm_listing fresh = {0};
    bool follows = term == n->listing_term && previous == n->listing_version;
    if (previous)
        bbm_listing_copy(&fresh, &n->listing);
    bbm_listing_patch(&fresh, rd, n->desc.format >= BBM_FORMAT_ORIGINS);
    keep_builds(&fresh, &n->listing);
    bool valid = bbm_reader_done(rd) && age >= 0;
    bool newer = term > n->listing_term
                 || (term == n->listing_term && version > n->listing_version);
    bool usable = n->gate && !node_leads(n) && newer && (!previous || follows);
    if (valid && usable) {
        n->listing_term = term;
        n->listing_version = version;
        n->listing_read_at = n->now - age;
        n->listing_changed_at = n->now;
        apply_listing(n, &fresh);
        node_news_to_children(n, send_change, &change);
    }
    bbm_listing_free(&fresh);
    return valid ? BBM_OK : BBM_ERR_DECODE;
}

void
node_upstreams_tick(bbm_node *n)
{
    if (!n->config_revision)
        return;
    check_listing(n);
    node_news_tick(n);
}

void
node_upstreams_destroy(bbm_node *n)
{
    bbm_listing_free(&n->raw_listing);
    bbm_listing_free(&n->listing);
    bbm_loads_destroy(n->loads);
    bbm_relays_destroy(n->relays);
    bbm_buf_free(&n->relayed_news);
    bbm_buf_free(&n->sent_totals);
}
