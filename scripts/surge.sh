#!/usr/bin/env bash
# Sends more chats than the engines batch at a time, most of them from one
# workspace that surges, with emergencies and batch work among them.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

start_fleet
"$bin"/knapweedlab load --nodes "$(join "${node_urls[@]}")" --engines "$(join "${engine_urls[@]}")" \
  --services "$(join "${service_urls[@]}")" --keys "$(join "${keys[@]}")" --service obras-api \
  --chats "${DEMO_CHATS:-700}" --turns "${DEMO_TURNS:-6}" --think 100ms --surge 1 \
  --emergency 0.05 --batch 0.3 --notices 0.1 --max-tries 10 &
load=$!
pids+=("$load")
status=0
wait "$load" || status=$?
exit "$status"
