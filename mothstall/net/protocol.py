"""Headers and JSON to the interface's terms, and results to answers. Pure: no sockets, no clock.

Only the fields that decisions need are taken out; method, target, headers and body go on as they came.
"""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from multidict import CIMultiDict

from mothstall.config import Address, Names, parse_address
from mothstall.interface import Entry, Health, Result

MOST_BODY = 64 * 1024

TXN = "x-txn"
LANE = "x-lane"
ORG = "x-org"
REMAINING = "x-remaining"
RESENT = "x-resent"
TURNED_AWAY = "X-Turned-Away"
PRESSURE = "X-Pressure"

HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
LIST_PATH = "/v1/endpoints"

# What belongs to one connection, or is written anew for the next one.
_HOP = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te"),
        *("trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-remaining"),
    )
)
_OWN = _HOP | {"x-pressure", "x-turned-away", "date", "server"}

_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])")
_UNITS = {"m": 1_000_000, "u": 1_000}
_HEALTH = {"SERVING": Health.READY, "DRAINING": Health.DRAINING, "DELETED": Health.GONE}


class Unreadable(ValueError):
    """Words of a client or a peer that cannot be read; the message says which."""


@dataclass(slots=True)
class Inbound:
    """One client request: what decisions need of it, and what goes on unchanged."""

    txn: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    cls: int
    tenant: int
    left_ns: int
    repeated: bool


@dataclass(slots=True)
class Answer:
    """A backend's 200 answer, whole."""

    body: bytes
    headers: CIMultiDict[str]


def duration_ns(text: str) -> int:
    match = _DURATION.fullmatch(text)
    if not match:
        raise Unreadable(f"{text[:40]!r} is not a duration")
    return int(float(match[1]) * _UNITS[match[2]])


def duration_text(ns: int) -> str:
    return f"{max(0, ns) // 1_000}u"


def _passes(value: str) -> bool:
    """Whether a header or target can be written again as the bytes that came."""
    if value.isascii():
        return True
    try:
        value.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


def read_request(
    method: str, target: str, came: Iterable[tuple[bytes, bytes]], body: bytes, names: Names
) -> Inbound:
    """The request in the interface's terms, or Unreadable."""
    headers: CIMultiDict[str] = CIMultiDict()
    found: dict[str, str] = {}
    named_by_connection: set[str] = set()
    for raw_name, raw_value in came:
        name, value = raw_name.decode("utf-8", "replace"), raw_value.decode("utf-8", "surrogateescape")
        lower = name.lower()
        if lower in found and lower in (TXN, LANE, REMAINING):
            raise Unreadable(f"{name} came twice")
        found[lower] = value
        if lower == "connection":
            named_by_connection.update(word.strip().lower() for word in value.split(","))
        if lower not in _HOP and _passes(value):
            headers.add(name, value)
    for lower in named_by_connection:
        if lower not in (TXN, "idempotency-key"):
            headers.popall(lower, None)
    txn = found.get(TXN, "")
    if not txn or not txn.isascii():
        raise Unreadable("X-Txn is missing or unreadable")
    lane = found.get(LANE, "")
    if lane not in names.classes:
        raise Unreadable("X-Lane names no class")
    if not _passes(found.get("idempotency-key", "")):
        raise Unreadable("Idempotency-Key is unreadable")
    if not target.startswith("/") or "#" in target or target.endswith("?") or not _passes(target):
        # The client library cannot write these as they came.
        raise Unreadable("the request's target is unreadable")
    org = found.get(ORG, "")
    return Inbound(
        txn=txn,
        method=method,
        target=target,
        headers=headers,
        body=body,
        cls=names.classes.index(lane),
        tenant=names.tenants.index(org) if org in names.tenants else len(names.tenants),
        left_ns=duration_ns(found.get(REMAINING, "")),
        repeated=found.get(RESENT, "") == "1",
    )


def passed_on(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """The headers of a backend's answer that go on to the client."""
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in _OWN and _passes(value)
    )


def result_of(status: int, headers: Mapping[str, str]) -> Result:
    """What a whole answer says of its attempt; in doubt it may have run."""
    if status == 200:
        return Result.OK
    if status in (503, 504) and headers.get(TURNED_AWAY) == "1":
        return Result.REJECTED
    return Result.ERROR


def read_load(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """A load report's values in the settings' order."""
    values: dict[str, float] = {}
    for part in text.split(","):
        name, sep, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            raise Unreadable(f"load report {text[:60]!r}") from None
        if not sep or not math.isfinite(number):
            raise Unreadable(f"load report {text[:60]!r}")
        values[name] = number
    if not all(name in values for name in names):
        raise Unreadable(f"load report {text[:60]!r} lacks a field")
    return tuple(values[name] for name in names)


@dataclass(slots=True)
class Member:
    """One backend as discovery tells of it."""

    id: str
    address: Address
    entry: Entry


@dataclass(slots=True)
class ListWord:
    version: int
    full: bool
    members: list[Member]


def backend_number(ident: str) -> int:
    """The same number for a backend at every proxy and in every life of it."""
    return int.from_bytes(hashlib.blake2b(ident.encode("utf-8", "replace"), digest_size=6).digest(), "big")


def read_list(tree: Any, names: Names) -> ListWord:
    """Discovery's JSON; one unreadable member makes the whole word unreadable."""
    try:
        version, full, rows = tree["revision"], tree["complete"], tree["members"]
        if not isinstance(version, int) or not isinstance(full, bool) or not isinstance(rows, list):
            raise Unreadable("list of an unknown form")
        return ListWord(version, full, [_member(row, names) for row in rows])
    except (KeyError, TypeError, ValueError, OverflowError) as why:
        raise Unreadable(f"list: {type(why).__name__}: {why}") from why


def _member(row: Any, names: Names) -> Member:
    ident = row["id"]
    if not isinstance(ident, str) or not ident:
        raise Unreadable("member without an id")
    zone, kind = row.get("locality"), row.get("flavor")
    entry = Entry(
        backend=backend_number(ident),
        zone=names.zones.index(zone) if zone in names.zones else len(names.zones),
        kind=names.kinds.index(kind) if kind in names.kinds else len(names.kinds),
        cell=int(row.get("cell") or 0),
        health=_HEALTH[row["phase"]],
        weight=float(row.get("size", 1.0)),
        started_ns=int(row.get("up_since_ms") or 0) * 1_000_000,
    )
    # One that is gone needs no address.
    address = row.get("host_port") or ("-:0" if entry.health == Health.GONE else "")
    return Member(ident, parse_address(address), entry)
