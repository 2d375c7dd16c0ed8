#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript beside this file and need no build; this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in ./*.mjs ./[1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
