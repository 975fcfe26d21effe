#!/usr/bin/env bash
# The platform goes down. Programs run on, a daemon that joins meanwhile learns
# the configuration from its peers, and an operator's change is refused with a
# clear answer.
base=19400
. "$(dirname "$0")/common.sh" "$@"

start_cluster
end_process platform KILL
program=$(create_program 1)
expect "a call without the platform" '"finish_reason":"stop"' "$(chat 2 "$program" one "a question")"
start_node 4
wait_until 300 node_ready 4
expect "a call at the new daemon" '"finish_reason":"stop"' "$(chat 4 "$program" two "another question")"
status=0
ctl 4 "set tenant depot weight = 9" >"$run/refused" 2>&1 || status=$?
((status == 1)) || fail "the change was not refused: $(cat "$run/refused")"
expect "the operator's answer" "peer: $platform_address" "$(cat "$run/refused")"
echo "1 passed, 0 failed"
