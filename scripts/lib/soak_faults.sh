# The cluster of the fault soak and its faults. Sourced by scripts/soak after
# platform_cluster.sh; expects `bin`, `platform_bin`, `run` and `base`.
#
# Every address that others use is a link of the fault proxy, a thousand ports above
# the address that the process listens on. Each process has a link of its own to the
# object store, so that the store may turn single machines away.

soak_storages=()
for ((number = 1; number <= storages; number++)); do
  soak_storages+=("storage-$number")
done
soak_gateways=()
for ((number = 1; number <= gateways; number++)); do
  soak_gateways+=("gateway-$number")
done
soak_processes=("${soak_storages[@]}" "${soak_gateways[@]}")
soak_engines=(1 2 4 5)
soak_replicas=(engine-1 engine-2 tool-1 engine-4 engine-5)
proxy_control="127.0.0.1:$((base + 1099))"
struck=()

# The address of a link before another address.
advertised() { # address
  echo "${1%:*}:$((${1##*:} + 1000))"
}

# A process's own link to the object store.
store_for() { # process
  local number
  case $1 in
  storage-*) number=${1#storage-} ;;
  gateway-*) number=$((200 + ${1#gateway-})) ;;
  engine-*) number=$((100 + ${1#engine-})) ;;
  *) number=110 ;;
  esac
  echo "127.0.0.1:$((base + 1100 + number))"
}

start_proxy() {
  local links=() number name
  for name in "${soak_processes[@]}" "${soak_replicas[@]}"; do
    links+=(--link "store-of-$name=$(store_for "$name")=$store_address")
  done
  for ((number = 1; number <= storages; number++)); do
    links+=(--link "storage-$number=$(advertised "$(storage_rpc "$number")")=$(storage_rpc "$number")")
  done
  for number in 1 2 3 4 5; do
    links+=(--link "replica-$number=$(advertised "$(replica_address "$number")")=$(replica_address "$number")")
  done
  for ((number = 1; number <= gateways; number++)); do
    links+=(--link "gateway-$number=$(advertised "$(gateway_rpc "$number")")=$(gateway_rpc "$number")")
  done
  start_process fault-proxy "$bin/heathtrestle-fault-proxy" \
    --control "$proxy_control" "${links[@]}"
}

set_link() { # link fault
  curl -sf -m 2 -o /dev/null "http://$proxy_control/$1/$2" ||
    echo "soak: the proxy did not take /$1/$2" >&2
}

start_soak_process() { # name first_start
  case $1 in
  storage-*) start_storage "${1#storage-}" "$2" ;;
  gateway-*) start_gateway "${1#gateway-}" ;;
  esac
}

# Starts the replica of a number under an id of its own. Its id and version are kept
# in a file, for the one that replaces it.
start_engine_version() { # number version
  local number=$1 version=$2 id flags=()
  id="engine-$number-$(date +%s%N)"
  [[ $number == 1 ]] && flags=(--replica.break_every 9)
  echo "$id $version" >"$run/engine-$number.entry"
  start_process "engine-$number" "$platform_bin/heathtrestle-platform-stand-in" \
    --role replica --address "$(replica_address "$number")" \
    --replica.advertised "$(advertised "$(replica_address "$number")")" \
    --store "$(store_for "engine-$number")" --replica.id "$id" \
    --replica.service models --replica.zone zone-1 --replica.version "$version" \
    --replica.events 5 --replica.event_pause 20 "${flags[@]}"
}

# Replaces a replica by one of another version. Some drain first, others crash.
strike_release() { # number version
  local name="engine-$1" id version
  hold "$name" || return 0
  refresh_id "$name"
  read -r id version <"$run/$name.entry"
  if ((RANDOM % 3 > 0)); then
    drain_replica "$1" "$id" models "$version" || true
    sleep "1.$((RANDOM % 9))"
  fi
  end_process "$name" KILL
  sleep "0.$((RANDOM % 5))"
  start_engine_version "$1" "$2"
  echo "${pid_of[$name]}" >"$run/restarted-$name"
  remove_replica_entry "$id"
  let_go "$name"
}

start_soak_cluster() {
  start_object_store
  start_proxy
  wait_until 100 curl -s -m 1 -o /dev/null "http://$store_address/objects/config"
  for name in "${soak_processes[@]}"; do
    start_soak_process "$name" true
  done
  start_engine_version 1 v1
  start_engine_version 2 v1
  start_engine_version 4 v1.1
  start_engine_version 5 v1.1
  start_replica 3 tool-1 tools --replica.surplus_every 5
  change_configuration
  for ((number = 1; number <= gateways; number++)); do
    wait_until 200 gateway_is_ready "$number"
  done
  wait_until 200 group_is_whole
}

# Writes the next version, one writer at a time.
change_configuration() {
  wait_until 100 mkdir "$run/held-configuration" 2>/dev/null || return 0
  local version=$(($(cat "$run/version" 2>/dev/null || echo 0) + 1))
  if write_configuration "$version"; then
    echo "$version" >"$run/version"
  fi
  rmdir "$run/held-configuration"
}

draw() { # one of the words given
  local words=("$@")
  echo "${words[RANDOM % ${#words[@]}]}"
}

# Draws a fault, sets it, waits a while, and ends it. Sometimes a second one
# begins while the first lasts.
strike_at_random() {
  sleep "0.$((RANDOM % 9))"
  strike "$(draw link link store pause kill wipe stop power roll release)" &
  local first=$!
  if ((RANDOM % 3 == 0)); then
    strike "$(draw link store kill_gateway release)"
  fi
  if ((RANDOM % 3 == 0)); then
    strike "$(draw change reload)"
  fi
  wait "$first" || true
  collect_strikes
}

# Faults run in subshells: the ids of the processes that they start are read
# back from files.
collect_strikes() {
  local file
  for file in "$run"/restarted-*; do
    [[ -e $file ]] || continue
    pid_of[${file##*/restarted-}]=$(<"$file")
    rm "$file"
  done
  while read -r line; do
    struck+=("$line")
  done <"$run/strikes"
  : >"$run/strikes"
}

note_strike() { echo "$*" >>"$run/strikes"; }

# One strike at a time ends and starts a process: two would start it twice, and
# the second of the two ends by itself, for its ports are taken.
hold() { mkdir "$run/held-$1" 2>/dev/null; }
# A subshell knows the ids of when it began, so the id of a process that was
# restarted since is read from its file.
refresh_id() { # name
  if [[ -e $run/restarted-$1 ]]; then
    pid_of[$1]=$(<"$run/restarted-$1")
  fi
}
let_go() { rmdir "$run/held-$1"; }

# Whether a process runs its own main, which blocks or handles SIGHUP. Until then it
# is still being loaded, and a signal ends it before it can do anything about it.
has_loaded() { # name
  local id=${pid_of[$1]} blocked caught
  [[ ! /proc/$id/exe -ef /proc/$$/exe ]] || return 1
  blocked=$(sed -n 's/^SigBlk:\t//p' "/proc/$id/status" 2>/dev/null)
  caught=$(sed -n 's/^SigCgt:\t//p' "/proc/$id/status" 2>/dev/null)
  (((16#${blocked:-0} | 16#${caught:-0}) & 1))
}

# Waits without a pause, so that the signal comes as early as it may.
wait_until_loaded() { # name
  local tries=0 most_tries=200
  until has_loaded "$1" || ((++tries > most_tries)); do :; done
}

restart() { # name
  start_soak_process "$1" false
  echo "${pid_of[$1]}" >"$run/restarted-$1"
}

strike_stop() { # name
  hold "$1" || return 0
  refresh_id "$1"
  end_process "$1" TERM
  sleep 9
  restart "$1"
  let_go "$1"
}

strike() { # kind
  local name link fault
  name=$(draw "${soak_processes[@]}")
  case $1 in
  link)
    link=$(draw "${soak_processes[@]}" replica-1 replica-2 replica-3 replica-4 replica-5)
    fault=$(draw delay-40 delay-150 silent hold-requests hold-answers refuse reset)
    note_strike "$link:$fault"
    set_link "$link" "$fault"
    sleep "$((RANDOM % 3 + 1))"
    set_link "$link" sound
    ;;
  store)
    fault=$(draw silent refuse hold-answers delay-300 reset)
    note_strike "store-of-$name:$fault"
    set_link "store-of-$name" "$fault"
    sleep "$((RANDOM % 4 + 1))"
    set_link "store-of-$name" sound
    ;;
  pause)
    hold "$name" || return 0
    note_strike "pause:$name"
    end_process "$name" STOP
    sleep "$((RANDOM % 3 + 1))"
    end_process "$name" CONT
    let_go "$name"
    ;;
  stop)
    note_strike "stop:$name"
    strike_stop "$name"
    ;;
  kill | kill_gateway)
    [[ $1 == kill_gateway ]] && name=$(draw "${soak_gateways[@]}")
    hold "$name" || return 0
    note_strike "kill:$name"
    refresh_id "$name"
    end_process "$name" KILL
    sleep "0.$((RANDOM % 9 + 1))"
    restart "$name"
    let_go "$name"
    ;;
  wipe)
    name=$(draw "${soak_storages[@]}")
    note_strike "wipe:$name"
    end_process "$name" KILL
    sleep 0.5
    rm -rf "$run/data-${name#storage-}"
    restart "$name"
    sleep 3 # one disk at a time: the group must be whole before the next
    ;;
  power)
    note_strike "power"
    for name in "${soak_storages[@]}"; do
      end_process "$name" KILL
    done
    sleep "0.$((RANDOM % 9 + 1))"
    for name in "${soak_storages[@]}"; do
      restart "$name"
    done
    ;;
  release) # replicas of a service are replaced, one soon after the other
    local version count=$((RANDOM % 3 + 1))
    version=$(draw v1 v1.1 v1.2)
    note_strike "release:$version:$count"
    while ((count-- > 0)); do
      strike_release "$(draw "${soak_engines[@]}")" "$version"
      [[ $(draw kill none none) == none ]] || strike kill_gateway
    done
    ;;
  change) # a series of versions, some in quick succession
    local count=$((RANDOM % 4 + 1))
    note_strike "change:$count"
    while ((count-- > 0)); do
      change_configuration
      sleep "0.$((RANDOM % 6))"
    done
    ;;
  reload) # also of one that has just been started
    hold "$name" || return 0
    note_strike "reload:$name"
    refresh_id "$name"
    wait_until_loaded "$name"
    end_process "$name" HUP
    let_go "$name"
    ;;
  roll) # two gateways are stopped one soon after the other
    local second
    name=$(draw "${soak_gateways[@]}")
    second=$(draw "${soak_gateways[@]}")
    note_strike "roll:$name:$second"
    strike_stop "$name" &
    local rolling=$!
    sleep "$((RANDOM % 3))"
    if [[ $second != "$name" ]]; then
      strike_stop "$second"
    fi
    wait "$rolling" || true
    ;;
  esac
}

