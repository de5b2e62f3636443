#!/bin/sh
# What the cases 6 to 10 need beyond the build of the deploy file: the libraries of the fleet. Their
# stand-ins (review/standins2.py) are plain Python and need no build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-fleet.txt
.venv/bin/python -B -c "import msgspec, xxhash"
