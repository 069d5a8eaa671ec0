/** @file
 *  Stand-in for a booking service; counts how often each booking runs.
 *
 *  POST /bookings with {"booking":"name"} runs that booking.  GET /runs
 *  returns the count of each.  GET /seen returns path, query arguments and
 *  headers of the last request that ran.  POST /fault sets the faults:
 *  {"delay_ms":500} delays every answer; {"drop_after":2} runs the next two
 *  requests and closes their connections without an answer.
 */
#include "stand_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct booking_service {
    pthread_mutex_t lock;
    json_t *run_counts; /* by name of the booking */
    int64_t delay_ms;
    int64_t drop_count;   /* next requests that run without an answer */
    json_t *last_request; /* path, query arguments and headers */
} booking_service;

static enum MHD_Result
run_booking(booking_service *b, stand_request *q)
{
    json_error_t error;
    json_t *doc = json_loads((char *)q->body.data, 0, &error);
    const char *name = json_string_value(json_object_get(doc, "booking"));
    if (!name) {
        json_decref(doc);
        return stand_reply(q, 400, json_pack("{s:s}", "error", "malformed"));
    }
    pthread_mutex_lock(&b->lock);
    json_int_t runs =
        json_integer_value(json_object_get(b->run_counts, name)) + 1;
    json_object_set_new(b->run_counts, name, json_integer(runs));
    stand_describe(q, b->last_request);
    bool drop = b->drop_count > 0;
    if (drop)
        b->drop_count--;
    int64_t delay = b->delay_ms;
    pthread_mutex_unlock(&b->lock);
    stand_sleep_ms(delay);
    json_t *answer = json_pack("{s:s, s:I, s:s}", "booked", name, "run", runs,
                               "request", stand_header(q, "X-Request-Id"));
    json_decref(doc);
    if (!drop)
        return stand_reply(q, 200, answer);
    json_decref(answer);
    return stand_drop(q);
}

static enum MHD_Result
on_request(void *context, stand_request *q)
{
    booking_service *b = context;
    bool wants_last_request = strcmp(q->path, "/seen") == 0;
    if (wants_last_request || strcmp(q->path, "/runs") == 0) {
        pthread_mutex_lock(&b->lock);
        json_t *copy = json_deep_copy(wants_last_request ? b->last_request
                                                         : b->run_counts);
        pthread_mutex_unlock(&b->lock);
        return stand_reply(q, 200, copy);
    }
    if (strcmp(q->path, "/fault") == 0) {
        json_error_t error;
        json_t *doc = json_loads((char *)q->body.data, 0, &error);
        pthread_mutex_lock(&b->lock);
        b->delay_ms = json_integer_value(json_object_get(doc, "delay_ms"));
        b->drop_count = json_integer_value(json_object_get(doc, "drop_after"));
        pthread_mutex_unlock(&b->lock);
        json_decref(doc);
        return stand_reply(q, 200, json_pack("{s:b}", "done", 1));
    }
    return run_booking(b, q);
}

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fputs("usage: stand_booking PORT\n", stderr);
        return 2;
    }
    booking_service b = {.run_counts = json_object(),
                         .last_request = json_object()};
    pthread_mutex_init(&b.lock, NULL);
    stand_block_signals();
    stand_server *s =
        stand_listen((uint16_t)strtoul(argv[1], NULL, 10), on_request, &b);
    stand_wait();
    stand_close(s);
}
