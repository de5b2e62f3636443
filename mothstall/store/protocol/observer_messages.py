"""Messages between a proxy and an observer. Pure.

An observer forwards proposals (`keeper_messages.ProposeRequest`) and their responses
(`keeper_messages.ProposeResponse`) under the proxy's own session, and decides nothing about them.
The explicit tags are the type names on the wire and never change; the order of fields is part of
the format.
"""

from __future__ import annotations

import msgspec

from mothstall.store.protocol import keeper_messages
from mothstall.store.state.rows import StateDelta


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class AttachRequest(_Message, frozen=True, tag="Come"):
    """Attaches a proxy, which from then on gets the part of the state that it subscribes to.

    Attributes:
        name: The proxy.
        epoch: Number of the proxy's attachment; each attachment has one observer.
        zone: The proxy's zone.
        backend_prefixes: Name prefixes of the backends that the proxy uses; "" means all.
        known_version: The version of the state that the proxy has; 0 if it has no version.
    """

    name: str
    epoch: int
    zone: str
    backend_prefixes: tuple[str, ...]
    known_version: int


class Heartbeat(_Message, frozen=True, tag="Alive"):
    """Reports that an attached proxy is alive.

    Attributes:
        epoch: Epoch of its attachment.
    """

    epoch: int


class ResyncRequest(_Message, frozen=True, tag="Again"):
    """Reports that an update does not start at the proxy's version; answered by one that does.

    Attributes:
        known_version: The version of the state that the proxy has; 0 if it has no version.
    """

    known_version: int


class DetachRequest(_Message, frozen=True, tag="Bye"):
    """Reports that the proxy shuts down, so that its row can be removed at once.

    Attributes:
        epoch: Epoch of its attachment.
    """

    epoch: int


class StateUpdate(_Message, frozen=True, tag="Fed"):
    """An update of the state for a proxy.

    Attributes:
        delta: The changes since the version that the proxy has, limited to its subscription.
        age_ms: Time since the observer last reached a keeper that has a leader; -1 if it never has.
    """

    delta: StateDelta
    age_ms: int


class AttachAccepted(_Message, frozen=True, tag="Seated"):
    """Confirms that the log records the proxy as attached to this observer.

    Attributes:
        epoch: Epoch of the attachment.
    """

    epoch: int


class AttachRejected(_Message, frozen=True, tag="Turned"):
    """Reports that the proxy is not, or no longer, attached to this observer.

    Attributes:
        epoch: Epoch of the attachment.
        reason: Why the proxy is not attached, in one line.
    """

    epoch: int
    reason: str


AttachmentMessage = AttachRequest | Heartbeat | ResyncRequest | DetachRequest
"""Messages of a proxy about its attachment."""

ProxyMessage = (
    AttachmentMessage
    | keeper_messages.ProposeRequest
    | keeper_messages.CancelRequest
    | keeper_messages.PublishReport
    | keeper_messages.SubscribeReports
    | keeper_messages.AdminCommand
)
"""Messages that an observer accepts from proxies and operators' tools."""

ObserverMessage = (
    StateUpdate
    | AttachAccepted
    | AttachRejected
    | keeper_messages.ProposeResponse
    | keeper_messages.ReportBatch
    | keeper_messages.AdminResponse
)
"""Messages that an observer sends to proxies and operators' tools."""
