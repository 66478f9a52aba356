#!/usr/bin/env bash
# Fetches what the build and the checks need.
set -euo pipefail
cd "$(dirname "$0")/.."
go mod download
command -v gofumpt >/dev/null || go install mvdan.cc/gofumpt@v0.12.0
command -v staticcheck >/dev/null || go install honnef.co/go/tools/cmd/staticcheck@v0.8.2
