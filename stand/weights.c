/** @file
 *  Stand-in for a weight store.  A load takes 0.6 s; when more than three
 *  run at once it takes longer, in proportion to their number.  GET /most
 *  returns the highest number of concurrent loads and the total of loads.
 */
#include "stand_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WEIGHT_LOAD_MS 600
#define UNTHROTTLED_LOADS_MAX 3

typedef struct weight_store {
    pthread_mutex_t lock;
    int64_t loading;     /* loads in progress */
    int64_t max_loading; /* highest value of loading so far */
    int64_t loads_count; /* total */
} weight_store;

static enum MHD_Result
on_request(void *context, stand_request *q)
{
    weight_store *w = context;
    pthread_mutex_lock(&w->lock);
    if (strcmp(q->path, "/most") == 0) {
        json_t *doc =
            json_pack("{s:I, s:I}", "most", (json_int_t)w->max_loading,
                      "loads", (json_int_t)w->loads_count);
        pthread_mutex_unlock(&w->lock);
        return stand_reply(q, 200, doc);
    }
    w->loading++;
    w->loads_count++;
    if (w->loading > w->max_loading)
        w->max_loading = w->loading;
    int64_t load_factor = w->loading > UNTHROTTLED_LOADS_MAX
                              ? w->loading
                              : UNTHROTTLED_LOADS_MAX;
    pthread_mutex_unlock(&w->lock);
    stand_sleep_ms(WEIGHT_LOAD_MS * load_factor / UNTHROTTLED_LOADS_MAX);
    pthread_mutex_lock(&w->lock);
    w->loading--;
    pthread_mutex_unlock(&w->lock);
    return stand_reply(q, 200, json_pack("{s:s}", "weights", q->path));
}

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fputs("usage: stand_weights PORT\n", stderr);
        return 2;
    }
    weight_store w = {0};
    pthread_mutex_init(&w.lock, NULL);
    stand_block_signals();
    stand_server *s =
        stand_listen((uint16_t)strtoul(argv[1], NULL, 10), on_request, &w);
    stand_wait();
    stand_close(s);
}
