# Starts the programs that run on the platform, against stand-ins, on one
# machine. Sourced after cluster.sh, whose process functions it uses; expects
# `platform_bin` (the folder of the platform's programs), `run` and `base` (the
# first of nine hundred free ports). The numbers of storage nodes and gateways, up to
# 99 each, may be set before it is sourced.

storages=${storages:-3}
gateways=${gateways:-2}

store_address="127.0.0.1:$((base))"
gateway_address() { echo "127.0.0.1:$((base + 100 + $1))"; }
ready_address() { echo "127.0.0.1:$((base + 200 + $1))"; }
peer_address() { echo "127.0.0.1:$((base + 300 + $1))"; }
gateway_rpc() { echo "127.0.0.1:$((base + 400 + $1))"; }
gateway_metrics() { echo "127.0.0.1:$((base + 500 + $1))"; }
storage_rpc() { echo "127.0.0.1:$((base + 600 + $1))"; }
storage_metrics() { echo "127.0.0.1:$((base + 700 + $1))"; }
replica_address() { echo "127.0.0.1:$((base + 800 + $1))"; }

# The address under which a process reaches the object store, and the one that is
# told to others in place of its own. The fault soak puts its proxy between.
store_for() { echo "$store_address"; } # process
advertised() { echo "$1"; }            # address

start_object_store() {
  start_process object-store "$platform_bin/heathtrestle-platform-stand-in" \
    --role store --address "$store_address"
}

start_replica() { # number id service flags...
  local number=$1 id=$2 service=$3
  shift 3
  start_process "$id" "$platform_bin/heathtrestle-platform-stand-in" \
    --role replica --address "$(replica_address "$number")" \
    --replica.advertised "$(advertised "$(replica_address "$number")")" \
    --store "$(store_for "$id")" --replica.id "$id" \
    --replica.service "$service" --replica.zone zone-1 "$@"
}

# Records at the object store that a replica drains.
drain_replica() { # number id service version
  curl -sf -m 2 -o /dev/null -X PUT "http://$store_address/objects/servers/$2" -d "{
    \"metadata\":{\"name\":\"$2\"},\"specification\":{\"service\":\"$3\",
    \"address\":\"$(advertised "$(replica_address "$1")")\",\"zone\":\"zone-1\",
    \"version\":\"$4\",\"slots\":8,\"state\":\"draining\",
    \"cold-remaining-ms\":0,\"sequence\":2}}"
}

remove_replica_entry() { # id
  curl -s -m 2 -o /dev/null -X DELETE "http://$store_address/objects/servers/$1"
}

start_storage() { # number first_start
  mkdir -p "$run/data-$1"
  start_process "storage-$1" "$platform_bin/heathtrestle-store" \
    --node.name "storage-$1" --node.zone "zone-$1" \
    --listen.rpc "$(storage_rpc "$1")" \
    --advertise.rpc "$(advertised "$(storage_rpc "$1")")" \
    --listen.metrics "$(storage_metrics "$1")" \
    --data.directory "$run/data-$1" --cluster.first_start "$2" \
    --cluster.seeds "$(peer_address 1)" \
    --store.address "$(store_for "storage-$1")"
}

start_gateway() { # number flags...
  local number=$1
  shift
  start_process "gateway-$number" "$platform_bin/heathtrestle-gateway" \
    --node.name "gateway-$number" --node.zone "zone-$number" \
    --listen.clients "$(gateway_address "$number")" \
    --listen.readiness "$(ready_address "$number")" \
    --listen.peers "$(peer_address "$number")" \
    --listen.rpc "$(gateway_rpc "$number")" \
    --advertise.rpc "$(advertised "$(gateway_rpc "$number")")" \
    --listen.metrics "$(gateway_metrics "$number")" \
    --cluster.seeds "$(peer_address 1)" --cluster.seeds "$(peer_address 2)" \
    --store.address "$(store_for "gateway-$number")" --timing.grace_seconds 8 "$@"
}

