"""The command line: serve, check-config, version; the lab's commands stand in `mothstall.lab.command`."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from mothstall import __version__
from mothstall.config import LOG_LEVELS, Config, ConfigError, load


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="mothstall", description="A load-balancing proxy for HTTP fleets.")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    serve = commands.add_parser("serve", help="run the proxy (the default)")
    check = commands.add_parser("check-config", help="read and check the configuration, then end")
    for command in (serve, check):
        command.add_argument("--config", metavar="FILE", help="the JSON file (default: $LB_CONFIG)")
    serve.add_argument("--log-level", choices=LOG_LEVELS, help="overrides log_level of the file")
    commands.add_parser("version", help="print the version")
    commands.add_parser("lab", help="play fleets, troubles and loads; `mothstall lab --help`", add_help=False)
    return parser


def main(argv: Sequence[str] | None = None, env: Mapping[str, str] = os.environ) -> int:
    words = list(sys.argv[1:] if argv is None else argv)
    if words[:1] == ["lab"]:
        return _lab(words[1:])
    args = _parser().parse_args(words or ["serve"])
    if args.command == "version":
        print(f"mothstall {__version__}")
        return 0
    if args.command == "serve":
        # Guards against a word to read the file again that comes before the loop can take it: it waits.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load(args.config, env)
    except ConfigError as why:
        print(f"mothstall: {why}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(f"mothstall: {config.name}: {len(config.settings.classes)} classes, listens on {config.listen}")
        return 0

    def reread() -> Config:
        fresh = load(args.config, env, again=True)
        return replace(fresh, log_level=args.log_level or fresh.log_level)

    return _serve(replace(config, log_level=args.log_level or config.log_level), reread)


def _lab(words: Sequence[str]) -> int:
    """The lab stands on libraries that the proxy does without; they are read when it is called."""
    try:
        from mothstall.lab.command import main as lab
    except ModuleNotFoundError as why:
        if (why.name or "").startswith("mothstall"):
            raise
        print(f"mothstall: lab needs {why.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        return 2
    return lab(words)


def _serve(config: Config, reread: Callable[[], Config]) -> int:
    from mothstall.net import logs
    from mothstall.net.clock import Poll
    from mothstall.net.proxy import run

    logs.set_up(config.log_level)
    try:
        poll = Poll()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(poll)) as runner:
            runner.run(run(config, reread, poll))
    except OSError as why:
        print(f"mothstall: {why.strerror or why}", file=sys.stderr)
        return 1
    return 0
