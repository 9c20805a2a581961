#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# The stand-ins are those of the earlier review, unchanged, built by review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/target/review-2/standin-1
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -x "$root/target/release/pewtergap" ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
scratch=$(mktemp -d) || exit 2
export TMPDIR=$scratch
export SERVERS=200 PROXIES=240 PLANNERS=10 KILL=7 PART=0.18 BATCHES=3 EVERY=4 SEED="${SEED:-6}"
# timeout makes a process group of its own for the stand-in and the planners. Whatever ends this script ends them all.
trap 'kill -9 "-$runner" 2>/dev/null; wait "$runner" 2>/dev/null; rm -rf "$scratch"' EXIT
trap 'exit 2' INT TERM HUP
timeout -k 1 110 "$program" herd "$root" "$here/record.txt" &
runner=$!
wait "$runner"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
