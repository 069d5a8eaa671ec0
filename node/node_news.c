/** @file
 *  How VMs hear of each other's load and news, and of the listing.
 *
 *  Up to 16 VMs send their reports to each other, and fewer than 100 to the
 *  leader, which sends totals to all.  With more, that would fill the leader's
 *  link: the VMs of each availability zone form a tree.  Reports are added up
 *  on the way to the leader; it sends the totals down, and each VM forwards
 *  them.  So the leader exchanges messages with one VM per zone and with its
 *  children in its own zone, and between zones each message passes once.  The
 *  listing takes the same way down.
 *
 *  Between these sizes the leader's totals take up most of what VMs send. With
 *  the setting zone_relay it sends them once into each other zone, to a VM
 * that forwards them (see bbm_relays.h).  Reports go to the leader directly,
 * and state the latest totals.
 *
 *  The root of a zone's tree is its first alive VM by name, or the leader if
 *  that is in the zone.  VMs may see different members for a moment: one that
 *  gets no totals asks the leader for them.  The leader answers only some of
 *  these requests, so that its link doesn't fill when many VMs ask.
 *
 *  News are placements and crashes of runners (see bbm_gate_put_news).  A
 *  placement says that a part of a prompt was sent to an upstream, which is
 *  then expected to cache it.
 */
#include "node_report.h"

#include <stdlib.h>
#include <string.h>

/* Up to this number, VMs send load and news to each other. */
#define DIRECT_VMS_MAX 16
/* From this number on, they report through the trees; fewer report to the
   leader, whose link still carries that, as each level of a tree delays news
   by half a period. */
#define TREE_VMS_MIN 100
/* Report period of more VMs: this multiple of their number, within the limits.
   A longer one makes news old, a shorter one costs more messages. */
#define LOAD_PERIOD_PER_VM (1 * BBM_MS)
#define LOAD_PERIOD_MIN (40 * BBM_MS)
#define LOAD_PERIOD_MAX (100 * BBM_MS)
/* Children of a VM in the tree of its zone. */
#define NEWS_FANOUT 8
/* A VM that has got no totals for this time asks the leader for them, at most
   once in this time. */
#define TOTALS_TIMEOUT (500 * BBM_MS)
/* Maximum number of such requests that the leader answers per report
   period. */
#define DIRECT_ANSWERS_MAX 32
/* Time after which news has reached all VMs through the trees, three levels of
   them on busy machines. */
#define TREE_DELAY (150 * BBM_MS)
/* Report periods that a report waits in the trees, three levels and the
   leader's: half a period in each on average, and a margin. */
#define TREE_PERIODS 3
/* The latest change of the listing may take this time to reach a VM.  A VM
   that reports an older version later than that is sent the complete
   listing. */
#define CHANGE_DELIVERY_TIME (120 * BBM_MS)

/* ---- the tree ---- */

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
        vms += node_member_alive(m);
    return vms;
}

static bool
reports_directly(size_t vms)
{
    return vms <= DIRECT_VMS_MAX;
}

static bool
uses_trees(size_t vms)
{
    return vms >= TREE_VMS_MIN;
}

static bbm_time
load_period(const bbm_node *n, size_t vms)
{
    if (reports_directly(vms))
        return n->desc.load_period;
    bbm_time period = (bbm_time)vms * LOAD_PERIOD_PER_VM;
    if (period < LOAD_PERIOD_MIN)
        return LOAD_PERIOD_MIN;
    return period < LOAD_PERIOD_MAX ? period : LOAD_PERIOD_MAX;
}

/* Time from a report until its part of the totals arrives: it waits for the
   leader's period, in trees also for those of the VMs on the way up.  Up to
   DIRECT_VMS_MAX VMs add the reports up themselves. */
static bbm_time
totals_age(const bbm_node *n, size_t vms)
{
    if (reports_directly(vms))
        return 0;
    return load_period(n, vms) * (uses_trees(vms) ? TREE_PERIODS : 1);
}

