"""Input that is buffered unparsed while a request is open."""

from __future__ import annotations

from mothstall.net.client_side.incomplete_request import PARSE_BYTES
from mothstall.net.client_side.pipelined_input import PipelinedInput, PipelinedInputBudget


def test_long_piece_stays_counted_until_its_last_part_is_taken() -> None:
    """Guards against pipelined input that the parser holds outside of the limit of all clients."""
    budget = PipelinedInputBudget(1 << 20)
    pipelined = PipelinedInput(budget)
    data = bytes(range(256)) * 256
    pipelined.append(data, 7)
    first, arrived_ns = pipelined.popleft(PARSE_BYTES)
    assert (len(first), arrived_ns) == (PARSE_BYTES, 7)
    assert budget.used_bytes == pipelined.byte_count == len(data) - PARSE_BYTES
    parts = [first]
    while pipelined.pieces:
        part, arrived_ns = pipelined.popleft(PARSE_BYTES)
        assert arrived_ns == 7
        parts.append(part)
    assert b"".join(parts) == data
    assert budget.used_bytes == pipelined.byte_count == 0
