#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts from review/stand. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-src
rm -f target/review-src/*.go
for f in review/stand/*.go.txt; do
  cp "$f" "target/review-src/$(basename "${f%.txt}")"
done
printf 'module review\n\ngo 1.26\n' > target/review-src/go.mod
cd target/review-src
GOWORK=off go build -o ../review-stand .
