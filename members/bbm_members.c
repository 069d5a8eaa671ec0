#include "members_core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PERIOD BBM_SECOND
#define DEFAULT_SUSPICION (7 * BBM_SECOND)
#define DEFAULT_FORGET (600 * BBM_SECOND)
#define DEFAULT_HELPERS 3
#define DEFAULT_NEWS 6
/* News are told so many times for each doubling of the fleet. */
#define TELLS_PER_DOUBLING 3

/* ---- rows ---- */

static size_t
find_place(const bbm_members *m, const char *name, bool *found)
{
    size_t low = 0;
    size_t high = m->len;
    *found = false;
    while (low < high) {
        size_t mid = (low + high) / 2;
        int order = strcmp(m->rows[mid].info.name, name);
        if (order == 0) {
            *found = true;
            return mid;
        }
        if (order < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}

members_row *
members_find_row(const bbm_members *m, const char *name)
{
    bool found;
    size_t at = find_place(m, name, &found);
    return found ? &m->rows[at] : NULL;
}

members_row *
members_self_row(const bbm_members *m)
{
    members_row *r = members_find_row(m, m->desc.self.name);
    assert(r);
    return r;
}

members_row *
members_add_row(bbm_members *m, const bbm_member *info)
{
    bool found;
    size_t at = find_place(m, info->name, &found);
    assert(!found);
    if (m->len >= BBM_MEMBERS_MOST)
        return NULL;
    bbm_grow(&m->rows, &m->cap, m->len, sizeof(members_row));
    memmove(&m->rows[at + 1], &m->rows[at],
            (m->len - at) * sizeof(members_row));
    m->rows[at] = (members_row){.info = *info};
    m->len++;
    return &m->rows[at];
}

void
members_remove_row(bbm_members *m, size_t at)
{
    m->len--;
    memmove(&m->rows[at], &m->rows[at + 1],
            (m->len - at) * sizeof(members_row));
}

uint32_t
members_tells_needed(const bbm_members *m)
{
    uint32_t doublings = 1;
    for (size_t n = m->len; n > 1; n /= 2)
        doublings++;
    return doublings * TELLS_PER_DOUBLING;
}

/* ---- outputs ---- */

bbm_members_output *
members_add_output(bbm_members *m)
{
    members_queued *q = bbm_calloc(1, sizeof(*q));
    TAILQ_INSERT_TAIL(&m->outputs, q, link);
    return &q->out;
}

void
members_free_output(members_queued *q)
{
    if (!q)
        return;
    bbm_buf_free(&q->out.bytes);
    free(q);
}

bbm_members_output *
bbm_members_take(bbm_members *m)
{
    members_free_output(m->taken);
    m->taken = TAILQ_FIRST(&m->outputs);
    if (!m->taken)
        return NULL;
    TAILQ_REMOVE(&m->outputs, m->taken, link);
    return &m->taken->out;
}

void
members_tell_changed(bbm_members *m, members_row *r)
{
    r->info.since = m->now;
    r->tells = members_tells_needed(m);
    bbm_members_output *out = members_add_output(m);
    out->changed = true;
    bbm_name_set(out->to, r->info.name);
}

void
members_set_status(bbm_members *m, members_row *r, bbm_member_status status)
{
    if (r->info.status == status)
        return;
    r->info.status = status;
    members_tell_changed(m, r);
}

/* ---- making and asking ---- */

bbm_members *
bbm_members_create(const bbm_members_desc *desc)
{
    assert(desc->self.name[0]);
    bbm_members *m = bbm_calloc(1, sizeof(*m));
    m->desc = *desc;
    if (!m->desc.period)
        m->desc.period = DEFAULT_PERIOD;
    if (!m->desc.timeout)
        m->desc.timeout = m->desc.period / 2;
    if (!m->desc.suspicion)
        m->desc.suspicion = DEFAULT_SUSPICION;
    if (!m->desc.forget)
        m->desc.forget = DEFAULT_FORGET;
    if (!m->desc.helpers)
        m->desc.helpers = DEFAULT_HELPERS;
    if (!m->desc.news_most)
        m->desc.news_most = DEFAULT_NEWS;
    m->rng = bbm_rng_of(desc->seed);
    TAILQ_INIT(&m->outputs);
    bbm_member self = desc->self;
    self.run = desc->run;
    self.version = 1;
    self.status = BBM_MEMBER_ALIVE;
    members_row *r = members_add_row(m, &self);
    r->tells = TELLS_PER_DOUBLING;
    return m;
}

void
bbm_members_destroy(bbm_members *m)
{
    if (!m)
        return;
    members_queued *q;
    while ((q = TAILQ_FIRST(&m->outputs)) != NULL) {
        TAILQ_REMOVE(&m->outputs, q, link);
        members_free_output(q);
    }
    members_free_output(m->taken);
    free(m->rows);
    free(m);
}

void
bbm_members_seed(bbm_members *m, const char *name, const char *address)
{
    if (members_find_row(m, name))
        return;
    bbm_member info = {.status = BBM_MEMBER_DEAD};
    bbm_name_set(info.name, name);
    bbm_text_set(info.address, BBM_ADDRESS_SIZE, address);
    members_add_row(m, &info);
    m->order_at = (size_t)bbm_rng_below(&m->rng, m->len);
}

void
bbm_members_join(bbm_members *m, const char addresses[][BBM_ADDRESS_SIZE],
                 size_t len)
{
    m->join_len = len < BBM_JOIN_MOST ? len : BBM_JOIN_MOST;
    m->join_asked = 0;
    for (size_t i = 0; i < m->join_len; i++)
        bbm_text_set(m->join[i], BBM_ADDRESS_SIZE, addresses[i]);
}

void
bbm_members_describe(bbm_members *m, bool ready, bool leaving, uint32_t load,
                     uint64_t revision)
{
    members_row *self = members_self_row(m);
    bbm_member *info = &self->info;
    /* Small changes of load are no news. */
    uint32_t far = info->load / 4 + 4;
    bool moved = load > info->load + far || load + far < info->load;
    bool same = info->ready == ready && info->leaving == leaving
                && info->revision == revision;
    if (same && !moved)
        return;
    info->ready = ready;
    info->leaving = leaving;
    info->load = load;
    info->revision = revision;
    info->version++;
    self->tells = members_tells_needed(m);
}

const bbm_member *
bbm_members_find(const bbm_members *m, const char *name)
{
    const members_row *r = members_find_row(m, name);
    return r ? &r->info : NULL;
}

const bbm_member *
bbm_members_at(const bbm_members *m, size_t i)
{
    return i < m->len ? &m->rows[i].info : NULL;
}

size_t
bbm_members_count(const bbm_members *m)
{
    return m->len;
}

const char *
bbm_member_status_text(bbm_member_status status)
{
    switch (status) {
    case BBM_MEMBER_ALIVE:
        return "alive";
    case BBM_MEMBER_SUSPECT:
        return "suspect";
    case BBM_MEMBER_DEAD:
        break;
    }
    return "dead";
}