/* By zone, and within a zone in the order of its tree. */
static int
compare_members(const void *a, const void *b, void *context)
{
    const bbm_member *const *x = a;
    const bbm_member *const *y = b;
    int by_zone = strcmp((*x)->zone, (*y)->zone);
    if (by_zone || strcmp((*x)->name, (*y)->name) == 0)
        return by_zone;
    return node_precedes(context, (*x)->name, (*y)->name) ? -1 : 1;
}

/* The alive VMs of a zone, or of all (NULL), sorted; to be freed. */
static const bbm_member **
zone_members(const bbm_node *n, const char *zone, size_t *len)
{
    size_t count = 0;
    const bbm_member *m;
    while (bbm_members_at(n->members, count) != NULL)
        count++;
    const bbm_member **list = bbm_calloc(count + 1, sizeof(const void *));
    *len = 0;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (node_member_alive(m) && (!zone || strcmp(m->zone, zone) == 0))
            list[(*len)++] = m;
    }
    qsort_r(list, *len, sizeof(const void *), compare_members,
            (void *)(uintptr_t)n);
    return list;
}

/* The VM that gets this VM's reports: its parent in the tree, or the leader if
   this VM is the root of its zone's tree. */
static const char *
report_receiver(const bbm_node *n)
{
    if (!uses_trees(count_vms(n)))
        return n->leader;
    size_t len;
    BBM_AUTO_FREE const bbm_member **zone =
        zone_members(n, n->desc.zone, &len);
    for (size_t rank = 1; rank < len; rank++) {
        if (strcmp(zone[rank]->name, n->desc.name) == 0)
            return zone[(rank - 1) / NEWS_FANOUT]->name;
    }
    return n->leader;
}

/* Calls fn for the children of this VM in the tree of its zone. */
static void
to_zone_children(bbm_node *n, node_news_fn *fn, void *context)
{
    size_t len;
    BBM_AUTO_FREE const bbm_member **zone =
        zone_members(n, n->desc.zone, &len);
    size_t own = 0;
    while (own < len && strcmp(zone[own]->name, n->desc.name) != 0)
        own++;
    size_t from = own * NEWS_FANOUT + 1;
    for (size_t i = from; i < from + NEWS_FANOUT && i < len; i++)
        fn(n, zone[i]->name, context);
}

/* Leader: calls fn for its children in its own zone, and for the roots of the
   other zones. */
static void
from_leader(bbm_node *n, node_news_fn *fn, void *context)
{
    size_t len;
    BBM_AUTO_FREE const bbm_member **all = zone_members(n, NULL, &len);
    to_zone_children(n, fn, context);
    for (size_t i = 0; i < len; i++) {
        bool is_root = i == 0 || strcmp(all[i]->zone, all[i - 1]->zone) != 0;
        if (is_root && strcmp(all[i]->zone, n->desc.zone) != 0)
            fn(n, all[i]->name, context);
    }
}

void
node_news_to_children(bbm_node *n, node_news_fn *fn, void *context)
{
    if (uses_trees(count_vms(n))) {
        if (node_leads(n))
            from_leader(n, fn, context);
        else
            to_zone_children(n, fn, context);
        return;
    }
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (node_leads(n) && is_reachable(n, m))
            fn(n, m->name, context);
    }
}

bbm_time
node_news_delay(const bbm_node *n)
{
    return uses_trees(count_vms(n)) ? TREE_DELAY : 0;
}

/* ---- receiving reports ---- */

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
apply_news(bbm_node *n, const char *from, bbm_bytes news)
{
    bbm_reader rd = bbm_reader_of(news.data, news.len);
    bool own = strcmp(from, n->desc.name) == 0;
    bbm_gate_get_news(n->gate, &rd, bbm_hash_text(from, 0), own, n->now);
    return bbm_reader_done(&rd);
}

/* Adds a VM's news to the next report or totals that this VM sends. */
static void
relay_news(bbm_node *n, const char *from, bbm_bytes news)
{
    bbm_put_str(&n->relayed_news, from);
    bbm_put_bytes(&n->relayed_news, news.data, news.len);
    n->relayed_news_len++;
}

