#!/usr/bin/env bash
# The whole path as real processes: programs take turns that are kept, streams
# break off and go on, tools answer twice; histories, budgets and single runs
# are checked from what clients and replicas see.
base=19600
. "$(dirname "$0")/platform_common.sh" "$@"

start_platform_cluster --replica.break_every 4
outcome=$(play_programs 24 4) || fail "$outcome"
expect "the load's outcome" "finished 24, failed 0" "$outcome"
expect "the short budget" "budgets refused 1" "$outcome"

# A request can be followed by its id through the log.
grep -q '"name":"stream_resumed"' "$run"/gateway-*.out ||
  fail "no stream was resumed, though every fourth broke off"
curl -sf "http://$(gateway_metrics 1)/metrics" |
  grep -q heathtrestle_gateway_request_seconds_count ||
  fail "the gateway's metrics lack the request histogram"
echo "1 passed, 0 failed"
