"""Frames of the simulator's wire protocol: batches of events in, replies with actions out.

Records have no length field, so that an unknown code cannot be skipped and is an error.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO

from mothstall.errors import MothstallError
from mothstall.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    ClientLeft,
    CloseIdleConnections,
    Endpoint,
    EndpointUpdate,
    Event,
    FailRequest,
    Health,
    LoadProbeEnded,
    Log,
    PollEndpoints,
    ProbeLoad,
    Reject,
    RequestArrived,
    ResponseStarted,
    SendAttempt,
    SetTimer,
    TimerFired,
    UpdateScope,
    WatchEndpoints,
)

MAX_FRAME = 1 << 30  # upper bound of a frame's body, in bytes


class WireError(MothstallError):
    """The input violates the protocol; the message says where or which value is invalid."""


@dataclass(slots=True)
class InstanceStarted:
    """A new instance starts.

    Attributes:
        seed: Seed of its random numbers.
        setup: Its settings, as `path=value` lines.
    """

    seed: int
    setup: str


@dataclass(slots=True)
class InstanceEnded:
    """An instance ends, and its state is discarded."""


# Event in a record; None: a message from another instance, which is skipped.
RecordEvent = Event | InstanceStarted | InstanceEnded | None
# Number of the instance that a record is for, and the record's event.
Record = tuple[int, RecordEvent]


class EventCode(IntEnum):
    """The first byte of a record of a batch."""

    ENDPOINTS = 10
    TIMER_FIRED = 20
    LOAD_PROBE_ENDED = 30
    INSTANCE_STARTED = 40
    RESPONSE_STARTED = 50
    PEER_MESSAGE = 60
    INSTANCE_ENDED = 70
    CLIENT_LEFT = 80
    ATTEMPT_ENDED = 90
    REQUEST_ARRIVED = 100


class ActionCode(IntEnum):
    """The first byte of a record of a reply."""

    CLOSE_IDLE_CONNECTIONS = 10
    PROBE_LOAD = 20
    REJECT = 30
    SEND_ATTEMPT = 40
    WATCH_ENDPOINTS = 60
    LOG = 70
    FAIL_REQUEST = 80
    FAULT = 90
    SET_TIMER = 100
    POLL_ENDPOINTS = 110
    CANCEL_ATTEMPT = 120


_RESULTS = {
    200: AttemptResult.OK,
    502: AttemptResult.ERROR,
    429: AttemptResult.REJECTED,
    408: AttemptResult.TIMEOUT,
    521: AttemptResult.CONNECT_FAILED,
    520: AttemptResult.RESET,
    444: AttemptResult.CANCELLED,
    409: AttemptResult.NOT_SENT,
}
_HEALTH = {int(h): h for h in Health}
_SCOPE = {int(s): s for s in UpdateScope}

# Layouts of the fields of event records after their codes; the lengths of strings and lists
# precede them.
_U16 = struct.Struct(">H")
_U32 = struct.Struct(">I")
_CLOCK = struct.Struct(">Q")
_ENDPOINTS = struct.Struct(">HBII")
_ENDPOINT = struct.Struct(">IHBHBfQ")
_INSTANCE_AND_ID = struct.Struct(">HQ")
_LOAD_PROBE_ENDED = struct.Struct(">HQIHB")
_INSTANCE_STARTED = struct.Struct(">HQI")
_RESPONSE_STARTED = struct.Struct(">HQBIQ")
_PEER_MESSAGE = struct.Struct(">HIH")
_ATTEMPT_ENDED = struct.Struct(">HQBIHQBB")
_REQUEST_ARRIVED = struct.Struct(">HQBHQQQB")
_LOADS = [struct.Struct(f">{count}f") for count in range(256)]
_HAS_COST = 1  # flag bits in the last byte of a REQUEST_ARRIVED record
_IS_RETRY = 2

_BACKEND_ACTION = struct.Struct(">BHI")
_REQUEST_ACTION = struct.Struct(">BHQ")
_TWO_NUMBERS = struct.Struct(">BHQQ")
_SEND_ATTEMPT = struct.Struct(">BHQIQ")
_WATCH_ENDPOINTS = struct.Struct(">BHB")
_POLL_ENDPOINTS = struct.Struct(">BH")
_CANCEL_ATTEMPT = struct.Struct(">BHQB")
_TEXT = struct.Struct(">BHH")

MIN_FRAME_BYTES = 8  # a batch contains at least its clock
MAX_TEXT_BYTES = 60_000


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return the next frame's body, or None if the input ends between two frames."""
    head = _read_up_to(stream, 4)
    if not head:
        return None
    if len(head) < 4:
        raise WireError("input ends inside a frame's length")
    (size,) = _U32.unpack(head)
    if size < MIN_FRAME_BYTES or size > MAX_FRAME:
        raise WireError(f"frame of {size} bytes is outside {MIN_FRAME_BYTES} to {MAX_FRAME}")
    body = _read_up_to(stream, size)
    if len(body) < size:
        raise WireError(f"input ends inside a frame: {len(body)} of {size} bytes")
    return body


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    parts: list[bytes] = []
    while size > 0:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def _result(code: int) -> AttemptResult:
    try:
        return _RESULTS[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def decode(body: bytes) -> tuple[int, list[Record]]:
    """Return the clock and the records of a batch's body, in order.

    Raises:
        WireError: A record is truncated or has an unknown code or value.
    """
    try:
        return _decode(body)
    except struct.error as why:
        raise WireError(f"record cut short: {why}") from None


def _decode(body: bytes) -> tuple[int, list[Record]]:
    (now,) = _CLOCK.unpack_from(body, 0)
    position = _CLOCK.size
    end = len(body)
    records: list[Record] = []
    while position < end:
        decoder = _DECODERS.get(body[position])
        if decoder is None:
            raise WireError(f"unknown event code {body[position]} at byte {position}")
        instance, event, position = decoder(body, position + 1)
        records.append((instance, event))
    return now, records


# Result of a decoder, which takes a body and the offset of a record's fields: the instance, the
# event, and the offset of the next record.
_Decoded = tuple[int, RecordEvent, int]


def _attempt_ended(body: bytes, at: int) -> _Decoded:
    row = _ATTEMPT_ENDED.unpack_from(body, at)
    instance, request, attempt, backend, code, latency_ns, is_final, count = row
    at += _ATTEMPT_ENDED.size
    load: tuple[float, ...] = ()
    if count:
        load = _LOADS[count].unpack_from(body, at)
        at += _LOADS[count].size
    event = AttemptEnded(request, attempt, backend, _result(code), latency_ns, is_final != 0, load)
    return instance, event, at


def _request_arrived(body: bytes, at: int) -> _Decoded:
    row = _REQUEST_ARRIVED.unpack_from(body, at)
    instance, request, class_index, tenant_index, key, left_ns, cost_ns, bits = row
    event = RequestArrived(
        request,
        class_index,
        tenant_index,
        key,
        left_ns,
        cost_ns if bits & _HAS_COST else 0,
        bits & _IS_RETRY != 0,
    )
    return instance, event, at + _REQUEST_ARRIVED.size


def _timer_fired(body: bytes, at: int) -> _Decoded:
    instance, token = _INSTANCE_AND_ID.unpack_from(body, at)
    return instance, TimerFired(token), at + _INSTANCE_AND_ID.size


def _endpoints(body: bytes, at: int) -> _Decoded:
    instance, scope, version, count = _ENDPOINTS.unpack_from(body, at)
    at += _ENDPOINTS.size
    if scope not in _SCOPE:
        raise WireError(f"unknown list scope {scope}")
    end = at + _ENDPOINT.size * count
    if end > len(body):
        raise WireError("record cut short: list entries")
    entries = [_entry(row) for row in _ENDPOINT.iter_unpack(body[at:end])]
    return instance, EndpointUpdate(_SCOPE[scope], version, entries), end


def _client_left(body: bytes, at: int) -> _Decoded:
    instance, request = _INSTANCE_AND_ID.unpack_from(body, at)
    return instance, ClientLeft(request), at + _INSTANCE_AND_ID.size


def _load_probe_ended(body: bytes, at: int) -> _Decoded:
    instance, latency_ns, backend, code, count = _LOAD_PROBE_ENDED.unpack_from(body, at)
    at += _LOAD_PROBE_ENDED.size
    load = _LOADS[count].unpack_from(body, at)
    event = LoadProbeEnded(backend, _result(code), latency_ns, load)
    return instance, event, at + _LOADS[count].size


def _response_started(body: bytes, at: int) -> _Decoded:
    instance, request, attempt, backend, _latency_ns = _RESPONSE_STARTED.unpack_from(body, at)
    return instance, ResponseStarted(request, attempt, backend), at + _RESPONSE_STARTED.size


def _instance_started(body: bytes, at: int) -> _Decoded:
    instance, seed, length = _INSTANCE_STARTED.unpack_from(body, at)
    at += _INSTANCE_STARTED.size
    end = at + length
    if end > len(body):
        raise WireError("record cut short: settings")
    return instance, InstanceStarted(seed, body[at:end].decode("utf-8", "replace")), end


def _instance_ended(body: bytes, at: int) -> _Decoded:
    (instance,) = _U16.unpack_from(body, at)
    return instance, InstanceEnded(), at + _U16.size


def _peer_message(body: bytes, at: int) -> _Decoded:
    """Skip a message from another instance, as instances exchange no state."""
    instance, _sender, length = _PEER_MESSAGE.unpack_from(body, at)
    end = at + _PEER_MESSAGE.size + length
    if end > len(body):
        raise WireError("record cut short: peer message")
    return instance, None, end


_DECODERS: dict[int, Callable[[bytes, int], _Decoded]] = {
    EventCode.ATTEMPT_ENDED: _attempt_ended,
    EventCode.REQUEST_ARRIVED: _request_arrived,
    EventCode.TIMER_FIRED: _timer_fired,
    EventCode.ENDPOINTS: _endpoints,
    EventCode.CLIENT_LEFT: _client_left,
    EventCode.LOAD_PROBE_ENDED: _load_probe_ended,
    EventCode.RESPONSE_STARTED: _response_started,
    EventCode.INSTANCE_STARTED: _instance_started,
    EventCode.INSTANCE_ENDED: _instance_ended,
    EventCode.PEER_MESSAGE: _peer_message,
}


def _entry(row: tuple[int, int, int, int, int, float, int]) -> Endpoint:
    backend, zone, kind, cell, health, weight, started = row
    if health not in _HEALTH:
        raise WireError(f"unknown backend health {health}")
    return Endpoint(backend, zone, kind, cell, _HEALTH[health], weight, started)


def encode(actions: list[tuple[int, Action]], faults: list[tuple[int, str]]) -> bytes:
    """Return a reply frame.

    Args:
        actions: Pairs of an instance and its action, in order.
        faults: Pairs of a failed instance and the error message.
    """
    records = [_ENCODERS[type(action)](instance, action) for instance, action in actions]
    records += [_encode_text(ActionCode.FAULT, instance, text) for instance, text in faults]
    body = b"".join(records)
    return _U32.pack(len(body)) + body


def _encode_text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(raw)) + raw


