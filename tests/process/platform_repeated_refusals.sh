#!/usr/bin/env bash
# Replicas that are full repeat some of their refusals late, with the id of the
# request or without. Taken for the answer to another send, a refusal would make a
# request run on two replicas, or refuse one that runs.
# usage: platform_repeated_refusals.sh BIN [SEED [PORT]]
base=${3:-26140}
gateways=3
. "$(dirname "$0")/platform_common.sh" "$1"

seed=${2:-41}
replicas=8
plays=0
failures=()

start_fleet() { # flags...
  start_store_and_group
  for ((number = 1; number <= 4; number++)); do
    start_replica "$number" "tool-$number" tools --replica.slots 3 \
      --replica.event_pause 600 "$@"
    start_replica "$((4 + number))" "engine-$number" models --replica.slots 3 \
      --replica.events 2 --replica.event_pause 500 "$@"
  done
  for number in 1 2 3; do
    start_gateway "$number"
  done
  write_configuration 1
  wait_for_cluster
}

# Prints how many requests have run, and how many of them more than once.
runs() {
  for ((number = 1; number <= replicas; number++)); do
    curl -s -m 2 "http://$(replica_address "$number")/runs"
  done | awk '{ runs[$1] += $2 }
    END { for (id in runs) { ++ran; if (runs[id] > 1) ++twice }
      printf "%d %d", ran, twice }'
}

play() { # what flags...
  local what=$1 outcome before after twice_before twice requests refused bad
  shift
  plays=$((plays + 1)) # other ids in each play
  read -r before twice_before < <(runs) || true
  outcome=$("$platform_bin/heathtrestle-platform-stand-in" --role retries \
    $(gateway_flags --retries.gateways) --retries.marked 0 \
    --retries.sound_tries 1 --retries.sound_rate 50 --retries.sound_time 5000 \
    --retries.seed "$((seed * 100 + plays))" "$@" | grep '^sound: ')
  sleep 1 # until the last one has ended
  read -r after twice < <(runs) || true
  requests=$(value_of requests "$outcome")
  refused=$(value_of 503 "$outcome")
  bad=$(value_of 502 "$outcome")
  echo "$what: $outcome; ran $((after - before)), twice $((twice - twice_before))"
  ((twice == twice_before)) ||
    failures+=("$what: $((twice - twice_before)) requests ran twice")
  ((after - before + ${refused:-0} <= requests)) ||
    failures+=("$what: requests were refused that ran")
  ((${bad:-0} == 0)) || failures+=("$what: ${bad} requests were answered with 502")
  ((${refused:-0} > 0)) || failures+=("$what: the replicas were never full")
}

play_all() { # what
  play "$1, bookings" --retries.path /tools/go
  play "$1, lookups" --retries.path /lookups/go
  play "$1, streams" --retries.path /streams/go --retries.streams true \
    --retries.events 2
  play "$1, turns" --retries.path /turns/go --retries.streams true \
    --retries.events 2 --retries.of_programs true
}

start_fleet --replica.repeated_refusals 30
play_all 'repeated'
end_all
base=$((base + 900))
. "$(dirname "$0")/../../scripts/lib/platform_cluster.sh"
rm -rf "$run"/data-*
start_fleet --replica.repeated_refusals 30 --replica.repeats_name_request false
play_all 'repeated without an id'
((${#failures[@]} == 0)) || fail "$(printf '%s; ' "${failures[@]}")"
echo "1 passed, 0 failed"
