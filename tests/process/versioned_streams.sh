# Sourced by the tests of streams at replicas of several software versions.
# Expects `base`; starts three gateways and checks what clients received.
gateways=3
. "$(dirname "$0")/platform_common.sh" "$@"

start_versioned_replica() { # number version flags...
  local number=$1 version=$2
  shift 2
  start_replica "$number" "engine-$number" models --replica.version "$version" \
    --replica.events 20 --replica.event_pause 50 --replica.slots 20 "$@"
}

# Two replicas of v1 (numbers 1 and 2) and two of v1.1 (11 and 12).
start_release_cluster() { # flags of replicas...
  start_store_and_group
  for number in 1 2; do
    start_versioned_replica "$number" v1 "$@"
  done
  for number in 11 12; do
    start_versioned_replica "$number" v1.1 "$@"
  done
  for number in 1 2 3; do
    start_gateway "$number"
  done
  write_configuration 1
  wait_for_cluster
}

value_in() { # outcome name
  sed -n "s/.*\b$2 \([0-9]*\),.*/\1/p" <<<"$1" | head -n 1
}

# No stream holds events of two versions or is out of order, and streams that are
# taken up go on at least half as often as new ones begin.
check_streams() { # what outcome least_taken_up
  echo "$1: $2"
  local streams begun taken gone
  streams=$(value_in "$2" streams)
  begun=$(value_in "$2" begun)
  taken=$(value_in "$2" 'taken up')
  gone=$(value_in "$2" 'gone on')
  expect "$1" "mixed 0, violations 0," "$2"
  ((taken >= $3)) || fail "$1: only $taken streams were taken up"
  ((2 * gone * streams >= taken * begun)) ||
    fail "$1: $gone of $taken went on, $begun of $streams began"
}

check_all_whole() { # what outcome
  expect "$1" "whole $(value_in "$2" streams)," "$2"
}
