"""One attached proxy, and its proposals that are not answered yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mothstall.serving.frame_server import send_message
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.keeper_messages import ProposeRequest, ProposeResponse
from mothstall.store.state.changes import ChangeResult


@dataclass(slots=True, eq=False)
class PendingProposal:
    """A proposal of a proxy that is queued here or in flight to a keeper.

    Attributes:
        proxy: The proxy that receives the response.
        request: The proposal as the proxy sent it.
        deadline_s: When the proxy stops waiting, by the loop's clock.
        is_cancelled: Whether the proxy is gone, or no longer waits.
        task: The task that forwards it; None while it is queued.
    """

    proxy: AttachedProxy
    request: ProposeRequest
    deadline_s: float
    is_cancelled: bool = False
    task: asyncio.Task[None] | None = None

    def is_awaited(self, now_s: float) -> bool:
        """Whether the proxy still waits for it."""
        return not self.is_cancelled and self.deadline_s > now_s

    def respond(self, result: ChangeResult) -> None:
        """Send the result to the proxy."""
        self.proxy.respond(self.request.request_id, result)


@dataclass(slots=True, eq=False)
class AttachedProxy:
    """An attached proxy, and its connection.

    Attributes:
        connection: The connection, whose `owner_state` is this object.
        name: The proxy's name.
        owner: The name of its process, under which it holds leases.
        epoch: Number of this attachment of the process.
        pending: Its proposals that are not answered yet, by the proxy's request id.
    """

    connection: FrameConnection
    name: str
    owner: str
    epoch: int
    pending: dict[int, PendingProposal] = field(default_factory=dict)

    def respond(self, request_id: int, result: ChangeResult) -> None:
        """Send the result of a proposal, and remove it from `pending`."""
        self.pending.pop(request_id, None)
        send_message(self.connection, ProposeResponse(request_id, result))
