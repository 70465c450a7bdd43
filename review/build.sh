#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules for Node.js: nothing has to be built, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in [1-5]/*.mjs; do
    node --check "$file"
done
