/** @file
 *  The listing of upstreams and the load on them, on all VMs.
 *
 *  The leader reads the provider's listing, adds the weights that the rollout
 *  has established, and sends each change to all VMs.  Each VM reports its
 *  load and the version of its listing; the leader sends the complete listing
 *  to a VM whose version is old.  A VM that receives nothing from a leader
 *  reads the provider's listing itself.
 *
 *  A placement says that a part of a prompt was sent to an upstream, which is
 *  then expected to cache it.
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
/* The latest change may take this time to reach a VM.  A VM that reports an
   older version later than that is sent the complete listing. */
#define CHANGE_DELIVERY_TIME (120 * BBM_MS)
/* Up to this number, VMs send load and placements to each other.  More VMs
   send them to the leader, which sends totals to all: the number of messages
   then grows linearly with the VMs, not with their square. */
#define DIRECT_VMS_MAX 16
/* With more than DIRECT_VMS_MAX VMs the report period is LOAD_PERIOD_PER_VM
   times their number, as the leader receives and sends one message per VM and
   period, but at least LOAD_PERIOD_MIN. */
#define LOAD_PERIOD_PER_VM (1 * BBM_MS)
#define LOAD_PERIOD_MIN (40 * BBM_MS)
/* Ages of listings in messages are capped at this; it also stands for an
   unknown age. */
#define SENT_AGE_MAX (3600 * BBM_SECOND)

/* True for other VMs that are not dead and whose run is known. */
static bool
is_reachable(const bbm_node *n, const bbm_member *m)
{
    return m->run && m->status != BBM_MEMBER_DEAD
           && strcmp(m->name, n->desc.name) != 0;
}

static size_t
count_vms(const bbm_node *n)
{
    size_t vms = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++)
        vms += m->status == BBM_MEMBER_ALIVE && m->run;
    return vms;
}

static bool
reports_directly(size_t vms)
{
    return vms <= DIRECT_VMS_MAX;
}

static bbm_time
load_period(const bbm_node *n, size_t vms)
{
    if (reports_directly(vms))
        return n->desc.load_period;
    bbm_time period = (bbm_time)vms * LOAD_PERIOD_PER_VM;
    return period > LOAD_PERIOD_MIN ? period : LOAD_PERIOD_MIN;
}

/* ---- applying a listing ---- */

static void
log_upstream(bbm_node *n, bbm_log_event event, const bbm_listing_entry *u)
{
    bbm_action *a = node_log_event(n, event);
    node_log_text(a, "upstream", u->id);
    node_log_text(a, "pool", u->pool);
    node_log_text(a, "address", u->address);
    node_log_text(a, "zone", u->zone);
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

static bbm_time
listing_age(const bbm_node *n)
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
    bbm_buf *buf = node_send(n, to, NODE_LISTING);
    bbm_put_u64(buf, n->listing_term);
    bbm_put_u64(buf, previous);
    bbm_put_u64(buf, n->listing_version);
    bbm_put_i64(buf, listing_age(n));
    return buf;
}

static void
send_listing(bbm_node *n, const char *to)
{
    bbm_listing_diff(NULL, &n->listing, begin_listing(n, to, 0));
}

static void
send_listing_to_all(bbm_node *n)
{
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (is_reachable(n, m))
            send_listing(n, m->name);
    }
}

static void
send_change_to_all(bbm_node *n, uint64_t previous, const bbm_buf *diff)
{
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!is_reachable(n, m))
            continue;
        bbm_buf *buf = begin_listing(n, m->name, previous);
        bbm_buf_add(buf, diff->data, diff->len);
    }
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
    bool new_term = n->listing_term != n->leader_term;
    size_t changes = bbm_listing_diff(&n->listing, &fresh, &diff);
    if (changes || new_term) {
        uint64_t previous = n->listing_version;
        n->listing_version = new_term ? 1 : previous + 1;
        n->listing_term = n->leader_term;
        n->listing_changed_at = n->now;
        apply_listing(n, &fresh);
        if (new_term)
            send_listing_to_all(n);
        else
            send_change_to_all(n, previous, &diff);
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
    node_log_number(a, "age_ms", listing_age(n) / BBM_MS);
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
    bbm_time updated_at = n->listing_read_at > n->started_at
                              ? n->listing_read_at
                              : n->started_at;
    bbm_time age_max =
        LISTING_AGE_MAX + (bbm_time)rank_among_members(n) * LISTING_RANK_STEP;
    if (n->now < n->next_listing_check_at
        || (!leads && n->now - updated_at < age_max))
        return;
    n->next_listing_check_at =
        n->now + (leads ? n->desc.list_period : OWN_LISTING_PERIOD);
    node_push_action(n, BBM_ACT_READ_LISTING);
}

