#include "node_core.h"

#include <stdlib.h>
#include <string.h>

/* The list of upstreams, and the load on them, over all VMs.

   The leader reads the platform's list, adds what it knows of weights, and
   tells each change to all.  Each VM tells its load and which listing it has;
   one that lacks something gets the whole.  Without a leader that tells, a VM
   reads the list itself. */

/* A VM that has heard nothing for so long reads the list itself, later ones
   of the members later, so that they don't all ask at once. */
#define TOLD_MOST (2 * BBM_SECOND)
#define RANK_STEP (40 * BBM_MS)
#define OWN_PERIOD (1500 * BBM_MS)
/* An unreadable list is read again after this. */
#define LIST_AGAIN (400 * BBM_MS)
/* A change needs some time on its way before a VM that lacks it gets the
   whole. */
#define CHANGE_TIME (120 * BBM_MS)
/* Up to so many VMs tell each other what they send where; more of them tell
   the leader, which tells all.  Messages then grow with the VMs, and not with
   their square. */
#define DIRECT_MOST 16
/* The leader of many hears and tells so often for each of them. */
#define LOADS_APART (1 * BBM_MS)
#define LOADS_LEAST (40 * BBM_MS)
#define AGE_MOST (3600 * BBM_SECOND)

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
tells_directly(size_t vms)
{
    return vms <= DIRECT_MOST;
}

static bbm_time
load_period(const bbm_node *n, size_t vms)
{
    if (tells_directly(vms))
        return n->desc.load_period;
    bbm_time spread = (bbm_time)vms * LOADS_APART;
    return spread > LOADS_LEAST ? spread : LOADS_LEAST;
}

/* ---- taking a listing into force ---- */

static void
log_one(bbm_node *n, bbm_log_event event, const bbm_listing_entry *u)
{
    bbm_action *a = node_log_event(n, event);
    node_log_text(a, "upstream", u->id);
    node_log_text(a, "pool", u->pool);
    node_log_text(a, "address", u->address);
    node_log_text(a, "zone", u->zone);
    node_log_number(a, "list_version", (int64_t)n->listing_version);
}

static void
log_changes(bbm_node *n, const bbm_listing *before)
{
    for (size_t i = 0; i < n->listing.len; i++) {
        const bbm_listing_entry *u = &n->listing.items[i];
        const bbm_listing_entry *old = bbm_listing_find(before, u->id);
        if (!old || old->started_at_ms != u->started_at_ms)
            log_one(n, BBM_EVENT_UPSTREAM_NEW, u);
        if (u->leaving && (!old || !old->leaving))
            log_one(n, BBM_EVENT_UPSTREAM_LEAVING, u);
    }
    for (size_t i = 0; i < before->len; i++) {
        if (!bbm_listing_find(&n->listing, before->items[i].id))
            log_one(n, BBM_EVENT_UPSTREAM_UNLISTED, &before->items[i]);
    }
}

/* Takes the listing over; what stands in it is moved. */
static void
enforce(bbm_node *n, bbm_listing *listing)
{
    bbm_listing before = n->listing;
    n->listing = *listing;
    *listing = (bbm_listing){0};
    log_changes(n, &before);
    bbm_listing_free(&before);
    bbm_gate_set_listing(n->gate, &n->listing, n->now);
}

/* ---- telling ---- */

static bbm_time
age_of_list(const bbm_node *n)
{
    bbm_time age = n->listing_read_at ? n->now - n->listing_read_at : AGE_MOST;
    return age < AGE_MOST ? age : AGE_MOST;
}

static bbm_buf *
start_telling(bbm_node *n, const char *to, uint64_t previous)
{
    bbm_buf *buf = node_send(n, to, NODE_LISTING);
    bbm_put_u64(buf, n->listing_term);
    bbm_put_u64(buf, previous);
    bbm_put_u64(buf, n->listing_version);
    bbm_put_i64(buf, age_of_list(n));
    return buf;
}

static void
tell_whole(bbm_node *n, const char *to)
{
    bbm_listing_diff(NULL, &n->listing, start_telling(n, to, 0));
}

static void
tell_all(bbm_node *n)
{
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (is_reachable(n, m))
            tell_whole(n, m->name);
    }
}

static void
tell_change(bbm_node *n, uint64_t previous, const bbm_buf *diff)
{
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!is_reachable(n, m))
            continue;
        bbm_buf *buf = start_telling(n, m->name, previous);
        bbm_buf_add(buf, diff->data, diff->len);
    }
}

