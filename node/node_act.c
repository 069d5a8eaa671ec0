/** @file
 *  The queue of actions: log lines and messages to other daemons.
 */
#include "node_core.h"

#include <stdlib.h>
#include <string.h>

bbm_action *
node_push_action(bbm_node *n, bbm_action_kind kind)
{
    node_queued_action *q = bbm_calloc(1, sizeof(*q));
    q->action.kind = kind;
    TAILQ_INSERT_TAIL(&n->actions, q, link);
    return &q->action;
}

void
node_free_action(node_queued_action *q)
{
    if (!q)
        return;
    bbm_action *a = &q->action;
    switch (a->kind) {
    case BBM_ACT_SEND:
        bbm_buf_free(&a->u.send.bytes);
        break;
    case BBM_ACT_PERSIST:
        bbm_raft_persist_free(&a->u.persist);
        break;
    case BBM_ACT_ANSWER:
        bbm_buf_free(&a->u.answer.body);
        break;
    case BBM_ACT_REPLY:
        bbm_buf_free(&a->u.reply.body);
        break;
    case BBM_ACT_START:
    case BBM_ACT_ABORT:
    case BBM_ACT_ORDER:
    case BBM_ACT_WATCH_RUNNER:
    case BBM_ACT_READY:
    case BBM_ACT_FORWARD:
    case BBM_ACT_RESUBMIT:
    case BBM_ACT_READ_LISTING:
    case BBM_ACT_ROLLOUT:
    case BBM_ACT_WATCH_STORE:
    case BBM_ACT_LIMITS:
    case BBM_ACT_LOG:
    case BBM_ACT_STOPPED:
        break;
    }
    free(q);
}

static bbm_traffic_kind
traffic_kind(uint64_t kind)
{
    switch (kind) {
    case NODE_MEMBERS:
        return BBM_TRAFFIC_MEMBERS;
    case NODE_RATE_REPORT:
    case NODE_RATE_GRANT:
        return BBM_TRAFFIC_RATES;
    case NODE_LISTING:
        return BBM_TRAFFIC_LISTING;
    case NODE_LOADS:
        return BBM_TRAFFIC_LOADS;
    case NODE_TOTALS:
        return BBM_TRAFFIC_TOTALS;
    case NODE_ORIGINS:
    case NODE_ORIGIN_QUERY:
    case NODE_ORIGIN:
        return BBM_TRAFFIC_ORIGINS;
    default:
        return BBM_TRAFFIC_CONTROL;
    }
}

static void
count_message(bbm_node *n, const bbm_action *a)
{
    if (a->kind != BBM_ACT_SEND)
        return;
    const bbm_buf *bytes = &a->u.send.bytes;
    n->counts.messages_out++;
    n->counts.bytes_out += bytes->len;
    bbm_reader rd = bbm_reader_of(bytes->data, bytes->len);
    bbm_get_u64(&rd); /* format */
    bbm_traffic *sent = &n->counts.traffic[traffic_kind(bbm_get_u64(&rd))];
    const bbm_member *m = bbm_members_find(n->members, a->u.send.to);
    if (m && strcmp(m->zone, n->desc.zone) == 0)
        sent->in_zone += bytes->len;
    else
        sent->out_zone += bytes->len;
}

bbm_action *
bbm_node_next_action(bbm_node *n)
{
    node_free_action(n->current_action);
    n->current_action = TAILQ_FIRST(&n->actions);
    if (!n->current_action)
        return NULL;
    TAILQ_REMOVE(&n->actions, n->current_action, link);
    count_message(n, &n->current_action->action);
    return &n->current_action->action;
}

bbm_action *
node_log_event(bbm_node *n, bbm_log_event event)
{
    bbm_action *a = node_push_action(n, BBM_ACT_LOG);
    a->u.log.event = event;
    return a;
}

void
node_log_text(bbm_action *a, const char *name, const char *value)
{
    if (a->u.log.len == BBM_LOG_PAIRS_MAX)
        return;
    bbm_log_pair *pair = &a->u.log.pairs[a->u.log.len++];
    pair->name = name;
    bbm_text_set(pair->value, sizeof(pair->value), value);
}

void
node_log_number(bbm_action *a, const char *name, int64_t value)
{
    char text[32];
    snprintf(text, sizeof(text), "%lld", (long long)value);
    node_log_text(a, name, text);
}

void
node_log(bbm_node *n, bbm_log_event event, const char *subject,
         const char *detail)
{
    bbm_action *a = node_log_event(n, event);
    if (subject[0])
        node_log_text(a, "subject", subject);
    if (detail[0])
        node_log_text(a, "detail", detail);
}

bbm_action *
node_send_to(bbm_node *n, const char *to, node_message_kind kind)
{
    bbm_action *a = node_push_action(n, BBM_ACT_SEND);
    bbm_name_set(a->u.send.to, to);
    const bbm_member *m = bbm_members_find(n->members, to);
    if (m)
        memcpy(a->u.send.address, m->address, BBM_ADDRESS_SIZE);
    bbm_put_u64(&a->u.send.bytes, NODE_MESSAGE_VERSION);
    bbm_put_u64(&a->u.send.bytes, kind);
    return a;
}

bbm_buf *
node_send(bbm_node *n, const char *to, node_message_kind kind)
{
    return &node_send_to(n, to, kind)->u.send.bytes;
}

bbm_buf *
node_send_in_format(bbm_node *n, const char *to, node_message_kind kind,
                    bbm_format format)
{
    bbm_buf *buf = node_send(n, to, kind);
    if (format >= BBM_FORMAT_STATED) {
        buf->len = 0;
        bbm_put_u64(buf, format);
        bbm_put_u64(buf, kind);
    }
    return buf;
}
