#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides the daemon, into
# target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.c; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    gcc -std=gnu11 -O2 -Wall -Wextra -pthread -o "target/review-3/case-$number" \
        "$case" review/world-3.c
done
