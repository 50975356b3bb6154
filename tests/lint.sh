#!/bin/bash
# Formatter, linter, doc comments, file lengths, and what may include what.
BUILD=${1:-build}
bad=0

note() {
    echo "lint: $*"
    bad=1
}

sources=$(git ls-files 'packages/*.c' 'packages/*.h' 'packages/*.cc' \
    'platform/*.c' 'platform/*.h' \
    'tests/*.c' 'tests/*.h' 'tests/*.cc' | grep -v 'pb-c')
for file in $sources; do
    clang-format --dry-run -Werror "$file" >/dev/null 2>&1 || note "$file: run make format"
    lines=$(wc -l <"$file")
    [ "$lines" -le 600 ] || note "$file: $lines lines; split it"
done

git ls-files 'packages/*.c' 'platform/*.c' | grep -v 'pb-c' |
    xargs -P 8 -n 4 clang-tidy -p "$BUILD" --quiet 2>/dev/null >"$BUILD/tidy.txt" ||
    { grep -E "(error|warning):" "$BUILD/tidy.txt" | sort -u | head -40; note "clang-tidy"; }

# Every public function and type has a doc comment.
for header in $(git ls-files 'packages/*.h' 'platform/*.h' | grep -v 'pb-c'); do
    grep -q 'DOC:' "$header" || note "$header: no DOC comment"
    for name in $(grep -v '^#\|(core)' "$header" | grep -oE '\bcq_[a-z_0-9]+\(' | tr -d '(' | sort -u); do
        grep -qE "(\* |/\*\* )$name\(\)" "$header" || note "$header: $name() has no doc comment"
    done
    for name in $(sed -n 's/^} \(cq_[a-z_]*_t\);/\1/p' "$header"); do
        grep -qE "(struct|enum|typedef) $name - " "$header" || note "$header: $name has no doc comment"
    done
done

# The core sees base and GLib only; nothing but the router and ctl does I/O.
grep -nE '#include [<"](gio|libsoup|json-glib|config/|wire/|router/|time\.h)' \
    packages/core/*.[ch] && note "the core includes more than base and GLib"
grep -nE '#include "(core|wire|router|bench)/' packages/base/*.[ch] packages/config/*.[ch] &&
    note "base or config includes what it may not"
# The platform's words stay in its folder.
grep -niE '(cuminquay-(attempt|deadline|expect|credential|tenant|token|prefix|replica|not-exec|request-urg|helpers)|keyed\.(op|servers|hosts)|log-(append|read|newest))' \
    $(git ls-files 'packages/*.[ch]') && note "a word of the platform outside platform/"
[ $bad = 0 ] && echo "lint: clean"
exit $bad
