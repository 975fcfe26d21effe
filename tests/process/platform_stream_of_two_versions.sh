#!/usr/bin/env bash
# Replicas of two software versions serve side by side while streams break off
# and the clients' gateways are killed: no stream holds events of both versions,
# and streams that are taken up go on.
base=19840
. "$(dirname "$0")/versioned_streams.sh" "$@"

# Kills a gateway while its streams are under way; leaves the clients' outcome in
# a file.
play_streams_over_kill() { # of_programs seed
  play_streams 30 --streams.of_programs "$1" --streams.seed "$2" \
    >"$run/outcome" &
  local load=$!
  sleep 0.45
  end_process gateway-1 KILL
  sleep 0.5
  start_gateway 1
  wait "$load" || true
  wait_until 100 gateway_is_ready 1
}

start_release_cluster
for of_programs in true false; do
  for seed in 1 2; do
    play_streams_over_kill "$of_programs" "$seed"
    what="gateway killed, programs $of_programs, seed $seed"
    check_streams "$what" "$(cat "$run/outcome")" 1
    check_all_whole "$what" "$(cat "$run/outcome")"
  done
done
end_all

rm -rf "$run"/data-*
start_release_cluster --replica.break_every 3
for of_programs in true false; do
  for seed in 1 2; do
    outcome=$(play_streams 60 --streams.of_programs "$of_programs" \
      --streams.seed "$seed") || true
    what="broken off, programs $of_programs, seed $seed"
    check_streams "$what" "$outcome" 0
    check_all_whole "$what" "$outcome"
  done
done
grep -q '"name":"stream_resumed"' "$run"/gateway-*.out ||
  fail "no stream went on within its answer"
echo "1 passed, 0 failed"
