/** @file
 *  Clients of pools and the provider's calls: translates HTTP into typed
 *  events by means of platform/ (private to the daemon).
 */
#ifndef FRONT_PROVIDER_H
#define FRONT_PROVIDER_H

#include "bbm_entries.h"
#include "bbm_settings.h"
#include "exchange.h"

/** Read the headers of a client's request.  A request whose length is
 *  ambiguous is answered with BBM_ERR_FRAMING at once, and its connection is
 *  closed. */
void front_provider_read_headers(exchange *ex,
                                 struct MHD_Connection *connection,
                                 const uint8_t *key_secret);
/** Set the fingerprint of a client's request whose body is complete.  It is of
 *  method, host, target, model, prompt and body, not of what differs between
 *  repeats: the id of the attempt, the timeout and the last event received. */
void front_provider_set_fingerprint(exchange *ex);
/** Fill @p ev from a client's request; it points into the exchange. */
void front_provider_fill_event(const exchange *ex, bbm_pool_request_event *ev);
/** Parse a call of the provider or its operator into ex->kind,
 *  ex->provider_call, ex->operator_event and ex->config.  Returns
 *  BBM_ERR_NO_ROUTE, BBM_ERR_BAD_FIELD, BBM_ERR_BAD_JSON or
 *  BBM_ERR_INVALID_CONFIG. */
int front_provider_parse(exchange *ex, const uint8_t *key_secret);
/** Answer a call that front_provider_parse() accepted; @p code and @p body are
 *  control's reply. */
void front_provider_reply(exchange *ex, const bbm_settings *settings, int code,
                          const bbm_buf *body);

#endif
