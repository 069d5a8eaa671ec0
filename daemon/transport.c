#include "transport.h"

#include "control.h"
#include "seal.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <uthash.h>

/* Messages that wait for a slow peer; further ones are dropped. */
#define SEND_QUEUE 256
#define RECEIVE_QUEUE 512
#define MESSAGE_MOST ((size_t)64 * 1024 * 1024)
/* Pauses between tries to reach a peer, milliseconds. */
#define RECONNECT_LEAST 50
#define RECONNECT_MOST 250
/* A connection that isn't there after this is begun anew: where a machine has
   no power, the next packet that opens it would be sent after a second. */
#define OPENING_MOST (200 * BBM_MS)
#define URL_SIZE (BBM_ADDRESS_SIZE + 8)
#define CUT_FILE_PERIOD (100 * BBM_MS)

typedef struct link_to {
    char name[BBM_NAME_SIZE];
    char address[BBM_ADDRESS_SIZE];
    nng_socket socket;
    bbm_time opened;
    atomic_bool connected; /* set by the library's threads */
    UT_hash_handle hh;
} link_to;

struct transport {
    const bbm_settings *settings;
    seal *seal;
    mailbox *control;
    nng_socket listening;
    pthread_t thread;
    bool started;
    link_to *links; /* control's alone */
    atomic_ullong refused;
    pthread_mutex_t cut_lock;
    char *cut;
    bbm_time cut_read;
};

/* ---- cuts made by a test ---- */

static bool
is_cut(transport *t, const char *name)
{
    if (!t->settings->test_cut_file[0])
        return false;
    pthread_mutex_lock(&t->cut_lock);
    bbm_time now = control_now();
    if (now - t->cut_read > CUT_FILE_PERIOD) {
        size_t len;
        t->cut_read = now;
        free(t->cut);
        t->cut = bbm_read_file(t->settings->test_cut_file, &len);
    }
    char line[BBM_NAME_SIZE + 2];
    snprintf(line, sizeof(line), "%s\n", name);
    bool cut = t->cut && strstr(t->cut, line);
    pthread_mutex_unlock(&t->cut_lock);
    return cut;
}

/* ---- sealing ---- */

static nng_msg *
close_message(transport *t, const char *to, const bbm_buf *bytes)
{
    bbm_buf sealed = {0};
    nng_msg *msg = NULL;
    seal_encrypt(t->seal, to, bytes, &sealed);
    if (nng_msg_alloc(&msg, sealed.len) == 0)
        memcpy(nng_msg_body(msg), sealed.data, sealed.len);
    bbm_buf_free(&sealed);
    return msg;
}

/* ---- receiving ---- */

static void
take_message(transport *t, nng_msg *msg)
{
    control_item *item = control_item_create(CONTROL_MESSAGE);
    bool good = seal_decrypt(t->seal, nng_msg_body(msg), nng_msg_len(msg),
                          item->name, &item->bytes)
                == BBM_OK;
    if (!good)
        atomic_fetch_add(&t->refused, 1);
    bool wanted = good && !is_cut(t, item->name);
    /* A full mailbox loses the message, as the network might have. */
    if (!wanted || !mailbox_put(t->control, item))
        control_item_destroy(item);
}

static void *
receive(void *context)
{
    transport *t = context;
    for (;;) {
        nng_msg *msg = NULL;
        int rc = nng_recvmsg(t->listening, &msg, 0);
        if (rc == NNG_ECLOSED)
            return NULL;
        if (rc != 0)
            continue;
        take_message(t, msg);
        nng_msg_free(msg);
    }
}

/* ---- sending ---- */

static void
close_link(transport *t, link_to *l)
{
    HASH_DEL(t->links, l);
    nng_close(l->socket);
    free(l);
}

static void
on_connection(nng_pipe pipe, nng_pipe_ev event, void *context)
{
    (void)pipe;
    link_to *l = context;
    atomic_store(&l->connected, event == NNG_PIPE_EV_ADD_POST);
}

static link_to *
open_link(transport *t, const char *name, const char *address)
{
    link_to *l = bbm_calloc(1, sizeof(*l));
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "tcp://%s", address);
    bbm_name_set(l->name, name);
    bbm_text_set(l->address, sizeof(l->address), address);
    if (nng_push0_open(&l->socket) != 0) {
        free(l);
        return NULL;
    }
    l->opened = control_now();
    nng_pipe_notify(l->socket, NNG_PIPE_EV_ADD_POST, on_connection, l);
    nng_pipe_notify(l->socket, NNG_PIPE_EV_REM_POST, on_connection, l);
    nng_socket_set_int(l->socket, NNG_OPT_SENDBUF, SEND_QUEUE);
    nng_socket_set_ms(l->socket, NNG_OPT_RECONNMINT, RECONNECT_LEAST);
    nng_socket_set_ms(l->socket, NNG_OPT_RECONNMAXT, RECONNECT_MOST);
    if (nng_dial(l->socket, url, NULL, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(l->socket);
        free(l);
        return NULL;
    }
    HASH_ADD_STR(t->links, name, l);
    return l;
}

static link_to *
link_for(transport *t, const char *name, const char *address)
{
    link_to *l = NULL;
    HASH_FIND_STR(t->links, name, l);
    bool hangs = l && !atomic_load(&l->connected)
                 && control_now() - l->opened > OPENING_MOST;
    if (l && (hangs || strcmp(l->address, address) != 0)) {
        close_link(t, l);
        l = NULL;
    }
    return l ? l : open_link(t, name, address);
}

void
transport_send(transport *t, const char *name, const char *address,
               const bbm_buf *bytes)
{
    if (!address[0] || is_cut(t, name))
        return;
    /* Whoever is at an address without a name has a link by that. */
    link_to *l = link_for(t, name[0] ? name : address, address);
    nng_msg *msg = l ? close_message(t, name, bytes) : NULL;
    if (!msg)
        return;
    if (nng_sendmsg(l->socket, msg, NNG_FLAG_NONBLOCK) != 0)
        nng_msg_free(msg);
}

uint64_t
transport_rejected_count(const transport *t)
{
    return atomic_load(&t->refused);
}

/* ---- making ---- */

transport *
transport_create(const bbm_settings *settings, uint64_t run,
                 const uint8_t *message_secret, mailbox *control)
{
    transport *t = bbm_calloc(1, sizeof(*t));
    char url[URL_SIZE];
    t->settings = settings;
    t->control = control;
    t->seal = seal_create(settings->name, run, message_secret);
    pthread_mutex_init(&t->cut_lock, NULL);
    snprintf(url, sizeof(url), "tcp://%s", settings->peer_address);
    if (nng_pull0_open(&t->listening) != 0) {
        seal_destroy(t->seal);
        free(t);
        return NULL;
    }
    nng_socket_set_int(t->listening, NNG_OPT_RECVBUF, RECEIVE_QUEUE);
    nng_socket_set_size(t->listening, NNG_OPT_RECVMAXSZ, MESSAGE_MOST);
    t->started = nng_listen(t->listening, url, NULL, 0) == 0
                 && pthread_create(&t->thread, NULL, receive, t) == 0;
    if (t->started)
        return t;
    transport_destroy(t);
    return NULL;
}

void
transport_destroy(transport *t)
{
    if (!t)
        return;
    nng_close(t->listening);
    if (t->started)
        pthread_join(t->thread, NULL);
    link_to *l, *next;
    HASH_ITER(hh, t->links, l, next)
    {
        close_link(t, l);
    }
    seal_destroy(t->seal);
    pthread_mutex_destroy(&t->cut_lock);
    free(t->cut);
    free(t);
}