def _send_attempt(instance: int, action: SendAttempt) -> bytes:
    return _SEND_ATTEMPT.pack(
        ActionCode.SEND_ATTEMPT, instance, action.request, action.backend, action.timeout_ns
    )


def _set_timer(instance: int, action: SetTimer) -> bytes:
    return _TWO_NUMBERS.pack(ActionCode.SET_TIMER, instance, action.token, action.at_ns)


def _reject(instance: int, action: Reject) -> bytes:
    return _TWO_NUMBERS.pack(ActionCode.REJECT, instance, action.request, action.retry_after_ns)


def _cancel_attempt(instance: int, action: CancelAttempt) -> bytes:
    return _CANCEL_ATTEMPT.pack(ActionCode.CANCEL_ATTEMPT, instance, action.request, action.attempt)


def _fail_request(instance: int, action: FailRequest) -> bytes:
    return _REQUEST_ACTION.pack(ActionCode.FAIL_REQUEST, instance, action.request)


def _probe_load(instance: int, action: ProbeLoad) -> bytes:
    return _BACKEND_ACTION.pack(ActionCode.PROBE_LOAD, instance, action.backend)


def _close_idle_connections(instance: int, action: CloseIdleConnections) -> bytes:
    return _BACKEND_ACTION.pack(ActionCode.CLOSE_IDLE_CONNECTIONS, instance, action.backend)


def _watch_endpoints(instance: int, action: WatchEndpoints) -> bytes:
    return _WATCH_ENDPOINTS.pack(ActionCode.WATCH_ENDPOINTS, instance, int(action.is_on))


def _poll_endpoints(instance: int, action: PollEndpoints) -> bytes:
    return _POLL_ENDPOINTS.pack(ActionCode.POLL_ENDPOINTS, instance)


def _log(instance: int, action: Log) -> bytes:
    return _encode_text(ActionCode.LOG, instance, action.text)


_ENCODERS: dict[type, Callable[..., bytes]] = {
    SendAttempt: _send_attempt,
    SetTimer: _set_timer,
    Reject: _reject,
    CancelAttempt: _cancel_attempt,
    FailRequest: _fail_request,
    ProbeLoad: _probe_load,
    CloseIdleConnections: _close_idle_connections,
    WatchEndpoints: _watch_endpoints,
    PollEndpoints: _poll_endpoints,
    Log: _log,
}
