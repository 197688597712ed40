# Functions of the scripts of the third review: they start a deployment of the size of rakavitsa-hq on loopback addresses,
# with the commands of the deploy file, and end it. A script sets FOLDER to its own folder and sources this file.
#
# Machines: entries e1 to e3 with a disk and e4 to e7 without one, sides s1 to s11 with a worker each, in three zones.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
PROGRAM="$ROOT/target/yuccaturn"
STANDIN="$ROOT/target/review/standin3"
RECORD="$FOLDER/record.txt"
TROUBLE=${TROUBLE:-1}
ENTRIES="1 2 3 4 5 6 7"
SIDES="1 2 3 4 5 6 7 8 9 10 11"
HOST=queue.example
PREFIX=/jobs/
declare -A PID ADDRESS ZONE

unusable() {
  echo "could not run: $*" >&2
  echo "$(now) script could not run: $*" >>"$RECORD"
  exit 2
}

now() { date +%s%3N; }

note() { echo "$(now) script $*" >>"$RECORD"; }

# A network of its own for each run, of the block 127.0.0.0/8, so that two runs don't meet.
choose_network() {
  local base=$((RANDOM % 200 + 20)) i
  for i in $(seq 0 30); do
    NET="127.$((base + i)).7"
    if ! (exec 3<>"/dev/tcp/$NET.11/8166") 2>/dev/null; then return; fi
  done
  unusable "no free addresses"
}

begin() {
  cd "$ROOT" || exit 2
  [ -x "$PROGRAM" ] && [ -x "$STANDIN" ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
  : >"$RECORD"
  WORK=$(mktemp -d)
  trap finish EXIT
  trap 'exit 2' INT TERM
  choose_network
  local n zones=(sofia plovdiv varna sofia sofia plovdiv varna)
  for n in $ENTRIES; do ADDRESS[e$n]="$NET.1$n"; ZONE[e$n]=${zones[n - 1]}; done
  zones=(sofia sofia sofia sofia plovdiv plovdiv plovdiv plovdiv varna varna varna)
  for n in $SIDES; do ADDRESS[s$n]="$NET.$((20 + n))"; ZONE[s$n]=${zones[n - 1]}; done
}

finish() {
  local code=$? name
  for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null; kill -KILL "${PID[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$WORK" "$KEEP_LOGS"; fi
  rm -rf "$WORK"
  exit "$code"
}

# settings NAME KIND BOOTSTRAP writes the settings file of a process.
settings() {
  local name=$1 kind=$2 bootstrap=$3 ip=${ADDRESS[$1]} file="$WORK/$1.conf"
  {
    echo "nodeName=$name"
    echo "role=$kind"
    echo "ip=$ip"
    echo "zone=${ZONE[$name]}"
    echo "region=bg-south"
    for z in sofia plovdiv varna; do echo "zones.$z=bg-south"; done
    echo "portRange=7720,7735"
    echo "seeds=${SEEDS:-$NET.11:8166,$NET.12:8166,$NET.13:8166}"
    echo "bootstrap=$bootstrap"
    echo "bindAddrs.control=$ip:8166"
    echo "limits.cores=1"
    echo "discovery=local"
    echo "entry=vip"
    echo "heartbeatMs=1500"
    echo "contracts=base,drain,config,cost,recover,sched,places,advice,upkeep,sharing"
    echo "faultTolerance.machines=1"
    echo "faultTolerance.zones=1"
    echo "bounds.configApplyMs=2000"
    echo "bounds.evacuateMs=5000"
    echo "bounds.contactMs=3000"
    echo "bounds.graceS=6"
    echo "bounds.maxHoldMs=1000"
    echo "bounds.remoteFactor=1.5"
    echo "commandMode=call"
    if [ "$kind" = entry ]; then
      echo "machineClass=edge"
      echo "serves=edge,control_plane"
      echo "bindAddrs.frontend=$ip:8161"
      echo "bindAddrs.readiness=$ip:8167"
      echo "limits.memoryMb=284"
      case $name in e[1-3]) echo "dataDir=$WORK/data-$name"; echo "countsAsLoss=true"; mkdir -p "$WORK/data-$name" ;; esac
    else
      echo "machineClass=side"
      echo "serves=side"
      echo "app=$ip:8080"
      echo "service=svc"
      echo "limits.memoryMb=152"
    fi
  } >"$file"
}

