#!/usr/bin/env bash
# Daemons are killed one after another while a long call runs. The caller comes
# back with its key through another daemon and gets the whole answer, the same
# as a second asking, and the history is kept.
base=19100
step_ms=60
. "$(dirname "$0")/common.sh" "$@"

start_cluster
program=$(create_program 1)
first=$(chat 1 "$program" first "the first question" | answer_of)
[[ -n $first ]] || fail "the first call got no answer"

# The caller is at daemon 3. Daemons 1 and 2 lead about two thirds of the
# partitions; one of them dies, and a fresh one takes its place first.
chat 3 "$program" second "the second question" >"$run/second" &
caller=$!
sleep 0.5
end_process node-1 KILL
start_node 4
wait "$caller" || true
second=$(answer_of <"$run/second")
again=$(chat 2 "$program" second "the second question" | answer_of)
[[ -n $again && $again != *error* ]] || fail "no whole answer: $again"
if [[ $second != *error* && -n $second ]]; then
  expect "the answer to the same key" "$second" "$again"
fi
history=$(curl -sf -m 20 "http://$(http_address 2)/v1/programs/$program")
expect "the history" "$first" "$history"
expect "the history" "$again" "$history"
expect "the number of turns" '"turns":2' "$history"
echo "1 passed, 0 failed"
