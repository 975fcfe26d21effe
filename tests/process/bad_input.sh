#!/usr/bin/env bash
# Bad settings, flags, statements and requests each get a clear error, and
# nothing is lost by them.
base=19500
. "$(dirname "$0")/common.sh" "$@"

printf '[node]\nname = "n"\nwokers = 3\n' >"$run/bad.toml"
for program in heathtrestled; do
  status=0
  "$bin/$program" --config "$run/bad.toml" 2>"$run/complaint" || status=$?
  ((status == 2)) || fail "$program exited with $status"
  expect "$program" "bad.toml:3: node.wokers: no such key" "$(cat "$run/complaint")"
done
status=0
"$bin/heathtrestle-engine" --listen nowhere 2>"$run/complaint" || status=$?
((status == 2)) || fail "the engine exited with $status"
expect "the engine" 'expected an address of the form ip:port' "$(cat "$run/complaint")"
"$bin/heathtrestled" --node.name n --listen.rpc 127.0.0.1:1 --listen.http 127.0.0.1:2 \
  --platform.address 127.0.0.1:3 --check-config | grep -q accepted || fail "--check-config"

start_cluster
status=0
ctl 1 "show me the money" 2>"$run/complaint" || status=$?
((status == 1)) || fail "a bad statement exited with $status"
expect "a bad statement" "column 9" "$(cat "$run/complaint")"
ctl 1 "set class counter price = -3" 2>"$run/complaint" && fail "a negative price was taken"
expect "a bad price" "field price: expected a whole number" "$(cat "$run/complaint")"

url="http://$(http_address 1)"
program=$(create_program 1)
expect "no program" "Heathtrestle-Program is missing" "$(curl -s "$url/v1/chat/completions" -d '{}')"
expect "no JSON" "not JSON" \
  "$(curl -s "$url/v1/chat/completions" -H "Heathtrestle-Program: $program" -d '{')"
expect "no messages" "field messages" \
  "$(curl -s "$url/v1/chat/completions" -H "Heathtrestle-Program: $program" -d '{"model":"model-a"}')"
expect "an unknown model" '"code":"not_found"' \
  "$(curl -s "$url/v1/chat/completions" -H "Heathtrestle-Program: $program" \
    -d '{"model":"none","messages":[{"role":"user","content":"x"}]}')"
expect "an unknown tenant" "no tenant nobody" \
  "$(curl -s "$url/v1/programs" -d '{"tenant":"nobody","class":"counter","name":"x"}')"
head -c 9000000 /dev/zero >"$run/large"
expect "an oversized body" too_large "$(curl -s -H 'Expect:' "$url/v1/programs" --data-binary @"$run/large")"
expect "the program after all that" '"finish_reason":"stop"' "$(chat 1 "$program" good "a question")"
echo "1 passed, 0 failed"
