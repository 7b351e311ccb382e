#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use the standard library only, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 - <<'PYTHON'
import ast, pathlib, sys
assert sys.version_info >= (3, 8), sys.version
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
    print(f"{path}: sound")
PYTHON
test -x ../target/bin/turmericspard || { echo "target/bin/turmericspard is missing: run the build of deploy/system.toml first" >&2; exit 2; }
