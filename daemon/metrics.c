#include "metrics.h"

#include "clients.h"
#include "connections.h"
#include "exchange.h"

#include <malloc.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct metric {
    const char *name;
    const char *type;
    const char *help;
    size_t offset; /* of a uint64_t in bbm_node_counts */
} metric;

#define AT(field) offsetof(bbm_node_counts, field)
/* Names and help texts are part of the interface to collectors. */
static const metric metrics[] = {
    {"requests_total", "counter", "Requests taken in", AT(requests)},
    {"started_total", "counter", "Attempts started", AT(started)},
    {"retries_total", "counter", "Attempts after the first", AT(retries)},
    {"finished_total", "counter", "Answers that came whole", AT(finished)},
    {"failed_total", "counter", "Requests that ended with an error",
     AT(failed)},
    {"cut_total", "counter", "Requests cut by the router", AT(aborted)},
    {"refused_rate_total", "counter", "Refused: rate used up",
     AT(refused_rate)},
    {"refused_load_total", "counter", "Refused: could not start in time",
     AT(refused_load)},
    {"refused_key_total", "counter", "Refused: key missing, bad or stale",
     AT(refused_key)},
    {"refused_other_total", "counter", "Refused: other causes",
     AT(refused_other)},
    {"prompt_tokens_total", "counter", "Prompt tokens started",
     AT(prompt_tokens)},
    {"cached_tokens_total", "counter", "Prompt tokens expected cached",
     AT(cached_tokens)},
    {"elsewhere_tokens_total", "counter",
     "Prompt tokens cached at another runner only", AT(elsewhere_tokens)},
    {"output_tokens_total", "counter", "Tokens generated", AT(output_tokens)},
    {"claims_total", "counter", "Idempotency claims made", AT(claims)},
    {"repeats_total", "counter", "Repeats answered from a claim", AT(repeats)},
    {"messages_out_total", "counter", "Messages to daemons", AT(messages_out)},
    {"message_bytes_out_total", "counter", "Bytes of messages to daemons",
     AT(bytes_out)},
    {"message_bytes_control_in_zone_total", "counter",
     "Bytes of control messages sent in the zone",
     AT(traffic[BBM_TRAFFIC_CONTROL].in_zone)},
    {"message_bytes_control_out_zone_total", "counter",
     "Bytes of control messages sent to other zones",
     AT(traffic[BBM_TRAFFIC_CONTROL].out_zone)},
    {"message_bytes_members_in_zone_total", "counter",
     "Bytes of membership messages sent in the zone",
     AT(traffic[BBM_TRAFFIC_MEMBERS].in_zone)},
    {"message_bytes_members_out_zone_total", "counter",
     "Bytes of membership messages sent to other zones",
     AT(traffic[BBM_TRAFFIC_MEMBERS].out_zone)},
    {"message_bytes_rates_in_zone_total", "counter",
     "Bytes of rate reports and grants sent in the zone",
     AT(traffic[BBM_TRAFFIC_RATES].in_zone)},
    {"message_bytes_rates_out_zone_total", "counter",
     "Bytes of rate reports and grants sent to other zones",
     AT(traffic[BBM_TRAFFIC_RATES].out_zone)},
    {"message_bytes_listing_in_zone_total", "counter",
     "Bytes of listings sent in the zone",
     AT(traffic[BBM_TRAFFIC_LISTING].in_zone)},
    {"message_bytes_listing_out_zone_total", "counter",
     "Bytes of listings sent to other zones",
     AT(traffic[BBM_TRAFFIC_LISTING].out_zone)},
    {"message_bytes_loads_in_zone_total", "counter",
     "Bytes of load reports sent in the zone",
     AT(traffic[BBM_TRAFFIC_LOADS].in_zone)},
    {"message_bytes_loads_out_zone_total", "counter",
     "Bytes of load reports sent to other zones",
     AT(traffic[BBM_TRAFFIC_LOADS].out_zone)},
    {"message_bytes_totals_in_zone_total", "counter",
     "Bytes of totals sent in the zone",
     AT(traffic[BBM_TRAFFIC_TOTALS].in_zone)},
    {"message_bytes_totals_out_zone_total", "counter",
     "Bytes of totals sent to other zones",
     AT(traffic[BBM_TRAFFIC_TOTALS].out_zone)},
    {"message_bytes_origins_in_zone_total", "counter",
     "Bytes of origins sent in the zone",
     AT(traffic[BBM_TRAFFIC_ORIGINS].in_zone)},
    {"message_bytes_origins_out_zone_total", "counter",
     "Bytes of origins sent to other zones",
     AT(traffic[BBM_TRAFFIC_ORIGINS].out_zone)},
    {"messages_in_total", "counter", "Messages from daemons", AT(messages_in)},
    {"message_bytes_in_total", "counter", "Bytes of messages from daemons",
     AT(bytes_in)},
    {"bad_messages_total", "counter", "Messages refused", AT(bad_messages)},
    {"oldest_format", "gauge",
     "Oldest format of the alive VMs; 0: not known of one", AT(oldest_format)},
    {"state_unreadable", "gauge", "1: the log's state is of a later format",
     AT(state_unreadable)},
    {"log_entries", "gauge", "Entries of the control group's log",
     AT(log_entries)},
    {"log_bytes", "gauge", "Bytes of these entries", AT(log_bytes)},
    {"snapshot_bytes", "gauge", "Bytes of the control group's snapshot",
     AT(snapshot_bytes)},
    {"tail_bytes", "gauge", "Bytes of public commands kept for other daemons",
     AT(tail_bytes)},
    {"proposal_bytes", "gauge", "Bytes of proposals without an outcome",
     AT(proposal_bytes)},
    {"unwritten_bytes", "gauge",
     "Bytes of writes to the data folder that are not synced",
     AT(unwritten_bytes)},
    {"folder_bytes", "gauge", "Bytes of the data folder", AT(folder_bytes)},
    {"open_requests", "gauge", "Requests open", AT(open)},
    {"queued_requests", "gauge", "Requests waiting for a runner", AT(queued)},
    {"revision", "gauge", "Configuration in force", AT(revision)},
    {"term", "gauge", "Term of the control group", AT(term)},
    {"is_leader", "gauge", "1 on the leader", AT(is_leader)},
    {"keys_age_ms", "gauge", "Age of the view of the keys", AT(key_age_ms)},
    {"totals_age_ms", "gauge", "Age of the totals of the load at upstreams",
     AT(totals_age_ms)},
    {"list_age_ms", "gauge", "Age of the list of upstreams",
     AT(listing_age_ms)},
    {"listed_upstreams", "gauge", "Upstreams in the list", AT(upstreams)},
    {"rollout_pending", "gauge", "Leader: runners without the newest weights",
     AT(rollout_pending)},
    {"rollout_in_progress", "gauge",
     "Leader: runners that occupy a place of the rollout of weights",
     AT(rollout_in_progress)},
    {"rollout_silent", "gauge",
     "Leader: runners without the newest weights that do not answer it",
     AT(rollout_silent)},
    {"rollout_age_ms", "gauge",
     "Leader: time since the first weights were named that a runner lacks",
     AT(rollout_age_ms)},
    {"pool_requests_total", "counter", "Requests to pools", AT(gate.requests)},
    {"zone_requests_stays_total", "counter", "Attempts kept in the zone",
     AT(gate.zones.requests[BBM_ZONES_STAYS])},
    {"zone_bytes_stays_total", "counter", "Expected bytes kept in the zone",
     AT(gate.zones.bytes[BBM_ZONES_STAYS])},
    {"zone_tokens_stays_total", "counter", "Prompt tokens kept in the zone",
     AT(gate.zones.tokens[BBM_ZONES_STAYS])},
    {"zone_requests_no_room_total", "counter",
     "Attempts kept, as other zones had no room",
     AT(gate.zones.requests[BBM_ZONES_NO_ROOM])},
    {"zone_bytes_no_room_total", "counter",
     "Expected bytes kept, as other zones had no room",
     AT(gate.zones.bytes[BBM_ZONES_NO_ROOM])},
    {"zone_tokens_no_room_total", "counter",
     "Prompt tokens kept, as other zones had no room",
     AT(gate.zones.tokens[BBM_ZONES_NO_ROOM])},
    {"zone_requests_none_total", "counter",
     "Attempts sent to another zone: none here",
     AT(gate.zones.requests[BBM_ZONES_NONE])},
    {"zone_bytes_none_total", "counter",
     "Expected bytes sent to another zone: none here",
     AT(gate.zones.bytes[BBM_ZONES_NONE])},
    {"zone_tokens_none_total", "counter",
     "Prompt tokens sent to another zone: none here",
     AT(gate.zones.tokens[BBM_ZONES_NONE])},
    {"zone_requests_cached_total", "counter",
     "Attempts sent to another zone: cached there",
     AT(gate.zones.requests[BBM_ZONES_CACHED])},
    {"zone_bytes_cached_total", "counter",
     "Expected bytes sent to another zone: cached there",
     AT(gate.zones.bytes[BBM_ZONES_CACHED])},
    {"zone_tokens_cached_total", "counter",
     "Prompt tokens sent to another zone: cached there",
     AT(gate.zones.tokens[BBM_ZONES_CACHED])},
    {"zone_requests_full_total", "counter",
     "Attempts sent to another zone: this one full",
     AT(gate.zones.requests[BBM_ZONES_FULL])},
    {"zone_bytes_full_total", "counter",
     "Expected bytes sent to another zone: this one full",
     AT(gate.zones.bytes[BBM_ZONES_FULL])},
    {"zone_tokens_full_total", "counter",
     "Prompt tokens sent to another zone: this one full",
     AT(gate.zones.tokens[BBM_ZONES_FULL])},
    {"zone_requests_slow_total", "counter",
     "Attempts sent to another zone: this one slow",
     AT(gate.zones.requests[BBM_ZONES_SLOW])},
    {"zone_bytes_slow_total", "counter",
     "Expected bytes sent to another zone: this one slow",
     AT(gate.zones.bytes[BBM_ZONES_SLOW])},
    {"zone_tokens_slow_total", "counter",
     "Prompt tokens sent to another zone: this one slow",
     AT(gate.zones.tokens[BBM_ZONES_SLOW])},
    {"zone_requests_unpriced_total", "counter",
     "Attempts sent to another zone without a price",
     AT(gate.zones.requests[BBM_ZONES_UNPRICED])},
    {"zone_bytes_unpriced_total", "counter",
     "Expected bytes sent to another zone without a price",
     AT(gate.zones.bytes[BBM_ZONES_UNPRICED])},
    {"zone_tokens_unpriced_total", "counter",
     "Prompt tokens sent to another zone without a price",
     AT(gate.zones.tokens[BBM_ZONES_UNPRICED])},
    {"pool_attempts_total", "counter", "Attempts at pools", AT(gate.attempts)},
    {"pool_old_weights_attempts_total", "counter",
     "Attempts at runners on older weights than the newest",
     AT(gate.old_weights_attempts)},
    {"pool_old_weights_ended_total", "counter",
     "Of these, ended as they had not begun in time",
     AT(gate.old_weights_ended)},
    {"pool_attempts_again_total", "counter", "Attempts after the first",
     AT(gate.retries)},
    {"pool_answers_total", "counter", "Answers passed on whole",
     AT(gate.completed)},
    {"pool_refused_rate_total", "counter", "Refused: rate used up",
     AT(gate.refused_rate)},
    {"pool_retries_denied_total", "counter",
     "Retries for which the budget had no room", AT(gate.retries_denied)},
    {"pool_refused_load_total", "counter", "Refused: not in time",
     AT(gate.refused_load)},
    {"pool_refused_none_total", "counter", "Refused: no upstream",
     AT(gate.refused_no_upstream)},
    {"pool_refused_paused_total", "counter",
     "Refused: all upstreams want no requests for a while",
     AT(gate.refused_paused)},
    {"pool_pauses_total", "counter", "Pauses that upstreams asked for",
     AT(gate.pauses)},
    {"pool_refused_limited_total", "counter",
     "Refused: all upstreams state limits, and this VM had no turn",
     AT(gate.refused_limited)},
    {"pool_limited_upstreams", "gauge", "Upstreams that state a limit now",
     AT(gate.limited_upstreams)},
    {"pool_refused_quarantined_total", "counter",
     "Refused or aborted: the request, or a part of its prompt, crashes "
     "upstreams",
     AT(gate.refused_quarantined)},
    {"pool_refused_suspect_total", "counter",
     "Refused or aborted: the request has crashed upstreams, not proved",
     AT(gate.refused_suspect)},
    {"pool_relayed_total", "counter",
     "Attempts to let another VM forward a request", AT(gate.relayed)},
    {"pool_release_sends_total", "counter",
     "Attempts at builds that are being released", AT(gate.release_sends)},
    {"pool_releases", "gauge", "Releases of software in progress",
     AT(gate.releases)},
    {"pool_refused_origin_total", "counter",
     "Refused or aborted: no upstream can go on with the stream",
     AT(gate.refused_origin)},
    {"pool_disconnects_total", "counter",
     "Attempts that upstreams ended by closing the connection",
     AT(gate.disconnects)},
    {"pool_quarantined_parts", "gauge",
     "Prompt parts and requests that are quarantined now",
     AT(gate.quarantined_parts)},
    {"pool_lost_total", "counter", "Ended with an unknown outcome",
     AT(gate.outcome_unknown)},
    {"pool_cut_total", "counter", "Answers broken off", AT(gate.aborted)},
    {"pool_gone_total", "counter", "Callers that left",
     AT(gate.client_disconnects)},
    {"pool_open_requests", "gauge", "Requests to pools now",
     AT(gate.open_requests)},
    {"pool_held_requests", "gauge", "Of these, waiting for an upstream",
     AT(gate.held_requests)},
    {"pool_forecasts_total", "counter",
     "Answers of runners that began, or were given up after the time expected",
     AT(gate.forecasts)},
    {"pool_forecast_ms_total", "counter",
     "Sum of the expected times until these answers begin",
     AT(gate.forecast_ms)},
    {"pool_forecast_result_ms_total", "counter",
     "Sum of the actual times until these answers began",
     AT(gate.forecast_result_ms)},
};

