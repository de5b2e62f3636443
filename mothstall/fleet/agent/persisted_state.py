"""State that a proxy persists across restarts: local drains and the highest fencing tokens seen."""

from __future__ import annotations

import asyncio
import logging
import os
from pathlib import Path

import msgspec

from mothstall.fleet.leases.fencing import FencingTokens
from mothstall.store.state.rows import Drain, drain_key

log = logging.getLogger("mothstall.fleet")

# Bounds the memory and time that a damaged file can cost.
MAX_FILE_BYTES = 4 * 1024 * 1024


class PersistedState(msgspec.Struct, forbid_unknown_fields=False):
    """The content of the file."""

    drains: list[Drain] = []
    tokens: dict[str, int] = {}


class PersistedStateFile:
    """One small file, replaced atomically: a crash leaves the old one or the new one."""

    def __init__(self, directory: str | None, name: str) -> None:
        self._path = Path(directory) / f"{name}.agent" if directory else None

    @property
    def is_configured(self) -> bool:
        """Whether there is a directory to persist the state in."""
        return self._path is not None

    def load(self) -> PersistedState:
        """Return what was saved last, or an empty state.

        Raises:
            OSError: The file cannot be read.
            ValueError: The file is invalid or too large; the message is one line.
        """
        if self._path is None or not self._path.exists():
            return PersistedState()
        if self._path.stat().st_size > MAX_FILE_BYTES:
            raise ValueError(f"{self._path}: more than {MAX_FILE_BYTES} bytes")
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=PersistedState)
        except (msgspec.DecodeError, ValueError) as error:
            raise ValueError(f"{self._path}: {error}") from error

    def save(self, data: bytes) -> None:
        """Write the file; it is on disk when this returns.

        Raises:
            OSError: It cannot be written.
        """
        if self._path is None:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        new_path = self._path.with_suffix(".new")
        with open(new_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self._path)
        directory = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)


class LocalState:
    """The state of a single agent, in memory and on disk.

    Attributes:
        drains: Drains that were requested here and that the store does not have yet, by
            `drain_key`.
        fencing_tokens: The highest token seen of each lease whose owner sent requests here.
    """

    def __init__(self, directory: str | None, name: str, loop: asyncio.AbstractEventLoop) -> None:
        """Load the saved state; raises OSError or ValueError as `PersistedStateFile.load` does."""
        self._file = PersistedStateFile(directory, name)
        self._loop = loop
        self._save_lock = asyncio.Lock()
        loaded = self._file.load()
        self.drains = {drain_key(drain.kind, drain.name): drain for drain in loaded.drains}
        self.fencing_tokens = FencingTokens(highest=dict(loaded.tokens))

    async def save(self) -> str:
        """Save the state, if there is a directory; return why that failed, empty: it did not."""
        if not self._file.is_configured:
            return ""
        async with self._save_lock:
            state = PersistedState(list(self.drains.values()), dict(self.fencing_tokens.highest))
            data = msgspec.json.encode(state)
            try:
                await self._loop.run_in_executor(None, self._file.save, data)
            except OSError as error:
                return f"cannot be kept: {error.strerror or error}"
        return ""

    async def save_or_log(self) -> None:
        """Save the state, and log a failure."""
        reason = await self.save()
        if reason:
            log.error("state not persisted", extra={"kv": {"reason": reason}})
