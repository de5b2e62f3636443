"""Tests of the exception hierarchy."""

from __future__ import annotations

import pytest

from mothstall.store.errors import FrameError, SnapshotError, StorageError, StoreError


@pytest.mark.parametrize(
    ("error", "built_in_base"),
    [(FrameError, ValueError), (SnapshotError, ValueError), (StorageError, OSError)],
)
def test_a_store_error_is_also_a_built_in_exception(
    error: type[Exception], built_in_base: type[Exception]
) -> None:
    assert issubclass(error, StoreError)
    assert issubclass(error, built_in_base)
    assert str(error("one line")) == "one line"
