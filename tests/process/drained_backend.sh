#!/usr/bin/env bash
# A back end is drained while a call runs on it. The call ends there; everything
# that comes after the change is in force goes elsewhere.
base=19700
step_ms=60
. "$(dirname "$0")/common.sh" "$@"

backend_of() { sed 's/.*"backend":"\([^"]*\)".*/\1/'; }

start_cluster
program=$(create_program 1)
drained=$(chat 1 "$program" first "the first question" | backend_of)
[[ $drained == engine-* ]] || fail "no back end: $drained"
# By affinity the next call goes to the same back end.
chat 2 "$program" second "the second question" >"$run/second" &
caller=$!
sleep 0.4
expect "the change" "in_force_on: 3" "$(ctl 3 "drain backend $drained")"
for ((number = 0; number < 8; number++)); do
  fresh=$(create_program 1)
  used=$(chat $((number % 3 + 1)) "$fresh" only "question $number" | backend_of)
  [[ $used != "$drained" ]] || fail "$drained got a new call after its drain"
done
wait "$caller" || fail "the running call was cut off"
expect "the running call" '"finish_reason":"stop"' "$(cat "$run/second")"
used=$(chat 1 "$program" third "the third question" | backend_of)
[[ $used != "$drained" ]] || fail "affinity won over the drain"
echo "1 passed, 0 failed"
