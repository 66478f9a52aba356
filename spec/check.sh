#!/usr/bin/env bash
# Verifies the models with spin. Each model must hold as it is and must fail with each
# switch that removes a safeguard: a check that can't fail proves nothing.
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

must_hold() { if verify "$@"; then echo "holds: $* ($(states "$(IFS= ; echo "$1${*:2}")" || true))"; else echo "MODEL FAILS: $*"; cat "$work/$1${*:2}/pan.log"; exit 1; fi; }
must_fail() { if verify "$@"; then echo "CHECK CAN'T FAIL: $*"; exit 1; else echo "fails as it must: $*"; fi; }

must_hold claims
must_fail claims -DNO_READBACK
must_fail claims -DTAKEOVER
must_fail claims -DRELEASE_UNKNOWN
must_fail claims -DNO_ABANDON
must_hold lease
must_hold lease -DPAUSES
must_fail lease -DNO_WAITOUT
must_fail lease -DFROM_END
must_fail lease -DSTANDS_STILL
must_fail lease -DPAUSES -DNO_FENCE
must_hold config
must_fail config -DNO_MONOTONE
must_fail config -DNO_BASE
must_fail config -DNO_FLOOR
must_hold proof
must_fail proof -DFROM_ANSWER
must_fail proof -DFROM_NEWS
must_fail proof -DNO_AGE
must_fail proof -DEARLY_CHECK
must_fail proof -DSTANDS_STILL
