#include "bbm_retry.h"

bbm_retry_budget
bbm_retry_budget_of(double retries_per_request, double retries_max)
{
    return (bbm_retry_budget){.retries_per_request = retries_per_request,
                              .retries_max = retries_max};
}

void
bbm_retry_fill(bbm_retry_budget *b)
{
    b->available = b->retries_max;
}

void
bbm_retry_set_max(bbm_retry_budget *b, double retries_max)
{
    b->retries_max = retries_max;
    if (b->available > retries_max)
        b->available = retries_max;
}

void
bbm_retry_record_request(bbm_retry_budget *b)
{
    b->available += b->retries_per_request;
    if (b->available > b->retries_max)
        b->available = b->retries_max;
}

void
bbm_retry_retract_request(bbm_retry_budget *b)
{
    b->available -= b->retries_per_request;
    if (b->available < 0)
        b->available = 0;
}

bool
bbm_retry_acquire(bbm_retry_budget *b)
{
    if (b->available < 1)
        return false;
    b->available -= 1;
    return true;
}
