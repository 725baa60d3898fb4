#!/usr/bin/env bash
# Lets runners leave and stops the dispatcher of their zone afterwards. TROUBLE=0 stops no dispatcher.
cd "$(dirname "$0")/../.."
exec target/review-stand drain review/5/record.txt
