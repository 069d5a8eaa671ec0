#include "bbm_turns.h"

#include "bbm_hash.h"

#include <math.h>
#include <string.h>

/* With a higher limit, a turn allows several requests, so that the number of
   turns to look at is bounded. */
#define TURNS_PER_S_MAX 50.0
/* A calendar that is set back by more starts the search anew; by less, the
   turns that it repeats are left out. */
#define SET_BACK_MAX (5 * BBM_SECOND)

void
bbm_turns_set_limit(bbm_turns *t, double limit, bbm_time now)
{
    if (limit < BBM_TURN_RATE_MIN)
        limit = BBM_TURN_RATE_MIN;
    if (limit == t->limit)
        return;
    if (t->limit <= 0 || t->searched_to > now)
        t->searched_to = now;
    t->limit = limit;
    t->ahead_len = 0;
}

void
bbm_turns_remove_limit(bbm_turns *t)
{
    *t = (bbm_turns){0};
}

static uint32_t
requests_per_turn(const bbm_turns *t)
{
    return (uint32_t)ceil(t->limit / TURNS_PER_S_MAX);
}

static bbm_time
turn_length(const bbm_turns *t)
{
    return (bbm_time)((double)BBM_SECOND / t->limit
                      * (double)requests_per_turn(t));
}

static uint64_t
weight_of(const bbm_turn_order *order, int64_t turn, uint64_t vm)
{
    uint64_t seed = bbm_hash64(&turn, sizeof(turn), order->id);
    return bbm_hash64(&vm, sizeof(vm), seed);
}

bool
bbm_turn_is_own(const bbm_turn_order *order, int64_t turn)
{
    uint64_t own = weight_of(order, turn, order->self);
    for (size_t i = 0; i < order->vms_len; i++) {
        if (order->vms[i] != order->self
            && weight_of(order, turn, order->vms[i]) > own)
            return false;
    }
    return true;
}

uint64_t
bbm_turn_owner(const bbm_turn_order *order, int64_t turn)
{
    uint64_t owner = order->self;
    uint64_t highest = weight_of(order, turn, owner);
    for (size_t i = 0; i < order->vms_len; i++) {
        uint64_t weight = weight_of(order, turn, order->vms[i]);
        if (weight <= highest)
            continue;
        highest = weight;
        owner = order->vms[i];
    }
    return owner;
}

/* Largest number of requests for which a VM has turns at the same time: its
   share of the limit over the time that a turn lasts. */
static uint32_t
available_max(const bbm_turns *t, const bbm_turn_order *order)
{
    double vms = order->vms_len ? (double)order->vms_len : 1;
    double share = t->limit * (double)BBM_TURN_TIME / (double)BBM_SECOND / vms;
    uint32_t max = (uint32_t)ceil(share);
    return max > requests_per_turn(t) ? max : requests_per_turn(t);
}

static void
search_turns(bbm_turns *t, const bbm_turn_order *order, bbm_time until)
{
    bbm_time length = turn_length(t);
    int64_t turn = t->searched_to / length + 1;
    for (; turn * length <= until && t->ahead_len < BBM_TURNS_AHEAD_MAX;
         turn++) {
        if (bbm_turn_is_own(order, turn))
            t->ahead[t->ahead_len++] = turn * length;
        t->searched_to = turn * length;
    }
    if (t->ahead_len < BBM_TURNS_AHEAD_MAX)
        t->searched_to = until;
}

static void
grant_turns(bbm_turns *t, const bbm_turn_order *order, bbm_time now)
{
    uint32_t max = available_max(t, order);
    size_t due = 0;
    while (due < t->ahead_len && t->ahead[due] <= now) {
        t->granted_at = t->ahead[due++];
        t->available += requests_per_turn(t);
        if (t->available > max)
            t->available = max;
    }
    t->ahead_len -= due;
    memmove(t->ahead, t->ahead + due, t->ahead_len * sizeof(*t->ahead));
    if (now - t->granted_at > BBM_TURN_TIME)
        t->available = 0;
}

void
bbm_turns_update(bbm_turns *t, const bbm_turn_order *order, bbm_time now)
{
    if (t->limit <= 0)
        return;
    bbm_time until = now + BBM_TURN_LOOKAHEAD;
    if (t->searched_to < now - BBM_TURN_TIME) {
        t->searched_to = now - BBM_TURN_TIME;
        t->ahead_len = 0;
    }
    else if (t->searched_to > until + SET_BACK_MAX) {
        t->searched_to = now;
        t->ahead_len = 0;
    }
    if (until > t->searched_to)
        search_turns(t, order, until);
    grant_turns(t, order, now);
}

void
bbm_turns_take(bbm_turns *t)
{
    if (t->available)
        t->available--;
}
