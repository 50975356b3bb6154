#!/bin/bash
# Shows that the tests notice what they are for: puts each fault of
# tests/mutants.txt into a scratch copy and runs the test that must fail.
set -u
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r packages platform tests meson.build "$scratch/"
meson setup "$scratch/build" "$scratch" >/dev/null || exit 1
ninja -C "$scratch/build" --quiet >/dev/null || exit 1
noticed=0 missed=0

# fails TEST: does the test fail in the scratch copy?
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
    cp "$path" "$scratch/kept"
    FROM="$(printf '%b' "$from")" TO="$(printf '%b' "$to")" perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$path"
    if cmp -s "$path" "$scratch/kept"; then
        echo "not found in $file: $from"
        missed=$((missed + 1))
        continue
    fi
    if ! ninja -C "$scratch/build" --quiet >"$scratch/log" 2>&1; then
        echo "does not build: $name"
        grep error: "$scratch/log" | head -3
        missed=$((missed + 1))
    elif fails "$test"; then
        echo "noticed by $test: $name"
        noticed=$((noticed + 1))
    else
        echo "NOT NOTICED by $test: $name"
        missed=$((missed + 1))
    fi
    cp "$scratch/kept" "$path"
done 9<tests/mutants.txt
ninja -C "$scratch/build" --quiet >/dev/null
for test in soak hold_repeat drain; do
    fails "$test" && echo "fails without a fault: $test" && missed=$((missed + 1))
done
echo "$noticed noticed, $missed not noticed"
[ $missed = 0 ]
