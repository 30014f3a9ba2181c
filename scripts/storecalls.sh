#!/usr/bin/env bash
# Counts the calls to the platform's store of an idle fleet of DEMO_NODES
# nodes, and of the same fleet while it serves the demo's chats and notices.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

start_fleet
sleep 15 # the first reads of a new fleet
echo "idle:"
"$bin"/knapweedlab calls "$platform" --over 10s
start load "$bin"/knapweedlab load --nodes "$(join "${node_urls[@]}")" --engines "$(join "${engine_urls[@]}")" \
  --services "$(join "${service_urls[@]}")" --keys "$(join "${keys[@]}")" --service obras-api \
  --chats 100 --turns 12 --notices 0.3
echo "serving:"
"$bin"/knapweedlab calls "$platform" --over 6s
