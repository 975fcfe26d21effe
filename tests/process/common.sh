# Sourced by the process tests: starts a platform, two engines and three
# daemons, and ends them when the test ends. Expects the folder of the programs
# as the test's first argument and `base` as the first of its ports.
set -euo pipefail
bin=$1
run=$(mktemp -d)
. "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/cluster.sh"

# Whether KNOWN-RED.txt lists this test. It still runs, but its failure is only
# printed.
is_known_red() {
  local test
  test="process_$(basename "$0" .sh)"
  grep -q "^$test: " "$(dirname "${BASH_SOURCE[0]}")/../../KNOWN-RED.txt"
}

# Ends what a test has started by other means than `start_process`.
end_others() { :; }

finish() {
  local status=$?
  end_others
  if ((status != 0)); then
    echo "FAILED; the last lines of the logs in $run:"
    tail -n 5 "$run"/*.log || true
  fi
  end_all
  if ((status != 0)) && is_known_red; then
    echo "known red: $(basename "$0" .sh)"
    status=0
  fi
  exit "$status"
}
trap finish EXIT

fail() {
  echo "failed: $*" >&2
  exit 1
}

expect() { # what expected actual
  [[ $3 == *"$2"* ]] || fail "$1: expected \"$2\" in \"$3\""
}

start_cluster() { # flags for each daemon...
  start_platform
  start_engine 1 --step_base_ms "${step_ms:-4}"
  start_engine 2 --step_base_ms "${step_ms:-4}"
  for number in 1 2 3; do
    start_node "$number" "$@"
  done
  wait_ready
  configure_cluster 1
}

# Makes a program and prints its id.
create_program() { # node
  curl -sf -m 20 "http://$(http_address "$1")/v1/programs" \
    -d '{"tenant":"ward-office","class":"counter","name":"label-drafting"}' |
    sed 's/.*"id":"\([^"]*\)".*/\1/'
}

chat() { # node program key text flags...
  local node=$1 program=$2 key=$3 text=$4
  shift 4
  curl -s -m 60 "http://$(http_address "$node")/v1/chat/completions" \
    -H "Heathtrestle-Program: $program" -H "Idempotency-Key: $key" \
    -H 'Heathtrestle-History: append' "$@" \
    -d "{\"model\":\"model-a\",\"max_tokens\":200,\"messages\":[{\"role\":\"user\",\"content\":\"$text\"}]}"
}

answer_of() { sed 's/.*"content":"\([^"]*\)".*/\1/'; }

# The number of the daemon that leads most partitions.
busiest_node() {
  ctl 1 "show nodes order by partitions_led desc limit 1" | sed -n 's/^node-\([0-9]*\).*/\1/p'
}
