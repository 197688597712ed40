#!/usr/bin/env bash
# All entries without a disk are killed at the same moment, while the machine of one side is suspended. The clients whose
# connections have broken send their jobs again, at the entries with a disk. Rule: TWICE.
set -u
FOLDER=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$FOLDER/../lib-3.sh"

begin
start_all -suspend 3s
configure
sleep 2
note "submitting"
"$STANDIN" submit -entries "$(entries e4 e5 e6 e7)" -again "$(entries e1 e2 e3)" -host "$HOST" -prefix "$PREFIX" \
  -rate 2000 -jobs 800 -tasks 1 -cpu 200 -ms 3000 -deadline 8s -record "$RECORD" &
PID[client]=$!
sleep 0.6
if [ "$TROUBLE" != 0 ]; then
  suspend_machines 1
  sleep 0.1
  kill_processes e4 e5 e6 e7
  sleep 1
  for n in 4 5 6 7; do start_process "e$n" entry false; done
  sleep 1.9
  resume_machines 1
fi
await_process client
sleep 1
"$STANDIN" twice -record "$RECORD" | tail -n 12
exit "${PIPESTATUS[0]}"
