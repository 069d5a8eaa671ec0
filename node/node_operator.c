/** @file
 *  Operators' calls: reports about this daemon and the replicated state, and
 *  changes of the state; also the entry addresses for clients.
 */
#include "node_core.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A call whose outcome is not known after this time is answered with an error,
   though its change may still be applied. */
#define OPERATOR_TIMEOUT (8 * BBM_SECOND)

/* ---- replies ---- */

void
node_reply(bbm_node *n, uint64_t op, int code, char *json)
{
    bbm_action *a = node_push_action(n, BBM_ACT_REPLY);
    a->u.reply.op = op;
    a->u.reply.code = code;
    if (json)
        bbm_buf_add(&a->u.reply.body, json, strlen(json));
    free(json);
}

static void
reply_json(bbm_node *n, uint64_t op, int code, json_t *doc)
{
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    node_reply(n, op, code, text);
}

void
node_reply_code(bbm_node *n, uint64_t op, int code, const bbm_outcome *out)
{
    json_t *doc = json_pack("{s:i, s:s, s:s, s:s}", "code", code, "name",
                            bbm_code_name(code), "text", bbm_code_text(code),
                            "leader", n->leader);
    if (out && out->number)
        json_object_set_new(doc, "number",
                            json_integer((json_int_t)out->number));
    if (out && out->body.len)
        json_object_set_new(
            doc, "detail",
            json_stringn((const char *)out->body.data, out->body.len));
    reply_json(n, op, code, doc);
}

/* ---- reports ---- */

static const char *
role_text(const bbm_node *n)
{
    if (n->state_unreadable)
        return "state-unreadable";
    if (!n->raft)
        return "none";
    if (!n->in_group)
        return "candidate-disk";
    if (node_leads(n))
        return "leader";
    const bbm_raft_member *m = bbm_raft_member_of(n->raft, n->desc.disk_id);
    return m->voter ? "voter" : "learner";
}

static json_t *
voters_json(const bbm_node *n)
{
    json_t *list = json_array();
    if (!n->raft)
        return list;
    const bbm_raft_group *g = bbm_raft_group_of(n->raft);
    for (size_t i = 0; i < g->len; i++) {
        char id[BBM_NAME_SIZE];
        snprintf(id, sizeof(id), "%016llx",
                 (unsigned long long)g->members[i].id);
        json_array_append_new(list, json_pack("{s:s, s:s, s:b}", "name",
                                              g->members[i].name, "disk", id,
                                              "voter", g->members[i].voter));
    }
    return list;
}

static json_t *
counts_json(const bbm_node *n)
{
    bbm_node_counts c = bbm_node_count(n, n->now);
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "requests",
        (json_int_t)c.requests, "finished", (json_int_t)c.finished, "failed",
        (json_int_t)c.failed, "cut", (json_int_t)c.aborted, "retries",
        (json_int_t)c.retries, "refused_rate", (json_int_t)c.refused_rate,
        "refused_load", (json_int_t)c.refused_load, "refused_key",
        (json_int_t)c.refused_key, "open", (json_int_t)c.open, "queued",
        (json_int_t)c.queued);
}

static void
reply_status(bbm_node *n, uint64_t op)
{
    bool draining =
        bbm_registry_is_draining(bbm_state_registry(n->state), n->desc.name);
    json_t *doc = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:I, s:b, s:b, s:b, s:I, s:o, s:o}", "node",
        n->desc.name, "zone", n->desc.zone, "role", role_text(n), "leader",
        n->leader, "term", (json_int_t)n->leader_term, "revision",
        (json_int_t)n->config_revision, "ready", n->ready_reported, "draining",
        draining || n->stopping, "keys_fresh", !n->keys_stale, "keys_age_ms",
        (json_int_t)(node_relay_age(n) / BBM_MS), "control", voters_json(n),
        "counts", counts_json(n));
    reply_json(n, op, BBM_OK, doc);
}

static void
reply_members(bbm_node *n, uint64_t op)
{
    json_t *list = json_array();
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:I}", "name",
                            m->name, "zone", m->zone, "status",
                            bbm_member_status_text(m->status), "entry",
                            m->entry_url, "ready", m->ready, "leaving",
                            m->leaving, "load", (json_int_t)m->open_requests,
                            "revision", (json_int_t)m->revision));
    }
    reply_json(n, op, BBM_OK, json_pack("{s:o}", "members", list));
}

static void
reply_runners(bbm_node *n, uint64_t op)
{
    json_t *list = json_array();
    bbm_runner_view v;
    for (size_t i = 0; bbm_fleet_at(n->fleet, i, n->now, &v); i++) {
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:i, s:i, s:i, s:I, s:b, s:b, s:b}", "name",
                      v.name, "weights", v.weights, "running", (int)v.running,
                      "queued", (int)v.queued, "own", (int)v.local_requests,
                      "blocks", (json_int_t)v.blocks, "heard", v.is_reporting,
                      "ejected", v.ejected, "leaving", v.leaving));
    }
    reply_json(n, op, BBM_OK, json_pack("{s:o}", "runners", list));
}

