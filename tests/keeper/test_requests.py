"""Pending requests and reads of a keeper's clients."""

from __future__ import annotations

from typing import cast

from mothstall.keeper.pending_reads import PendingReads
from mothstall.keeper.requests import RequestTable
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.raft.ready import ReadState


def make_connection() -> FrameConnection:
    return cast(FrameConnection, object())  # the table only compares connections


def new_table() -> tuple[RequestTable, dict[str, int]]:
    counts = {"calls": 0, "calls_again": 0}
    return RequestTable(counts), counts


def test_repeated_request_keeps_its_caller_id_and_is_counted_separately() -> None:
    table, counts = new_table()
    connection = make_connection()
    caller_id = table.register(connection, 7)
    assert table.register(connection, 7) == caller_id == table.find(connection, 7)
    assert counts == {"calls": 1, "calls_again": 1}


def test_same_request_id_of_two_clients_gets_two_caller_ids() -> None:
    table, _ = new_table()
    first = make_connection()
    second = make_connection()
    assert table.register(first, 1) != table.register(second, 1)


def test_request_is_removed_once() -> None:
    table, _ = new_table()
    connection = make_connection()
    caller_id = table.register(connection, 7)
    request = table.remove(caller_id)
    assert request is not None
    assert request.connection is connection and request.request_id == 7
    assert table.remove(caller_id) is None and table.find(connection, 7) == 0


def test_closing_a_connection_removes_all_its_requests() -> None:
    table, _ = new_table()
    first = make_connection()
    second = make_connection()
    caller_ids = [table.register(first, 1), table.register(first, 2)]
    other = table.register(second, 1)
    assert table.remove_connection(first) == caller_ids
    assert table.remove(caller_ids[0]) is None and table.find(second, 1) == other


def test_read_is_ready_once_its_index_is_applied() -> None:
    reads = PendingReads()
    early = ReadState(context=reads.add(11), index=5)
    late = ReadState(context=reads.add(12), index=9)
    reads.confirm([late, early])
    assert reads.take_ready(4) == []
    assert reads.take_ready(5) == [11]
    assert reads.take_ready(20) == [12] and len(reads) == 0


def test_cancelled_read_is_never_ready() -> None:
    reads = PendingReads()
    read = ReadState(context=reads.add(11), index=5)
    reads.cancel(11)
    reads.confirm([read])
    assert reads.take_ready(5) == []
