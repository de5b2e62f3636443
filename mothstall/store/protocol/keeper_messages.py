"""Messages between a keeper and its clients: agents, observers and operators' tools. Pure.

The explicit tags are the type names on the wire and never change. All structs are encoded as
arrays: the order of their fields is part of the format, the field names are not.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from mothstall.store.state.changes import ChangeResult, Proposal, PutDrain, RemoveDrain
from mothstall.store.state.rows import StateDelta


class AdminVerb(StrEnum):
    """An operator's command to one keeper or observer; the values are part of the wire format."""

    STATUS = "status"  # the only command that observers support
    ADD = "add"
    REMOVE = "remove"
    TRANSFER = "transfer"
    BACKUP = "backup"


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class ProposeRequest(_Message, frozen=True, tag="Ask"):
    """Proposes a change; answered by a `ProposeResponse`.

    A repeated `request_id` means that the caller still waits for the response.

    Attributes:
        request_id: Chosen by the caller; the response has the same.
        proposal: The change, and the session that proposes it.
        wait_ms: Milliseconds that the caller still waits, by its own clock; 0 for no limit.
    """

    request_id: int
    proposal: Proposal
    wait_ms: int = 0


class CancelRequest(_Message, frozen=True, tag="Withdraw"):
    """Cancels the wait for the response to a proposal; has no response itself.

    Attributes:
        request_id: As in the `ProposeRequest`.
    """

    request_id: int


class ReadRequest(_Message, frozen=True, tag="Read"):
    """Reads the state, linearizably; answered by a `ReadResponse`.

    Attributes:
        request_id: Chosen by the caller; the response has the same.
    """

    request_id: int


class WatchRequest(_Message, frozen=True, tag="Watch"):
    """Subscribes to changes of the state; answered by `WatchEvent`s until the connection closes.

    Attributes:
        known_version: The version of the state that the caller has; 0 if it has no version.
    """

    known_version: int


class AdminCommand(_Message, frozen=True, tag="Order"):
    """An operator's command to this one keeper or observer; answered by an `AdminResponse`.

    Attributes:
        request_id: Chosen by the caller; the response has the same.
        verb: An `AdminVerb`; any other value is rejected.
        target: The keeper to add, to remove or to transfer the leadership to.
    """

    request_id: int
    verb: str
    target: str = ""


class PublishReport(_Message, frozen=True, tag="Report"):
    """Publishes a proxy's report to the subscribers at all keepers; has no response.

    The report is not stored.

    Attributes:
        report: The encoded report; keepers do not decode it.
    """

    report: bytes


class SubscribeReports(_Message, frozen=True, tag="Listen"):
    """Begins or ends a subscription to all proxies' reports; answered by `ReportBatch`es.

    Attributes:
        enabled: True begins the subscription, False ends it.
    """

    enabled: bool


class RelayReports(_Message, frozen=True, tag="Relay"):
    """Relays reports from one keeper to the subscribers of another.

    Attributes:
        reports: Encoded reports.
    """

    reports: tuple[bytes, ...]


class ProposeResponse(_Message, frozen=True, tag="Answer"):
    """The answer to a `ProposeRequest`.

    Attributes:
        request_id: As in the request.
        result: The result of the change.
    """

    request_id: int
    result: ChangeResult


class ReadResponse(_Message, frozen=True, tag="Told"):
    """The answer to a `ReadRequest`.

    Attributes:
        request_id: As in the request.
        delta: The complete state, with every change that was acknowledged before the request.
    """

    request_id: int
    delta: StateDelta


class WatchEvent(_Message, frozen=True, tag="Push"):
    """An update for a watcher.

    Attributes:
        delta: The changes since the version that the watcher has; possibly empty.
        has_leader: Whether this keeper is in contact with a leader, so that the state is recent.
    """

    delta: StateDelta
    has_leader: bool


class ReportBatch(_Message, frozen=True, tag="Heard"):
    """Reports for a subscriber.

    Attributes:
        reports: Encoded reports.
    """

    reports: tuple[bytes, ...]


class AdminResponse(_Message, frozen=True, tag="Said"):
    """The answer to an `AdminCommand` or a `LocalDrainRequest`.

    Attributes:
        request_id: As in the request.
        rejected_reason: Why the command was rejected; empty if it was executed.
        body: The result of the command: JSON, or the compressed state for a backup.
    """

    request_id: int
    rejected_reason: str
    body: bytes = b""


CallerMessage = (
    ProposeRequest
    | CancelRequest
    | ReadRequest
    | WatchRequest
    | AdminCommand
    | PublishReport
    | SubscribeReports
)
"""Messages that a keeper accepts from its clients."""

KeeperMessage = ProposeResponse | ReadResponse | WatchEvent | AdminResponse | ReportBatch
"""Messages that a keeper sends to its clients."""


class LocalDrainRequest(_Message, frozen=True, tag="Here"):
    """A drain for one proxy alone, from an operator or a fenced lease holder.

    Answered by an `AdminResponse`.

    Attributes:
        request_id: Chosen by the caller; the response has the same.
        lease: The lease that the caller holds; empty if the caller acts for an operator.
        token: The lease's fencing token.
        change: The drain to put or to remove; None only checks the lease and its token.
    """

    request_id: int
    lease: str = ""
    token: int = 0
    change: PutDrain | RemoveDrain | None = None
