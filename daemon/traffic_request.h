/** @file
 *  A request as it goes to an upstream (private).
 */
#ifndef TRAFFIC_REQUEST_H
#define TRAFFIC_REQUEST_H

#include "traffic.h"
#include "traffic_answer.h"

#include <curl/curl.h>
#include <uthash.h>

/** A request at an upstream. */
typedef struct traffic_transfer {
    uint64_t request;
    exchange *ex;
    traffic *thread;
    bbm_start start;
    CURL *easy;
    struct curl_slist *headers;
    answer_watch watch;
    long status;
    char type[EXCHANGE_HEADER_SIZE];
    bool sent;      /* the upstream may have a byte of it */
    bool answering; /* bytes went to the caller */
    bool refused;   /* an answer that is a failure of the attempt */
    bool crossed;   /* it names another request */
    bool paused;
    bool expired; /* a time limit of ours ended it */
    bbm_time begun;
    bbm_time moved;
    bbm_time told;
    UT_hash_handle hh;
} traffic_transfer;

/** Make the handle of a transfer: address, headers, body and limits. */
void traffic_request_make(traffic_transfer *x);

#endif
