#!/usr/bin/env bash
# Replicas and clients send bytes that are no message, without end. No gateway grows
# beyond its memory, and nobody waits for such a replica as long as the deadline.
# usage: platform_endless_bytes.sh BIN [SEED [PORT]]
base=${3:-27040}
gateways=3
. "$(dirname "$0")/platform_common.sh" "$1"

seed=${2:-51}
max_resident_kb=65536  # of a node, at the size that the system is built for
lookup_limit_ms=2000   # the time that callers have: of the route or the client
stream_limit_ms=3000
client_limit_ms=5000   # header-timeout-ms, and time to notice
plays=0
failures=()

gateway_memory() { # field of /proc/PID/status
  local number
  for number in 1 2 3; do
    sed -n "s/^$1:[^0-9]*\([0-9]*\) kB/\1/p" "/proc/${pid_of[gateway-$number]}/status"
  done
}

reset_peaks() {
  local number
  for number in 1 2 3; do
    echo 5 >"/proc/${pid_of[gateway-$number]}/clear_refs"
  done
}

check_memory() { # what
  local peak
  for peak in $(gateway_memory VmHWM); do
    ((peak <= max_resident_kb)) || failures+=("$1: a gateway took $peak KB")
  done
}

start_fleet() {
  start_store_and_group
  for number in 1 2 3 4; do
    start_replica "$number" "tool-$number" tools --replica.slots 100 \
      --replica.event_pause 250
    start_replica "$((10 + number))" "engine-$number" models --replica.slots 100 \
      --replica.events 5 --replica.event_pause 50
  done
  for number in 1 2 3; do
    start_gateway "$number" --limits.memory_mb 64
  done
  write_configuration 1
  wait_for_cluster
}

start_bad_replicas() { # kind
  start_replica 5 "bad-tool-$plays" tools --replica.slots 100 --replica.endless "$1"
  start_replica 15 "bad-engine-$plays" models --replica.slots 100 --replica.endless "$1"
  wait_until 50 lists_bad_replicas
  sleep 0.3 # until the gateways have heard of them
}

lists_bad_replicas() {
  (($(curl -s -m 2 "http://$store_address/objects/servers" |
    grep -oE "\"bad-(tool|engine)-$plays\"" | wc -l) >= 2))
}

end_bad_replicas() {
  local id
  for id in "bad-tool-$plays" "bad-engine-$plays"; do
    end_process "$id" KILL
    remove_replica_entry "$id"
  done
}

load() { # name flags...
  local name=$1
  shift
  "$platform_bin/heathtrestle-platform-stand-in" --role retries \
    $(gateway_flags --retries.gateways) --retries.marked 0 --retries.sound_tries 1 \
    --retries.sound_rate 30 --retries.sound_time 1500 \
    --retries.seed "$((seed * 100 + plays))" "$@" | grep '^sound: ' >"$run/load-$name" &
  loads+=($!)
}

check_load() { # kind name limit_ms may_fail
  local what="$1, $2" outcome requests whole slowest max_wait_ms=$(($3 * 2 / 3))
  outcome=$(cat "$run/load-$2")
  requests=$(value_of requests "$outcome")
  whole=$(value_of whole "$outcome")
  slowest=$(value_of 'slowest success' "$outcome")
  echo "$what: $outcome"
  ((slowest <= max_wait_ms)) || failures+=("$what: a caller waited $slowest ms")
  slowest=$(value_of 'slowest failure' "$outcome")
  ((slowest <= max_wait_ms)) || failures+=("$what: a caller waited $slowest ms to fail")
  [[ $4 == true ]] || ((whole == requests)) ||
    failures+=("$what: $whole of $requests were served")
}

# The replica was sent requests, and each was given up.
check_met() { # kind id
  local lost
  lost=$(cat "$run"/gateway-*.out | grep '"attempt_lost"' | grep -c "\"$2\"" || true)
  echo "$1: $lost requests were lost at $2"
  ((lost > 0)) || failures+=("$1: no request was sent to $2")
}

play_replicas() { # kind
  local loads=()
  plays=$((plays + 1))
  reset_peaks
  start_bad_replicas "$1"
  load lookups --retries.path /lookups/go
  load streams --retries.path /streams/go --retries.streams true
  load bookings --retries.path /tools/go
  wait "${loads[@]}"
  end_bad_replicas
  check_load "$1" lookups "$lookup_limit_ms" false
  check_load "$1" streams "$stream_limit_ms" false
  check_load "$1" bookings "$lookup_limit_ms" true # not sent on where they may run
  check_met "$1" "bad-tool-$plays"
  check_met "$1" "bad-engine-$plays"
  echo "$1: gateways took $(gateway_memory VmHWM | xargs) KB"
  check_memory "$1 of replicas"
}

play_clients() { # kind
  local outcome ended slowest
  plays=$((plays + 1))
  reset_peaks
  outcome=$("$platform_bin/heathtrestle-platform-stand-in" --role endless \
    --endless.gateway "$(gateway_address 1)" --endless.kind "$1" \
    --endless.clients 8 --endless.time 6000)
  echo "$1 of clients: $outcome; gateways took $(gateway_memory VmHWM | xargs) KB"
  ended=$(value_of ended "$outcome")
  slowest=$(value_of slowest "$outcome")
  ((ended == 8 && slowest <= client_limit_ms)) ||
    failures+=("$1 of clients: $ended of 8 were ended, the last after $slowest ms")
  check_memory "$1 of clients"
}

start_fleet
for kind in chunk_extension slow_chunk_extension wrapped_bytes trailers slow_trailers \
  chunked_body slow_chunked_body body slow_body announced_body line_ends no_head \
  head_lines slow_head slow_head_lines repeated_event refusal_body other_body \
  other_answers interim_answers; do
  play_replicas "$kind"
done
for kind in chunk_extension slow_chunk_extension wrapped_bytes trailers slow_trailers \
  chunked_body slow_body slow_chunked_body line_ends head_lines slow_head_lines; do
  play_clients "$kind"
done
outcome=$(play_programs 4 2) || failures+=("programs afterwards: $outcome")
((${#failures[@]} == 0)) || fail "$(printf '%s; ' "${failures[@]}")"
echo "1 passed, 0 failed"
