"""Failed and slow writes of a keeper's disk, and the disk faults that the lab injects."""

from __future__ import annotations

import asyncio
import errno
import logging
from pathlib import Path

import pytest

from mothstall.keeper.disk_writer import DiskWriter
from mothstall.keeper.run import DiskFault, disk_fault_hook
from mothstall.store.errors import StorageError
from mothstall.store.raft.messages import Configuration, HardState, Snapshot, TimeoutNow
from mothstall.store.raft.ready import Ready
from mothstall.store.storage import DiskLog, LoadedLog


class FailingDisk(DiskLog):
    """A log that stores nothing and whose first writes fail."""

    def __init__(self, failures: int) -> None:
        super().__init__(Path("unused"))
        self.failures = failures
        self.writes = 0

    def write(self, ready: Ready) -> None:
        self.writes += 1
        if self.writes <= self.failures:
            raise StorageError("disk is full")

    def close(self) -> None:
        pass


def new_counts() -> dict[str, int]:
    return dict.fromkeys(("writes", "writes_failed", "slowest_write_ms"), 0)


def make_writer(disk: DiskLog, counts: dict[str, int], slow_ms: int = 60_000) -> DiskWriter:
    return DiskWriter("k1", disk, counts, 0.01, slow_ms)


def test_failed_write_is_repeated_until_it_succeeds_and_its_messages_are_dropped(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        caplog.set_level(logging.INFO)
        counts = new_counts()
        writer = make_writer(FailingDisk(failures=2), counts)
        ready = Ready(messages=[TimeoutNow(sender="k1", recipient="k2", term=1)])
        assert await writer.write(ready)
        assert counts["writes"] == 1 and counts["writes_failed"] == 2
        assert not ready.messages
        assert writer.status == "" and not writer.has_write_error
        events = [row.getMessage() for row in caplog.records]
        assert events == ["cannot write: nothing is acknowledged", "writing again"]
        await writer.stop()

    asyncio.run(scenario())


def test_status_contains_the_write_error_and_stop_ends_the_retries() -> None:
    async def scenario() -> None:
        writer = make_writer(FailingDisk(failures=1_000_000), new_counts())
        write_task = asyncio.create_task(writer.write(Ready()))
        async with asyncio.timeout(20):
            while not writer.has_write_error:
                await asyncio.sleep(0.01)
            assert writer.status == "cannot write: disk is full"
            await writer.stop()
            assert not await write_task

    asyncio.run(scenario())


def test_successful_write_keeps_its_messages_and_the_status_of_a_damaged_log() -> None:
    async def scenario() -> None:
        writer = make_writer(FailingDisk(failures=0), new_counts())
        snapshot = Snapshot(0, 0, Configuration(("k1",)), b"")
        writer.report_damage(LoadedLog(HardState(), snapshot, damage="entry 7 is damaged"))
        ready = Ready(messages=[TimeoutNow(sender="k1", recipient="k2", term=1)])
        assert await writer.write(ready)
        assert len(ready.messages) == 1 and writer.status == "entry 7 is damaged"
        await writer.stop()

    asyncio.run(scenario())


def test_slow_write_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        writer = make_writer(FailingDisk(failures=0), new_counts(), slow_ms=0)
        assert await writer.write(Ready())
        assert [row.getMessage() for row in caplog.records] == ["slow disk"]
        await writer.stop()

    asyncio.run(scenario())


def test_disk_fault_full_raises_the_error_of_a_full_disk(tmp_path: Path) -> None:
    fault_file = tmp_path / "switch"
    fault_file.write_text(f"{DiskFault.FULL}\n")
    with pytest.raises(OSError, match="full") as raised:
        disk_fault_hook(fault_file)()
    assert raised.value.errno == errno.ENOSPC


@pytest.mark.parametrize("content", [None, DiskFault.SLOW, "unknown"])
def test_other_disk_faults_let_the_commit_pass(tmp_path: Path, content: str | None) -> None:
    fault_file = tmp_path / "switch"
    if content is not None:
        fault_file.write_text(content)
    disk_fault_hook(fault_file)()


def test_disk_fault_stall_holds_a_commit_until_the_file_is_gone(tmp_path: Path) -> None:
    async def scenario() -> None:
        fault_file = tmp_path / "switch"
        fault_file.write_text(DiskFault.STALL)
        commit = asyncio.create_task(asyncio.to_thread(disk_fault_hook(fault_file)))
        await asyncio.sleep(0.1)
        assert not commit.done()
        fault_file.unlink()
        async with asyncio.timeout(20):
            await commit

    asyncio.run(scenario())
