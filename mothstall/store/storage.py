"""The durable log of a replica: entries, hard state and snapshot in one SQLite file.

Each record has a checksum, which is verified when the file is opened: no entry after a
damaged snapshot, or after a missing or damaged entry, is used, and a replica whose file is damaged
is marked as one that has lost promises. A write is one transaction (WAL, full sync); a failed write
changes nothing.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import xxhash

from mothstall.store.errors import StorageError
from mothstall.store.raft.messages import Configuration, Entry, EntryKind, HardState, Snapshot
from mothstall.store.raft.ready import Ready

FILE_MODE = 0o600  # read and written by the keeper's user alone
SIDE_FILE_SUFFIXES = ("-wal", "-shm")  # of the files that SQLite keeps next to the database

_TABLES = """
CREATE TABLE IF NOT EXISTS entries
    (idx INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, data BLOB, sum INTEGER);
CREATE TABLE IF NOT EXISTS hard (id INTEGER PRIMARY KEY, data BLOB, sum INTEGER);
CREATE TABLE IF NOT EXISTS snapshot (id INTEGER PRIMARY KEY, data BLOB, sum INTEGER);
CREATE TABLE IF NOT EXISTS owner (id INTEGER PRIMARY KEY, name TEXT, cluster TEXT);
"""


@dataclass(slots=True)
class LoadedLog:
    """The records that were read from a replica's file.

    Attributes:
        hard_state: Term and vote; marked as recovering if the file was damaged.
        snapshot: The newest snapshot; its index is 0 if there is none.
        entries: The intact entries after the snapshot, without a gap.
        damage: Description of the first record that cannot be used; empty if there is none.
    """

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    damage: str = ""


def checksum(*parts: bytes | int) -> int:
    """Returns the checksum of a record's columns, as it is stored with them."""
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part if isinstance(part, bytes) else part.to_bytes(8, "big"))
    return digest.intdigest() >> 1  # SQLite's integers are signed


