#!/usr/bin/env bash
# Two operators change the same object from the same version: one is accepted,
# the other is told of the conflict. An accepted change whose answer was lost is
# settled by reading back, and nothing ever reverts.
base=19300
. "$(dirname "$0")/common.sh" "$@"

start_cluster
version=$(ctl 1 "show tenants where name = depot" | awk 'NR==2 {print $2}')
ctl 1 "set tenant depot weight = 11 if version $version" >"$run/one" 2>&1 &
one=$!
ctl 2 "set tenant depot weight = 22 if version $version" >"$run/two" 2>&1 &
two=$!
accepted=0
wait $one && accepted=$((accepted + 1))
wait $two && accepted=$((accepted + 1))
((accepted == 1)) || fail "$accepted of two racing changes were accepted"
expect "the other operator" "code: conflict" "$(cat "$run/one" "$run/two")"
expect "the other operator" "expected $version" "$(cat "$run/one" "$run/two")"

curl -sf -X POST "http://$platform_address/v1/faults?mode=lose_answers" >/dev/null
ctl 3 "set tenant depot weight = 33" >"$run/lost" || fail "a lost answer was not settled: $(cat "$run/lost")"
expect "the spread" "in_force_on: 3" "$(cat "$run/lost")"
curl -sf -X POST "http://$platform_address/v1/faults?mode=none" >/dev/null
for number in 1 2 3; do
  expect "the weight at daemon $number" 33 "$(ctl "$number" "show tenants where name = depot")"
done
echo "1 passed, 0 failed"
