"""Handles the requests of a keeper's clients."""

from __future__ import annotations

import time
from collections.abc import Callable

from mothstall.keeper.admin import AdminCommandHandler
from mothstall.keeper.admission import NO_DEADLINE
from mothstall.keeper.replica import NO_LEADER_REASON, AppliedEntries, Replica
from mothstall.keeper.report_relay import ReportRelay
from mothstall.keeper.requests import RequestTable
from mothstall.keeper.watchers import WatchPublisher
from mothstall.serving.frame_server import send_message
from mothstall.store.protocol import keeper_messages
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.state.changes import ChangeResult

NS_PER_MS = 1_000_000


class ClientHandler:
    """Dispatches messages of clients, and sends the responses once the replica has the results.

    Attributes:
        watchers: Sends watch events to the clients that watch the state.
        reports: Relays reports of proxies to subscribers.
        requests: Proposals and reads that have no response yet.
    """

    def __init__(
        self,
        replica: Replica,
        watchers: WatchPublisher,
        reports: ReportRelay,
        admin: AdminCommandHandler,
        counts: dict[str, int],
        expiry_interval_ns: int,
        schedule_replica: Callable[[], None],
    ) -> None:
        """Initialize the handler.

        Args:
            replica: Receives proposals and reads.
            watchers: Receives watch requests.
            reports: Receives reports, and subscriptions to reports.
            admin: Executes operators' commands.
            counts: `calls`, `calls_again`, `changes`, `refused` and `withdrawn` are counted here.
            expiry_interval_ns: Interval between removals of requests past their deadline.
            schedule_replica: Called after a request that leaves work for the replica.
        """
        self.watchers = watchers
        self.requests = RequestTable(counts)
        self._replica = replica
        self.reports = reports
        self._admin = admin
        self._counts = counts
        self._expiry_interval_ns = expiry_interval_ns
        self._expired_at_ns = 0  # time of the last removal of requests past their deadline
        self._schedule_replica = schedule_replica

    def start(self) -> None:
        """Start to send watch events and reports."""
        self.watchers.start()
        self.reports.start()

    def stop(self) -> None:
        """Stop sending watch events and reports."""
        self.watchers.stop()
        self.reports.stop()

    def handle(self, connection: FrameConnection, message: keeper_messages.CallerMessage) -> None:
        """Handle one message of a client."""
        match message:
            case keeper_messages.ProposeRequest():
                self._propose(connection, message)
            case keeper_messages.ReadRequest():
                self._read(connection, message)
            case keeper_messages.CancelRequest():
                self._cancel(connection, message)
            case keeper_messages.WatchRequest():
                self.watchers.add(connection, message.known_version)
            case keeper_messages.PublishReport():
                self.reports.publish(message.report)
            case keeper_messages.SubscribeReports():
                self.reports.subscribers.set_subscribed(connection, message.enabled)
            case keeper_messages.AdminCommand():
                send_message(connection, self._admin.execute(message))

    def disconnected(self, connection: FrameConnection) -> None:
        """Remove a client with its watch, its subscription and its pending requests."""
        self.watchers.discard(connection)
        self.reports.subscribers.discard(connection)
        for caller_id in self.requests.remove_connection(connection):
            self._replica.cancel(caller_id)

    def on_tick(self, now_ns: int) -> None:
        """Remove the requests past their deadline, if `expiry_interval_ns` has elapsed."""
        if now_ns - self._expired_at_ns < self._expiry_interval_ns:
            return
        self._expired_at_ns = now_ns
        for caller_id in self._replica.admission.expire(now_ns):
            self.requests.remove(caller_id)

    def on_applied(self, applied: AppliedEntries) -> None:
        """Answer proposals that were applied, and reads whose read index has been applied."""
        self._counts["changes"] += applied.entries
        for caller_id, result in applied.results:
            self._answer(caller_id, result)
        for caller_id in applied.reads:
            request = self.requests.remove(caller_id)
            if request is not None:
                state = self._replica.state.delta_since(0)
                response = keeper_messages.ReadResponse(request.request_id, state)
                send_message(request.connection, response)

    def _propose(
        self, connection: FrameConnection, message: keeper_messages.ProposeRequest
    ) -> None:
        caller_id = self.requests.register(connection, message.request_id)
        now_ns = time.monotonic_ns()
        has_deadline = message.wait_ms > 0
        deadline_ns = now_ns + message.wait_ms * NS_PER_MS if has_deadline else NO_DEADLINE
        reason = self._replica.propose(caller_id, message.proposal, now_ns, deadline_ns)
        if reason:
            self._answer(caller_id, ChangeResult(rejected_reason=reason))
        self._schedule_replica()

    def _read(self, connection: FrameConnection, message: keeper_messages.ReadRequest) -> None:
        caller_id = self.requests.register(connection, message.request_id)
        has_leader = bool(self._replica.raft.leader)
        reason = self._replica.read(caller_id) if has_leader else NO_LEADER_REASON
        if reason:
            self._answer(caller_id, ChangeResult(rejected_reason=reason))
        self._schedule_replica()

    def _cancel(self, connection: FrameConnection, message: keeper_messages.CancelRequest) -> None:
        caller_id = self.requests.find(connection, message.request_id)
        if not caller_id:
            return
        self._counts["withdrawn"] += 1
        self.requests.remove(caller_id)
        self._replica.cancel(caller_id)

    def _answer(self, caller_id: int, result: ChangeResult) -> None:
        if result.rejected_reason:
            self._counts["refused"] += 1
        request = self.requests.remove(caller_id)
        if request is not None:
            response = keeper_messages.ProposeResponse(request.request_id, result)
            send_message(request.connection, response)
