"""The commands `drain`, `undrain` and `drains`: start, end and list drains."""

from __future__ import annotations

import argparse
import time
from typing import TypedDict

from mothstall.commands.connection import propose_change, read_state, send_local_drain
from mothstall.commands.parsing import SubParsers, add_command, add_reason_options
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.state.changes import PutDrain, RemoveDrain
from mothstall.store.state.rows import Drain, DrainKind

# Kinds of drains by their word on the command line. `box`, the former word for a backend, is still
# accepted.
KINDS = {"backend": DrainKind.BACKEND, "zone": DrainKind.ZONE, "box": DrainKind.BACKEND}

# Words of text output, by the stored kind; JSON output has the stored kind.
DISPLAYED_KINDS = {DrainKind.BACKEND.value: "backend", DrainKind.ZONE.value: "zone"}


class DrainRow(TypedDict):
    """One drain, as `drains` prints it."""

    kind: str
    name: str
    who: str
    when: str
    why: str


def add_parsers(subparsers: SubParsers) -> None:
    """Add the commands of this module."""
    drain = add_command(
        subparsers, "drain", "send no new requests to a backend or a zone", put_drain
    )
    _add_target_arguments(drain)
    add_reason_options(drain, is_reason_required=True)
    undrain = add_command(subparsers, "undrain", "end a drain", remove_drain)
    _add_target_arguments(undrain)
    add_reason_options(undrain, is_reason_required=False)
    add_command(subparsers, "drains", "list drains: target, operator, time and reason", list_drains)


def _add_target_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=tuple(KINDS), metavar="{backend,zone}")
    parser.add_argument("name")
    parser.add_argument(
        "--at",
        metavar="HOST:PORT",
        help="send to one proxy, whose agent applies it at once and stores it once keepers answer",
    )


def put_drain(operator: OperatorConfig, args: argparse.Namespace) -> str:
    """Drain a backend or a zone, in the store or at one proxy."""
    drain = Drain(
        kind=KINDS[args.kind],
        name=args.name,
        requested_by=args.who,
        requested_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        reason=args.why,
    )
    return _apply(operator, args, PutDrain(drain), outcome="is drained")


def remove_drain(operator: OperatorConfig, args: argparse.Namespace) -> str:
    """End a drain, in the store or at one proxy."""
    change = RemoveDrain(KINDS[args.kind], args.name, args.who)
    return _apply(operator, args, change, outcome="is no longer drained")


def _apply(
    operator: OperatorConfig,
    args: argparse.Namespace,
    change: PutDrain | RemoveDrain,
    *,
    outcome: str,
) -> str:
    target = f"{DISPLAYED_KINDS[KINDS[args.kind]]} {args.name}"
    if args.at:
        return f"{target}: {send_local_drain(operator, args.at, change, args.wait)}"
    propose_change(operator, change, args.wait)
    return f"{target} {outcome}"


def list_drains(operator: OperatorConfig, args: argparse.Namespace) -> list[DrainRow]:
    """Return all drains in the store by kind and name."""
    state = read_state(operator, args.wait)
    drains = [drain for drain in state.drains.values() if drain]
    return [
        DrainRow(
            kind=drain.kind if args.json else DISPLAYED_KINDS.get(drain.kind, drain.kind),
            name=drain.name,
            who=drain.requested_by,
            when=drain.requested_at,
            why=drain.reason,
        )
        for drain in sorted(drains, key=lambda drain: (drain.kind, drain.name))
    ]
