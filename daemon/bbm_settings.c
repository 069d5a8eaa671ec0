#include "bbm_settings.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest settings or configuration file. */
#define FILE_BYTES_MAX ((long)64 * 1024 * 1024)
/* Shortest shared secret. */
#define SECRET_BYTES_MIN 32
#define KDF_CONTEXT "bluebell"
/* Shares of grace_s, from the stop signal: after the first, new requests are
   no longer served; after the second, open requests are aborted.  The rest is
   for the exit of the process. */
#define GRACE_ENTRY_SHARE 0.65
#define GRACE_STOP_SHARE 0.93

#define SETTINGS_OFFSET(member) .offset = offsetof(bbm_settings, member)
#define TEXT(field, description_text)                                         \
    {                                                                         \
        .name = #field, .kind = BBM_FIELD_TEXT, SETTINGS_OFFSET(field),       \
        .description = (description_text)                                     \
    }
#define NUMBER(field, low, high, default_value, description_text)             \
    {                                                                         \
        .name = #field, .kind = BBM_FIELD_INT, SETTINGS_OFFSET(field),        \
        .min = (low), .max = (high), .default_number = (default_value),       \
        .description = (description_text)                                     \
    }

static const bbm_field top_fields[] = {
    {.name = "name",
     .kind = BBM_FIELD_NAME,
     SETTINGS_OFFSET(name),
     .required = true,
     .description = "unique name of this daemon"},
    {.name = "zone",
     .kind = BBM_FIELD_NAME,
     SETTINGS_OFFSET(zone),
     .required = true,
     .description = "availability zone"},
    {.name = "peer_address",
     .kind = BBM_FIELD_TEXT,
     SETTINGS_OFFSET(peer_address),
     .required = true,
     .description = "IP:port for other daemons"},
    {.name = "caller_address",
     .kind = BBM_FIELD_TEXT,
     SETTINGS_OFFSET(caller_address),
     .required = true,
     .description = "IP:port for callers"},
    {.name = "admin_address",
     .kind = BBM_FIELD_TEXT,
     SETTINGS_OFFSET(admin_address),
     .required = true,
     .description = "IP:port for operators"},
    TEXT(entry_url, "URL given to callers; none: made from "
                    "caller_address"),
    TEXT(data_folder, "folder for the data of a control VM; none: no disk"),
    TEXT(ready_address, "IP:port for the provider's readiness checks"),
    TEXT(control_address, "IP:port for the provider's operators"),
    TEXT(directory_address, "IP:port for callers that ask which VM to use"),
    TEXT(list_address,
         "IP:port of the provider's list of upstreams; if set, callers' "
         "requests are forwarded to pools unchanged, and no others are "
         "served"),
    TEXT(secret_file, "file with at least 32 bytes, the same for all daemons; "
                      "required unless private_network"),
    {.name = "serve_stale_keys",
     .kind = BBM_FIELD_BOOL,
     SETTINGS_OFFSET(serve_stale_keys),
     .description = "true: keyed routes of pools are served whatever the age "
                    "of the view of the keys"},
    {.name = "zone_relay",
     .kind = BBM_FIELD_BOOL,
     SETTINGS_OFFSET(zone_relay),
     .description =
         "true: with 17 to 99 VMs, the leader's totals are sent once into "
         "each other zone and forwarded there"},
    {.name = "zone_delay_ms",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(zone_delay_ms),
     .max = 10000,
     .description = "added delay of a request to another zone, both ways, "
                    "milliseconds; 0 with zone_byte_price 0: built-in cost"},
    {.name = "zone_byte_price",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(zone_byte_price),
     .max = 1e9,
     .description = "milliseconds of delay accepted to keep a megabyte in the "
                    "zone"},
    {.name = "private_network",
     .kind = BBM_FIELD_BOOL,
     SETTINGS_OFFSET(private_network),
     .description =
         "true if nobody else can reach the daemons' network: no secret "
         "then protects messages and keys"},
    {.name = "seeds",
     .kind = BBM_FIELD_LIST,
     .description =
         "IP:port of daemons to join by, at most 8; the port is replaced by "
         "that of peer_address"},
    {.name = "first_start",
     .kind = BBM_FIELD_BOOL,
     SETTINGS_OFFSET(first_start),
     .description =
         "true if the system has never run: the first of seeds creates "
         "the control group"},
    {.name = "self_repair",
     .kind = BBM_FIELD_BOOL,
     SETTINGS_OFFSET(self_repair),
     .description =
         "true if lost control VMs are replaced without an operator"},
    {.name = "grace_s",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(grace_s),
     .max = 3600,
     .description =
         "seconds given for stopping; sets entry_ms and stop_ms unless 0"},
    {.name = "retry_share",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(retry_share),
     .max = 10,
     .default_number = 0.1,
     .description = "retries at a pool, as a share of its requests"},
    {.name = "retry_slack",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(retry_slack),
     .max = 1e6,
     .default_number = 20,
     .description =
         "retries allowed in addition to retry_share, over all VMs"},
    {.name = "retry_window_s",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(retry_window_s),
     .max = 3600,
     .default_number = 10,
     .description = "window in which retries are counted, seconds; a VM that "
                    "starts has no part of retry_slack for so long"},
    {.name = "rate_slack",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(rate_slack),
     .max = 1e12,
     .default_number = 0,
     .description =
         "tokens by which a customer's rate may be exceeded at pools"},
    {.name = "rate_overrun",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(rate_overrun),
     .max = 10,
     .default_number = 0,
     .description = "overrun allowed in addition to rate_slack, as a share of "
                    "what the rate allows in rate_window_s"},
    {.name = "rate_window_s",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(rate_window_s),
     .max = 3600,
     .default_number = 1,
     .description = "window in which overruns are measured, seconds"},
    {.name = "release_share",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(release_share),
     .max = 1,
     .default_number = 0.1,
     .description = "requests that a bad build may get while it is released, "
                    "as a share of all requests to its pool until the release "
                    "has to end"},
    {.name = "release_slack",
     .kind = BBM_FIELD_REAL,
     SETTINGS_OFFSET(release_slack),
     .max = 1e6,
     .default_number = 50,
     .description = "requests that it may get in addition to release_share, "
                    "over all VMs"},
    TEXT(tls_cert_file, "certificate for callers, PEM; none: no TLS"),
    TEXT(tls_key_file, "private key of the certificate, PEM"),
    {.name = "log_level",
     .kind = BBM_FIELD_TEXT,
     SETTINGS_OFFSET(log_level),
     .default_text = "info",
     .description = "debug, info, warn or error"},
    {.name = "founders",
     .kind = BBM_FIELD_NAMES,
     SETTINGS_OFFSET(founders),
     .description =
         "names of the first control VMs; the same for all daemons"},
    {.name = "peers",
     .kind = BBM_FIELD_LIST,
     .description = "daemons known at the start"},
    {.name = "operators",
     .kind = BBM_FIELD_LIST,
     .description = "who may use the admin address"},
    NUMBER(traffic_threads, 1, 64, 2, "threads towards upstreams"),
    NUMBER(caller_threads, 1, 64, 2, "threads towards callers"),
    NUMBER(connections_most, 1, 1000000, 8192,
           "maximum of open caller connections"),
    NUMBER(per_address_most, 1, 1000000, 8192,
           "maximum of open caller connections from one address"),
    NUMBER(idle_s, 1, 3600, 75,
           "seconds after which an idle caller connection is closed"),
    NUMBER(body_most, 1024, 256 * 1024 * 1024, 4 * 1024 * 1024,
           "maximum size of a request body, bytes"),
    NUMBER(requests_most, 1, 1000000, 4000, "maximum of open requests"),
    NUMBER(memory_mb, 0, 10000000, 0,
           "memory of the machine, MB of 1,000,000 bytes; 0: as detected"),
    NUMBER(entry_ms, 100, 600000, 10000,
           "milliseconds for which a leaving VM still serves new requests; "
           "callers may keep an address for half that time"),
    NUMBER(fresh_bound_ms, 500, 600000, 5000,
           "age of the view of the keys after which keyed routes start no "
           "requests, milliseconds"),
    NUMBER(cut_bound_ms, 500, 600000, 10000,
           "age of the view of the keys after which keyed streams are "
           "ended, milliseconds"),
    NUMBER(election_ms, 50, 60000, 1000,
           "election timeout of the control VMs, milliseconds"),
    NUMBER(list_ms, 50, 60000, 1000,
           "milliseconds between reads of the list of upstreams"),
    NUMBER(gossip_ms, 20, 60000, 1000,
           "milliseconds between pings of other daemons"),
    NUMBER(entry_keep_ms, 1, 600000, 1000,
           "milliseconds for which the provider's callers may keep an "
           "address"),
    NUMBER(stop_ms, 0, 3600000, 0,
           "milliseconds after which a stopping VM ends even with open "
           "requests; 0: never"),
    NUMBER(texts_kept, 1, 1024, 64,
           "number of old revisions whose texts are kept"),
    NUMBER(old_weights_fine_ms, 0, 600000, 1500,
           "milliseconds for which old weights count as good as newer ones"),
    NUMBER(old_weights_most_ms, 0, 600000, 8000,
           "milliseconds after which no request starts on old weights"),
    NUMBER(accused_parts_most, 64, 1000000, 4096,
           "number of prompt parts and requests that are remembered because "
           "upstreams ended while they ran"),
    NUMBER(release_revert_ms, 500, 600000, 5000,
           "milliseconds after the 50th bad answer of a build that is "
           "released from which it gets no requests"),
    NUMBER(report_ms, 10, 5000, 250,
           "milliseconds between requests for a runner's report"),
    {.name = "testing",
     .kind = BBM_FIELD_BOOL,
     SETTINGS_OFFSET(testing),
     .description = "true allows the fields whose names begin with test_"},
    TEXT(test_cut_file,
         "file with the names of peers whose messages are dropped, one "
         "per line"),
};

