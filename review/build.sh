#!/usr/bin/env bash
# The stand-ins are Python files that use the standard library only: nothing is built, and
# this checks that they load. The daemon is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || {
  echo "Python 3.9 or later is needed" >&2
  exit 1
}
for file in review/standin/*.py review/[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
