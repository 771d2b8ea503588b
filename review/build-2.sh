#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library alone, so that is compiling them.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9 review/10
