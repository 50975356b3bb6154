#!/bin/bash
# Builds the stand-ins of the scripts in review/, after the build of the deploy
# file: the project's own one for the platform, two proxies, a replica that
# streams, and its callers.
cd "$(dirname "$0")/.." || exit 2
set -e
ninja -C target tests/fleetstandin
mkdir -p target/review
for name in losing_proxy cutting_proxy stream_replica stream_callers; do
    cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o "target/review/$name" \
        "review/standin/$name.c"
done
