"""Entry point of the fleet's commands: parse arguments, run one command, print its output."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from mothstall.commands import (
    drains,
    keeper_files,
    keepers,
    leases,
    members,
    observers,
    output,
    processes,
    zones,
)
from mothstall.commands.parsing import EXIT_CODES_TEXT, ExitCode, add_command_group
from mothstall.fleet.errors import CommandRejectedError, KeeperUnavailableError, OperatorError
from mothstall.fleet.operator_file import read_operator_file


def main(argv: Sequence[str]) -> int:
    """Run one command and return its exit code.

    Args:
        argv: The arguments, beginning with the command's name.

    Raises:
        SystemExit: The arguments cannot be parsed, or `--help` was given.
    """
    args = build_parser().parse_args(argv)
    try:
        operator = read_operator_file(args.operator)
        operator.key()  # reports an unreadable key before any connection is opened
        result = args.handler(operator, args)
    except (OperatorError, ValueError) as error:
        return _fail(ExitCode.BAD_INPUT, str(error))
    except CommandRejectedError as error:
        return _fail(ExitCode.REJECTED, f"rejected: {error}")
    except (KeeperUnavailableError, OSError) as error:
        return _fail(ExitCode.UNAVAILABLE, str(error))
    if result is not None:
        print(output.format_json(result) if args.json else output.format_text(result))
    return ExitCode.DONE


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands; parsed arguments carry the command's `handler`."""
    parser = argparse.ArgumentParser(prog="mothstall", epilog=EXIT_CODES_TEXT)
    groups = parser.add_subparsers(dest="group", required=True)
    processes.add_parsers(groups)
    observers.add_parsers(groups)
    leases.add_parsers(groups)
    drains.add_parsers(groups)
    members.add_parsers(groups)
    zones.add_parsers(groups)
    keeper_verbs = add_command_group(groups, "keepers", "the replicas of the store")
    keepers.add_parsers(keeper_verbs)
    keeper_files.add_parsers(keeper_verbs)
    return parser


def _fail(code: ExitCode, message: str) -> int:
    print(f"mothstall: {message}", file=sys.stderr)
    return code
