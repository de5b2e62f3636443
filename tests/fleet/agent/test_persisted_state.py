"""Tests of the state that an agent persists across restarts."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mothstall.fleet.agent import persisted_state
from mothstall.fleet.agent.persisted_state import LocalState, PersistedStateFile
from mothstall.store.state.rows import Drain, DrainKind, drain_key

DRAIN = Drain(DrainKind.BACKEND, "b1", "ann", "", "fan")
KEY = drain_key(DRAIN.kind, DRAIN.name)


async def load(directory: Path | None) -> LocalState:
    folder = str(directory) if directory else None
    return LocalState(folder, "p1", asyncio.get_running_loop())


def test_saved_drains_and_tokens_are_restored_after_a_restart(tmp_path: Path) -> None:
    async def scenario() -> LocalState:
        state = await load(tmp_path)
        state.drains[KEY] = DRAIN
        assert not state.fencing_tokens.admit("zones/plan", 9)
        assert not await state.save()
        return await load(tmp_path)

    restarted = asyncio.run(scenario())

    assert restarted.drains == {KEY: DRAIN}
    assert "older" in restarted.fencing_tokens.admit("zones/plan", 8)


def test_without_a_folder_saving_does_nothing_and_succeeds() -> None:
    async def scenario() -> str:
        return await (await load(None)).save()

    assert asyncio.run(scenario()) == ""


def test_failure_to_save_is_returned_with_its_reason(tmp_path: Path) -> None:
    occupied = tmp_path / "file"
    occupied.write_text("")

    async def scenario() -> str:
        return await (await load(occupied / "folder")).save()

    assert asyncio.run(scenario()).startswith("cannot be kept: ")


@pytest.mark.parametrize("content", [b"no json", b"[]", b'{"drains": 1}'])
def test_invalid_file_is_rejected_with_its_path(tmp_path: Path, content: bytes) -> None:
    (tmp_path / "p1.agent").write_bytes(content)

    with pytest.raises(ValueError, match=r"p1\.agent"):
        PersistedStateFile(str(tmp_path), "p1").load()


def test_file_beyond_the_size_limit_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "p1.agent").write_bytes(b" " * (persisted_state.MAX_FILE_BYTES + 1))

    with pytest.raises(ValueError, match="more than"):
        PersistedStateFile(str(tmp_path), "p1").load()
