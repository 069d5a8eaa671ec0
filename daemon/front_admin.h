/** @file
 *  Operators' calls: parses path and JSON body into a typed event (private to
 *  front.c).
 */
#ifndef FRONT_ADMIN_H
#define FRONT_ADMIN_H

#include "bbm_settings.h"
#include "exchange.h"

/** Fill ex->operator_event from path and body.  Returns BBM_ERR_OPERATOR_KEY
 *  if the key isn't an operator's, BBM_ERR_NO_ROUTE, BBM_ERR_BAD_JSON or
 *  BBM_ERR_BAD_FIELD. */
int front_admin_parse(const bbm_settings *settings, const uint8_t *key_secret,
                      exchange *ex);

#endif
