#!/usr/bin/env bash
# Malformed settings, objects and requests get a clear error, and the rest goes
# on being served.
base=20080
. "$(dirname "$0")/platform_common.sh" "$@"

printf '[node]\nnme = "x"\n' >"$run/bad.toml"
if "$platform_bin/heathtrestle-gateway" --config "$run/bad.toml" >"$run/bad.out" 2>&1; then
  fail "a settings file with an unknown key was accepted"
fi
expect "the settings error" "bad.toml:2: node.nme: no such key" "$(cat "$run/bad.out")"

start_platform_cluster
curl -s -o /dev/null -X PUT "http://$store_address/objects/config/main" \
  -d '{"metadata":{"name":"main"},"specification":{"version":9,"routes":[{}]}}'
rejected() { grep -q '"name":"routes_rejected"' "$run/gateway-1.out"; }
wait_until 100 rejected || fail "a malformed configuration was not told"

ask() { # raw bytes
  exec 3<>"/dev/tcp/$(gateway_address 1 | tr : /)"
  printf "$1" >&3
  head -n 1 <&3 | tr -d '\r'
  exec 3<&-
}
expect "a request that is none" "400" "$(ask 'nonsense\r\n\r\n')"
expect "two lengths" "400" \
  "$(ask 'POST /tools/x HTTP/1.1\r\nHost: agents.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab')"
expect "length and chunks" "400" \
  "$(ask 'POST /tools/x HTTP/1.1\r\nHost: agents.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n')"
expect "a header too large" "431" \
  "$(ask "GET /tools/x HTTP/1.1\r\nHost: agents.example\r\nX-Long: $(head -c 20000 /dev/zero | tr '\0' x)\r\n\r\n")"
expect "no such route" "404" \
  "$(ask 'GET /nowhere/ HTTP/1.1\r\nHost: agents.example\r\n\r\n')"
outcome=$(play_programs 4 2) || fail "$outcome"
expect "the load's outcome" "finished 4, failed 0" "$outcome"
echo "1 passed, 0 failed"
