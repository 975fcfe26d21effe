# Starts three storage nodes and the gateways with the commands of the deploy
# file. Sourced by the scripts of the cases, which set `folder` and
# `first_port`.
root=$(cd "$folder/../.." && pwd)
work=$(mktemp -d)
pids=()
declare -A pid_of

end_all() {
  disown -a 2>/dev/null
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap end_all EXIT

could_not_run() {
  echo "the case could not run: $1" >&2
  exit 2
}

[[ -x $root/target/platform/heathtrestle-gateway &&
  -x $root/target/platform/heathtrestle-store ]] ||
  could_not_run "the build of the deploy file is missing"
[[ -d $root/target/review ]] || could_not_run "review/build.sh did not run"

start() { # name command...
  local name=$1
  shift
  (cd "$root" && exec "$@") >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}

store_port=$first_port
gateway_port() { echo $((first_port + 10 + $1)); }
ready_port() { echo $((first_port + 20 + $1)); }
peer_port() { echo $((first_port + 30 + $1)); }
gateway_rpc() { echo $((first_port + 40 + $1)); }
storage_rpc() { echo $((first_port + 50 + $1)); }
metrics_port() { echo $((first_port + 60 + $1)); }
replica_port() { echo $((first_port + 80 + $1)); }

start_storage() { # number first_start
  mkdir -p "$work/data-$1"
  cat >"$work/storage-$1.toml" <<TOML
[node]
name = "storage-$1"
zone = "zone-$1"
region = "region"
[listen]
rpc = "127.0.0.1:$(storage_rpc "$1")"
metrics = "127.0.0.1:$(metrics_port "$1")"
[data]
directory = "$work/data-$1"
[cluster]
seeds = ["127.0.0.1:$(peer_port 1)"]
first_start = $2
tolerated_losses = 1
zones = ["zone-1=region","zone-2=region","zone-3=region"]
[store]
address = "127.0.0.1:$store_port"
writes_per_second = 400
[timing]
drain_notice_ms = 2000
[tenants]
TOML
  start "storage-$1" target/platform/heathtrestle-store --config "$work/storage-$1.toml"
}

start_gateway() { # number
  cat >"$work/gateway-$1.toml" <<TOML
[node]
name = "gateway-$1"
zone = "zone-$1"
region = "region"
[listen]
clients = "127.0.0.1:$(gateway_port "$1")"
readiness = "127.0.0.1:$(ready_port "$1")"
peers = "127.0.0.1:$(peer_port "$1")"
rpc = "127.0.0.1:$(gateway_rpc "$1")"
metrics = "127.0.0.1:$(metrics_port $((10 + $1)))"
[cluster]
seeds = ["127.0.0.1:$(peer_port 1)"]
tolerated_losses = 1
zones = ["zone-1=region","zone-2=region","zone-3=region"]
[store]
address = "127.0.0.1:$store_port"
writes_per_second = 400
[timing]
grace_seconds = 8
drain_notice_ms = 2000
[warmup]
[limits]
memory_mb = 260
[tenants]
TOML
  start "gateway-$1" target/platform/heathtrestle-gateway --config "$work/gateway-$1.toml"
}
