"""Reads batches from standard input and writes a reply for each to standard output."""

from __future__ import annotations

import gc
import sys

from mothstall.simhost.host import Host
from mothstall.simwire import codec


def main() -> int:
    """Reply to batches until the input ends; return the exit code."""
    gc.freeze()
    gc.set_threshold(50_000, 50, 50)
    host = Host()
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    try:
        while (body := codec.read_frame(source)) is not None:
            now, records = codec.decode(body)
            sink.write(host.batch(now, records))
            sink.flush()
    except codec.WireError as why:
        print(f"mothstall: bad input: {why}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("mothstall: standard output was closed by its reader", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
