#include "bbm_members.h"

#include "bbm_codes.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define FORMAT 1
#define DEFAULT_PERIOD BBM_SECOND
#define DEFAULT_SUSPICION (7 * BBM_SECOND)
#define DEFAULT_FORGET (600 * BBM_SECOND)
#define DEFAULT_HELPERS 3
#define DEFAULT_NEWS 6
/* News are told so many times for each doubling of the fleet. */
#define TELLS_PER_DOUBLING 3
/* Everything known goes to one random member each so many periods. */
#define SYNC_PERIODS 300
/* Pings that may be under way. */
#define PROBES_MOST 8

typedef enum message_kind {
    MESSAGE_PING,
    MESSAGE_ACK,
    MESSAGE_HELP, /* ping a third one */
    MESSAGE_SYNC, /* all members; answered in kind when asked */
    MESSAGE_KINDS,
} message_kind;

typedef struct row {
    bbm_member info;
    uint32_t tells; /* times that its news are still to be told */
    bbm_time dead_at;
} row;

typedef struct probe {
    uint64_t seq; /* 0: free */
    char target[BBM_NAME_SIZE];
    char asker[BBM_NAME_SIZE]; /* on whose behalf, or empty */
    uint64_t asker_seq;
    bbm_time sent;
    bool helped;
} probe;

typedef struct queued {
    bbm_members_output out;
    TAILQ_ENTRY(queued) link;
} queued;

struct bbm_members {
    bbm_members_desc desc;
    bbm_rng rng;
    row *rows; /* by name */
    size_t len;
    size_t cap;
    probe probes[PROBES_MOST];
    uint64_t next_seq;
    bbm_time next_ping;
    uint64_t periods;
    size_t order_at; /* round of pings */
    bbm_time now;
    TAILQ_HEAD(, queued) outputs;
    queued *taken;
};

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

static row *
find_row(const bbm_members *m, const char *name)
{
    bool found;
    size_t at = find_place(m, name, &found);
    return found ? &m->rows[at] : NULL;
}

static row *
self_row(const bbm_members *m)
{
    row *r = find_row(m, m->desc.self.name);
    assert(r);
    return r;
}

static row *
add_row(bbm_members *m, const bbm_member *info)
{
    bool found;
    size_t at = find_place(m, info->name, &found);
    assert(!found);
    if (m->len >= BBM_MEMBERS_MOST)
        return NULL;
    bbm_grow(&m->rows, &m->cap, m->len, sizeof(row));
    memmove(&m->rows[at + 1], &m->rows[at], (m->len - at) * sizeof(row));
    m->rows[at] = (row){.info = *info};
    m->len++;
    return &m->rows[at];
}

static void
remove_row(bbm_members *m, size_t at)
{
    m->len--;
    memmove(&m->rows[at], &m->rows[at + 1], (m->len - at) * sizeof(row));
}

static uint32_t
tells_needed(const bbm_members *m)
{
    uint32_t doublings = 1;
    for (size_t n = m->len; n > 1; n /= 2)
        doublings++;
    return doublings * TELLS_PER_DOUBLING;
}

/* ---- outputs ---- */

static bbm_members_output *
add_output(bbm_members *m)
{
    queued *q = bbm_calloc(1, sizeof(*q));
    TAILQ_INSERT_TAIL(&m->outputs, q, link);
    return &q->out;
}

static void
free_output(queued *q)
{
    if (!q)
        return;
    bbm_buf_free(&q->out.bytes);
    free(q);
}

bbm_members_output *
bbm_members_take(bbm_members *m)
{
    free_output(m->taken);
    m->taken = TAILQ_FIRST(&m->outputs);
    if (!m->taken)
        return NULL;
    TAILQ_REMOVE(&m->outputs, m->taken, link);
    return &m->taken->out;
}

static void
set_status(bbm_members *m, row *r, bbm_member_status status)
{
    if (r->info.status == status)
        return;
    r->info.status = status;
    r->info.since = m->now;
    r->tells = tells_needed(m);
    bbm_members_output *out = add_output(m);
    out->changed = true;
    bbm_name_set(out->to, r->info.name);
}

/* ---- messages ---- */

static void
put_member(bbm_buf *buf, const bbm_member *info)
{
    bbm_put_str(buf, info->name);
    bbm_put_str(buf, info->address);
    bbm_put_str(buf, info->entry);
    bbm_put_str(buf, info->zone);
    bbm_put_u64(buf, info->run);
    bbm_put_u64(buf, info->version);
    bbm_put_u64(buf, info->ready);
    bbm_put_u64(buf, info->leaving);
    bbm_put_u64(buf, info->load);
    bbm_put_u64(buf, info->revision);
    bbm_put_u64(buf, info->status);
}

