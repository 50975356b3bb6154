#!/bin/bash
# Builds the stand-ins of the scripts in review/6 and on, after the build of the
# deploy file: the project's own one for the store, a replica, and callers.
cd "$(dirname "$0")/.." || exit 2
set -e
ninja -C target tests/fleetstandin
mkdir -p target/review-2
for name in replica caller; do
    cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread \
        -o "target/review-2/$name" "review/standin-2/$name.c"
done