typedef struct histogram_metric {
    const char *name;
    const char *help;
    size_t offset; /* of a bbm_histogram in bbm_node_counts */
} histogram_metric;

static const histogram_metric histograms[] = {
    {"event_seconds",
     "Time that one event takes on the thread that decides; late answers and "
     "lost terms of the leader follow long ones",
     AT(event_time)},
    {"pool_first_seconds", "From arrival to the head of the answer",
     AT(gate.time_to_head)},
    {"pool_whole_seconds", "From arrival to the end of the answer",
     AT(gate.total_time)},
    {"pool_wait_seconds", "From arrival to the first attempt",
     AT(gate.wait_time)},
};

static void
write_metric(const char *name, const char *type, const char *help,
             uint64_t value, bbm_buf *out)
{
    char text[512];
    int len =
        snprintf(text, sizeof(text),
                 "# HELP bluebellmoor_%s %s\n"
                 "# TYPE bluebellmoor_%s %s\nbluebellmoor_%s %llu\n",
                 name, help, name, type, name, (unsigned long long)value);
    bbm_buf_add(out, text, (size_t)len);
}

static void
add_line(bbm_buf *out, const char *format, ...)
{
    char text[256];
    va_list args;
    va_start(args, format);
    int len = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    if (len > 0 && (size_t)len < sizeof(text))
        bbm_buf_add(out, text, (size_t)len);
}

