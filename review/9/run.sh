#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
# What was sent, answered and run goes to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || { echo "the case could not run: no .venv" >&2; exit 2; }
exec .venv/bin/python -B "$here/case.py" "$here/record.txt"
