"""Tests of the frame codec: payloads received in pieces of any size, and invalid frames."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mothstall.store.errors import FrameError
from mothstall.store.protocol.frames import MAX_FRAME_BYTES, NONCE_BYTES, FrameCodec, PeerRole

KEY = b"k" * 32
HEADER_BYTES = 13
VERSION_OFFSET = 4


def dialer(key: bytes = KEY, nonce: bytes = b"1" * NONCE_BYTES) -> FrameCodec:
    return FrameCodec("c", key, True, nonce)


def accepter(key: bytes = KEY, cluster: str = "c", nonce: bytes = b"2" * NONCE_BYTES) -> FrameCodec:
    return FrameCodec(cluster, key, False, nonce)


def greeted_pair(accepter_nonce: bytes = b"2" * NONCE_BYTES) -> tuple[FrameCodec, FrameCodec]:
    """A dialer and an accepter that have exchanged their greetings."""
    agent = dialer()
    keeper = accepter(nonce=accepter_nonce)
    keeper.receive_data(agent.encode_greeting("a", PeerRole.AGENT))
    agent.receive_data(keeper.encode_greeting("k1", PeerRole.KEEPER))
    return agent, keeper


def agent_greeting() -> bytes:
    return dialer().encode_greeting("a", PeerRole.AGENT)


def test_payloads_arrive_both_ways_in_pieces_of_any_size() -> None:
    agent, keeper = greeted_pair()
    data = agent.encode_frame(b"one") + agent.encode_frame(b"two" * 1000)
    pieces = [data[start : start + 7] for start in range(0, len(data), 7)]

    payloads = [payload for piece in pieces for payload in keeper.receive_data(piece)]

    assert payloads == [b"one", b"two" * 1000]
    assert keeper.peer is not None
    assert keeper.peer.role == PeerRole.AGENT
    assert agent.receive_data(keeper.encode_frame(b"back")) == [b"back"]


def test_a_frame_out_of_order_is_rejected() -> None:
    agent, keeper = greeted_pair()
    agent.encode_frame(b"one")
    second = agent.encode_frame(b"two")

    with pytest.raises(FrameError, match="frame 1"):
        keeper.receive_data(second)


def test_a_frame_replayed_from_another_connection_is_rejected() -> None:
    agent, _ = greeted_pair()
    _, other_keeper = greeted_pair(accepter_nonce=b"3" * NONCE_BYTES)

    with pytest.raises(FrameError, match="another key, number or connection"):
        other_keeper.receive_data(agent.encode_frame(b"one"))


@pytest.mark.parametrize(
    ("receiver", "reason"),
    [(accepter(key=b"x" * 32), "keyed hash"), (accepter(cluster="d"), "cluster")],
)
def test_a_greeting_with_another_key_or_cluster_is_rejected(
    receiver: FrameCodec, reason: str
) -> None:
    with pytest.raises(FrameError, match=reason):
        receiver.receive_data(agent_greeting())


def test_a_greeting_of_another_version_is_rejected() -> None:
    greeting = bytearray(agent_greeting())
    greeting[VERSION_OFFSET] = 9

    with pytest.raises(FrameError, match="version 9"):
        accepter().receive_data(bytes(greeting))


def test_a_frame_that_claims_4_gb_is_rejected_by_its_header_alone() -> None:
    _, keeper = greeted_pair()
    header = b"\xff\xff\xff\xff" + agent_greeting()[VERSION_OFFSET:HEADER_BYTES]

    with pytest.raises(FrameError, match="claims 4294967295"):
        keeper.receive_data(header)


def test_a_payload_too_large_for_a_frame_is_not_encoded() -> None:
    with pytest.raises(FrameError, match="more than"):
        dialer().encode_frame(b"x" * MAX_FRAME_BYTES)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=4000), st.booleans())
def test_arbitrary_bytes_are_never_decoded_to_a_payload(data: bytes, has_header: bool) -> None:
    _, keeper = greeted_pair()
    header = agent_greeting()[:HEADER_BYTES] if has_header else b""

    with contextlib.suppress(FrameError):
        assert keeper.receive_data(header + data) == []
