"""Decoding of stored health hints."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.probing.health_hint import HealthHint, decode_health_hint


@given(st.binary(max_size=2000))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    found = decode_health_hint(data)
    assert found is None or isinstance(found, HealthHint)
