"""The tasks of an observer; it must not continue without the essential ones."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from mothstall.fleet.agent.task_supervisor import TaskSupervisor


class ObserverTasks(TaskSupervisor):
    """Runs an observer's tasks, and reports the end of an essential one."""

    log = logging.getLogger("mothstall.observer")
    failure_event = "observer task failed"

    def __init__(self, on_essential_failed: Callable[[str], None]) -> None:
        """Call `on_essential_failed`, with the exception's text, when an essential task ends."""
        super().__init__(asyncio.get_running_loop())
        self._on_essential_failed = on_essential_failed
        self._is_stopping = False

    @property
    def is_stopping(self) -> bool:
        """Whether the process is stopping, so that no new work may start."""
        return self._is_stopping

    def spawn_essential(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine whose end stops the process.

        Guards against an observer that keeps its lease but does only a part of its work.
        """
        self.spawn(work).add_done_callback(self._on_essential_done)

    def cancel(self) -> None:
        """Cancel all tasks; the end of an essential task is no longer reported."""
        self._is_stopping = True
        super().cancel()

    def _on_essential_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and not self._is_stopping:
            self._on_essential_failed(repr(task.exception()))
