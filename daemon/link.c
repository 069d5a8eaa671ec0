#include "link.h"

void
link_open(link_life *life, bbm_time now)
{
    *life = (link_life){.trying_since = now};
}

void
link_connected(link_life *life, bbm_time now)
{
    life->connected_at = now;
}

/* Moves the spans on, so that the current one includes @p now. */
static void
advance_window(link_life *life, bbm_time now)
{
    bbm_time passed = now - life->window_at;
    if (passed < LINK_UNACKED_TIMEOUT)
        return;
    life->earlier_sent =
        passed < 2 * LINK_UNACKED_TIMEOUT ? life->window_sent : 0;
    life->window_sent = 0;
    life->window_at = now;
}

link_loss
link_take_loss(link_life *life, uint64_t losses, bbm_time now)
{
    if (losses == life->losses)
        return (link_loss){0};
    advance_window(life, now);
    link_loss loss = {
        .lost = true,
        .age =
            now
            - (life->connected_at ? life->connected_at : life->trying_since),
        .idle = life->sent_at ? now - life->sent_at : 0,
        .unproved = life->window_sent + life->earlier_sent,
    };
    life->losses = losses;
    life->trying_since = now;
    life->connected_at = 0;
    life->window_sent = 0;
    life->earlier_sent = 0;
    return loss;
}

link_decision
link_before_send(const link_life *life, bool connected, bbm_time now)
{
    bool late = now - life->trying_since > LINK_CONNECT_TIMEOUT;
    return !connected && late ? LINK_REOPEN : LINK_USE;
}

void
link_sent(link_life *life, bbm_time now)
{
    advance_window(life, now);
    life->window_sent++;
    life->sent_at = now;
}
