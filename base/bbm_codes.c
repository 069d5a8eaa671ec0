#include "bbm_codes.h"

#include <assert.h>
#include <stddef.h>

typedef struct code_row {
    int number;
    unsigned status;
    bbm_ran ran;
    const char *name;
    const char *text;
} code_row;

#define PROMISES_NOT_RUN(status)                                              \
    ((status) == 408 || (status) == 421 || (status) == 429 || (status) == 503)

#define X(name, number, status, ran, text)                                    \
    static_assert(!PROMISES_NOT_RUN(status) || BBM_RAN_##ran == BBM_RAN_NO,   \
                  #name " may have run, but its status says that it hasn't");
BBM_CODE_TABLE(X)
#undef X

static const code_row code_rows[] = {
#define X(name, number, status, ran, text)                                    \
    {number, status, BBM_RAN_##ran, #name, text},
    BBM_CODE_TABLE(X)
#undef X
};

static const code_row *
find_row(int code)
{
    for (size_t i = 0; i < sizeof(code_rows) / sizeof(code_rows[0]); i++) {
        if (code_rows[i].number == code)
            return &code_rows[i];
    }
    return NULL;
}

const char *
bbm_code_text(int code)
{
    const code_row *row = find_row(code);
    return row ? row->text : "unknown code";
}

const char *
bbm_code_name(int code)
{
    const code_row *row = find_row(code);
    return row ? row->name : "unknown";
}

unsigned
bbm_code_status(int code)
{
    const code_row *row = find_row(code);
    return row ? row->status : 500;
}

bool
bbm_status_promises_not_run(unsigned status)
{
    return PROMISES_NOT_RUN(status);
}

bbm_ran
bbm_code_ran(int code)
{
    const code_row *row = find_row(code);
    return row ? row->ran : BBM_RAN_UNKNOWN;
}

const char *
bbm_ran_text(bbm_ran ran)
{
    switch (ran) {
    case BBM_RAN_NO:
        return "no";
    case BBM_RAN_YES:
        return "yes";
    case BBM_RAN_UNKNOWN:
        break;
    }
    return "unknown";
}