static const bbm_field peer_fields[] = {
    {.name = "name",
     .kind = BBM_FIELD_NAME,
     .offset = offsetof(bbm_peer, name),
     .required = true,
     .description = "name of the daemon"},
    {.name = "address",
     .kind = BBM_FIELD_TEXT,
     .required = true,
     .description = "its peer_address"},
};

static const bbm_field operator_fields[] = {
    {.name = "name",
     .kind = BBM_FIELD_NAME,
     .offset = offsetof(bbm_operator, name),
     .required = true,
     .description = "name of the operator"},
    {.name = "digest",
     .kind = BBM_FIELD_TEXT,
     .offset = offsetof(bbm_operator, digest),
     .required = true,
     .description = "64 hexadecimal digits from `bluebellmoor digest`"},
};

const bbm_field *
bbm_settings_fields(int which, size_t *count)
{
    switch (which) {
    case 0:
        *count = BBM_COUNT(top_fields);
        return top_fields;
    case 1:
        *count = BBM_COUNT(peer_fields);
        return peer_fields;
    case 2:
        *count = BBM_COUNT(operator_fields);
        return operator_fields;
    default:
        return NULL;
    }
}

/* ---- files and addresses ---- */

char *
bbm_read_file(const char *path, size_t *len)
{
    FILE *file = fopen(path, "rb");
    if (!file)
        return NULL;
    char *text = NULL;
    bool sized = fseek(file, 0, SEEK_END) == 0;
    long size = sized ? ftell(file) : -1;
    if (size >= 0 && size <= FILE_BYTES_MAX && fseek(file, 0, SEEK_SET) == 0) {
        text = bbm_calloc((size_t)size + 1, 1);
        *len = fread(text, 1, (size_t)size, file);
    }
    fclose(file);
    return text;
}

