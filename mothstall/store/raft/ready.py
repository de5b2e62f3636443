"""The records, messages and entries that the shell writes, sends and applies. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from mothstall.store.raft.messages import Entry, HardState, Message, Snapshot


@dataclass(slots=True, frozen=True)
class ReadState:
    """A read that may be served once the entry `index` has been applied.

    Attributes:
        context: The identifier that the caller chose for the read.
        index: The read index (thesis, 6.4).
    """

    context: int
    index: int


@dataclass(slots=True)
class Ready:
    """Records to write (snapshot, entries, hard state), then messages to send and entries to apply.

    Attributes:
        hard_state: The new term and vote; None if both are unchanged.
        snapshot: A snapshot from the leader, which replaces the complete log on disk.
        compacted_snapshot: A snapshot of the own state; entries up to its end may be deleted.
        entries: Entries to write; they replace all on disk from the index of the first one on.
        messages: Messages to send after the write.
        committed_entries: Entries to apply, in log order.
        read_states: Reads that may be served once their index is applied.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    compacted_snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    committed_entries: list[Entry] = field(default_factory=list)
    read_states: list[ReadState] = field(default_factory=list)

    @property
    def needs_write(self) -> bool:
        """Whether anything is to be written to disk."""
        return bool(self.hard_state or self.snapshot or self.compacted_snapshot or self.entries)
