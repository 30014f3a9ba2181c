#!/usr/bin/env bash
# Starts the stand-ins and three nodes as separate processes on free loopback
# ports, sends returning chats and notices through all nodes, and stops all it
# started, also on ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

start_fleet
"$bin"/knapweedlab load --nodes "$(join "${node_urls[@]}")" --engines "$(join "${engine_urls[@]}")" \
  --services "$(join "${service_urls[@]}")" --keys "$(join "${keys[@]}")" \
  --model asistente-lm --service obras-api --chats "${DEMO_CHATS:-120}" --turns "${DEMO_TURNS:-5}" \
  --emergency 0.1 --batch 0.2 --notices 0.3 --max-tries 6 &
load=$!
pids+=("$load")
status=0
wait "$load" || status=$?
exit "$status"
