"""Helpers to build argument parsers: options and texts that all commands share."""

from __future__ import annotations

import argparse
import getpass
from collections.abc import Callable
from enum import IntEnum
from typing import TypeAlias

from mothstall.commands.output import CommandOutput
from mothstall.fleet.operator_config import OperatorConfig


class ExitCode(IntEnum):
    """Exit codes of every command; scripts depend on them."""

    DONE = 0
    UNAVAILABLE = 1  # no process answered, or the keepers have no quorum
    BAD_INPUT = 2  # argparse exits with the same code
    REJECTED = 3


EXIT_CODES_TEXT = (
    "exit codes: 0 done, 1 no answer or no quorum, 2 bad input, 3 rejected with a reason"
)
DEFAULT_TIMEOUT_S = 5.0  # covers an election of the keepers, which takes up to about 1 s

CommandHandler: TypeAlias = Callable[[OperatorConfig, argparse.Namespace], CommandOutput | None]
"""Runs one command and returns its output; None if it prints nothing."""

SubParsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def add_command(
    subparsers: SubParsers, name: str, summary: str, handler: CommandHandler
) -> argparse.ArgumentParser:
    """Add one command with the options that all commands take.

    Args:
        subparsers: Where the command is added.
        name: The command's name, or its verb within a group.
        summary: One line, shown by `--help` of the level above.
        handler: Runs the command; stored as `handler` in the parsed arguments.

    Returns:
        The command's parser, for arguments of its own.
    """
    parser = subparsers.add_parser(
        name, help=summary, parents=[_common_options()], epilog=EXIT_CODES_TEXT
    )
    parser.set_defaults(handler=handler)
    return parser


def add_command_group(subparsers: SubParsers, name: str, summary: str) -> SubParsers:
    """Add a group of commands, such as `lease`, and return where its verbs are added."""
    parser = subparsers.add_parser(name, help=summary, epilog=EXIT_CODES_TEXT)
    return parser.add_subparsers(dest="verb", required=True)


def add_reason_options(parser: argparse.ArgumentParser, *, is_reason_required: bool) -> None:
    """Add `--why` and `--who`, which are stored with a change and shown to other operators."""
    parser.add_argument(
        "--why", required=is_reason_required, default="", help="the reason, for other operators"
    )
    parser.add_argument(
        "--who", default=getpass.getuser(), help="name of the operator; default: the current user"
    )


def _common_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument("--operator", metavar="FILE", required=True, help="the operator file")
    options.add_argument("--json", action="store_true", help="print JSON on standard output")
    options.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="seconds to wait for an answer; default: 5",
    )
    return options
