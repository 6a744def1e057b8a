#!/bin/bash
# Builds the stand-ins of review/6 to review/10. They are plain scripts for Node.js without a dependency, so there is
# nothing to compile: this checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for script in common-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -e "$script" ]; then
        node --check "$script" || exit 1
    fi
done
