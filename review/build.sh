#!/bin/sh
# Builds the stand-ins of the review scripts. They are Python and use its standard library only, so this just checks that they
# and the project's stand-ins that they import can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path[:0] = ["review", "tests/fakes"]; import small_cell'
echo "review: the stand-ins can be loaded."
