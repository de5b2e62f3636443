"""Reads a stopped replica's file without changing it, for operators' tools."""

from __future__ import annotations

import contextlib
import sqlite3
from dataclasses import dataclass
from pathlib import Path

import msgspec

from mothstall.store.raft.messages import Configuration, EntryKind, HardState, Snapshot
from mothstall.store.state.machine import StateMachine
from mothstall.store.state.rows import Drain, Lease, StoredValue
from mothstall.store.storage import checksum

_LOCK_WAIT_S = 1.0  # how long to wait for a keeper that has the file open to release it


@dataclass(frozen=True, slots=True)
class StorageSummary:
    """The contents of a replica's file; the field names are the keys of `keepers dump --json`.

    Attributes:
        hard: Term and vote.
        snapshot: Index of the last entry that the snapshot contains; 0 if there is no snapshot.
        members: The configuration in the snapshot.
        last: Index of the last entry of the log.
        version: Version of the state with all entries applied, including uncommitted ones.
        leases: All leases of that state.
        drains: All drains of that state.
        entries: All values of that state.
    """

    hard: HardState
    snapshot: int
    members: Configuration
    last: int
    version: int
    leases: list[Lease]
    drains: list[Drain]
    entries: list[StoredValue]


def find_damage(path: Path) -> str:
    """Returns a description of the first damage in a replica's file; empty if it is intact."""
    if not path.exists():
        return f"{path}: no such file"
    try:
        with contextlib.closing(_open_read_only(path)) as database:
            damage = _damaged_record(database) or _damaged_entry(database)
    except sqlite3.Error as error:
        return f"{path}: {error}"
    return f"{path}: {damage}" if damage else ""


def _open_read_only(path: Path) -> sqlite3.Connection:
    return sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=_LOCK_WAIT_S)


def _damaged_record(database: sqlite3.Connection) -> str:
    """Returns which record, hard state or snapshot, is damaged; empty if both are intact."""
    for table in ("hard", "snapshot"):
        for data, stored_checksum in database.execute(f"SELECT data, sum FROM {table}"):
            if checksum(data) != stored_checksum:
                return f"the {table} record is damaged"
    return ""


def _damaged_entry(database: sqlite3.Connection) -> str:
    """Returns which entry is the first damaged or missing one; empty if there is none."""
    last_index: int | None = None
    rows = database.execute("SELECT * FROM entries ORDER BY idx")
    for index, term, kind, data, stored_checksum in rows:
        if checksum(index, term, kind, data) != stored_checksum:
            return f"entry {index} is damaged"
        if last_index is not None and index != last_index + 1:
            return f"entry {last_index + 1} is missing"
        last_index = index
    return ""


def read_summary(path: Path) -> StorageSummary:
    """Returns the contents of a stopped replica's file, with its entries applied to its snapshot.

    Raises:
        sqlite3.Error: The file cannot be read; `find_damage` returns the reason.
    """
    with contextlib.closing(_open_read_only(path)) as database:
        hard_row = database.execute("SELECT data FROM hard").fetchone()
        snapshot_row = database.execute("SELECT data FROM snapshot").fetchone()
        entry_rows = database.execute("SELECT idx, kind, data FROM entries ORDER BY idx").fetchall()
    hard_state = HardState()
    if hard_row:
        hard_state = msgspec.msgpack.decode(hard_row[0], type=HardState)
    snapshot = Snapshot(0, 0, Configuration(), b"")
    if snapshot_row:
        snapshot = msgspec.msgpack.decode(snapshot_row[0], type=Snapshot)
    state = StateMachine.from_snapshot(snapshot.data)
    for index, kind, data in entry_rows:
        if kind == EntryKind.COMMAND and index > snapshot.last_included_index:
            state.apply(index, data)
    return StorageSummary(
        hard=hard_state,
        snapshot=snapshot.last_included_index,
        members=snapshot.configuration,
        last=entry_rows[-1][0] if entry_rows else snapshot.last_included_index,
        version=state.version,
        leases=list(state.leases.values()),
        drains=list(state.drains.values()),
        entries=list(state.values.values()),
    )
