#!/usr/bin/env bash
# Keeps the stand-ins and three nodes running until ctrl-C, and prints commands
# to try.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

start_fleet
cp "$logs/team.json" "$bin/playground-team.json"
cat <<TEXT
Ctrl-C stops them.

Ask for a streamed answer, through any node:

  curl -N ${node_urls[0]}/v1/chat/completions -H 'Authorization: Bearer ${keys[0]}' \\
    -H 'Content-Type: application/json' \\
    -d '{"model":"asistente-lm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Hola"}]}'

Call the plain service:

  curl ${node_urls[0]}/services/obras-api/works/1 -H 'Authorization: Bearer ${keys[0]}'

Change the routing knob (more reuse, more skew), write it, and see that every
node has it:

  sed -i.bak 's/"asistente-lm":{}/"asistente-lm":{"load_factor":1.5}/' $bin/playground-team.json
  $bin/knapweedgw settings set renovacion $bin/playground-team.json --store $platform --wait 20s
  $bin/knapweedgw settings get renovacion --store $platform
  $bin/knapweedgw status --vm-list $platform/v1/vms

Let the platform's store fail, and mend it:

  curl -X PUT $platform/lab/faults -d '{"outage":true}'
  curl -X PUT $platform/lab/faults -d '{}'

Send chats:

  $bin/knapweedlab load --nodes $(join "${node_urls[@]}") \\
    --engines $(join "${engine_urls[@]}") --services $(join "${service_urls[@]}") \\
    --keys $(join "${keys[@]}") --service obras-api

Logs are in $logs
TEXT
wait "${pids[0]}"