static void
clear_relayed_news(bbm_node *n)
{
    n->relayed_news.len = 0;
    n->relayed_news_len = 0;
}

/* What a VM does with the news in a message. */
typedef enum news_use {
    NEWS_APPLY, /* they were made by other VMs */
    NEWS_RELAY, /* they go up the tree, and come back with the totals */
    NEWS_BOTH,  /* the leader's */
} news_use;

static int
use_news(bbm_node *n, const node_report *r, news_use use)
{
    bbm_reader rd = bbm_reader_of(r->groups.data, r->groups.len);
    for (size_t i = 0; i < r->groups_len; i++) {
        char vm[BBM_NAME_SIZE];
        bbm_get_name(&rd, vm);
        bbm_bytes news = bbm_get_bytes(&rd);
        if (rd.failed)
            return BBM_ERR_DECODE;
        if (use != NEWS_RELAY && !apply_news(n, vm, news))
            return BBM_ERR_DECODE;
        if (use != NEWS_APPLY)
            relay_news(n, vm, news);
    }
    return bbm_reader_done(&rd) ? BBM_OK : BBM_ERR_DECODE;
}

/* ---- totals ---- */

static void
put_stores(const bbm_node *n, bbm_buf *buf)
{
    bbm_put_u64(buf, n->stores_len);
    for (size_t i = 0; i < n->stores_len; i++) {
        bbm_put_str(buf, n->stores[i].address);
        bbm_put_u64(buf, n->stores[i].alive);
    }
}

/* Totals that are sent or forwarded; rows and news in the latest format. */
typedef struct totals_message {
    uint64_t leader_term;
    uint64_t number;
    uint64_t listing_term;
    uint64_t listing_version;
    bbm_time listing_age;
    bbm_bytes stores; /* as put_stores writes them */
    bbm_bytes rows;   /* empty: none */
    bbm_bytes groups;
    size_t groups_len;
    const char *const *names; /* VMs that the receiver forwards it to */
    size_t names_len;
    size_t fanout; /* messages that each of them may send of it */
} totals_message;

static void
put_names(bbm_buf *buf, const totals_message *m)
{
    bbm_put_u64(buf, m->fanout);
    bbm_put_u64(buf, m->names_len);
    for (size_t i = 0; i < m->names_len; i++)
        bbm_put_str(buf, m->names[i]);
}

static void
send_totals_to(bbm_node *n, const char *to, void *context)
{
    const totals_message *m = context;
    bbm_format format = node_news_format(n, to);
    bbm_buf *buf = node_send_in_format(n, to, NODE_TOTALS, format);
    bbm_put_u64(buf, m->leader_term);
    bbm_put_u64(buf, m->number);
    bbm_put_u64(buf, m->listing_term);
    bbm_put_u64(buf, m->listing_version);
    bbm_put_i64(buf, m->listing_age);
    if (format >= BBM_FORMAT_RELAYED)
        put_names(buf, m);
    bbm_buf_add(buf, m->stores.data, m->stores.len);
    bbm_buf rows = {0};
    if (m->rows.len)
        node_report_put_rows(&rows, m->rows, format);
    bbm_put_bytes(buf, rows.data, rows.len);
    bbm_buf_free(&rows);
    node_report_put_groups(buf, m->groups_len, m->groups, format);
}

/* Forwards totals to the VMs on their list.  A VM that can't read its part of
   the list forwards nothing, so that part is sent from here. */
static void
forward_totals(bbm_node *n, const totals_message *m)
{
    const char *share[BBM_RELAYS_VMS_MAX];
    size_t heads = bbm_relays_heads(m->names_len, m->fanout);
    for (size_t i = 0; i < heads; i++) {
        totals_message part = *m;
        part.names = share;
        part.names_len =
            bbm_relays_share(m->names, m->names_len, m->fanout, i, share);
        send_totals_to(n, m->names[i], &part);
        if (node_news_format(n, m->names[i]) >= BBM_FORMAT_RELAYED)
            continue;
        size_t len = part.names_len;
        part.names_len = 0;
        for (size_t k = 0; k < len; k++)
            send_totals_to(n, share[k], &part);
    }
}

