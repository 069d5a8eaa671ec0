#include "members_core.h"

#include <string.h>

/* Probes and the timers of the detector. */

/* Time until a probe fails, in ack timeouts: the second and the third are for
   the answers to ping requests. */
#define PROBE_ACK_TIMEOUTS_COUNT 3
/* Interval at which the full member list is exchanged with the member that is
   pinged. */
#define SYNC_INTERVAL_PERIODS 300
/* One seed is queried in each of the first periods, and later in every
   SEED_QUERY_INTERVAL_PERIODS-th one: after a partition each side may have
   removed the members of the other. */
#define SEED_INITIAL_QUERY_COUNT 30
/* The probe period is divided by this during the initial queries. */
#define SEED_INITIAL_PERIOD_DIVISOR 3
#define SEED_QUERY_INTERVAL_PERIODS 20
/* Expected number of members that ping a suspect in each period. */
#define SUSPECT_PINGERS_COUNT 8

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
    *oldest = (members_probe){.seq = ++m->last_seq, .sent_at = m->now};
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

/* Round robin over the members from a random start.  Dead members are
   included: after a partition each side has declared the other dead. */
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
send_ping_requests(bbm_members *m, members_probe *p)
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
        members_end_message(m, buf);
    }
}

static void
check_probes(bbm_members *m)
{
    for (size_t i = 0; i < PROBES_MAX; i++) {
        members_probe *p = &m->probes[i];
        if (!p->seq)
            continue;
        bbm_time elapsed = m->now - p->sent_at;
        if (elapsed >= m->desc.ack_timeout && !p->indirect_sent
            && !p->requester[0])
            send_ping_requests(m, p);
        if (elapsed < PROBE_ACK_TIMEOUTS_COUNT * m->desc.ack_timeout)
            continue;
        members_row *r = members_find_row(m, p->target);
        bool suspect =
            r && !p->requester[0] && r->info.status == BBM_MEMBER_ALIVE;
        p->seq = 0;
        if (suspect)
            members_set_status(m, r, BBM_MEMBER_SUSPECT);
    }
}

/* Configured members that were never contacted (run 0) stay in the table. */
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

/* After a pause of this process (a frozen VM, for instance) no member seems to
   answer, although the pause is local.  Pending probes are dropped, and the
   timeouts of suspicions are extended by the pause. */
static void
compensate_pause(bbm_members *m, bbm_time pause)
{
    for (size_t i = 0; i < PROBES_MAX; i++)
        m->probes[i].seq = 0;
    for (size_t i = 0; i < m->len; i++) {
        if (m->rows[i].info.status == BBM_MEMBER_SUSPECT)
            m->rows[i].info.status_since += pause;
    }
}

/* Suspects are pinged, so that they can refute the suspicion in the answer. In
   each period only a few of all members do so: otherwise a frozen member would
   find thousands of pings when it resumes. */
static void
ping_suspects(bbm_members *m)
{
    for (size_t i = 0; i < m->len; i++) {
        const bbm_member *info = &m->rows[i].info;
        bool is_chosen =
            bbm_rng_below(&m->rng, m->len) < SUSPECT_PINGERS_COUNT;
        if (info->status == BBM_MEMBER_SUSPECT && is_chosen)
            ping(m, info);
    }
}

static void
query_seeds(bbm_members *m)
{
    if (!m->seeds_len)
        return;
    m->seed_periods++;
    if (m->seed_periods > SEED_INITIAL_QUERY_COUNT
        && m->seed_periods % SEED_QUERY_INTERVAL_PERIODS != 0)
        return;
    size_t at =
        m->seed_periods <= SEED_INITIAL_QUERY_COUNT
            ? m->seed_periods % m->seeds_len
            : m->seed_periods / SEED_QUERY_INTERVAL_PERIODS % m->seeds_len;
    bbm_member to = {0};
    memcpy(to.address, m->seeds[at], sizeof(to.address));
    if (strcmp(to.address, members_self_row(m)->info.address) != 0)
        members_send_sync(m, &to, true);
}

void
bbm_members_tick(bbm_members *m, bbm_time now)
{
    bbm_time pause = now - m->now;
    if (m->now && pause > m->desc.probe_period)
        compensate_pause(m, pause);
    m->now = now;
    check_probes(m);
    check_suspects(m);
    if (now < m->next_ping_at)
        return;
    bool initial = m->seeds_len && m->seed_periods < SEED_INITIAL_QUERY_COUNT;
    m->next_ping_at =
        now
        + (initial ? m->desc.probe_period / SEED_INITIAL_PERIOD_DIVISOR
                   : m->desc.probe_period);
    m->periods++;
    ping_suspects(m);
    query_seeds(m);
    const bbm_member *target = next_target(m);
    if (!target)
        return;
    bbm_member to = *target;
    ping(m, &to);
    if (m->periods % SYNC_INTERVAL_PERIODS == 1)
        members_send_sync(m, &to, true);
}
