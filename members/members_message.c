#include "members_core.h"

#include "bbm_codes.h"

#include <string.h>

/* ---- messages ---- */

static void
put_member(bbm_buf *buf, const bbm_member *info)
{
    bbm_put_str(buf, info->name);
    bbm_put_str(buf, info->address);
    bbm_put_str(buf, info->entry_url);
    bbm_put_str(buf, info->zone);
    bbm_put_u64(buf, info->run);
    bbm_put_u64(buf, info->version);
    bbm_put_u64(buf, info->ready);
    bbm_put_u64(buf, info->leaving);
    bbm_put_u64(buf, info->open_requests);
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

void
members_get_member(bbm_reader *rd, bbm_member *info)
{
    *info = (bbm_member){0};
    bbm_get_name(rd, info->name);
    get_address(rd, info->address);
    get_address(rd, info->entry_url);
    bbm_get_name(rd, info->zone);
    info->run = bbm_get_u64(rd);
    info->version = bbm_get_u64(rd);
    info->ready = bbm_get_u32(rd, 1) != 0;
    info->leaving = bbm_get_u32(rd, 1) != 0;
    info->open_requests = bbm_get_u32(rd, UINT32_MAX);
    info->revision = bbm_get_u64(rd);
    info->status = (bbm_member_status)bbm_get_u32(rd, BBM_MEMBER_DEAD);
    if (!info->name[0])
        rd->failed = true;
}

void
members_put_updates(bbm_members *m, bbm_buf *buf, const char *to)
{
    /* The receiver first learns what is thought of it, so that it can refute
       a suspicion; then the least told news. */
    const members_row *picked[BBM_MEMBERS_MAX > 64 ? 64 : BBM_MEMBERS_MAX];
    size_t len = 0;
    const members_row *target = members_find_row(m, to);
    if (target && target->info.status != BBM_MEMBER_ALIVE)
        picked[len++] = target;
    while (len < m->desc.updates_max) {
        members_row *best = NULL;
        for (size_t i = 0; i < m->len; i++) {
            members_row *r = &m->rows[i];
            bool taken = false;
            for (size_t j = 0; j < len; j++)
                taken = taken || picked[j] == r;
            if (!taken && r->sends_left
                && (!best || r->sends_left > best->sends_left))
                best = r;
        }
        if (!best)
            break;
        best->sends_left--;
        picked[len++] = best;
    }
    bbm_put_u64(buf, len);
    for (size_t i = 0; i < len; i++)
        put_member(buf, &picked[i]->info);
}

bbm_buf *
members_start_message(bbm_members *m, members_message_kind kind,
                      const char *to, const char *address, uint64_t seq)
{
    bbm_members_output *out = members_add_output(m);
    bbm_name_set(out->member, to);
    memcpy(out->address, address, BBM_ADDRESS_SIZE);
    bbm_put_u64(&out->bytes, MEMBERS_FORMAT);
    bbm_put_u64(&out->bytes, kind);
    bbm_put_u64(&out->bytes, seq);
    put_member(&out->bytes, &members_self_row(m)->info);
    return &out->bytes;
}

void
members_send_with_updates(bbm_members *m, members_message_kind kind,
                          const bbm_member *to, uint64_t seq)
{
    bbm_buf *buf = members_start_message(m, kind, to->name, to->address, seq);
    members_put_updates(m, buf, to->name);
}

void
members_send_sync(bbm_members *m, const bbm_member *to, bool ask)
{
    bbm_buf *buf =
        members_start_message(m, MEMBERS_SYNC, to->name, to->address, ask);
    bbm_put_u64(buf, m->len);
    for (size_t i = 0; i < m->len; i++)
        put_member(buf, &m->rows[i].info);
}

/* ---- receiving ---- */

static void
refute(bbm_members *m, const bbm_member *said)
{
    members_row *self = members_self_row(m);
    bool ours = said->run == self->info.run;
    if (ours && said->status == BBM_MEMBER_ALIVE)
        return;
    /* A higher version than any that is going round. */
    if (said->version >= self->info.version)
        self->info.version = said->version + 1;
    self->sends_left = members_sends_needed(m);
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
    members_row *r = members_find_row(m, said->name);
    if (!r) {
        if (said->status == BBM_MEMBER_DEAD)
            return;
        r = members_add_row(m, said);
        if (r)
            members_disseminate_change(m, r);
        return;
    }
    if (!is_newer(&r->info, said, direct))
        return;
    bool new_run = r->info.run != said->run;
    bbm_member_status status = r->info.status;
    bbm_time since = r->info.status_since;
    r->info = *said;
    r->info.status = status;
    r->info.status_since = since;
    r->sends_left = members_sends_needed(m);
    if (new_run && status == said->status)
        members_disseminate_change(m, r);
    members_set_status(m, r, said->status);
}

static void
hear_list(bbm_members *m, bbm_reader *rd, size_t most)
{
    size_t len = bbm_get_u32(rd, (uint32_t)most);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_member said;
        members_get_member(rd, &said);
        if (!rd->failed)
            hear(m, &said, false);
    }
}

