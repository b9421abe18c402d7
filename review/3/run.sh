#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
CASE_TMP="$(mktemp -d)" || exit 2
export CASE_TMP
end() {
    # What the case has not ended itself, for instance if it was stopped.
    if [ -e "$CASE_TMP/pids" ]; then
        while read -r pid; do
            [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = rushwalk ] && kill -KILL "$pid" 2>/dev/null
        done < "$CASE_TMP/pids"
    fi
    [ -n "${KEEP:-}" ] && cp "$CASE_TMP"/*.log "$KEEP"/
    rm -rf "$CASE_TMP"
}
trap end EXIT
timeout -k 1 118 target/review/release/standins quota "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
