#!/bin/sh
# Runs the case from the repository's root; see claim.txt.
cd "$(dirname "$0")/../.." && exec node review/10/case.mjs
