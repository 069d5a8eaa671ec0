/** @file
 *  Numbered result codes.
 *
 *  Functions return 0 or a negative code.  Each code has the HTTP status that
 *  a client gets, whether the request ran, and a text.  All codes are defined
 *  in the table below; docs/ERRORS.md is checked against it.
 *
 *      int rc = bbm_members_receive(...);
 *      if (rc < 0)
 *          fprintf(stderr, "%s\n", bbm_code_text(rc));
 *
 *  A status that promises that the request has not run is allowed only with
 *  "ran" NO, which is checked at compile time.
 *
 *  Rows: X(name, number, HTTP status, ran, text)
 */
#ifndef BBM_CODES_H
#define BBM_CODES_H

#include <stdbool.h>

/** Whether the upstream may have run the request. */
typedef enum bbm_ran {
    BBM_RAN_NO,      /**< No byte of it can have reached an upstream. */
    BBM_RAN_UNKNOWN, /**< The request may have run. */
    BBM_RAN_YES,     /**< The request ran. */
} bbm_ran;

#define BBM_CODE_TABLE(X)                                                     \
    X(BBM_OK, 0, 200, YES, "done")                                            \
    X(BBM_ERR_MEMORY, -1, 503, NO, "out of memory")                           \
    X(BBM_ERR_ARGUMENT, -2, 400, NO, "invalid argument")                      \
    X(BBM_ERR_CORRUPT, -3, 500, NO, "stored data fails its checksum")         \
    X(BBM_ERR_IO, -4, 500, NO, "input or output failed")                      \
    X(BBM_ERR_DECODE, -5, 400, NO, "message cannot be decoded")               \
    X(BBM_ERR_DISK_FULL, -6, 503, NO, "no space left in the data folder")     \
    X(BBM_ERR_BAD_JSON, -100, 400, NO, "body is not valid JSON")              \
    X(BBM_ERR_TOO_LARGE, -101, 413, NO, "body is too large")                  \
    X(BBM_ERR_TOO_DEEP, -102, 400, NO, "JSON is nested too deeply")           \
    X(BBM_ERR_BAD_FIELD, -103, 400, NO, "a field is missing or invalid")      \
    X(BBM_ERR_NO_ROUTE, -104, 404, NO, "no route for this path")              \
    X(BBM_ERR_NO_MODEL, -105, 404, NO, "no such model")                       \
    X(BBM_ERR_METHOD, -106, 405, NO, "method not allowed")                    \
    X(BBM_ERR_FRAMING, -107, 400, NO, "the request's length is in doubt")     \
    X(BBM_ERR_NO_KEY, -110, 401, NO, "no key was shown")                      \
    X(BBM_ERR_BAD_KEY, -111, 401, NO, "the key is not valid")                 \
    X(BBM_ERR_KEYS_STALE, -112, 503, NO,                                      \
      "this VM cannot prove that its keys are fresh")                         \
    X(BBM_ERR_KEY_WITHDRAWN, -113, 401, UNKNOWN,                              \
      "the key was withdrawn while the request ran")                          \
    X(BBM_ERR_KEY_IN_TARGET, -115, 400, NO,                                   \
      "the key must not be in the path or query")                             \
    X(BBM_ERR_KEYS_STALE_CUT, -114, 502, UNKNOWN,                             \
      "this VM could not prove that its keys are fresh any longer")           \
    X(BBM_ERR_RATE, -120, 429, NO, "the customer's rate is used up")          \
    X(BBM_ERR_OVER_BURST, -121, 400, NO,                                      \
      "the request needs more tokens than the customer's burst")              \
    X(BBM_ERR_OVERLOAD, -122, 503, NO,                                        \
      "the request cannot start before its deadline")                         \
    X(BBM_ERR_DRAINING, -123, 503, NO, "this VM is leaving")                  \
    X(BBM_ERR_NOT_READY, -124, 503, NO, "this VM has no configuration yet")   \
    X(BBM_ERR_NO_UPSTREAM, -125, 503, NO, "no upstream can take the request") \
    X(BBM_ERR_BUSY, -126, 503, NO, "too many requests are open on this VM")   \
    X(BBM_ERR_QUARANTINED, -127, 503, NO,                                     \
      "the request, or a part of its prompt, crashes upstreams")              \
    X(BBM_ERR_STREAM_ORIGIN, -128, 503, NO,                                   \
      "no upstream can go on with the stream; begin anew")                    \
    X(BBM_ERR_UPSTREAM, -130, 502, UNKNOWN,                                   \
      "the upstream failed before it answered")                               \
    X(BBM_ERR_UPSTREAM_CUT, -131, 502, UNKNOWN,                               \
      "the upstream closed before the end of its answer")                     \
    X(BBM_ERR_UPSTREAM_TIMEOUT, -132, 504, UNKNOWN,                           \
      "the upstream did not answer in time")                                  \
    X(BBM_ERR_UPSTREAM_CONNECT, -133, 502, NO,                                \
      "no upstream could be reached")                                         \
    X(BBM_ERR_STOPPED, -134, 502, UNKNOWN,                                    \
      "this VM was stopped while the request ran")                            \
    X(BBM_ERR_CLIENT_LEFT, -135, 502, UNKNOWN,                                \
      "the client closed its connection while the request ran")               \
    X(BBM_ERR_CLIENT_LEFT_EARLY, -136, 503, NO,                               \
      "the client closed its connection before the request was sent")         \
    X(BBM_ERR_IDEM_MISSING, -140, 400, NO,                                    \
      "this route needs an Idempotency-Key header")                           \
    X(BBM_ERR_IDEM_REUSED, -141, 422, NO,                                     \
      "the Idempotency-Key was used with another body")                       \
    X(BBM_ERR_IDEM_RUNNING, -142, 409, UNKNOWN,                               \
      "a request with this Idempotency-Key is still running")                 \
    X(BBM_ERR_IDEM_UNKNOWN, -143, 409, UNKNOWN,                               \
      "the outcome of the request with this Idempotency-Key is unknown")      \
    X(BBM_ERR_IDEM_FULL, -144, 503, NO,                                       \
      "too many idempotency keys are kept for this customer")                 \
    X(BBM_ERR_CLAIM, -145, 503, NO,                                           \
      "the idempotency claim could not be agreed in time")                    \
    X(BBM_ERR_CONFLICT, -150, 409, NO,                                        \
      "another revision was published first")                                 \
    X(BBM_ERR_INVALID_CONFIG, -151, 422, NO,                                  \
      "the configuration has mistakes")                                       \
    X(BBM_ERR_NO_QUORUM, -152, 504, UNKNOWN,                                  \
      "no leader answered; the change may have been accepted")                \
    X(BBM_ERR_NOT_FOUND, -153, 404, NO, "no such object")                     \
    X(BBM_ERR_EXISTS, -154, 409, NO, "an object of this name exists")         \
    X(BBM_ERR_UNSAFE, -155, 409, NO,                                          \
      "the change would lose the quorum or acknowledged state")               \
    X(BBM_ERR_NOT_LEADER, -156, 503, NO, "this VM is not the leader")         \
    X(BBM_ERR_OPERATOR_KEY, -157, 401, NO, "the operator key is not valid")   \
    X(BBM_ERR_ORDER_FENCED, -158, 409, NO,                                    \
      "an order with a higher fencing number was taken")                      \
    X(BBM_ERR_NOT_CURRENT, -159, 503, NO,                                     \
      "this VM cannot prove which revision is the newest")                    \
    X(BBM_ERR_BACKLOG, -160, 503, NO,                                         \
      "changes come faster than they are written")

/** All result codes. */
typedef enum bbm_code {
#define X(name, number, status, ran, text) name = (number),
    BBM_CODE_TABLE(X)
#undef X
} bbm_code;

/** The text of a code; "unknown code" for a number not in the table. */
const char *bbm_code_text(int code);

/** The name of a code as written in the table, "BBM_OK" for instance. */
const char *bbm_code_name(int code);

/** The HTTP status that a client gets for a code; 500 if not in the table. */
unsigned bbm_code_status(int code);

/** True for a status from which a client concludes that its request has not
 *  run and never will: 408, 421, 429 and 503. */
bool bbm_status_promises_not_run(unsigned status);

/** Whether the request ran, as far as the code alone determines it;
 *  BBM_RAN_UNKNOWN if not in the table. */
bbm_ran bbm_code_ran(int code);

/** "no", "unknown" or "yes". */
const char *bbm_ran_text(bbm_ran ran);

#endif