static void
get_address(bbm_reader *rd, char address[BBM_ADDRESS_SIZE])
{
    bbm_bytes got = bbm_get_bytes(rd);
    memset(address, 0, BBM_ADDRESS_SIZE);
    if (got.len >= BBM_ADDRESS_SIZE)
        rd->failed = true;
    else if (got.len)
        memcpy(address, got.data, got.len);
}

static void
get_member(bbm_reader *rd, bbm_member *info)
{
    *info = (bbm_member){0};
    bbm_get_name(rd, info->name);
    get_address(rd, info->address);
    get_address(rd, info->entry);
    bbm_get_name(rd, info->zone);
    info->run = bbm_get_u64(rd);
    info->version = bbm_get_u64(rd);
    info->ready = bbm_get_u32(rd, 1) != 0;
    info->leaving = bbm_get_u32(rd, 1) != 0;
    info->load = bbm_get_u32(rd, UINT32_MAX);
    info->revision = bbm_get_u64(rd);
    info->status = (bbm_member_status)bbm_get_u32(rd, BBM_MEMBER_DEAD);
    if (!info->name[0])
        rd->failed = true;
}

static void
put_news(bbm_members *m, bbm_buf *buf, const char *to)
{
    /* The receiver first learns what is thought of it, so that it can refute
       a suspicion; then the least told news. */
    const row *picked[BBM_MEMBERS_MOST > 64 ? 64 : BBM_MEMBERS_MOST];
    size_t len = 0;
    const row *target = find_row(m, to);
    if (target && target->info.status != BBM_MEMBER_ALIVE)
        picked[len++] = target;
    while (len < m->desc.news_most) {
        row *best = NULL;
        for (size_t i = 0; i < m->len; i++) {
            row *r = &m->rows[i];
            bool taken = false;
            for (size_t j = 0; j < len; j++)
                taken = taken || picked[j] == r;
            if (!taken && r->tells && (!best || r->tells > best->tells))
                best = r;
        }
        if (!best)
            break;
        best->tells--;
        picked[len++] = best;
    }
    bbm_put_u64(buf, len);
    for (size_t i = 0; i < len; i++)
        put_member(buf, &picked[i]->info);
}

static bbm_buf *
start_message(bbm_members *m, message_kind kind, const char *to,
              const char *address, uint64_t seq)
{
    bbm_members_output *out = add_output(m);
    bbm_name_set(out->to, to);
    memcpy(out->address, address, BBM_ADDRESS_SIZE);
    bbm_put_u64(&out->bytes, FORMAT);
    bbm_put_u64(&out->bytes, kind);
    bbm_put_u64(&out->bytes, seq);
    put_member(&out->bytes, &self_row(m)->info);
    return &out->bytes;
}

static void
send_simple(bbm_members *m, message_kind kind, const bbm_member *to,
            uint64_t seq)
{
    bbm_buf *buf = start_message(m, kind, to->name, to->address, seq);
    put_news(m, buf, to->name);
}

static void
send_sync(bbm_members *m, const bbm_member *to, bool ask)
{
    bbm_buf *buf = start_message(m, MESSAGE_SYNC, to->name, to->address, ask);
    bbm_put_u64(buf, m->len);
    for (size_t i = 0; i < m->len; i++)
        put_member(buf, &m->rows[i].info);
}

/* ---- probing ---- */

static probe *
new_probe(bbm_members *m, const char *target)
{
    probe *oldest = &m->probes[0];
    for (size_t i = 0; i < PROBES_MOST; i++) {
        probe *p = &m->probes[i];
        if (!p->seq || p->seq < oldest->seq)
            oldest = p;
        if (!p->seq)
            break;
    }
    *oldest = (probe){.seq = ++m->next_seq, .sent = m->now};
    bbm_name_set(oldest->target, target);
    return oldest;
}

static void
ping(bbm_members *m, const bbm_member *target)
{
    const probe *p = new_probe(m, target->name);
    bbm_member to = *target;
    send_simple(m, MESSAGE_PING, &to, p->seq);
}

/* Members in turn, from a random start; a dead one now and then, for after a
   partition both sides think each other dead. */
static const bbm_member *
next_target(bbm_members *m)
{
    for (size_t tries = 0; tries < m->len; tries++) {
        m->order_at = (m->order_at + 1) % m->len;
        const bbm_member *info = &m->rows[m->order_at].info;
        bool self = strcmp(info->name, m->desc.self.name) == 0;
        if (!self && info->address[0])
            return info;
    }
    return NULL;
}

