#include "members_core.h"

#include "bbm_codes.h"

#include <string.h>

/* ---- messages ---- */

static void
put_member(bbm_members *m, bbm_buf *buf, const bbm_member *info)
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
    bbm_put_u64(&m->formats, info->format);
    m->formats_len++;
}

static void
get_address(bbm_reader *rd, char address[BBM_ADDRESS_SIZE])
{
    bbm_bytes value = bbm_get_bytes(rd);
    memset(address, 0, BBM_ADDRESS_SIZE);
    if (value.len >= BBM_ADDRESS_SIZE)
        rd->failed = true;
    else if (value.len)
        memcpy(address, value.data, value.len);
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
    /* The receiver's own status comes first if it isn't alive, so that it can
       refute that; then the updates with the most sends left. */
    const members_row *picked[BBM_MEMBERS_MAX > 64 ? 64 : BBM_MEMBERS_MAX];
    size_t len = 0;
    const members_row *target = members_find_row(m, to);
    if (target && target->info.status != BBM_MEMBER_ALIVE)
        picked[len++] = target;
    while (len < m->desc.updates_max) {
        members_row *best = NULL;
        for (size_t i = 0; i < m->len; i++) {
            members_row *r = &m->rows[i];
            bool is_picked = false;
            for (size_t j = 0; j < len; j++)
                is_picked = is_picked || picked[j] == r;
            if (!is_picked && r->sends_left
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
        put_member(m, buf, &picked[i]->info);
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
    m->formats.len = 0;
    m->formats_len = 0;
    put_member(m, &out->bytes, &members_self_row(m)->info);
    return &out->bytes;
}

/* Builds that state no format ignore what follows the members. */
void
members_end_message(bbm_members *m, bbm_buf *buf)
{
    if (members_self_row(m)->info.format < BBM_FORMAT_STATED)
        return;
    bbm_put_u64(buf, m->formats_len);
    bbm_buf_add(buf, m->formats.data, m->formats.len);
}

void
members_send_with_updates(bbm_members *m, members_message_kind kind,
                          const bbm_member *to, uint64_t seq)
{
    bbm_buf *buf = members_start_message(m, kind, to->name, to->address, seq);
    members_put_updates(m, buf, to->name);
    members_end_message(m, buf);
}

void
members_send_sync(bbm_members *m, const bbm_member *to, bool want_reply)
{
    bbm_buf *buf = members_start_message(m, MEMBERS_SYNC, to->name,
                                         to->address, want_reply);
    bbm_put_u64(buf, m->len);
    for (size_t i = 0; i < m->len; i++)
        put_member(m, buf, &m->rows[i].info);
    members_end_message(m, buf);
}

/* ---- receiving ---- */

/* Processes an update about this VM itself.  If it is of another run or
   doesn't have the status alive, this VM's own state is sent again, with a
   version above that of the update. */
static void
refute(bbm_members *m, const bbm_member *update)
{
    members_row *self = members_self_row(m);
    bool same_run = update->run == self->info.run;
    if (same_run && update->status == BBM_MEMBER_ALIVE)
        return;
    /* A refutation needs a higher version than the refuted update. */
    if (update->version >= self->info.version)
        self->info.version = update->version + 1;
    self->sends_left = members_sends_needed(m);
}

/* A higher run supersedes a lower one; an update that comes from the member
   itself (`direct`) supersedes any other run.  Within a run the higher version
   wins, and within a version the higher status. */
static bool
supersedes(const bbm_member *current, const bbm_member *update, bool direct)
{
    if (current->run != update->run)
        return direct || update->run > current->run;
    if (update->version != current->version)
        return update->version > current->version;
    return update->status > current->status;
}

/* Applies an update to the row of its member, and disseminates it if it
   supersedes the row.  A member that isn't in the table is added unless it is
   dead.  `direct`: the update is the sender's description of itself. */
static void
apply_update(bbm_members *m, const bbm_member *update, bool direct)
{
    if (strcmp(update->name, m->desc.self.name) == 0) {
        refute(m, update);
        return;
    }
    members_row *r = members_find_row(m, update->name);
    if (!r) {
        if (update->status == BBM_MEMBER_DEAD)
            return;
        r = members_add_row(m, update);
        if (r)
            members_disseminate_change(m, r);
        return;
    }
    if (!supersedes(&r->info, update, direct))
        return;
    /* The status is set separately, so that a change of it is noticed.  The
       format stands at the end of the message. */
    bool new_run = r->info.run != update->run;
    bbm_member_status status = r->info.status;
    bbm_time since = r->info.status_since;
    bbm_format format = new_run ? BBM_FORMAT_UNKNOWN : r->info.format;
    r->info = *update;
    r->info.format = format;
    r->info.status = status;
    r->info.status_since = since;
    r->sends_left = members_sends_needed(m);
    if (new_run && status == update->status)
        members_disseminate_change(m, r);
    members_set_status(m, r, update->status);
}

/* Reads as many members as @p len says, which begin at the reader. */
static void
receive_updates(bbm_members *m, bbm_reader *rd, size_t max)
{
    size_t len = bbm_get_u32(rd, (uint32_t)max);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_member update;
        members_get_member(rd, &update);
        if (!rd->failed)
            apply_update(m, &update, false);
    }
}

void
bbm_members_observe_format(bbm_members *m, const char *name, bbm_format format)
{
    members_row *r = members_find_row(m, name);
    if (r && r->info.format < format)
        r->info.format = format;
}

/* Reads the formats at the end of a message; @p updates is at the members that
   follow the sender. */
static void
receive_formats(bbm_members *m, bbm_reader *rd, const bbm_member *from,
                bbm_reader updates)
{
    if (rd->failed || rd->pos == rd->len
        || m->desc.self.format < BBM_FORMAT_STATED)
        return;
    size_t len = bbm_get_u32(rd, BBM_MEMBERS_MAX + 1);
    bbm_get_u32(&updates, BBM_MEMBERS_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_member member = *from;
        if (i > 0)
            members_get_member(&updates, &member);
        uint32_t format = bbm_get_u32(rd, UINT32_MAX);
        const members_row *r = members_find_row(m, member.name);
        if (!rd->failed && !updates.failed && r && r != members_self_row(m)
            && r->info.run == member.run)
            bbm_members_observe_format(m, member.name, (bbm_format)format);
    }
}

/* Ends the probe.  If the ping was sent on request of another member, the
   answer is forwarded to that member with the number of its request. */
static void
on_ack(bbm_members *m, uint64_t seq)
{
    for (size_t i = 0; i < PROBES_MAX; i++) {
        members_probe *p = &m->probes[i];
        if (p->seq != seq || !seq)
            continue;
        const members_row *requester_row =
            p->requester[0] ? members_find_row(m, p->requester) : NULL;
        uint64_t requester_seq = p->requester_seq;
        p->seq = 0;
        if (requester_row) {
            bbm_member to = requester_row->info;
            members_send_with_updates(m, MEMBERS_ACK, &to, requester_seq);
        }
        return;
    }
}

static void
on_ping_req(bbm_members *m, bbm_reader *rd, const bbm_member *from,
            uint64_t seq)
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
    bool format_supported = bbm_get_u64(&rd) == MEMBERS_FORMAT;
    members_message_kind kind =
        (members_message_kind)bbm_get_u32(&rd, MEMBERS_KIND_COUNT - 1);
    uint64_t seq = bbm_get_u64(&rd);
    bbm_member from;
    members_get_member(&rd, &from);
    if (!format_supported || rd.failed)
        return BBM_ERR_DECODE;
    from.status = BBM_MEMBER_ALIVE;
    bool sender_is_new = !members_find_row(m, from.name);
    apply_update(m, &from, true);
    if (kind == MEMBERS_PING_REQ)
        on_ping_req(m, &rd, &from, seq);
    bbm_reader updates = rd;
    receive_updates(m, &rd,
                    kind == MEMBERS_SYNC ? BBM_MEMBERS_MAX
                                         : m->desc.updates_max + 1);
    receive_formats(m, &rd, &from, updates);
    switch (kind) {
    case MEMBERS_PING:
        members_send_with_updates(m, MEMBERS_ACK, &from, seq);
        break;
    case MEMBERS_ACK:
        on_ack(m, seq);
        break;
    case MEMBERS_SYNC:
        if (seq)
            members_send_sync(m, &from, false);
        break;
    case MEMBERS_PING_REQ:
    case MEMBERS_KIND_COUNT:
        break;
    }
    if (sender_is_new && kind != MEMBERS_SYNC)
        members_send_sync(m, &from, true);
    return rd.failed ? BBM_ERR_DECODE : BBM_OK;
}
