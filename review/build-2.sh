#!/bin/sh
# The stand-ins of this review are plain modules of Node.js (`review/standins-2`), which need no build and no package: this checks that
# they, and the scripts of the cases, can be read. The program itself is built by the deploy file.
cd "$(dirname "$0")" || exit 2
for file in standins-2/*.mjs [4-8]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
