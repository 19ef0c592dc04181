#!/usr/bin/env bash
# Checks what the scripts of cases 6 and later need. Their stand-ins are Python
# files in review/common2 and the cases' folders, which need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -c "import asyncio, tomllib"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
from pathlib import Path

for path in sorted(Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
