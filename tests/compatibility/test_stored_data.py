"""Files and values that earlier versions stored: this version reads and writes them unchanged."""

from __future__ import annotations

import base64
import dataclasses
import json
import shutil
import sqlite3
import zlib
from contextlib import closing
from pathlib import Path
from typing import Any

import msgspec
import pytest

from mothstall.config import Names
from mothstall.fleet.agent.persisted_state import PersistedStateFile
from mothstall.lab.scale import points
from mothstall.net import protocol
from mothstall.store import storage, storage_inspection
from mothstall.store.raft.messages import Configuration, EntryKind
from mothstall.store.raft.ready import Ready
from mothstall.store.state.machine import StateMachine
from tests.compatibility import wire_types
from tests.compatibility.fixture_files import (
    CLUSTER,
    FIXTURES,
    expected,
    fixture_bytes,
    fixture_paths,
    to_plain,
    wire_name,
)

KEEPER_FILE = "keeper/k1.db"
TABLES = ("sqlite_master", "entries", "hard", "snapshot", "owner")


@pytest.mark.parametrize("path", fixture_paths("values"))
def test_a_value_is_decoded_and_encoded_unchanged(path: str) -> None:
    name, data = wire_name(path), fixture_bytes(path)
    value = wire_types.VALUE_READERS[name](data)
    assert value is not None
    assert to_plain(value) == expected(path)
    written = wire_types.VALUE_WRITERS[name](value)
    if path.endswith("-whole-weights.msgpack"):  # a weight of 120 comes back as 120.0
        assert msgspec.msgpack.decode(written) == msgspec.msgpack.decode(data)
    else:
        assert written == data


@pytest.mark.parametrize("path", fixture_paths("keeper_records"))
def test_a_keeper_record_is_decoded_and_encoded_unchanged(path: str) -> None:
    value = msgspec.msgpack.decode(
        fixture_bytes(path), type=wire_types.KEEPER_RECORDS[wire_name(path)]
    )
    assert to_plain(value) == expected(path)
    assert msgspec.msgpack.encode(value) == fixture_bytes(path)


# A keeper's file


@pytest.fixture
def keeper_file(tmp_path: Path) -> Path:
    return Path(shutil.copy(FIXTURES / KEEPER_FILE, tmp_path / "k1.db"))


def load(path: Path) -> storage.LoadedLog:
    disk = storage.DiskLog(path)
    loaded = disk.load("k1", CLUSTER, Configuration())
    disk.close()
    return loaded


def contents(state: StateMachine) -> Any:
    return to_plain(
        {
            "applied_index": state.applied_index,
            "version": state.version,
            "token": state.last_token,
            "leases": state.leases,
            "drains": state.drains,
            "values": state.values,
            "members": state.members,
            "sessions": list(state.sessions.items()),
        }
    )


def test_a_keeper_file_is_loaded_without_damage(keeper_file: Path) -> None:
    assert storage_inspection.find_damage(keeper_file) == ""
    loaded = load(keeper_file)
    expected_file = expected(KEEPER_FILE)
    assert loaded.damage == ""
    assert to_plain(loaded.hard_state) == expected_file["hard_state"]
    assert to_plain(loaded.snapshot) == expected_file["snapshot"]
    assert to_plain(loaded.entries) == expected_file["entries"]


def test_a_snapshot_is_decoded_and_encoded_unchanged(keeper_file: Path) -> None:
    image = load(keeper_file).snapshot.data
    state = StateMachine.from_snapshot(image)
    assert contents(state) == expected(KEEPER_FILE)["at_snapshot"]
    assert state.encode_snapshot() == image


