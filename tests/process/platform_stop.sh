#!/usr/bin/env bash
# A planned stop of a gateway while programs run: its readiness goes at once,
# requests in progress finish, and nothing is cut off.
base=19960
. "$(dirname "$0")/platform_common.sh" "$@"

start_platform_cluster
play_programs 40 4 >"$run/outcome" &
load=$!
sleep 0.7
stopped=${pid_of[gateway-2]}
kill -TERM "$stopped"
not_ready() { ! gateway_is_ready 2; }
wait_until 10 not_ready || fail "a gateway that stops still says ready"
wait "$stopped" || fail "the gateway did not end by itself with 0"
start_gateway 2
wait "$load" || fail "$(cat "$run/outcome")"
expect "the load's outcome" "finished 40, failed 0" "$(cat "$run/outcome")"
grep -q '"name":"daemon_stopped","open_requests":0,"unsettled":0' "$run/gateway-2.out" ||
  fail "the gateway stopped with requests open"
! grep -q '"reason":"the turn could not be recorded' "$run"/gateway-*.out ||
  fail "a turn was cut"
echo "1 passed, 0 failed"
