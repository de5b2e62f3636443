"""The estimate of when a client may have written the last byte of a long body."""

from __future__ import annotations

import pytest

from mothstall.net.body_arrival import MAX_KERNEL_BYTES, QUIET_NS, SETTLE_NS, BodyArrival
from mothstall.net.body_relay import MAX_READ_BYTES

MS = 1_000_000


def test_waiting_for_more_input_shows_that_the_body_is_incomplete() -> None:
    arrival = BodyArrival(0, 500_000, is_drained=True)
    assert arrival.incomplete_ns(700 * MS) == 700 * MS
    arrival.on_read(1000, 800 * MS, 801 * MS)
    assert arrival.incomplete_ns(900 * MS) == 900 * MS


def test_body_that_is_paused_counts_from_the_pause() -> None:
    """Guards against counting from the end of a pause in which the client may have finished."""
    arrival = BodyArrival(0, 500_000, is_drained=True)
    arrival.on_paused(100 * MS)
    assert arrival.incomplete_ns(900 * MS) == 100 * MS


def test_full_reads_do_not_show_that_the_body_is_incomplete() -> None:
    arrival = BodyArrival(0, 5_000_000, is_drained=False)
    for ms in range(1, 50):
        arrival.on_read(MAX_READ_BYTES, ms * MS, ms * MS)
    assert arrival.incomplete_ns(60 * MS) == 0


def test_small_read_soon_after_a_long_pause_proves_nothing() -> None:
    """Guards against input that the client's kernel held back while reading was paused."""
    arrival = BodyArrival(0, 500_000, is_drained=True)
    arrival.on_paused(100 * MS)
    arrival.on_resumed(600 * MS)
    arrival.on_read(MAX_READ_BYTES, 601 * MS, 601 * MS)
    arrival.on_read(1000, 602 * MS, 602 * MS)
    assert arrival.incomplete_ns(603 * MS) == 100 * MS
    arrival.on_read(1000, 602 * MS, 600 * MS + SETTLE_NS)
    assert arrival.incomplete_ns(900 * MS) == 900 * MS


def test_small_first_read_after_a_pause_shows_that_the_client_was_not_blocked() -> None:
    arrival = BodyArrival(0, 500_000, is_drained=True)
    arrival.on_paused(100 * MS)
    arrival.on_resumed(101 * MS)
    arrival.on_read(1000, 101 * MS, 102 * MS)
    assert arrival.incomplete_ns(300 * MS) == 300 * MS


def test_more_than_the_kernels_hold_is_missing_from_an_incomplete_body() -> None:
    arrival = BodyArrival(0, MAX_KERNEL_BYTES + 2 * MAX_READ_BYTES, is_drained=False)
    arrival.on_paused(50 * MS)
    assert arrival.incomplete_ns(900 * MS) == 900 * MS
    arrival.on_resumed(950 * MS)
    for ms in (960, 970, 980):
        arrival.on_read(MAX_READ_BYTES, ms * MS, ms * MS)
    assert arrival.incomplete_ns(985 * MS) == 960 * MS


@pytest.mark.parametrize("max_read_bytes", [16 * 1024, MAX_READ_BYTES])
def test_input_after_a_quiet_time_has_just_been_written(max_read_bytes: int) -> None:
    """Guards against a body in lumps of full reads that counts as complete between them."""
    arrival = BodyArrival(0, 500_000, is_drained=False)
    for ms in (100, 200, 300):
        arrival.on_read(max_read_bytes, ms * MS, ms * MS, max_read_bytes)
        assert arrival.incomplete_ns(ms * MS + QUIET_NS // 2) == ms * MS
    assert arrival.incomplete_ns(300 * MS + QUIET_NS) == 300 * MS + QUIET_NS
    arrival.on_paused(310 * MS)
    assert arrival.incomplete_ns(900 * MS) == 300 * MS


def test_first_read_after_a_pause_says_nothing_about_its_client() -> None:
    """Guards against a deadline that moves with each pause of a backend that reads slowly."""
    arrival = BodyArrival(0, 500_000, is_drained=True)
    for ms in range(100, 2000, 100):
        arrival.on_paused(ms * MS)
        arrival.on_resumed((ms + 90) * MS)
        arrival.on_read(1000, (ms + 91) * MS, (ms + 91) * MS)
    assert arrival.incomplete_ns(2000 * MS) == 100 * MS


def test_time_of_a_complete_body_counts_from_when_its_last_part_arrived() -> None:
    arrival = BodyArrival(0, 2000, is_drained=True)
    arrival.on_read(2000, 500 * MS, 510 * MS)
    assert arrival.completed_ns is None
    arrival.on_complete(520 * MS)
    assert arrival.completed_ns == 520 * MS
    assert arrival.incomplete_ns(900 * MS) == 500 * MS
