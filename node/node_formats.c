/** @file
 *  Which format each VM reads (see bbm_format.h).
 *
 *  A VM that states none is given what builds of the same time were last seen
 *  to write, until its own reports show more.  For what must not be misread,
 *  control state, it counts as the oldest.
 */
#include "node_core.h"

bbm_format
node_known_format(const bbm_node *n, const char *vm)
{
    if (n->desc.format < BBM_FORMAT_STATED)
        return n->desc.format;
    const bbm_member *m = bbm_members_find(n->members, vm);
    bbm_format format = m ? m->format : BBM_FORMAT_UNKNOWN;
    return format < n->desc.format ? format : n->desc.format;
}

bbm_format
node_news_format(const bbm_node *n, const char *vm)
{
    bbm_format format = node_known_format(n, vm);
    return format ? format : n->unstated_format;
}

bbm_format
node_state_format(const bbm_node *n, const char *vm)
{
    bbm_format format = node_known_format(n, vm);
    return format ? format : BBM_FORMAT_PLACEMENTS;
}

bbm_format
node_group_format(const bbm_node *n)
{
    bbm_format least = n->desc.format;
    const bbm_raft_group *g = bbm_raft_group_of(n->raft);
    for (size_t i = 0; i < g->len; i++) {
        if (g->members[i].id == n->desc.disk_id)
            continue;
        bbm_format format = node_state_format(n, g->members[i].name);
        least = format < least ? format : least;
    }
    return least;
}

bbm_state *
node_create_state(const bbm_node *n)
{
    return bbm_state_create(
        &(bbm_state_desc){.revision_texts_max = n->desc.revision_texts_max,
                          .format = n->desc.format});
}

bbm_format
node_oldest_format(const bbm_node *n)
{
    bbm_format least = n->desc.format;
    const bbm_member *m;
    for (size_t i = 0; (m = bbm_members_at(n->members, i)) != NULL; i++) {
        if (node_member_alive(m) && m->format < least)
            least = m->format;
    }
    return least;
}

void
node_observe_format(bbm_node *n, const char *vm, bbm_format format)
{
    const bbm_member *m = bbm_members_find(n->members, vm);
    if (m && m->format >= BBM_FORMAT_STATED)
        return;
    n->unstated_format = format;
    if (!m || m->format >= format)
        return;
    bbm_members_observe_format(n->members, vm, format);
    bbm_action *a = node_log_event(n, BBM_EVENT_OLDER_FORMAT);
    node_log_text(a, "subject", vm);
    node_log_number(a, "format", format);
    node_log_number(a, "own_format", n->desc.format);
}
