#include "bbm_settings.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A settings or configuration file is at most this long. */
#define FILE_MOST ((long)64 * 1024 * 1024)
/* The shared secret has at least so many bytes. */
#define SECRET_LEAST 32
#define SECRET_CONTEXT "bluebell"
#define GRACE_SERVE 0.65
#define GRACE_STOP 0.93

#define AT(member) .offset = offsetof(bbm_settings, member)
#define TEXT(field, about_text)                                               \
    {                                                                         \
        .name = #field, .kind = BBM_FIELD_TEXT, AT(field),                    \
        .description = (about_text)                                           \
    }
#define NUMBER(field, low, high, standard, about_text)                        \
    {                                                                         \
        .name = #field, .kind = BBM_FIELD_INT, AT(field), .min = (low),       \
        .max = (high), .default_number = (standard),                          \
        .description = (about_text)                                           \
    }

static const bbm_field top_fields[] = {
    {.name = "name",
     .kind = BBM_FIELD_NAME,
     AT(name),
     .required = true,
     .description = "unique name of this daemon"},
    {.name = "zone",
     .kind = BBM_FIELD_NAME,
     AT(zone),
     .required = true,
     .description = "availability zone"},
    {.name = "peer_address",
     .kind = BBM_FIELD_TEXT,
     AT(peer_address),
     .required = true,
     .description = "IP:port for other daemons"},
    {.name = "caller_address",
     .kind = BBM_FIELD_TEXT,
     AT(caller_address),
     .required = true,
     .description = "IP:port for callers"},
    {.name = "admin_address",
     .kind = BBM_FIELD_TEXT,
     AT(admin_address),
     .required = true,
     .description = "IP:port for operators"},
    TEXT(entry_url, "address that callers are told; none: made from "
                    "caller_address"),
    TEXT(data_folder, "folder on the disk of a control VM; none: no disk"),
    TEXT(ready_address, "IP:port for the provider's checks of readiness"),
    TEXT(control_address, "IP:port for the provider's operators"),
    TEXT(directory_address, "IP:port for callers that ask which VM to use"),
    TEXT(list_address,
         "IP:port of the provider's list of upstreams; with it callers' "
         "requests go to pools as they are, and nothing else is served"),
    TEXT(secret_file, "file with at least 32 bytes, the same for all daemons; "
                      "needed unless private_network"),
    {.name = "private_network",
     .kind = BBM_FIELD_BOOL,
     AT(private_network),
     .description =
         "true if nobody else can reach the daemons' network: messages "
         "and keys are then under no secret"},
    {.name = "seeds",
     .kind = BBM_FIELD_LIST,
     .description =
         "IP:port of daemons to join by, at most 8; the port is taken "
         "from peer_address"},
    {.name = "first_start",
     .kind = BBM_FIELD_BOOL,
     AT(first_start),
     .description =
         "true if the system has never run: the first of seeds founds "
         "the control group"},
    {.name = "self_repair",
     .kind = BBM_FIELD_BOOL,
     AT(self_repair),
     .description =
         "true if lost control VMs are replaced without an operator"},
    {.name = "grace_s",
     .kind = BBM_FIELD_REAL,
     AT(grace_s),
     .max = 3600,
     .description = "seconds given for stopping; sets entry_ms and stop_ms"},
    {.name = "retry_share",
     .kind = BBM_FIELD_REAL,
     AT(retry_share),
     .max = 10,
     .default_number = 0.1,
     .description = "sends again to a pool, as a share of its requests"},
    {.name = "retry_slack",
     .kind = BBM_FIELD_REAL,
     AT(retry_slack),
     .max = 1e6,
     .default_number = 20,
     .description = "sends again beside that share, over all VMs"},
    {.name = "rate_slack",
     .kind = BBM_FIELD_REAL,
     AT(rate_slack),
     .max = 1e12,
     .default_number = 0,
     .description =
         "tokens by which a customer's rate may be overrun, to pools"},
    {.name = "rate_overrun",
     .kind = BBM_FIELD_REAL,
     AT(rate_overrun),
     .max = 10,
     .default_number = 0,
     .description = "and this share of what it allows in rate_window_s"},
    {.name = "rate_window_s",
     .kind = BBM_FIELD_REAL,
     AT(rate_window_s),
     .max = 3600,
     .default_number = 1,
     .description = "seconds over which overruns are looked at"},
    TEXT(tls_cert_file, "certificate for callers, PEM; none: no TLS"),
    TEXT(tls_key_file, "private key of the certificate, PEM"),
    {.name = "log_level",
     .kind = BBM_FIELD_TEXT,
     AT(log_level),
     .default_text = "info",
     .description = "debug, info, warn or error"},
    {.name = "founders",
     .kind = BBM_FIELD_NAMES,
     AT(founders),
     .description =
         "names of the first control VMs; the same for all daemons"},
    {.name = "peers",
     .kind = BBM_FIELD_LIST,
     .description = "daemons to begin with"},
    {.name = "operators",
     .kind = BBM_FIELD_LIST,
     .description = "who may use the admin address"},
    NUMBER(traffic_threads, 1, 64, 2, "threads towards upstreams"),
    NUMBER(caller_threads, 1, 64, 2, "threads towards callers"),
    NUMBER(connections_most, 1, 1000000, 8192, "caller connections at once"),
    NUMBER(per_address_most, 1, 1000000, 8192,
           "caller connections at once from one address"),
    NUMBER(idle_s, 1, 3600, 75,
           "seconds after which an idle caller connection ends"),
    NUMBER(body_most, 1024, 256 * 1024 * 1024, 4 * 1024 * 1024,
           "bytes of a request body"),
    NUMBER(requests_most, 1, 1000000, 4000, "requests open at once"),
    NUMBER(entry_ms, 100, 600000, 10000,
           "milliseconds for which a leaving VM serves on; callers may keep "
           "an address half as long"),
    NUMBER(fresh_bound_ms, 500, 600000, 5000,
           "milliseconds after which keys not known to be fresh stop keyed "
           "routes"),
    NUMBER(cut_bound_ms, 500, 600000, 10000,
           "milliseconds after which they end keyed streams"),
    NUMBER(election_ms, 50, 60000, 1000,
           "election timeout of the control VMs, milliseconds"),
    NUMBER(list_ms, 50, 60000, 1000,
           "milliseconds between looks at the list of upstreams"),
    NUMBER(gossip_ms, 20, 60000, 1000,
           "milliseconds between pings of other daemons"),
    NUMBER(entry_keep_ms, 1, 600000, 1000,
           "milliseconds for which the provider's callers may keep an "
           "address"),
    NUMBER(stop_ms, 0, 3600000, 0,
           "milliseconds after which a stopping VM ends at once; 0: never"),
    NUMBER(texts_kept, 1, 1024, 64, "old revisions whose texts are kept"),
    NUMBER(old_weights_fine_ms, 0, 600000, 1500,
           "milliseconds for which old weights serve as well as newer ones"),
    NUMBER(old_weights_most_ms, 0, 600000, 8000,
           "milliseconds after which no request starts on old weights"),
    NUMBER(report_ms, 10, 5000, 250,
           "milliseconds between questions to a runner"),
    {.name = "testing",
     .kind = BBM_FIELD_BOOL,
     AT(testing),
     .description = "true allows the fields whose names begin with test_"},
    TEXT(test_cut_file,
         "file with names of peers that are cut off, a line each"),
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
    if (size >= 0 && size <= FILE_MOST && fseek(file, 0, SEEK_SET) == 0) {
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

/* ---- reading ---- */

static void
read_peers(bbm_settings *s, const json_t *list, bbm_doc_errors *m)
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
                     &row, m);
        s->peers[i] = row.peer;
        bbm_text_set(s->peers[i].address, BBM_ADDRESS_SIZE, row.address);
        free(row.address);
    }
}

