"""One request to one observer or agent over a connection of its own, for operators' tools."""

from __future__ import annotations

import asyncio

import msgspec

from mothstall.config import Address, parse_address
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.operator_config import ObserverConfig, OperatorConfig
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import (
    AdminCommand,
    AdminResponse,
    LocalDrainRequest,
)

TOOL_NAME = "tool"  # sent in the handshake of these connections


async def send_observer_command(
    operator: OperatorConfig, observer: ObserverConfig, verb: str, timeout_s: float
) -> AdminResponse:
    """Send one administrative command to one observer, and return the response.

    Raises:
        KeeperUnavailableError: There was no answer in time.
    """
    command = AdminCommand(1, verb)
    return await _send_single_request(
        operator, observer.name, observer.parsed_address, command, timeout_s
    )


async def send_local_drain_request(
    operator: OperatorConfig, address: str, request: LocalDrainRequest, timeout_s: float
) -> AdminResponse:
    """Send one request to the agent that listens at `address`, and return the response.

    Raises:
        KeeperUnavailableError: There was no answer in time.
    """
    return await _send_single_request(operator, address, parse_address(address), request, timeout_s)


class _ResponseWaiter:
    """Sends one request on a connection after the handshake, and waits for its response."""

    def __init__(self, peer_name: str, request: msgspec.Struct) -> None:
        self.response: asyncio.Future[AdminResponse] = asyncio.get_running_loop().create_future()
        self._peer_name = peer_name
        self._request = request

    def on_connected(self, link: FrameConnection) -> None:
        link.send(msgspec.msgpack.encode(self._request))

    def on_payload(self, link: FrameConnection, payload: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(payload, type=AdminResponse)
        except (msgspec.DecodeError, ValueError):
            link.close("payload cannot be decoded")
            return
        if not self.response.done():
            self.response.set_result(message)

    def on_closed(self, link: FrameConnection, reason: str) -> None:
        if not self.response.done():
            self.response.set_exception(KeeperUnavailableError(f"{self._peer_name}: {reason}"))


async def _send_single_request(
    operator: OperatorConfig,
    peer_name: str,
    address: Address,
    request: msgspec.Struct,
    timeout_s: float,
) -> AdminResponse:
    waiter = _ResponseWaiter(peer_name, request)
    link = FrameConnection(
        operator.cluster,
        operator.key(),
        TOOL_NAME,
        PeerRole.TOOL,
        is_dialer=True,
        on_connected=waiter.on_connected,
        on_payload=waiter.on_payload,
        on_closed=waiter.on_closed,
    )
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: link, address.host, address.port)
            return await waiter.response
    except (OSError, TimeoutError) as error:
        raise KeeperUnavailableError(f"{peer_name}: {error or 'no answer in time'}") from error
    finally:
        link.close("done")
        waiter.response.cancel()
