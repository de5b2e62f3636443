"""Tags on the wire and in the log never change, and each struct stored or sent has a fixture."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from mothstall.fleet.agent.persisted_state import PersistedStateFile
from mothstall.store.raft.messages import EntryKind, RecoveryStatus
from mothstall.store.state.machine import StateMachine
from tests.compatibility import wire_types
from tests.compatibility.fixture_files import (
    FIXTURES,
    fixture_bytes,
    fixture_folders,
    fixture_paths,
    wire_name,
)

CHANGES = {
    "Open",
    "Take",
    "Renew",
    "Drop",
    "Seize",
    "Expire",
    "Write",
    "PutDrain",
    "Undrain",
    "Attach",
}
TAGS = {
    "calls_to_keeper": {"Ask", "Withdraw", "Read", "Watch", "Order", "Report", "Listen"},
    "calls_to_observer": {
        "Come",
        "Alive",
        "Again",
        "Bye",
        "Ask",
        "Withdraw",
        "Report",
        "Listen",
        "Order",
    },
    "calls_to_proxy": {"Here"},
    "keeper_answers": {"Answer", "Told", "Push", "Said", "Heard"},
    "keeper_messages": {
        "VoteAsk",
        "VoteAnswer",
        "Append",
        "AppendAnswer",
        "Install",
        "InstallAnswer",
        "HandOver",
        "Forward",
        "ReadAsk",
        "ReadAnswer",
        "Hello",
        "Seen",
        "Relay",
    },
    "observer_answers": {"Fed", "Seated", "Turned", "Answer", "Heard", "Said"},
}
# Folders that other tests read.
FOLDERS_WITHOUT_PAYLOADS = {"frames", "handover", "keeper", "points", "proxy"}


@pytest.mark.parametrize("folder", TAGS)
def test_tags_of_payloads_are_unchanged(folder: str) -> None:
    assert wire_types.tags(wire_types.RECEIVED[folder]) == TAGS[folder]


def test_tags_of_changes_are_unchanged() -> None:
    assert wire_types.tags(wire_types.CHANGE) == CHANGES


@pytest.mark.parametrize("folder", TAGS)
def test_each_payload_has_a_fixture_named_for_its_tag(folder: str) -> None:
    found = set()
    for path in fixture_paths(folder):
        value = msgspec.msgpack.decode(fixture_bytes(path), type=wire_types.RECEIVED[folder])
        assert wire_types.tag_of(type(value)) == wire_name(path)
        found.add(wire_name(path))
    assert found == TAGS[folder]


def test_each_change_has_a_fixture() -> None:
    found = {
        path.removeprefix("proposals/Proposal-").split(".")[0]
        for path in fixture_paths("proposals")
    }
    assert {name.partition("-")[0] for name in found} == CHANGES


def test_numbers_of_entry_kinds_and_recovery_statuses_are_unchanged() -> None:
    assert [int(kind) for kind in EntryKind] == [0, 1, 2]
    assert [int(status) for status in RecoveryStatus] == [0, 1, 2]


def test_each_folder_of_fixtures_is_covered() -> None:
    assert set(fixture_folders()) == {
        *wire_types.RECEIVED,
        "keeper_records",
        "values",
        *FOLDERS_WITHOUT_PAYLOADS,
    }
    assert set(TAGS) | {"greetings", "proposals"} == set(wire_types.RECEIVED)


def _decoded_payloads() -> Iterator[Any]:
    for folder, message_type in wire_types.RECEIVED.items():
        for path in fixture_paths(folder):
            yield msgspec.msgpack.decode(fixture_bytes(path), type=message_type)


def _decoded_records() -> Iterator[Any]:
    for path in fixture_paths("keeper_records"):
        yield msgspec.msgpack.decode(
            fixture_bytes(path), type=wire_types.KEEPER_RECORDS[wire_name(path)]
        )
    for path in fixture_paths("values"):
        value_type = type(wire_types.VALUE_READERS[wire_name(path)](fixture_bytes(path)))
        yield msgspec.msgpack.decode(fixture_bytes(path), type=value_type)
    yield PersistedStateFile(str(FIXTURES / "proxy"), "p1").load()
    yield StateMachine.from_snapshot(zlib.decompress(fixture_bytes("keeper/backup.z"))).sessions


def test_no_struct_that_is_stored_or_sent_lacks_a_fixture() -> None:
    found: set[type[msgspec.Struct]] = {wire_types.SNAPSHOT_IMAGE}
    for value in (*_decoded_payloads(), *_decoded_records()):
        found.update(wire_types.structs_in(value))
    missing = wire_types.declared_structs() - found - set(wire_types.UNSENT_STRUCTS)
    assert {struct.__name__ for struct in missing} == set()
