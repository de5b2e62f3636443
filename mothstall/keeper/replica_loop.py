"""Runs a replica in an event loop: ticks, writes, messages to peers and applied entries.

Writes run on a separate thread: a slow disk delays the messages that depend on a write, but not
the handling of received messages. Dependent messages are sent, and entries applied, once
the write is on disk.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from mothstall.keeper.disk_writer import DiskWriter
from mothstall.keeper.peers import PeerConnections
from mothstall.keeper.replica import AppliedEntries, Replica
from mothstall.store.raft.messages import Message
from mothstall.store.raft.ready import Ready


class ReplicaClients(Protocol):
    """Receives the ticks and the applied entries of a replica."""

    def on_tick(self, now_ns: int) -> None:
        """Called after each tick of the replica."""

    def on_applied(self, applied: AppliedEntries) -> None:
        """Called with the results of applied entries and the reads that may be served now."""


class ReplicaLoop:
    """Runs one replica with at most one write in progress; further writes wait for its end."""

    def __init__(
        self,
        replica: Replica,
        disk: DiskWriter,
        peers: PeerConnections,
        tick_s: float,
    ) -> None:
        """Initialize the loop; `start` runs it."""
        self._replica = replica
        self._disk = disk
        self._peers = peers
        self._clients: ReplicaClients | None = None
        self._tick_s = tick_s
        self._loop = asyncio.get_running_loop()
        self._is_scheduled = False
        self._is_stopped = False
        self._write_task: asyncio.Task[None] | None = None

    def start(self, clients: ReplicaClients) -> None:
        """Tick now, and from now on by timer; notify `clients` of ticks and applied entries."""
        self._clients = clients
        self._tick(self._loop.time())

    def stop(self) -> None:
        """Stop ticking, writing and sending."""
        self._is_stopped = True

    def receive(self, message: Message) -> None:
        """Handle a Raft message from a peer."""
        self._replica.step(message, time.monotonic_ns())
        self.schedule()

    def schedule(self) -> None:
        """Process new work as soon as the current callback has returned."""
        if not self._is_scheduled and not self._is_stopped:
            self._is_scheduled = True
            self._loop.call_soon(self._run_once)

    def _tick(self, due_s: float) -> None:
        if self._is_stopped:
            return
        now_ns = time.monotonic_ns()
        self._replica.tick(now_ns)
        if self._clients:
            self._clients.on_tick(now_ns)
        # Ticks that were missed during a stall are not made up for.
        next_due_s = max(due_s + self._tick_s, self._loop.time())
        self._loop.call_at(next_due_s, self._tick, next_due_s)
        self.schedule()

    def _run_once(self) -> None:
        self._is_scheduled = False
        if self._is_stopped:
            return
        is_writing = self._write_task is not None
        has_unwritten = is_writing or self._replica.raft.has_unwritten_state
        if has_unwritten and not self._disk.has_write_error:
            self._peers.send_messages(self._replica.raft.take_early_messages())
        if is_writing:
            return
        ready = self._replica.ready()
        if ready.needs_write:
            self._write_task = self._loop.create_task(self._write(ready))
        else:
            self._handle_persisted(ready)

    async def _write(self, ready: Ready) -> None:
        if await self._disk.write(ready):
            self._write_task = None
            self._handle_persisted(ready)

    def _handle_persisted(self, ready: Ready) -> None:
        self._peers.send_messages(ready.messages)
        applied = self._replica.handle_persisted(ready, time.monotonic_ns())
        if self._clients:
            self._clients.on_applied(applied)
        if ready.needs_write or applied.entries:
            self.schedule()
