#!/bin/bash
# The stand-ins of the cases 11 to 15 are plain JavaScript and Python; nothing has to be built. Their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in common-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
