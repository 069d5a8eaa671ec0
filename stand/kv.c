/** @file
 *  Stand-in for a KV cache store; records which blocks were exported.
 *
 *  POST /export {"ids":["<hex>",...]} adds blocks.  POST /have with the same
 *  body returns {"have":N}: the first N blocks of the list are stored.
 */
#include "stand_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct kv_store {
    pthread_mutex_t lock;
    json_t *ids; /* object with a key for each stored block */
} kv_store;

static json_int_t
count_stored_prefix(const kv_store *k, const json_t *ids)
{
    json_int_t count = 0;
    size_t i;
    json_t *id;
    json_array_foreach((json_t *)(uintptr_t)ids, i, id)
    {
        if (!json_object_get(k->ids, json_string_value(id)))
            break;
        count++;
    }
    return count;
}

static void
add_ids(kv_store *k, json_t *ids)
{
    size_t i;
    json_t *id;
    json_array_foreach(ids, i, id)
    {
        json_object_set_new(k->ids, json_string_value(id), json_true());
    }
}

static enum MHD_Result
on_request(void *context, stand_request *q)
{
    kv_store *k = context;
    json_error_t error;
    json_t *doc = json_loads((char *)q->body.data, 0, &error);
    json_t *ids = json_object_get(doc, "ids");
    bool is_query = strcmp(q->path, "/have") == 0;
    json_int_t count = 0;
    pthread_mutex_lock(&k->lock);
    if (is_query)
        count = count_stored_prefix(k, ids);
    else
        add_ids(k, ids);
    pthread_mutex_unlock(&k->lock);
    json_decref(doc);
    return stand_reply(q, 200, json_pack("{s:I}", "have", count));
}

int
main(int argc, char **argv)
{
    if (argc != 2) {
        fputs("usage: stand_kv PORT\n", stderr);
        return 2;
    }
    kv_store k = {.ids = json_object()};
    pthread_mutex_init(&k.lock, NULL);
    stand_block_signals();
    stand_server *s =
        stand_listen((uint16_t)strtoul(argv[1], NULL, 10), on_request, &k);
    stand_wait();
    stand_close(s);
}