/* Leader: the VMs that its totals are for.  Returns their number, which may be
   larger than BBM_RELAYS_VMS_MAX. */
static size_t
list_receivers(const bbm_node *n, bbm_relays_vm vms[BBM_RELAYS_VMS_MAX])
{
    size_t len = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!is_reachable(n, m))
            continue;
        node_disk *disk = NULL;
        HASH_FIND_STR(n->disks, m->name, disk);
        if (len < BBM_RELAYS_VMS_MAX)
            vms[len] = (bbm_relays_vm){
                .name = m->name,
                .zone = m->zone,
                .may_relay =
                    node_news_format(n, m->name) >= BBM_FORMAT_RELAYED,
                .has_disk = disk && disk->id,
            };
        len++;
    }
    return len;
}

static void
log_relay(bbm_node *n, const bbm_relays_plan *plan)
{
    if (!plan->changed)
        return;
    bbm_action *a = node_log_event(n, BBM_EVENT_ZONE_RELAY);
    node_log_text(a, "subject", plan->relay);
    node_log_text(a, "zone", plan->zone);
    node_log_number(a, "zones_with_relay", (int64_t)plan->relays);
    node_log_number(a, "late_vms", (int64_t)plan->late);
}

static bbm_relays *
own_relays(bbm_node *n)
{
    if (n->relays && n->relays_term != n->leader_term) {
        bbm_relays_destroy(n->relays);
        n->relays = NULL;
    }
    if (!n->relays)
        n->relays = bbm_relays_create();
    n->relays_term = n->leader_term;
    return n->relays;
}

/* Leader: sends totals once into each other zone.  False if they must go to
   each VM. */
static bool
send_by_relays(bbm_node *n, const totals_message *m)
{
    size_t count = count_vms(n);
    bbm_relays_vm vms[BBM_RELAYS_VMS_MAX];
    if (!n->desc.zone_relay || reports_directly(count) || uses_trees(count))
        return false;
    bbm_relays_query q = {
        .vms = vms,
        .vms_len = list_receivers(n, vms),
        .zone = n->desc.zone,
        .number = m->number,
        .period = load_period(n, count),
        .now = n->now,
    };
    if (q.vms_len > BBM_RELAYS_VMS_MAX)
        return false;
    const bbm_relays_plan *plan = bbm_relays_make_plan(own_relays(n), &q);
    for (size_t i = 0; i < plan->sends_len; i++) {
        const bbm_relays_send *s = &plan->sends[i];
        totals_message part = *m;
        part.names = s->names;
        part.names_len = s->names_len;
        part.fanout = s->fanout;
        send_totals_to(n, s->to, &part);
    }
    log_relay(n, plan);
    return true;
}

/* Leader: sends its last totals to a VM, or to all that get them from it
   (NULL). */
static void
send_own_totals(bbm_node *n, const char *to, bool with_news)
{
    bbm_buf stores = {0};
    put_stores(n, &stores);
    totals_message m = {
        .leader_term = n->leader_term,
        .number = n->totals_number,
        .listing_term = n->listing_term,
        .listing_version = n->listing_version,
        .listing_age = node_upstreams_listing_age(n),
        .stores = bbm_buf_view(&stores),
        .rows = bbm_buf_view(&n->sent_totals),
        .groups = with_news ? bbm_buf_view(&n->relayed_news) : (bbm_bytes){0},
        .groups_len = with_news ? n->relayed_news_len : 0,
    };
    if (to)
        send_totals_to(n, to, &m);
    else if (!send_by_relays(n, &m))
        node_news_to_children(n, send_totals_to, &m);
    bbm_buf_free(&stores);
}

/* Leader: sends the last totals to a VM that asks for them. */
static void
answer_request(bbm_node *n, const char *vm)
{
    if (n->totals_requests++ < DIRECT_ANSWERS_MAX)
        send_own_totals(n, vm, false);
}