static void
write_histogram(const histogram_metric *t, const bbm_histogram *h,
                bbm_buf *out)
{
    uint64_t sum = 0;
    add_line(out, "# HELP bluebellmoor_%s %s\n", t->name, t->help);
    add_line(out, "# TYPE bluebellmoor_%s histogram\n", t->name);
    for (size_t i = 0; i < BBM_HISTOGRAM_BOUND_COUNT; i++) {
        sum += h->counts[i];
        add_line(out, "bluebellmoor_%s_bucket{le=\"%g\"} %llu\n", t->name,
                 (double)bbm_histogram_bounds_ms[i] / 1000,
                 (unsigned long long)sum);
    }
    add_line(out, "bluebellmoor_%s_bucket{le=\"+Inf\"} %llu\n", t->name,
             (unsigned long long)h->total);
    add_line(out, "bluebellmoor_%s_sum %g\n", t->name,
             (double)h->sum / (double)BBM_SECOND);
    add_line(out, "bluebellmoor_%s_count %llu\n", t->name,
             (unsigned long long)h->total);
}

static void
write_connections(bbm_buf *out)
{
    const connection_counts *n = &connection_count;
    write_metric("upstream_connections_opened_total", "counter",
                 "Connections opened to upstreams and, for relays, to VMs",
                 atomic_load(&n->opened), out);
    write_metric("upstream_connections_replaced_total", "counter",
                 "Kept connections closed since a request couldn't be sent on "
                 "them",
                 atomic_load(&n->replaced), out);
    write_metric("answers_not_run_total", "counter",
                 "Answers in which an upstream states that a request hasn't "
                 "run",
                 atomic_load(&n->not_run), out);
    write_metric("answers_foreign_total", "counter",
                 "Answers with the id of another request",
                 atomic_load(&n->foreign), out);
    write_metric("answers_copied_total", "counter",
                 "Of these, with the id of an earlier request of their "
                 "connection",
                 atomic_load(&n->copies), out);
    write_metric("answers_malformed_total", "counter",
                 "Answers that weren't used, as they break the rules of HTTP",
                 atomic_load(&n->malformed), out);
}

