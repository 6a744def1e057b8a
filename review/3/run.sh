#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/3/case.mjs
