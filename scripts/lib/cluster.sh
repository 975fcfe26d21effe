# Starts and ends local processes for the demo and the process tests.
# Sourced; expects `bin` (the folder of the programs) and `run` (a folder for
# logs) to be set, and `base` (the first of a hundred free ports).

declare -A pid_of
nodes=()
engines=()
platform_address="127.0.0.1:$((base))"

start_process() { # name command...
  local name=$1
  shift
  "$@" >>"$run/$name.out" 2>>"$run/$name.log" &
  pid_of[$name]=$!
}

end_process() { # name signal
  kill "-$2" "${pid_of[$1]}" 2>/dev/null || true
}

end_all() {
  for name in "${!pid_of[@]}"; do
    end_process "$name" KILL
  done
  wait 2>/dev/null || true
  pid_of=()
}

start_platform() { # flags...
  start_process platform "$bin/heathtrestle-platform" --listen "$platform_address" "$@"
}

engine_address() { echo "127.0.0.1:$((base + 10 + $1))"; }
http_address() { echo "127.0.0.1:$((base + 40 + $1))"; }
rpc_address() { echo "127.0.0.1:$((base + 70 + $1))"; }

start_engine() { # number flags...
  local number=$1
  shift
  engines+=("$number")
  start_process "engine-$number" "$bin/heathtrestle-engine" \
    --listen "$(engine_address "$number")" "$@"
}

start_node() { # number flags...
  local number=$1
  shift
  nodes+=("$number")
  start_process "node-$number" "$bin/heathtrestled" \
    --node.name "node-$number" --node.zone "zone-$number" \
    --listen.rpc "$(rpc_address "$number")" \
    --listen.http "$(http_address "$number")" \
    --cluster.seeds "$(rpc_address 1)" --cluster.seeds "$(rpc_address 2)" \
    --platform.address "$platform_address" "$@"
}

# Waits until a command succeeds; gives up after as many tenths of a second as
# the first argument says.
wait_until() { # tenths command...
  local tenths=$1
  shift
  for ((waited = 0; waited < tenths; waited++)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

node_ready() { curl -sf -m 2 "http://$(http_address "$1")/readyz"; }

wait_ready() {
  for number in "${nodes[@]}"; do
    wait_until 300 node_ready "$number"
  done
}

ctl() { # node statement...
  local number=$1
  shift
  "$bin/heathtrestlectl" --address "$(http_address "$number")" "$@"
}

# The tenants, classes, tools and engines that the workloads expect.
configure_cluster() { # node
  local statements=(
    'add tenant ward-office weight = 2'
    'add tenant depot weight = 1'
    'add tenant harbour-relief weight = 1'
    'add tenant parish-fund weight = 1'
    'add tenant cyclone-aid weight = 1'
    'add tenant seed-trust weight = 1'
    'add class urgent priority = 0, price = 10, budget = 50000000, turn_limit = 200'
    'add class standard priority = 2, price = 4, budget = 50000000, turn_limit = 200'
    'add class counter priority = 0, price = 10, budget = 50000000, turn_limit = 200'
    'add class review priority = 2, price = 4, budget = 50000000, turn_limit = 200'
    'add model model-a minimum_bytes_per_token = 4'
    "add tool booking address = \"$platform_address\", price = 100"
    "add tool lookup address = \"$platform_address\", price = 10"
  )
  for statement in "${statements[@]}"; do
    ctl "$1" "$statement" >/dev/null
  done
  for engine in "${engines[@]}"; do
    ctl "$1" "add backend engine-$engine address = \"$(engine_address "$engine")\", model = model-a, zone = zone-$((engine % 3 + 1)), slots = 8" >/dev/null
  done
}

load_flags() {
  for number in "${nodes[@]}"; do
    echo "--daemon $(http_address "$number")"
  done
  for number in "${engines[@]}"; do
    echo "--engine $(engine_address "$number")"
  done
  echo "--platform $platform_address"
}
