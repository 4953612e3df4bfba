#!/usr/bin/env bash
# Prepares the stand-ins that the scripts in review/11 to review/15 start, the project's own included. They are Python programs that
# use the standard library only, so this checks that each can be compiled. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in tests/fakes/platform_cell.py tests/fakes/ports.py review/1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