heal_everything() {
  set_link all sound
  for name in "${soak_processes[@]}"; do
    end_process "$name" CONT
  done
}

everything_serves() {
  local number version
  version=$(cat "$run/version")
  for ((number = 1; number <= gateways; number++)); do
    gateway_is_ready "$number" || return 1
    [[ $(gateway_value "$number" configuration_version) == "$version" ]] || return 1
  done
  group_is_whole
}

# Programs may fail while faults last; promises may not be broken.
check_round() { # number
  local outcome="$run/outcome-$1"
  if ! grep -q '^programs finished' "$outcome"; then
    echo "FAILED: round $1: the load ended without an outcome: $(tail -n 3 "$outcome")"
    return 1
  fi
  if ! grep -q '^streams' "$run/streams-$1"; then
    echo "FAILED: round $1: the streams ended without an outcome"
    return 1
  fi
  if grep -q '^violation' "$outcome" "$run/streams-$1"; then
    echo "FAILED: round $1:"
    cat "$outcome" "$run/streams-$1"
    return 1
  fi
  wait_until 200 group_is_whole || {
    echo "FAILED: round $1: the group is not whole 20 s after the fault"
    return 1
  }
}

nothing_ended_by_itself() {
  local name
  for name in "${soak_processes[@]}" "${soak_replicas[@]}" object-store fault-proxy; do
    if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
      echo "FAILED: $name ended by itself: $(tail -n 2 "$run/$name.log" "$run/$name.out" 2>/dev/null)"
      return 1
    fi
  done
}
