"""The log of a replica in memory: the entries after a snapshot. Pure."""

from __future__ import annotations

import msgspec

from mothstall.store.raft.messages import Configuration, Entry, EntryKind, Snapshot

UNKNOWN_TERM = -1  # stands for the term of an entry that is not in the log
UNLIMITED_BYTES = 1 << 30  # more than all entries of a log in memory
ENTRY_OVERHEAD_BYTES = 24  # an upper estimate of an entry's encoded size without its data


class RaftLog:
    """Entries after a snapshot, and the configurations that apply from each index on.

    Attributes:
        snapshot: The newest snapshot; entries before its end may remain for slow followers.
        entries: The entries in memory, the first one at `base_index + 1`.
        base_index: Index of the entry before the first one in memory.
        base_term: Term of that entry.
        configurations: Pairs of an index and the configuration from there on; the last applies now.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self.base_index = snapshot.last_included_index
        self.base_term = snapshot.last_included_term
        self.configurations = [(snapshot.last_included_index, snapshot.configuration)]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """The newest configuration, which applies whether it is committed or not (Raft, 6)."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the entry that holds the newest configuration."""
        return self.configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration that applied at `index`."""
        return [configuration for since, configuration in self.configurations if since <= index][-1]

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or `UNKNOWN_TERM` where it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return UNKNOWN_TERM

    def entries_from(self, index: int, max_bytes: int = UNLIMITED_BYTES) -> tuple[Entry, ...]:
        """Return the entries from `index` on that fit into `max_bytes`.

        The first entry is returned even if it alone is larger.
        """
        batch: list[Entry] = []
        size_bytes = 0
        for position in range(index - self.base_index - 1, len(self.entries)):
            entry = self.entries[position]
            size_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entry: Entry) -> None:
        """Append an entry; a configuration in it applies at once."""
        self.entries.append(entry)
        if entry.kind == EntryKind.CONFIGURATION:
            configuration = msgspec.msgpack.decode(entry.data, type=Configuration)
            self.configurations.append((entry.index, configuration))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, and the configurations in them."""
        del self.entries[index - self.base_index - 1 :]
        while len(self.configurations) > 1 and self.configuration_index >= index:
            self.configurations.pop()

    def compact(self, snapshot: Snapshot, retained_entries: int) -> None:
        """Replace the entries that a snapshot covers by the snapshot.

        Args:
            snapshot: The state after an applied entry.
            retained_entries: Number of covered entries to keep for followers that lag slightly.
        """
        self.snapshot = snapshot
        new_base = max(self.base_index, snapshot.last_included_index - retained_entries)
        new_base_term = self.term_at(new_base)
        base_configuration = self.configuration_at(new_base)
        del self.entries[: new_base - self.base_index]
        self.base_index = new_base
        self.base_term = new_base_term
        later_configurations = [row for row in self.configurations if row[0] > new_base]
        self.configurations = [(new_base, base_configuration), *later_configurations]
