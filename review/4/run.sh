#!/usr/bin/env bash
# Makes the open connections of one instance to the store go silent, then changes the configuration. TROUBLE=0 leaves them open.
cd "$(dirname "$0")/../.."
exec target/review-stand config review/4/record.txt
