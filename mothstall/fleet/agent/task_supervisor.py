"""The background tasks of one agent or observer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("mothstall.fleet")


class TaskSupervisor:
    """Runs tasks until they end or are all cancelled, and logs each that fails.

    A subclass may log under its own process's name.
    """

    log = log
    failure_event = "agent task failed"

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run `work` in a task of its own, and return the task."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def cancel_all(self) -> None:
        """Cancel all tasks, and wait for their end."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error:
            kv = {"error": repr(error)}
            self.log.error(self.failure_event, extra={"kv": kv}, exc_info=error)
