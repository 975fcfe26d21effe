#!/usr/bin/env bash
# The platform's store is silent for 1.5 s and answers calls of that time never:
# three seconds after it is back, changes of replicas and of the configuration
# take effect in time again. Guards against relays and gateways that go on with
# old copies while their calls hang.
base=19840
. "$(dirname "$0")/platform_common.sh" "$@"

start_platform_cluster
version_is() { # number version
  [[ $(gateway_value "$1" configuration_version) == "$2" ]]
}
both_have_version() { version_is 1 "$1" && version_is 2 "$1"; }
knows_draining() { # number
  grep -q '"instance":"tool-1".*"state":"draining"' "$run/gateway-$1.out"
}
both_know_draining() { knows_draining 1 && knows_draining 2; }

# The relays begin new calls for both kinds.
write_configuration 2
drain_replica 2 engine-2 models v1
wait_until 50 both_have_version 2 || fail "the second version did not arrive"
curl -s -o /dev/null -X POST "http://$store_address/control/silent?value=1500"
sleep 4.5
write_configuration 3
drain_replica 3 tool-1 tools v1
# The time for which a draining replica may get requests is 1.5 s.
wait_until 15 both_know_draining || fail "a gateway does not know who drains"
wait_until 5 both_have_version 3 || fail "a gateway has an old configuration"
echo "1 passed, 0 failed"