static void
on_ack(bbm_members *m, uint64_t seq)
{
    for (size_t i = 0; i < PROBES_MAX; i++) {
        members_probe *p = &m->probes[i];
        if (p->seq != seq || !seq)
            continue;
        const members_row *asker =
            p->requester[0] ? members_find_row(m, p->requester) : NULL;
        uint64_t asker_seq = p->requester_seq;
        p->seq = 0;
        if (asker) {
            bbm_member to = asker->info;
            members_send_with_updates(m, MEMBERS_ACK, &to, asker_seq);
        }
        return;
    }
}

static void
on_help(bbm_members *m, bbm_reader *rd, const bbm_member *from, uint64_t seq)
{
    char target[BBM_NAME_SIZE];
    bbm_get_name(rd, target);
    const members_row *r = rd->failed ? NULL : members_find_row(m, target);
    if (!r)
        return;
    bbm_member to = r->info;
    members_probe *p = members_new_probe(m, target);
    bbm_name_set(p->requester, from->name);
    p->requester_seq = seq;
    members_send_with_updates(m, MEMBERS_PING, &to, p->seq);
}

int
bbm_members_receive(bbm_members *m, const uint8_t *data, size_t len,
                    bbm_time now)
{
    if (now > m->now)
        m->now = now;
    bbm_reader rd = bbm_reader_of(data, len);
    bool known = bbm_get_u64(&rd) == MEMBERS_FORMAT;
    members_message_kind kind =
        (members_message_kind)bbm_get_u32(&rd, MEMBERS_KIND_COUNT - 1);
    uint64_t seq = bbm_get_u64(&rd);
    bbm_member from;
    members_get_member(&rd, &from);
    if (!known || rd.failed)
        return BBM_ERR_DECODE;
    from.status = BBM_MEMBER_ALIVE;
    bool stranger = !members_find_row(m, from.name);
    hear(m, &from, true);
    switch (kind) {
    case MEMBERS_PING:
        hear_list(m, &rd, m->desc.updates_max + 1);
        members_send_with_updates(m, MEMBERS_ACK, &from, seq);
        break;
    case MEMBERS_ACK:
        hear_list(m, &rd, m->desc.updates_max + 1);
        on_ack(m, seq);
        break;
    case MEMBERS_PING_REQ:
        on_help(m, &rd, &from, seq);
        hear_list(m, &rd, m->desc.updates_max + 1);
        break;
    case MEMBERS_SYNC:
        hear_list(m, &rd, BBM_MEMBERS_MAX);
        if (seq)
            members_send_sync(m, &from, false);
        break;
    case MEMBERS_KIND_COUNT:
        break;
    }
    if (stranger && kind != MEMBERS_SYNC)
        members_send_sync(m, &from, true);
    return rd.failed ? BBM_ERR_DECODE : BBM_OK;
}