/* Leader: what was read, with what the rollout knows better. */
void
node_upstreams_update(bbm_node *n)
{
    bbm_listing fresh = {0};
    bbm_buf diff = {0};
    bbm_listing_copy(&fresh, &n->raw_listing);
    if (n->rollout)
        bbm_rollout_mark_listing(n->rollout, &fresh);
    bool new_term = n->listing_term != n->leader_term;
    size_t changes = bbm_listing_diff(&n->listing, &fresh, &diff);
    if (changes || new_term) {
        uint64_t previous = n->listing_version;
        n->listing_version = new_term ? 1 : previous + 1;
        n->listing_term = n->leader_term;
        n->listing_changed_at = n->now;
        enforce(n, &fresh);
        if (new_term)
            tell_all(n);
        else
            tell_change(n, previous, &diff);
    }
    bbm_listing_free(&fresh);
    bbm_buf_free(&diff);
}

/* ---- reading ---- */

static void
list_failed(bbm_node *n)
{
    n->next_listing_check_at = n->now + LIST_AGAIN;
    if (n->listing_unreadable)
        return;
    n->listing_unreadable = true;
    bbm_action *a = node_log_event(n, BBM_EVENT_LISTING_FAILED);
    node_log_number(a, "age_ms", age_of_list(n) / BBM_MS);
}

void
node_upstreams_read(bbm_node *n, const bbm_listing *listing)
{
    if (!listing) {
        list_failed(n);
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
    /* Our own look: until the leader tells again. */
    bbm_listing fresh = {0};
    bbm_listing_copy(&fresh, listing);
    for (size_t i = 0; i < fresh.len; i++) {
        const bbm_listing_entry *old =
            bbm_listing_find(&n->listing, fresh.items[i].id);
        for (size_t k = 0; old && k < old->models_len; k++) {
            const bbm_loaded_model *held = &old->models[k];
            if (held->version
                > bbm_listing_entry_version(&fresh.items[i], held->name))
                bbm_listing_entry_set_version(&fresh.items[i], held->name,
                                              held->version);
        }
    }
    n->listing_term = 0;
    n->listing_version = 0;
    enforce(n, &fresh);
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
look_at_list(bbm_node *n)
{
    bool leads = node_leads(n);
    bbm_time told = n->listing_read_at > n->started_at ? n->listing_read_at
                                                       : n->started_at;
    bbm_time patience =
        TOLD_MOST + (bbm_time)rank_among_members(n) * RANK_STEP;
    if (n->now < n->next_listing_check_at
        || (!leads && n->now - told < patience))
        return;
    n->next_listing_check_at =
        n->now + (leads ? n->desc.list_period : OWN_PERIOD);
    node_push_action(n, BBM_ACT_READ_LISTING);
}

/* ---- hearing ---- */

int
node_upstreams_receive_listing(bbm_node *n, const char *from, bbm_reader *rd)
{
    (void)from;
    uint64_t epoch = bbm_get_u64(rd);
    uint64_t previous = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    bbm_time age = bbm_get_i64(rd);
    bbm_listing fresh = {0};
    bool follows = epoch == n->listing_term && previous == n->listing_version;
    if (previous)
        bbm_listing_copy(&fresh, &n->listing);
    bbm_listing_patch(&fresh, rd);
    bool good = bbm_reader_done(rd) && age >= 0;
    bool newer = epoch > n->listing_term
                 || (epoch == n->listing_term && version > n->listing_version);
    bool usable = n->gate && !node_leads(n) && newer && (!previous || follows);
    if (good && usable) {
        n->listing_term = epoch;
        n->listing_version = version;
        n->listing_read_at = n->now - age;
        enforce(n, &fresh);
    }
    bbm_listing_free(&fresh);
    return good ? BBM_OK : BBM_ERR_DECODE;
}

/* ---- loads and placements ---- */

/* The sums of what all VMs told, as far as this one heard them. */
static void
add_up(bbm_node *n)
{
    bbm_buf sums = {0};
    bbm_loads_put_totals(n->loads, n->now, &sums);
    bbm_reader rd = bbm_reader_of(sums.data, sums.len);
    bbm_gate_get_totals(n->gate, &rd, n->now);
    bbm_buf_free(&sums);
}

static bool
take_placed(bbm_node *n, const char *from, bbm_bytes placed)
{
    bbm_reader rd = bbm_reader_of(placed.data, placed.len);
    bool own = strcmp(from, n->desc.name) == 0;
    bbm_gate_get_placements(n->gate, &rd, own, n->now);
    return bbm_reader_done(&rd);
}

/* The leader of many passes placements on with its next sums. */
static void
pass_on_placed(bbm_node *n, const char *from, bbm_bytes placed)
{
    bbm_put_str(&n->relayed_placements, from);
    bbm_put_bytes(&n->relayed_placements, placed.data, placed.len);
    n->relayed_placements_len++;
}

int
node_upstreams_receive_loads(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t epoch = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    if (!n->loads)
        n->loads = bbm_loads_create();
    bbm_loads_add_report(n->loads, from, rd, n->now);
    bbm_bytes placed = bbm_get_bytes(rd);
    if (!bbm_reader_done(rd) || !n->gate)
        return BBM_ERR_DECODE;
    if (!take_placed(n, from, placed))
        return BBM_ERR_DECODE;
    if (tells_directly(count_vms(n)))
        add_up(n);
    else if (node_leads(n))
        pass_on_placed(n, from, placed);
    bool lacks = epoch != n->listing_term || version != n->listing_version;
    bool known = n->listing_term == n->leader_term && node_leads(n);
    if (lacks && known && n->now - n->listing_changed_at > CHANGE_TIME)
        tell_whole(n, from);
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
    uint64_t epoch = bbm_get_u64(rd);
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
    bool same = epoch == n->listing_term && version == n->listing_version;
    if (same && n->now - age > n->listing_read_at)
        n->listing_read_at = n->now - age;
    bbm_bytes sums = bbm_get_bytes(rd);
    size_t groups = bbm_get_u32(rd, BBM_LOADS_ROWS_MAX);
    for (size_t i = 0; i < groups && !rd->failed; i++) {
        char vm[BBM_NAME_SIZE];
        bbm_get_name(rd, vm);
        bbm_bytes placed = bbm_get_bytes(rd);
        if (!rd->failed && !take_placed(n, vm, placed))
            return BBM_ERR_DECODE;
    }
    if (!bbm_reader_done(rd))
        return BBM_ERR_DECODE;
    if (!sums.len)
        return BBM_OK;
    bbm_reader in = bbm_reader_of(sums.data, sums.len);
    bbm_gate_get_totals(n->gate, &in, n->now);
    return bbm_reader_done(&in) ? BBM_OK : BBM_ERR_DECODE;
}

/* Where all tell each other, the leader has no sums to tell. */
static void
tell_totals(bbm_node *n, bool direct)
{
    bbm_buf sums = {0};
    if (!direct)
        bbm_loads_put_totals(n->loads, n->now, &sums);
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!is_reachable(n, m))
            continue;
        bbm_buf *buf = node_send(n, m->name, NODE_TOTALS);
        bbm_put_u64(buf, n->listing_term);
        bbm_put_u64(buf, n->listing_version);
        bbm_put_i64(buf, age_of_list(n));
        put_stores(n, buf);
        bbm_put_bytes(buf, sums.data, sums.len);
        bbm_put_u64(buf, n->relayed_placements_len);
        bbm_buf_add(buf, n->relayed_placements.data,
                    n->relayed_placements.len);
    }
    bbm_buf_free(&sums);
    n->relayed_placements.len = 0;
    n->relayed_placements_len = 0;
}

