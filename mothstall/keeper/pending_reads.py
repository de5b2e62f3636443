"""Linearizable reads that wait until their Raft read index is applied. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from mothstall.store.raft.ready import ReadState


class PendingReads:
    """Tracks the callers of reads by the context of their read index request."""

    def __init__(self) -> None:
        self._callers: dict[int, int] = {}  # by context
        self._contexts: dict[int, int] = {}  # by caller
        self._confirmed: list[ReadState] = []
        self._last_context = 0

    def __len__(self) -> int:
        return len(self._callers)

    def add(self, caller: int) -> int:
        """Add a caller; return the context for its read index request."""
        self._last_context += 1
        self._callers[self._last_context] = caller
        self._contexts[caller] = self._last_context
        return self._last_context

    def cancel(self, caller: int) -> None:
        """Remove a caller."""
        context = self._contexts.pop(caller, None)
        if context is not None:
            self._callers.pop(context, None)

    def confirm(self, read_states: Iterable[ReadState]) -> None:
        """Add read indexes that Raft has confirmed."""
        self._confirmed += read_states

    def take_ready(self, applied: int) -> list[int]:
        """Remove and return the callers whose read index is at most `applied`."""
        ready = [read for read in self._confirmed if read.index <= applied]
        self._confirmed = [read for read in self._confirmed if read.index > applied]
        callers = []
        for read in ready:
            caller = self._callers.pop(read.context, None)
            if caller is not None:
                self._contexts.pop(caller, None)
                callers.append(caller)
        return callers