static void
read_seeds(bbm_settings *s, const json_t *list, bbm_doc_errors *m)
{
    const char *colon = strrchr(s->peer_address, ':');
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *text = json_string_value(json_array_get(list, i));
        char host[64];
        uint16_t port;
        if (!text || !bbm_address_split(text, host, &port)) {
            bbm_doc_error_add(m, "seeds[%zu]: found %.80s; allowed: IP:port",
                              i, text ? text : "no text");
            continue;
        }
        if (s->seeds_len < BBM_SEEDS_MAX)
            snprintf(s->seeds[s->seeds_len++], BBM_ADDRESS_SIZE, "%s%s", host,
                     colon ? colon : "");
    }
}

/* Of the time given for stopping the larger part is for serving callers that
   still come, the end for what runs; a little is left for ending. */
static void
apply_grace(bbm_settings *s)
{
    if (s->grace_s <= 0)
        return;
    s->entry_ms = (int64_t)(s->grace_s * 1000 * GRACE_SERVE);
    s->stop_ms = (int64_t)(s->grace_s * 1000 * GRACE_STOP);
}

static void
read_operators(bbm_settings *s, const json_t *list, bbm_doc_errors *m)
{
    size_t len = json_array_size(list);
    s->operators = bbm_calloc(len, sizeof(*s->operators));
    s->operators_len = len;
    for (size_t i = 0; i < len; i++) {
        char path[BBM_NAME_SIZE];
        snprintf(path, sizeof(path), "operators[%zu]", i);
        bbm_doc_read(json_array_get(list, i), path, operator_fields,
                     BBM_COUNT(operator_fields), &s->operators[i], m);
    }
}

