#include "watcher_report.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ID_DIGITS 32

static bool
parse_hex64(const char *digits, uint64_t *value)
{
    *value = 0;
    for (int i = 0; i < 16; i++) {
        char c = digits[i];
        uint64_t d;
        if (c >= '0' && c <= '9')
            d = (uint64_t)(c - '0');
        else if (c >= 'a' && c <= 'f')
            d = (uint64_t)(c - 'a') + 10;
        else
            return false;
        *value = *value << 4 | d;
    }
    return true;
}

/* [number, "s" or "r", "32 hexadecimal digits"] */
static bool
parse_event(const json_t *row, bbm_cache_event *event)
{
    json_t *number = json_array_get(row, 0);
    const char *kind = json_string_value(json_array_get(row, 1));
    const char *id = json_string_value(json_array_get(row, 2));
    bool good = json_is_integer(number) && json_integer_value(number) > 0
                && kind && id && strlen(id) == ID_DIGITS
                && (strcmp(kind, "s") == 0 || strcmp(kind, "r") == 0);
    if (!good)
        return false;
    event->sequence = (uint64_t)json_integer_value(number);
    event->removed = kind[0] == 'r';
    return parse_hex64(id, &event->id.high)
           && parse_hex64(id + 16, &event->id.low);
}

static bool
parse_events(const json_t *list, bbm_report *report, bbm_cache_event **events)
{
    size_t len = json_array_size(list);
    if (len > REPORT_EVENTS_MAX)
        return false;
    *events = bbm_calloc(len, sizeof(**events));
    for (size_t i = 0; i < len; i++) {
        if (!parse_event(json_array_get(list, i), &(*events)[i]))
            return false;
    }
    report->events = *events;
    report->events_len = len;
    return true;
}

static uint64_t
number_of(const json_t *doc, const char *name, uint64_t most, bool *good)
{
    json_t *value = json_object_get(doc, name);
    bool fits = json_is_integer(value) && json_integer_value(value) >= 0
                && (uint64_t)json_integer_value(value) <= most;
    if (!fits)
        *good = false;
    return fits ? (uint64_t)json_integer_value(value) : 0;
}

static bool
parse_fields(const json_t *doc, bbm_report *r)
{
    bool good = true;
    const char *run = json_string_value(json_object_get(doc, "incarnation"));
    const char *weights = json_string_value(json_object_get(doc, "weights"));
    if (!run || !weights || strlen(weights) >= BBM_NAME_SIZE)
        return false;
    char *end = NULL;
    r->incarnation = strtoull(run, &end, 10);
    if (!*run || *end || !r->incarnation)
        return false;
    bbm_name_set(r->weights, weights);
    r->running = (uint32_t)number_of(doc, "running", UINT32_MAX, &good);
    r->queued = (uint32_t)number_of(doc, "queued", UINT32_MAX, &good);
    r->backlog_tokens =
        (double)number_of(doc, "backlog_tokens", 1000000000000, &good);
    r->age = (bbm_time)number_of(doc, "age_ms", 3600000, &good) * BBM_MS;
    r->first_event = number_of(doc, "first_event", INT64_MAX, &good);
    r->last_event = number_of(doc, "last_event", INT64_MAX, &good);
    r->leaving = json_is_true(json_object_get(doc, "leaving"));
    r->loading = json_is_true(json_object_get(doc, "loading"));
    r->is_snapshot = json_is_true(json_object_get(doc, "whole"));
    return good;
}

int
watcher_report_parse(const char *text, size_t len, bbm_report *report,
                     bbm_cache_event **events)
{
    *report = (bbm_report){0};
    *events = NULL;
    json_error_t error;
    json_t *doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
    bool good =
        json_is_object(doc) && parse_fields(doc, report)
        && parse_events(json_object_get(doc, "events"), report, events);
    json_decref(doc);
    if (good)
        return BBM_OK;
    free(*events);
    *events = NULL;
    return BBM_ERR_DECODE;
}
