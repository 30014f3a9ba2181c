#!/usr/bin/env bash
# Sends chats and notices through the fleet while the platform's store fails,
# loses answers and forgets its history, engines cut streams, refuse and die, a
# service loses answers, a node is paused, another is stopped and a third dies.
# Callers retry as they may. The engine that dies can't be asked what it ran.
set -euo pipefail
cd "$(dirname "$0")/.."
export DEMO_NODES=${DEMO_NODES:-4}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

start_fleet
cat >"$logs/plan.json" <<JSON
{"steps":[
 {"after_ms":1000,"name":"store slow, answers lost","put":{"url":"$platform/lab/faults","body":{"delay_ms":20,"lose_every":3}}},
 {"after_ms":2000,"name":"store out","put":{"url":"$platform/lab/faults","body":{"outage":true}}},
 {"after_ms":3000,"name":"engine cuts streams","put":{"url":"${engine_urls[0]}/lab/faults","body":{"cut_after":20}}},
 {"after_ms":3500,"name":"engine refuses","put":{"url":"${engine_urls[1]}/lab/faults","body":{"overload":2}}},
 {"after_ms":4000,"name":"engine refuses late","put":{"url":"${engine_urls[2]}/lab/faults","body":{"hidden_overload":2}}},
 {"after_ms":5000,"name":"store back, history lost","put":{"url":"$platform/lab/faults","body":{"compact_now":true}}},
 {"after_ms":5500,"name":"service loses answers","put":{"url":"${service_urls[0]}/lab/faults","body":{"lose_every":5}}},
 {"after_ms":6000,"name":"node paused","signal":{"pids":[${pid_of[node-1]}],"signal":"STOP"}},
 {"after_ms":7000,"name":"engine dies","signal":{"pids":[${pid_of[engine-$engines]}],"signal":"KILL"}},
 {"after_ms":8000,"name":"node continues","signal":{"pids":[${pid_of[node-1]}],"signal":"CONT"}},
 {"after_ms":9000,"name":"VM list lags","put":{"url":"$platform/lab/faults","body":{"vm_list_lag_ms":3000,"vm_list_back":2}}},
 {"after_ms":10000,"name":"node stops","signal":{"pids":[${pid_of[node-$nodes]}],"signal":"TERM"}},
 {"after_ms":11000,"name":"node dies","signal":{"pids":[${pid_of[node-2]}],"signal":"KILL"}}
]}
JSON
start experiment "$bin"/knapweedlab experiment "$logs/plan.json"
experiment=$!
status=0
"$bin"/knapweedlab load --nodes "$(join "${node_urls[@]}")" --engines "$(join "${engine_urls[@]:0:engines-1}")" \
  --services "$(join "${service_urls[@]}")" --keys "$(join "${keys[@]}")" --service obras-api \
  --chats "${DEMO_CHATS:-120}" --turns 20 --emergency 0.1 --batch 0.2 --notices 0.3 --resend 0.2 \
  --under-faults --max-tries 6 &
load=$!
pids+=("$load")
wait "$load" || status=$?
wait "$experiment" || status=$?
cat "$logs/experiment.log"
exit "$status"
