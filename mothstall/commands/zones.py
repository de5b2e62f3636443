"""`mothstall zones`: the failover plan, its evidence, and operators' overrides of it."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from mothstall.commands.parsing import SubParsers, add_command, add_reason_options
from mothstall.fleet.failover import zone_commands
from mothstall.fleet.failover.zone_commands import ZoneCommand, ZoneVerb
from mothstall.fleet.operator_config import OperatorConfig


def add_parsers(subparsers: SubParsers) -> None:
    """Add the command of this module."""
    parser = add_command(
        subparsers,
        "zones",
        "show the failover plan and its reasons, or override it",
        run_zone_command,
    )
    parser.add_argument(
        "verb",
        nargs="?",
        choices=("show", "shift", "evacuate", "hold", "resume"),
        default="show",
        help="show (default); shift a share of a zone's traffic away; evacuate a zone; hold the "
        "plan as it is; resume: end a hold, or the override of a zone",
    )
    parser.add_argument("zone", nargs="?", default="", help="the zone to evacuate or to resume")
    parser.add_argument(
        "--from",
        dest="source_zone",
        default="",
        metavar="ZONE",
        help="the zone to shift traffic from",
    )
    parser.add_argument(
        "--part",
        dest="share",
        default="",
        metavar="N%",
        help="share of its traffic to shift, 0%% to 100%%",
    )
    parser.add_argument(
        "--for",
        dest="hold_duration",
        default="10m",
        metavar="DURATION",
        help="how long to hold; default: 10m",
    )
    parser.add_argument(
        "--dry-run", action="store_true", help="show the effect on the plan, change nothing"
    )
    add_reason_options(parser, is_reason_required=False)


def run_zone_command(operator: OperatorConfig, args: argparse.Namespace) -> dict[str, Any]:
    """Show the plan and its evidence, or write an operator's override and show its effect."""
    command = ZoneCommand(
        verb=ZoneVerb(args.verb),
        zone=args.zone,
        source_zone=args.source_zone,
        share=args.share,
        hold_duration=args.hold_duration,
        is_dry_run=args.dry_run,
        operator_name=args.who,
        reason=args.why,
        wait_s=args.wait,
    )
    output: dict[str, Any] = asyncio.run(zone_commands.run_zone_command(operator, command))
    return output
