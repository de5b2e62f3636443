"""The table of client connection transitions matches the code."""

from __future__ import annotations

import ast
import asyncio
from pathlib import Path

from mothstall.net import client_side
from mothstall.net.client_side.connection_states import (
    STATE_TIMEOUT_S,
    TRANSITIONS,
    ConnectionState,
)
from tests.net.conftest import Edge
from tests.peers import request_bytes, respond_ok, rig

SOURCES = sorted(Path(client_side.__path__[0]).glob("*.py"))
S = ConnectionState


def states_that_the_code_enters() -> set[str]:
    """Return the states named in calls that change a connection's state."""
    entering = {"enter", "begin", "submit_request", "open_as"}
    names = set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                if node.func.attr in entering:
                    arguments = [*node.args, *(keyword.value for keyword in node.keywords)]
                    names |= {name for a in arguments if (name := state_name(a)) is not None}
            elif isinstance(node, ast.FunctionDef) and node.name in entering:
                names |= {name for d in node.args.defaults if (name := state_name(d)) is not None}
    return names


def state_name(node: ast.expr) -> str | None:
    """Return `X` of an expression `ConnectionState.X`."""
    if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
        return node.attr if node.value.id == "ConnectionState" else None
    return None


def test_transitions_lead_to_exactly_the_states_that_the_code_enters() -> None:
    assert states_that_the_code_enters() == {row.target.name for row in TRANSITIONS}


def test_every_state_can_be_entered_and_all_but_the_closing_ones_left() -> None:
    assert {row.target for row in TRANSITIONS} == set(S)
    assert {row.source for row in TRANSITIONS} - {None} == set(S) - {S.LINGERING, S.REJECTED}


def test_each_transition_is_listed_once() -> None:
    edges = [(row.source, row.target) for row in TRANSITIONS]
    assert len(edges) == len(set(edges))


def test_states_without_a_timeout_are_checked_in_another_way() -> None:
    checked_elsewhere = {
        S.AWAITING_RESPONSE,
        S.PENALIZED,
        S.UPLOADING,
        S.RELAYING,
        S.DISCARDING_BODY,
    }
    assert set(S) - set(STATE_TIMEOUT_S) == checked_elsewhere


def test_request_passes_through_the_states_in_order(state_changes: list[Edge]) -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            client.writer.write(request_bytes("order", body=b"x" * 9)[:-3])
            by_state = r.proxy._frontend.table.by_state
            await r.until(lambda: bool(by_state[S.READING_BODY]))
            client.writer.write(b"xxx")
            assert (await client.read()).status == 200
            await r.until(lambda: bool(by_state[S.IDLE]))

    asyncio.run(run())
    assert state_changes[:5] == [
        (None, S.NEW),
        (S.NEW, S.READING_HEAD),
        (S.READING_HEAD, S.READING_BODY),
        (S.READING_BODY, S.AWAITING_RESPONSE),
        (S.AWAITING_RESPONSE, S.IDLE),
    ]


def test_transition_missing_from_the_table_is_detected(state_changes: list[Edge]) -> None:
    edges = {(row.source, row.target) for row in TRANSITIONS if row.target is not S.PENALIZED}

    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            client.writer.write(request_bytes(omit=("X-Txn",)))
            assert (await client.read()).status == 400

    asyncio.run(run())
    assert not set(state_changes) <= edges
