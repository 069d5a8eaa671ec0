#include "watcher_report.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ID_HEX_DIGITS 32

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

/* Parses [sequence number, "s" (stored) or "r" (removed), block id as 32
   hexadecimal digits]. */
static bool
parse_event(const json_t *row, bbm_cache_event *event)
{
    json_t *number = json_array_get(row, 0);
    const char *kind = json_string_value(json_array_get(row, 1));
    const char *id = json_string_value(json_array_get(row, 2));
    bool valid = json_is_integer(number) && json_integer_value(number) > 0
                 && kind && id && strlen(id) == ID_HEX_DIGITS
                 && (strcmp(kind, "s") == 0 || strcmp(kind, "r") == 0);
    if (!valid)
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

/* Reads an integer from 0 to max; 0 with *valid cleared if it is not one. */
static uint64_t
read_number(const json_t *doc, const char *name, uint64_t max, bool *valid)
{
    json_t *value = json_object_get(doc, name);
    bool in_range = json_is_integer(value) && json_integer_value(value) >= 0
                    && (uint64_t)json_integer_value(value) <= max;
    if (!in_range)
        *valid = false;
    return in_range ? (uint64_t)json_integer_value(value) : 0;
}

static bool
parse_fields(const json_t *doc, bbm_report *r)
{
    bool valid = true;
    const char *run = json_string_value(json_object_get(doc, "incarnation"));
    const char *weights = json_string_value(json_object_get(doc, "weights"));
    if (!run || !weights || strlen(weights) >= BBM_NAME_SIZE)
        return false;
    char *end = NULL;
    r->incarnation = strtoull(run, &end, 10);
    if (!*run || *end || !r->incarnation)
        return false;
    bbm_name_set(r->weights, weights);
    r->running = (uint32_t)read_number(doc, "running", UINT32_MAX, &valid);
    r->queued = (uint32_t)read_number(doc, "queued", UINT32_MAX, &valid);
    r->backlog_tokens =
        (double)read_number(doc, "backlog_tokens", 1000000000000, &valid);
    r->age = (bbm_time)read_number(doc, "age_ms", 3600000, &valid) * BBM_MS;
    r->first_event = read_number(doc, "first_event", INT64_MAX, &valid);
    r->last_event = read_number(doc, "last_event", INT64_MAX, &valid);
    r->leaving = json_is_true(json_object_get(doc, "leaving"));
    r->loading = json_is_true(json_object_get(doc, "loading"));
    r->is_snapshot = json_is_true(json_object_get(doc, "whole"));
    return valid;
}

int
watcher_report_parse(const char *text, size_t len, bbm_report *report,
                     bbm_cache_event **events)
{
    *report = (bbm_report){0};
    *events = NULL;
    json_error_t error;
    json_t *doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
    bool valid =
        json_is_object(doc) && parse_fields(doc, report)
        && parse_events(json_object_get(doc, "events"), report, events);
    json_decref(doc);
    if (valid)
        return BBM_OK;
    free(*events);
    *events = NULL;
    return BBM_ERR_DECODE;
}
