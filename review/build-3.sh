#!/usr/bin/env bash
# The stand-ins of review/11 to review/15 are Python programs that use the standard library only, so
# nothing is compiled. This checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import ast, glob
for path in sorted(glob.glob("standin3/*.py") + glob.glob("1[1-5]/*.py")):
    ast.parse(open(path).read(), path)
    print("ok", path)
P
