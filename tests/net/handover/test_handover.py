"""Handover between two processes of one proxy: messages, connections, and faulty peers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall import interface as io
from mothstall.interface import (
    NS,
    AttemptResult,
    Health,
    InheritedBackend,
    InheritedState,
    UpdateScope,
)
from mothstall.net.chunked_coding import ChunkedCodingError, ChunkedDecoder
from mothstall.net.counters import Counters
from mothstall.net.handover import handover
from mothstall.net.handover.messages import (
    MAX_MESSAGE_BYTES,
    ClientHandover,
    HandoverMessageError,
    HandoverRequest,
    HandoverState,
    StreamHandover,
    decode,
    encode,
)
from mothstall.policy import Balancer
from mothstall.policy.slow_start import OVERLOAD_FRACTION
from tests.net.admin.test_admin_server import Platform
from tests.net.test_net_body_relay import BODY, long_response, read_long
from tests.peers import Client as Reader
from tests.peers import (
    ReceivedRequest,
    StandInBackend,
    StandInDiscovery,
    admin_call,
    request_bytes,
    respond_ok,
    response_bytes,
)
from tests.policy.harness import settings

MEMORY = InheritedState(
    2e6, 31.5, 4.25, 3.0, [[1.0, 2.0, 3.0]], [InheritedBackend(7, 0, 9.5, 2.0, 5 * NS, NS)]
)


def test_messages_decode_to_what_was_encoded() -> None:
    for message in (
        *(
            HandoverRequest("n3"),
            ClientHandover(True, 0.25),
            HandoverState(12, 3, MEMORY),
            StreamHandover(None, None, True, b"", ()),
        ),
        *(
            StreamHandover(77, None, False, b"r", (b"\0ab", b"c")),
            StreamHandover(None, (1, 9, b"a;x"), True, b"", (b"",)),
        ),
    ):
        assert decode(encode(message)) == message
    many = replace(MEMORY, backends=MEMORY.backends * 5000)
    assert len(encode(HandoverState(1, 1, many))) < MAX_MESSAGE_BYTES


@given(
    st.binary(max_size=60)
    | st.sampled_from([encode(HandoverRequest("n")), encode(HandoverState(1, 2, MEMORY))]),
    st.data(),
)
def test_malformed_bytes_raise_the_message_error_and_nothing_else(
    raw: bytes, data: st.DataObject
) -> None:
    at = data.draw(st.integers(0, len(raw)))
    damaged = raw[:at] + data.draw(st.binary(max_size=4)) + raw[at + 1 :]
    with contextlib.suppress(HandoverMessageError):
        decode(damaged)


@pytest.mark.parametrize(
    "tree",
    [
        {"v": 2, "say": "take", "name": "n"},
        {"v": 1, "say": "give"},
        {
            "v": 1,
            "say": "yours",
            "held": [1, 1],
            "sums": [1, 2, float("nan"), 1],
            "calm": [],
            "known": [],
        },
        {"v": 1, "say": "yours", "held": [1, -1], "sums": [1, 2, 3, 1], "calm": [], "known": []},
        {
            "v": 1,
            "say": "yours",
            "held": [1, 1],
            "sums": [1, 2, 3, 1],
            "calm": [],
            "known": [[1, 2]],
        },
        [],
    ],
)
def test_messages_of_another_version_or_form_are_rejected(tree: object) -> None:
    with pytest.raises(HandoverMessageError):
        decode(json.dumps(tree).encode())


def fleet(count: int, cold: int = 0, now: int = 0) -> list[io.Endpoint]:
    return [
        io.Endpoint(i, 0, 0, 0, Health.READY, 1.0, now if i < cold else 0)
        for i in range(1, count + 1)
    ]


def test_the_balancer_continues_from_the_inherited_state_and_the_old_one_stops_warming_backends_up() -> (
    None
):
    now = 100 * NS
    old, new = Balancer(settings(), 1), Balancer(settings(), 2)
    for module in (old, new):
        module.handle(now, [io.EndpointUpdate(UpdateScope.FULL, 1, fleet(4, cold=2, now=now))])
    old.latency.usual_ns, old.limits.capacity, old.slow_start.warm_rate = 5e6, 40.0, 50.0
    old.outliers.count_failure(old.endpoints.by_id[4], 2.0)
    inherited_state = old.export_state()
    new.handle(now, [inherited_state])
    old.handle(now, [io.SuccessorChanged(True)])
    assert (new.latency.usual_ns, new.limits.capacity, new.slow_start.warm_rate) == (
        5e6,
        40.0,
        50.0,
    )
    assert (
        new.out_of_rotation() == 1
        and new.endpoints.by_id[4].outlier.ejected_until_ns
        == old.endpoints.by_id[4].outlier.ejected_until_ns
    )
    cold = min(b.id for b in old.endpoints.by_id.values() if b.started_ns)
    turns = {}
    for module in (old, new):
        module.slow_start.warm_rate = 50.0
        b = module.endpoints.by_id[cold]
        b.slow_start.tokens, b.slow_start.refilled_at_ns, module.context.now_ns = 0.0, now, now + NS
        turns[module] = module.slow_start.has_token(b, 1.0)
    assert turns == {old: False, new: True}
    old.handle(now + NS, [io.SuccessorChanged(False)])
    b = old.endpoints.by_id[cold]
    b.slow_start.refilled_at_ns, old.slow_start.warm_rate = now, 50.0
    assert old.slow_start.has_token(b, 1.0)  # the successor is gone


def test_two_processes_send_a_cold_backend_no_more_than_one_may() -> None:
    """Requests go to the old balancer, then to both during the handover, then to the new one."""
    cfg = settings(slow_start_ns=20 * NS, initial_warmth=0.1)
    began = now = 100 * NS
    sent: dict[int, list[int]] = {}
    old, new = Balancer(cfg, 3), Balancer(cfg, 4)
    for module in (old, new):
        module.handle(now, [io.EndpointUpdate(UpdateScope.FULL, 1, fleet(6, cold=2, now=now))])
    for number in range(1, 1001):
        now += NS // 100
        if number == 400:
            new.handle(now, [old.export_state()])
            old.handle(now, [io.SuccessorChanged(True)])
        module = old if number < 400 or (number < 800 and number % 2) else new
        for act in module.handle(now, [io.RequestArrived(number, 0, 0, 0, NS // 2, 0, False)]):
            if isinstance(act, io.SendAttempt):
                sent.setdefault(act.backend, []).append(now)
                end = io.AttemptEnded(
                    act.request, 0, act.backend, AttemptResult.OK, NS // 200, True, ()
                )
                module.handle(now + NS // 200, [end])
    # Requests per second of a warm backend.
    warm = sum(len(at) for b, at in sent.items() if b != 1) / 5 / 10
    for second in range(10):
        here = sum(second * NS < at - began <= (second + 1) * NS for at in sent[1])
        warmth = (
            cfg.initial_warmth + (1 - cfg.initial_warmth) * (second + 1) * NS / cfg.slow_start_ns
        )
        assert here <= OVERLOAD_FRACTION * cfg.overload_multiple * warm * warmth + 1, (second, here)
    # Guards against a new process that takes its idle seconds for the rate of a warm backend: it sent
    # 6 in total.
    assert sum(at > began + 5 * NS for at in sent[1]) >= 25


@contextlib.asynccontextmanager
async def start_platform(tmp_path: Path, stand_in: StandInBackend) -> AsyncIterator[Platform]:
    await stand_in.start()
    discovery = StandInDiscovery([stand_in.row()])
    await discovery.start()
    found = Platform(tmp_path, stand_in, discovery)
    try:
        yield found
    finally:
        await found.end()
        await discovery.stop()
        await stand_in.stop()


async def respond_after_300_ms(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.3)
    writer.write(response_bytes(b"late"))


def test_idle_connections_survive_an_upgrade_without_closing_on_a_request(tmp_path: Path) -> None:
    async def run() -> None:
        async with start_platform(tmp_path, StandInBackend(respond_ok)) as p:
            old, _ = await p.start()
            clients = [await p.client() for _ in range(8)]
            silent = await p.client()
            for client in clients:
                assert (await client.request("order")).status == 200
            p.stand_in.behave = respond_after_300_ms
            # This request stays open during the whole handover.
            clients[0].writer.write(request_bytes("order", remaining="990m"))
            while not any(b"order" in s.line and s.connection for s in p.stand_in.requests[8:]):
                await asyncio.sleep(0.01)
            p.stand_in.behave = respond_ok
            stopped = asyncio.Event()

            async def send_requests(client: object) -> int:
                request_count = 0
                while not stopped.is_set():
                    reply = await client.request("order")  # type: ignore[attr-defined]
                    assert reply.status in (200, 503) and "connection" not in reply.headers
                    # Requests with a 503 response were rejected for lack of capacity.
                    request_count += reply.status == 200
                    await asyncio.sleep(0.003)
                return request_count

            senders = [asyncio.create_task(send_requests(client)) for client in clients[1:]]
            new, admin_port = await p.start()
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), 5) == 0
            reply = await clients[0].read()
            assert reply.body == b"late" and "connection" not in reply.headers
            await asyncio.sleep(0.2)
            stopped.set()
            request_count = sum(await asyncio.gather(*senders))
            assert (await clients[0].request("order")).status == 200
            # Its first request on this connection.
            assert (await silent.request("order")).status == 200
            # No request is lost or sent twice.
            assert len(p.stand_in.requests) == 8 + 1 + 1 + 1 + request_count
            counters = await p.counters()
            assert counters["handovers"] == 1 and counters["clients_adopted"] >= 8
            assert (
                await admin_call(admin_port, "/api/ready")
            ).status == 200 and new.returncode is None

    asyncio.run(run())


def test_the_old_process_accepts_clients_while_the_new_one_stops(
    tmp_path: Path,
) -> None:
    """An upgrade is aborted: the new process is stopped while the old one still runs.

    Guards against new connections that no process accepts: the stopping process no longer accepted,
    and the old one waited until it was gone, up to the longest deadline. In
    `mothstall lab soak --first 9` seven requests with 0.3 s left were answered only after 0.8 to
    1.0 s, when the old process logged `the process that took over is gone`.
    """

    async def run() -> None:
        async with start_platform(tmp_path, StandInBackend(respond_ok)) as p:
            old, _ = await p.start()
            new, _ = await p.start()
            p.stand_in.behave = respond_after_800_ms
            busy = await p.client()
            busy.writer.write(request_bytes("order", remaining="990m"))
            while not p.stand_in.requests:
                await asyncio.sleep(0.01)
            p.stand_in.behave = respond_ok
            new.terminate()
            await asyncio.sleep(0.1)
            late = await p.client()
            reply = await asyncio.wait_for(late.request("search"), 0.4)
            assert reply.status == 200
            assert new.returncode is None  # it still has an open request
            assert old.returncode is None
            assert (await busy.read()).body == b"late"
            assert await asyncio.wait_for(new.wait(), 5) == 0

    asyncio.run(run())


async def respond_after_800_ms(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.8)
    writer.write(response_bytes(b"late"))


@pytest.mark.parametrize("how", ["length", "chunked", "close"])
def test_a_long_response_outlives_the_process_that_began_it(tmp_path: Path, how: str) -> None:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        raw = long_response(how)
        for at in range(0, len(raw), 50_000):
            writer.write(raw[at : at + 50_000])
            await writer.drain()
        if how == "close":
            writer.close()

    async def run() -> None:
        async with start_platform(tmp_path, StandInBackend(behave)) as p:
            old, _ = await p.start()
            client = await p.client()
            client.writer.write(request_bytes("search"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            first = await client.reader.readexactly(1000)
            for _ in range(2):  # two handovers in a row
                new, _ = await p.start()
                old.terminate()
                assert await asyncio.wait_for(old.wait(), 5) == 0
                old = new
            client.reader._buffer[:0] = head + first  # type: ignore[attr-defined]
            _, body = await asyncio.wait_for(read_long(client, 0.01), 10)
            assert body == BODY and len(p.stand_in.requests) == 1
            assert (await p.counters())["answers_adopted"] == 1

    asyncio.run(run())


@pytest.mark.parametrize("size", [130_000, 200_000, 330_000, 500_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_the_last_bytes_for_a_slow_reader_are_not_lost_with_the_old_process(
    tmp_path: Path, size: int, chunked: bool
) -> None:
    """At some of these sizes the old process still buffers a part when the backend has sent all."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        body = BODY[:size]
        if chunked:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (size, body))
        else:
            writer.write(response_bytes(body))

    async def run() -> None:
        async with start_platform(tmp_path, StandInBackend(behave)) as p:
            old, _ = await p.start()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", p.port))
            sock.setblocking(False)
            client = Reader(*await asyncio.open_connection(sock=sock, limit=2048))
            client.writer.write(request_bytes("search"))
            while not p.stand_in.requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            await p.start()
            old.terminate()
            assert await asyncio.wait_for(old.wait(), 5) == 0
            _, body = await asyncio.wait_for(read_long(client), 10)
            assert body == BODY[:size]

    asyncio.run(run())


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    st.lists(st.integers(1, 30), min_size=1),
)
def test_a_chunked_body_split_anywhere_over_several_decoders_gives_the_same_bytes(
    parts: list[bytes], cuts: list[int]
) -> None:
    raw = (
        b"".join(b"%x;q=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nx-t: 1\r\n\r\n"
    )
    decoder, found, at, turn = ChunkedDecoder(), b"", 0, 0
    while at < len(raw):
        size = cuts[turn % len(cuts)]
        found += b"".join(decoder.feed(raw[at : at + size]))
        # Another process continues with the state of the decoder.
        decoder = ChunkedDecoder(decoder.phase, decoder.remaining_bytes, decoder.partial_line)
        at, turn = at + size, turn + 1
    assert decoder.has_ended and found == b"".join(parts)
    assert decoder.feed(b"behind") == []


@pytest.mark.parametrize("raw", [b"zz\r\n", b"\r\n", b"2\r\nabc", b"-1\r\n", b"1" * 9000])
def test_a_malformed_chunk_raises(raw: bytes) -> None:
    with pytest.raises(ChunkedCodingError):
        ChunkedDecoder().feed(raw + b"\r\n")


def test_the_old_process_accepts_clients_again_if_the_new_one_dies(tmp_path: Path) -> None:
    async def run() -> None:
        async with start_platform(tmp_path, StandInBackend(respond_ok)) as p:
            _, admin_port = await p.start()
            new, _ = await p.start()
            assert (await admin_call(admin_port, "/api/ready")).status == 503
            new.kill()
            await new.wait()
            async with asyncio.timeout(3):
                while (await admin_call(admin_port, "/api/ready")).status != 200:
                    await asyncio.sleep(0.02)
            client = await p.client()
            assert (await client.request()).status == 200

    asyncio.run(run())


def test_a_hung_or_killed_old_process_does_not_delay_the_new_one(tmp_path: Path) -> None:
    async def run() -> None:
        async with start_platform(tmp_path, StandInBackend(respond_ok)) as p:
            hung, _ = await p.start()
            hung.send_signal(signal.SIGSTOP)
            second, _ = await asyncio.wait_for(p.start(), 5)
            hung.kill()
            assert (await p.counters())["handovers_failed"] == 1
            second.kill()  # leaves its socket's file behind
            await second.wait()
            third, _ = await asyncio.wait_for(p.start(), 5)
            assert (await (await p.client()).request()).status == 200
            third.terminate()
            await third.wait()
            assert not list(tmp_path.glob("mothstall-*"))  # leftover files were removed

    asyncio.run(run())


@contextlib.contextmanager
def fake_predecessor(path: Path) -> Iterator[socket.socket]:
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.bind(str(path))
        sock.listen(2)
        yield sock


@pytest.mark.parametrize(
    "sent_bytes",
    [
        b"",
        b"noise",
        b'{"v":9,"say":"yours"}',
        encode(ClientHandover(True, 0.0)),
        encode(HandoverRequest("n0")),
    ],
)
def test_a_malformed_or_missing_state_is_a_failed_handover(
    tmp_path: Path, sent_bytes: bytes
) -> None:
    async def run() -> None:
        loop, counters = asyncio.get_running_loop(), Counters()
        alone: list[None] = []
        new = handover.Handover(
            str(tmp_path),
            "n0",
            loop=loop,
            counters=counters,
            callbacks=handover.HandoverCallbacks(
                hand_over_listening=lambda: HandoverState(0, 0, MEMORY),
                resume=lambda: None,
                adopt_client=lambda sock, client: sock.close(),
                adopt_stream=lambda client, backend, stream: None,
                on_predecessor_gone=lambda: alone.append(None),
            ),
        )
        with fake_predecessor(tmp_path / new._socket_name) as sock:
            taking = asyncio.create_task(new.take_over())
            await asyncio.sleep(0.05)
            other, _ = sock.accept()
            assert decode(other.recv(1000)) == HandoverRequest("n0")
            if sent_bytes:
                other.send(sent_bytes)
            assert await asyncio.wait_for(taking, 2) is None
            assert counters.values["handovers_failed"] == 1
            other.close()
        new.close()

    asyncio.run(run())


def test_a_platform_without_unix_sockets_only_lacks_handovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refused(*kind: object) -> socket.socket:
        raise OSError(97, "Address family not supported by protocol")

    async def run() -> None:
        new = handover.Handover(
            str(tmp_path),
            "n0",
            loop=asyncio.get_running_loop(),
            counters=Counters(),
            callbacks=handover.HandoverCallbacks(
                hand_over_listening=lambda: HandoverState(0, 0, MEMORY),
                resume=lambda: None,
                adopt_client=lambda sock, client: sock.close(),
                adopt_stream=lambda client, backend, stream: None,
                on_predecessor_gone=lambda: None,
            ),
        )
        monkeypatch.setattr(socket, "socket", refused)
        assert await new.take_over() is None
        new.listen()
        monkeypatch.undo()
        new.close()
        assert not list(tmp_path.iterdir())

    asyncio.run(run())


def test_a_malformed_request_changes_nothing_and_only_one_process_may_take_over(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        loop, calls = asyncio.get_running_loop(), []

        def hand_over_listening() -> HandoverState:
            calls.append("away")
            return HandoverState(0, 0, MEMORY)

        deep = tmp_path / ("d" * 120)  # longer than a Unix socket's address may be
        deep.mkdir()
        old = handover.Handover(
            str(deep),
            "n0",
            loop=loop,
            counters=Counters(),
            callbacks=handover.HandoverCallbacks(
                hand_over_listening=hand_over_listening,
                resume=lambda: calls.append("back"),
                adopt_client=lambda sock, client: sock.close(),
                adopt_stream=lambda client, backend, stream: None,
                on_predecessor_gone=lambda: None,
            ),
        )
        old.listen()

        def connect() -> socket.socket:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            with old._address(old._socket_name) as address:
                sock.connect(address)
            return sock

        connections = [connect() for _ in range(3)]
        connections[0].send(b"\x00noise")
        connections[1].send(encode(HandoverRequest("another")))
        await asyncio.sleep(0.05)
        assert calls == [] and not old.has_successor
        connections[2].send(encode(HandoverRequest("n0")))
        await asyncio.sleep(0.05)
        late = connect()
        late.send(encode(HandoverRequest("n0")))
        await asyncio.sleep(0.05)
        assert calls == ["away"] and old.has_successor
        connections[2].close()
        await asyncio.sleep(0.05)
        assert calls == ["away", "back"] and not old.has_successor
        old.close()
        for sock in (*connections, late):
            sock.close()
        assert not list(deep.iterdir())

    asyncio.run(run())
