#include "members_core.h"

#include <string.h>

/* Pings, suspicion, and what time does to them. */

/* Everything known goes to one random member each so many periods. */
#define SYNC_PERIODS 300
/* The addresses to join by are asked each period at first, then each so many
   periods: after a partition both sides may have given each other up. */
#define JOIN_AT_FIRST 30
/* Periods are so much shorter then. */
#define JOIN_HASTE 3
#define JOIN_PERIODS 20
/* Members that ask a suspect again each period. */
#define SUSPECT_ASKERS 8

members_probe *
members_new_probe(bbm_members *m, const char *target)
{
    members_probe *oldest = &m->probes[0];
    for (size_t i = 0; i < PROBES_MAX; i++) {
        members_probe *p = &m->probes[i];
        if (!p->seq || p->seq < oldest->seq)
            oldest = p;
        if (!p->seq)
            break;
    }
    *oldest = (members_probe){.seq = ++m->next_seq, .sent_at = m->now};
    bbm_name_set(oldest->target, target);
    return oldest;
}

static void
ping(bbm_members *m, const bbm_member *target)
{
    const members_probe *p = members_new_probe(m, target->name);
    bbm_member to = *target;
    members_send_with_updates(m, MEMBERS_PING, &to, p->seq);
}

/* Members in turn, from a random start; a dead one now and then, for after a
   partition both sides think each other dead. */
static const bbm_member *
next_target(bbm_members *m)
{
    for (size_t tries = 0; tries < m->len; tries++) {
        m->ping_cursor = (m->ping_cursor + 1) % m->len;
        const bbm_member *info = &m->rows[m->ping_cursor].info;
        bool self = strcmp(info->name, m->desc.self.name) == 0;
        if (!self && info->address[0])
            return info;
    }
    return NULL;
}

static void
ask_helpers(bbm_members *m, members_probe *p)
{
    p->indirect_sent = true;
    for (uint32_t i = 0; i < m->desc.indirect_probes; i++) {
        size_t at = (size_t)bbm_rng_below(&m->rng, m->len);
        bbm_member helper = m->rows[at].info;
        bool usable = helper.status == BBM_MEMBER_ALIVE
                      && strcmp(helper.name, m->desc.self.name) != 0
                      && strcmp(helper.name, p->target) != 0;
        if (!usable)
            continue;
        bbm_buf *buf = members_start_message(m, MEMBERS_PING_REQ, helper.name,
                                             helper.address, p->seq);
        bbm_put_str(buf, p->target);
        members_put_updates(m, buf, helper.name);
    }
}

static void
check_probes(bbm_members *m)
{
    for (size_t i = 0; i < PROBES_MAX; i++) {
        members_probe *p = &m->probes[i];
        if (!p->seq)
            continue;
        bbm_time waited = m->now - p->sent_at;
        if (waited >= m->desc.ack_timeout && !p->indirect_sent
            && !p->requester[0])
            ask_helpers(m, p);
        if (waited < 3 * m->desc.ack_timeout)
            continue;
        members_row *r = members_find_row(m, p->target);
        bool suspect =
            r && !p->requester[0] && r->info.status == BBM_MEMBER_ALIVE;
        p->seq = 0;
        if (suspect)
            members_set_status(m, r, BBM_MEMBER_SUSPECT);
    }
}

static void
check_suspects(bbm_members *m)
{
    for (size_t i = 0; i < m->len; i++) {
        members_row *r = &m->rows[i];
        bbm_time age = m->now - r->info.status_since;
        if (r->info.status == BBM_MEMBER_SUSPECT
            && age >= m->desc.suspicion_timeout)
            members_set_status(m, r, BBM_MEMBER_DEAD);
        else if (r->info.status == BBM_MEMBER_DEAD && r->info.run
                 && age >= m->desc.forget_after)
            members_remove_row(m, i--);
    }
}

/* After a freeze everyone seems silent; the fault is here.  Probes under way
   and the age of suspicions are started again. */
static void
forgive_freeze(bbm_members *m, bbm_time gap)
{
    for (size_t i = 0; i < PROBES_MAX; i++)
        m->probes[i].seq = 0;
    for (size_t i = 0; i < m->len; i++) {
        if (m->rows[i].info.status == BBM_MEMBER_SUSPECT)
            m->rows[i].info.status_since += gap;
    }
}

/* A suspect is asked again, so that it can refute in its answer: by a few of
   all members each period, or a frozen one would find thousands of pings. */
static void
ask_suspects(bbm_members *m)
{
    for (size_t i = 0; i < m->len; i++) {
        const bbm_member *info = &m->rows[i].info;
        bool mine = bbm_rng_below(&m->rng, m->len) < SUSPECT_ASKERS;
        if (info->status == BBM_MEMBER_SUSPECT && mine)
            ping(m, info);
    }
}

static void
ask_to_join(bbm_members *m)
{
    if (!m->seeds_len)
        return;
    m->seed_requests++;
    if (m->seed_requests > JOIN_AT_FIRST
        && m->seed_requests % JOIN_PERIODS != 0)
        return;
    size_t at = m->seed_requests <= JOIN_AT_FIRST
                    ? m->seed_requests % m->seeds_len
                    : m->seed_requests / JOIN_PERIODS % m->seeds_len;
    bbm_member to = {0};
    memcpy(to.address, m->seeds[at], sizeof(to.address));
    if (strcmp(to.address, members_self_row(m)->info.address) != 0)
        members_send_sync(m, &to, true);
}

void
bbm_members_tick(bbm_members *m, bbm_time now)
{
    bbm_time gap = now - m->now;
    if (m->now && gap > m->desc.probe_period)
        forgive_freeze(m, gap);
    m->now = now;
    check_probes(m);
    check_suspects(m);
    if (now < m->next_ping_at)
        return;
    bool at_first = m->seeds_len && m->seed_requests < JOIN_AT_FIRST;
    m->next_ping_at = now
                      + (at_first ? m->desc.probe_period / JOIN_HASTE
                                  : m->desc.probe_period);
    m->periods++;
    ask_suspects(m);
    ask_to_join(m);
    const bbm_member *target = next_target(m);
    if (!target)
        return;
    bbm_member to = *target;
    ping(m, &to);
    if (m->periods % SYNC_PERIODS == 1)
        members_send_sync(m, &to, true);
}
