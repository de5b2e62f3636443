"""Interprets backends' responses and encodes responses to clients."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mothstall.interface import AttemptResult
from mothstall.net.body_relay import Stream
from mothstall.net.protocol.headers import (
    BACKEND_ONLY_HEADERS,
    CONNECTION,
    REJECTED_HEADER,
    connection_headers,
    framing_header,
)

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
CLOSE_HEADER = b"Connection: close\r\n"


@dataclass(slots=True)
class BackendResponse:
    """A backend's 200 response, complete, or with a long body that is still being received.

    Attributes:
        body: The body; empty if the response has a `stream`.
        head: The forwarded headers, each with its line end.
        stream: A long body, in place of `body`.
        length: Length of the stream in bytes, if known.
    """

    body: bytes
    head: bytes
    stream: Stream | None = None
    length: int | None = None


def attempt_result(status: int, headers: Mapping[str, str]) -> AttemptResult:
    """Return the result of an attempt; REJECTED only if the backend states that it did not run."""
    if status == 200:
        return AttemptResult.OK
    if status in (503, 504) and headers.get(REJECTED_HEADER) == "1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


def forwarded_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the headers of a backend's response that are forwarded to the client."""
    rows = [(name.lower(), name, value) for name, value in headers]
    connection_options: set[bytes] = set()
    for lower, _, value in rows:
        if lower == CONNECTION:
            connection_options |= connection_headers(value)
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for lower, name, value in rows
        if lower not in BACKEND_ONLY_HEADERS and lower not in connection_options
    )


def retry_after_header(after_ns: int) -> bytes:
    """Return the Retry-After header of a rejection; empty for 0."""
    return b"Retry-After: %.3f\r\n" % (after_ns / 1e9) if after_ns else b""


def encode_response(status: int, head: bytes, body: bytes, close: bool) -> bytes:
    """Return a complete response to a client."""
    ending = CLOSE_HEADER if close else b""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        *(status, REASON_PHRASES[status], head, len(body), ending, body),
    )


def encode_response_head(head: bytes, length: int | None, chunks: bool, close: bool) -> bytes:
    """Return the head of a long 200 response.

    With neither a length nor chunks the body ends with the connection.
    """
    framing = framing_header(length) if chunks or length is not None else b""
    ending = CLOSE_HEADER if close else b""
    return b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (head, framing, ending)
