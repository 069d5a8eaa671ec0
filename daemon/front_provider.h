/** @file
 *  Callers of pools, and the provider's calls: from HTTP to typed events
 *  through platform/ (private).
 */
#ifndef FRONT_PROVIDER_H
#define FRONT_PROVIDER_H

#include "bbm_entries.h"
#include "bbm_settings.h"
#include "exchange.h"

/** Read the headers of a caller's request.  One whose length is in doubt is
 *  answered at once. */
void front_provider_read_headers(exchange *ex, struct MHD_Connection *connection,
                          const uint8_t *key_secret);
/** The event that a caller's request is; it points into the exchange. */
void front_provider_fill_event(const exchange *ex, bbm_pool_request_event *ev);
/** Fill ex->call and the like from a call of the provider.  BBM_ERR_NO_ROUTE,
 *  BBM_ERR_BAD_JSON, BBM_ERR_INVALID_CONFIG. */
int front_provider_parse(exchange *ex, const uint8_t *key_secret);
/** Answer such a call by what control replied. */
void front_provider_reply(exchange *ex, const bbm_settings *settings, int code,
                          const bbm_buf *body);

#endif
