#!/usr/bin/env bash
# The replicas of a service are replaced by another version and back again, while
# gateways, the leader of the records and the object store fail: no stream holds
# events of both versions, and streams that are taken up go on.
base=20740
. "$(dirname "$0")/versioned_streams.sh" "$@"

# Replaces a replica: the new one starts first, the old one drains.
replace_replica() { # old_number old_version new_number new_version
  start_versioned_replica "$3" "$4"
  sleep 0.3
  drain_replica "$1" "engine-$1" models "$2"
  sleep 1.2
  end_process "engine-$1" KILL
  remove_replica_entry "engine-$1"
}

begin_streams() { # of_programs seed
  play_streams 90 --streams.of_programs "$1" --streams.seed "$2" \
    >"$run/outcome" &
  load=$!
  sleep 0.45
}

end_streams() { # what least_taken_up
  wait "$load" || true
  check_streams "$1" "$(cat "$run/outcome")" "$2"
}

kill_gateway() { # number
  end_process "gateway-$1" KILL
  sleep 0.3
  start_gateway "$1"
}

all_ready() {
  for number in 1 2 3; do
    wait_until 200 gateway_is_ready "$number"
  done
  wait_until 200 group_is_whole
}

start_release_cluster
seed=1
for of_programs in true false; do
  begin_streams "$of_programs" "$seed"
  replace_replica 1 v1 13 v1.1
  kill_gateway 2
  replace_replica 2 v1 14 v1.1
  end_streams "forward, programs $of_programs" 1
  all_ready

  begin_streams "$of_programs" "$((seed + 1))"
  replace_replica 13 v1.1 1 v1
  kill_gateway 3
  replace_replica 14 v1.1 2 v1
  end_streams "back again, programs $of_programs" 1
  all_ready

  begin_streams "$of_programs" "$((seed + 2))"
  leader=$(storage_leader)
  end_process "storage-$leader" KILL
  kill_gateway 1
  start_storage "$leader" false
  end_streams "with the leader of the records, programs $of_programs" 1
  all_ready

  begin_streams "$of_programs" "$((seed + 3))"
  curl -sf -m 2 -o /dev/null "http://$store_address/control/down?value=2000"
  kill_gateway 1
  end_streams "with the object store down, programs $of_programs" 1
  all_ready
  seed=$((seed + 4))
done
echo "1 passed, 0 failed"
