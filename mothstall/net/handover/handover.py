"""Handover from an old process of a proxy to a new one, over a Unix socket in a shared directory.

The new process sends a request at its start, once it can accept clients. The old process stops
accepting, sends its state, and hands over the descriptors of client connections as they become
idle, so that no connection is closed with a request in flight, and those of long responses in
progress. If the handover fails (no old process, a malformed message, a timeout, a process that
dies), one process serves on its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from mothstall.net.counters import Counters
from mothstall.net.handover.messages import (
    MAX_MESSAGE_BYTES,
    ClientHandover,
    HandoverMessageError,
    HandoverRequest,
    HandoverState,
    Message,
    StreamHandover,
    decode,
    encode,
)

log = logging.getLogger("mothstall.handover")

STATE_TIMEOUT_S = 0.5  # timeout for the old process's state
MAX_PEERS = 4  # maximum number of open connections of later processes
READ_BATCH = 32  # messages read in one iteration of the event loop
MAX_DESCRIPTORS = 4  # per message
MAX_ADDRESS_BYTES = 100  # bytes that the address of a Unix socket holds on every platform


class PeerConnection:
    """A connection between two processes that transfers complete messages and descriptors."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[PeerConnection, bytes, list[int]], None],
        on_close: Callable[[PeerConnection], None],
    ) -> None:
        self.sock = sock
        self.loop = loop
        self.open = True
        self._on_message = on_message
        self._on_close = on_close
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def send(self, raw: bytes, fds: list[int] | None = None) -> bool:
        """Send a message; False if the connection is closed, or full as the peer does not read."""
        if not self.open:
            return False
        try:
            socket.send_fds(self.sock, [raw], fds or [])
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.close()
            return False
        return True

    def close(self) -> None:
        """Close the connection and call `on_close` once; may be called again."""
        if self.open:
            self.open = False
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self._on_close(self)

    def drain_and_close(self) -> None:
        """Receive what the peer has already sent, and close the connection.

        Guards against losing descriptors that were sent but not read yet. After the shutdown the
        peer's `send` fails, so that the peer keeps the connections it has not handed over.
        """
        if self.open:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RD)
            while self.open and self._read():
                pass
            self.close()

    def _read(self) -> bool:
        """Read a batch of messages; returns whether there may be more."""
        for _ in range(READ_BATCH):
            if not self.open:
                return False
            try:
                raw, fds, flags, _address = socket.recv_fds(
                    self.sock, MAX_MESSAGE_BYTES + 1, MAX_DESCRIPTORS
                )
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                self.close()
                return False
            if not raw or len(raw) > MAX_MESSAGE_BYTES or flags & socket.MSG_TRUNC:
                for fd in fds:
                    os.close(fd)
                self.close()
                return False
            self._on_message(self, raw, fds)
        return True


@dataclass(frozen=True, slots=True)
class HandoverCallbacks:
    """Callbacks of the proxy for the steps of a handover."""

    # A later process takes over: stop accepting, and return the state for it.
    hand_over_listening: Callable[[], HandoverState]
    resume: Callable[[], None]  # the later process is gone: accept clients again
    # Takes over a client connection of the previous process.
    adopt_client: Callable[[socket.socket, ClientHandover], None]
    # Takes over a long response: the sockets of its client and of its backend.
    adopt_stream: Callable[[socket.socket, socket.socket | None, StreamHandover], None]
    on_predecessor_gone: Callable[[], None]  # the connection to the previous process has closed


