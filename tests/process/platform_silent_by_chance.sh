#!/usr/bin/env bash
# Sound requests whose replicas fall silent at random are served within the tries of
# their clients. Replicas that are only slow are not taken as ended, also where each
# request to them times out.
base=${3:-25240}
. "$(dirname "$0")/crashing_replicas.sh" "$1"

seconds=${HEATHTRESTLE_CRASH_SECONDS:-8}
seed=${2:-11}
RANDOM=$seed

silence_replicas_at_random() {
  local end=$((SECONDS + seconds))
  while ((SECONDS < end)); do
    kill -USR1 "$(cat "$run/pid-$play-$((1 + RANDOM % replicas))")" 2>/dev/null || true
    sleep "1.$((1 + RANDOM % 4))"
  done
}

play_case() { # what service flags_of_replicas flags_of_clients...
  local what=$1 load outcome
  begin_play "$2" $3
  shift 3
  play_retries --retries.marked 0 --retries.sound_time "$((seconds * 1000))" \
    --retries.seed "$((seed + play))" "$@" >"$run/outcome" &
  load=$!
  silence_replicas_at_random
  wait "$load"
  outcome=$(cat "$run/outcome")
  end_replicas
  echo "$what: $outcome"
  check_sound "$what" "$outcome"
}

log_lines() { cat "$run"/gateway-*.out | grep -c "\"$1\"" || true; } # name

play_slow() { # what service flags_of_replicas flags_of_clients...
  local what=$1 before ended
  before=$(log_lines replica_ended)
  begin_play "$2" $3
  shift 3
  echo "$what: $(play_retries --retries.marked 0 --retries.sound_time 3000 \
    --retries.seed "$((seed + play))" "$@")"
  ended=$(($(log_lines replica_ended) - before))
  end_replicas
  ((ended == 0)) || failures+=("$what: $ended replicas were taken as ended")
}

silent='--replica.slots 20 --replica.silent_time 2500'
clients='--retries.path /streams/go --retries.streams true'
start_crash_cluster
play_slow 'slow lookups' tools '--replica.slots 200 --replica.event_pause 900'
play_slow 'lookups that time out' tools \
  '--replica.slots 200 --replica.event_pause 2500'
play_slow 'slow streams' models \
  '--replica.slots 200 --replica.events 2 --replica.event_pause 1200' \
  $clients --retries.events 2
((${#failures[@]} > 0)) || (($(log_lines crash_limit_reached) == 0)) ||
  failures+=("requests at slow replicas were refused for crashes")
play_case 'lookups' tools "$silent"
play_case 'streams' models "$silent --replica.events 5" $clients
play_case 'turns' models "$silent --replica.events 5" $clients \
  --retries.of_programs true
echo "refused for crashes: $(log_lines crash_limit_reached)"
echo "found to have ended: $(log_lines replica_ended)"
(($(log_lines replica_ended) > 0)) || failures+=("no replica fell silent")
check_failures
echo "1 passed, 0 failed"
