#!/bin/sh
# Builds the stand-ins. They are Python of the standard library alone: they are only compiled.
root=$(cd "$(dirname "$0")/.." && pwd)
exec "$root/.venv/bin/python" -m compileall -q "$root/review"
