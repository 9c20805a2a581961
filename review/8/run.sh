#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/target/review-2/release/review-standin-2
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -x "$root/target/release/pewtergap" ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
scratch=$(mktemp -d) || exit 2
clean() {
    for file in "$scratch"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$scratch"
}
# Whatever ends this script ends the stand-in and the planners that it started.
trap 'kill "$runner" 2>/dev/null; wait "$runner" 2>/dev/null; clean' EXIT
trap 'exit 2' INT TERM HUP
ROOT=$root RECORD=$here/record.txt SCRATCH=$scratch timeout -k 1 115 "$program" descriptors &
runner=$!
wait "$runner"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
