/** @file
 *  The main function of a test program: TEST_MAIN("name", test, test, ...).
 */
#ifndef TEST_MAIN_H
#define TEST_MAIN_H

#include "bbm_hash.h"

#include <check.h>
#include <stdlib.h>

/** Runs all tests in one process, without forks, so that sanitizers cover
 *  them. */
#define TEST_MAIN(name, ...)                                                  \
    int main(void)                                                            \
    {                                                                         \
        const TTest *const tests[] = {__VA_ARGS__};                           \
        if (bbm_hash_setup() < 0)                                             \
            return EXIT_FAILURE;                                              \
        Suite *suite = suite_create(name);                                    \
        TCase *tcase = tcase_create(name);                                    \
        for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)         \
            tcase_add_test(tcase, tests[i]);                                  \
        suite_add_tcase(suite, tcase);                                        \
        SRunner *runner = srunner_create(suite);                              \
        srunner_set_fork_status(runner, CK_NOFORK);                           \
        srunner_run_all(runner, CK_NORMAL);                                   \
        int failed = srunner_ntests_failed(runner);                           \
        srunner_free(runner);                                                 \
        return failed ? EXIT_FAILURE : EXIT_SUCCESS;                          \
    }                                                                         \
    extern int test_main_needs_semicolon

#endif
