#include "raft_core.h"

#include <string.h>

/* Membership as of the last entry of the log, and quorums. */

int
raft_position(const bbm_raft *r, bbm_member_id id)
{
    for (size_t i = 0; i < r->group.len; i++) {
        if (r->group.members[i].id == id)
            return (int)i;
    }
    return -1;
}

bool
raft_is_voter(const bbm_raft *r)
{
    int pos = raft_position(r, r->desc.id);
    return pos >= 0 && r->group.members[pos].voter;
}

size_t
raft_quorum(const bbm_raft *r)
{
    size_t voters = 0;
    for (size_t i = 0; i < r->group.len; i++)
        voters += r->group.members[i].voter;
    return voters / 2 + 1;
}

int64_t
raft_quorum_value(const bbm_raft *r, const int64_t *values)
{
    int64_t sorted[BBM_RAFT_MEMBERS_MAX];
    size_t len = 0;
    for (size_t i = 0; i < r->group.len; i++) {
        if (!r->group.members[i].voter)
            continue;
        size_t pos = len++;
        while (pos > 0 && sorted[pos - 1] < values[i]) {
            sorted[pos] = sorted[pos - 1];
            pos--;
        }
        sorted[pos] = values[i];
    }
    return len ? sorted[raft_quorum(r) - 1] : 0;
}

static bool
same_group(const bbm_raft_group *a, const bbm_raft_group *b)
{
    if (a->len != b->len)
        return false;
    for (size_t i = 0; i < a->len; i++) {
        if (a->members[i].id != b->members[i].id
            || a->members[i].voter != b->members[i].voter)
            return false;
    }
    return true;
}

void
raft_reload_group(bbm_raft *r)
{
    bbm_raft_group old_group = r->group;
    raft_peer old[BBM_RAFT_MEMBERS_MAX];
    memcpy(old, r->peers, sizeof(old));
    raft_log_group(&r->log, &r->group);
    memset(r->peers, 0, sizeof(r->peers));
    for (size_t i = 0; i < r->group.len; i++) {
        bbm_member_id id = r->group.members[i].id;
        r->peers[i] =
            (raft_peer){.id = id, .next_index = raft_log_last(&r->log) + 1};
        for (size_t j = 0; j < old_group.len; j++) {
            if (old_group.members[j].id == id)
                r->peers[i] = old[j];
        }
    }
    if (!same_group(&old_group, &r->group))
        raft_queue_output(r, BBM_RAFT_GROUP);
}
