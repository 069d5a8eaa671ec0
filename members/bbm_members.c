#include "members_core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PROBE_PERIOD BBM_SECOND
#define DEFAULT_SUSPICION_TIMEOUT (7 * BBM_SECOND)
#define DEFAULT_FORGET_AFTER (600 * BBM_SECOND)
#define DEFAULT_INDIRECT_PROBES_COUNT 3
#define DEFAULT_UPDATES_MAX_COUNT 6
/* Number of messages that carry an update, for each doubling of the number
   of members. */
#define SENDS_PER_DOUBLING 3

/* ---- rows ---- */

/* Index of a name, or the index to insert it at. */
static size_t
find_index(const bbm_members *m, const char *name, bool *found)
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
    size_t at = find_index(m, name, &found);
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
    size_t at = find_index(m, info->name, &found);
    assert(!found);
    if (m->len >= BBM_MEMBERS_MAX)
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
members_sends_needed(const bbm_members *m)
{
    uint32_t doublings = 1;
    for (size_t n = m->len; n > 1; n /= 2)
        doublings++;
    return doublings * SENDS_PER_DOUBLING;
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
bbm_members_next_output(bbm_members *m)
{
    members_free_output(m->current_output);
    m->current_output = TAILQ_FIRST(&m->outputs);
    if (!m->current_output)
        return NULL;
    TAILQ_REMOVE(&m->outputs, m->current_output, link);
    return &m->current_output->out;
}

void
members_disseminate_change(bbm_members *m, members_row *r)
{
    r->info.status_since = m->now;
    r->sends_left = members_sends_needed(m);
    bbm_members_output *out = members_add_output(m);
    out->changed = true;
    bbm_name_set(out->member, r->info.name);
}

void
members_set_status(bbm_members *m, members_row *r, bbm_member_status status)
{
    if (r->info.status == status)
        return;
    r->info.status = status;
    members_disseminate_change(m, r);
}

/* ---- public functions ---- */

bbm_members *
bbm_members_create(const bbm_members_desc *desc)
{
    assert(desc->self.name[0]);
    bbm_members *m = bbm_calloc(1, sizeof(*m));
    m->desc = *desc;
    if (!m->desc.probe_period)
        m->desc.probe_period = DEFAULT_PROBE_PERIOD;
    if (!m->desc.ack_timeout)
        m->desc.ack_timeout = m->desc.probe_period / 2;
    if (!m->desc.suspicion_timeout)
        m->desc.suspicion_timeout = DEFAULT_SUSPICION_TIMEOUT;
    if (!m->desc.forget_after)
        m->desc.forget_after = DEFAULT_FORGET_AFTER;
    if (!m->desc.indirect_probes)
        m->desc.indirect_probes = DEFAULT_INDIRECT_PROBES_COUNT;
    if (!m->desc.updates_max)
        m->desc.updates_max = DEFAULT_UPDATES_MAX_COUNT;
    m->rng = bbm_rng_of(desc->seed);
    TAILQ_INIT(&m->outputs);
    bbm_member self = desc->self;
    self.run = desc->run;
    self.version = 1;
    self.status = BBM_MEMBER_ALIVE;
    members_row *r = members_add_row(m, &self);
    r->sends_left = SENDS_PER_DOUBLING;
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
    members_free_output(m->current_output);
    bbm_buf_free(&m->formats);
    free(m->rows);
    free(m);
}

void
bbm_members_add_peer(bbm_members *m, const char *name, const char *address)
{
    if (members_find_row(m, name))
        return;
    bbm_member info = {.status = BBM_MEMBER_DEAD};
    bbm_name_set(info.name, name);
    bbm_text_set(info.address, BBM_ADDRESS_SIZE, address);
    members_add_row(m, &info);
    m->ping_cursor = (size_t)bbm_rng_below(&m->rng, m->len);
}

void
bbm_members_set_seeds(bbm_members *m, const char addresses[][BBM_ADDRESS_SIZE],
                      size_t len)
{
    m->seeds_len = len < BBM_SEEDS_MAX ? len : BBM_SEEDS_MAX;
    m->seed_periods = 0;
    for (size_t i = 0; i < m->seeds_len; i++)
        bbm_text_set(m->seeds[i], BBM_ADDRESS_SIZE, addresses[i]);
}

void
bbm_members_update_self(bbm_members *m, bool ready, bool leaving,
                        uint32_t open_requests, uint64_t revision)
{
    members_row *self = members_self_row(m);
    bbm_member *info = &self->info;
    /* A change of load is sent only if it exceeds a quarter of the last sent
       value plus 4 requests. */
    uint32_t threshold = info->open_requests / 4 + 4;
    bool load_changed = open_requests > info->open_requests + threshold
                        || open_requests + threshold < info->open_requests;
    bool same = info->ready == ready && info->leaving == leaving
                && info->revision == revision;
    if (same && !load_changed)
        return;
    info->ready = ready;
    info->leaving = leaving;
    info->open_requests = open_requests;
    info->revision = revision;
    info->version++;
    self->sends_left = members_sends_needed(m);
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
