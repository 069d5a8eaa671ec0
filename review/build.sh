#!/usr/bin/env bash
# Builds the stand-in of the scripts, into build-review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
cc -O2 -Wall -Wextra -pthread -o build-review/standin review/standin.c
