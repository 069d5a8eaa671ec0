/* Scopes of cache entries; see bbm_config_cache_scope(). */
#include "config_fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Names have no slash, so no shared scope is a customer's name. */
#define SHARED_PREFIX "/"
/* Bytes of the digest that a shared scope carries. */
#define SHARED_DIGEST_BYTES 16
/* Scope of requests without a customer to models that aren't open. */
#define NO_CUSTOMER_SCOPE "/none"
/* Requests to engines state the scope "" as "-", which is a valid name: its
   customer's scope gets another text. */
#define OPEN_ON_WIRE "-"
#define OPEN_ON_WIRE_SCOPE "/-"

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The names in order, each with its end mark, so that different lists differ
   as bytes. */
static bbm_digest
digest_names(const char **names, size_t len)
{
    qsort(names, len, sizeof(*names), compare_names);
    BBM_AUTO_FREE char *text = bbm_calloc(len, BBM_NAME_SIZE);
    size_t used = 0;
    for (size_t i = 0; i < len; i++) {
        size_t size = strlen(names[i]) + 1;
        memcpy(text + used, names[i], size);
        used += size;
    }
    return bbm_digest_of(text, used, NULL);
}

void
config_set_shared_scope(bbm_config *cfg)
{
    size_t len = 0;
    BBM_AUTO_FREE const char **names =
        bbm_calloc(HASH_COUNT(cfg->customers), sizeof(*names));
    for (const bbm_customer *c = cfg->customers; c; c = c->hh.next) {
        if (c->private_cache)
            names[len++] = c->name;
    }
    cfg->shared_scope[0] = '\0';
    if (!len)
        return;
    bbm_digest d = digest_names(names, len);
    char hex[2 * BBM_DIGEST_SIZE + 1];
    bbm_digest_hex(&d, hex);
    snprintf(cfg->shared_scope, sizeof(cfg->shared_scope), "%s%.*s",
             SHARED_PREFIX, 2 * SHARED_DIGEST_BYTES, hex);
}

const char *
bbm_config_cache_scope(const bbm_config *cfg, const char *customer)
{
    if (!customer[0])
        return cfg->shared_scope;
    const bbm_customer *c = bbm_config_customer(cfg, customer);
    return c && !c->private_cache ? cfg->shared_scope : customer;
}

const char *
bbm_config_model_scope(const bbm_config *cfg, const char *model,
                       const char *customer)
{
    bbm_model *m = NULL;
    HASH_FIND_STR(cfg->models, model, m);
    const char *scope =
        m && m->open_cache ? bbm_config_cache_scope(cfg, customer) : customer;
    if (scope != customer) /* shared */
        return scope;
    if (!customer[0])
        return NO_CUSTOMER_SCOPE;
    return strcmp(customer, OPEN_ON_WIRE) == 0 ? OPEN_ON_WIRE_SCOPE : customer;
}
