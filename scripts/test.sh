#!/usr/bin/env bash
# Runs every test of both modules with the race detector, none from the cache:
# it doesn't see the files outside a test's module. The tests listed in
# KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

list=KNOWN-RED.txt
names=$(scripts/known-red.sh "$list")
known=$(paste -sd '|' - <<<"$names")
# Tests of crowds of clients measure a node's memory. They run one at a time after the others, apart from their load.
crowd='TestCrowd.*'
# Beside other work the fleets of hundreds of nodes on virtual time, which no verdict
# depends on the speed of, take longer than the ten minutes that go test gives a package.
limit=25m
status=0
for module in . lab; do
  (cd "$module" && go test -race -count=1 -timeout "$limit" -skip "^(${known:+$known|}$crowd)\$" ./...) || status=1
done
(cd lab && go test -race -count=1 -timeout "$limit" -run "^$crowd\$" -skip "^(${known:-none})\$" ./fleettest) || status=1
if [ -n "$names" ]; then
  echo "known to fail, passed over:"
  sed 's/^/  /' "$list"
fi
exit "$status"
