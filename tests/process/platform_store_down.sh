#!/usr/bin/env bash
# The platform's store is down: what runs goes on, and a gateway and a storage
# node that start meanwhile serve from what their peers know. When the store is
# back, a configuration reaches everyone, also when its history is forgotten.
base=19840
. "$(dirname "$0")/platform_common.sh" "$@"

start_platform_cluster
control() { curl -s -o /dev/null -X POST "http://$store_address/control/$1?value=$2"; }
control down 12000
end_process gateway-2 KILL
end_process storage-3 KILL
sleep 0.3
rm -rf "$run/data-3"
start_gateway 2
start_storage 3 false
wait_until 100 gateway_is_ready 2 || fail "a gateway cannot start from its peer"
wait_until 100 group_is_whole || fail "a storage node cannot join from a peer"
outcome=$(play_programs 12 3) || fail "$outcome"
expect "the load's outcome" "finished 12, failed 0" "$outcome"

store_is_up() {
  [[ $(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$store_address/objects/config") == 200 ]]
}
wait_until 200 store_is_up || fail "the stand-in's store did not come back"
control forget 0
control lose 1
write_configuration 2 || write_configuration 2 || fail "no configuration written"
version_is_2() {
  curl -s "http://$(gateway_metrics "$1")/metrics" |
    grep -q '^heathtrestle_gateway_configuration_version 2'
}
wait_until 150 version_is_2 1 || fail "gateway 1 did not take the new version"
wait_until 150 version_is_2 2 || fail "gateway 2 did not take the new version"
echo "1 passed, 0 failed"
