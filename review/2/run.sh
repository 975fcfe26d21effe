#!/usr/bin/env bash
# A replica repeats a refusal late. Exits with 1 if a non-idempotent request ran
# twice or was refused though it ran, 0 if not, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
first_port=${FIRST_PORT:-23100}
. "$folder/../lib/cluster.sh"

start stand-in target/review/repeated_refusals "$first_port" \
  "${TROUBLE:-1}" "$folder/record.txt"
stand_in=${pid_of[stand-in]}
sleep 0.3
for number in 1 2 3; do
  start_storage "$number" true
done
for number in 1 2; do
  start_gateway "$number"
done
wait "$stand_in"
outcome=$?
cat "$work/stand-in.log"
case $outcome in
0 | 1) exit "$outcome" ;;
*) could_not_run "the stand-ins ended with $outcome" ;;
esac
