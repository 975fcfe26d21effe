#!/usr/bin/env bash
# All gateways are killed at once beside replicas of two software versions, and
# clients take their streams up without naming the attempt that began them: no
# stream holds events of both versions, and those of programs go on.
base=19840
. "$(dirname "$0")/versioned_streams.sh" "$@"

# Leaves the clients' outcome in a file.
play_streams_over_kill_of_all() { # of_programs seed
  play_streams 30 --streams.of_programs "$1" --streams.seed "$2" \
    --streams.names_first_attempt false >"$run/outcome" &
  local load=$! number
  sleep 0.45
  for number in 1 2 3; do
    end_process "gateway-$number" KILL
  done
  sleep 0.5
  for number in 1 2 3; do
    start_gateway "$number"
  done
  wait "$load" || true
  for number in 1 2 3; do
    wait_until 100 gateway_is_ready "$number"
  done
}

start_release_cluster
for seed in 1 2; do
  play_streams_over_kill_of_all true "$seed"
  echo "programs, seed $seed: $(cat "$run/outcome")"
  expect "programs, seed $seed" "mixed 0, violations 0," "$(cat "$run/outcome")"
  check_all_whole "programs, seed $seed" "$(cat "$run/outcome")"
  play_streams_over_kill_of_all false "$seed"
  echo "no programs, seed $seed: $(cat "$run/outcome")"
  expect "no programs, seed $seed" "mixed 0, violations 0," "$(cat "$run/outcome")"
done
echo "1 passed, 0 failed"
