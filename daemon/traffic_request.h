/** @file
 *  One attempt of a request at an upstream, and its HTTP request (private to
 *  traffic).
 */
#ifndef TRAFFIC_REQUEST_H
#define TRAFFIC_REQUEST_H

#include "answer_reader.h"
#include "connections.h"
#include "traffic.h"
#include "traffic_answer.h"

#include <curl/curl.h>
#include <uthash.h>

/** An attempt at an upstream. */
typedef struct traffic_transfer {
    uint64_t request; /* key of the table */
    exchange *ex;     /* one reference */
    traffic *thread;
    bbm_start start;
    CURL *easy;
    struct curl_slist *headers;
    answer_parser parser;
    answer_reader *reader;
    unsigned status; /* HTTP status; 0: none received */
    char content_type[EXCHANGE_HEADER_SIZE];
    bool sent;             /* the upstream may have received bytes */
    bool answer_started;   /* the answer is passed to the client */
    bool rejected;         /* the answer is discarded; the attempt failed */
    bool named_request;    /* the answer carries the request's id */
    bool wrong_request_id; /* the answer carries another request's id */
    char other_id[BBM_NAME_SIZE]; /* beginning of that id */
    connection_use connection;
    bool fresh_connection;    /* never use an idle connection */
    bool unusable_connection; /* its answer couldn't be told from another */
    bool paused;              /* until the exchange has room again */
    bool timed_out;           /* ended by a limit of `start` */
    bbm_time started_at;
    bbm_time last_byte_at; /* or when the transfer was resumed */
    /* Time of the last progress report.  Before the answer begins: time of
       the last check of the client's connection. */
    bbm_time last_report_at;
    UT_hash_handle hh;
} traffic_transfer;

/** Create the easy handle of a transfer: URL, method, headers, body, connect
 *  timeout. */
void traffic_request_build(traffic_transfer *x);

#endif
