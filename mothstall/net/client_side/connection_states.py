"""The states of a client connection, their timeouts, and the transitions between them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

LINGER_S = 1.0  # a lingering close reads further input for at most this time


class ConnectionState(IntEnum):
    """The state of a client connection.

    In NEW and the states after it in this list, a peer has to send or read data in time; otherwise
    the connection is closed.
    """

    IDLE = 0  # between requests
    AWAITING_RESPONSE = 1  # a complete request was submitted to the decider
    PENALIZED = 2  # a request was just rejected: the next one is delayed
    LINGERING = 3  # the last response, if any, is written, and the write side is closed
    NEW = 4  # nothing was received since the connection was opened
    READING_HEAD = 5
    READING_BODY = 6
    UPLOADING = 7  # a submitted request, the rest of whose long body is being received
    RELAYING = 8  # a long response is being relayed
    DISCARDING_BODY = 9  # the response is written; the rest of a long request body is discarded
    REJECTED = 10  # a lingering close after a request that was rejected before it was complete


# States in which input is buffered unparsed.
DEFERS_INPUT = (
    ConnectionState.AWAITING_RESPONSE,
    ConnectionState.RELAYING,
    ConnectionState.PENALIZED,
)

# States in which a request is being read that was not submitted to the decider.
IS_INCOMPLETE = (ConnectionState.READING_HEAD, ConnectionState.READING_BODY)

# States in which input is part of a request's body.
READS_BODY = (
    ConnectionState.READING_BODY,
    ConnectionState.UPLOADING,
    ConnectionState.DISCARDING_BODY,
)

# States with an open request: submitted to the decider, or its long response being relayed.
HAS_OPEN_EXCHANGE = (
    ConnectionState.AWAITING_RESPONSE,
    ConnectionState.UPLOADING,
    ConnectionState.RELAYING,
)

# States after the last response: the write side is closed, and input is discarded.
IS_CLOSING = (ConnectionState.LINGERING, ConnectionState.REJECTED)

# Timeout of each state in seconds; NEW and the READING_HEAD that follows it share one timeout. A
# client may take 2 s to send a head.
STATE_TIMEOUT_S = {
    ConnectionState.IDLE: 6.0,
    ConnectionState.LINGERING: LINGER_S,
    ConnectionState.NEW: 2.4,
    ConnectionState.READING_HEAD: 2.4,
    ConnectionState.READING_BODY: 2.4,
    ConnectionState.REJECTED: LINGER_S,
}


@dataclass(frozen=True)
class Transition:
    """One edge of the state machine.

    Attributes:
        source: The state that is left; `None` for a connection that has just been accepted.
        event: What causes the transition.
        target: The state that is entered.
        owed: The side that has to act next, and what it has to send or do.
    """

    source: ConnectionState | None
    event: str
    target: ConnectionState
    owed: str


_S = ConnectionState

# All edges. A pipelined request begins in IDLE, not in READING_HEAD, as its head is parsed already.
TRANSITIONS: tuple[Transition, ...] = (
    Transition(None, "accepted", _S.NEW, "client: a first byte"),
    Transition(_S.NEW, "adopted from the previous process", _S.IDLE, "nothing"),
    Transition(_S.NEW, "first bytes", _S.READING_HEAD, "client: a complete head"),
    Transition(_S.IDLE, "first bytes", _S.READING_HEAD, "client: a complete head"),
    # A request.
    Transition(_S.READING_HEAD, "complete request", _S.AWAITING_RESPONSE, "proxy: a response"),
    Transition(_S.IDLE, "complete request, pipelined", _S.AWAITING_RESPONSE, "proxy: a response"),
    Transition(_S.READING_HEAD, "head", _S.READING_BODY, "client: the body"),
    Transition(_S.IDLE, "head, pipelined", _S.READING_BODY, "client: the body"),
    Transition(_S.READING_BODY, "body complete", _S.AWAITING_RESPONSE, "proxy: a response"),
    Transition(_S.READING_BODY, "body is long", _S.UPLOADING, "client: the body"),
    Transition(_S.UPLOADING, "body complete", _S.AWAITING_RESPONSE, "proxy: a response"),
    # Its response.
    Transition(_S.READING_HEAD, "local page, kept alive", _S.IDLE, "nothing"),
    Transition(_S.IDLE, "local page, pipelined, kept alive", _S.IDLE, "nothing"),
    Transition(_S.AWAITING_RESPONSE, "response, kept alive", _S.IDLE, "nothing"),
    Transition(_S.AWAITING_RESPONSE, "long response", _S.RELAYING, "proxy: the rest of it"),
    Transition(_S.UPLOADING, "long response", _S.RELAYING, "proxy: the rest of it"),
    Transition(_S.UPLOADING, "early response", _S.DISCARDING_BODY, "client: the body"),
    Transition(_S.RELAYING, "response complete, kept alive", _S.IDLE, "nothing"),
    Transition(_S.DISCARDING_BODY, "body complete, kept alive", _S.IDLE, "nothing"),
    # A request that is rejected, its connection kept alive.
    Transition(_S.READING_HEAD, "rejected, kept alive", _S.PENALIZED, "proxy: a pause"),
    Transition(_S.IDLE, "rejected, pipelined, kept alive", _S.PENALIZED, "proxy: a pause"),
    Transition(_S.READING_BODY, "rejected, kept alive", _S.PENALIZED, "proxy: a pause"),
    Transition(_S.PENALIZED, "penalty is over", _S.IDLE, "nothing"),
    # A request that is withdrawn from the decider before it is rejected.
    Transition(_S.UPLOADING, "body abandoned", _S.READING_BODY, "proxy: an error"),
    Transition(_S.AWAITING_RESPONSE, "too much input", _S.READING_BODY, "proxy: an error"),
    # A lingering close.
    Transition(_S.NEW, "shed, expired or drained", _S.LINGERING, "client: a close"),
    Transition(_S.IDLE, "shed, expired or drained", _S.LINGERING, "client: a close"),
    Transition(_S.PENALIZED, "shed or stopping", _S.LINGERING, "client: a close"),
    Transition(_S.READING_HEAD, "local page, last response", _S.LINGERING, "client: a close"),
    Transition(_S.AWAITING_RESPONSE, "last response, or left", _S.LINGERING, "client: a close"),
    Transition(_S.UPLOADING, "client left", _S.LINGERING, "nothing"),
    Transition(_S.RELAYING, "last response, or cut", _S.LINGERING, "client: a close"),
    Transition(
        _S.DISCARDING_BODY, "body complete, malformed or given up", _S.LINGERING, "client: a close"
    ),
    # A lingering close after an error.
    Transition(_S.NEW, "drain overdue", _S.REJECTED, "client: a close"),
    Transition(_S.IDLE, "error in pipelined input", _S.REJECTED, "client: a close"),
    Transition(_S.PENALIZED, "drain overdue, or malformed", _S.REJECTED, "client: a close"),
    Transition(_S.READING_HEAD, "rejected, shed or overdue", _S.REJECTED, "client: a close"),
    Transition(_S.READING_BODY, "rejected, shed or overdue", _S.REJECTED, "client: a close"),
    Transition(_S.UPLOADING, "body malformed", _S.REJECTED, "client: a close"),
)