/* Sends the complete listing to a VM that reports an older version. */
static void
update_listing_of(bbm_node *n, const char *vm, uint64_t term, uint64_t version)
{
    bool outdated = term != n->listing_term || version != n->listing_version;
    bool has_current = n->listing_term && n->listing_term == n->leader_term;
    if (outdated && has_current
        && n->now - n->listing_changed_at > CHANGE_DELIVERY_TIME)
        node_upstreams_send_listing(n, vm);
}

/* Which totals a VM has received. */
static void
hear_totals(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t term = bbm_get_u64(rd);
    uint64_t number = bbm_get_u64(rd);
    if (!rd->failed && n->desc.zone_relay && node_leads(n))
        bbm_relays_hear(own_relays(n), from,
                        term == n->leader_term ? number : 0, n->now);
}

int
node_news_receive_loads(bbm_node *n, const char *from, bbm_reader *rd)
{
    uint64_t term = bbm_get_u64(rd);
    uint64_t version = bbm_get_u64(rd);
    bool asks = bbm_get_u32(rd, 1) != 0;
    if (n->received_format >= BBM_FORMAT_RELAYED)
        hear_totals(n, from, rd);
    if (asks && n->gate && node_leads(n)) {
        answer_request(n, from);
        update_listing_of(n, from, term, version);
    }
    if (asks)
        return rd->failed ? BBM_ERR_DECODE : BBM_OK;
    NODE_AUTO_REPORT r = {0};
    if (rd->failed || !node_report_read(n, from, rd, false, &r) || !n->gate)
        return BBM_ERR_DECODE;
    if (!n->loads)
        n->loads = bbm_loads_create();
    bbm_reader rows = bbm_reader_of(r.rows.data, r.rows.len);
    bbm_loads_add_report(n->loads, from, &rows, n->now);
    bool all_to_all = reports_directly(count_vms(n));
    bool leads = node_leads(n);
    news_use use = all_to_all ? NEWS_APPLY : leads ? NEWS_BOTH : NEWS_RELAY;
    int rc = use_news(n, &r, use);
    if (rc < 0)
        return rc;
    if (all_to_all)
        update_totals(n);
    if (leads || !all_to_all)
        update_listing_of(n, from, term, version);
    return BBM_OK;
}

/* ---- receiving totals ---- */

static int
receive_stores(bbm_node *n, bbm_reader *rd)
{
    size_t stores = bbm_get_u32(rd, NODE_STORES_MAX);
    for (size_t i = 0; i < stores && !rd->failed; i++) {
        char address[BBM_NAME_SIZE];
        bbm_get_name(rd, address);
        bool alive = bbm_get_u32(rd, 1) != 0;
        if (!rd->failed)
            bbm_gate_set_store_alive(n->gate, address, alive);
    }
    return rd->failed ? BBM_ERR_DECODE : BBM_OK;
}

/* Names in a message of totals. */
typedef struct totals_names {
    char texts[BBM_RELAYS_VMS_MAX][BBM_NAME_SIZE];
    const char *names[BBM_RELAYS_VMS_MAX];
} totals_names;

static void
get_names(bbm_reader *rd, totals_names *list, totals_message *m)
{
    m->fanout = bbm_get_u32(rd, BBM_RELAYS_VMS_MAX);
    m->names_len = bbm_get_u32(rd, BBM_RELAYS_VMS_MAX);
    m->names = list->names;
    for (size_t i = 0; i < m->names_len && !rd->failed; i++) {
        bbm_get_name(rd, list->texts[i]);
        list->names[i] = list->texts[i];
    }
}

/* The same totals may come by several ways, and older ones after newer. */
static bool
are_newer_totals(const bbm_node *n, uint64_t leader_term, uint64_t number)
{
    if (node_leads(n) || leader_term < n->leader_term)
        return false;
    return leader_term > n->totals_term
           || (leader_term == n->totals_term && number > n->totals_number);
}

