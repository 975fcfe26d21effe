#!/usr/bin/env bash
# Requests that crash their replicas are tried again while gateways are killed, one
# storage node at a time is killed, and the object store is down: still no replica
# gets them after three have crashed. With "power" all storage nodes are also killed
# at once. Usage: ... FOLDER [SEED [BASE [power]]]
base=${3:-23440}
seed=${2:-31}
strikes=(gateway gateway storage store)
if [[ ${4:-} == power ]]; then
  strikes+=(power)
fi
. "$(dirname "$0")/crashing_replicas.sh" "$1"
RANDOM=$seed

draw() { # one of the words given
  local words=("$@")
  echo "${words[RANDOM % ${#words[@]}]}"
}

strike() {
  local name
  case $(draw "${strikes[@]}") in
  gateway)
    name=$((1 + RANDOM % gateways))
    echo "kills gateway-$name"
    end_process "gateway-$name" KILL
    sleep "0.$((RANDOM % 5 + 1))"
    start_gateway "$name"
    ;;
  storage)
    name=$((1 + RANDOM % 3))
    echo "kills storage-$name"
    end_process "storage-$name" KILL
    sleep "0.$((RANDOM % 9 + 1))"
    start_storage "$name" false
    wait_until 100 group_is_whole # the group bears one loss at a time
    ;;
  power)
    echo "kills all storage nodes"
    for name in 1 2 3; do end_process "storage-$name" KILL; done
    sleep "0.$((RANDOM % 9 + 1))"
    for name in 1 2 3; do start_storage "$name" false; done
    ;;
  store)
    echo "the object store is down"
    curl -s -m 2 -o /dev/null -X POST \
      "http://$store_address/control/down?value=$((RANDOM % 3000 + 500))"
    ;;
  esac
}

play_beside_faults() { # what service flags_of_replicas flags_of_clients...
  local what=$1 service=$2 of_replicas=$3 load
  shift 3
  begin_play "$service" $of_replicas
  wait_until 200 group_is_whole
  play_retries --retries.seed "$((seed + play))" --retries.marked 8 \
    --retries.marked_at_once 2 --retries.marker "poison-$play" "$@" \
    >"$run/outcome" &
  load=$!
  while kill -0 "$load" 2>/dev/null; do
    strike
    sleep "0.$((RANDOM % 6 + 2))"
  done
  wait "$load"
  end_replicas
  echo "$what: $(marked_runs | tr '\n' ';')"
  cat "$run/outcome"
  check_marked "$what"
}

start_crash_cluster
stream='--retries.path /streams/go --retries.streams true'
play_beside_faults 'lookups' tools '--replica.slots 20'
play_beside_faults 'turns' models '--replica.events 5 --replica.slots 20' \
  $stream --retries.of_programs true
play_beside_faults 'streams, after an event' models \
  '--replica.events 5 --replica.slots 20 --replica.crash_after_events 1' $stream
check_failures
echo "1 passed, 0 failed"
