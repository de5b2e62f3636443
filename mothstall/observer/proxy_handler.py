"""Handles messages that proxies and operators' tools send to an observer."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from mothstall.observer.attached_proxies import AttachedProxies
from mothstall.observer.attached_proxy import AttachedProxy
from mothstall.observer.model import ObserverModel
from mothstall.serving.errors import UnexpectedMessageError
from mothstall.serving.frame_server import send_message
from mothstall.store.protocol import keeper_messages, observer_messages
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.keeper_messages import AdminVerb


class ProxyHandler:
    """Dispatches messages; a peer that is not attached may only attach or read the status."""

    def __init__(
        self,
        proxies: AttachedProxies,
        model: ObserverModel,
        status: Callable[[], dict[str, Any]],
    ) -> None:
        """Dispatch to these; `status` returns the observer's status for operators."""
        self._proxies = proxies
        self._table = model.table
        self._fanout = model.fanout
        self._status = status

    def handle(self, connection: FrameConnection, message: observer_messages.ProxyMessage) -> None:
        """Handle one message.

        Raises:
            ValueError: This peer must not send the message, or not in its current state.
        """
        if isinstance(message, keeper_messages.AdminCommand):
            self._execute(connection, message)
            return
        if isinstance(message, observer_messages.AttachRequest):
            self._proxies.attach(connection, message)
            return
        proxy: AttachedProxy | None = connection.owner_state
        if proxy is None:
            raise UnexpectedMessageError("message received before the peer attached")
        if self._proxies.get(proxy.name) is not proxy:
            connection.close("the proxy is no longer attached here")
            return
        self._handle_attached(proxy, message)

    def _handle_attached(
        self, proxy: AttachedProxy, message: observer_messages.ProxyMessage
    ) -> None:
        match message:
            case observer_messages.Heartbeat():
                self._record_heartbeat(proxy, message)
            case observer_messages.ResyncRequest():
                subscription = self._fanout.subscribers[proxy.name].subscription
                self._fanout.subscribe(proxy.name, subscription, message.known_version)
            case observer_messages.DetachRequest():
                self._table.detach(proxy.name, proxy.owner, proxy.epoch)
            case keeper_messages.ProposeRequest():
                self._proxies.forwarder.submit(proxy, message)
            case keeper_messages.CancelRequest():
                self._proxies.forwarder.cancel_request(proxy, message.request_id)
            case keeper_messages.SubscribeReports():
                self._proxies.reports.subscribers.set_subscribed(proxy.connection, message.enabled)
            case keeper_messages.PublishReport():
                self._proxies.reports.add(proxy.name, message.report)

    def _record_heartbeat(self, proxy: AttachedProxy, message: observer_messages.Heartbeat) -> None:
        now_ns = time.monotonic_ns()
        if not self._table.record_heartbeat(proxy.name, proxy.owner, message.epoch, now_ns):
            rejection = observer_messages.AttachRejected(message.epoch, "it is not known here")
            send_message(proxy.connection, rejection)

    def _execute(self, connection: FrameConnection, command: keeper_messages.AdminCommand) -> None:
        if command.verb == AdminVerb.STATUS:
            text = json.dumps(self._status()).encode()
            response = keeper_messages.AdminResponse(command.request_id, "", text)
        else:
            response = keeper_messages.AdminResponse(command.request_id, "no such order")
        send_message(connection, response)
