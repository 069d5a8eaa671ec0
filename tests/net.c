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
        bbm_buf_free(&n->mails[i].bytes);
    free(n->mails);
    *n = (net){0};
}

static void
add(net *n, bbm_time now, int from, int to, const void *data, size_t len)
{
    bbm_grow(&n->mails, &n->cap, n->len, sizeof(net_mail));
    bbm_time span = n->desc.longest + 1;
    net_mail *m = &n->mails[n->len++];
    *m = (net_mail){.from = from, .to = to};
    m->at = now + (bbm_time)bbm_rng_below(&n->rng, (uint64_t)span);
    bbm_buf_add(&m->bytes, data, len);
}

void
net_post(net *n, bbm_time now, int from, int to, const void *data, size_t len)
{
    bool lost = bbm_rng_unit(&n->rng) < n->desc.loss;
    bool doubled = bbm_rng_unit(&n->rng) < n->desc.doubled;
    if (n->cut[from][to] || lost)
        return;
    add(n, now, from, to, data, len);
    if (doubled)
        add(n, now, from, to, data, len);
}

bool
net_take(net *n, bbm_time now, net_mail *mail)
{
    size_t best = n->len;
    for (size_t i = 0; i < n->len; i++) {
        if (n->mails[i].at <= now
            && (best == n->len || n->mails[i].at < n->mails[best].at))
            best = i;
    }
    if (best == n->len)
        return false;
    *mail = n->mails[best];
    n->len--;
    memmove(&n->mails[best], &n->mails[best + 1],
            (n->len - best) * sizeof(net_mail));
    return true;
}

void
net_isolate(net *n, int place, bool cut)
{
    for (int i = 0; i < NET_PLACES; i++) {
        n->cut[i][place] = cut;
        n->cut[place][i] = cut;
    }
}

void
net_heal(net *n)
{
    memset(n->cut, 0, sizeof(n->cut));
    n->desc.loss = 0;
    n->desc.doubled = 0;
}