static void
reply_burn(bbm_node *n, uint64_t op)
{
    json_t *list = json_array();
    bbm_burn_row row;
    for (size_t i = 0; bbm_burn_at(n->burn, i, n->now, &row); i++) {
        json_t *total = json_array();
        json_t *bad = json_array();
        json_t *rate = json_array();
        for (int w = 0; w < BBM_BURN_WINDOW_COUNT; w++) {
            json_array_append_new(total,
                                  json_integer((json_int_t)row.total[w]));
            json_array_append_new(bad, json_integer((json_int_t)row.bad[w]));
            json_array_append_new(rate, json_real(row.rate[w]));
        }
        json_array_append_new(
            list,
            json_pack("{s:s, s:f, s:o, s:o, s:o, s:s}", "objective", row.name,
                      "target", row.target, "total", total, "bad", bad, "rate",
                      rate, "level", bbm_burn_level_text(row.level)));
    }
    reply_json(n, op, BBM_OK, json_pack("{s:o}", "objectives", list));
}

static bool
find_revision(const bbm_node *n, uint64_t number, bbm_revision *rev)
{
    const bbm_registry *reg = bbm_state_registry(n->state);
    for (size_t i = 0; bbm_registry_history(reg, i, rev); i++) {
        if (rev->number == number)
            return true;
    }
    return false;
}

static void
reply_revision(bbm_node *n, uint64_t op, uint64_t number)
{
    bbm_revision rev;
    uint64_t wanted = number ? number : n->config_revision;
    if (!find_revision(n, wanted, &rev) || !rev.text) {
        node_reply_code(n, op, BBM_ERR_NOT_FOUND, NULL);
        return;
    }
    reply_json(n, op, BBM_OK,
               json_pack("{s:I, s:s, s:s, s:I, s:s%}", "revision",
                         (json_int_t)rev.number, "id", rev.id, "author",
                         rev.author, "at_ms", (json_int_t)rev.at_ms, "text",
                         rev.text, rev.len));
}

static void
reply_history(bbm_node *n, uint64_t op)
{
    json_t *list = json_array();
    bbm_revision rev;
    const bbm_registry *reg = bbm_state_registry(n->state);
    for (size_t i = 0; bbm_registry_history(reg, i, &rev); i++) {
        json_array_append_new(
            list,
            json_pack("{s:I, s:s, s:s, s:I, s:I, s:b}", "revision",
                      (json_int_t)rev.number, "id", rev.id, "author",
                      rev.author, "at_ms", (json_int_t)rev.at_ms, "bytes",
                      (json_int_t)rev.len, "kept", rev.text != NULL));
    }
    reply_json(n, op, BBM_OK, json_pack("{s:o}", "history", list));
}

static void
reply_keys(bbm_node *n, uint64_t op)
{
    json_t *list = json_array();
    bbm_key_info key;
    const bbm_registry *reg = bbm_state_registry(n->state);
    for (size_t i = 0; bbm_registry_key_at(reg, i, &key); i++) {
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:b}", "name", key.name, "customer",
                            key.customer, "withdrawn", key.withdrawn));
    }
    reply_json(n, op, BBM_OK, json_pack("{s:o}", "keys", list));
}

static void
reply_orders(bbm_node *n, uint64_t op)
{
    static const char *const states[] = {"waiting", "sent", "done", "failed"};
    json_t *list = json_array();
    bbm_order o;
    const bbm_orders *all = bbm_state_orders(n->state);
    for (size_t i = 0; bbm_orders_at(all, i, &o); i++) {
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:I, s:s, s:s}", "id", o.id,
                            "engine", o.engine, "weights", o.weights, "fence",
                            (json_int_t)o.fence, "state", states[o.state],
                            "code", bbm_code_name(o.code)));
    }
    reply_json(n, op, BBM_OK,
               json_pack("{s:o, s:b}", "orders", list, "paused",
                         bbm_orders_paused(all)));
}

/* ---- changes ---- */

static void
propose_change(bbm_node *n, uint64_t op, const bbm_command *cmd)
{
    node_propose_change(n, cmd, op, n->now + OPERATOR_TIMEOUT);
}

static void
propose_publish(bbm_node *n, const bbm_operator_event *call)
{
    bbm_command cmd = {.kind = BBM_CMD_PUBLISH};
    bbm_name_set(cmd.u.publish.id, call->id);
    bbm_name_set(cmd.u.publish.author, call->author);
    cmd.u.publish.expected = call->revision;
    cmd.u.publish.version = call->version;
    cmd.u.publish.text = call->text;
    cmd.u.publish.source = call->source;
    propose_change(n, call->op, &cmd);
}

static void
propose_key_add(bbm_node *n, const bbm_operator_event *call)
{
    bbm_command cmd = {.kind = BBM_CMD_KEY_ADD};
    bbm_name_set(cmd.u.key.name, call->name);
    bbm_name_set(cmd.u.key.customer, call->other_name);
    cmd.u.key.digest = call->digest;
    propose_change(n, call->op, &cmd);
}