/* ---- receiving the listing ---- */

int
node_upstreams_receive_listing(bbm_node *n, const char *from, bbm_reader *rd)
{
    (void)from;
    uint64_t term = bbm_get_u64(rd);
    uint64_t previous = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    bbm_time age = bbm_get_i64(rd);
    bbm_listing fresh = {0};
    bool follows = term == n->listing_term && previous == n->listing_version;
    if (previous)
        bbm_listing_copy(&fresh, &n->listing);
    bbm_listing_patch(&fresh, rd);
    bool valid = bbm_reader_done(rd) && age >= 0;
    bool newer = term > n->listing_term
                 || (term == n->listing_term && version > n->listing_version);
    bool usable = n->gate && !node_leads(n) && newer && (!previous || follows);
    if (valid && usable) {
        n->listing_term = term;
        n->listing_version = version;
        n->listing_read_at = n->now - age;
        apply_listing(n, &fresh);
    }
    bbm_listing_free(&fresh);
    return valid ? BBM_OK : BBM_ERR_DECODE;
}

/* ---- loads and placements ---- */

/* Computes totals from the reports that this VM has received. */
static void
update_totals(bbm_node *n)
{
    bbm_buf totals = {0};
    bbm_loads_put_totals(n->loads, n->now, &totals);
    bbm_reader rd = bbm_reader_of(totals.data, totals.len);
    bbm_gate_get_totals(n->gate, &rd, n->now);
    bbm_buf_free(&totals);
}

static bool
apply_placements(bbm_node *n, const char *from, bbm_bytes placements)
{
    bbm_reader rd = bbm_reader_of(placements.data, placements.len);
    bool own = strcmp(from, n->desc.name) == 0;
    bbm_gate_get_placements(n->gate, &rd, own, n->now);
    return bbm_reader_done(&rd);
}

/* Leader of more than DIRECT_VMS_MAX VMs: adds a VM's placements to the next
   totals. */
static void
relay_placements(bbm_node *n, const char *from, bbm_bytes placements)
{
    bbm_put_str(&n->relayed_placements, from);
    bbm_put_bytes(&n->relayed_placements, placements.data, placements.len);
    n->relayed_placements_len++;
}

int
node_upstreams_receive_loads(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t term = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    if (!n->loads)
        n->loads = bbm_loads_create();
    bbm_loads_add_report(n->loads, from, rd, n->now);
    bbm_bytes placements = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd) || !n->gate)
        return BBM_ERR_DECODE;
    if (!apply_placements(n, from, placements))
        return BBM_ERR_DECODE;
    if (reports_directly(count_vms(n)))
        update_totals(n);
    else if (node_leads(n))
        relay_placements(n, from, placements);
    bool outdated = term != n->listing_term || version != n->listing_version;
    bool has_current = n->listing_term == n->leader_term && node_leads(n);
    if (outdated && has_current
        && n->now - n->listing_changed_at > CHANGE_DELIVERY_TIME)
        send_listing(n, from);
    return BBM_OK;
}

static void
put_stores(const bbm_node *n, bbm_buf *buf)
{
    bbm_put_u64(buf, n->stores_len);
    for (size_t i = 0; i < n->stores_len; i++) {
        bbm_put_str(buf, n->stores[i].address);
        bbm_put_u64(buf, n->stores[i].alive);
    }
}