def test_entries_behind_a_snapshot_are_applied_with_the_same_results(keeper_file: Path) -> None:
    loaded = load(keeper_file)
    state = StateMachine.from_snapshot(loaded.snapshot.data)
    results = []
    for entry in loaded.entries:
        if entry.kind == EntryKind.COMMAND:
            _, result = state.apply(entry.index, entry.data)
            reason, *rest = msgspec.structs.astuple(result)
            results.append([entry.index, bool(reason), *to_plain(rest)])
    expected_file = expected(KEEPER_FILE)
    assert results == expected_file["results"]
    assert contents(state) == expected_file["in_the_end"]
    assert state.encode_snapshot() == base64.b64decode(expected_file["image_in_the_end"])


def test_entries_behind_the_snapshot_include_every_kind_of_change(keeper_file: Path) -> None:
    found, kinds = set(), set()
    for entry in load(keeper_file).entries:
        kinds.add(entry.kind)
        if entry.kind == EntryKind.COMMAND:
            proposal = msgspec.msgpack.decode(entry.data, type=wire_types.RECEIVED["proposals"])
            found.add(wire_types.tag_of(type(proposal.change)))
            assert msgspec.msgpack.encode(proposal) == entry.data
        elif entry.kind == EntryKind.CONFIGURATION:
            members = msgspec.msgpack.decode(entry.data, type=Configuration)
            assert to_plain(members) == [["k1", "k2", "k3", "k4"], []]
    assert found == wire_types.tags(wire_types.CHANGE)
    assert kinds == set(EntryKind)


def test_a_keeper_file_is_written_with_the_same_rows(keeper_file: Path, tmp_path: Path) -> None:
    """Guards against a file that an earlier version can no longer read."""
    loaded = load(keeper_file)
    new_path = tmp_path / "fresh.db"
    disk = storage.DiskLog(new_path)
    disk.load("k1", CLUSTER, Configuration())
    disk.write(
        Ready(hard_state=loaded.hard_state, snapshot=loaded.snapshot, entries=loaded.entries)
    )
    disk.close()
    for table in TABLES:
        assert rows(new_path, table) == rows(keeper_file, table)


def rows(path: Path, table: str) -> list[Any]:
    with closing(sqlite3.connect(path)) as database:
        return database.execute(f"SELECT * FROM {table} ORDER BY 1, 2").fetchall()


def test_the_summary_of_a_stopped_keepers_file_lists_its_leases_and_drains(
    keeper_file: Path,
) -> None:
    summary: dict[str, Any] = to_plain(storage_inspection.read_summary(keeper_file))
    in_the_end = expected(KEEPER_FILE)["in_the_end"]
    for key in ("leases", "drains"):
        assert summary[key] == list(in_the_end[key].values())


def test_a_backup_is_decoded_to_its_state() -> None:
    state = StateMachine.from_snapshot(zlib.decompress(fixture_bytes("keeper/backup.z")))
    assert contents(state) == expected("keeper/backup.z")


# Files of a proxy


def test_a_persisted_state_file_is_decoded_and_encoded_unchanged(tmp_path: Path) -> None:
    shutil.copy(FIXTURES / "proxy/p1.agent", tmp_path / "p1.agent")
    state = PersistedStateFile(str(tmp_path), "p1").load()
    assert to_plain(state) == expected("proxy/p1.agent")
    PersistedStateFile(str(tmp_path), "p2").save(msgspec.json.encode(state))
    assert (tmp_path / "p2.agent").read_bytes() == fixture_bytes("proxy/p1.agent")


def test_a_cached_endpoint_list_is_parsed_unchanged() -> None:
    names = Names(("read",), ("c1",), ("z1", "z2"), ("small", "large"))
    update = protocol.parse_endpoint_list(json.loads(fixture_bytes("proxy/known.json")), names)
    assert to_plain(dataclasses.astuple(update)) == expected("proxy/known.json")


def test_measured_points_are_decoded_and_encoded_unchanged() -> None:
    path = "points/scale-example.json"
    found = points.decode(fixture_bytes(path))
    assert to_plain(found) == expected(path)
    assert points.encode(found) == fixture_bytes(path)
