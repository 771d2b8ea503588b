#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python of the standard library alone, so that is compiling them.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/standins_2.py review/[6-9] review/10
