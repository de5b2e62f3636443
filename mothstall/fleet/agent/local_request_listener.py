"""The agent's listener for requests that operators and lease owners send to this proxy."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from mothstall.config import parse_address
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.local_drains import LocalDrainOutcome, LocalDrains
from mothstall.fleet.agent.persisted_state import LocalState
from mothstall.fleet.agent.task_supervisor import TaskSupervisor
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import AdminResponse, LocalDrainRequest

log = logging.getLogger("mothstall.fleet")


class LocalRequestListener:
    """Answers each `LocalDrainRequest` once it is in effect and on disk.

    Attributes:
        port: The port that it listens on; 0: it does not listen.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        state: LocalState,
        drains: LocalDrains,
        tasks: TaskSupervisor,
        counters: AgentCounters,
    ) -> None:
        self.port = 0
        self._operator = operator
        self._name = name
        self._state = state
        self._drains = drains
        self._tasks = tasks
        self._counters = counters
        self._server: asyncio.Server | None = None

    async def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start listening if the operator file gives an address.

        Raises:
            OSError: The address is not available.
        """
        if not self._operator.agent.listen:
            return
        address = parse_address(self._operator.agent.listen)
        self._server = await loop.create_server(self._new_link, address.host, address.port)
        self.port = self._server.sockets[0].getsockname()[1]
        log.info("agent listening", extra={"kv": {"name": self._name, "agent_port": self.port}})

    def close(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    def _new_link(self) -> FrameConnection:
        return FrameConnection(
            self._operator.cluster,
            self._operator.key(),
            self._name,
            PeerRole.AGENT,
            is_dialer=False,
            on_connected=lambda link: None,
            on_payload=self._on_payload,
            on_closed=lambda link, reason: None,
        )

    def _on_payload(self, link: FrameConnection, payload: bytes) -> None:
        try:
            request = msgspec.msgpack.decode(payload, type=LocalDrainRequest)
        except (msgspec.DecodeError, ValueError):
            link.close("payload cannot be decoded")
            return
        self._tasks.spawn(self._respond(link, request))

    async def _respond(self, link: FrameConnection, request: LocalDrainRequest) -> None:
        self._counters.admin_requests += 1
        outcome = await self._execute_request(request)
        if outcome.rejected_reason:
            self._counters.admin_requests_rejected += 1
        response = AdminResponse(request.request_id, outcome.rejected_reason, outcome.text.encode())
        link.send(msgspec.msgpack.encode(response))

    async def _execute_request(self, request: LocalDrainRequest) -> LocalDrainOutcome:
        if request.lease:
            rejected_reason = self._state.fencing_tokens.admit(request.lease, request.token)
            if not rejected_reason:
                rejected_reason = await self._state.save()
            if rejected_reason:
                return LocalDrainOutcome(rejected_reason)
        if request.change is None:
            return LocalDrainOutcome()
        return await self._drains.apply(request.change)
