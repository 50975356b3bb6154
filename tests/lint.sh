#!/bin/bash
# Checks formatting, clang-tidy, doc comments, file lengths and which folders
# may include which headers.
BUILD=${1:-build}
failed=0

# note TEXT: prints a finding and makes the run fail
note() {
    echo "lint: $*"
    failed=1
}

sources=$(git ls-files 'packages/*.c' 'packages/*.h' 'packages/*.cc' \
    'platform/*.c' 'platform/*.h' \
    'tests/*.c' 'tests/*.h' 'tests/*.cc' | grep -v 'pb-c')
for file in $sources; do
    clang-format --dry-run -Werror "$file" >/dev/null 2>&1 || note "$file: run make format"
    lines=$(wc -l <"$file")
    [ "$lines" -le 600 ] || note "$file: $lines lines, limit 600; split it"
done

git ls-files 'packages/*.c' 'platform/*.c' | grep -v 'pb-c' |
    xargs -P 8 -n 4 clang-tidy -p "$BUILD" --quiet 2>/dev/null >"$BUILD/tidy.txt" ||
    { grep -E "(error|warning):" "$BUILD/tidy.txt" | sort -u | head -40; note "clang-tidy"; }

# Every header has a DOC: comment, and every public function and type a
# kernel-doc line.
for header in $(git ls-files 'packages/*.h' 'platform/*.h' | grep -v 'pb-c'); do
    grep -q 'DOC:' "$header" || note "$header: no DOC comment"
    for name in $(grep -v '^#\|(core)' "$header" | grep -oE '\bcq_[a-z_0-9]+\(' | tr -d '(' | sort -u); do
        grep -qE "(\* |/\*\* )$name\(\)" "$header" || note "$header: $name() has no doc comment"
    done
    for name in $(sed -n 's/^} \(cq_[a-z_]*_t\);/\1/p' "$header"); do
        grep -qE "(struct|enum|typedef) $name - " "$header" || note "$header: $name has no doc comment"
    done
done

# packages/core includes only base and GLib: it does no I/O and reads no clock.
# packages/base and packages/config don't include the layers above them.
grep -nE '#include [<"](gio|libsoup|json-glib|config/|wire/|router/|time\.h)' \
    packages/core/*.[ch] && note "packages/core may include only base and GLib"
grep -nE '#include "(core|wire|router|bench)/' packages/base/*.[ch] packages/config/*.[ch] &&
    note "packages/base and packages/config may not include core, wire, router or bench"
# The names of the platform's protocol occur only in platform/.
grep -niE '(cuminquay-(attempt|deadline|expect|credential|tenant|token|prefix|replica|not-exec|request-urg|helpers)|keyed\.(op|servers|hosts)|log-(append|read|newest))' \
    $(git ls-files 'packages/*.[ch]') && note "a name of the platform's protocol outside platform/"
[ $failed = 0 ] && echo "lint: clean"
exit $failed