static void
write_memory(const memory_budget *b, bbm_buf *out)
{
    write_metric("memory_budget_bytes", "gauge",
                 "Limit on the bytes held for clients, upstreams and VMs",
                 b ? b->total : 0, out);
    write_metric("memory_refused_total", "counter",
                 "Times that something had no room in the memory budget",
                 b ? atomic_load(&b->refused) : 0, out);
    write_metric("memory_evictions_total", "counter",
                 "Unfinished bodies that were discarded for others",
                 b ? atomic_load(&b->evictions) : 0, out);
    add_line(out, "# HELP bluebellmoor_memory_held_bytes Bytes held, by "
                  "holder\n# TYPE bluebellmoor_memory_held_bytes gauge\n");
    for (int i = 0; i < MEMORY_HOLDERS; i++)
        add_line(out, "bluebellmoor_memory_held_bytes{holder=\"%s\"} %zu\n",
                 memory_holder_name((memory_holder)i),
                 memory_budget_held(b, (memory_holder)i));
}

void
metrics_write(const bbm_node_counts *counts, const transport_counts *links,
              const memory_budget *memory, bbm_buf *out)
{
    for (size_t i = 0; i < BBM_COUNT(metrics); i++) {
        uint64_t value;
        memcpy(&value, (const char *)counts + metrics[i].offset,
               sizeof(value));
        write_metric(metrics[i].name, metrics[i].type, metrics[i].help, value,
                     out);
    }
    for (size_t i = 0; i < BBM_COUNT(histograms); i++) {
        const histogram_metric *t = &histograms[i];
        bbm_histogram h;
        memcpy(&h, (const char *)counts + t->offset, sizeof(h));
        write_histogram(t, &h, out);
    }
    write_metric("log_lines_dropped_total", "counter",
                 "Log lines dropped for a slow reader", bbm_log_dropped(),
                 out);
    write_metric("unsealed_messages_total", "counter",
                 "Messages that did not open", links->rejected, out);
    write_metric("links", "gauge", "Connections to daemons", links->links,
                 out);
    write_metric("links_lost_total", "counter",
                 "Connections to daemons that ended", links->links_lost, out);
    write_metric("link_lost_age_ms", "gauge",
                 "Since the last one of these ended; 0: none has",
                 links->link_lost_age_ms, out);
    write_metric("link_messages_dropped_total", "counter",
                 "Messages to daemons for which the queues had no room",
                 links->dropped, out);
    write_metric("link_queued_bytes", "gauge", "Bytes queued for slow daemons",
                 links->queued_bytes, out);
    write_metric(
        "failed_after_send_total", "counter",
        "Requests failed by the daemon after a send that may have run",
        atomic_load(&exchange_count.failed_after_send), out);
    write_metric("promises_withheld_total", "counter",
                 "Answers that would have promised, after such a send, that "
                 "nothing ran",
                 atomic_load(&exchange_count.promises_withheld), out);
    write_metric(
        "closed_after_send_total", "counter",
        "Connections that ended at the daemon before the whole answer of "
        "such a request",
        atomic_load(&exchange_count.closed_after_send), out);
    write_metric("late_heads_closed_total", "counter",
                 "Connections closed as the head of a request wasn't complete "
                 "in time",
                 atomic_load(&clients_count.late_heads), out);
    write_metric("waiting_connections_evicted_total", "counter",
                 "Connections without a request at work closed for new ones",
                 atomic_load(&clients_count.evicted), out);
    write_metric("requests_at_work", "gauge",
                 "Unanswered requests that may run now",
                 (uint64_t)atomic_load(&exchange_count.at_work), out);
    write_connections(out);
    struct mallinfo2 heap = mallinfo2();
    write_metric("heap_bytes", "gauge", "Bytes allocated",
                 heap.uordblks + heap.hblkhd, out);
    write_metric("heap_free_bytes", "gauge",
                 "Bytes that were freed and are kept for later allocations",
                 heap.fordblks, out);
    write_memory(memory, out);
}
