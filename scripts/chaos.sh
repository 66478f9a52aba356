#!/usr/bin/env bash
# Chaos test: runs real processes on loopback under kills, freezes, faulty targets and
# a faulty object API, while callers send prompts and service calls. Prints the seed, the
# number of faults by kind, and a comparison of what callers were told with what ran;
# fails if a call was lost, executed twice or reported wrongly.
#   scripts/chaos.sh [SEED] [REQUESTS]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1} requests=${2:-3000} rate=100
RANDOM=$seed
work=$(mktemp -d)
declare -A pid
cleanup() { for p in "${pid[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -9 "$p" 2>/dev/null || true; done; rm -rf "$work"; }
trap cleanup EXIT
go build -o "$work/" ./cmd/...

engines=(yard-1 yard-2 yard-3 yard-4 yard-5 yard-6)
bookings=(booking-1 booking-2)
vms=(heredia-1 heredia-2 cartago-1 cartago-2)
part() { "$work/threadwall-lab" up --only "$1" --runs "$work/runs" >>"$work/$1.log" 2>&1 & pid[$1]=$!; disown; }
vm() { "$work/threadwalld" run -s "examples/solano/daemon/entry-sala-$1.json" >>"$work/$1.log" 2>&1 & pid[$1]=$!; disown; }
crash() { kill -9 "${pid[$1]}"; }
freeze() { kill -STOP "${pid[$1]}"; sleep "$2"; kill -CONT "${pid[$1]}"; }
post() { curl -s -o /dev/null -m 2 -X POST -d "$2" "http://127.0.0.1:$1" || true; }
pick() { local -n list=$1; echo "${list[RANDOM % ${#list[@]}]}"; }
port() { grep -o "\"$1\".*127.0.0.1:[0-9]*" examples/solano/lab/vms.json | grep -o '[0-9]*$' | head -1; }

: >"$work/runs"
part store; sleep 0.5
for p in "${engines[@]}" "${bookings[@]}"; do part "$p"; done
for v in "${vms[@]}"; do vm "$v"; done
sleep 2
entries=(); for base in 7051 7054 7057 7060; do entries+=(--entry "http://127.0.0.1:$base"); done
"$work/threadwall-lab" load "${entries[@]}" --requests "$requests" --rate "$rate" --bookings 0.6 --retries 15 --seed "$seed" >"$work/load.json" &
load=$!

declare -A count
note() { count[$1]=$((${count[$1]:-0} + 1)); }
while kill -0 $load 2>/dev/null; do
  case $((RANDOM % 9)) in
    0) e=$(pick engines); note engine-killed; crash "$e"; sleep 1; part "$e" ;;
    1) note engine-frozen; freeze "$(pick engines)" 3 ;;
    2) v=$(pick vms); note vm-killed; crash "$v"; sleep 1; vm "$v" ;;
    3) note vm-frozen; freeze "$(pick vms)" 3 ;;
    4) note service-frozen; freeze "$(pick bookings)" 2 ;;
    5) note store-down; post 7000/lab/trouble '{"down":true}'; sleep 2; post 7000/lab/trouble '{}' ;;
    6) note store-loses-answers; post 7000/lab/trouble '{"lost_answer":0.3,"lost_write":0.1,"delay_ms":5}'; sleep 2; post 7000/lab/trouble '{}' ;;
    7) for f in truncate close-early duplicate reorder cross; do
         note "stream-$f"; post "$(port "$(pick engines)")/lab/faults" "{\"fault\":\"$f\",\"count\":3}"
       done ;;
    8) note service-loses-answer; post "$(port "$(pick bookings)")/lab/faults" '{"fault":"lost-answer","count":2}' ;;
  esac
  sleep 0.7
done
wait $load
echo "seed $seed, faults:"; for k in "${!count[@]}"; do echo "  $k ${count[$k]}"; done | sort
"$work/threadwall-lab" verify --load "$work/load.json" --runs "$work/runs"