static void
send_load(bbm_node *n, const char *to, const bbm_buf *own,
          const bbm_buf *placed)
{
    bbm_buf *buf = node_send(n, to, NODE_LOADS);
    bbm_put_u64(buf, n->listing_term);
    bbm_put_u64(buf, n->listing_version);
    bbm_buf_add(buf, own->data, own->len);
    bbm_put_bytes(buf, placed->data, placed->len);
}

/* To all, or to the leader; what nobody can hear isn't kept for later. */
static void
tell_load(bbm_node *n, bool direct)
{
    bbm_buf own = {0};
    bbm_buf placed = {0};
    bbm_gate_put_load(n->gate, n->now, &own);
    bbm_gate_put_placements(n->gate, &placed);
    if (!n->loads)
        n->loads = bbm_loads_create();
    bbm_reader rd = bbm_reader_of(own.data, own.len);
    bbm_loads_add_report(n->loads, n->desc.name, &rd, n->now);
    bool leads = node_leads(n);
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        bool hears = direct || strcmp(m->name, n->leader) == 0;
        if (hears && is_reachable(n, m))
            send_load(n, m->name, &own, &placed);
    }
    if (direct || leads)
        add_up(n);
    if (!direct && leads)
        pass_on_placed(n, n->desc.name, bbm_buf_view(&placed));
    bbm_buf_free(&own);
    bbm_buf_free(&placed);
}

void
node_upstreams_tick(bbm_node *n)
{
    if (!n->config_revision)
        return;
    look_at_list(n);
    size_t vms = count_vms(n);
    bool direct = tells_directly(vms);
    bool due = n->now >= n->next_load_report_at;
    if (!due && !(direct && bbm_gate_load_changed(n->gate)))
        return;
    bbm_gate_set_vm_count(n->gate, vms, !direct);
    tell_load(n, direct);
    if (!due)
        return;
    n->next_load_report_at = n->now + load_period(n, vms);
    if (node_leads(n))
        tell_totals(n, direct);
}

void
node_upstreams_destroy(bbm_node *n)
{
    bbm_listing_free(&n->raw_listing);
    bbm_listing_free(&n->listing);
    bbm_loads_destroy(n->loads);
    bbm_buf_free(&n->relayed_placements);
}
