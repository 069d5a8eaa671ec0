#include "bbm_orders.h"

#include "bbm_codes.h"

#include <stdlib.h>
#include <string.h>

/* Result codes are encoded as their absolute value, up to this. */
#define RESULT_CODE_MAX 100000

struct bbm_orders {
    bbm_order *rows; /* oldest first */
    size_t len;
    size_t cap;
    bool paused;
};

bbm_orders *
bbm_orders_create(void)
{
    return bbm_calloc(1, sizeof(bbm_orders));
}

void
bbm_orders_destroy(bbm_orders *orders)
{
    if (!orders)
        return;
    free(orders->rows);
    free(orders);
}

static bool
is_finished(const bbm_order *o)
{
    return o->state == BBM_ORDER_DONE || o->state == BBM_ORDER_FAILED;
}

static bbm_order *
find_order(const bbm_orders *orders, const char *id)
{
    for (size_t i = 0; i < orders->len; i++) {
        if (strcmp(orders->rows[i].id, id) == 0)
            return &orders->rows[i];
    }
    return NULL;
}

static bool
remove_oldest_finished(bbm_orders *orders)
{
    for (size_t i = 0; i < orders->len; i++) {
        if (!is_finished(&orders->rows[i]))
            continue;
        orders->len--;
        memmove(&orders->rows[i], &orders->rows[i + 1],
                (orders->len - i) * sizeof(bbm_order));
        return true;
    }
    return false;
}

static void
supersede_open_orders(bbm_orders *orders, const char *engine)
{
    for (size_t i = 0; i < orders->len; i++) {
        bbm_order *o = &orders->rows[i];
        if (strcmp(o->engine, engine) == 0 && !is_finished(o)) {
            o->state = BBM_ORDER_FAILED;
            o->code = BBM_ERR_ORDER_FENCED;
        }
    }
}

static void
add_order(bbm_orders *orders, const bbm_command *cmd, uint64_t index,
          bbm_outcome *out)
{
    const bbm_order *existing = find_order(orders, cmd->u.order.id);
    if (existing) {
        out->number = existing->fence;
        return;
    }
    if (orders->len >= BBM_ORDERS_MAX && !remove_oldest_finished(orders)) {
        out->code = BBM_ERR_BUSY;
        return;
    }
    supersede_open_orders(orders, cmd->u.order.engine);
    bbm_order o = {.fence = index, .at_ms = cmd->at_ms};
    bbm_name_set(o.id, cmd->u.order.id);
    bbm_name_set(o.engine, cmd->u.order.engine);
    bbm_name_set(o.weights, cmd->u.order.weights);
    bbm_grow(&orders->rows, &orders->cap, orders->len, sizeof(o));
    orders->rows[orders->len++] = o;
    out->number = index;
}

static void
end_order(bbm_orders *orders, const bbm_command *cmd, bbm_outcome *out)
{
    bbm_order *o = find_order(orders, cmd->u.order_end.id);
    if (!o) {
        out->code = BBM_ERR_NOT_FOUND;
        return;
    }
    if (is_finished(o))
        return;
    o->state = cmd->u.order_end.state;
    o->code = cmd->u.order_end.code;
}

void
bbm_orders_apply(bbm_orders *orders, const bbm_command *cmd, uint64_t index,
                 bbm_outcome *out)
{
    if (cmd->kind == BBM_CMD_ORDER)
        add_order(orders, cmd, index, out);
    else if (cmd->kind == BBM_CMD_ORDER_END)
        end_order(orders, cmd, out);
    else if (cmd->kind == BBM_CMD_ORDER_PAUSE)
        orders->paused = cmd->u.order_pause.paused;
    else
        out->code = BBM_ERR_ARGUMENT;
}

bool
bbm_orders_at(const bbm_orders *orders, size_t i, bbm_order *order)
{
    if (i >= orders->len)
        return false;
    *order = orders->rows[i];
    return true;
}

bool
bbm_orders_paused(const bbm_orders *orders)
{
    return orders->paused;
}

void
bbm_orders_encode(const bbm_orders *orders, bbm_buf *buf)
{
    bbm_put_u64(buf, orders->paused);
    bbm_put_u64(buf, orders->len);
    for (size_t i = 0; i < orders->len; i++) {
        const bbm_order *o = &orders->rows[i];
        bbm_put_str(buf, o->id);
        bbm_put_str(buf, o->engine);
        bbm_put_str(buf, o->weights);
        bbm_put_u64(buf, o->fence);
        bbm_put_i64(buf, o->at_ms);
        bbm_put_u64(buf, o->state);
        bbm_put_u64(buf, (uint64_t)-o->code);
    }
}

int
bbm_orders_decode(bbm_orders *orders, bbm_reader *rd)
{
    bbm_orders decoded = {.paused = bbm_get_u32(rd, 1) != 0};
    size_t len = bbm_get_u32(rd, BBM_ORDERS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_order o = {0};
        bbm_get_name(rd, o.id);
        bbm_get_name(rd, o.engine);
        bbm_get_name(rd, o.weights);
        o.fence = bbm_get_u64(rd);
        o.at_ms = bbm_get_i64(rd);
        o.state = (bbm_order_state)bbm_get_u32(rd, BBM_ORDER_FAILED);
        o.code = -(int)bbm_get_u32(rd, RESULT_CODE_MAX);
        bbm_grow(&decoded.rows, &decoded.cap, decoded.len, sizeof(o));
        decoded.rows[decoded.len++] = o;
    }
    if (rd->failed) {
        free(decoded.rows);
        return BBM_ERR_DECODE;
    }
    free(orders->rows);
    *orders = decoded;
    return BBM_OK;
}
