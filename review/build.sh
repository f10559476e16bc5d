#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies: nothing
# has to be compiled. This only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")) + [
        pathlib.Path("../test/soak") / name for name in
        ("http_server.py", "store.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
PY
