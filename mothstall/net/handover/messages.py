"""Messages between two processes of one proxy when one takes over from the other. Pure.

A message is one JSON object. The new process sends a `HandoverRequest` once it can accept clients.
The old process stops accepting and answers with its `HandoverState`. It then sends a
`ClientHandover` with each client connection that it hands over, and a `StreamHandover` with each
long response in progress. Any other message is rejected.
"""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass
from typing import Any

from mothstall.interface import InheritedBackend, InheritedState

VERSION = 1
MAX_MESSAGE_BYTES = 192 * 1024  # a long response may include a stream's window and one read
MAX_INHERITED_BACKENDS = 600  # backends whose state the new process inherits


class HandoverMessageError(ValueError):
    """A message is malformed, unexpected or of another version."""


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """Request of a new process of the proxy `name` for a handover."""

    name: str


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The number of open connections of the old process, and the state that it passes on."""

    client_connections: int
    backend_connections: int
    inherited_state: InheritedState


@dataclass(frozen=True, slots=True)
class ClientHandover:
    """A client connection, whose descriptor is sent with the message."""

    is_silent: bool  # nothing was received on the connection yet
    age_s: float  # time for which the connection has been silent or idle


@dataclass(frozen=True, slots=True)
class StreamHandover:
    """A long response in progress.

    The descriptor of its client is sent with the message, and that of its backend unless the
    response was received completely (`remaining_bytes` is 0).
    """

    # Bytes not received from the backend; None: unknown, or given by `coding`.
    remaining_bytes: int | None
    # State of the `ChunkedDecoder` of the backend's body: phase, remaining bytes, partial line.
    coding: tuple[int, int, bytes] | None
    is_chunked: bool  # the client receives the chunked coding
    encoded: bytes  # encoded for the client, but not written to its socket
    buffered: tuple[bytes, ...]  # received from the backend, not yet passed on to the client


Message = HandoverRequest | HandoverState | ClientHandover | StreamHandover


def encode(message: Message) -> bytes:
    """Return a message as bytes of this version."""
    if isinstance(message, HandoverRequest):
        tree = _request_tree(message)
    elif isinstance(message, ClientHandover):
        tree = _client_tree(message)
    elif isinstance(message, StreamHandover):
        tree = _stream_tree(message)
    else:
        tree = _state_tree(message)
    return json.dumps(tree, separators=(",", ":")).encode()


def _request_tree(message: HandoverRequest) -> dict[str, Any]:
    return {"v": VERSION, "say": "take", "name": message.name}


def _client_tree(message: ClientHandover) -> dict[str, Any]:
    return {
        "v": VERSION,
        "say": "client",
        "silent": message.is_silent,
        "age": round(message.age_s, 3),
    }


def _stream_tree(message: StreamHandover) -> dict[str, Any]:
    coding = message.coding
    return {
        "v": VERSION,
        "say": "onward",
        "left": message.remaining_bytes,
        "coding": None if coding is None else [coding[0], coding[1], coding[2].hex()],
        "chunks": message.is_chunked,
        "raw": base64.b64encode(message.encoded).decode(),
        "data": [base64.b64encode(part).decode() for part in message.buffered],
    }


def _state_tree(message: HandoverState) -> dict[str, Any]:
    inherited_state = message.inherited_state
    return {
        "v": VERSION,
        "say": "yours",
        "held": [message.client_connections, message.backend_connections],
        "sums": [
            inherited_state.usual_latency_ns,
            inherited_state.capacity,
            inherited_state.warm_rate,
            inherited_state.retry_tokens,
        ],
        "calm": inherited_state.baselines,
        "known": [
            [
                backend.backend,
                backend.started_ns,
                backend.concurrency_limit,
                backend.failure_score,
                backend.ejected_until_ns,
                backend.ejection_ns,
            ]
            for backend in inherited_state.backends[:MAX_INHERITED_BACKENDS]
        ],
    }


def decode(received: bytes) -> Message:
    """Return the message in `received`.

    Raises:
        HandoverMessageError: The bytes are not a message of this version.
    """
    try:
        return _message(json.loads(received))
    except HandoverMessageError:
        raise
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise HandoverMessageError(f"{type(error).__name__}: {str(error)[:60]}") from error


def _message(tree: Any) -> Message:
    if tree["v"] != VERSION:
        raise HandoverMessageError(f"version {str(tree['v'])[:20]}")
    if tree["say"] == "take":
        return HandoverRequest(str(tree["name"]))
    if tree["say"] == "client":
        return ClientHandover(bool(tree["silent"]), _number(tree["age"]))
    if tree["say"] == "onward":
        return _stream_handover(tree)
    if tree["say"] != "yours":
        raise HandoverMessageError("an unknown message")
    return _handover_state(tree)


def _stream_handover(tree: Any) -> StreamHandover:
    remaining_bytes = tree["left"]
    coding = tree["coding"]
    if coding is not None:
        phase, chunk_bytes, line = coding
        coding = (int(_number(phase)), int(_number(chunk_bytes)), bytes.fromhex(line))
    data = tuple(base64.b64decode(part, validate=True) for part in tree["data"])
    raw = base64.b64decode(tree["raw"], validate=True)
    remaining_bytes = None if remaining_bytes is None else int(_number(remaining_bytes))
    return StreamHandover(remaining_bytes, coding, bool(tree["chunks"]), raw, data)


def _handover_state(tree: Any) -> HandoverState:
    clients, backends = (int(_number(n)) for n in tree["held"])
    usual_latency_ns, capacity, warm_rate, retry_tokens = (_number(n) for n in tree["sums"])
    baselines = [[_number(n) for n in row] for row in tree["calm"]]
    inherited = [InheritedBackend(*(_number(n) for n in row)) for row in tree["known"]]
    inherited_state = InheritedState(
        usual_latency_ns, capacity, warm_rate, retry_tokens, baselines, inherited
    )
    return HandoverState(clients, backends, inherited_state)


def _number(value: Any) -> Any:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value < 0:
        raise HandoverMessageError(f"{str(value)[:20]!r} is not a finite number of at least 0")
    return value