class DiskLog:
    """The file of one replica, which is its only reader and writer.

    Attributes:
        path: The file.
    """

    def __init__(self, path: Path, *, before_commit: Callable[[], None] | None = None) -> None:
        """Prepares a log; `load` opens the file.

        Args:
            path: The file; its folder is created if it is missing.
            before_commit: Called before each commit; lets the lab delay a write or make it fail.
        """
        self.path = path
        self._before_commit = before_commit
        self._connection: sqlite3.Connection | None = None

    def load(self, name: str, cluster: str, initial_configuration: Configuration) -> LoadedLog:
        """Opens the file, or creates it if it is missing, and reads all records.

        A file that is not a database is renamed, and a new file is created whose replica is marked
        as recovering.

        Args:
            name: The replica; another replica's file is rejected.
            cluster: The cluster; another cluster's file is rejected.
            initial_configuration: The configuration of a replica that has no snapshot yet.

        Raises:
            StorageError: The file cannot be opened, or belongs to another replica.
        """
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self._connection = self._open()
            return self._read(name, cluster, initial_configuration)
        except StorageError:
            raise  # a StorageError is an OSError too, but its text already names the file
        except sqlite3.OperationalError as error:
            raise StorageError(f"{self.path}: {error}") from error
        except sqlite3.DatabaseError as error:
            return self._replace_damaged_file(name, cluster, initial_configuration, error)
        except OSError as error:
            raise StorageError(f"{self.path}: {error.strerror or error}") from error

    def write(self, ready: Ready) -> None:
        """Writes all records of `ready` in one transaction.

        Raises:
            StorageError: The write failed, and the file is unchanged.
        """
        database = self._database
        try:
            database.execute("BEGIN IMMEDIATE")
            self._write_records(ready)
            if self._before_commit:
                self._before_commit()
            database.execute("COMMIT")
        except (sqlite3.Error, OSError) as error:
            with contextlib.suppress(sqlite3.Error):
                database.execute("ROLLBACK")
            raise StorageError(f"{self.path}: {error}") from error

    def close(self) -> None:
        """Closes the file; the log can be loaded again."""
        if self._connection:
            self._connection.close()
            self._connection = None

    @property
    def _database(self) -> sqlite3.Connection:
        assert self._connection, "load() has to be called first"
        return self._connection

    # Opening and reading

    def _open(self) -> sqlite3.Connection:
        database = sqlite3.connect(
            self.path, isolation_level=None, check_same_thread=False, timeout=0.0
        )
        with contextlib.suppress(OSError):
            os.chmod(self.path, FILE_MODE)
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=FULL")
        database.executescript(_TABLES)
        return database

    def _replace_damaged_file(
        self,
        name: str,
        cluster: str,
        initial_configuration: Configuration,
        error: sqlite3.DatabaseError,
    ) -> LoadedLog:
        """Renames a file that is not a database, and creates a new one marked as recovering.

        Raises:
            StorageError: The new file cannot be written.
        """
        try:
            renamed = self._rename_damaged_file()
            self._connection = self._open()
            self._read(name, cluster, initial_configuration)
            loaded = LoadedLog(
                HardState(is_recovering=True), Snapshot(0, 0, initial_configuration, b"")
            )
            loaded.damage = f"{self.path}: {error}; the file is kept as {renamed}"
            self._write_hard_state(loaded.hard_state)
        except (sqlite3.Error, OSError) as second_error:
            reason = f"{self.path}: {second_error}, after {error}"
            raise StorageError(reason) from second_error
        return loaded

    def _rename_damaged_file(self) -> Path:
        """Renames the file to the first free name with the suffix `.damaged-N`."""
        if self._connection:
            self._connection.close()
        number = 1
        while self._damaged_path(number).exists():
            number += 1
        renamed = self._damaged_path(number)
        os.rename(self.path, renamed)
        for suffix in SIDE_FILE_SUFFIXES:
            with contextlib.suppress(FileNotFoundError):
                os.rename(f"{self.path}{suffix}", f"{renamed}{suffix}")
        return renamed

    def _damaged_path(self, number: int) -> Path:
        return self.path.with_suffix(f".damaged-{number}")

    def _read(self, name: str, cluster: str, initial_configuration: Configuration) -> LoadedLog:
        """Reads all records; if one is damaged, marks the replica and drops unusable entries."""
        self._check_owner(name, cluster)
        loaded = LoadedLog(HardState(), Snapshot(0, 0, initial_configuration, b""))
        self._read_hard_state(loaded)
        self._read_snapshot(loaded)
        self._read_entries(loaded)
        if loaded.damage:
            self._mark_recovering(loaded)
        return loaded

    def _check_owner(self, name: str, cluster: str) -> None:
        database = self._database
        row = database.execute("SELECT name, cluster FROM owner WHERE id = 1").fetchone()
        if row is None:
            database.execute("INSERT INTO owner VALUES (1, ?, ?)", (name, cluster))
        elif row != (name, cluster):
            raise StorageError(
                f"{self.path} belongs to {row[0]} of cluster {row[1]}, not to {name} of {cluster}"
            )

    def _read_hard_state(self, loaded: LoadedLog) -> None:
        row = self._database.execute("SELECT data, sum FROM hard WHERE id = 1").fetchone()
        if row is None:
            return
        data, stored_checksum = row
        if checksum(data) == stored_checksum:
            loaded.hard_state = msgspec.msgpack.decode(data, type=HardState)
        else:
            loaded.damage = "the record of term and vote is damaged"

    def _read_snapshot(self, loaded: LoadedLog) -> None:
        database = self._database
        row = database.execute("SELECT data, sum FROM snapshot WHERE id = 1").fetchone()
        if row is None:
            return
        data, stored_checksum = row
        if checksum(data) == stored_checksum:
            loaded.snapshot = msgspec.msgpack.decode(data, type=Snapshot)
            return
        loaded.damage = "the snapshot is damaged"
        database.execute("DELETE FROM snapshot")
        database.execute("DELETE FROM entries")

    def _read_entries(self, loaded: LoadedLog) -> None:
        """Reads the entries after the snapshot, up to the first that is missing or damaged."""
        last_index = loaded.snapshot.last_included_index
        rows = self._database.execute(
            "SELECT idx, term, kind, data, sum FROM entries WHERE idx > ? ORDER BY idx",
            (last_index,),
        )
        for index, term, kind, data, stored_checksum in rows:
            if index != last_index + 1:
                loaded.damage = loaded.damage or f"entry {last_index + 1} is missing"
                return
            if checksum(index, term, kind, data) != stored_checksum:
                loaded.damage = loaded.damage or f"entry {index} is damaged"
                return
            loaded.entries.append(Entry(index, term, EntryKind(kind), data))
            last_index = index

    def _mark_recovering(self, loaded: LoadedLog) -> None:
        """Marks the replica as recovering, and deletes the entries that were not loaded.

        Guards against a second vote in a term: a replica that lost records has lost promises.
        """
        loaded.hard_state = msgspec.structs.replace(loaded.hard_state, is_recovering=True)
        last_index = loaded.snapshot.last_included_index + len(loaded.entries)
        self._database.execute("DELETE FROM entries WHERE idx > ?", (last_index,))
        self._write_hard_state(loaded.hard_state)

    # Writing

    def _write_records(self, ready: Ready) -> None:
        """Writes snapshots, entries and hard state inside the transaction."""
        for snapshot in (ready.snapshot, ready.compacted_snapshot):
            if snapshot:
                self._write_snapshot(snapshot)
        if ready.snapshot:
            self._database.execute("DELETE FROM entries")
        if ready.entries:
            self._write_entries(ready.entries)
        if ready.compacted_snapshot:
            compacted_index = ready.compacted_snapshot.last_included_index
            self._database.execute("DELETE FROM entries WHERE idx <= ?", (compacted_index,))
        if ready.hard_state:
            self._write_hard_state(ready.hard_state)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        data = msgspec.msgpack.encode(snapshot)
        self._database.execute(
            "INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?)", (data, checksum(data))
        )

    def _write_entries(self, entries: list[Entry]) -> None:
        """Writes entries, which replace all stored ones from the index of the first on."""
        self._database.execute("DELETE FROM entries WHERE idx >= ?", (entries[0].index,))
        self._database.executemany(
            "INSERT INTO entries VALUES (?, ?, ?, ?, ?)", [_entry_row(entry) for entry in entries]
        )

    def _write_hard_state(self, hard_state: HardState) -> None:
        data = msgspec.msgpack.encode(hard_state)
        self._database.execute(
            "INSERT OR REPLACE INTO hard VALUES (1, ?, ?)", (data, checksum(data))
        )


def _entry_row(entry: Entry) -> tuple[int, int, int, bytes, int]:
    kind = int(entry.kind)
    entry_checksum = checksum(entry.index, entry.term, kind, entry.data)
    return entry.index, entry.term, kind, entry.data, entry_checksum