static void
ask_helpers(bbm_members *m, probe *p)
{
    p->helped = true;
    for (uint32_t i = 0; i < m->desc.helpers; i++) {
        size_t at = (size_t)bbm_rng_below(&m->rng, m->len);
        bbm_member helper = m->rows[at].info;
        bool usable = helper.status == BBM_MEMBER_ALIVE
                      && strcmp(helper.name, m->desc.self.name) != 0
                      && strcmp(helper.name, p->target) != 0;
        if (!usable)
            continue;
        bbm_buf *buf = start_message(m, MESSAGE_HELP, helper.name,
                                     helper.address, p->seq);
        bbm_put_str(buf, p->target);
        put_news(m, buf, helper.name);
    }
}

static void
check_probes(bbm_members *m)
{
    for (size_t i = 0; i < PROBES_MOST; i++) {
        probe *p = &m->probes[i];
        if (!p->seq)
            continue;
        bbm_time waited = m->now - p->sent;
        if (waited >= m->desc.timeout && !p->helped && !p->asker[0])
            ask_helpers(m, p);
        if (waited < 3 * m->desc.timeout)
            continue;
        row *r = find_row(m, p->target);
        bool suspect = r && !p->asker[0] && r->info.status == BBM_MEMBER_ALIVE;
        p->seq = 0;
        if (suspect)
            set_status(m, r, BBM_MEMBER_SUSPECT);
    }
}

static void
check_suspects(bbm_members *m)
{
    for (size_t i = 0; i < m->len; i++) {
        row *r = &m->rows[i];
        bbm_time age = m->now - r->info.since;
        if (r->info.status == BBM_MEMBER_SUSPECT && age >= m->desc.suspicion)
            set_status(m, r, BBM_MEMBER_DEAD);
        else if (r->info.status == BBM_MEMBER_DEAD && r->info.run
                 && age >= m->desc.forget)
            remove_row(m, i--);
    }
}

/* After a freeze everyone seems silent; the fault is here.  Probes under way
   and the age of suspicions are started again. */
static void
forgive_freeze(bbm_members *m, bbm_time gap)
{
    for (size_t i = 0; i < PROBES_MOST; i++)
        m->probes[i].seq = 0;
    for (size_t i = 0; i < m->len; i++) {
        if (m->rows[i].info.status == BBM_MEMBER_SUSPECT)
            m->rows[i].info.since += gap;
    }
}

void
bbm_members_tick(bbm_members *m, bbm_time now)
{
    bbm_time gap = now - m->now;
    if (m->now && gap > m->desc.period)
        forgive_freeze(m, gap);
    m->now = now;
    check_probes(m);
    check_suspects(m);
    if (now < m->next_ping)
        return;
    m->next_ping = now + m->desc.period;
    m->periods++;
    const bbm_member *target = next_target(m);
    if (!target)
        return;
    bbm_member to = *target;
    ping(m, &to);
    if (m->periods % SYNC_PERIODS == 1)
        send_sync(m, &to, true);
}

/* ---- receiving ---- */

static void
refute(bbm_members *m, const bbm_member *said)
{
    row *self = self_row(m);
    bool ours = said->run == self->info.run;
    if (ours && said->status == BBM_MEMBER_ALIVE)
        return;
    /* A higher version than any that is going round. */
    if (said->version >= self->info.version)
        self->info.version = said->version + 1;
    self->tells = tells_needed(m);
}

/* A later run replaces an earlier one, and whatever a member says itself
   (`direct`) replaces another run.  Within a run the later version counts,
   and within a version the graver status. */
static bool
is_newer(const bbm_member *have, const bbm_member *said, bool direct)
{
    if (have->run != said->run)
        return direct || said->run > have->run;
    if (said->version != have->version)
        return said->version > have->version;
    return said->status > have->status;
}

static void
hear(bbm_members *m, const bbm_member *said, bool direct)
{
    if (strcmp(said->name, m->desc.self.name) == 0) {
        refute(m, said);
        return;
    }
    row *r = find_row(m, said->name);
    if (!r) {
        if (said->status == BBM_MEMBER_DEAD)
            return;
        r = add_row(m, said);
        if (!r)
            return;
        r->info.since = m->now;
        r->tells = tells_needed(m);
        bbm_members_output *out = add_output(m);
        out->changed = true;
        bbm_name_set(out->to, said->name);
        return;
    }
    if (!is_newer(&r->info, said, direct))
        return;
    bool new_run = r->info.run != said->run;
    bbm_member_status status = r->info.status;
    bbm_time since = r->info.since;
    r->info = *said;
    r->info.status = status;
    r->info.since = since;
    r->tells = tells_needed(m);
    if (new_run && status == said->status) {
        r->info.since = m->now;
        bbm_members_output *out = add_output(m);
        out->changed = true;
        bbm_name_set(out->to, said->name);
    }
    set_status(m, r, said->status);
}

