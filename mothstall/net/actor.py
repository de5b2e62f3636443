"""An actor: private state, and a mailbox whose messages the event loop delivers in batches."""

from __future__ import annotations

import asyncio
import logging
from typing import Generic, TypeVar

from mothstall.net.counters import Counters
from mothstall.net.invariants import check_invariant

log = logging.getLogger("mothstall.actor")

M = TypeVar("M")
MAX_MAILBOX = 65_536  # messages; the descriptor budget bounds their number: more are a bug


class Actor(Generic[M]):
    """Base of all actors: `tell` queues a message, `receive` handles all queued messages.

    Attributes:
        name: Name of the actor in the log.
        loop: The event loop that delivers the mailbox.
        counters: Counts exceptions raised by `receive`.
    """

    def __init__(self, name: str, loop: asyncio.AbstractEventLoop, counters: Counters) -> None:
        self.name = name
        self.loop = loop
        self.counters = counters
        self._mailbox: list[M] = []
        self._is_delivery_scheduled = False

    def tell(self, message: M) -> None:
        """Queue a message, which is received in a later iteration of the event loop."""
        check_invariant(len(self._mailbox) < MAX_MAILBOX, "mailboxes stay short", self.counters)
        self._mailbox.append(message)
        if not self._is_delivery_scheduled:
            self._is_delivery_scheduled = True
            self.loop.call_soon(self._drain)

    def _drain(self) -> None:
        batch = self._mailbox
        self._mailbox = []
        self._is_delivery_scheduled = False
        try:
            self.receive(batch)
        except Exception as error:  # an exception in one batch must not stop the actor
            self.counters.add("faults")
            log.exception("actor fault", extra={"kv": {"actor": self.name, "messages": len(batch)}})
            self.recover(batch, error)

    def receive(self, batch: list[M]) -> None:
        """Handle the queued messages in order of arrival."""
        raise NotImplementedError

    def recover(self, batch: list[M], error: Exception) -> None:
        """Finish the work that was open when `receive` raised `error`."""
