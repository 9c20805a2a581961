#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# The stand-ins are those of the earlier review, unchanged, built by review/build-2.sh.
set -m
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/target/review-2/standin-1
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -x "$root/target/release/pewtergap" ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
export SERVERS=200 PROXIES=240 PLANNERS=10 KILL=7 PART=0.18 BATCHES=3 EVERY=4 SEED=${SEED:-6}
"$program" herd "$root" "$here/record.txt" &
standin=$!
(sleep 110; kill -KILL -- -$standin) >/dev/null 2>&1 &
watch=$!
# Whatever ends this script ends the stand-in and the planners that it started.
trap 'kill -KILL -- -$standin 2>/dev/null; kill -KILL -- -$watch 2>/dev/null' EXIT
trap 'exit 2' INT TERM HUP
wait "$standin"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
