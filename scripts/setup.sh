#!/usr/bin/env bash
# Downloads the modules for the build and installs the tools for the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go mod download
command -v gofumpt >/dev/null || go install mvdan.cc/gofumpt@v0.12.0
command -v staticcheck >/dev/null || go install honnef.co/go/tools/cmd/staticcheck@v0.8.2
command -v gopls >/dev/null || go install golang.org/x/tools/gopls@v0.23.0 # renames identifiers
