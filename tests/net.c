#include "net.h"

#include <stdlib.h>
#include <string.h>

void
net_init(net *n, const net_desc *desc)
{
    *n = (net){.desc = *desc, .rng = bbm_rng_of(desc->seed ^ 0x6e6574)};
}

void
net_free(net *n)
{
    for (size_t i = 0; i < n->len; i++)
        bbm_buf_free(&n->messages[i].bytes);
    free(n->messages);
    *n = (net){0};
}

static bool
is_long(const net *n, size_t len)
{
    return n->long_message_bytes && len >= n->long_message_bytes;
}

static bool
loses_long_message(net *n, size_t len)
{
    if (!n->lost_long_messages || !is_long(n, len))
        return false;
    n->lost_long_messages--;
    return true;
}

/* Messages up to this are one packet, which other connections of the link let
   pass. */
#define PACKET_BYTES 1500

/* Time at which a message has left its sender. */
static bbm_time
sent_at(net *n, bbm_time now, int from, size_t len)
{
    int64_t rate = n->link_bytes_per_s[from];
    if (!rate)
        return now;
    bbm_time span = (bbm_time)len * BBM_SECOND / rate;
    bool is_idle = n->sends_until[from] < now;
    n->sends_until[from] = (is_idle ? now : n->sends_until[from]) + span;
    double wait_s = (double)(n->sends_until[from] - now) / (double)BBM_SECOND;
    size_t waiting = (size_t)(wait_s * (double)rate);
    if (waiting > n->waiting_bytes_max[from])
        n->waiting_bytes_max[from] = waiting;
    return len <= PACKET_BYTES ? now + span : n->sends_until[from];
}

static void
add_message(net *n, bbm_time now, int from, int to, const void *data,
            size_t len)
{
    bbm_grow(&n->messages, &n->cap, n->len, sizeof(net_message));
    bbm_time delay_bound = n->desc.delay_max + 1;
    n->long_messages += is_long(n, len);
    net_message *m = &n->messages[n->len++];
    *m = (net_message){.from = from, .to = to};
    m->deliver_at = sent_at(n, now, from, len)
                    + (bbm_time)bbm_rng_below(&n->rng, (uint64_t)delay_bound);
    bbm_buf_add(&m->bytes, data, len);
}

void
net_send(net *n, bbm_time now, int from, int to, const void *data, size_t len)
{
    bool lost = bbm_rng_unit(&n->rng) < n->desc.loss;
    bool duplicated = bbm_rng_unit(&n->rng) < n->desc.duplicated;
    if (n->blocked[from][to] || lost || loses_long_message(n, len))
        return;
    add_message(n, now, from, to, data, len);
    if (duplicated)
        add_message(n, now, from, to, data, len);
}

bool
net_receive(net *n, bbm_time now, net_message *message)
{
    size_t earliest = n->len;
    for (size_t i = 0; i < n->len; i++) {
        if (n->messages[i].deliver_at <= now
            && (earliest == n->len
                || n->messages[i].deliver_at
                       < n->messages[earliest].deliver_at))
            earliest = i;
    }
    if (earliest == n->len)
        return false;
    *message = n->messages[earliest];
    n->len--;
    memmove(&n->messages[earliest], &n->messages[earliest + 1],
            (n->len - earliest) * sizeof(net_message));
    return true;
}

void
net_isolate(net *n, int node, bool blocked)
{
    for (int i = 0; i < NET_NODES_MAX; i++) {
        n->blocked[i][node] = blocked;
        n->blocked[node][i] = blocked;
    }
}

void
net_heal(net *n)
{
    memset(n->blocked, 0, sizeof(n->blocked));
    n->desc.loss = 0;
    n->desc.duplicated = 0;
}
