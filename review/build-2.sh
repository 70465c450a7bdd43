#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They are plain modules for Node in the folder of each case and need no
# compiler: this checks that each can be loaded by the Node that is there.
set -eu
cd "$(dirname "$0")"
for file in 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs; do
    node --check "$file"
done
echo "the stand-ins are ready"
