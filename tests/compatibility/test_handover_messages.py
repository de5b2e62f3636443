"""Handover messages between two processes of one proxy, one of which may be an earlier version."""

from __future__ import annotations

import dataclasses
import json

import pytest

from mothstall.net.handover import messages
from tests.compatibility import wire_types
from tests.compatibility.fixture_files import expected, fixture_bytes, fixture_paths, to_plain

MESSAGES = fixture_paths("handover")


@pytest.mark.parametrize("path", MESSAGES)
def test_a_handover_message_is_decoded_and_encoded_unchanged(path: str) -> None:
    message = messages.decode(fixture_bytes(path))
    assert to_plain(dataclasses.astuple(message)) == expected(path)
    assert messages.encode(message) == fixture_bytes(path)


def test_each_message_has_a_fixture() -> None:
    found = {type(messages.decode(fixture_bytes(path))) for path in MESSAGES}
    assert found == set(wire_types.members_of(messages.Message))


def test_handover_message_types_and_version_are_unchanged() -> None:
    trees = [json.loads(fixture_bytes(path)) for path in MESSAGES]
    assert {tree["say"] for tree in trees} == {"take", "yours", "client", "onward"}
    assert {tree["v"] for tree in trees} == {messages.VERSION}
