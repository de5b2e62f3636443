"""Second copies of responses, some milliseconds late: no request is served with one."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.peers import (
    ReceivedRequest,
    Rig,
    StandInBackend,
    read_message,
    request_bytes,
    respond_ok,
    response_bytes,
    rig,
    start_backend_rig,
)

MAX_LATE_S = 0.018  # "some milliseconds late"
NETWORK_DELAY_S = 0.006  # one way
WORK_S = (0.03, 0.09)
COPY_PROBABILITY = 0.3
PLAY_S = 1.2
CLIENTS = 8


class CopyingBackend(StandInBackend):
    """A backend behind a slow network that sends some responses twice.

    It writes the copy only if no request that it has read on that connection is unanswered: a
    request may be on its way.
    """

    def __init__(self, rng: random.Random, copy_probability: float, ident: str = "s-0") -> None:
        super().__init__(respond_ok, ident)
        self._rng = rng
        self._copy_probability = copy_probability
        self.copy_count = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        read_count = 0

        def send(raw: bytes) -> None:
            loop.call_later(NETWORK_DELAY_S, writer.write, raw)

        def send_copy(raw: bytes, count: int) -> None:
            if read_count == count:
                self.copy_count += 1
                send(raw)

        self.writers.add(writer)
        try:
            while True:
                request = ReceivedRequest(*await read_message(reader), 0)
                await asyncio.sleep(NETWORK_DELAY_S)
                read_count += 1
                await asyncio.sleep(self._rng.uniform(*WORK_S))
                raw = response_bytes(b"served " + (request.header(b"X-Txn") or b""))
                send(raw)
                if self._rng.random() < self._copy_probability:
                    late_s = self._rng.uniform(0.001, MAX_LATE_S)
                    loop.call_later(late_s, send_copy, raw, read_count)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def ask(r: Rig, number: int, end_s: float, foreign: list[bytes]) -> None:
    """Send one request after the other; collect the responses made for other requests."""
    client = await r.client()
    count = 0
    while asyncio.get_running_loop().time() < end_s:
        ident = f"c{number}-{count}"
        count += 1
        client.writer.write(request_bytes(X_Txn=ident, remaining="587m"))
        reply = await client.read()
        if reply.status == 200 and reply.body != b"served " + ident.encode():
            foreign.append(reply.body)
    client.close()


async def play(seed: int, copy_probability: float, discovery_fails: bool) -> tuple[int, int]:
    """Serve clients from the first moment; return the numbers of foreign responses and copies."""
    rng = random.Random(seed)
    backends = [CopyingBackend(rng, copy_probability, f"s-{i}") for i in range(1, 4)]
    for backend in backends:
        await backend.start()
    foreign: list[bytes] = []
    async with rig(respond_ok) as r:
        gone = {**r.backends[0].row(), "phase": "DELETED"}
        r.discovery.publish(gone, *(backend.row() for backend in backends))
        await r.until(lambda: len(r.proxy._decider._backends) == len(backends))
        if discovery_fails:
            r.discovery.raw_response = response_bytes(b"", status=503)
            r.discovery.abort_connections()
        end_s = asyncio.get_running_loop().time() + PLAY_S
        await asyncio.gather(*(ask(r, number, end_s, foreign) for number in range(CLIENTS)))
    for backend in backends:
        await backend.stop()
    return len(foreign), sum(backend.copy_count for backend in backends)


@pytest.mark.parametrize("discovery_fails", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_of_a_new_proxy_is_served_with_a_late_copy(
    seed: int, discovery_fails: bool
) -> None:
    """Guards against a copy, the first that a proxy meets, taken for the next request's response."""
    foreign_count, copy_count = asyncio.run(play(seed, COPY_PROBABILITY, discovery_fails))
    assert copy_count > 5
    assert foreign_count == 0


def test_responses_belong_to_their_requests_while_discovery_fails() -> None:
    """Without copies no response is foreign, whatever discovery does."""
    assert asyncio.run(play(4, 0.0, True)) == (0, 0)


def test_copy_that_waits_unread_is_not_the_response_to_the_next_request() -> None:
    """Guards against a copy that came while the event loop was stalled, unread in the kernel."""

    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok, connect_ms=5000)
        backend_rig.send(within_ms=2000)
        await backend_rig.wait_for_results()
        await asyncio.sleep(0.05)
        connection = next(iter(backend_rig.pool.connections))
        assert connection.transport is not None
        connection.transport.pause_reading()
        next(iter(stand_in.writers)).write(response_bytes(b"a second answer"))
        await asyncio.sleep(0.05)
        request = backend_rig.send(within_ms=2000)
        await asyncio.sleep(0.01)
        if connection.transport is not None:
            connection.transport.resume_reading()
        await backend_rig.wait_for_results(2)
        assert backend_rig.reports[1].response.body == b"served %d" % request
        backend_rig.pool.close()
        await stand_in.stop()

    asyncio.run(run())
