"""Tests of the log in memory: truncation, compaction and configurations."""

from __future__ import annotations

import msgspec

from mothstall.store.raft.log import ENTRY_OVERHEAD_BYTES, UNKNOWN_TERM, RaftLog
from mothstall.store.raft.messages import Configuration, Entry, EntryKind, Snapshot
from tests.store.raft.factories import VOTERS, command

FIRST = Configuration(VOTERS)
SECOND = Configuration(VOTERS[:2], VOTERS[2:])


def _log() -> RaftLog:
    """Returns a log with commands at 1, 2 and 4 to 6, and a configuration at 3."""
    log = RaftLog(Snapshot(0, 0, FIRST, b""))
    for index in range(1, 7):
        if index == 3:
            data = msgspec.msgpack.encode(SECOND)
            log.append(Entry(index, 1, EntryKind.CONFIGURATION, data))
        else:
            log.append(command(index, 1))
    return log


def test_truncation_restores_the_configuration_before_the_removed_entries() -> None:
    log = _log()
    assert log.configuration == SECOND
    log.truncate_from(3)
    assert (log.last_index, log.configuration) == (2, FIRST)
    assert log.term_at(3) == UNKNOWN_TERM


def test_compaction_retains_entries_and_the_configuration_before_them() -> None:
    log = _log()
    log.compact(Snapshot(5, 1, SECOND, b"state"), 1)
    assert [entry.index for entry in log.entries] == [5, 6]
    assert (log.base_index, log.base_term) == (4, 1)
    assert log.configurations == [(4, SECOND)]


def test_batch_of_entries_is_limited_in_bytes_but_never_empty() -> None:
    log = _log()
    size_bytes = len(log.entries[0].data) + ENTRY_OVERHEAD_BYTES
    assert len(log.entries_from(1, 2 * size_bytes)) == 2
    assert len(log.entries_from(1, 1)) == 1
    assert log.entries_from(7) == ()
