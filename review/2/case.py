"""Bad clients send heads without end, all at once: the proxy stays within its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from standins import common
from standins.common import HOST, Case, Child, Discovery, Message, Record

MEMORY_MB = 192  # `limits.memory_mb`: the most that a scored day gives
BACKENDS = 3
WORK_MS = 30
USUAL_CLIENTS = 6
REMAINING_MS = 600  # the class `search`
PAUSE_S = 0.02  # of a usual client between an answer and its next request
BAD_CLIENTS = 120
LINES = 126  # of each endless head so far, each of a length that servers accept
LINE_BYTES = 8000
CALM_S = 1.5  # usual clients alone, before and after
WATCH_S = 4.0  # bad clients get an error or a close within 3 s of connecting
CHECK_S = 0.01  # between two looks of the platform at the proxy's memory


@dataclass
class Usual:
    """What became of the usual clients' requests."""

    outcomes: dict[str, int] = field(default_factory=dict)

    def count(self, outcome: str) -> None:
        """Count one request."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


class Platform:
    """Stands in for the platform: kills the proxy once it holds more than its limit.

    Attributes:
        peak_mb: The most that the proxy held, without what it shares with other programs.
        has_killed: Whether it was killed for memory.
        has_ended: Whether it ended by itself.
    """

    def __init__(self, proxy: Child, record: Record) -> None:
        """Watch the process of one proxy."""
        self.peak_mb = 0.0
        self.has_killed = False
        self.has_ended = False
        self._proxy = proxy
        self._record = record

    async def watch(self) -> None:
        """Look at the proxy's memory until it ends."""
        while self._proxy.is_running:
            held_mb = own_memory_mb(self._proxy.pid)
            self.peak_mb = max(self.peak_mb, held_mb)
            if held_mb > MEMORY_MB:
                self._record.write(f"the proxy holds {held_mb:.0f} MB of {MEMORY_MB}: killed")
                self.has_killed = True
                self._proxy.send(signal.SIGKILL)
                return
            await asyncio.sleep(CHECK_S)
        self.has_ended = True


def own_memory_mb(pid: int) -> float:
    """Return what a process holds and shares with no file; 0 once it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
        return int(text.split("RssAnon:")[1].split()[0]) / 1024
    except (OSError, IndexError):
        return 0.0


async def ask(port: int, client: int, usual: Usual, stop: asyncio.Event, record: Record) -> None:
    """Send one request after the other until the run stops or the proxy is gone."""
    number = 0
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        while not stop.is_set():
            ident = f"u{client}-{number}"
            number += 1
            record.write(f"{ident} sent")
            writer.write(common.request_bytes("search", ident, REMAINING_MS))
            answer: Message = await common.read_message(reader)
            usual.count(answer.start)
            record.write(f"{ident} got {answer.start}")
            await asyncio.sleep(PAUSE_S)
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        usual.count("no answer: the connection was lost")
        record.write(f"u{client}-{number - 1} got no answer: {type(error).__name__}")


async def send_endless_head(port: int, client: int, record: Record) -> None:
    """Begin a head at full speed, and never end it; read what the proxy answers."""
    line = b"X-Pad-%03d: " + b"v" * LINE_BYTES + b"\r\n"
    head = b"GET /search HTTP/1.1\r\nHost: service.internal\r\n"
    head += b"".join(line % number for number in range(LINES))
    outcome = "an open connection, unanswered"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WATCH_S):
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(head)
                await writer.drain()
                answer = await reader.readline()
                outcome = answer.decode().strip() or "a close"
                writer.close()
            except OSError as error:
                outcome = f"a close ({type(error).__name__})"
    record.write(f"bad client {client}: {len(head)} bytes of a head, got {outcome}")


async def play(case: Case) -> bool:
    """Run the usual clients, let the bad ones come at once, and watch the proxy's memory."""
    members = []
    for number in range(BACKENDS):
        port = common.free_port()
        arguments = (str(port), f"b{number}", str(case.folder / "ran"), str(WORK_MS))
        backend = case.own(common.start_standin("backend.py", *arguments))
        await common.wait_until_listening(port, backend)
        members.append(common.member(f"b{number}", port))
    discovery = Discovery(members)
    await discovery.start()
    listen = await case.start_proxy(discovery, common.settings(), MEMORY_MB)
    platform = Platform(case.proxy, case.record)
    watch = asyncio.create_task(platform.watch())
    usual = Usual()
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(ask(listen, number, usual, stop, case.record))
        for number in range(USUAL_CLIENTS)
    ]
    await asyncio.sleep(CALM_S)
    case.record.write(f"usual clients so far: {usual.outcomes}; {platform.peak_mb:.0f} MB")
    if common.has_trouble():
        case.record.write(f"{BAD_CLIENTS} bad clients connect")
        bad = (send_endless_head(listen, n, case.record) for n in range(BAD_CLIENTS))
        await asyncio.gather(*bad)
    await asyncio.sleep(CALM_S)
    stop.set()
    await asyncio.gather(*clients)
    is_running = case.proxy.is_running
    watch.cancel()
    for line in common.lines_of(case.folder / "ran"):
        case.record.write(f"backends, by their own clock: {line}")
    case.record.write(f"usual clients in all: {usual.outcomes}; peak {platform.peak_mb:.0f} MB")
    case.record.write(f"the proxy {'runs' if is_running else 'is gone'}")
    return is_running and not platform.has_killed and not platform.has_ended


if __name__ == "__main__":
    common.run(Path(sys.argv[1]), play)  # the file record.txt of this case
