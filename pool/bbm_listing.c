#include "bbm_listing.h"

#include <stdlib.h>
#include <string.h>

/* ---- entries ---- */

static size_t
find_index(const bbm_listing *l, const char *id, bool *found)
{
    size_t low = 0;
    size_t high = l->len;
    *found = false;
    while (low < high) {
        size_t mid = (low + high) / 2;
        int order = strcmp(l->items[mid].id, id);
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

void
bbm_listing_add(bbm_listing *l, const bbm_listing_entry *item)
{
    bool found;
    size_t at = find_index(l, item->id, &found);
    if (!found) {
        if (l->len >= BBM_LISTING_MAX)
            return;
        bbm_grow(&l->items, &l->cap, l->len, sizeof(*l->items));
        memmove(&l->items[at + 1], &l->items[at],
                (l->len - at) * sizeof(*l->items));
        l->len++;
    }
    l->items[at] = *item;
}

bool
bbm_listing_remove(bbm_listing *l, const char *id)
{
    bool found;
    size_t at = find_index(l, id, &found);
    if (!found)
        return false;
    l->len--;
    memmove(&l->items[at], &l->items[at + 1],
            (l->len - at) * sizeof(*l->items));
    return true;
}

bbm_listing_entry *
bbm_listing_find(const bbm_listing *l, const char *id)
{
    bool found;
    size_t at = find_index(l, id, &found);
    return found ? &l->items[at] : NULL;
}

void
bbm_listing_copy(bbm_listing *to, const bbm_listing *from)
{
    bbm_listing_free(to);
    to->items = bbm_memdup(from->items, from->len * sizeof(*from->items));
    to->len = from->len;
    to->cap = from->len;
}

void
bbm_listing_free(bbm_listing *l)
{
    free(l->items);
    *l = (bbm_listing){0};
}

uint64_t
bbm_listing_entry_version(const bbm_listing_entry *u, const char *model)
{
    for (size_t i = 0; i < u->models_len; i++) {
        if (strcmp(u->models[i].name, model) == 0)
            return u->models[i].version;
    }
    return 0;
}

void
bbm_listing_entry_set_version(bbm_listing_entry *u, const char *model,
                              uint64_t version)
{
    for (size_t i = 0; i < u->models_len; i++) {
        if (strcmp(u->models[i].name, model) == 0) {
            u->models[i].version = version;
            return;
        }
    }
    if (u->models_len == BBM_RUNNER_MODELS_MAX)
        return;
    bbm_loaded_model *added = &u->models[u->models_len++];
    bbm_name_set(added->name, model);
    added->version = version;
}

/* ---- differences ---- */

static bool
is_same(const bbm_listing_entry *a, const bbm_listing_entry *b)
{
    bool same =
        strcmp(a->pool, b->pool) == 0 && strcmp(a->address, b->address) == 0
        && strcmp(a->zone, b->zone) == 0 && strcmp(a->build, b->build) == 0
        && a->started_at_ms == b->started_at_ms && a->slots == b->slots
        && a->leaving == b->leaving && a->loading == b->loading
        && a->models_len == b->models_len;
    for (size_t i = 0; same && i < a->models_len; i++)
        same = strcmp(a->models[i].name, b->models[i].name) == 0
               && a->models[i].version == b->models[i].version;
    return same;
}

static void
put_item(bbm_buf *buf, const bbm_listing_entry *u)
{
    bbm_put_str(buf, u->id);
    bbm_put_str(buf, u->pool);
    bbm_put_str(buf, u->address);
    bbm_put_str(buf, u->zone);
    bbm_put_u64(buf, u->started_at_ms);
    bbm_put_u64(buf, u->slots);
    bbm_put_u64(buf, u->leaving);
    bbm_put_u64(buf, u->loading);
    bbm_put_u64(buf, u->models_len);
    for (size_t i = 0; i < u->models_len; i++) {
        bbm_put_str(buf, u->models[i].name);
        bbm_put_u64(buf, u->models[i].version);
    }
}

static void
get_item(bbm_reader *rd, bbm_listing_entry *u)
{
    *u = (bbm_listing_entry){0};
    bbm_get_name(rd, u->id);
    bbm_get_name(rd, u->pool);
    bbm_get_name(rd, u->address);
    bbm_get_name(rd, u->zone);
    u->started_at_ms = bbm_get_u64(rd);
    u->slots = bbm_get_u32(rd, UINT32_MAX);
    u->leaving = bbm_get_u32(rd, 1) != 0;
    u->loading = bbm_get_u32(rd, 1) != 0;
    u->models_len = bbm_get_u32(rd, BBM_RUNNER_MODELS_MAX);
    for (size_t i = 0; i < u->models_len; i++) {
        bbm_get_name(rd, u->models[i].name);
        u->models[i].version = bbm_get_u64(rd);
    }
}

/* Builds follow the rest of the message: a VM that was started before they
   were sent writes none. */
static void
put_builds(bbm_buf *buf, const bbm_listing *before, const bbm_listing *now)
{
    for (size_t i = 0; i < now->len; i++) {
        const bbm_listing_entry *u = &now->items[i];
        const bbm_listing_entry *old = bbm_listing_find(before, u->id);
        if (!old || !is_same(old, u))
            bbm_put_str(buf, u->build);
    }
}

size_t
bbm_listing_diff(const bbm_listing *before, const bbm_listing *now,
                 bool with_builds, bbm_buf *buf)
{
    static const bbm_listing none = {0};
    if (!before)
        before = &none;
    size_t changed = 0;
    size_t removed = 0;
    bbm_buf items = {0};
    bbm_buf ids = {0};
    for (size_t i = 0; i < now->len; i++) {
        const bbm_listing_entry *old =
            bbm_listing_find(before, now->items[i].id);
        if (old && is_same(old, &now->items[i]))
            continue;
        put_item(&items, &now->items[i]);
        changed++;
    }
    for (size_t i = 0; i < before->len; i++) {
        if (bbm_listing_find(now, before->items[i].id))
            continue;
        bbm_put_str(&ids, before->items[i].id);
        removed++;
    }
    bbm_put_u64(buf, changed);
    bbm_buf_add(buf, items.data, items.len);
    bbm_put_u64(buf, removed);
    bbm_buf_add(buf, ids.data, ids.len);
    if (with_builds)
        put_builds(buf, before, now);
    bbm_buf_free(&items);
    bbm_buf_free(&ids);
    return changed + removed;
}

/* Reads the builds of the changed entries, if the message has them. */
static void
get_builds(bbm_listing *l, bbm_reader *rd, char (*ids)[BBM_NAME_SIZE],
           size_t len)
{
    if (rd->failed || rd->pos == rd->len)
        return;
    for (size_t i = 0; i < len && !rd->failed; i++) {
        char build[BBM_NAME_SIZE];
        bbm_get_name(rd, build);
        bbm_listing_entry *u = bbm_listing_find(l, ids[i]);
        if (u && !rd->failed)
            bbm_name_set(u->build, build);
    }
}

void
bbm_listing_patch(bbm_listing *l, bbm_reader *rd, bool with_builds)
{
    size_t changed = bbm_get_u32(rd, BBM_LISTING_MAX);
    BBM_AUTO_FREE char(*ids)[BBM_NAME_SIZE] =
        bbm_calloc(changed + 1, sizeof(*ids));
    for (size_t i = 0; i < changed && !rd->failed; i++) {
        bbm_listing_entry u;
        get_item(rd, &u);
        bbm_name_set(ids[i], u.id);
        if (!rd->failed)
            bbm_listing_add(l, &u);
    }
    size_t removed = bbm_get_u32(rd, BBM_LISTING_MAX);
    for (size_t i = 0; i < removed && !rd->failed; i++) {
        char id[BBM_NAME_SIZE];
        bbm_get_name(rd, id);
        bbm_listing_remove(l, id);
    }
    if (with_builds)
        get_builds(l, rd, ids, changed);
}
