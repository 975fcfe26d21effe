#!/usr/bin/env bash
# A request ends each replica that runs it, but its connections do not break then: the
# replica falls silent, or ends after its client has left. Once three replicas have
# ended under it, over all its tries, no replica gets it any more. Sound requests
# beside it are served.
base=${3:-24340}
. "$(dirname "$0")/crashing_replicas.sh" "$1"

seed=${2:-7}

play_case() { # what service flags_of_replicas flags_of_clients...
  local what=$1 service=$2 of_replicas=$3 outcome
  shift 3
  begin_play "$service" $of_replicas
  # Seed and marker differ from play to play, so that no request comes again.
  outcome=$(play_retries --retries.seed "$((seed + play))" --retries.marked 2 \
    --retries.marked_at_once 2 --retries.marker "poison-$play" "$@")
  end_replicas
  echo "$what: $(marked_runs | tr '\n' ';')"
  echo "$outcome"
  check_marked "$what"
  check_sound "$what" "$outcome"
}

# The client waits for an answer, or leaves before its deadline.
waits='--retries.marked_deadline 1500 --retries.marked_patience 2000'
leaves='--retries.marked_deadline 3000 --retries.marked_patience 1500'
hurries='--retries.marked_deadline 3000 --retries.marked_patience 400'
silent='--replica.slots 20 --replica.silent_time 4500'
late='--replica.slots 20 --replica.crash_delay 1700'
late_silent="$late --replica.silent_time 4500"
stream='--retries.path /streams/go --retries.streams true'
once='--retries.path /single-lookups/go'

start_crash_cluster
play_case 'lookup, silent, client waits' tools "$silent" $waits
play_case 'lookup of one attempt, silent, client leaves' tools "$silent" $once $leaves
play_case 'lookup, silent, client leaves soon' tools "$silent" $hurries
play_case 'lookup, ends late' tools "$late" $leaves
play_case 'lookup, silent late' tools "$late_silent" $leaves
play_case 'stream, silent, client waits' models "--replica.events 5 $silent" $stream $waits
play_case 'stream, silent after an event, client leaves' models \
  "--replica.events 5 --replica.crash_after_events 1 $silent" $stream $leaves
play_case 'turn, silent, client leaves' models "--replica.events 5 $silent" $stream \
  --retries.of_programs true $leaves
play_case 'turn, ends late' models "--replica.events 5 $late" $stream \
  --retries.of_programs true $leaves
check_failures
echo "1 passed, 0 failed"
