#!/usr/bin/env bash
# Measures the router's overhead against direct calls, with engines, VM and callers in
# separate processes: time to first token at 200 requests/s routed and direct, tokens
# relayed per core-second of the VM, and resident memory of the idle VM.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
trap 'for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; rm -rf "$work"' EXIT
go build -o "$work/" ./cmd/...
"$work/threadwall-lab" up --token-every 50us --slots 256 >"$work/up.log" 2>&1 & pids+=($!); disown
sleep 1
"$work/threadwalld" run -s examples/solano/daemon/entry-sala-heredia-1.json >"$work/vm.log" 2>&1 & vm=$!; pids+=($vm); disown
# Only one of the eight listed VMs runs, and it gets an eighth of the workspace's limits;
# raise them so that they do not limit the load.
sed 's/"requests_per_second": 400, "concurrency": 200/"requests_per_second": 20000, "concurrency": 8000/' \
  examples/solano/objects/workspaces.json >"$work/workspaces.json"
"$work/threadwall" apply -f "$work/workspaces.json" >/dev/null
sleep 3
echo "idle VM: $(grep VmRSS /proc/$vm/status)"
"$work/threadwall-lab" overhead --direct http://127.0.0.1:7001 --routed http://127.0.0.1:7051 --pid "$vm"
