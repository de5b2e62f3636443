"""Tests of the requests in flight on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from mothstall.fleet.agent.pending_requests import PendingRequests
from mothstall.store.protocol.keeper_messages import AdminResponse


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    event_loop = asyncio.new_event_loop()
    yield event_loop
    event_loop.close()


def test_response_goes_to_the_request_of_its_number(loop: asyncio.AbstractEventLoop) -> None:
    pending = PendingRequests(loop)
    first_number, first = pending.open()
    second_number, second = pending.open()

    pending.resolve(AdminResponse(second_number, ""))

    assert first_number != second_number
    assert second.result() == AdminResponse(second_number, "")
    assert not first.done()


def test_response_that_nobody_waits_for_is_dropped(loop: asyncio.AbstractEventLoop) -> None:
    pending = PendingRequests(loop)
    number, response = pending.open()
    pending.close(number)

    pending.resolve(AdminResponse(number, ""))

    assert not response.done()


def test_lost_connection_fails_every_request_in_flight(loop: asyncio.AbstractEventLoop) -> None:
    pending = PendingRequests(loop)
    responses = [pending.open()[1] for _ in range(2)]

    pending.fail_all("closed by the other side")

    for response in responses:
        with pytest.raises(ConnectionResetError, match="closed by the other side"):
            response.result()
