#include "bbm_room.h"

/* Share of the slots and of the backlog that requests get which can't meet
   their target latency any more. */
#define LATE_SHARE 0.7
/* Age of the load that is known of a runner: until then as many requests may
   wait there as end in that time. */
#define LOAD_AGE_MS 150.0

double
bbm_room_slots(const bbm_room_load *load, bool late)
{
    double slots = load->slots;
    if (load->slot_ms > 0)
        slots += load->slots * LOAD_AGE_MS / load->slot_ms;
    return slots * (late ? LATE_SHARE : 1) - load->open_ahead;
}

bool
bbm_room_is_full(const bbm_room_load *load, double tokens, bool late)
{
    double share = late ? LATE_SHARE : 1;
    return load->memory_tokens + tokens > load->memory_max
           || load->backlog_ms > load->backlog_max_ms * share
           || bbm_room_slots(load, late) <= 0;
}