bool
bbm_address_split(const char *address, char host[64], uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    size_t len = colon ? (size_t)(colon - address) : 0;
    if (len == 0 || len >= 64)
        return false;
    memcpy(host, address, len);
    host[len] = '\0';
    struct in_addr ip;
    char *end = NULL;
    unsigned long number = strtoul(colon + 1, &end, 10);
    if (inet_pton(AF_INET, host, &ip) != 1 || !colon[1] || *end
        || number > UINT16_MAX)
        return false;
    *port = (uint16_t)number;
    return true;
}

bool
bbm_address_parse(const char *address, struct sockaddr_in *to)
{
    char host[64];
    uint16_t port = 0;
    *to = (struct sockaddr_in){.sin_family = AF_INET};
    bool valid = bbm_address_split(address, host, &port)
                 && inet_pton(AF_INET, host, &to->sin_addr) == 1;
    to->sin_port = htons(port);
    return valid;
}

/* ---- reading ---- */

static void
read_peers(bbm_settings *s, const json_t *list, bbm_doc_errors *errors)
{
    size_t len = json_array_size(list);
    s->peers = bbm_calloc(len, sizeof(*s->peers));
    s->peers_len = len;
    for (size_t i = 0; i < len; i++) {
        char path[BBM_NAME_SIZE];
        struct {
            bbm_peer peer;
            char *address;
        } row = {0};
        bbm_field fields[BBM_COUNT(peer_fields)];
        memcpy(fields, peer_fields, sizeof(fields));
        fields[1].offset = (size_t)((char *)&row.address - (char *)&row);
        snprintf(path, sizeof(path), "peers[%zu]", i);
        bbm_doc_read(json_array_get(list, i), path, fields, BBM_COUNT(fields),
                     &row, errors);
        s->peers[i] = row.peer;
        bbm_text_set(s->peers[i].address, BBM_ADDRESS_SIZE, row.address);
        free(row.address);
    }
}

