/* Tests of the log: logging never blocks on a slow reader and reports the
   lines that it dropped, and values can't forge log lines. */
#include "bbm_log.h"
#include "bbm_mem.h"
#include "test_main.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define LINES_COUNT 20000
#define TEXT_BYTES_MAX ((size_t)8 << 20)

static size_t
read_all(int fd, char *text, size_t size)
{
    size_t len = 0;
    ssize_t n;
    while ((n = read(fd, text + len, size - len - 1)) > 0)
        len += (size_t)n;
    text[len] = '\0';
    return len;
}

/* A daemon must not stall because nobody reads its log: the pipe fills up
   early and is read only after all lines were logged. */
START_TEST(slow_reader_does_not_block_logging)
{
    int ends[2];
    ck_assert_int_eq(pipe(ends), 0);
    FILE *file = fdopen(ends[1], "w");
    bbm_log_setup(&(bbm_log_desc){.node = "vm-1", .file = file});
    ck_assert_int_eq(bbm_log_start(), 0);
    for (int i = 0; i < LINES_COUNT; i++)
        bbm_log(BBM_EVENT_REQUEST_COMPLETED, "id", "a1", NULL);
    ck_assert_uint_gt(bbm_log_dropped(), 0);
    char *text = bbm_calloc(1, TEXT_BYTES_MAX);
    size_t len = 0;
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 20; i++) {
        usleep(20000);
        len += read_all(ends[0], text + len, TEXT_BYTES_MAX - len);
    }
    bbm_log(BBM_EVENT_READY, "last", "line", NULL);
    bbm_log_stop();
    read_all(ends[0], text + len, TEXT_BYTES_MAX - len);
    ck_assert_ptr_nonnull(strstr(text, "\"event\":601"));
    ck_assert_ptr_nonnull(strstr(text, "\"last\":\"line\""));
    free(text);
    fclose(file);
    close(ends[0]);
}
END_TEST

START_TEST(values_cannot_forge_lines)
{
    int ends[2];
    ck_assert_int_eq(pipe(ends), 0);
    FILE *file = fdopen(ends[1], "w");
    bbm_log_setup(&(bbm_log_desc){.node = "vm-1", .file = file});
    bbm_log_pair pair = {.name = "id"};
    bbm_text_set(pair.value, sizeof(pair.value), "x\"}\n{\"event\":1\xff");
    bbm_log_write(BBM_EVENT_REQUEST_COMPLETED, &pair, 1);
    fclose(file);
    char text[2048];
    size_t len = read_all(ends[0], text, sizeof(text));
    ck_assert_uint_gt(len, 0);
    ck_assert_ptr_eq(strchr(text, '\n'), text + len - 1);
    ck_assert_ptr_nonnull(strstr(text, "x\\\"}\\u000a{"));
    close(ends[0]);
}
END_TEST

TEST_MAIN("log", slow_reader_does_not_block_logging,
          values_cannot_forge_lines);