# start_process NAME KIND BOOTSTRAP starts a process of the project as the deploy file has it.
start_process() {
  settings "$1" "$2" "$3"
  note "starting $1"
  YUCCATURN_BOOT="$WORK/$1.conf" "$PROGRAM" deployed "$2" >>"$WORK/$1.log" 2>&1 &
  PID[$1]=$!
}

# start_worker NAME SIDE [OPTION ...] starts the stand-in of the worker beside a side.
start_worker() {
  local name=$1 side=$2
  shift 2
  "$STANDIN" worker -id "$name" -address "${ADDRESS[$side]}:8080" -control "${ADDRESS[$side]}:8166" -service svc -zone "${ZONE[$side]}" \
    -record "$RECORD" "$@" >>"$WORK/$name.log" 2>&1 &
  PID[$name]=$!
}

# kill_processes NAME ... kills processes at the same moment.
kill_processes() {
  local name pids=()
  for name in "$@"; do pids+=("${PID[$name]}"); done
  note "killing $*"
  kill -KILL "${pids[@]}"
  for name in "$@"; do
    wait "${PID[$name]}" 2>/dev/null
    unset "PID[$name]"
  done
}

# suspend_machines N ... suspends the machines of sides for as long as the option -suspend of their workers says: the process
# of the side and the worker beside it do nothing, and the steady clock of the worker doesn't count the time.
suspend_machines() {
  local n
  note "suspending the machines of sides $*"
  for n in "$@"; do
    kill -STOP "${PID[s$n]}"
    kill -USR1 "${PID[w$n]}"
  done
}

# resume_machines N ... lets the sides go on.
resume_machines() {
  local n
  note "resuming the machines of sides $*"
  for n in "$@"; do kill -CONT "${PID[s$n]}"; done
}

# await_process NAME waits for the end of a process.
await_process() {
  wait "${PID[$1]}"
  unset "PID[$1]"
}

# start_all [OPTION ...] starts all processes, the workers with the options.
start_all() {
  local n
  for n in $ENTRIES; do start_process "e$n" entry true; done
  for n in $SIDES; do start_process "s$n" side true; start_worker "w$n" "s$n" "$@"; done
}

# order METHOD ENTRY PATH [BODY-FILE] sends one call of the operator and prints its status, 0 without an answer within a second.
order() {
  local method=$1 entry=$2 path=$3
  shift 3
  "$STANDIN" order -record "$RECORD" -timeout 1s "$method" "http://${ADDRESS[$entry]}:8166$path" "$@"
}

write_document() {
  cat >"$WORK/document-$1.json" <<JSON
{"version":$1,"routes":[{"name":"r1","host":"$HOST","pathPrefix":"$PREFIX","type":"unsafe","timeoutMs":1500,"targetLatencyMs":60,"priority":1,"service":"svc","maxAttempts":3,"stretch":1.6}],"services":[{"name":"svc","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
JSON
}

# configure sends the first document until it is accepted, and waits until all entries are ready.
configure() {
  local i n ready
  write_document 7
  for i in $(seq 1 60); do
    [ "$(order PUT "e$((i % 7 + 1))" /-/config "$WORK/document-7.json")" = 200 ] && break
    [ "$i" = 60 ] && unusable "the first document was not accepted"
    sleep 0.2
  done
  for i in $(seq 1 100); do
    ready=0
    for n in $ENTRIES; do
      [ "$("$STANDIN" order -record /dev/null -timeout 1s GET "http://${ADDRESS[e$n]}:8167/-/ready")" = 200 ] && ready=$((ready + 1))
    done
    [ "$ready" = 7 ] && return
    sleep 0.1
  done
  unusable "only $ready of 7 entries were ready"
}

entries() {
  local n list=""
  for n in "$@"; do list="$list,${ADDRESS[$n]}:8161"; done
  echo "${list#,}"
}