int
node_upstreams_receive_totals(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t term = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    bbm_time age = bbm_get_i64(rd);
    bool usable = n->gate && strcmp(from, n->leader) == 0;
    size_t stores = bbm_get_u32(rd, NODE_STORES_MAX);
    for (size_t i = 0; i < stores && !rd->failed; i++) {
        char address[BBM_NAME_SIZE];
        bbm_get_name(rd, address);
        bool alive = bbm_get_u32(rd, 1) != 0;
        if (usable && !rd->failed)
            bbm_gate_set_store_alive(n->gate, address, alive);
    }
    if (!usable || rd->failed)
        return rd->failed ? BBM_ERR_DECODE : BBM_OK;
    bool same_version =
        term == n->listing_term && version == n->listing_version;
    if (same_version && n->now - age > n->listing_read_at)
        n->listing_read_at = n->now - age;
    bbm_bytes totals = bbm_get_bytes(rd);
    size_t groups = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    for (size_t i = 0; i < groups && !rd->failed; i++) {
        char vm[BBM_NAME_SIZE];
        bbm_get_name(rd, vm);
        bbm_bytes placements = bbm_get_bytes(rd);
        if (!rd->failed && !apply_placements(n, vm, placements))
            return BBM_ERR_DECODE;
    }
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (!totals.len)
        return BBM_OK;
    bbm_reader in = bbm_reader_of(totals.data, totals.len);
    bbm_gate_get_totals(n->gate, &in, n->now);
    return bbm_reader_done(&in) ? BBM_OK : BBM_ERR_DECODE;
}

/* If the VMs send their load directly, the message has no totals, only the
   listing's age and the stores. */
static void
send_totals(bbm_node *n, bool direct)
{
    bbm_buf totals = {0};
    if (!direct)
        bbm_loads_put_totals(n->loads, n->now, &totals);
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!is_reachable(n, m))
            continue;
        bbm_buf *buf = node_send(n, m->name, NODE_TOTALS);
        bbm_put_u64(buf, n->listing_term);
        bbm_put_u64(buf, n->listing_version);
        bbm_put_i64(buf, listing_age(n));
        put_stores(n, buf);
        bbm_put_bytes(buf, totals.data, totals.len);
        bbm_put_u64(buf, n->relayed_placements_len);
        bbm_buf_add(buf, n->relayed_placements.data,
                    n->relayed_placements.len);
    }
    bbm_buf_free(&totals);
    n->relayed_placements.len = 0;
    n->relayed_placements_len = 0;
}

static void
send_load(bbm_node *n, const char *to, const bbm_buf *load,
          const bbm_buf *placements)
{
    bbm_buf *buf = node_send(n, to, NODE_LOADS);
    bbm_put_u64(buf, n->listing_term);
    bbm_put_u64(buf, n->listing_version);
    bbm_buf_add(buf, load->data, load->len);
    bbm_put_bytes(buf, placements->data, placements->len);
}

/* Sends this VM's load and new placements to all VMs or to the leader.
   Placements that can't be sent now are dropped. */
static void
report_load(bbm_node *n, bool direct)
{
    bbm_buf load = {0};
    bbm_buf placements = {0};
    bbm_gate_put_load(n->gate, n->now, &load);
    bbm_gate_put_placements(n->gate, &placements);
    if (!n->loads)
        n->loads = bbm_loads_create();
    bbm_reader rd = bbm_reader_of(load.data, load.len);
    bbm_loads_add_report(n->loads, n->desc.name, &rd, n->now);
    bool leads = node_leads(n);
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        bool is_receiver = direct || strcmp(m->name, n->leader) == 0;
        if (is_receiver && is_reachable(n, m))
            send_load(n, m->name, &load, &placements);
    }
    if (direct || leads)
        update_totals(n);
    if (!direct && leads)
        relay_placements(n, n->desc.name, bbm_buf_view(&placements));
    bbm_buf_free(&load);
    bbm_buf_free(&placements);
}

void
node_upstreams_tick(bbm_node *n)
{
    if (!n->config_revision)
        return;
    check_listing(n);
    size_t vms = count_vms(n);
    bool direct = reports_directly(vms);
    bool due = n->now >= n->next_load_report_at;
    if (!due && !(direct && bbm_gate_load_changed(n->gate)))
        return;
    bbm_gate_set_vm_count(n->gate, vms, !direct);
    report_load(n, direct);
    if (!due)
        return;
    n->next_load_report_at = n->now + load_period(n, vms);
    if (node_leads(n))
        send_totals(n, direct);
}

void
node_upstreams_destroy(bbm_node *n)
{
    bbm_listing_free(&n->raw_listing);
    bbm_listing_free(&n->listing);
    bbm_loads_destroy(n->loads);
    bbm_buf_free(&n->relayed_placements);
}
