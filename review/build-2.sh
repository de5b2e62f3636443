#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (review/standins2.py): plain Python, which only wants to be compiled.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2.py
