"""The proxies that are attached to an observer, by name."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

from mothstall.fleet.observers.attachment import Attachment
from mothstall.fleet.observers.subscription import checked_subscription
from mothstall.observer.attached_proxy import AttachedProxy
from mothstall.observer.model import ObserverModel
from mothstall.observer.proposal_forwarder import ProposalForwarder
from mothstall.observer.report_relay import ReportRelay
from mothstall.serving.errors import UnexpectedMessageError
from mothstall.serving.frame_server import FrameServer, send_message
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.observer_messages import (
    AttachAccepted,
    AttachRejected,
    AttachRequest,
)
from mothstall.store.state.limits import MAX_NAME_LENGTH

log = logging.getLogger("mothstall.fleet")

MAX_LOGGED_NAMES = 8  # in one log line
MAX_EPOCH = 1 << 62  # exclusive; larger values may not fit into an integer of the protocol
ATTACHED_ELSEWHERE = "it is attached elsewhere"


class AttachedProxies:
    """Maps attachments to connections, subscriptions and proposals.

    Attributes:
        forwarder: Proposals of the proxies.
        reports: Reports from and to the proxies.
    """

    def __init__(
        self,
        model: ObserverModel,
        server: FrameServer,
        forwarder: ProposalForwarder,
        reports: ReportRelay,
    ) -> None:
        """Keep these in step with the attached proxies."""
        self.forwarder = forwarder
        self.reports = reports
        self._table = model.table
        self._fanout = model.fanout
        self._server = server
        self._by_name: dict[str, AttachedProxy] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> AttachedProxy | None:
        """Return the proxy of this name; None where none is attached."""
        return self._by_name.get(name)

    def connection(self, name: str) -> FrameConnection:
        """Return the connection of an attached proxy."""
        return self._by_name[name].connection

    def attach(self, connection: FrameConnection, request: AttachRequest) -> None:
        """Attach the proxy behind a connection, or reject it.

        Raises:
            ValueError: The request is not allowed on this connection, or is invalid.
        """
        _check_attach_request(connection, request)
        subscription = checked_subscription(request.zone, request.backend_prefixes)
        owner = connection.peer
        now_ns = time.monotonic_ns()
        previous = self._by_name.get(request.name)
        reason = self._table.attach(request.name, owner, request.epoch, request.zone, now_ns)
        if not reason:
            if previous is not None:
                self.forget(previous.connection)
                previous.connection.close("replaced by a newer attachment")
            reason = self._fanout.subscribe(request.name, subscription, request.known_version)
            if reason:
                self._table.detach(request.name, owner, request.epoch)
        if reason:
            send_message(connection, AttachRejected(request.epoch, reason))
            return
        proxy = AttachedProxy(connection, request.name, owner, request.epoch)
        connection.owner_state = proxy
        self._by_name[request.name] = proxy

    def forget(self, connection: FrameConnection) -> None:
        """Remove a connection and its proxy; the attachment stays in the table."""
        self._server.forget_client(connection)
        self.reports.subscribers.discard(connection)
        proxy: AttachedProxy | None = connection.owner_state
        if proxy is None:
            return
        if self._by_name.get(proxy.name) is proxy:
            del self._by_name[proxy.name]
            self._fanout.unsubscribe(proxy.name)
        self.forwarder.cancel_all(proxy)

    def on_disconnected(self, connection: FrameConnection) -> None:
        """Remove a closed connection; its attachment ends unless the proxy reconnects in time."""
        self.forget(connection)
        proxy: AttachedProxy | None = connection.owner_state
        if proxy is not None:
            now_ns = time.monotonic_ns()
            self._table.disconnected(proxy.name, proxy.owner, proxy.epoch, now_ns)

    def drop_timed_out(self, now_ns: int) -> None:
        """Close the connections of proxies whose attachment has timed out."""
        gone = self._table.tick(now_ns)
        if gone:
            names = ",".join(gone[:MAX_LOGGED_NAMES])
            log.info("proxies gone", extra={"kv": {"count": len(gone), "proxies": names}})
        for name in gone:
            proxy = self._by_name.get(name)
            if proxy is not None:
                proxy.connection.close("the attachment timed out")
                self.forget(proxy.connection)

    def confirm(self, attachments: Iterable[Attachment]) -> None:
        """Notify proxies that they are members under this observer."""
        for attachment in attachments:
            proxy = self._by_name.get(attachment.name)
            if proxy is not None and proxy.epoch == attachment.epoch:
                send_message(proxy.connection, AttachAccepted(attachment.epoch))

    def reject_moved(self, attachments: Iterable[Attachment]) -> None:
        """Notify proxies that they are members under another observer, and remove them."""
        for attachment in attachments:
            proxy = self._by_name.get(attachment.name)
            if proxy is None:
                continue
            if (proxy.epoch, proxy.owner) == (attachment.epoch, attachment.owner):
                rejection = AttachRejected(attachment.epoch, ATTACHED_ELSEWHERE)
                send_message(proxy.connection, rejection)
                self.forget(proxy.connection)


def _check_attach_request(connection: FrameConnection, request: AttachRequest) -> None:
    """Guards against a process that attaches in another's name: the connection has its own name."""
    owner = connection.peer
    is_own_name = owner.partition("#")[0] == request.name
    if connection.owner_state is not None or connection.role != PeerRole.AGENT or not is_own_name:
        raise UnexpectedMessageError(f"{owner} may not attach as {request.name}")
    if not 0 < request.epoch < MAX_EPOCH or not 0 < len(request.name) <= MAX_NAME_LENGTH:
        raise UnexpectedMessageError("epoch or proxy name is out of bounds")
