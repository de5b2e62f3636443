"""The client side of the proxy: connections, acceptor, timeouts, load shedding and handover."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web_server

from mothstall.config import Address, Names
from mothstall.net import protocol
from mothstall.net.aiohttp_internals import open_connections
from mothstall.net.body_relay import BufferGrants
from mothstall.net.client_side import deadlines, lingering_close
from mothstall.net.client_side.acceptor import Acceptor
from mothstall.net.client_side.connection import Connection
from mothstall.net.client_side.connection_handover import ConnectionHandover, HandoverTarget
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.client_side.connection_table import ConnectionTable
from mothstall.net.client_side.incomplete_request import IncompleteRequestBudget
from mothstall.net.client_side.load_shedding import SHED_URGENT_S, ConnectionBudget
from mothstall.net.client_side.open_exchange import ExchangeEnd, OpenExchange
from mothstall.net.client_side.pipelined_input import PipelinedInputBudget
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider_messages import ClientResponse, DeciderMessage, RequestArrived
from mothstall.net.lifecycle import SILENT_S, Lifecycle, Phase

if TYPE_CHECKING:
    from aiohttp import web

SWEEP_S = 0.1  # between two checks of all connections
# Fractions of the memory limit, for all clients together:
INCOMPLETE_MEMORY_FRACTION = 1 / 8  # for requests that are being read
PIPELINED_MEMORY_FRACTION = 1 / 16  # for input ahead of a response
SHUTDOWN_TIMEOUT_S = 0.05  # for connections that are still open at the end of a shutdown


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the resources that clients use.

    Attributes:
        max_connections: The budget of client connections.
        max_body_bytes: The longest request body that is accepted.
        memory_bytes: The memory limit of the process.
        retry_after_ns: The Retry-After of a rejection (503) on the client side.
        socket_buffer_bytes: Size of each of the kernel's buffers of a connection.
    """

    max_connections: int
    max_body_bytes: int
    memory_bytes: int
    retry_after_ns: int
    socket_buffer_bytes: int


def is_responding(connection: Connection) -> bool:
    """Return whether a response to the connection's client has begun and is not sent completely."""
    return connection.state == ConnectionState.RELAYING or (
        connection.state == ConnectionState.LINGERING and connection.has_unread_response()
    )


class Server(web_server.Server):
    """aiohttp's server with its table of connections; it creates `Connection` objects."""

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend.no_handler)
        self._frontend = frontend

    def __call__(self) -> Connection:
        """Create the protocol of an accepted connection."""
        return Connection(self._frontend, self)


