"""Parsing and encoding of headers, durations and endpoint lists, without sockets."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.config import Address, Names
from mothstall.interface import AttemptResult, Health
from mothstall.net import protocol

NAMES = Names(("search", "pay"), ("acme", "zenith"), ("east", "west"), ("std", "big"))
LEAVES = st.none() | st.booleans() | st.integers() | st.text()
KEYS = st.sampled_from(["revision", "complete", "members", "id", "phase", "host_port"])
ROW: dict[str, Any] = {
    "id": "s-5be2a07c",
    "host_port": "10.1.0.18:8000",
    "locality": "west",
    "flavor": "big",
    "cell": 3,
    "phase": "SERVING",
    "size": 1.5,
    "up_since_ms": 1700000000123,
}


def parse(**changes: str) -> protocol.ClientRequest:
    headers = {
        "X-Txn": "1",
        "X-Lane": "pay",
        "X-Org": "zenith",
        "X-Remaining": "480m",
        "X-Resent": "1",
    }
    headers.update({name.replace("_", "-"): value for name, value in changes.items()})
    header_rows = [(name.encode(), value.encode()) for name, value in headers.items()]
    return protocol.parse_request("POST", "/pay", header_rows, b"x", NAMES)


def test_request_is_parsed_into_the_fields_of_decisions() -> None:
    inbound = parse()
    assert (inbound.class_index, inbound.tenant_index, inbound.remaining_ns, inbound.is_retry) == (
        1,
        1,
        480_000_000,
        True,
    )
    assert parse(X_Remaining="1500.5u").remaining_ns == 1_500_500
    assert not parse(X_Resent="0").is_retry
    assert parse(X_Org="nobody").tenant_index == len(NAMES.tenants)  # not in the settings
    assert b"\r\nX-Labels: a=1,b=2\r\n" in parse(X_Labels="a=1,b=2").head


@given(st.integers(0, 10**12))
def test_duration_is_parsed_as_it_is_formatted(ns: int) -> None:
    assert protocol.parse_duration_ns(protocol.format_duration(ns)) == ns // 1000 * 1000


@given(st.text(max_size=12))
def test_any_text_is_a_duration_or_unreadable(text: str) -> None:
    try:
        assert protocol.parse_duration_ns(text) >= 0
    except protocol.UnreadableMessageError:
        assert not (text[:-1].isascii() and text[:-1].isdigit() and text[-1:] in ("m", "u"))


def test_endpoint_list_is_parsed_in_the_settings_order() -> None:
    parsed = protocol.parse_endpoint_list(
        {"revision": 41, "complete": True, "members": [ROW]}, NAMES
    )
    (member,) = parsed.members
    assert (parsed.version, parsed.is_complete, member.address) == (
        41,
        True,
        Address("10.1.0.18", 8000),
    )
    entry = member.endpoint
    assert (entry.zone, entry.kind, entry.cell, entry.weight) == (1, 1, 3, 1.5)
    assert (entry.health, entry.started_ns) == (Health.READY, 1_700_000_000_123_000_000)
    assert entry.backend == protocol.backend_number("s-5be2a07c") < 1 << 48


def test_removed_backend_needs_only_its_id() -> None:
    gone = {"id": "s-5be2a07c", "phase": "DELETED"}
    parsed = protocol.parse_endpoint_list(
        {"revision": 42, "complete": False, "members": [gone]}, NAMES
    )
    assert parsed.members[0].endpoint.health == Health.GONE


@pytest.mark.parametrize(
    "changes",
    [
        {"id": ""},
        {"id": None},
        {"phase": "LOST"},
        {"host_port": "nowhere"},
        {"host_port": None},
        {"up_since_ms": "soon"},
        {"size": "large"},
        {"cell": [1]},
    ],
)
def test_unreadable_member_makes_the_update_unreadable(changes: dict[str, Any]) -> None:
    with pytest.raises(protocol.UnreadableMessageError):
        protocol.parse_endpoint_list(
            {"revision": 41, "complete": True, "members": [{**ROW, **changes}]}, NAMES
        )


@given(
    st.recursive(
        LEAVES, lambda inner: st.lists(inner) | st.dictionaries(KEYS, inner), max_leaves=12
    )
)
def test_any_json_is_an_endpoint_list_or_unreadable(tree: Any) -> None:
    try:
        protocol.parse_endpoint_list(tree, NAMES)
    except protocol.UnreadableMessageError:
        return
    assert isinstance(tree["revision"], int)


def test_only_a_marked_503_or_504_is_a_rejection() -> None:
    marked = {"X-Turned-Away": "1"}
    assert protocol.attempt_result(200, {}) == AttemptResult.OK
    assert [protocol.attempt_result(s, marked) for s in (503, 504)] == [AttemptResult.REJECTED] * 2
    for status, headers in (
        (503, {}),
        (504, {}),
        (500, marked),
        (429, marked),
        (302, {}),
        (204, {}),
    ):
        assert protocol.attempt_result(status, headers) == AttemptResult.ERROR


class UnsearchableNames(tuple[str, ...]):
    """A tuple of names that fails when it is searched."""

    __slots__ = ()

    def __contains__(self, item: object) -> bool:
        raise AssertionError("names were searched")

    def index(self, *_: Any) -> int:
        raise AssertionError("names were searched")


def test_parsing_a_request_does_not_scan_classes_and_tenants() -> None:
    names = Names(
        UnsearchableNames(("search", "pay")),
        UnsearchableNames(("acme", "zenith")),
        ("east",),
        ("std",),
    )
    rows = [(b"X-Txn", b"1"), (b"X-Lane", b"pay"), (b"X-Remaining", b"480m")]
    for org, number in ((b"acme", 0), (b"zenith", 1), (b"nobody", 2), (b"", 2)):
        inbound = protocol.parse_request("POST", "/pay", [*rows, (b"X-Org", org)], b"x", names)
        assert (inbound.class_index, inbound.tenant_index) == (1, number)
    with pytest.raises(protocol.UnreadableMessageError, match="X-Lane"):
        protocol.parse_request("POST", "/pay", [(b"X-Txn", b"1"), (b"X-Lane", b"no")], b"x", names)
