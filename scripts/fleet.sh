# Functions that start and stop a small fleet of separate processes on free
# loopback ports. Sourced by demo.sh and playground.sh.
# shellcheck shell=bash

engines=${DEMO_ENGINES:-6}
services=${DEMO_SERVICES:-2}
nodes=${DEMO_NODES:-3}
workspaces=${DEMO_WORKSPACES:-4}
domains=(santander-a santander-b oviedo-a gijon-a)
bin=${BIN:-bin}
logs=$(mktemp -d)
pids=()
declare -A pid_of
engine_urls=()
service_urls=()
node_urls=()
keys=()

# stop_all ends what was started, in the reverse order, so that nodes drain
# before their targets go. A second signal must not stop it half-way.
stop_all() {
  trap '' INT TERM
  trap - EXIT
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$logs"
}

# start NAME COMMAND... runs a command in the background.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# wait_ready URL...
wait_ready() {
  "$bin"/knapweedlab wait --timeout 60s "$@" && return 0
  echo "logs of the processes:" >&2
  tail -n 5 "$logs"/*.log >&2
  return 1
}

join() {
  local IFS=,
  echo "$*"
}

# take sets $port to the next free port.
take() {
  port=${ports[next]}
  next=$((next + 1))
}

start_platform() {
  take
  platform=http://127.0.0.1:$port
  start platform "$bin"/knapweedlab platform --listen "127.0.0.1:$port"
  wait_ready "$platform/v1/vms"
}

start_targets() {
  local i
  for i in $(seq "$engines"); do
    take
    start "engine-$i" "$bin"/knapweedlab engine --platform "$platform" --id "engine-$i" \
      --listen "127.0.0.1:$port" --pool asistente-lm --failure-domain "${domains[i % 4]}"
    engine_urls+=("http://127.0.0.1:$port")
  done
  for i in $(seq "$services"); do
    take
    start "service-$i" "$bin"/knapweedlab service --platform "$platform" --id "service-$i" \
      --listen "127.0.0.1:$port" --pool obras-api --failure-domain "${domains[i % 4]}"
    service_urls+=("http://127.0.0.1:$port")
  done
  wait_ready "${engine_urls[@]/%//load}" "${service_urls[@]/%//lab/runs}"
}

# write_settings writes one team's document, with a key for each workspace.
write_settings() {
  local i separator=
  for i in $(seq "$workspaces"); do keys+=("demo-key-$i"); done
  {
    echo '{"models":{"asistente-lm":{}},"services":{"obras-api":{}},"workspaces":{'
    i=0
    for digest in $("$bin"/knapweedlab digest "${keys[@]}"); do
      i=$((i + 1))
      echo "$separator\"ws-$i\":{\"keys_sha256\":[\"$digest\"]}"
      separator=,
    done
    echo '}}'
  } >"$logs/team.json"
  "$bin"/knapweedgw settings set renovacion "$logs/team.json" --store "$platform" >/dev/null
}

start_nodes() {
  local i listen
  for i in $(seq "$nodes"); do
    take
    listen=127.0.0.1:$port
    take
    "$bin"/knapweedlab vm --platform "$platform" --id "node-$i" --listen "$listen" \
      --peer "127.0.0.1:$port" --failure-domain "${domains[i % 4]}"
    start "node-$i" "$bin"/knapweedgw serve --node-id "node-$i" --region cantabrico \
      --failure-domain "${domains[i % 4]}" --listen "$listen" --peer-listen "127.0.0.1:$port" \
      --store "$platform" --vm-list "$platform/v1/vms" --drain-grace 200ms
    node_urls+=("http://$listen")
  done
  wait_ready "${node_urls[@]/%//readyz}"
}

start_fleet() {
  trap stop_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  mapfile -t ports < <("$bin"/knapweedlab ports $((1 + engines + services + 2 * nodes)))
  next=0
  start_platform
  start_targets
  write_settings
  start_nodes
  echo "$nodes nodes, $engines engines and $services services are ready"
}
