#!/usr/bin/env bash
# A request ends each replica that runs it; its client tries it again at other
# gateways under new ids. Once three replicas have crashed under it, over all its
# tries, no replica gets it any more. Sound requests beside it are served.
base=21640
. "$(dirname "$0")/crashing_replicas.sh" "$@"

play_case() { # what service flags_of_replicas flags_of_clients...
  local what=$1 service=$2 of_replicas=$3 outcome
  shift 3
  begin_play "$service" $of_replicas
  # Seed and marker differ from play to play, so that no request comes again.
  outcome=$(play_retries --retries.seed "$((seed + play))" \
    --retries.marker "poison-$play" "$@")
  end_replicas
  echo "$what: $(marked_runs | tr '\n' ';')"
  echo "$outcome"
  check_marked "$what"
  check_sound "$what" "$outcome"
}

seed=${HEATHTRESTLE_CRASH_SEED:-7}
before_head='--replica.events 5 --replica.slots 20'
after_event="$before_head --replica.crash_after_events 1"
stream='--retries.path /streams/go --retries.streams true'
start_crash_cluster
play_case 'lookup' tools '--replica.slots 20'
play_case 'stream, before the head' models "$before_head" $stream
play_case 'stream, after an event' models "$after_event" $stream
play_case 'turn, before the head' models "$before_head" $stream \
  --retries.of_programs true
play_case 'turn, after an event' models "$after_event" $stream \
  --retries.of_programs true
play_case 'three at once' tools '--replica.slots 20' --retries.marked_at_once 3
play_case 'not repeatable' tools '--replica.slots 20' \
  --retries.path /tools/go --retries.marked_tries 1
check_failures
echo "refused connections: $(refused_connections)"
echo "1 passed, 0 failed"
