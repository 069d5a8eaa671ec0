/** @file
 *  Stand-ins for the cases 11 to 15: the provider's list, servers and
 *  clients, as threads of one process.  The names of the wire are read from a
 *  file, a line each: what it is, a blank, the name.
 */
#ifndef WORLD_3_H
#define WORLD_3_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define RUNNERS_MAX 16
#define CONNECTIONS_MAX 4096
#define VMS_MAX 8
#define NAME_BYTES 64
#define HEAD_BYTES 32768

/** A connection and the bytes that were read ahead on it. */
typedef struct stream {
    int fd;
    size_t at;
    size_t len;
    char buf[HEAD_BYTES];
} stream;

/** The head of a request or of an answer. */
typedef struct head {
    char first[1024];         /**< The request or status line. */
    char attempt[NAME_BYTES]; /**< Id of the attempt. */
    char instance[NAME_BYTES];
    long last_event;  /**< 0: none. */
    long long length; /**< -1: none. */
    bool chunked;
    bool complete;
} head;

typedef struct runner {
    char id[NAME_BYTES];
    char service[NAME_BYTES];
    char build[NAME_BYTES];
    bool streams;  /**< Its answers are event streams. */
    int events;    /**< Of a stream. */
    int event_ms;  /**< Between two events. */
    int answer_ms; /**< Of a plain answer. */
    uint16_t port;
    int64_t born;   /**< Unix milliseconds. */
    atomic_int run; /**< Number of its starts and crashes. */
    atomic_bool up;
    int listener;
    int fds[CONNECTIONS_MAX]; /**< Open connections; -1: free. */
    pthread_mutex_t lock;
} runner;

/** All of the stand-ins; set up by world_open(). */
typedef struct world {
    runner runners[RUNNERS_MAX];
    size_t runners_len;
    char vms[VMS_MAX][NAME_BYTES]; /**< IP addresses of the daemons. */
    size_t vms_len;
    uint16_t front_port;
    uint16_t control_port;
    uint16_t ready_port;
    uint16_t directory_port;
    const char *key; /**< API key of the clients. */
    bool trouble;
    uint16_t list_port;
    uint16_t servers_port; /**< The first one's. */
} world;

extern world the_world;

/** Read the names and open the record.  Exits with 2 if that fails. */
void world_open(const char *names, const char *record);
/** Write a line with the time to the record. */
void world_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/** Record the line, print it, and end the process with this status. */
_Noreturn void world_end(int status, const char *text);
/** The name on the wire. */
const char *world_name(const char *what);
/** Milliseconds since the start. */
long world_ms(void);
void world_sleep(int ms);
/** A random number below @p n. */
unsigned world_random(unsigned n);
void world_thread(void *(*run)(void *), void *context);

/** Take the arguments of a case behind the record: configuration, port of the
 *  list, first port of the servers, ports of the daemons (front, control,
 *  ready, directory), key, addresses of the daemons. */
void world_setup(char **args, int len);
/** Add a server that isn't started yet. */
runner *world_add_plain(const char *service, int answer_ms);
runner *world_add_streams(const char *service, int events, int event_ms);
/** Start all servers and the provider's list, which tells what was 800 ms ago;
 *  then say so on standard output. */
void world_serve(void);
/** True if a server began to run the attempt. */
bool world_has_run(const char *attempt);
void runner_start(runner *r);
/** Close all connections at once, as the end of the process does. */
void runner_crash(runner *r);

/** Returns a socket or -1. */
int world_connect(const char *ip, uint16_t port, int timeout_ms);
bool world_send(int fd, const void *data, size_t len);
/** Read a head.  False if the connection ended before. */
bool world_read_head(stream *s, head *h);
/** Read a line without its end, at most @p size - 1 bytes of it. */
bool world_read_line(stream *s, char *line, size_t size);
/** Read this number of bytes; @p data NULL: drop them. */
bool world_read(stream *s, char *data, size_t len);
int world_status(const head *h);

/** Publish the configuration and wait until all daemons are ready.  Exits
 *  with 2 if they aren't in time. */
void world_publish(const char *config_file);

#endif
