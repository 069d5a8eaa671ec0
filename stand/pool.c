/** @file
 *  Stand-ins for the provider's list of upstreams and for an upstream.
 *
 *      stand_pool list PORT UPSTREAM-PORT[@VERSION]...
 *      stand_pool upstream PORT
 *
 *  The list names the upstreams as instances of the service "api".  An
 *  upstream answers every request and counts the runs of each attempt id;
 *  GET /runs returns the counts, GET /seen headers, path and query arguments
 *  of the last request.  After GET /fault it runs the next request but closes
 *  the connection without an answer; GET /fault?off=1 cancels that.  GET
 *  /limit?per_s=N makes its answers state that limit, GET /limit none.
 */
#include "stand_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct pool {
    char **ports; /* ports of the upstreams; NULL when it is an upstream */
    int ports_len;
    const char *port;
    pthread_mutex_t lock;
    json_t *run_counts;   /* by attempt id */
    json_t *last_request; /* headers, path and query arguments */
    bool drop_next;
    char limit[16]; /* requests per second that it states; "": none */
} pool;

static enum MHD_Result
reply_list(const pool *p, stand_request *q)
{
    json_t *list = json_array();
    for (int i = 0; i < p->ports_len; i++) {
        char id[32];
        char address[32];
        const char *version = strchr(p->ports[i], '@');
        int len = (int)strcspn(p->ports[i], "@");
        snprintf(id, sizeof(id), "i-%.*s", len, p->ports[i]);
        snprintf(address, sizeof(address), "127.0.0.1:%.*s", len, p->ports[i]);
        json_t *item = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}", "id", id,
                                 "service", "api", "address", address, "zone",
                                 "zone-1", "state", "ready", "slots", 8);
        if (version)
            json_object_set_new(item, "version", json_string(version + 1));
        json_array_append_new(list, item);
    }
    return stand_reply(q, 200, json_pack("{s:o}", "instances", list));
}

static enum MHD_Result
run_request(pool *p, stand_request *q)
{
    const char *id = stand_header(q, "X-Bluebellmoor-Attempt-Id");
    q->signature = p->port;
    pthread_mutex_lock(&p->lock);
    stand_describe(q, p->last_request);
    json_int_t before = json_integer_value(json_object_get(p->run_counts, id));
    json_object_set_new(p->run_counts, id, json_integer(before + 1));
    bool drop = p->drop_next;
    p->drop_next = false;
    memcpy(q->limit, p->limit, sizeof(q->limit));
    pthread_mutex_unlock(&p->lock);
    if (drop)
        return stand_drop(q);
    return stand_reply(q, 200, json_pack("{s:s}", "upstream", p->port));
}

static enum MHD_Result
on_request(void *context, stand_request *q)
{
    pool *p = context;
    if (p->ports)
        return reply_list(p, q);
    bool wants_last_request = strcmp(q->path, "/seen") == 0;
    if (wants_last_request || strcmp(q->path, "/runs") == 0) {
        pthread_mutex_lock(&p->lock);
        json_t *copy = json_deep_copy(wants_last_request ? p->last_request
                                                         : p->run_counts);
        pthread_mutex_unlock(&p->lock);
        return stand_reply(q, 200, copy);
    }
    if (strcmp(q->path, "/fault") == 0) {
        pthread_mutex_lock(&p->lock);
        p->drop_next = stand_query_argument(q, "off") == NULL;
        pthread_mutex_unlock(&p->lock);
        return stand_reply(q, 200, json_object());
    }
    if (strcmp(q->path, "/limit") == 0) {
        const char *per_s = stand_query_argument(q, "per_s");
        pthread_mutex_lock(&p->lock);
        snprintf(p->limit, sizeof(p->limit), "%s", per_s ? per_s : "");
        pthread_mutex_unlock(&p->lock);
        return stand_reply(q, 200, json_object());
    }
    return run_request(p, q);
}

int
main(int argc, char **argv)
{
    bool is_list = argc > 3 && strcmp(argv[1], "list") == 0;
    bool is_upstream = argc == 3 && strcmp(argv[1], "upstream") == 0;
    if (!is_list && !is_upstream) {
        fputs("usage: stand_pool list PORT UPSTREAM-PORT... | upstream PORT\n",
              stderr);
        return 2;
    }
    pool p = {.port = argv[2],
              .run_counts = json_object(),
              .last_request = json_object()};
    if (is_list) {
        p.ports = argv + 3;
        p.ports_len = argc - 3;
    }
    pthread_mutex_init(&p.lock, NULL);
    stand_block_signals();
    stand_server *s =
        stand_listen((uint16_t)strtoul(argv[2], NULL, 10), on_request, &p);
    stand_wait();
    stand_close(s);
    json_decref(p.run_counts);
    json_decref(p.last_request);
}
