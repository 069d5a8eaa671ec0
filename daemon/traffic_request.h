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
    answer_parser parser;
    long status;
    char content_type[EXCHANGE_HEADER_SIZE];
    bool sent;      /* the upstream may have a byte of it */
    bool answer_started; /* bytes went to the caller */
    bool rejected;   /* an answer that is a failure of the attempt */
    bool wrong_request_id;   /* it names another request */
    bool paused;
    bool timed_out; /* a time limit of ours ended it */
    bbm_time started_at;
    bbm_time last_byte_at;
    bbm_time last_report_at;
    UT_hash_handle hh;
} traffic_transfer;

/** Make the handle of a transfer: address, headers, body and limits. */
void traffic_request_build(traffic_transfer *x);

#endif