class Handover:
    """Both roles of a handover: a process takes over at its start, and hands over later.

    No method raises an exception because of a fault of the other process.
    """

    def __init__(
        self,
        directory: str,
        name: str,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        callbacks: HandoverCallbacks,
    ) -> None:
        """Prepare the handover; nothing is opened yet.

        Args:
            directory: directory that all processes of this proxy share.
            name: name of the proxy; processes hand over only to processes of the same name.
            loop: the event loop.
            counters: where handovers and adopted connections are counted.
            callbacks: callbacks of the proxy for each step.
        """
        self._directory = Path(directory)
        self._name = name
        self.loop = loop
        self.counters = counters
        self._callbacks = callbacks
        self._socket_name = f"mothstall-{hashlib.blake2b(name.encode(), digest_size=6).hexdigest()}"
        self._listener: socket.socket | None = None
        self._peers: set[PeerConnection] = set()  # accepted connections of later processes
        self._successor: PeerConnection | None = None
        self._predecessor: PeerConnection | None = None
        self._state_received: asyncio.Future[HandoverState] | None = None
        self._own_inode = 0  # of the socket that this process has bound

    # The new process

    async def take_over(self) -> HandoverState | None:
        """Return the state of the previous process; None without one, or if the handover failed."""
        try:
            peer = self._connect()
        except OSError as error:
            log.debug("no previous process", extra={"kv": {"why": error}})
            return None
        state_received: asyncio.Future[HandoverState] = self.loop.create_future()
        self._predecessor = peer
        self._state_received = state_received
        peer.send(encode(HandoverRequest(self._name)))
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                state = await state_received
        except (TimeoutError, HandoverMessageError) as error:
            self.counters.add("handovers_failed")
            log.warning("previous process unusable", extra={"kv": {"why": error or "silent"}})
            self._predecessor = None
            peer.close()
            return None
        finally:
            self._state_received = None
        self.counters.add("handovers")
        log.info(
            "took over",
            extra={
                "kv": {"clients": state.client_connections, "backends": state.backend_connections}
            },
        )
        return state

    def _connect(self) -> PeerConnection:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            with self._address(self._socket_name) as address:
                sock.connect(address)
        except OSError:
            sock.close()
            raise
        return PeerConnection(
            sock, self.loop, self._on_predecessor_message, self._predecessor_closed
        )

    def _on_predecessor_message(self, peer: PeerConnection, raw: bytes, fds: list[int]) -> None:
        """Handle a message of the previous process."""
        try:
            self._accept_message(decode(raw), fds)
        except (HandoverMessageError, OSError) as error:
            if self._state_received is not None and not self._state_received.done():
                self._state_received.set_exception(
                    error
                    if isinstance(error, HandoverMessageError)
                    else HandoverMessageError(str(error))
                )
            log.warning("malformed message of the previous process", extra={"kv": {"why": error}})
            peer.close()
        finally:
            for fd in fds:
                os.close(fd)

    def _accept_message(self, message: Message, fds: list[int]) -> None:
        """Apply a message; the descriptors that it uses are removed from `fds`."""
        # A client may be handed over before the coroutine that awaits the state has resumed.
        is_state_received = self._state_received is None or self._state_received.done()
        if isinstance(message, ClientHandover) and len(fds) == 1 and is_state_received:
            self._callbacks.adopt_client(socket.socket(fileno=fds.pop()), message)
            self.counters.add("clients_adopted")
        elif (
            isinstance(message, StreamHandover)
            and len(fds) == (1 if message.remaining_bytes == 0 else 2)
            and is_state_received
        ):
            backend = socket.socket(fileno=fds.pop()) if len(fds) == 2 else None
            self._callbacks.adopt_stream(socket.socket(fileno=fds.pop()), backend, message)
            self.counters.add("answers_adopted")
        elif (
            isinstance(message, HandoverState)
            and self._state_received is not None
            and not is_state_received
        ):
            self._state_received.set_result(message)
        else:
            raise HandoverMessageError("an unexpected message")

    def release_predecessor(self) -> None:
        """Close the connection to the previous process, which then accepts clients again.

        Called when this process stops. Guards against new clients that neither process accepts:
        this one has stopped accepting, and the previous one resumes only after that close.
        """
        if self._predecessor is not None:
            self._predecessor.drain_and_close()

    def _predecessor_closed(self, peer: PeerConnection) -> None:
        if self._state_received is not None and not self._state_received.done():
            self._state_received.set_exception(HandoverMessageError("gone"))
        if peer is self._predecessor:
            self._predecessor = None
            self._callbacks.on_predecessor_gone()

    # The old process

    def listen(self) -> None:
        """Accept handover requests of later processes; without a socket, none can take over."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError as error:  # a platform without such sockets must not fail the start
            log.warning("no handover socket", extra={"kv": {"why": error}})
            return
        name = f"{self._socket_name}.{os.getpid()}"
        try:
            sock.setblocking(False)
            # Guards against files left by processes that were killed between bind and rename.
            for leftover in self._directory.glob(f"{self._socket_name}.*"):
                leftover.unlink(missing_ok=True)
            with self._address(name) as address:
                sock.bind(address)
            sock.listen(MAX_PEERS)
            path = self._directory / name
            path.chmod(0o600)
            self._own_inode = path.stat().st_ino
            path.replace(self._directory / self._socket_name)
        except OSError as error:
            log.warning("no handover socket", extra={"kv": {"why": error}})
            sock.close()
            return
        self._listener = sock
        self.loop.add_reader(sock, self._accept)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if len(self._peers) >= MAX_PEERS:
            sock.close()
            return
        self._peers.add(PeerConnection(sock, self.loop, self._on_peer_message, self._peer_closed))

    def _on_peer_message(self, peer: PeerConnection, raw: bytes, fds: list[int]) -> None:
        """Handle a message of a later process, of which only a request is valid."""
        for fd in fds:
            os.close(fd)
        try:
            self._check_request(decode(raw))
        except HandoverMessageError as error:
            log.warning("malformed message of a later process", extra={"kv": {"why": error}})
            peer.close()
            return
        self._successor = peer
        log.info("handing over")
        if not peer.send(encode(self._callbacks.hand_over_listening())):
            peer.close()

    def _check_request(self, message: Message) -> None:
        is_request = isinstance(message, HandoverRequest) and message.name == self._name
        if not is_request or self._successor is not None:
            raise HandoverMessageError("an unexpected message, or a request of another proxy")

    def _peer_closed(self, peer: PeerConnection) -> None:
        self._peers.discard(peer)
        if peer is self._successor:
            self._successor = None
            log.warning("the process that took over is gone")
            self._callbacks.resume()

    @property
    def has_successor(self) -> bool:
        """Whether a later process is taking over the client connections of this one."""
        return self._successor is not None

    def hand_over_client(self, fd: int, is_silent: bool, age_s: float) -> bool:
        """Hand over a client's connection; False if it stays with this process."""
        return self._successor is not None and self._successor.send(
            encode(ClientHandover(is_silent, age_s)), [fd]
        )

    def hand_over_response(self, client: int, backend: int | None, stream: StreamHandover) -> bool:
        """Hand over a long response in progress; False if it stays with this process."""
        fds = [client] if backend is None else [client, backend]
        return self._successor is not None and self._successor.send(encode(stream), fds)

    def close(self) -> None:
        """Remove this process's socket and close all peers, without further callbacks."""
        self._callbacks = replace(
            self._callbacks, resume=lambda: None, on_predecessor_gone=lambda: None
        )
        if self._listener:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None
            with contextlib.suppress(OSError):
                # A later process may have replaced the file by its own socket.
                if (self._directory / self._socket_name).stat().st_ino == self._own_inode:
                    (self._directory / self._socket_name).unlink()
        self._successor = None  # so that closing its connection is not logged as a lost successor
        for peer in [*self._peers, self._predecessor]:
            if peer is not None:
                peer.close()

    @contextlib.contextmanager
    def _address(self, name: str) -> Iterator[str]:
        """Yield an address for the socket `name` in the directory.

        Guards against a directory whose path is longer than a Unix socket's address may be.
        """
        path = str(self._directory / name)
        if len(os.fsencode(path)) <= MAX_ADDRESS_BYTES:
            yield path
            return
        fd = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{fd}/{name}"
        finally:
            os.close(fd)
