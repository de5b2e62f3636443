"""`mothstall observers`: the status of each observer, as it reports it."""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any, TypeAlias

from mothstall.commands.connection import ADMIN_TIMEOUT_S
from mothstall.commands.parsing import SubParsers, add_command
from mothstall.fleet.agent import single_requests
from mothstall.fleet.errors import KeeperUnavailableError, OperatorError
from mothstall.fleet.operator_config import ObserverConfig, OperatorConfig
from mothstall.store.protocol.keeper_messages import AdminVerb

ObserverStatus: TypeAlias = dict[str, Any]
"""Status that an observer reports (`Observer.status`), with `lag` added; or `name`, `zone`,
`region`, `keeper` and `why` of an observer without a reply."""

_TEXT_COLUMNS = (
    "name",
    "zone",
    "region",
    "keeper",
    "token",
    "attached",
    "seated",
    "moving",
    "lag",
    "age_ms",
    "left_out",
)


def add_parsers(subparsers: SubParsers) -> None:
    """Add the command of this module."""
    summary = "status of each observer, as it reports it: attached proxies, lag, age, rejections"
    add_command(subparsers, "observers", summary, list_observers)


def list_observers(operator: OperatorConfig, args: argparse.Namespace) -> list[ObserverStatus]:
    """Return the status of every observer of the operator file.

    Raises:
        OperatorError: The operator file names no observers.
        KeeperUnavailableError: No observer answered.
    """
    if not operator.observers:
        raise OperatorError("operator file: $.observers: none is configured")
    rows = asyncio.run(_query_all(operator, min(args.wait, ADMIN_TIMEOUT_S)))
    _add_lag(rows)
    if args.json:
        return rows
    return [{column: row.get(column, "") for column in _TEXT_COLUMNS} for row in rows]


async def _query_all(operator: OperatorConfig, timeout_s: float) -> list[ObserverStatus]:
    queries = [_query(operator, observer, timeout_s) for observer in operator.observers]
    return await asyncio.gather(*queries)


async def _query(
    operator: OperatorConfig, observer: ObserverConfig, timeout_s: float
) -> ObserverStatus:
    try:
        response = await single_requests.send_observer_command(
            operator, observer, AdminVerb.STATUS, timeout_s
        )
        return dict(json.loads(response.body))
    except (KeeperUnavailableError, ValueError) as error:
        return {
            "name": observer.name,
            "zone": observer.zone,
            "region": observer.region,
            "keeper": "not reached",
            "why": str(error),
        }


def _add_lag(rows: list[ObserverStatus]) -> None:
    """Add `lag`: the number of state versions by which each observer is behind the newest."""
    versions = [row["version"] for row in rows if "version" in row]
    if not versions:
        raise KeeperUnavailableError("; ".join(row["why"] for row in rows))
    newest = max(versions)
    for row in rows:
        if "version" in row:
            row["lag"] = newest - row["version"]
