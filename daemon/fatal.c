#include "fatal.h"

#include "bbm_log.h"
#include "bbm_mem.h"

#include <signal.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/* The line but for its numbers, made beforehand: little may be called in a
   signal handler. */
static char line_rest[256];
static const atomic_int *requests_at_work;

static void
append(char *line, size_t *len, const char *text)
{
    while (*text)
        line[(*len)++] = *text++;
}

static void
append_number(char *line, size_t *len, unsigned long long n)
{
    char digits[24];
    size_t at = sizeof(digits);
    digits[--at] = '\0';
    do
        digits[--at] = (char)('0' + n % 10);
    while ((n /= 10) != 0);
    append(line, len, digits + at);
}

/* The signal is handled once: it comes again on return, with its default
   effect. */
static void
on_fatal_signal(int number)
{
    char line[512];
    size_t len = 0;
    struct timespec now = {0};
    clock_gettime(CLOCK_REALTIME, &now);
    int at_work = atomic_load(requests_at_work);
    append(line, &len, "{\"ms\":");
    append_number(line, &len,
                  (unsigned long long)now.tv_sec * 1000
                      + (unsigned long long)now.tv_nsec / 1000000);
    append(line, &len, line_rest);
    append(line, &len, ",\"signal\":\"");
    append_number(line, &len, (unsigned long long)number);
    append(line, &len, "\",\"at_work\":\"");
    append_number(line, &len, at_work > 0 ? (unsigned long long)at_work : 0);
    append(line, &len, "\"}\n");
    (void)!write(STDOUT_FILENO, line, len);
    if (number != SIGABRT)
        raise(number);
}

void
fatal_log_setup(const char *node, const atomic_int *at_work)
{
    static const int signals[] = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
    requests_at_work = at_work;
    snprintf(line_rest, sizeof(line_rest),
             ",\"event\":%d,\"level\":\"error\",\"node\":\"%s\",\"text\":"
             "\"%s\"",
             (int)BBM_EVENT_FATAL_SIGNAL, node,
             bbm_log_text(BBM_EVENT_FATAL_SIGNAL));
    struct sigaction action = {.sa_handler = on_fatal_signal,
                               .sa_flags = (int)SA_RESETHAND};
    for (size_t i = 0; i < BBM_COUNT(signals); i++)
        sigaction(signals[i], &action, NULL);
}
