#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10. They are Python files that use the standard library alone, so that
# it only checks that this Python can compile them. The programs are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in [*pathlib.Path("standins-2").glob("*.py"), *pathlib.Path(".").glob("[7-9]/*.py"), *pathlib.Path("10").glob("*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
