#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/stand-2 ./review/stand-2