write_configuration() { # version
  cat >"$run/configuration.json" <<JSON
{"version":$1,"routes":[
 {"name":"turns","host":"agents.example","path-prefix":"/turns/","kind":"streaming",
  "timeout-ms":4000,"target-latency-ms":200,"priority":0,"service":"models",
  "max-attempts":2,"is-retained":true,"retention-s":60.0,"sticky-sessions":true,
  "resumable":true,"target-gap-ms":300},
 {"name":"streams","host":"agents.example","path-prefix":"/streams/","kind":"streaming",
  "timeout-ms":6000,"target-latency-ms":200,"priority":1,"service":"models",
  "max-attempts":2,"resumable":true,"target-gap-ms":300},
 {"name":"tools","host":"agents.example","path-prefix":"/tools/",
  "kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":200,"priority":2,
  "service":"tools","max-attempts":1},
 {"name":"lookups","host":"agents.example","path-prefix":"/lookups/",
  "kind":"idempotent","timeout-ms":2000,"target-latency-ms":200,"priority":2,
  "service":"tools","max-attempts":2},
 {"name":"single-lookups","host":"agents.example","path-prefix":"/single-lookups/",
  "kind":"idempotent","timeout-ms":2000,"target-latency-ms":200,"priority":2,
  "service":"tools","max-attempts":1}],
 "services":[
 {"name":"models","health-path":"/health","connection-limit":160,
  "engine":{"slots":8,"tokens-per-event":10}},
 {"name":"tools","health-path":"/health","connection-limit":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000}}
JSON
  "$platform_bin/heathtrestle-platform-stand-in" --role operator \
    --store "$store_address" --document "$run/configuration.json"
}

storage_value() { # number metric
  curl -s -m 2 "http://$(storage_metrics "$1")/metrics" |
    sed -n "s/^heathtrestle_records_$2 //p"
}

# The number of the storage node that leads, or nothing.
storage_leader() {
  for ((number = 1; number <= storages; number++)); do
    if [[ $(storage_value "$number" leader) == 1 ]]; then
      echo "$number"
      return
    fi
  done
}

group_is_whole() {
  local leader
  leader=$(storage_leader)
  [[ -n $leader && $(storage_value "$leader" voters) == 3 ]]
}

gateway_is_ready() { # number
  curl -sf -m 2 -o /dev/null "http://$(ready_address "$1")/readiness"
}

gateway_value() { # number metric
  curl -s -m 2 "http://$(gateway_metrics "$1")/metrics" |
    sed -n "s/^heathtrestle_gateway_$2 //p"
}

# Starts the object store and three storage nodes, which found their group.
start_store_and_group() {
  local number
  start_object_store
  wait_until 100 curl -s -m 1 -o /dev/null "http://$store_address/objects/config"
  for number in 1 2 3; do
    start_storage "$number" true
  done
}

# Waits until all gateways and the record group serve.
wait_for_cluster() {
  local number
  for ((number = 1; number <= gateways; number++)); do
    wait_until 100 gateway_is_ready "$number"
  done
  wait_until 200 group_is_whole
}

start_platform_cluster() {
  start_store_and_group
  start_replica 1 engine-1 models --replica.events 5 "$@"
  start_replica 2 engine-2 models --replica.events 5 "$@"
  start_replica 3 tool-1 tools --replica.surplus_every 5
  for number in 1 2; do
    start_gateway "$number"
  done
  write_configuration 1
  wait_for_cluster
}

# The flags that name all gateways to a client.
gateway_flags() { # flag
  local number
  for ((number = 1; number <= gateways; number++)); do
    echo "$1 $(gateway_address "$number")"
  done
}

# Receives streams through all gateways, takes up those that break, and prints the
# outcome.
play_streams() { # streams flags...
  local streams=$1 all
  shift
  read -r -d '' -a all < <(gateway_flags --streams.gateways) || true
  "$platform_bin/heathtrestle-platform-stand-in" --role streams "${all[@]}" \
    --streams.count "$streams" "$@"
}

# Plays programs through all gateways; prints the outcome.
play_programs() { # programs turns
  local all
  read -r -d '' -a all < <(gateway_flags --load.gateways) || true
  "$platform_bin/heathtrestle-platform-stand-in" --role load "${all[@]}" \
    --load.replicas "$(replica_address 1)" --load.replicas "$(replica_address 2)" \
    --load.replicas "$(replica_address 3)" \
    --load.programs "$1" --load.turns "$2"
}
