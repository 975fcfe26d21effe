#!/usr/bin/env bash
# While programs run, the leading storage node is killed, another one loses its
# disk, and a gateway is killed and started again: every program still finishes
# with its own history.
base=19720
. "$(dirname "$0")/platform_common.sh" "$@"

start_platform_cluster
play_programs 60 5 >"$run/outcome" &
load=$!
sleep 1
leader=$(storage_leader)
end_process "storage-$leader" KILL
sleep 2
start_storage "$leader" false
wait_until 200 group_is_whole || fail "the group did not recover from a kill"
other=$((leader % 3 + 1))
end_process "storage-$other" KILL
sleep 0.5
rm -rf "$run/data-$other"
start_storage "$other" false
wait_until 200 group_is_whole || fail "the group did not recover from a wipe"
end_process gateway-2 KILL
sleep 0.5
start_gateway 2
wait "$load" || fail "$(cat "$run/outcome")"
expect "the load's outcome" "finished 60, failed 0" "$(cat "$run/outcome")"

# All lose power at once; what was kept is there to go on from.
before=$(storage_value "$(storage_leader)" turns)
for number in 1 2 3; do
  end_process "storage-$number" KILL
done
sleep 0.5
for number in 1 2 3; do
  start_storage "$number" false
done
wait_until 200 group_is_whole || fail "the group did not come back"
all_turns_are_back() {
  [[ $(storage_value "$(storage_leader)" turns) == "$before" ]]
}
wait_until 100 all_turns_are_back || fail "turns were lost with the power"
echo "1 passed, 0 failed"
