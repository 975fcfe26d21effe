# Sourced by the tests of requests under which replicas crash. Expects `base`;
# starts three gateways, and replicas that start again under another id after a
# crash.
gateways=3
replicas=10
. "$(dirname "$0")/platform_common.sh" "$@"

restart_pause=1.2 # seconds from a crash to the next start
entry_lapse=2.4   # seconds from a crash until the entry is gone
play=0

# Takes the entry of a replica away some time after it has crashed or fallen silent,
# as the platform does.
remove_entry_after_crash() { # id process
  while kill -0 "$2" 2>/dev/null && ! grep -qs ' crashes ' "$run/$1.out"; do
    sleep 0.2
  done
  sleep "$entry_lapse"
  remove_replica_entry "$1"
}

# Runs one replica after the other at the same address until the play is over.
keep_replica_running() { # number service flags...
  local number=$1 service=$2 start=0 id pid
  shift 2
  while [[ ! -e $run/over-$play ]]; do
    start=$((start + 1))
    id="replica-$play-$number-$start"
    "$platform_bin/heathtrestle-platform-stand-in" --role replica \
      --address "$(replica_address "$number")" --store "$store_address" \
      --replica.id "$id" --replica.service "$service" --replica.zone zone-1 \
      --replica.crash_marker poison "$@" >>"$run/$id.out" 2>>"$run/$id.log" &
    pid=$!
    echo "$pid" >"$run/pid-$play-$number"
    remove_entry_after_crash "$id" "$pid" &
    wait "$pid" 2>/dev/null || true
    sleep "$restart_pause"
  done
  wait || true
}

has_replicas() {
  (($(curl -s -m 2 "http://$store_address/objects/servers" |
    grep -o "\"replica-$play-" | wc -l) >= replicas))
}

start_replicas() { # service flags...
  play=$((play + 1))
  supervisors=()
  for ((number = 1; number <= replicas; number++)); do
    keep_replica_running "$number" "$@" &
    supervisors+=($!)
  done
  wait_until 100 has_replicas
  sleep 0.5 # until the gateways have heard of them
}

# Starts the replicas of a play and waits until all gateways are ready.
begin_play() { # service flags...
  start_replicas "$@"
  for number in 1 2 3; do
    wait_until 100 gateway_is_ready "$number"
  done
}

kill_replica() { # number
  kill -KILL "$(cat "$run/pid-$play-$1")" 2>/dev/null || true
}

end_replicas() {
  ((play > 0)) || return 0
  touch "$run/over-$play"
  for ((number = 1; number <= replicas; number++)); do
    kill_replica "$number"
  done
  wait "${supervisors[@]}" 2>/dev/null || true
}

end_others() { end_replicas; }

start_crash_cluster() {
  start_store_and_group
  for number in 1 2 3; do
    start_gateway "$number"
  done
  write_configuration 1
  wait_until 200 group_is_whole
}

# Sends marked requests that are tried again, beside sound ones; prints what the
# clients saw.
play_retries() { # flags...
  local all
  read -r -d '' -a all < <(gateway_flags --retries.gateways) || true
  "$platform_bin/heathtrestle-platform-stand-in" --role retries "${all[@]}" "$@"
}

# Prints for each marked request of this play how often it ran, under how many
# replicas that crashed, and how often it ran after three had crashed.
marked_runs() {
  sort -n "$run"/replica-"$play"-*.out | awk '
    $2 == "runs" { ++runs[$3]; if (crashes[$3] >= 3) ++late[$3] }
    $2 == "crashes" { ++crashes[$3] }
    END { for (id in runs)
      printf "%s runs %d crashes %d late %d\n", id, runs[id], crashes[id], late[id] }' |
    sort
}

refused_connections() {
  cat "$run"/gateway-*.out | grep -c '"connection refused"' || true
}

# Failures of the plays so far; each play is checked, also after one has failed.
failures=()

# No marked request ran after three replicas had crashed under it.
check_marked() { # what
  local late
  late=$(marked_runs | awk '{ late += $7 } END { print late + 0 }')
  if ((late != 0)); then
    failures+=("$1: sent $late times after three replicas had crashed")
  fi
}

# Every sound request came to its end.
check_sound() { # what outcome
  local sound requests
  sound=$(grep '^sound: ' <<<"$2")
  requests=$(sed 's/.*requests \([0-9]*\),.*/\1/' <<<"$sound")
  if [[ $sound != *"whole $requests,"* ]]; then
    failures+=("$1: sound requests were not served: $sound")
  fi
}

check_failures() {
  ((${#failures[@]} == 0)) || fail "$(printf '%s; ' "${failures[@]}")"
}
