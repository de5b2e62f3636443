"""Tests of a replica's file: written records are loaded again, and damage is detected."""

from __future__ import annotations

import errno
import sqlite3
from contextlib import closing
from pathlib import Path

import pytest

from mothstall.store import storage_inspection
from mothstall.store.errors import StorageError
from mothstall.store.raft.messages import Configuration, Entry, EntryKind, HardState, Snapshot
from mothstall.store.raft.ready import Ready
from mothstall.store.storage import DiskLog, LoadedLog

CONFIGURATION = Configuration(("k1", "k2", "k3"))
ENTRY_COUNT = 5
HARD_STATE = HardState(1, "k2")


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "a.db"


def load(path: Path) -> LoadedLog:
    with closing(DiskLog(path)) as log:
        return log.load("k1", "c", CONFIGURATION)


def filled_log(path: Path) -> DiskLog:
    log = DiskLog(path)
    log.load("k1", "c", CONFIGURATION)
    entries = [
        Entry(index, 1, EntryKind.COMMAND, b"data %d" % index)
        for index in range(1, ENTRY_COUNT + 1)
    ]
    log.write(Ready(hard_state=HARD_STATE, entries=entries))
    return log


def execute_on_file(path: Path, statement: str) -> None:
    with closing(sqlite3.connect(path)) as database, database:
        database.execute(statement)


def test_written_records_are_loaded_and_a_conflicting_entry_replaces_the_rest(path: Path) -> None:
    log = filled_log(path)
    log.write(Ready(entries=[Entry(3, 2, EntryKind.COMMAND, b"other")]))
    log.close()

    loaded = load(path)

    assert loaded.damage == ""
    assert loaded.hard_state == HARD_STATE
    assert [(entry.index, entry.term) for entry in loaded.entries] == [(1, 1), (2, 1), (3, 2)]


@pytest.mark.parametrize(
    ("statement", "damage_message", "intact_entries"),
    [
        ("UPDATE entries SET data = x'00' WHERE idx = 3", "entry 3 is damaged", 2),
        ("UPDATE entries SET term = 9 WHERE idx = 2", "entry 2 is damaged", 1),
        ("DELETE FROM entries WHERE idx = 4", "entry 4 is missing", 3),
        ("UPDATE hard SET data = x'93000000'", "term and vote", 5),
    ],
)
def test_a_damaged_record_is_reported_and_no_entry_behind_it_is_loaded(
    path: Path, statement: str, damage_message: str, intact_entries: int
) -> None:
    filled_log(path).close()
    execute_on_file(path, statement)

    assert storage_inspection.find_damage(path)
    loaded = load(path)

    assert damage_message in loaded.damage
    assert loaded.hard_state.is_recovering
    assert len(loaded.entries) == intact_entries
    # The mark is on disk, so the replica does not vote after a second start either.
    assert load(path).hard_state.is_recovering


def test_a_file_that_is_no_database_is_renamed_and_recovery_begins(path: Path) -> None:
    filled_log(path).close()
    path.write_bytes(b"rubbish" * 1000)

    loaded = load(path)

    assert loaded.hard_state.is_recovering
    assert not loaded.entries
    assert "kept as" in loaded.damage
    assert path.with_name("a.damaged-1").exists()


class FullDisk:
    """Fails every commit until there is space again."""

    def __init__(self) -> None:
        self.is_full = True

    def before_commit(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "disk full")


NEW_RECORDS = Ready(hard_state=HardState(7, "k3"), entries=[Entry(6, 7, EntryKind.COMMAND, b"new")])


def test_nothing_of_a_failed_write_is_on_disk(path: Path) -> None:
    filled_log(path).close()
    with closing(DiskLog(path, before_commit=FullDisk().before_commit)) as log:
        log.load("k1", "c", CONFIGURATION)
        with pytest.raises(StorageError, match="disk full"):
            log.write(NEW_RECORDS)

    loaded = load(path)

    assert loaded.hard_state == HARD_STATE
    assert len(loaded.entries) == ENTRY_COUNT


def test_a_failed_write_can_be_repeated_on_the_open_file(path: Path) -> None:
    filled_log(path).close()
    disk = FullDisk()
    with closing(DiskLog(path, before_commit=disk.before_commit)) as log:
        log.load("k1", "c", CONFIGURATION)
        with pytest.raises(StorageError, match="disk full"):
            log.write(NEW_RECORDS)
        disk.is_full = False
        log.write(NEW_RECORDS)

    loaded = load(path)

    assert loaded.hard_state == NEW_RECORDS.hard_state
    assert loaded.entries[-1].index == 6


def test_the_file_of_another_replica_is_rejected(path: Path) -> None:
    filled_log(path).close()

    with (
        closing(DiskLog(path)) as log,
        pytest.raises(StorageError, match="belongs to k1 of cluster c, not to k2 of c"),
    ):
        log.load("k2", "c", CONFIGURATION)


def test_the_error_about_another_replicas_file_names_the_path_once(path: Path) -> None:
    """Guards against wrapping the error, itself an OSError, in one that names the file again."""
    filled_log(path).close()

    with closing(DiskLog(path)) as log, pytest.raises(StorageError) as error:
        log.load("k2", "c", CONFIGURATION)

    assert str(error.value).count(str(path)) == 1


def test_failed_write_to_the_file_that_replaces_a_damaged_one_is_a_storage_error(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a `sqlite3` error that leaves `load` unwrapped after the file was renamed."""
    path.write_bytes(b"no database at all" * 100)

    def fail(log: DiskLog, hard_state: HardState) -> None:
        raise sqlite3.OperationalError("database or disk is full")

    monkeypatch.setattr(DiskLog, "_write_hard_state", fail)
    with closing(DiskLog(path)) as log, pytest.raises(StorageError, match="disk is full") as error:
        log.load("k1", "c", CONFIGURATION)

    assert "not a database" in str(error.value)


def test_a_compacted_snapshot_replaces_the_entries_that_it_contains(path: Path) -> None:
    log = filled_log(path)
    log.write(Ready(compacted_snapshot=Snapshot(3, 1, CONFIGURATION, b"image")))
    log.close()

    loaded = load(path)

    assert loaded.snapshot.data == b"image"
    assert [entry.index for entry in loaded.entries] == [4, 5]
