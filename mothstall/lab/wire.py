"""Parses and encodes the platform's protocol for the lab's backends, discovery and clients. Pure.

Heads and bodies have size limits. Anything unreadable raises Malformed; the caller then closes the
connection. This covers the needs of the lab; it is no general HTTP implementation.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from mothstall import interface as io
from mothstall.interface import Health
from mothstall.lab.directory import ListUpdate
from mothstall.lab.ledger import ClientRequest, Outcome
from mothstall.lab.scenario import Kind, Scenario

MAX_HEAD = 16 * 1024
MAX_BODY = 1024 * 1024
_PHASES = {Health.READY: "SERVING", Health.DRAINING: "DRAINING", Health.GONE: "DELETED"}


class Malformed(ValueError):
    """The input is not a valid message of the protocol."""


@dataclass(slots=True, frozen=True)
class Message:
    """A request or response: its first line, headers with lower-case names, and body."""

    line: bytes
    headers: dict[bytes, bytes]
    body: bytes


class Reader:
    """Incremental parser: takes input of any split and yields complete messages."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        self._data += data
        while True:
            end = self._data.find(b"\r\n\r\n")
            if end < 0:
                if len(self._data) > MAX_HEAD:
                    raise Malformed("the head exceeds its size limit")
                return
            line, *rows = bytes(self._data[:end]).split(b"\r\n")
            headers = {}
            for row in rows:
                name, sep, value = row.partition(b":")
                if not sep:
                    raise Malformed(f"{row[:40]!r} is not a header")
                headers[name.strip().lower()] = value.strip()
            length = headers.get(b"content-length", b"0")
            if not length.isdigit() or int(length) > MAX_BODY or b"transfer-encoding" in headers:
                raise Malformed(
                    "the body's length is invalid, too large, or not given by Content-Length"
                )
            whole = end + 4 + int(length)
            if len(self._data) < whole:
                return
            body = bytes(self._data[end + 4 : whole])
            del self._data[:whole]
            yield Message(line, headers, body)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has been received in part."""
        return bool(self._data)


def request(s: Scenario, row: ClientRequest, kind: Kind, left_ns: int, repeated: bool) -> bytes:
    """Encodes a client's request."""
    safe = kind.effect == "safe"
    rows = [
        f"{'GET' if safe else 'POST'} /{kind.name} HTTP/1.1",
        "Host: service.internal",
        f"X-Txn: {row.txn:016x}",
        f"X-Lane: {kind.name}",
        f"X-Remaining: {max(1, left_ns // 1000)}u",
    ]
    if s.tenants:
        rows.append(f"X-Org: {s.tenants[row.intent.tenant].name}")
    if repeated:
        rows.append("X-Resent: 1")
    body = b""
    if not safe:
        body = b"intent %d" % row.intent.id
        rows += [f"Idempotency-Key: {row.intent.id:032x}", f"Content-Length: {len(body)}"]
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


def txn(message: Message) -> int:
    """The id of the client request that a received request belongs to."""
    try:
        return int(message.headers[b"x-txn"], 16)
    except (KeyError, ValueError):
        raise Malformed("a request without a valid X-Txn header") from None


def served(number: int) -> bytes:
    """The body of a backend's response; it holds the request's id, so that a mix-up is found."""
    return b"served %016x\n" % number


def answer(status: int, body: bytes = b"", load: str = "", extra_headers: str = "") -> bytes:
    """Encodes a response of a backend or of discovery; each extra header ends with CRLF."""
    if load:
        extra_headers += f"X-Pressure: {load}\r\n"
    return (
        f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n".encode() + body
    )


def load_text(names: tuple[str, ...], values: tuple[float, ...]) -> str:
    return ",".join(f"{name}={value:.3f}" for name, value in zip(names, values, strict=True))


def read_answer(message: Message, row: ClientRequest) -> tuple[Outcome, int]:
    """The result of a client's request, and the Retry-After time in ns (0: none given)."""
    parts = message.line.split(b" ", 2)
    if len(parts) < 2 or not parts[1].isdigit():
        raise Malformed(f"{message.line[:40]!r} is not a status line")
    status = int(parts[1])
    if status == 200:
        if message.body != served(row.txn):
            raise Malformed("a response that belongs to another request")
        return Outcome.SERVED, 0
    if status in (429, 503):
        try:
            after = float(message.headers.get(b"retry-after", b"0"))
        except ValueError:
            raise Malformed("Retry-After is not a number") from None
        return Outcome.REFUSED, int(after * 1e9)
    return Outcome.FAILED, 0


def listing(word: ListUpdate, zones: tuple[str, ...], ports: dict[int, int]) -> dict[str, object]:
    """The endpoint list, or changes to it, as discovery's JSON."""
    return {
        "revision": word.version,
        "complete": word.full,
        "members": [member(entry, zones, ports) for entry in word.entries],
    }


def member(entry: io.Endpoint, zones: tuple[str, ...], ports: dict[int, int]) -> dict[str, object]:
    return {
        "id": f"box-{entry.backend}",
        "host_port": f"127.0.0.1:{ports.get(entry.backend, 1)}",
        "locality": zones[entry.zone],
        "flavor": "box",
        "cell": entry.cell,
        "phase": _PHASES[entry.health],
        "size": entry.weight,
        "up_since_ms": entry.started_ns // 1_000_000,
    }
