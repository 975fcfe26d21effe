#!/usr/bin/env bash
# A daemon gets SIGTERM while calls run through it. It answers all of them
# before it ends, hands its partitions over, and ends with 0.
base=19200
step_ms=40
. "$(dirname "$0")/common.sh" "$@"

start_cluster
target=2
programs=()
for ((number = 0; number < 6; number++)); do
  programs+=("$(create_program 1)")
done
callers=()
for ((number = 0; number < 6; number++)); do
  chat $target "${programs[number]}" "key-$number" "question $number" >"$run/answer-$number" &
  callers+=($!)
done
sleep 0.4
end_process node-$target TERM
for caller in "${callers[@]}"; do
  wait "$caller" || fail "a caller's connection was cut off"
done
for ((number = 0; number < 6; number++)); do
  expect "answer $number" '"finish_reason":"stop"' "$(cat "$run/answer-$number")"
done
status=0
wait "${pid_of[node-$target]}" || status=$?
((status == 0)) || fail "the daemon ended with $status"
expect "its log" drain_finished "$(cat "$run/node-$target.log")"
for ((number = 0; number < 6; number++)); do
  expect "program $number" '"turns":1' \
    "$(curl -sf -m 20 "http://$(http_address 1)/v1/programs/${programs[number]}")"
done
echo "1 passed, 0 failed"
