#!/usr/bin/env bash
# Builds the stand-ins of all cases: review/bin/standin. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o review/bin/ ./review/standin
