/** @file
 *  Orders to engines: load a weight version.
 *
 *  An order is agreed first; its fencing number is the log index at which it
 *  was, so that a later order always has the higher number.  Only the leader
 *  sends orders, under its lease.  A resend by an operator under the same
 *  identifier is the same order.  A later order to the same engine replaces
 *  one that has not ended.
 *
 *      bbm_orders *orders = bbm_orders_create();
 *      bbm_orders_apply(orders, &command, index, &outcome);
 *      for (size_t i = 0; bbm_orders_at(orders, i, &order); i++) ...
 */
#ifndef BBM_ORDERS_H
#define BBM_ORDERS_H

#include "bbm_command.h"

/** Orders that are remembered; the oldest ended ones go first. */
#define BBM_ORDERS_MAX 4096

/** An order. */
typedef struct bbm_order {
    char id[BBM_NAME_SIZE];      /**< Identifier. */
    char engine[BBM_NAME_SIZE];  /**< Receiver. */
    char weights[BBM_NAME_SIZE]; /**< Version to load. */
    uint64_t fence;              /**< Fencing number. */
    int64_t at_ms;               /**< Calendar time, milliseconds. */
    bbm_order_state state;       /**< How far it is. */
    int code;                    /**< Result, when it has ended. */
} bbm_order;

/** The orders; opaque. */
typedef struct bbm_orders bbm_orders;

/** No orders yet. */
bbm_orders *bbm_orders_create(void);
/** Release; NULL is allowed. */
void bbm_orders_destroy(bbm_orders *orders);
/** Apply BBM_CMD_ORDER, BBM_CMD_ORDER_END or BBM_CMD_ORDER_PAUSE. */
void bbm_orders_apply(bbm_orders *orders, const bbm_command *cmd,
                      uint64_t index, bbm_outcome *out);
/** The i-th order, oldest first; false past the end. */
bool bbm_orders_at(const bbm_orders *orders, size_t i, bbm_order *order);
/** True while the sending of orders is paused. */
bool bbm_orders_paused(const bbm_orders *orders);
/** Append all orders. */
void bbm_orders_encode(const bbm_orders *orders, bbm_buf *buf);
/** Replace all orders.  On an error they are unchanged. */
int bbm_orders_decode(bbm_orders *orders, bbm_reader *rd);

#endif
