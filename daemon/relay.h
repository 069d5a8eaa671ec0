/** @file
 *  The header of a request that one VM passes on to another, which forwards it
 *  to an upstream.
 *
 *  It says that the request was relayed, so that it isn't relayed again, and
 *  carries what the first VM knows and a client can't be trusted with: the
 *  digest of the client's key, which itself is wiped by then, and the number
 *  of attempts that may have run the request.  A MAC under the system's secret
 *  binds it to the request.
 *
 *  Source: keyed BLAKE2b by libsodium.
 */
#ifndef RELAY_H
#define RELAY_H

#include "exchange.h"

/** Write the value for a request. */
void relay_header_write(const exchange *ex, uint32_t attempts_used,
                        const uint8_t *secret,
                        char value[PLATFORM_RELAYED_SIZE]);
/** Read the value of a request, and set what it carries.  Returns false, and
 *  sets nothing, if it isn't authentic. */
bool relay_header_read(exchange *ex, const char *value, const uint8_t *secret);

#endif
