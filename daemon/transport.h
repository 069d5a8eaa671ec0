/** @file
 *  Messages between daemons, sealed with the shared secret.
 *
 *  Each daemon listens on one socket and dials the others when it first has
 *  something for them.  A message is encrypted and authenticated, and names
 *  its sender and receiver inside; what doesn't open, or is not for us, is
 *  counted and dropped.  Delivery is not promised.
 */
#ifndef TRANSPORT_H
#define TRANSPORT_H

#include "bbm_settings.h"
#include "mailbox.h"

/** The transport; opaque. */
typedef struct transport transport;

/** Listen on settings->peer_address; NULL if that fails. */
transport *transport_create(const bbm_settings *settings, uint64_t run,
                            const uint8_t *message_secret, mailbox *control);
/** Send bytes to a daemon; drops them if it can't be reached. */
void transport_send(transport *t, const char *name, const char *address,
                    const bbm_buf *bytes);
/** Messages that did not open. */
uint64_t transport_rejected_count(const transport *t);
/** Close and release. */
void transport_destroy(transport *t);

#endif
