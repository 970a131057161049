#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are plain modules of Node.js and need no compiler; the daemon itself is built by the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
