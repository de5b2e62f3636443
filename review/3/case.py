"""Long requests to backends that hang: each is answered before its client's time is up."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from standins import common
from standins.common import HOST, Case, CaseNotRunError, Child, Discovery, Record

BACKENDS = 4
HUNG = 2  # "a quarter to a half of the backends hang"
WORK_MS = 20
REMAINING_MS = 2500  # the class `intent`
LATE_S = 0.5 + 0.05  # "up to half a second after its time"; each limit is 50 ms longer on sockets
WATCH_S = 15.0  # the client of the case looks on, to tell when an answer comes after all
SHORT_BYTES = 1000
LONG_BYTES = tuple(range(3_500_000, 6_500_000, 250_000))  # "long, up to 32 MB"
READ_BYTES = 64 * 1024


@dataclass
class Filing:
    """One request: when its last byte was written, and when and how it was answered."""

    ident: str
    written_s: float | None = None
    answered_s: float | None = None
    outcome: str = "no answer"

    @property
    def waited_s(self) -> float:
        """Time from the last byte to the answer."""
        if self.written_s is None or self.answered_s is None:
            return WATCH_S
        return self.answered_s - self.written_s

    @property
    def is_lost(self) -> bool:
        """Whether the request was taken and not answered in time."""
        is_taken = self.written_s is not None
        return is_taken and self.waited_s > REMAINING_MS / 1000 + LATE_S


async def file(port: int, ident: str, size: int, record: Record) -> Filing:
    """Send one request on a connection of its own, and watch for its answer."""
    filing = Filing(ident)
    body = b"b" * size
    raw = common.request_bytes("intent", ident, REMAINING_MS, key=f"key-{ident}", body=body)
    with contextlib.suppress(TimeoutError), socket.socket() as sock:
        async with asyncio.timeout(WATCH_S):
            try:
                await _exchange(sock, port, raw, filing, record)
            except OSError as error:
                filing.outcome = f"closed without an answer ({type(error).__name__})"
    if filing.written_s is None:
        record.write(f"{ident} was not taken: its last byte could not be written")
    else:
        record.write(f"{ident} {filing.outcome}, {filing.waited_s:.3f} s after its last byte")
    return filing


async def _exchange(
    sock: socket.socket, port: int, raw: bytes, filing: Filing, record: Record
) -> None:
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    await loop.sock_connect(sock, (HOST, port))
    record.write(f"{filing.ident} begins, {len(raw)} bytes")
    await loop.sock_sendall(sock, raw)
    filing.written_s = record.now()
    record.write(f"{filing.ident} last byte written")
    answer = b""
    while b"\r\n\r\n" not in answer:
        data = await loop.sock_recv(sock, READ_BYTES)
        if not data:
            filing.outcome = "closed without an answer"
            return
        answer += data
    filing.answered_s = record.now()
    filing.outcome = answer.split(b"\r\n")[0].decode()


async def play(case: Case) -> bool:
    """File some long requests while backends hang, and look at when each was answered."""
    ran = case.folder / "ran"
    backends: dict[str, Child] = {}
    members = []
    for number in range(BACKENDS):
        name = f"b{number}"
        port = common.free_port()
        arguments = (str(port), name, str(ran), str(WORK_MS))
        backends[name] = case.own(common.start_standin("backend.py", *arguments))
        await common.wait_until_listening(port, backends[name])
        members.append(common.member(name, port))
    discovery = Discovery(members)
    await discovery.start()
    listen = await case.start_proxy(discovery, common.settings())
    for number in range(2 * BACKENDS):
        size = SHORT_BYTES if number % 2 else LONG_BYTES[0]
        filing = await file(listen, f"before-{number}", size, case.record)
        if not filing.outcome.startswith("HTTP/1.1 200"):
            raise CaseNotRunError("a request was not served before the disruption")
    if common.has_trouble():
        for name in list(backends)[:HUNG]:
            backends[name].send(signal.SIGSTOP)
            case.record.write(f"{name} hangs")
    filings = await asyncio.gather(
        *(file(listen, f"long-{n}", size, case.record) for n, size in enumerate(LONG_BYTES))
    )
    for line in common.lines_of(ran):
        case.record.write(f"backends, by their own clock: {line}")
    await case.record_counters(listen)
    lost = [filing for filing in filings if filing.is_lost]
    for filing in lost:
        case.record.write(f"LOST: {filing.ident}, {filing.outcome} after {filing.waited_s:.3f} s")
    case.record.write(f"{len(filings)} long requests, {len(lost)} lost")
    return not lost


if __name__ == "__main__":
    common.run(Path(sys.argv[1]), play)  # the file record.txt of this case
