#include "bbm_releases.h"

#include "bbm_codes.h"
#include "bbm_mem.h"

#include <stdlib.h>
#include <string.h>

#define SHARE_MAX 1000

void
bbm_releases_free(bbm_releases *all)
{
    free(all->items);
    *all = (bbm_releases){0};
}

const bbm_release_info *
bbm_releases_latest(const bbm_releases *all, const char *pool)
{
    for (size_t i = all->len; i > 0; i--) {
        if (strcmp(all->items[i - 1].pool, pool) == 0)
            return &all->items[i - 1];
    }
    return NULL;
}

static bool
is_same_order(const bbm_release_info *a, const bbm_release_info *b)
{
    return strcmp(a->pool, b->pool) == 0 && strcmp(a->build, b->build) == 0
           && a->duration_ms == b->duration_ms;
}

static void
remove_at(bbm_releases *all, size_t i)
{
    all->len--;
    memmove(all->items + i, all->items + i + 1,
            (all->len - i) * sizeof(*all->items));
}

/* Removes the oldest release that has ended, of one pool or of any (NULL).
   False if there is none. */
static bool
remove_oldest(bbm_releases *all, const char *pool)
{
    for (size_t i = 0; i < all->len; i++) {
        const bbm_release_info *r = &all->items[i];
        if (r->state == BBM_RELEASE_IN_PROGRESS
            || (pool && strcmp(r->pool, pool) != 0))
            continue;
        remove_at(all, i);
        return true;
    }
    return false;
}

static bool
make_room(bbm_releases *all, const char *pool)
{
    size_t of_pool = 0;
    for (size_t i = 0; i < all->len; i++)
        of_pool += strcmp(all->items[i].pool, pool) == 0;
    if (of_pool >= BBM_RELEASES_PER_POOL)
        remove_oldest(all, pool);
    return all->len < BBM_RELEASES_MAX || remove_oldest(all, NULL);
}

int
bbm_releases_order(bbm_releases *all, const bbm_release_info *order,
                   uint64_t *serial)
{
    for (size_t i = all->len; i > 0; i--) {
        if (is_same_order(&all->items[i - 1], order)) {
            *serial = all->items[i - 1].serial;
            return BBM_OK;
        }
    }
    const bbm_release_info *latest = bbm_releases_latest(all, order->pool);
    if (latest && latest->state == BBM_RELEASE_IN_PROGRESS)
        return BBM_ERR_CONFLICT;
    if (!make_room(all, order->pool))
        return BBM_ERR_BUSY;
    bbm_release_info r = {
        .serial = ++all->last_serial,
        .duration_ms = order->duration_ms,
        .share = order->share < SHARE_MAX ? order->share : SHARE_MAX,
    };
    bbm_name_set(r.pool, order->pool);
    bbm_name_set(r.build, order->build);
    bbm_grow(&all->items, &all->cap, all->len, sizeof(*all->items));
    all->items[all->len++] = r;
    *serial = r.serial;
    return BBM_OK;
}

static bbm_release_info *
find(bbm_releases *all, uint64_t serial)
{
    for (size_t i = 0; i < all->len; i++) {
        if (all->items[i].serial == serial)
            return &all->items[i];
    }
    return NULL;
}

int
bbm_releases_step(bbm_releases *all, const bbm_release_info *change)
{
    bbm_release_info *r = find(all, change->serial);
    if (!r)
        return BBM_ERR_NOT_FOUND;
    if (change->fence < r->fence)
        return BBM_ERR_ORDER_FENCED;
    if (r->state != BBM_RELEASE_IN_PROGRESS || change->step != r->step)
        return BBM_ERR_CONFLICT;
    r->state = change->state;
    r->stage = change->stage;
    r->share = change->share < SHARE_MAX ? change->share : SHARE_MAX;
    r->fence = change->fence;
    r->age_ms = change->age_ms > r->age_ms ? change->age_ms : r->age_ms;
    r->step++;
    return BBM_OK;
}

void
bbm_release_info_put(bbm_buf *buf, const bbm_release_info *r)
{
    bbm_put_u64(buf, r->serial);
    bbm_put_str(buf, r->pool);
    bbm_put_str(buf, r->build);
    bbm_put_u64(buf, r->duration_ms);
    bbm_put_u64(buf, r->state);
    bbm_put_u64(buf, r->stage);
    bbm_put_u64(buf, r->share);
    bbm_put_u64(buf, r->step);
    bbm_put_u64(buf, r->fence);
    bbm_put_u64(buf, r->age_ms);
}

void
bbm_release_info_get(bbm_reader *rd, bbm_release_info *r)
{
    *r = (bbm_release_info){.serial = bbm_get_u64(rd)};
    bbm_get_name(rd, r->pool);
    bbm_get_name(rd, r->build);
    r->duration_ms = bbm_get_u64(rd);
    r->state = (bbm_release_state)bbm_get_u32(rd, BBM_RELEASE_REVERTED);
    r->stage = (bbm_release_stage)bbm_get_u32(rd, BBM_RELEASE_FULL);
    r->share = bbm_get_u32(rd, SHARE_MAX);
    r->step = bbm_get_u64(rd);
    r->fence = bbm_get_u64(rd);
    r->age_ms = bbm_get_u64(rd);
}

void
bbm_releases_encode(const bbm_releases *all, bbm_buf *buf)
{
    bbm_put_u64(buf, all->last_serial);
    bbm_put_u64(buf, all->len);
    for (size_t i = 0; i < all->len; i++)
        bbm_release_info_put(buf, &all->items[i]);
}

void
bbm_releases_decode(bbm_releases *all, bbm_reader *rd)
{
    all->last_serial = bbm_get_u64(rd);
    size_t len = bbm_get_u32(rd, BBM_RELEASES_MAX);
    for (size_t i = 0; i < len && !rd->failed; i++) {
        bbm_grow(&all->items, &all->cap, all->len, sizeof(*all->items));
        bbm_release_info_get(rd, &all->items[all->len++]);
    }
}