class Frontend:
    """All client connections.

    Attributes:
        names: Header names and other configured names.
        loop: The event loop of the connections.
        counters: The proxy's counters.
        clock: The proxy's clock.
        phases: The proxy's lifecycle: serving, draining, drained or stopping.
        grants: Permits for streaming long request bodies.
        max_body_bytes: The longest request body that is accepted.
        retry_after_head: The Retry-After header line of a rejection (503).
        incomplete_budget: Counts the memory that incomplete requests of all connections take.
        pipelined_budget: Counts the input that all connections buffer while a request is open.
        table: The connections by state.
        budget: The budget of connections.
        acceptor: Accepts new connections.
        handover: Hands connections over to the successor process.
    """

    def __init__(
        self,
        address: Address,
        names: Names,
        limits: ClientLimits,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        decide: Callable[[DeciderMessage], None],
        ready: Callable[[], bool],
        phases: Lifecycle,
        grants: BufferGrants,
        listen_fd: int | None = None,
        handover_target: HandoverTarget,
    ) -> None:
        """Serve clients at `address`, or on the inherited listener `listen_fd` unless that is None.

        `decide` sends messages to the decider, `ready` returns whether the decider has an endpoint
        list, and `handover_target` receives connections when another process takes over.
        """
        self.names = names
        self.loop = loop
        self.counters = counters
        self.clock = clock
        self.phases = phases
        self.grants = grants
        self.max_body_bytes = limits.max_body_bytes
        self.retry_after_head = protocol.retry_after_header(limits.retry_after_ns)
        self.incomplete_budget = IncompleteRequestBudget(
            int(limits.memory_bytes * INCOMPLETE_MEMORY_FRACTION), limits.max_connections
        )
        self.pipelined_budget = PipelinedInputBudget(
            int(limits.memory_bytes * PIPELINED_MEMORY_FRACTION)
        )
        self._decide = decide
        self._ready = ready
        self._request_numbers = itertools.count(1)
        self._open_ids: set[bytes] = set()  # ids of requests that have no response yet
        self._server = Server(self)
        self._accepted = open_connections(self._server)
        self.table = ConnectionTable()
        self.acceptor = Acceptor(
            address,
            listen_fd,
            self._server,
            loop,
            counters,
            clock,
            phases,
            limits.socket_buffer_bytes,
        )
        self.budget = ConnectionBudget(
            limits.max_connections,
            self.table,
            self._accepted,
            self.acceptor.accepting,
            loop,
            counters,
        )
        self.handover = ConnectionHandover(self.table, handover_target, loop, counters, phases)
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start to accept clients.

        Raises:
            OSError: The address is not available.
        """
        await self.acceptor.start(self.budget)
        self._sweep()

    async def no_handler(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stand in for aiohttp's handler, which is never called."""
        raise NotImplementedError("connections handle their requests themselves")

    @property
    def port(self) -> int:
        """The listening port."""
        return self.acceptor.port

    @property
    def connection_count(self) -> int:
        """Number of open client connections."""
        return len(self._accepted)

    def open_by_state(self) -> dict[str, int]:
        """Return the number of connections by lower-case state name, without empty states."""
        return self.table.counts()

    def accepts_new_clients(self) -> bool:
        """Return whether the proxy is ready and accepts new clients."""
        return self._ready() and self.acceptor.is_listening and self.phases.accepts_clients

    def closes_after_response(self) -> bool:
        """Return whether a response ends its connection: in a drain or under pressure."""
        return self.phases.closes_connections or self.budget.is_under_pressure()

    def local_page(self, path: str) -> ClientResponse:
        """Return the response for a local page: the counters, or the readiness."""
        if path == "/counters":
            return ClientResponse(200, self.counters.text().encode())
        if self.accepts_new_clients():
            return ClientResponse(200, b"ready\n")
        return ClientResponse(503, b"not ready\n")

    # Requests

    def submit_request(
        self,
        connection: Connection,
        request: protocol.ClientRequest,
        arrived_ns: int,
        state: ConnectionState = ConnectionState.AWAITING_RESPONSE,
    ) -> int | None:
        """Submit a request to the decider.

        Returns:
            The number of the request; None if another open request has the same id.
        """
        if request.request_id in self._open_ids:
            return None
        self._open_ids.add(request.request_id)
        request.client = connection
        number = next(self._request_numbers)
        connection.open_exchange(OpenExchange(number, request), state)
        self._decide(RequestArrived(number, request, arrived_ns, connection.send_response))
        return number

    def end_exchange(self, exchange: OpenExchange, end: ExchangeEnd) -> None:
        """Release the id and the streams of a request, and report its end to the decider."""
        self._open_ids.discard(exchange.request.request_id)
        message = exchange.end_message(end)
        if message is not None:
            # Sent before the streams are released, which may end the attempt: the decider must not
            # retry a request that has ended.
            self._decide(message)
        exchange.release_streams()

    # Time

    def _sweep(self) -> None:
        """Hand over connections, and check the timeouts of all; linear in their number."""
        now = self.loop.time()
        if self.phases.is_handing_over:
            self.handover.hand_over_idle()
            self.handover.hand_over_responses()
        is_drained = self.phases.tick(now) is Phase.DRAINED
        for connection in self._client_connections():
            deadlines.check(connection, now)
            if self.phases.rejects_incomplete(now):
                deadlines.check_at_process_end(connection)
            if is_drained:
                deadlines.check_drained(connection, now)
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    # Stopping

    async def close(self) -> None:
        """Stop listening, after accepting the connections in the backlog."""
        await self.acceptor.close()

    def close_idle(self) -> bool:
        """Close the connections that have been idle for a while; True if any are still open."""
        if self.phases.is_handing_over:
            # Guards against closing a connection that the successor process could still serve.
            self.handover.hand_over_idle()
            self.handover.hand_over_responses()
        now = self.loop.time()
        for state, min_age_s in (
            (ConnectionState.IDLE, SHED_URGENT_S),
            (ConnectionState.NEW, SILENT_S),
            (ConnectionState.PENALIZED, SHED_URGENT_S),
        ):
            for connection in list(self.table.by_state[state]):
                if now - connection.state_since_s >= min_age_s:
                    lingering_close.begin(connection)
        return bool(self._accepted)

    def responding_count(self) -> int:
        """Return the number of connections with a response that is not sent completely."""
        return sum(is_responding(connection) for connection in self._client_connections())

    def close_unanswered(self) -> dict[str, int]:
        """Close all connections but those with a response that is not sent completely.

        Returns:
            The number of closed connections by state.
        """
        closed: Counter[str] = Counter()
        for connection in self._client_connections():
            if not is_responding(connection):
                closed[connection.state.name.lower()] += 1
                connection.force_close()
        return dict(closed)

    def _client_connections(self) -> list[Connection]:
        return [c for c in list(self._accepted) if isinstance(c, Connection)]

    async def stop(self) -> None:
        """Close the connections that are still open."""
        if self._sweep_timer:
            self._sweep_timer.cancel()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