static void
propose_key_withdrawal(bbm_node *n, const bbm_operator_event *call)
{
    bbm_command cmd = {.kind = BBM_CMD_KEY_WITHDRAW};
    bbm_name_set(cmd.u.key.name, call->name);
    propose_change(n, call->op, &cmd);
}

static void
propose_drain(bbm_node *n, const bbm_operator_event *call)
{
    bbm_command cmd = {.kind = BBM_CMD_DRAIN};
    bbm_name_set(cmd.u.drain.node, call->name);
    cmd.u.drain.draining = call->on;
    propose_change(n, call->op, &cmd);
}

static void
propose_order(bbm_node *n, const bbm_operator_event *call)
{
    const bbm_config *cfg = node_config(n);
    bbm_weights *w = NULL;
    if (cfg)
        HASH_FIND_STR(cfg->weights, call->other_name, w);
    if (!w || !bbm_config_engine(cfg, call->name)) {
        node_reply_code(n, call->op, BBM_ERR_NOT_FOUND, NULL);
        return;
    }
    bbm_command cmd = {.kind = BBM_CMD_ORDER};
    bbm_name_set(cmd.u.order.id, call->id);
    bbm_name_set(cmd.u.order.engine, call->name);
    bbm_name_set(cmd.u.order.weights, call->other_name);
    propose_change(n, call->op, &cmd);
}

static void
propose_weights(bbm_node *n, const bbm_operator_event *call)
{
    bbm_command cmd = {.kind = BBM_CMD_WEIGHTS};
    bbm_name_set(cmd.u.weights.model, call->name);
    cmd.u.weights.version = call->revision;
    propose_change(n, call->op, &cmd);
}

static void
propose_pause(bbm_node *n, const bbm_operator_event *call)
{
    bbm_command cmd = {.kind = BBM_CMD_ORDER_PAUSE};
    cmd.u.order_pause.paused = call->on;
    propose_change(n, call->op, &cmd);
}

void
node_operator_call(bbm_node *n, const bbm_operator_event *call)
{
    switch (call->verb) {
    case BBM_VERB_STATUS:
        reply_status(n, call->op);
        return;
    case BBM_VERB_MEMBERS:
        reply_members(n, call->op);
        return;
    case BBM_VERB_RUNNERS:
        reply_runners(n, call->op);
        return;
    case BBM_VERB_BURN:
        reply_burn(n, call->op);
        return;
    case BBM_VERB_SHOW:
        reply_revision(n, call->op, call->revision);
        return;
    case BBM_VERB_HISTORY:
        reply_history(n, call->op);
        return;
    case BBM_VERB_PUBLISH:
        propose_publish(n, call);
        return;
    case BBM_VERB_KEYS:
        reply_keys(n, call->op);
        return;
    case BBM_VERB_KEY_ADD:
        propose_key_add(n, call);
        return;
    case BBM_VERB_KEY_WITHDRAW:
        propose_key_withdrawal(n, call);
        return;
    case BBM_VERB_DRAIN:
        propose_drain(n, call);
        return;
    case BBM_VERB_ORDERS:
        reply_orders(n, call->op);
        return;
    case BBM_VERB_ORDER:
        propose_order(n, call);
        return;
    case BBM_VERB_PAUSE:
        propose_pause(n, call);
        return;
    case BBM_VERB_REPLACE:
        node_replace_member(n, call);
        return;
    case BBM_VERB_SOURCE:
        node_read_begin(n, call->op, NULL);
        return;
    case BBM_VERB_WEIGHTS:
        propose_weights(n, call);
        return;
    case BBM_VERB_RELEASE:
        node_release_order(n, call);
        return;
    case BBM_VERB_RELEASE_GET:
        node_read_begin(n, call->op, call->name);
        return;
    }
}

/* ---- entry addresses ---- */

/* Clients may cache the reply for half of the time (entry_ttl) for which a
   stopping VM goes on serving.  During the other half its leaving mark reaches
   all VMs, which may still list it until then. */
void
node_operator_entries(bbm_node *n, uint64_t op, uint64_t caller,
                      const char *zone, size_t max)
{
    const bbm_member *list[BBM_ENTRIES_MAX];
    const char *client_zone = zone[0] ? zone : n->desc.zone;
    if (!max)
        max = BBM_ENTRIES_DEFAULT;
    size_t len = bbm_entries_pick(n->members, client_zone, caller, max, list);
    json_t *entries = json_array();
    for (size_t i = 0; i < len; i++) {
        json_array_append_new(entries,
                              json_pack("{s:s, s:s, s:s}", "name",
                                        list[i]->name, "zone", list[i]->zone,
                                        "url", list[i]->entry_url));
    }
    json_int_t keep_ms = (json_int_t)(n->desc.entry_ttl / 2 / BBM_MS);
    int code = len ? BBM_OK : BBM_ERR_NOT_READY;
    reply_json(
        n, op, code,
        json_pack("{s:o, s:I}", "entries", entries, "keep_ms", keep_ms));
}
