#!/usr/bin/env bash
# Sound requests whose replicas crash at random, and whose streams break off
# without a crash, are served within the tries of their clients.
base=22540
. "$(dirname "$0")/crashing_replicas.sh" "$@"

seconds=${HEATHTRESTLE_CRASH_SECONDS:-8}
seed=${HEATHTRESTLE_CRASH_SEED:-11}
RANDOM=$seed

kill_replicas_at_random() {
  local end=$((SECONDS + seconds))
  while ((SECONDS < end)); do
    kill_replica $((1 + RANDOM % replicas))
    sleep "0.$((3 + RANDOM % 3))"
  done
}

play_case() { # what service flags_of_replicas flags_of_clients...
  local what=$1 service=$2 of_replicas=$3 load outcome
  shift 3
  begin_play "$service" $of_replicas
  play_retries --retries.marked 0 --retries.sound_time "$((seconds * 1000))" \
    --retries.seed "$((seed + play))" "$@" >"$run/outcome" &
  load=$!
  kill_replicas_at_random
  wait "$load"
  outcome=$(cat "$run/outcome")
  end_replicas
  echo "$what: $outcome"
  check_sound "$what" "$outcome"
}

streams='--replica.events 5 --replica.slots 20 --replica.break_every 7'
clients='--retries.path /streams/go --retries.streams true'
start_crash_cluster
play_case 'lookups' tools '--replica.slots 20'
play_case 'streams' models "$streams" $clients
play_case 'turns' models "$streams" $clients --retries.of_programs true
echo "refused for crashes: $(cat "$run"/gateway-*.out | grep -c crash_limit_reached || true)"
check_failures
echo "1 passed, 0 failed"
