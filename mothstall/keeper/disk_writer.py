"""Writes a replica's log on a separate thread."""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor

from mothstall.store.errors import StorageError
from mothstall.store.raft.ready import Ready
from mothstall.store.storage import DiskLog, LoadedLog

log = logging.getLogger("mothstall.keeper")


class DiskWriter:
    """Writes to the disk log without blocking the event loop, and retries until a write succeeds.

    Attributes:
        status: The fault of the disk as shown to operators; empty if there is no fault.
        has_write_error: Whether the last write failed.
    """

    def __init__(
        self, name: str, disk: DiskLog, counts: dict[str, int], retry_s: float, slow_ms: int
    ) -> None:
        """Initialize a writer.

        Args:
            name: The keeper's name, for its log lines.
            disk: The log; its `load` has to be called before the first write.
            counts: `writes`, `writes_failed` and `slowest_write_ms` are counted here.
            retry_s: Pause after a failed write.
            slow_ms: A write that takes at least this long is logged.
        """
        self.status = ""
        self.has_write_error = False
        self._name = name
        self._disk = disk
        self._counts = counts
        self._retry_s = retry_s
        self._slow_ms = slow_ms
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._is_stopped = False

    def report_damage(self, loaded: LoadedLog) -> None:
        """Log damage that was found while the log was loaded, and show it in the status."""
        if loaded.damage:
            self.status = loaded.damage
            log.error("log damaged: returns as a learner", extra={"kv": {"damage": loaded.damage}})

    async def write(self, ready: Ready) -> bool:
        """Write `ready`, and retry until the write succeeds.

        Messages that depend on the write may be sent only after it.

        Returns:
            False if the writer was stopped before or during the write.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while not self._is_stopped:
            try:
                await loop.run_in_executor(self._thread, self._disk.write, ready)
            except StorageError as error:
                self._on_failed(error)
                # The messages would be sent too late: by then clients use another keeper.
                ready.messages = []
                await asyncio.sleep(self._retry_s)
            else:
                self._on_succeeded()
                break
        if self._is_stopped:
            return False
        self._record_duration(round((loop.time() - began_s) * 1000))
        return True

    async def stop(self) -> None:
        """Close the log after the write in progress."""
        self._is_stopped = True
        await asyncio.get_running_loop().run_in_executor(self._thread, self._disk.close)
        self._thread.shutdown()

    def _on_succeeded(self) -> None:
        self._counts["writes"] += 1
        if self.has_write_error:
            self.has_write_error = False
            self.status = ""
            log.info("writing again", extra={"kv": {"name": self._name}})

    def _on_failed(self, error: StorageError) -> None:
        self._counts["writes_failed"] += 1
        if not self.status:
            log.error("cannot write: nothing is acknowledged", extra={"kv": {"reason": error}})
        self.status = f"cannot write: {error}"
        self.has_write_error = True

    def _record_duration(self, duration_ms: int) -> None:
        self._counts["slowest_write_ms"] = max(self._counts["slowest_write_ms"], duration_ms)
        if duration_ms >= self._slow_ms:
            log.warning("slow disk", extra={"kv": {"name": self._name, "write_ms": duration_ms}})
