#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the program of the
# deploy file. Their stand-ins are in Python, so they are only checked here.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'PYTHON'
import ast
import pathlib

paths = [pathlib.Path("review/deployment_2.py")]
paths += pathlib.Path("test/soak").glob("*.py")
for number in range(6, 11):
    paths += pathlib.Path("review", str(number)).glob("*.py")
for path in paths:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("checked %d Python files" % len(paths))
PYTHON
