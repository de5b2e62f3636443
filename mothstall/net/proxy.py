"""The proxy as a library: `Proxy(config)` with `start` and `stop`."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mothstall.config import Address, Config, ConfigError, keys_that_need_restart
from mothstall.interface import NS, Settings, SuccessorChanged, UpdateScope
from mothstall.net import protocol
from mothstall.net.backend_side.backend import IDLE_TIMEOUT_FRACTION, Backend
from mothstall.net.backend_side.pool import ConnectionPool
from mothstall.net.body_relay import BufferGrants, max_streams_for
from mothstall.net.client_side.connection_handover import HandoverTarget
from mothstall.net.client_side.frontend import ClientLimits, Frontend
from mothstall.net.clock import Clock, TimedSelector
from mothstall.net.counters import Counters
from mothstall.net.decider import Decider
from mothstall.net.decider_messages import PeerProcessEvent
from mothstall.net.discovery.discovery import Discovery, DiscoveryAddressChanged, EndpointsUpdated
from mothstall.net.lifecycle import Lifecycle, Phase
from mothstall.net.metrics import RequestMetrics
from mothstall.net.socket_buffers import buffer_bytes_for

if TYPE_CHECKING:
    from mothstall.fleet.operator_config import OperatorConfig
    from mothstall.net.admin.server import AdminServer
    from mothstall.net.fleet_integration import FleetIntegration
    from mothstall.net.handover.handover import Handover
    from mothstall.net.handover.messages import HandoverState, StreamHandover
    from mothstall.net.handover.stream_takeover import StreamTakeover

log = logging.getLogger("mothstall.proxy")

# Not available to traffic: for the listener, discovery, logs and the event loop.
RESERVED_DESCRIPTORS = 32
BACKEND_DESCRIPTORS_FRACTION = 0.3  # of the remaining descriptors
ENDPOINTS_TIMEOUT_S = 4.0  # a new process waits for an endpoint list before it takes clients over
# Upper limit for the longest deadline at shutdown: a process may be killed 0.7 s after it.
MAX_DEADLINE_S = 3.0
# After that deadline all connections are closed but those with a response that has begun.
CLOSE_AFTER_DEADLINE_S = 0.3
LONG_RESPONSES_S = 660.0  # for the rest of those: the longest body at 64 kB a second
STOP_POLL_S = 0.01  # between two checks of what is still open
ACCEPT_AFTER_STOP_S = 0.5  # new connections are still accepted after the signal to stop


def retry_after_ns(settings: Settings) -> int:
    """The Retry-After for a request that is rejected before its class is known; 0 for none."""
    if not settings.retry_after:
        return 0
    return min(settings.max_retry_after_ns, min(c.objective_ns for c in settings.classes) // 4)


class Proxy:
    """One proxy: creates its actors, and starts, reloads and stops them in order."""

    def __init__(
        self,
        config: Config,
        selector: TimedSelector | None = None,
        operator: OperatorConfig | None = None,
    ) -> None:
        """Creates all actors; nothing listens or connects before `start`.

        Args:
            config: the checked configuration.
            selector: the event loop's selector, if it measures how long events had to wait.
            operator: the operator file; with one the proxy takes part in its fleet.

        Raises:
            ConfigError: data that the fleet's agent persisted is malformed.
            OSError: the data can't be read.
        """
        self.config = config
        self.counters = Counters()
        self.loop = asyncio.get_running_loop()
        self._clock = Clock(selector)
        free = (
            min(config.descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
            - RESERVED_DESCRIPTORS
        )
        self._max_backend_connections = int(free * BACKEND_DESCRIPTORS_FRACTION)
        max_streams = max_streams_for(config.memory_bytes)
        self._pool = ConnectionPool(
            IDLE_TIMEOUT_FRACTION * config.idle_ns / NS,
            self._max_backend_connections,
            self.counters,
            self.loop,
            grants=BufferGrants(max_streams),
            max_body_bytes=config.max_body_bytes,
            socket_buffer_bytes=buffer_bytes_for(config.memory_bytes, config.descriptors),
        )
        self.metrics = RequestMetrics(config.names.classes, self.counters)
        self._lifecycle = Lifecycle()
        self._decider = Decider(
            config,
            loop=self.loop,
            counters=self.counters,
            clock=self._clock,
            metrics=self.metrics,
            make_backend=self._make_backend,
        )
        self._fleet: FleetIntegration | None = None
        on_update: Callable[[EndpointsUpdated], None] = self._decider.tell
        if operator is not None:
            on_update = self._join_fleet(operator)
        cached = self._cached_list()
        self._discovery = self._make_discovery(cached.version, on_update)
        self._decider.set_discovery(self._discovery)
        on_update(EndpointsUpdated(UpdateScope.CACHED, cached))
        self._frontend = self._make_frontend(free - self._max_backend_connections, max_streams)
        self._handover: Handover | None = None
        self._stream_takeovers: set[StreamTakeover] = set()  # relays of the predecessor's responses
        self._takeover_tasks: set[asyncio.Task[None]] = set()
        self._admin_server: AdminServer | None = None

    def _make_discovery(
        self, version: int, report: Callable[[EndpointsUpdated], None]
    ) -> Discovery:
        return Discovery(
            self.config.discovery,
            version,
            self.config.names,
            push=self.config.settings.discovery_push,
            proxies=self.config.settings.proxies,
            position=self.config.settings.position,
            grace_s=self.config.settings.drain_grace_ns / NS,
            loop=self.loop,
            counters=self.counters,
            report=report,
        )

    def _make_frontend(self, max_connections: int, max_streams: int) -> Frontend:
        return Frontend(
            self.config.listen,
            self.config.names,
            ClientLimits(
                max_connections=max_connections,
                max_body_bytes=self.config.max_body_bytes,
                memory_bytes=self.config.memory_bytes,
                retry_after_ns=retry_after_ns(self.config.settings),
                socket_buffer_bytes=self._pool.socket_buffer_bytes,
            ),
            loop=self.loop,
            counters=self.counters,
            clock=self._clock,
            decide=self._decider.tell,
            ready=self._decider.endpoints_known.is_set,
            phases=self._lifecycle,
            grants=BufferGrants(max_streams),
            listen_fd=self.config.listen_fd,
            handover_target=HandoverTarget(self._hand_over_client, self._hand_over_response),
        )

    def _join_fleet(self, operator: OperatorConfig) -> Callable[[EndpointsUpdated], None]:
        """Create the fleet integration, whose modules are imported only with an operator file."""
        from mothstall.net.fleet_integration import FleetIntegration

        try:
            self._fleet = FleetIntegration(
                operator,
                self.config.name,
                self.config.names,
                self.config.settings,
                loop=self.loop,
                counters=self.counters,
                clock=self._clock,
                metrics=self.metrics,
                report=self._decider.tell,
            )
        except ValueError as error:
            raise ConfigError(f"operator file: $.agent.data: {error}") from error
        if self._fleet.agent.failover:
            self._decider.on_attempt_ended = self._fleet.attempt_ended
        return self._fleet.endpoints_updated

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return self._frontend.port

    def _cached_list(self) -> protocol.ParsedUpdate:
        if self.config.known is None:
            return protocol.ParsedUpdate(0, True, [])
        try:
            return protocol.parse_endpoint_list(self.config.known, self.config.names)
        except protocol.UnreadableMessageError as error:
            log.warning("cached list unreadable", extra={"kv": {"why": error}})
            return protocol.ParsedUpdate(0, True, [])

    def _make_backend(self, number: int, member: protocol.ListedEndpoint) -> Backend:
        return Backend(
            number,
            member.id,
            member.address,
            member.endpoint.started_ns,
            loop=self.loop,
            counters=self.counters,
            clock=self._clock,
            pool=self._pool,
            connect_timeout_ns=self.config.settings.connect_timeout_ns,
            load_names=self.config.settings.load_names,
            metrics=self.metrics,
            report=self._decider.tell,
        )

    def endpoint_rows_received(self) -> int:
        """Number of rows of endpoint lists and deltas received so far."""
        return self._decider.endpoint_rows_received

    def on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Exception handler of the event loop: logs and counts the exception."""
        self.counters.add("faults")
        error = context.get("exception")
        log.error(
            "fault",
            extra={"kv": {"where": context.get("message"), "why": repr(error)}},
            exc_info=error,
        )

    async def start(self) -> None:
        """Start to serve.

        Raises:
            OSError: an address can't be bound; the error's text names its key.
        """
        try:
            if self.config.admin is not None:
                await self._open_admin_server(self.config.admin)
            self._discovery.start()
            if self._fleet:
                await self._fleet.agent.start()
            if self.config.handover_dir is not None:
                await self._take_over(self.config.handover_dir)
            await self._frontend.start()
            if self._handover:
                self._handover.listen()
        except OSError:
            if self._admin_server:
                self._admin_server.stop()
            await self._discovery.stop()
            raise
        log.info("listening", extra={"kv": {"name": self.config.name, "port": self.port}})

    async def _open_admin_server(self, address: Address) -> None:
        from mothstall.net.admin.server import AdminServer

        self._admin_server = AdminServer(
            address, loop=self.loop, counters=self.counters, handle_call=self.handle_admin_call
        )
        await self._admin_server.start()

    # Handover between processes

    async def _take_over(self, directory: str) -> None:
        """Take clients over from the predecessor, once there is an endpoint list."""
        from mothstall.net.handover.handover import Handover, HandoverCallbacks

        self._handover = Handover(
            directory,
            self.config.name,
            loop=self.loop,
            counters=self.counters,
            callbacks=HandoverCallbacks(
                hand_over_listening=self._hand_over_listening,
                resume=self._resume_accepting,
                adopt_client=lambda sock, client: self._frontend.acceptor.adopt(
                    sock, client.is_silent, client.age_s
                ),
                adopt_stream=self._adopt_stream,
                on_predecessor_gone=self._predecessor_gone,
            ),
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ENDPOINTS_TIMEOUT_S):
                await self._decider.endpoints_known.wait()
        state = await self._handover.take_over()
        if state is not None:
            self._decider.tell(PeerProcessEvent(state.inherited_state))
            # The predecessor's connections count against this process's limit until it exits.
            self._pool.max_connections = max(
                self._pool.max_connections // 2,
                self._pool.max_connections - state.backend_connections,
            )

    def _hand_over_listening(self) -> HandoverState:
        """Stop accepting and hand over idle connections: a successor process takes over."""
        from mothstall.net.handover.messages import HandoverState

        self._lifecycle.hand_over()
        self._frontend.acceptor.pause()
        inherited = self._decider.inherited_state()
        self._decider.tell(PeerProcessEvent(SuccessorChanged(True)))
        self._pool.close_idle()
        self.loop.call_soon(self._frontend.handover.hand_over_idle)
        return HandoverState(self._frontend.connection_count, self._pool.open_count, inherited)

    def _resume_accepting(self) -> None:
        """Accept clients again, unless stopping: the successor process is gone."""
        self._lifecycle.resume()
        self._frontend.handover.resume_responses()
        self._decider.tell(PeerProcessEvent(SuccessorChanged(False)))
        if self._lifecycle.phase is not Phase.STOPPING:
            self._frontend.acceptor.resume()

    def _predecessor_gone(self) -> None:
        self._pool.max_connections = self._max_backend_connections

    def _hand_over_client(self, fd: int, is_silent: bool, age_s: float) -> bool:
        return self._handover is not None and self._handover.hand_over_client(fd, is_silent, age_s)

    def _hand_over_response(
        self,
        client: int,
        backend: int | None,
        remaining_bytes: int | None,
        coding: tuple[int, int, bytes] | None,
        is_chunked: bool,
        encoded: bytes,
        buffered: list[bytes],
    ) -> bool:
        from mothstall.net.handover.messages import StreamHandover

        stream = StreamHandover(remaining_bytes, coding, is_chunked, encoded, tuple(buffered))
        return self._handover is not None and self._handover.hand_over_response(
            client, backend if remaining_bytes != 0 else None, stream
        )

    def _adopt_stream(
        self, client: socket.socket, backend: socket.socket | None, stream: StreamHandover
    ) -> None:
        from mothstall.net.handover.stream_takeover import StreamTakeover

        takeover = StreamTakeover(stream, self._pool.buffer_grants, self.loop)
        task = self.loop.create_task(takeover.run(client, backend, self._stream_takeovers.discard))
        self._stream_takeovers.add(takeover)
        self._takeover_tasks.add(task)
        task.add_done_callback(self._takeover_tasks.discard)

    @property
    def admin_port(self) -> int:
        """The port of the admin server; 0 without one."""
        return self._admin_server.port if self._admin_server else 0

    def handle_admin_call(self, path: str) -> tuple[int, str]:
        """Handle an operator's call; returns status and text of the response."""
        if path == "/api/telemetry":
            return 200, self.metrics.statsd_text(
                registry_entries=self._decider.listed_count(),
                out_of_rotation=self._decider.out_of_rotation_count(),
            )
        if path == "/api/ready":
            return (
                (200, "ready\n") if self._frontend.accepts_new_clients() else (503, "not ready\n")
            )
        was = self._lifecycle.phase
        done = (
            self._lifecycle.evacuate(self.loop.time())
            if path == "/api/evacuate"
            else self._lifecycle.rejoin()
        )
        self._decider.limit_responses(self._lifecycle.response_limit)
        log.info(
            "called",
            extra={"kv": {"call": path, "from": was.value, "to": self._lifecycle.phase.value}},
        )
        return (200, f"{self._lifecycle.phase.value}\n") if done else (409, "the process ends\n")

    def reload(self, fresh: Config) -> None:
        """Apply the keys that can change at run time, and log changed keys that need a restart."""
        self.counters.add("reloads")
        self._discovery.tell(DiscoveryAddressChanged(fresh.discovery))
        changed_keys = ",".join(keys_that_need_restart(self.config, fresh))
        log.info("reloaded", extra={"kv": {"discovery": fresh.discovery}})
        if changed_keys:
            log.warning("changed keys need a restart", extra={"kv": {"keys": changed_keys}})
        self.config = replace(self.config, discovery=fresh.discovery, log_level=fresh.log_level)

    async def stop(self, drain_s: float = ACCEPT_AFTER_STOP_S) -> None:
        """Stop in order: accept requests for `drain_s`, answer all, end long responses, close."""
        began = self.loop.time()
        # Guards against a kill before the longest deadline of a class or of a client.
        longest = min(MAX_DEADLINE_S, max(c.deadline_ns for c in self.config.settings.classes) / NS)
        self._lifecycle.stop(began, longest)
        self._decider.limit_responses(self._lifecycle.response_limit)
        if self._handover is not None:
            self._handover.release_predecessor()
        # Other processes hold an inherited socket and accept its connections from now on.
        await asyncio.sleep(0.0 if self.config.listen_fd is not None else drain_s)
        await self._frontend.close()
        end = began + longest + CLOSE_AFTER_DEADLINE_S
        while (self._frontend.close_idle() or self._stream_takeovers) and self.loop.time() < end:
            await self._hand_over_adopted()
        closed = self._frontend.close_unanswered()
        if closed:
            log.warning("shutdown timed out", extra={"kv": closed})
        await asyncio.gather(self._stop_services(), self._finish_responses())
        await self._frontend.stop()
        if self._handover:
            self._handover.close()
        self._pool.close()

    async def _hand_over_adopted(self) -> None:
        """Hand over the responses adopted from a predecessor, if a successor takes them; pause."""
        if self._lifecycle.is_handing_over:
            for takeover in list(self._stream_takeovers):
                takeover.hand_over(self._hand_over_response)
        await asyncio.sleep(STOP_POLL_S)

    async def _finish_responses(self) -> None:
        """Relay the responses that have begun to their end.

        Guards against cutting off what backends still give and clients still read: the platform may
        kill this process later than its own deadlines. A peer that stalls ends its response.
        """
        end = self.loop.time() + LONG_RESPONSES_S
        while self.loop.time() < end:
            self._frontend.close_idle()
            count = self._frontend.responding_count() + len(self._stream_takeovers)
            if not count:
                return
            await self._hand_over_adopted()
        log.warning("long responses cut", extra={"kv": {"responses": count}})

    async def _stop_services(self) -> None:
        if self._admin_server:
            self._admin_server.stop()
        if self._fleet:
            await self._fleet.agent.stop()
        await self._discovery.stop()
