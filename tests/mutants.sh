#!/bin/bash
# Mutation test: applies each fault of tests/mutants.txt in turn to a scratch
# copy, builds it and checks that the named test fails.
set -u
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r packages platform tests meson.build "$scratch/"
meson setup "$scratch/build" "$scratch" >/dev/null || exit 1
ninja -C "$scratch/build" --quiet >/dev/null || exit 1
detected=0 missed=0

# fails TEST: does the test fail in the scratch copy? TEST is PROGRAM:FILTER (a
# GoogleTest program without _test), soak or the name of a scenario.
fails() {
    if [ "${1%%:*}" != "$1" ]; then
        ! timeout 60 "$scratch/build/tests/${1%%:*}_test" --gtest_filter="${1#*:}" >/dev/null 2>&1
    elif [ "$1" = soak ]; then
        ! timeout 60 "$scratch/build/packages/cqsoak" 1 400 40 >/dev/null 2>&1
    else
        ! timeout 60 "$scratch/build/packages/cqscn" "tests/scn/$1.scn" >/dev/null 2>&1
    fi
}

while read -r -u 9 line; do
    case "$line" in '' | '#'*) continue ;; esac
    name=$(awk -F ' ; ' '{ print $1 }' <<<"$line")
    file=$(awk -F ' ; ' '{ print $2 }' <<<"$line")
    from=$(awk -F ' ; ' '{ print $3 }' <<<"$line")
    to=$(awk -F ' ; ' '{ print $4 }' <<<"$line")
    test=$(awk -F ' ; ' '{ print $5 }' <<<"$line")
    path="$scratch/packages/$file"
    cp "$path" "$scratch/original"
    FROM="$(printf '%b' "$from")" TO="$(printf '%b' "$to")" perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$path"
    if cmp -s "$path" "$scratch/original"; then
        echo "text to replace not found in $file: $from"
        missed=$((missed + 1))
        continue
    fi
    if ! ninja -C "$scratch/build" --quiet >"$scratch/log" 2>&1; then
        echo "does not build: $name"
        grep error: "$scratch/log" | head -3
        missed=$((missed + 1))
    elif fails "$test"; then
        echo "detected by $test: $name"
        detected=$((detected + 1))
    else
        echo "NOT DETECTED by $test: $name"
        missed=$((missed + 1))
    fi
    cp "$scratch/original" "$path"
done 9<tests/mutants.txt
ninja -C "$scratch/build" --quiet >/dev/null
# Without a fault, the tests must pass.
for test in soak hold_repeat drain; do
    fails "$test" && echo "fails without a fault: $test" && missed=$((missed + 1))
done
echo "$detected detected, $missed not detected"
[ $missed = 0 ]
