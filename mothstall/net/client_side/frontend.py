"""The clients' side of the proxy: composes connections, accepting, load shedding and handover."""

from __future__ import annotations

import asyncio
import itertools
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
from mothstall.net.client_side.load_shedding import SHED_HURRIED_S, ConnectionBudget
from mothstall.net.client_side.open_exchange import ExchangeEnd, OpenExchange
from mothstall.net.client_side.pipelined_input import PipelinedInputBudget
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider_messages import ClientResponse, DeciderMessage, RequestArrived
from mothstall.net.lifecycle import SILENT_S, Lifecycle, Phase

if TYPE_CHECKING:
    from aiohttp import web

SWEEP_S = 0.1  # between two checks of all connections
STOP_S = 0.05  # for what is still open when the time to stop is over


@dataclass(frozen=True)
class ClientLimits:
    """What clients may take.

    Attributes:
        max_connections: The budget of connections.
        max_body_bytes: The longest request body that is taken.
        max_pipelined_bytes: All clients together may send so much ahead of responses.
        retry_after_ns: Sent with what the proxy's end rejects.
    """

    max_connections: int
    max_body_bytes: int
    max_pipelined_bytes: int
    retry_after_ns: int


class Server(web_server.Server):
    """aiohttp's table of connections, with connections of our own."""

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend.no_handler)
        self._frontend = frontend

    def __call__(self) -> Connection:
        """Make the protocol of a connection that was accepted."""
        return Connection(self._frontend, self)


class Frontend:
    """All client connections.

    Attributes:
        names: Names of headers and the like.
        loop: Where the connections run.
        counters: Of the proxy.
        clock: Of the proxy.
        phases: Whether the proxy takes clients, drains or stops.
        grants: Permits of long request bodies.
        max_body_bytes: The longest request body that is taken.
        retry_after_head: Header lines of what the proxy's end rejects.
        pipelined_budget: Of all that clients sent ahead of responses.
        table: The connections by state.
        budget: Of connections.
        acceptor: Of new connections.
        handover: To the process that takes over.
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
        """Serve clients at `address`, or at `listen_fd` where others hold the clients' socket.

        `decide` takes messages to the decisions, and `ready` tells whether these know the
        endpoints; `handover_target` takes connections when another process takes over.
        """
        self.names = names
        self.loop = loop
        self.counters = counters
        self.clock = clock
        self.phases = phases
        self.grants = grants
        self.max_body_bytes = limits.max_body_bytes
        self.retry_after_head = protocol.retry_after_header(limits.retry_after_ns)
        self.pipelined_budget = PipelinedInputBudget(limits.max_pipelined_bytes)
        self._decide = decide
        self._ready = ready
        self._request_numbers = itertools.count(1)
        self._open_ids: set[bytes] = set()  # of requests that have no response yet
        self._server = Server(self)
        self._accepted = open_connections(self._server)
        self.table = ConnectionTable()
        self.acceptor = Acceptor(address, listen_fd, self._server, loop, counters, clock, phases)
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
        """Begin to take clients.

        Raises:
            OSError: The address is not available.
        """
        await self.acceptor.start(self.budget)
        self._sweep()

    async def no_handler(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stand in for aiohttp's handler, which is never called."""
        raise NotImplementedError("connections answer by themselves")

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self.acceptor.port

    @property
    def count(self) -> int:
        """Client connections that are open."""
        return len(self._accepted)

    def open_by_state(self) -> dict[str, int]:
        """Count the connections of each state that has any."""
        return self.table.counts()

    def takes_clients(self) -> bool:
        """Tell whether new clients are welcome."""
        return self._ready() and self.acceptor.is_listening and self.phases.accepts_clients

    def ends_connections(self) -> bool:
        """Tell whether a response is the last of its connection: at a drain, or to make room."""
        return self.phases.closes_connections or self.budget.is_under_pressure()

    def local_page(self, path: str) -> ClientResponse:
        """Return what the proxy says of itself at `path`."""
        if path == "/counters":
            return ClientResponse(200, self.counters.text().encode())
        if self.takes_clients():
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
        """Hand a request to the decisions.

        Returns:
            The number of the request; None if its id is that of an open one.
        """
        if request.request_id in self._open_ids:
            return None
        self._open_ids.add(request.request_id)
        request.client = connection
        request.received_ns = arrived_ns
        number = next(self._request_numbers)
        connection.open_exchange(OpenExchange(number, request), state)
        latest = self.phases.response_deadline(self.loop.time())
        latest_ns = None if latest is None else self.clock.unix_ns(latest)
        self._decide(RequestArrived(number, request, arrived_ns, connection.answer, latest_ns))
        return number

    def end_exchange(self, exchange: OpenExchange, end: ExchangeEnd) -> None:
        """Give back all that an open request holds, and tell the decisions if they do not know."""
        self._open_ids.discard(exchange.request.request_id)
        message = exchange.end_message(end)
        if message is not None:
            # Ahead of the attempt's end, which the streams may cause: nothing is retried.
            self._decide(message)
        exchange.release_streams()

    # Time

    def _sweep(self) -> None:
        """Check all connections; linear in their number."""
        now = self.loop.time()
        if self.phases.is_handing_over:
            self.handover.hand_over_idle()
            self.handover.hand_over_responses()
        is_drained = self.phases.tick(now) is Phase.DRAINED
        is_overdue = is_drained and now >= (self.phases.response_deadline(now) or now)
        for connection in list(self._accepted):
            if not isinstance(connection, Connection):
                continue
            deadlines.check(connection, now)
            if self.phases.rejects_incomplete(now):
                deadlines.check_at_process_end(connection)
            if is_drained:
                deadlines.check_drained(connection, now, is_overdue)
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    # Stopping

    async def close(self) -> None:
        """Accept what already waits in the backlog, then stop listening."""
        await self.acceptor.close()

    def close_idle(self) -> bool:
        """Close the connections that have been idle a while; True if others are left."""
        if self.phases.is_handing_over:
            # Guards against a close that takes away what another process could still hand to the
            # client.
            self.handover.hand_over_idle()
            self.handover.hand_over_responses()
        now = self.loop.time()
        for state, min_age_s in (
            (ConnectionState.IDLE, SHED_HURRIED_S),
            (ConnectionState.NEW, SILENT_S),
            (ConnectionState.PENALIZED, SHED_HURRIED_S),
        ):
            for connection in list(self.table.by_state[state]):
                if now - connection.since >= min_age_s:
                    lingering_close.begin(connection)
        return bool(self._accepted)

    async def stop(self) -> None:
        """End what is still open."""
        if self._sweep_timer:
            self._sweep_timer.cancel()
        await self._server.shutdown(STOP_S)
