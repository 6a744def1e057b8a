#!/bin/sh
# Builds the stand-ins that the scripts of the cases start; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npx tsc -b packages/standins
