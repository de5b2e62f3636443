"""`mothstall keeper` and `mothstall observer`: run one process of the fleet in the foreground.

The modules of a process are imported when it is started, so that other commands do not load them.
"""

from __future__ import annotations

import argparse
import asyncio

from mothstall.commands.parsing import SubParsers, add_command
from mothstall.config import LOG_LEVELS
from mothstall.fleet.operator_config import OperatorConfig


def add_parsers(subparsers: SubParsers) -> None:
    """Add the commands of this module."""
    keeper = add_command(
        subparsers, "keeper", "run one replica of the store in the foreground", run_keeper
    )
    keeper.add_argument("--name", required=True, help="its name in the operator file")
    keeper.add_argument("--log-level", choices=LOG_LEVELS, default="info")
    keeper.add_argument(
        "--disk-switch",
        metavar="FILE",
        help="for the lab: the word `stall`, `slow` or `full` in this file injects disk faults",
    )
    observer = add_command(
        subparsers, "observer", "run one observer in the foreground", run_observer
    )
    observer.add_argument("--name", required=True, help="its name in the operator file")
    observer.add_argument("--log-level", choices=LOG_LEVELS, default="info")


def run_keeper(operator: OperatorConfig, args: argparse.Namespace) -> None:
    """Run a keeper until SIGTERM or SIGINT.

    Raises:
        OperatorError: The operator file does not name this keeper or its data folder.
        OSError: The keeper cannot listen, or cannot use its disk.
    """
    from mothstall.keeper.run import run
    from mothstall.net import logs

    logs.configure_logging(args.log_level)
    asyncio.run(run(operator, args.name, args.disk_switch))


def run_observer(operator: OperatorConfig, args: argparse.Namespace) -> None:
    """Run an observer until SIGTERM or SIGINT.

    Raises:
        OperatorError: The operator file does not name this observer.
        OSError: The observer cannot listen, or stopped on an internal fault.
    """
    from mothstall.net import logs
    from mothstall.observer.run import run

    logs.configure_logging(args.log_level)
    asyncio.run(run(operator, args.name))
