#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs without dependencies: nothing is compiled.
# Checks that they parse and that the daemon of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in review/standin2/*.py review/[6-9]/case.py review/10/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
[ -x target/release/auburnsaddled ] || cargo build --release --locked --package auburnsaddle-daemon