/* ---- checking ---- */

static void
check_address(const char *path, const char *address, bbm_doc_errors *m)
{
    char host[64];
    uint16_t port;
    if (!bbm_address_split(address, host, &port))
        bbm_doc_error_add(
            m,
            "%s: found \"%.80s\"; allowed: an IP number, a colon and "
            "a port",
            path, address);
}

static void
check_optional(const char *path, const char *address, bbm_doc_errors *m)
{
    if (address[0])
        check_address(path, address, m);
}

static void
check_peers(const bbm_settings *s, bbm_doc_errors *m)
{
    for (size_t i = 0; i < s->peers_len; i++) {
        char path[BBM_NAME_SIZE];
        snprintf(path, sizeof(path), "peers[%zu].address", i);
        check_address(path, s->peers[i].address, m);
        for (size_t j = 0; j < i; j++) {
            if (strcmp(s->peers[i].name, s->peers[j].name) == 0)
                bbm_doc_error_add(m, "peers[%zu].name: \"%s\" is named twice",
                                  i, s->peers[i].name);
        }
    }
    for (size_t i = 0; i < s->operators_len; i++) {
        bbm_digest digest;
        if (!bbm_digest_parse(s->operators[i].digest, &digest))
            bbm_doc_error_add(
                m, "operators[%zu].digest: not 64 hexadecimal digits", i);
    }
}

static bool
is_known_daemon(const bbm_settings *s, const char *name)
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
check_founders(const bbm_settings *s, bbm_doc_errors *m)
{
    if (s->founders.len > BBM_FOUNDERS_MAX)
        bbm_doc_error_add(m,
                          "$.founders: found %zu names; allowed: at most %d",
                          s->founders.len, BBM_FOUNDERS_MAX);
    if (s->founders.len && s->founders.len % 2 == 0)
        bbm_doc_error_add(
            m, "$.founders: found %zu names; allowed: an odd number",
            s->founders.len);
    for (size_t i = 0; i < s->founders.len; i++) {
        if (!is_known_daemon(s, s->founders.items[i]))
            bbm_doc_error_add(m,
                              "$.founders[%zu]: found \"%s\"; allowed: this "
                              "daemon or a name in peers",
                              i, s->founders.items[i]);
    }
    bool founder = bbm_names_has(&s->founders, s->name);
    if (founder && !s->data_folder[0])
        bbm_doc_error_add(m, "$.data_folder: missing; a founder needs a disk");
}

