/** @file
 *  Orders to engines to load a weight version.
 *
 *  An order is committed before it is sent.  Its fencing token is its index
 *  in the log, so that a later order always has a higher token.  Only the
 *  leader sends orders, while it holds the lease.  Operators may resend an
 *  order: one identifier is one order.  A new order to an engine supersedes
 *  that engine's unfinished orders, which then fail with
 *  BBM_ERR_ORDER_FENCED.
 *
 *      bbm_orders *orders = bbm_orders_create();
 *      bbm_orders_apply(orders, &command, index, &outcome);
 *      for (size_t i = 0; bbm_orders_at(orders, i, &order); i++) ...
 */
#ifndef BBM_ORDERS_H
#define BBM_ORDERS_H

#include "bbm_command.h"

/** Maximum number of stored orders.  A new one then replaces the oldest that
 *  is DONE or FAILED; without any, it is refused with BBM_ERR_BUSY. */
#define BBM_ORDERS_MAX 4096

/** An order. */
typedef struct bbm_order {
    char id[BBM_NAME_SIZE];      /**< Identifier chosen by the operator. */
    char engine[BBM_NAME_SIZE];  /**< Receiver. */
    char weights[BBM_NAME_SIZE]; /**< Weight version to load. */
    uint64_t fence;              /**< Fencing token: index in the log. */
    int64_t at_ms;               /**< Calendar time of the command,
                                      milliseconds. */
    bbm_order_state state;       /**< WAITING or SENT until finished. */
    int code;                    /**< Result code once DONE or FAILED. */
} bbm_order;

/** All orders; opaque. */
typedef struct bbm_orders bbm_orders;

/** Create an empty set of orders. */
bbm_orders *bbm_orders_create(void);
/** Free the orders; NULL is allowed. */
void bbm_orders_destroy(bbm_orders *orders);
/** Apply BBM_CMD_ORDER, BBM_CMD_ORDER_END or BBM_CMD_ORDER_PAUSE, committed
 *  at @p index.  The end of a finished order is ignored, and that of an
 *  unknown one gives BBM_ERR_NOT_FOUND. */
void bbm_orders_apply(bbm_orders *orders, const bbm_command *cmd,
                      uint64_t index, bbm_outcome *out);
/** The i-th order, oldest first; false past the end. */
bool bbm_orders_at(const bbm_orders *orders, size_t i, bbm_order *order);
/** True while the sending of orders is paused. */
bool bbm_orders_paused(const bbm_orders *orders);
/** Append the encoded orders. */
void bbm_orders_encode(const bbm_orders *orders, bbm_buf *buf);
/** Replace all orders by decoded ones.  BBM_ERR_DECODE leaves them
 *  unchanged. */
int bbm_orders_decode(bbm_orders *orders, bbm_reader *rd);

#endif