static void
hear_list(bbm_members *m, bbm_reader *rd, size_t most)
{
    size_t len = bbm_get_u32(rd, (uint32_t)most);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_member said;
        get_member(rd, &said);
        if (!rd->failed)
            hear(m, &said, false);
    }
}

static void
on_ack(bbm_members *m, uint64_t seq)
{
    for (size_t i = 0; i < PROBES_MOST; i++) {
        probe *p = &m->probes[i];
        if (p->seq != seq || !seq)
            continue;
        const row *asker = p->asker[0] ? find_row(m, p->asker) : NULL;
        uint64_t asker_seq = p->asker_seq;
        p->seq = 0;
        if (asker) {
            bbm_member to = asker->info;
            send_simple(m, MESSAGE_ACK, &to, asker_seq);
        }
        return;
    }
}

static void
on_help(bbm_members *m, bbm_reader *rd, const bbm_member *from, uint64_t seq)
{
    char target[BBM_NAME_SIZE];
    bbm_get_name(rd, target);
    const row *r = rd->failed ? NULL : find_row(m, target);
    if (!r)
        return;
    bbm_member to = r->info;
    probe *p = new_probe(m, target);
    bbm_name_set(p->asker, from->name);
    p->asker_seq = seq;
    send_simple(m, MESSAGE_PING, &to, p->seq);
}

int
bbm_members_receive(bbm_members *m, const uint8_t *data, size_t len,
                    bbm_time now)
{
    if (now > m->now)
        m->now = now;
    bbm_reader rd = bbm_reader_of(data, len);
    bool known = bbm_get_u64(&rd) == FORMAT;
    message_kind kind = (message_kind)bbm_get_u32(&rd, MESSAGE_KINDS - 1);
    uint64_t seq = bbm_get_u64(&rd);
    bbm_member from;
    get_member(&rd, &from);
    if (!known || rd.failed)
        return BBM_ERR_DECODE;
    from.status = BBM_MEMBER_ALIVE;
    bool stranger = !find_row(m, from.name);
    hear(m, &from, true);
    switch (kind) {
    case MESSAGE_PING:
        hear_list(m, &rd, m->desc.news_most + 1);
        send_simple(m, MESSAGE_ACK, &from, seq);
        break;
    case MESSAGE_ACK:
        hear_list(m, &rd, m->desc.news_most + 1);
        on_ack(m, seq);
        break;
    case MESSAGE_HELP:
        on_help(m, &rd, &from, seq);
        hear_list(m, &rd, m->desc.news_most + 1);
        break;
    case MESSAGE_SYNC:
        hear_list(m, &rd, BBM_MEMBERS_MOST);
        if (seq)
            send_sync(m, &from, false);
        break;
    case MESSAGE_KINDS:
        break;
    }
    if (stranger && kind != MESSAGE_SYNC)
        send_sync(m, &from, true);
    return rd.failed ? BBM_ERR_DECODE : BBM_OK;
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
    row *r = add_row(m, &self);
    r->tells = TELLS_PER_DOUBLING;
    return m;
}

void
bbm_members_destroy(bbm_members *m)
{
    if (!m)
        return;
    queued *q;
    while ((q = TAILQ_FIRST(&m->outputs)) != NULL) {
        TAILQ_REMOVE(&m->outputs, q, link);
        free_output(q);
    }
    free_output(m->taken);
    free(m->rows);
    free(m);
}

void
bbm_members_seed(bbm_members *m, const char *name, const char *address)
{
    if (find_row(m, name))
        return;
    bbm_member info = {.status = BBM_MEMBER_DEAD};
    bbm_name_set(info.name, name);
    bbm_text_set(info.address, BBM_ADDRESS_SIZE, address);
    add_row(m, &info);
    m->order_at = (size_t)bbm_rng_below(&m->rng, m->len);
}

void
bbm_members_describe(bbm_members *m, bool ready, bool leaving, uint32_t load,
                     uint64_t revision)
{
    row *self = self_row(m);
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
    self->tells = tells_needed(m);
}

const bbm_member *
bbm_members_find(const bbm_members *m, const char *name)
{
    const row *r = find_row(m, name);
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
