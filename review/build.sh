#!/bin/sh
# Builds the stand-ins of the review cases. Runs after the build of the deploy file; needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
