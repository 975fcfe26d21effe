#!/usr/bin/env bash
# One daemon after another stands still (SIGSTOP) past its elections and wakes
# (SIGCONT), believing that it leads what it led. Calls go on through the others
# meanwhile; every history is whole, every booking runs once.
base=19600
. "$(dirname "$0")/common.sh" "$@"

start_cluster
programs=()
for ((number = 0; number < 4; number++)); do
  programs+=("$(create_program 1)")
done
turn=0
for frozen in 1 2 3; do
  other=$((frozen % 3 + 1))
  end_process "node-$frozen" STOP
  turn=$((turn + 1))
  for ((number = 0; number < 4; number++)); do
    program=${programs[number]}
    expect "a call while node-$frozen stands still" '"finish_reason":"stop"' \
      "$(chat $other "$program" "turn-$turn" "question $turn")"
    expect "a booking while node-$frozen stands still" '"result"' \
      "$(curl -s -m 60 "http://$(http_address $other)/v1/programs/$program/tools/booking" \
        -H "Idempotency-Key: book-$turn" -H 'Heathtrestle-Unrepeatable: true' -d '{}')"
  done
  end_process "node-$frozen" CONT
  wait_until 300 node_ready "$frozen"
done
counts=$(curl -sf "http://$platform_address/v1/tools/booking/counts")
for ((number = 0; number < 4; number++)); do
  program=${programs[number]}
  # Read through each daemon, the ones that stood still included.
  for reader in 1 2 3; do
    expect "program $number at node-$reader" '"turns":6' \
      "$(curl -sf -m 30 "http://$(http_address $reader)/v1/programs/$program")"
  done
  for ((turn = 1; turn <= 3; turn++)); do
    expect "the bookings" "\"$program/book-$turn\":1" "$counts"
  done
done
echo "1 passed, 0 failed"