int
node_news_receive_totals(bbm_node *n, const char *from, bbm_reader *rd)
{
    totals_message m = {.leader_term = bbm_get_u64(rd)};
    m.number = bbm_get_u64(rd);
    m.listing_term = bbm_get_u64(rd);
    m.listing_version = bbm_get_u64(rd);
    m.listing_age = bbm_get_i64(rd);
    totals_names list = {0};
    if (n->received_format >= BBM_FORMAT_RELAYED)
        get_names(rd, &list, &m);
    if (rd->failed)
        return BBM_ERR_DECODE;
    if (!n->gate || !are_newer_totals(n, m.leader_term, m.number))
        return BBM_OK;
    size_t stores_at = rd->pos;
    if (receive_stores(n, rd) < 0)
        return BBM_ERR_DECODE;
    m.stores =
        (bbm_bytes){.data = rd->data + stores_at, .len = rd->pos - stores_at};
    bool same_version = m.listing_term == n->listing_term
                        && m.listing_version == n->listing_version;
    if (same_version && n->now - m.listing_age > n->listing_read_at)
        n->listing_read_at = n->now - m.listing_age;
    NODE_AUTO_REPORT r = {0};
    if (!node_report_read(n, from, rd, true, &r)
        || use_news(n, &r, NEWS_APPLY) < 0)
        return BBM_ERR_DECODE;
    m.rows = r.rows;
    m.groups = r.groups;
    m.groups_len = r.groups_len;
    n->totals_term = m.leader_term;
    n->totals_number = m.number;
    n->totals_at = n->now;
    if (m.names_len)
        forward_totals(n, &m);
    else
        node_news_to_children(n, send_totals_to, &m);
    if (!m.rows.len)
        return BBM_OK;
    bbm_reader in = bbm_reader_of(r.rows.data, r.rows.len);
    bbm_gate_get_totals(n->gate, &in, n->now);
    return bbm_reader_done(&in) ? BBM_OK : BBM_ERR_DECODE;
}

/* ---- sending ---- */

/* Leader.  If the VMs send their load directly, the message has no totals,
   only the listing's age and the stores. */
static void
send_totals(bbm_node *n, bool all_to_all)
{
    n->sent_totals.len = 0;
    if (!all_to_all)
        bbm_loads_put_totals(n->loads, n->now, &n->sent_totals);
    n->totals_term = n->leader_term;
    n->totals_number++;
    n->totals_at = n->now;
    n->totals_requests = 0;
    send_own_totals(n, NULL, true);
    clear_relayed_news(n);
}

/* Begins a report, or a request for totals. */
static bbm_buf *
begin_loads(bbm_node *n, const char *to, bool asks)
{
    bbm_format format = node_news_format(n, to);
    bbm_buf *buf = node_send_in_format(n, to, NODE_LOADS, format);
    bbm_put_u64(buf, n->listing_term);
    bbm_put_u64(buf, n->listing_version);
    bbm_put_u64(buf, asks);
    if (format >= BBM_FORMAT_RELAYED) {
        bbm_put_u64(buf, n->totals_term);
        bbm_put_u64(buf, n->totals_number);
    }
    return buf;
}

static void
ask_for_totals(bbm_node *n)
{
    const bbm_member *leader = bbm_members_find(n->members, n->leader);
    bool late = n->now - n->totals_at > TOTALS_TIMEOUT
                && n->now - n->totals_asked_at > TOTALS_TIMEOUT;
    if (!late || !leader || !is_reachable(n, leader))
        return;
    n->totals_asked_at = n->now;
    begin_loads(n, n->leader, true);
}

/* Sends a report, which ends with the news of this VM and, in a tree, of those
   below it. */
static void
send_load(bbm_node *n, const char *to, const bbm_buf *load)
{
    bbm_format format = node_news_format(n, to);
    bbm_buf *buf = begin_loads(n, to, false);
    node_report_put_rows(buf, bbm_buf_view(load), format);
    node_report_put_groups(buf, n->relayed_news_len,
                           bbm_buf_view(&n->relayed_news), format);
}

