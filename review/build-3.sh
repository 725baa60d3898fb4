#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/, where the deploy file's build has put savorypass.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/stand-3