void
bbm_secret_derive(const uint8_t *secret, bbm_secret_use use, uint8_t *key)
{
    crypto_kdf_derive_from_key(key, BBM_DIGEST_SIZE, use, SECRET_CONTEXT,
                               secret);
}

bbm_digest
bbm_secret_from_text(const char *text, size_t len)
{
    return bbm_digest_of(text, len, NULL);
}

static void
check_secret(bbm_settings *s, bbm_doc_errors *m)
{
    size_t len = 0;
    if (s->private_network)
        return;
    BBM_AUTO_FREE char *text = bbm_read_file(s->secret_file, &len);
    if (!text || len < SECRET_LEAST) {
        bbm_doc_error_add(
            m,
            "$.secret_file: \"%.80s\" can't be read, or has fewer "
            "than %d bytes",
            s->secret_file, SECRET_LEAST);
        return;
    }
    bbm_digest d = bbm_secret_from_text(text, len);
    memcpy(s->secret, d.bytes, sizeof(s->secret));
}

static void
check_whole(bbm_settings *s, bbm_doc_errors *m)
{
    check_address("$.peer_address", s->peer_address, m);
    check_address("$.caller_address", s->caller_address, m);
    check_address("$.admin_address", s->admin_address, m);
    check_optional("$.ready_address", s->ready_address, m);
    check_optional("$.control_address", s->control_address, m);
    check_optional("$.directory_address", s->directory_address, m);
    check_optional("$.list_address", s->list_address, m);
    check_peers(s, m);
    check_founders(s, m);
    check_secret(s, m);
    if (bbm_level_parse(s->log_level) < 0)
        bbm_doc_error_add(
            m,
            "$.log_level: found \"%.20s\"; allowed: debug, info, "
            "warn, error",
            s->log_level);
    if (!s->tls_cert_file[0] != !s->tls_key_file[0])
        bbm_doc_error_add(m,
                          "$.tls_cert_file: goes together with tls_key_file");
    if (s->cut_bound_ms < s->fresh_bound_ms)
        bbm_doc_error_add(
            m,
            "$.cut_bound_ms: found %lld; allowed: fresh_bound_ms "
            "(%lld) or more",
            (long long)s->cut_bound_ms, (long long)s->fresh_bound_ms);
    if (s->test_cut_file[0] && !s->testing)
        bbm_doc_error_add(m, "$.test_cut_file: allowed only with \"testing\": "
                             "true");
}

bbm_settings *
bbm_settings_parse(const char *text, size_t len, bbm_doc_errors *m)
{
    size_t before = m->total;
    json_t *doc = bbm_doc_parse(text, len, m);
    if (!doc)
        return NULL;
    bbm_settings *s = bbm_calloc(1, sizeof(*s));
    bbm_doc_read(doc, "$", top_fields, BBM_COUNT(top_fields), s, m);
    read_peers(s, json_object_get(doc, "peers"), m);
    read_operators(s, json_object_get(doc, "operators"), m);
    read_seeds(s, json_object_get(doc, "seeds"), m);
    apply_grace(s);
    json_decref(doc);
    check_whole(s, m);
    if (m->total == before)
        return s;
    bbm_settings_destroy(s);
    return NULL;
}

bbm_settings *
bbm_settings_load(const char *path, bbm_doc_errors *m)
{
    size_t len = 0;
    BBM_AUTO_FREE char *text = bbm_read_file(path, &len);
    if (!text) {
        bbm_doc_error_add(m, "%s: cannot be read", path);
        return NULL;
    }
    return bbm_settings_parse(text, len, m);
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
