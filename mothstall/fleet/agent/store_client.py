"""The common base of store clients, which connect to keepers or to an observer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from mothstall.fleet.agent.client_config import ClientConfig, jittered_s
from mothstall.fleet.agent.peer_connection import ConnectionHandlers, PeerConnection
from mothstall.fleet.agent.pending_requests import Response
from mothstall.fleet.agent.proposal_session import ProposalSession
from mothstall.fleet.agent.request_channel import RequestChannel, RequestFactory
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.keeper_messages import (
    AdminCommand,
    AdminResponse,
    ProposeRequest,
    ProposeResponse,
    PublishReport,
    ReadRequest,
    ReadResponse,
    ReportBatch,
    SubscribeReports,
)
from mothstall.store.state.changes import Change, ChangeResult, Proposal
from mothstall.store.state.rows import StateDelta

# Prefixes of temporary rejections: the same request may succeed later.
RETRYABLE_REJECTIONS = ("no quorum", "the leader is busy", "too many callers")
NO_QUORUM = RETRYABLE_REJECTIONS[0]
NO_ANSWER = "no answer in time"

ReportHandler = Callable[[tuple[bytes, ...]], None]


class StoreClient(ABC):
    """Keeps one connection at a time, and retries requests over it.

    Subclasses define where to connect (`_run`), the first message (`_send_first_message`), the
    decoding and handling of messages (`_decode`, `_on_message`), and which rejections are final
    (`_is_final_rejection`). Each spawns `_run` at the end of its constructor.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        role: str,
        *,
        loop: asyncio.AbstractEventLoop,
        config: ClientConfig,
        on_reports: ReportHandler | None,
    ) -> None:
        """Prepare the client; `on_reports` receives proxies' reports while subscribed."""
        self.operator = operator
        self.name = name
        self.loop = loop
        self._config = config
        # Guards against many clients that reconnect at the same instant: each draws its own jitter.
        self._rng = random.Random(f"{name} {role} {secrets.randbits(32)}")
        self._connection = PeerConnection(operator, name, role, loop, self._connection_handlers())
        self._channel = RequestChannel(self._connection, loop)
        self._session = ProposalSession(name, loop, self._send_proposal)
        self._last_faults: dict[str, str] = {}  # by peer
        self._on_reports = on_reports
        self._is_subscribed = False
        self._tasks: list[asyncio.Task[None]] = []

    def _connection_handlers(self) -> ConnectionHandlers:
        return ConnectionHandlers(
            accepts_peer=self._accepts_peer,
            on_connected=self._on_connected,
            on_payload=self._on_payload,
            on_lost=self._on_lost,
            on_connect_failed=self._on_connect_failed,
        )

    # Interface for callers

    @property
    def link(self) -> FrameConnection | None:
        """The current connection; None while there is none."""
        return self._connection.link

    @property
    def peer_name(self) -> str:
        """The peer of the current connection; empty: there is none."""
        return self._connection.peer_name

    async def propose(
        self, change: Change, timeout_s: float, *, wait_for_quorum: bool = True
    ) -> ChangeResult:
        """Propose a change, which is applied at most once, and retry until there is a response.

        Args:
            change: What to apply to the state.
            timeout_s: Bound on all attempts together.
            wait_for_quorum: Whether to retry while there is no quorum; otherwise such a rejection
                is final.

        Raises:
            KeeperUnavailableError: There was no response in time. The change may have been applied;
                it is never applied after a change that was proposed later.
        """
        return await self._session.propose(change, timeout_s, wait_for_quorum=wait_for_quorum)

    async def forward_proposal(self, proposal: Proposal, timeout_s: float) -> ChangeResult:
        """Send another client's proposal unchanged, without retry: that client retries.

        Raises:
            KeeperUnavailableError: There was no answer.
        """
        response = await self._request_without_retry(_propose_request(proposal), timeout_s)
        assert isinstance(response, ProposeResponse)
        return response.result

    async def read_state(self, timeout_s: float, *, wait_for_quorum: bool = True) -> StateDelta:
        """Return the complete state, including every change acknowledged before this call.

        Raises:
            KeeperUnavailableError: There was no answer in time.
        """
        response = await self._request_with_retry(
            lambda number, remaining_s: ReadRequest(number),
            self.loop.time() + timeout_s,
            wait_for_quorum,
        )
        assert isinstance(response, ReadResponse)
        return response.delta

    async def send_admin_command(self, verb: str, name: str, timeout_s: float) -> AdminResponse:
        """Send an administrative command to the peer of the current connection, once.

        Raises:
            KeeperUnavailableError: There was no answer.
        """
        response = await self._request_without_retry(
            lambda number, remaining_s: AdminCommand(number, verb, name), timeout_s
        )
        assert isinstance(response, AdminResponse)
        return response

    def publish_report(self, data: bytes) -> bool:
        """Publish a report to all subscribers; False if there is no connection."""
        link = self._connection.link
        return link is not None and link.send(msgspec.msgpack.encode(PublishReport(data)))

    def subscribe_reports(self, enabled: bool) -> None:
        """Subscribe to proxies' reports, or unsubscribe, on this connection and later ones."""
        if enabled != self._is_subscribed:
            self._is_subscribed = enabled
            self._send(SubscribeReports(enabled))

    def disconnect(self, reason: str) -> None:
        """Close the current connection, so that the client connects to another peer."""
        self._connection.close(reason)

    async def close(self) -> None:
        """Stop the client and close its connection."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._connection.close("ending")

    @abstractmethod
    def request_resync(self) -> None:
        """Request the missing state after a delta that does not follow the known version."""

    @abstractmethod
    def describe_unavailability(self) -> str:
        """Return an error text with the peers and the last fault of each."""

    # Overridden by subclasses

    @abstractmethod
    async def _run(self) -> None:
        """Connect to one peer after another, until cancelled."""

    @abstractmethod
    def _decode(self, payload: bytes) -> Any:
        """Return the message in a payload; ValueError or msgspec.DecodeError if it is malformed."""

    @abstractmethod
    def _is_final_rejection(self, reason: str, wait_for_quorum: bool) -> bool:
        """Handle a retryable rejection; return True if the request must not be retried."""

    def _accepts_peer(self, link: FrameConnection) -> bool:
        """Return whether to accept a peer after the handshake; if not, close its connection."""
        return True

    def _on_connected(self, link: FrameConnection) -> None:
        """Send the subclass's first message, and renew the subscription to reports."""
        self._last_faults.pop(link.peer, None)
        self._send_first_message(link)
        if self._is_subscribed:
            link.send(msgspec.msgpack.encode(SubscribeReports(True)))

    @abstractmethod
    def _send_first_message(self, link: FrameConnection) -> None:
        """Send the first message after the handshake, such as a watch or attach request."""

    def _on_malformed_payload(self, link: FrameConnection, error: Exception) -> None:
        link.close(f"payload cannot be decoded: {error}")

    # Connections

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self._tasks.append(task)
        return task

    def _on_connect_failed(self, peer_name: str, reason: str) -> None:
        self._last_faults[peer_name] = reason

    def _on_lost(self, link: FrameConnection, reason: str) -> None:
        if link.peer:
            self._last_faults[link.peer] = reason
        self._channel.pending.fail_all(reason)

    def _on_payload(self, link: FrameConnection, payload: bytes) -> None:
        try:
            message = self._decode(payload)
        except (msgspec.DecodeError, ValueError) as error:
            self._on_malformed_payload(link, error)
            return
        self._on_message(link, message)

    def _on_message(self, link: FrameConnection, message: Any) -> None:
        """Handle the messages of all kinds of peers; subclasses handle those of their own kind."""
        if isinstance(message, ReportBatch):
            if self._on_reports and self._is_subscribed:
                self._on_reports(message.reports)
        else:
            self._channel.pending.resolve(message)

    def _send(self, message: msgspec.Struct) -> None:
        if self._connection.link:
            self._connection.link.send(msgspec.msgpack.encode(message))

    # Requests

    async def _send_proposal(
        self, proposal: Proposal, deadline_s: float, wait_for_quorum: bool
    ) -> ChangeResult:
        response = await self._request_with_retry(
            _propose_request(proposal), deadline_s, wait_for_quorum
        )
        assert isinstance(response, ProposeResponse)
        return response.result

    async def _request_with_retry(
        self, make_request: RequestFactory, deadline_s: float, wait_for_quorum: bool
    ) -> Response:
        """Retry until a response is final, or until `deadline_s` by the loop's clock."""
        backoff = self._config.retry_backoff
        pause_s = backoff.initial_s
        while (remaining_s := deadline_s - self.loop.time()) > 0:
            try:
                response = await self._channel.request(
                    make_request, remaining_s, self._config.attempt_timeout_s
                )
            except TimeoutError:
                if self.loop.time() < deadline_s:
                    self._disconnect_silent_peer()
                continue
            except OSError:
                await self._pause(backoff.initial_s * self._rng.random(), remaining_s)
                continue
            reason = _rejected_reason(response)
            if not reason.startswith(RETRYABLE_REJECTIONS):
                return response
            self._last_faults[self.peer_name] = reason
            if self._is_final_rejection(reason, wait_for_quorum):
                break
            # Guards against clients that were rejected together and would retry together.
            await self._pause(jittered_s(pause_s, self._rng), remaining_s)
            pause_s = backoff.next_nominal_s(pause_s)
        raise KeeperUnavailableError(self.describe_unavailability())

    async def _pause(self, pause_s: float, remaining_s: float) -> None:
        is_bounded = self._config.bounds_retry_by_deadline
        await asyncio.sleep(min(remaining_s, pause_s) if is_bounded else pause_s)

    def _disconnect_silent_peer(self) -> None:
        if self._connection.link:
            self._last_faults[self.peer_name] = NO_ANSWER
            self.disconnect(NO_ANSWER)

    async def _request_without_retry(
        self, make_request: RequestFactory, timeout_s: float
    ) -> Response:
        try:
            return await self._channel.request(make_request, timeout_s)
        except (TimeoutError, OSError) as error:
            raise KeeperUnavailableError(self.describe_unavailability()) from error


def _propose_request(proposal: Proposal) -> RequestFactory:
    def make_request(number: int, remaining_s: float) -> ProposeRequest:
        return ProposeRequest(number, proposal, max(1, round(remaining_s * 1000)))

    return make_request


def _rejected_reason(response: Response) -> str:
    return response.result.rejected_reason if isinstance(response, ProposeResponse) else ""