static void
read_seeds(bbm_settings *s, const json_t *list, bbm_doc_errors *errors)
{
    const char *colon = strrchr(s->peer_address, ':');
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *text = json_string_value(json_array_get(list, i));
        char host[64];
        uint16_t port;
        if (!text || !bbm_address_split(text, host, &port)) {
            bbm_doc_error_add(errors,
                              "seeds[%zu]: found %.80s; allowed: IP:port", i,
                              text ? text : "no text");
            continue;
        }
        if (s->seeds_len < BBM_SEEDS_MAX)
            snprintf(s->seeds[s->seeds_len++], BBM_ADDRESS_SIZE, "%s%s", host,
                     colon ? colon : "");
    }
}

/* Derives the time limits of a graceful stop from grace_s. */
static void
apply_grace(bbm_settings *s)
{
    if (s->grace_s <= 0)
        return;
    s->entry_ms = (int64_t)(s->grace_s * 1000 * GRACE_ENTRY_SHARE);
    s->stop_ms = (int64_t)(s->grace_s * 1000 * GRACE_STOP_SHARE);
}

static void
read_operators(bbm_settings *s, const json_t *list, bbm_doc_errors *errors)
{
    size_t len = json_array_size(list);
    s->operators = bbm_calloc(len, sizeof(*s->operators));
    s->operators_len = len;
    for (size_t i = 0; i < len; i++) {
        char path[BBM_NAME_SIZE];
        snprintf(path, sizeof(path), "operators[%zu]", i);
        bbm_doc_read(json_array_get(list, i), path, operator_fields,
                     BBM_COUNT(operator_fields), &s->operators[i], errors);
    }
}

/* ---- checking ---- */

static void
check_address(const char *path, const char *address, bbm_doc_errors *errors)
{
    char host[64];
    uint16_t port;
    if (!bbm_address_split(address, host, &port))
        bbm_doc_error_add(
            errors,
            "%s: found \"%.80s\"; allowed: an IPv4 address, a colon and "
            "a port",
            path, address);
}

static void
check_optional_address(const char *path, const char *address,
                       bbm_doc_errors *errors)
{
    if (address[0])
        check_address(path, address, errors);
}

static void
check_peers(const bbm_settings *s, bbm_doc_errors *errors)
{
    for (size_t i = 0; i < s->peers_len; i++) {
        char path[BBM_NAME_SIZE];
        snprintf(path, sizeof(path), "peers[%zu].address", i);
        check_address(path, s->peers[i].address, errors);
        for (size_t j = 0; j < i; j++) {
            if (strcmp(s->peers[i].name, s->peers[j].name) == 0)
                bbm_doc_error_add(errors,
                                  "peers[%zu].name: \"%s\" is named twice", i,
                                  s->peers[i].name);
        }
    }
    for (size_t i = 0; i < s->operators_len; i++) {
        bbm_digest digest;
        if (!bbm_digest_parse(s->operators[i].digest, &digest))
            bbm_doc_error_add(
                errors, "operators[%zu].digest: not 64 hexadecimal digits", i);
    }
}

static bool
has_daemon(const bbm_settings *s, const char *name)
{
    if (strcmp(s->name, name) == 0)
        return true;
    for (size_t i = 0; i < s->peers_len; i++) {
        if (strcmp(s->peers[i].name, name) == 0)
            return true;
    }
    return false;
}

static void
check_founders(const bbm_settings *s, bbm_doc_errors *errors)
{
    if (s->founders.len > BBM_FOUNDERS_MAX)
        bbm_doc_error_add(errors,
                          "$.founders: found %zu names; allowed: at most %d",
                          s->founders.len, BBM_FOUNDERS_MAX);
    if (s->founders.len && s->founders.len % 2 == 0)
        bbm_doc_error_add(
            errors, "$.founders: found %zu names; allowed: an odd number",
            s->founders.len);
    for (size_t i = 0; i < s->founders.len; i++) {
        if (!has_daemon(s, s->founders.items[i]))
            bbm_doc_error_add(errors,
                              "$.founders[%zu]: found \"%s\"; allowed: this "
                              "daemon or a name in peers",
                              i, s->founders.items[i]);
    }
    bool founder = bbm_names_has(&s->founders, s->name);
    if (founder && !s->data_folder[0])
        bbm_doc_error_add(errors,
                          "$.data_folder: missing; a founder needs a disk");
}

