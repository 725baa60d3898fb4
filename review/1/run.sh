#!/usr/bin/env bash
# Submits one job of many stages beside a steady load. TROUBLE=0 leaves that job out.
cd "$(dirname "$0")/../.."
exec target/review-stand hang review/1/record.txt
