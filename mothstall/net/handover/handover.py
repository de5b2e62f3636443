"""Two processes as one proxy while a new version takes over: a Unix socket in a shared directory.

The new process sends a request at its start, once it could accept clients; the old one stops
accepting, sends its state, and hands over the descriptors of client connections as they become
idle, so that no connection is closed on a request in flight. Whatever fails (no process, a
malformed message, silence, a process that dies) leaves one process that serves as if alone.
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
    MAX_MESSAGE,
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

ANSWER_S = 0.5  # for the old process's state
MAX_PEERS = 4  # processes that may be connected at once
READ_BATCH = 32  # messages read in one iteration of the event loop
MAX_DESCRIPTORS = 4  # sent with one message
MAX_PATH = 100  # bytes that the address of a Unix socket holds on every platform


class PeerConnection:
    """A connection between two processes that carries complete messages and descriptors."""

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
        """Whether the kernel accepted it; the buffer of a peer that does not read is soon full."""
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
        """Closes the connection and notifies once; may be called again."""
        if self.open:
            self.open = False
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self._on_close(self)

    def finish(self) -> None:
        """Takes what the peer has sent already, and closes the connection.

        Guards against descriptors that go down unread with this end of the connection: from the
        shutdown on the peer's `send` fails, so that what it would hand over stays with it.
        """
        if self.open:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RD)
            while self.open and self._read():
                pass
            self.close()

    def _read(self) -> bool:
        """Whether there may be more than was read."""
        for _ in range(READ_BATCH):
            if not self.open:
                return False
            try:
                raw, fds, flags, _address = socket.recv_fds(
                    self.sock, MAX_MESSAGE + 1, MAX_DESCRIPTORS
                )
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                self.close()
                return False
            if not raw or len(raw) > MAX_MESSAGE or flags & socket.MSG_TRUNC:
                for fd in fds:
                    os.close(fd)
                self.close()
                return False
            self._on_message(self, raw, fds)
        return True


@dataclass(frozen=True, slots=True)
class HandoverCallbacks:
    """What the proxy does at each step of a handover."""

    # A later process takes over: this one stops accepting.
    hand_over_listening: Callable[[], HandoverState]
    resume: Callable[[], None]  # the later process is gone
    # A client's connection of the previous process.
    adopt_client: Callable[[socket.socket, ClientHandover], None]
    # A long response of the previous process: the sockets of its client and of its backend.
    adopt_stream: Callable[[socket.socket, socket.socket | None, StreamHandover], None]
    on_predecessor_gone: Callable[[], None]


class Handover:
    """Both roles of a handover: at its start the new process, later the old one.

    Nothing here raises for what the other process does.
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
        """Opens nothing yet.

        Args:
            directory: shared by all processes of this proxy.
            name: of the proxy; only processes of the same name hand over to each other.
            loop: the event loop.
            counters: where handovers and adopted connections are counted.
            callbacks: what the proxy does at each step.
        """
        self._directory = Path(directory)
        self._name = name
        self.loop = loop
        self.counters = counters
        self._callbacks = callbacks
        self._file = f"mothstall-{hashlib.blake2b(name.encode(), digest_size=6).hexdigest()}"
        self._listener: socket.socket | None = None
        self._peers: set[PeerConnection] = set()  # accepted, of later processes
        self._successor: PeerConnection | None = None
        self._predecessor: PeerConnection | None = None
        self._answer: asyncio.Future[HandoverState] | None = None
        self._own_inode = 0  # of our own socket

    # The new process

    async def take_over(self) -> HandoverState | None:
        """The state of the previous process; None if there is none, or none that can be used."""
        try:
            peer = self._connect()
        except OSError as why:
            log.debug("no previous process", extra={"kv": {"why": why}})
            return None
        answer: asyncio.Future[HandoverState] = self.loop.create_future()
        self._predecessor = peer
        self._answer = answer
        peer.send(encode(HandoverRequest(self._name)))
        try:
            async with asyncio.timeout(ANSWER_S):
                state = await answer
        except (TimeoutError, HandoverMessageError) as why:
            self.counters.add("handovers_failed")
            log.warning("previous process unusable", extra={"kv": {"why": why or "silent"}})
            self._predecessor = None
            peer.close()
            return None
        finally:
            self._answer = None
        self.counters.add("handovers")
        log.info("took over", extra={"kv": {"clients": state.clients, "backends": state.backends}})
        return state

    def _connect(self) -> PeerConnection:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            with self._address(self._file) as address:
                sock.connect(address)
        except OSError:
            sock.close()
            raise
        return PeerConnection(sock, self.loop, self._from_predecessor, self._predecessor_closed)

    def _from_predecessor(self, peer: PeerConnection, raw: bytes, fds: list[int]) -> None:
        """A message of the previous process."""
        try:
            self._accept_message(decode(raw), fds)
        except (HandoverMessageError, OSError) as why:
            if self._answer is not None and not self._answer.done():
                self._answer.set_exception(
                    why if isinstance(why, HandoverMessageError) else HandoverMessageError(str(why))
                )
            log.warning("malformed message of the previous process", extra={"kv": {"why": why}})
            peer.close()
        finally:
            for fd in fds:
                os.close(fd)

    def _accept_message(self, message: Message, fds: list[int]) -> None:
        """Carries it out; the descriptors that it uses are taken out of `fds`."""
        # A first client may arrive before the coroutine that waits for the state has gone on.
        answered = self._answer is None or self._answer.done()
        if isinstance(message, ClientHandover) and len(fds) == 1 and answered:
            self._callbacks.adopt_client(socket.socket(fileno=fds.pop()), message)
            self.counters.add("clients_adopted")
        elif (
            isinstance(message, StreamHandover)
            and len(fds) == (1 if message.left == 0 else 2)
            and answered
        ):
            backend = socket.socket(fileno=fds.pop()) if len(fds) == 2 else None
            self._callbacks.adopt_stream(socket.socket(fileno=fds.pop()), backend, message)
            self.counters.add("answers_adopted")
        elif isinstance(message, HandoverState) and self._answer is not None and not answered:
            self._answer.set_result(message)
        else:
            raise HandoverMessageError("an unexpected message")

    def release_predecessor(self) -> None:
        """The previous process takes clients again, if it still runs: this one begins to end.

        Guards against new connections that nobody accepts while this process ends: it has left the
        listener to others, and the previous process waits until this one is gone.
        """
        if self._predecessor is not None:
            self._predecessor.finish()

    def _predecessor_closed(self, peer: PeerConnection) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(HandoverMessageError("gone"))
        if peer is self._predecessor:
            self._predecessor = None
            self._callbacks.on_predecessor_gone()

    # The old process

    def listen(self) -> None:
        """From now on a later process may take over; if the socket can't be made, none can."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError as why:  # a platform without such sockets must not end the start
            log.warning("no handover socket", extra={"kv": {"why": why}})
            return
        name = f"{self._file}.{os.getpid()}"
        try:
            sock.setblocking(False)
            # Guards against files that processes killed between bind and rename have left.
            for left in self._directory.glob(f"{self._file}.*"):
                left.unlink(missing_ok=True)
            with self._address(name) as address:
                sock.bind(address)
            sock.listen(MAX_PEERS)
            path = self._directory / name
            path.chmod(0o600)
            self._own_inode = path.stat().st_ino
            path.replace(self._directory / self._file)
        except OSError as why:
            log.warning("no handover socket", extra={"kv": {"why": why}})
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
        self._peers.add(PeerConnection(sock, self.loop, self._from_peer, self._peer_closed))

    def _from_peer(self, peer: PeerConnection, raw: bytes, fds: list[int]) -> None:
        """A message of a later process, of which only a request is valid."""
        for fd in fds:
            os.close(fd)
        try:
            self._check_request(decode(raw))
        except HandoverMessageError as why:
            log.warning("malformed message of a later process", extra={"kv": {"why": why}})
            peer.close()
            return
        self._successor = peer
        log.info("handing over")
        if not peer.send(encode(self._callbacks.hand_over_listening())):
            peer.close()

    def _check_request(self, message: Message) -> None:
        is_request = isinstance(message, HandoverRequest) and message.name == self._name
        if not is_request or self._successor is not None:
            raise HandoverMessageError("an unexpected message, or another proxy's")

    def _peer_closed(self, peer: PeerConnection) -> None:
        self._peers.discard(peer)
        if peer is self._successor:
            self._successor = None
            log.warning("the process that took over is gone")
            self._callbacks.resume()

    @property
    def linked(self) -> bool:
        """Whether a later process takes client connections over from this one."""
        return self._successor is not None

    def hand_over(self, fd: int, silent: bool, age_s: float) -> bool:
        """Hands over a client's connection; False if it stays with this process."""
        return self._successor is not None and self._successor.send(
            encode(ClientHandover(silent, age_s)), [fd]
        )

    def hand_over_answer(self, client: int, backend: int | None, stream: StreamHandover) -> bool:
        """Hands over a long response in the middle; False if it stays with this process."""
        fds = [client] if backend is None else [client, backend]
        return self._successor is not None and self._successor.send(encode(stream), fds)

    def close(self) -> None:
        """Ends this process's part: removes its socket, closes all peers silently."""
        self._callbacks = replace(
            self._callbacks, resume=lambda: None, on_predecessor_gone=lambda: None
        )
        if self._listener:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None
            with contextlib.suppress(OSError):
                # A later process may have put its own socket in this place.
                if (self._directory / self._file).stat().st_ino == self._own_inode:
                    (self._directory / self._file).unlink()
        self._successor = None  # not gone: it is this process that ends
        for peer in [*self._peers, self._predecessor]:
            if peer is not None:
                peer.close()

    @contextlib.contextmanager
    def _address(self, name: str) -> Iterator[str]:
        """Guards against a directory whose path is longer than a Unix socket's address may be."""
        path = str(self._directory / name)
        if len(os.fsencode(path)) <= MAX_PATH:
            yield path
            return
        fd = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{fd}/{name}"
        finally:
            os.close(fd)