void
bbm_secret_derive(const uint8_t *secret, bbm_secret_use use, uint8_t *key)
{
    crypto_kdf_derive_from_key(key, BBM_DIGEST_SIZE, use, KDF_CONTEXT, secret);
}

bbm_digest
bbm_secret_from_text(const char *text, size_t len)
{
    return bbm_digest_of(text, len, NULL);
}

static void
check_secret(bbm_settings *s, bbm_doc_errors *errors)
{
    size_t len = 0;
    if (s->private_network)
        return;
    BBM_AUTO_FREE char *text = bbm_read_file(s->secret_file, &len);
    if (!text || len < SECRET_BYTES_MIN) {
        bbm_doc_error_add(
            errors,
            "$.secret_file: \"%.80s\" cannot be read, or has fewer "
            "than %d bytes",
            s->secret_file, SECRET_BYTES_MIN);
        return;
    }
    bbm_digest d = bbm_secret_from_text(text, len);
    memcpy(s->secret, d.bytes, sizeof(s->secret));
}

static void
check_settings(bbm_settings *s, bbm_doc_errors *errors)
{
    check_address("$.peer_address", s->peer_address, errors);
    check_address("$.caller_address", s->caller_address, errors);
    check_address("$.admin_address", s->admin_address, errors);
    check_optional_address("$.ready_address", s->ready_address, errors);
    check_optional_address("$.control_address", s->control_address, errors);
    check_optional_address("$.directory_address", s->directory_address,
                           errors);
    check_optional_address("$.list_address", s->list_address, errors);
    check_peers(s, errors);
    check_founders(s, errors);
    check_secret(s, errors);
    if (bbm_level_parse(s->log_level) < 0)
        bbm_doc_error_add(
            errors,
            "$.log_level: found \"%.20s\"; allowed: debug, info, "
            "warn, error",
            s->log_level);
    if (!s->tls_cert_file[0] != !s->tls_key_file[0])
        bbm_doc_error_add(
            errors, "$.tls_cert_file: must be set together with tls_key_file");
    if (s->cut_bound_ms < s->fresh_bound_ms)
        bbm_doc_error_add(
            errors,
            "$.cut_bound_ms: found %lld; allowed: fresh_bound_ms "
            "(%lld) or more",
            (long long)s->cut_bound_ms, (long long)s->fresh_bound_ms);
    if (s->test_cut_file[0] && !s->testing)
        bbm_doc_error_add(errors,
                          "$.test_cut_file: allowed only with \"testing\": "
                          "true");
}

bbm_settings *
bbm_settings_parse(const char *text, size_t len, bbm_doc_errors *errors)
{
    size_t before = errors->total;
    json_t *doc = bbm_doc_parse(text, len, errors);
    if (!doc)
        return NULL;
    bbm_settings *s = bbm_calloc(1, sizeof(*s));
    bbm_doc_read(doc, "$", top_fields, BBM_COUNT(top_fields), s, errors);
    read_peers(s, json_object_get(doc, "peers"), errors);
    read_operators(s, json_object_get(doc, "operators"), errors);
    read_seeds(s, json_object_get(doc, "seeds"), errors);
    apply_grace(s);
    json_decref(doc);
    check_settings(s, errors);
    if (errors->total == before)
        return s;
    bbm_settings_destroy(s);
    return NULL;
}

bbm_settings *
bbm_settings_load(const char *path, bbm_doc_errors *errors)
{
    size_t len = 0;
    BBM_AUTO_FREE char *text = bbm_read_file(path, &len);
    if (!text) {
        bbm_doc_error_add(errors, "%s: cannot be read", path);
        return NULL;
    }
    return bbm_settings_parse(text, len, errors);
}

void
bbm_settings_destroy(bbm_settings *s)
{
    if (!s)
        return;
    bbm_doc_release(top_fields, BBM_COUNT(top_fields), s);
    for (size_t i = 0; i < s->operators_len; i++)
        bbm_doc_release(operator_fields, BBM_COUNT(operator_fields),
                        &s->operators[i]);
    free(s->operators);
    free(s->peers);
    explicit_bzero(s->secret, sizeof(s->secret));
    free(s);
}
