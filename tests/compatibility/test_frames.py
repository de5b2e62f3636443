"""Payloads and frames of earlier versions: this version decodes and encodes them unchanged."""

from __future__ import annotations

import base64

import msgspec
import pytest

from mothstall.store.protocol.frames import FrameCodec
from tests.compatibility import wire_types
from tests.compatibility.fixture_files import (
    CLUSTER,
    KEY,
    expected,
    fixture_bytes,
    fixture_paths,
    to_plain,
)

PAYLOADS = [(folder, path) for folder in wire_types.RECEIVED for path in fixture_paths(folder)]
DIALLED, ACCEPTED = "frames/dialled.bin", "frames/accepted.bin"


@pytest.mark.parametrize(("folder", "path"), PAYLOADS, ids=[path for _, path in PAYLOADS])
def test_a_payload_is_decoded_and_encoded_unchanged(folder: str, path: str) -> None:
    payload = fixture_bytes(path)
    value = msgspec.msgpack.decode(payload, type=wire_types.RECEIVED[folder])
    assert to_plain(value) == expected(path)
    assert msgspec.msgpack.encode(value) == payload


def _nonce(path: str) -> bytes:
    return base64.b64decode(expected(path)[0][2])


def _codec(sent_path: str) -> FrameCodec:
    """The codec of the end that sent the bytes in a file."""
    return FrameCodec(CLUSTER, KEY, sent_path == DIALLED, _nonce(sent_path))


@pytest.mark.parametrize(("sent_path", "peer_path"), [(DIALLED, ACCEPTED), (ACCEPTED, DIALLED)])
def test_frames_of_a_connection_are_decoded(sent_path: str, peer_path: str) -> None:
    receiving_codec = _codec(peer_path)
    greeting, payloads = expected(sent_path)
    found = receiving_codec.receive_data(fixture_bytes(sent_path))
    assert [base64.b64encode(payload).decode() for payload in found] == payloads
    assert receiving_codec.peer is not None
    assert to_plain(receiving_codec.peer) == greeting


@pytest.mark.parametrize(("sent_path", "peer_path"), [(DIALLED, ACCEPTED), (ACCEPTED, DIALLED)])
def test_frames_of_a_connection_are_encoded_unchanged(sent_path: str, peer_path: str) -> None:
    sending_codec = _codec(sent_path)
    (name, role, _), payloads = expected(sent_path)
    data = sending_codec.encode_greeting(name, role)
    sending_codec.receive_data(fixture_bytes(peer_path))
    for payload in payloads:
        data += sending_codec.encode_frame(base64.b64decode(payload))
    assert data == fixture_bytes(sent_path)
