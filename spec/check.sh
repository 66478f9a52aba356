#!/usr/bin/env bash
# Checks the models with spin. Each must hold as it is, and must fail with each
# switch that takes a safeguard out: a check that can't fail proves nothing.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

verify() { # model, switches...
  local model=$1; shift
  local dir="$work/$model$*"; mkdir -p "$dir"
  (cd "$dir" && spin -a "$@" "$OLDPWD/$model.pml" >spin.log && gcc -O2 -w -DSAFETY -o pan pan.c 2>gcc.log) ||
    { echo "model $model $*: can't be built"; cat "$dir"/*.log; exit 1; }
  (cd "$dir" && timeout 100 ./pan -E -m200000 -w22 >pan.log 2>&1) || { cat "$dir/pan.log"; exit 1; }
  if grep -q 'max search depth too small\|out of memory\|pan: reached -D' "$dir/pan.log"; then
    echo "model $model $*: search was cut short"; cat "$dir/pan.log"; exit 1
  fi
  grep -q 'errors: 0' "$dir/pan.log"
}

states() { grep -o '[0-9.e+]* states, stored' "$work/$1/pan.log" | head -1; }

holds() { if verify "$@"; then echo "holds: $* ($(states "$(IFS= ; echo "$1${*:2}")" || true))"; else echo "MODEL FAILS: $*"; cat "$work/$1${*:2}/pan.log"; exit 1; fi; }
bites() { if verify "$@"; then echo "CHECK CAN'T FAIL: $*"; exit 1; else echo "fails as it must: $*"; fi; }

holds claims
bites claims -DNO_READBACK
bites claims -DTAKEOVER
bites claims -DRELEASE_UNKNOWN
bites claims -DNO_ABANDON
holds lease
holds lease -DPAUSES
bites lease -DNO_WAITOUT
bites lease -DFROM_END
bites lease -DSTANDS_STILL
bites lease -DPAUSES -DNO_FENCE
holds config
bites config -DNO_MONOTONE
bites config -DNO_BASE
bites config -DNO_FLOOR
holds proof
bites proof -DFROM_ANSWER
bites proof -DFROM_NEWS
bites proof -DNO_AGE
bites proof -DEARLY_CHECK
bites proof -DSTANDS_STILL
