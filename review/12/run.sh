#!/usr/bin/env bash
# Two machines are suspended at the same moment: that of an entry without a disk, and that of a side. Clients of the entry leave
# early and send their jobs again at other entries. Rule: TWICE.
set -u
FOLDER=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$FOLDER/../lib-3.sh"

begin
start_all -suspend 3s
configure
sleep 2
note "submitting"
"$STANDIN" submit -entries "$(entries e4)" -again "$(entries e1 e2 e3 e5 e6 e7)" -host "$HOST" -prefix "$PREFIX" \
  -rate 2000 -jobs 1500 -tasks 1 -cpu 50 -ms 3000 -deadline 8s -leave 150ms -leave-share 0.35 -record "$RECORD" &
PID[client]=$!
sleep 0.7
if [ "$TROUBLE" != 0 ]; then
  note "suspending the machine of e4"
  kill -STOP "${PID[e4]}"
  suspend_machines 1
  sleep 3
  note "resuming the machine of e4"
  kill -CONT "${PID[e4]}"
  resume_machines 1
fi
await_process client
sleep 1
"$STANDIN" twice -record "$RECORD" | tail -n 12
exit "${PIPESTATUS[0]}"
