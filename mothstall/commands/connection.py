"""Blocking calls of a command to keepers and to a proxy's agent.

Each call opens its own connection, waits for the response and closes the connection.
"""

from __future__ import annotations

import asyncio
import getpass
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.agent.single_requests import send_local_drain_request
from mothstall.fleet.errors import CommandRejectedError, KeeperUnavailableError
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import AdminResponse, AdminVerb, LocalDrainRequest
from mothstall.store.state.changes import Change, ChangeResult, PutDrain, RemoveDrain
from mothstall.store.state.rows import StateDelta

ADMIN_TIMEOUT_S = 1.5
"""Upper limit of the wait for replies of all keepers or observers, which are queried concurrently:
one that is down would otherwise use up all of `--wait`."""

KeeperReply: TypeAlias = AdminResponse | KeeperUnavailableError

_T = TypeVar("_T")


def read_state(operator: OperatorConfig, timeout_s: float) -> StateDelta:
    """Return the complete replicated state, by a linearizable read.

    Raises:
        KeeperUnavailableError: No quorum answered within `timeout_s`.
    """
    return asyncio.run(
        _with_client(operator, lambda client: client.read_state(timeout_s, wait_for_quorum=False))
    )


def propose_change(operator: OperatorConfig, change: Change, timeout_s: float) -> ChangeResult:
    """Apply one change to the replicated state and return its result.

    Raises:
        CommandRejectedError: The state machine rejected the change.
        KeeperUnavailableError: No quorum answered within `timeout_s`.
    """
    result = asyncio.run(
        _with_client(
            operator, lambda client: client.propose(change, timeout_s, wait_for_quorum=False)
        )
    )
    if result.rejected_reason:
        raise CommandRejectedError(result.rejected_reason)
    return result


def send_local_drain(
    operator: OperatorConfig, address: str, change: PutDrain | RemoveDrain, timeout_s: float
) -> str:
    """Add or remove a drain at one proxy, and return the proxy's description of the outcome.

    Args:
        operator: The operator file, for the cluster's name and key.
        address: `host:port` of the proxy's agent.
        change: The drain to add or to remove.
        timeout_s: Seconds to wait for the response.

    Raises:
        CommandRejectedError: The proxy rejected the change.
        KeeperUnavailableError: The proxy did not answer within `timeout_s`.
    """
    request = LocalDrainRequest(1, change=change)
    response = asyncio.run(send_local_drain_request(operator, address, request, timeout_s))
    if response.rejected_reason:
        raise CommandRejectedError(response.rejected_reason)
    return response.body.decode()


def command_every_keeper(
    operator: OperatorConfig, verb: AdminVerb, name: str, timeout_s: float
) -> dict[str, KeeperReply]:
    """Send one admin command to every keeper of the operator file at the same time.

    Returns:
        By keeper, its response or the error, in the order of the operator file.
    """
    return asyncio.run(_command_every_keeper(operator, verb, name, timeout_s))


async def _command_every_keeper(
    operator: OperatorConfig, verb: AdminVerb, name: str, timeout_s: float
) -> dict[str, KeeperReply]:
    async def command_one(keeper: str) -> KeeperReply:
        try:
            return await _with_client(
                operator, lambda client: client.send_admin_command(verb, name, timeout_s), keeper
            )
        except KeeperUnavailableError as error:
            return error

    names = [keeper.name for keeper in operator.keepers]
    replies = await asyncio.gather(*map(command_one, names))
    return dict(zip(names, replies, strict=True))


async def _with_client(
    operator: OperatorConfig,
    call: Callable[[KeeperClient], Awaitable[_T]],
    only_keeper: str = "",
) -> _T:
    """Run `call` with a client of any keeper, or of `only_keeper`, and close the client."""
    client = KeeperClient(
        operator,
        f"tool-{getpass.getuser()}",
        PeerRole.TOOL,
        loop=asyncio.get_running_loop(),
        only_keeper=only_keeper,
    )
    try:
        return await call(client)
    finally:
        await client.close()