/* Up to DIRECT_VMS_MAX VMs: sends this VM's load and news to all. */
static void
report_to_all(bbm_node *n, const bbm_buf *load)
{
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (is_reachable(n, m))
            send_load(n, m->name, load);
    }
    clear_relayed_news(n);
    update_totals(n);
}

/* Sends the load of this VM and of those below it in the tree.  News that
   can't be sent now are dropped. */
static void
report_up(bbm_node *n)
{
    const bbm_member *m = bbm_members_find(n->members, report_receiver(n));
    if (m && is_reachable(n, m)) {
        bbm_buf sum = {0};
        bbm_loads_put_totals(n->loads, n->now, &sum);
        send_load(n, m->name, &sum);
        bbm_buf_free(&sum);
    }
    clear_relayed_news(n);
    ask_for_totals(n);
}

static void
report_load(bbm_node *n, bool all_to_all)
{
    bbm_buf load = {0};
    bbm_buf news = {0};
    bbm_gate_put_load(n->gate, n->now, &load);
    bbm_gate_put_news(n->gate, n->now, &news);
    if (!n->loads)
        n->loads = bbm_loads_create();
    bbm_reader rd = bbm_reader_of(load.data, load.len);
    bbm_loads_add_report(n->loads, n->desc.name, &rd, n->now);
    relay_news(n, n->desc.name, bbm_buf_view(&news));
    if (all_to_all)
        report_to_all(n, &load);
    else if (node_leads(n))
        update_totals(n);
    else
        report_up(n);
    bbm_buf_free(&load);
    bbm_buf_free(&news);
}

/* A VM that is lost keeps its turns for a while: the others don't learn of it
   at the same moment. */
#define TURN_MEMORY (10 * BBM_SECOND)

static void
update_turn_order(bbm_node *n)
{
    BBM_AUTO_FREE uint64_t *vms =
        bbm_calloc(bbm_members_count(n->members), sizeof(*vms));
    size_t len = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (node_member_alive(m)
            || (m->run && n->now - m->status_since < TURN_MEMORY))
            vms[len++] = bbm_hash_text(m->name, 0);
    }
    bbm_gate_set_vms(n->gate, vms, len, bbm_hash_text(n->desc.name, 0));
}

/* The VMs that may forward requests of this one.  Earlier builds would take
   them for those of their own clients. */
static void
update_peers(bbm_node *n)
{
    static const char scheme[] = "http://";
    size_t skip = sizeof(scheme) - 1;
    BBM_AUTO_FREE bbm_gate_peer *peers =
        bbm_calloc(bbm_members_count(n->members), sizeof(*peers));
    size_t len = 0;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (!node_member_alive(m) || !m->ready || m->leaving
            || node_known_format(n, m->name) < BBM_FORMAT_ORIGINS
            || strcmp(m->name, n->desc.name) == 0
            || strncmp(m->entry_url, scheme, skip) != 0)
            continue;
        bbm_gate_peer *p = &peers[len++];
        p->vm = bbm_hash_text(m->name, 0);
        p->same_zone = strcmp(m->zone, n->desc.zone) == 0;
        bbm_name_set(p->name, m->name);
        bbm_name_set(p->address, m->entry_url + skip);
    }
    bbm_gate_set_peers(n->gate, peers, len);
}

void
node_news_tick(bbm_node *n)
{
    size_t vms = count_vms(n);
    bool all_to_all = reports_directly(vms);
    bool due = n->now >= n->next_load_report_at;
    if (!due && !(all_to_all && bbm_gate_load_changed(n->gate)))
        return;
    bbm_gate_set_vm_count(n->gate, vms, !all_to_all);
    bbm_gate_set_totals_age(n->gate, totals_age(n, vms));
    update_turn_order(n);
    update_peers(n);
    report_load(n, all_to_all);
    if (!due)
        return;
    n->next_load_report_at = n->now + load_period(n, vms);
    if (node_leads(n))
        send_totals(n, all_to_all);
}
