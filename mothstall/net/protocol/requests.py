"""Parses clients' requests and encodes them for backends.

Only the fields that the balancer needs are parsed; method, target, headers and body are forwarded
unchanged.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from mothstall.config import Names
from mothstall.interface import Effect
from mothstall.net.body_arrival import BodyArrival
from mothstall.net.body_relay import Stream
from mothstall.net.errors import UnreadableMessageError
from mothstall.net.protocol.durations import format_duration, parse_duration_ns
from mothstall.net.protocol.headers import (
    CLASS_HEADER,
    CONNECTION,
    CONTENT_LENGTH,
    HOP_BY_HOP_HEADERS,
    IDEMPOTENCY_KEY_HEADER,
    LABELS_HEADER,
    REMAINING_HEADER,
    REQUEST_ID_HEADER,
    RETRY_HEADER,
    TENANT_HEADER,
    TRANSFER_ENCODING,
    UNIQUE_HEADERS,
    connection_headers,
    framing_header,
)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # longer bodies are streamed, not buffered completely
# X-Remaining may be at most this multiple of the deadline of the request's class.
MAX_DEADLINE_FACTOR = 4
_ID = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
_COST = re.compile(rb"\d{1,13}")  # nanoseconds, up to some hours


class WaitingClient(Protocol):
    """The client that waits for the response to a request."""

    def is_waiting(self, request: ClientRequest, check_socket: bool) -> bool:
        """Return whether the client still waits for the response.

        Args:
            request: The request.
            check_socket: Also check the socket for a hang-up that was not read yet.
        """


@dataclass(slots=True)
class ClientRequest:
    """One client request: the fields that the balancer needs, and the bytes that are forwarded.

    Attributes:
        request_id: The request's id, chosen by the client.
        head: The request line and the forwarded headers, each with its line end.
        body: The body; empty if the request has a `stream`.
        class_index: Index of the request's class in the settings.
        tenant_index: Index of the request's tenant in the settings; one past the last if unknown.
        remaining_ns: How long the client waits, from the last byte of the request.
        is_retry: Whether the client marked the request as a retry.
        stream: A long body, in place of `body`.
        length: Length of the stream in bytes, if known.
        body_arrival: When the last byte of the stream may have arrived.
        cost_ns: Expected work as declared by the client; 0 if not declared.
        client: The client that waits for the response; None if that cannot be checked.
        received_ns: Earliest Unix time at which the request may have arrived; the client had not
            hung up by then.
    """

    request_id: bytes
    head: bytes
    body: bytes
    class_index: int
    tenant_index: int
    remaining_ns: int
    is_retry: bool
    stream: Stream | None = None
    length: int | None = None
    cost_ns: int = 0
    client: WaitingClient | None = None
    received_ns: int = 0
    body_arrival: BodyArrival | None = None

    def deadline_ns(self, now_ns: int) -> int:
        """Return the Unix time at which the client stops waiting; later while its body arrives."""
        arrival = self.body_arrival
        last_byte_ns = self.received_ns if arrival is None else arrival.incomplete_ns(now_ns)
        return last_byte_ns + self.remaining_ns


def parse_request(
    method: str, target: str, headers: Iterable[tuple[bytes, bytes]], body: bytes, names: Names
) -> ClientRequest:
    """Parse and check a client's request.

    Args:
        method: The request's method.
        target: The request's target.
        headers: The headers, in order.
        body: The body, if it was received completely.
        names: The settings' classes, tenants and effects.

    Raises:
        UnreadableMessageError: The request is malformed.
    """
    line = f"{method} {target} HTTP/1.1\r\n".encode("utf-8", "surrogateescape")
    forwarded, header_values = _forwarded_headers(headers)
    # Guards against request smuggling: with two framings, another parser may see a further request
    # in the body.
    if CONTENT_LENGTH in header_values and TRANSFER_ENCODING in header_values:
        raise UnreadableMessageError("two framings")
    if not _ID.fullmatch(header_values.get(REQUEST_ID_HEADER, b"")):
        raise UnreadableMessageError("X-Txn is missing or unreadable")
    class_index = _parse_class(header_values, target, names)
    _check_effect(method, class_index, header_values, body, names)
    remaining_ns = _parse_remaining_ns(header_values, class_index, names)
    tenant = header_values.get(TENANT_HEADER, b"").decode("utf-8", "replace")
    labels = header_values.get(LABELS_HEADER, b"")
    return ClientRequest(
        request_id=header_values[REQUEST_ID_HEADER],
        head=b"".join((line, *forwarded)),
        body=body,
        class_index=class_index,
        tenant_index=names.tenant_index.get(tenant, len(names.tenants)),
        remaining_ns=remaining_ns,
        is_retry=header_values.get(RETRY_HEADER, b"") == b"1",
        cost_ns=_parse_cost_ns(labels, names.cost_label) if names.cost_label else 0,
    )


def _forwarded_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[list[bytes], dict[bytes, bytes]]:
    """Return the lines that are forwarded, and all headers by lower-case name."""
    lines: list[bytes] = []
    header_values: dict[bytes, bytes] = {}
    connection_options: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower in UNIQUE_HEADERS and lower in header_values:
            raise UnreadableMessageError(f"{lower.decode()} came twice")
        header_values[lower] = value
        if lower == CONNECTION:
            connection_options |= connection_headers(value)
        if lower not in HOP_BY_HOP_HEADERS:
            lines.append(b"%b: %b\r\n" % (name, value))
    if connection_options:
        lines = [
            line for line in lines if line.partition(b":")[0].lower() not in connection_options
        ]
    return lines, header_values


def _parse_class(header_values: dict[bytes, bytes], target: str, names: Names) -> int:
    """Return the index of the request's class, which must also be the first segment of its path."""
    name = header_values.get(CLASS_HEADER, b"").decode("utf-8", "replace")
    class_index = names.class_index.get(name, -1)
    if class_index < 0:
        raise UnreadableMessageError("X-Lane names no class")
    if not target.startswith("/") or "#" in target:
        raise UnreadableMessageError("the request's target is unreadable")
    if target[1:].partition("?")[0].partition("/")[0] != name:
        raise UnreadableMessageError("the path is not that of X-Lane")
    return class_index


def _check_effect(
    method: str, class_index: int, header_values: dict[bytes, bytes], body: bytes, names: Names
) -> None:
    """Check method, idempotency key and body against the effect of the request's class."""
    if class_index >= len(names.effects):
        return
    effect = names.effects[class_index]
    is_idempotent = effect == Effect.IDEMPOTENT
    if method != ("GET" if is_idempotent else "POST"):
        raise UnreadableMessageError("the method is not that of X-Lane")
    if effect == Effect.IDEMPOTENT_WITH_KEY and not header_values.get(IDEMPOTENCY_KEY_HEADER):
        raise UnreadableMessageError("Idempotency-Key is missing")
    if not is_idempotent:
        return
    if (
        body
        or TRANSFER_ENCODING in header_values
        or header_values.get(CONTENT_LENGTH, b"0") != b"0"
    ):
        raise UnreadableMessageError("a GET with a body")


def _parse_remaining_ns(header_values: dict[bytes, bytes], class_index: int, names: Names) -> int:
    """Return how long the client waits; raises if that exceeds the limit of its class."""
    text = header_values.get(REMAINING_HEADER, b"").decode("utf-8", "replace")
    remaining_ns = parse_duration_ns(text)
    is_in_bounds = remaining_ns > 0
    if class_index < len(names.deadlines_ns):
        max_ns = MAX_DEADLINE_FACTOR * names.deadlines_ns[class_index]
        is_in_bounds = is_in_bounds and remaining_ns <= max_ns
    if not is_in_bounds:
        raise UnreadableMessageError("X-Remaining is out of bounds")
    return remaining_ns


def _parse_cost_ns(labels: bytes, name: str) -> int:
    """Return the expected work that the labels declare; 0 without a valid declaration."""
    for label in labels.split(b","):
        key, _, value = label.strip().partition(b"=")
        if key == name.encode() and _COST.fullmatch(value):
            return int(value)
    return 0


def encode_request(request: ClientRequest, remaining_ns: int) -> bytes:
    """Return the bytes of one attempt: head and body, or only the head if the body is long.

    Args:
        request: The client's request.
        remaining_ns: Time for which the proxy waits for the response to the attempt.
    """
    remaining = format_duration(remaining_ns).encode()
    if request.stream is not None:
        framing = framing_header(request.length)
        return b"%bX-Remaining: %b\r\n%b\r\n" % (request.head, remaining, framing)
    has_no_length = not request.body and request.head.startswith(b"GET")
    framing = b"" if has_no_length else framing_header(len(request.body))
    return b"%bX-Remaining: %b\r\n%b\r\n%b" % (request.head, remaining, framing, request.body)
