"""Frames of the simulator's wire protocol, settings, and the host process."""

from __future__ import annotations

import io as streams
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from mothstall import interface as io
from mothstall.interface import AttemptResult, Effect, Health, KeyScope, UpdateScope
from mothstall.settings import SettingsError, parse
from mothstall.simhost.host import Host
from mothstall.simwire import codec

ROOT = Path(__file__).parent.parent

SETUP = """classes.count=2
classes.0.aim-ns=250000000
classes.0.deadline-ns=600000000
classes.0.effect=pure
classes.0.worth=1.0
classes.1.aim-ns=500000000
classes.1.deadline-ns=2500000000
classes.1.effect=token
classes.1.group=zone
classes.1.window-ns=1500000000
classes.1.worth=2.0
contract.cold-from=0.12
contract.cold-ns=24000000000
contract.fall-multiple=2.5
contract.fall-ns=2000000000
contract.stop-sending-within-ns=500000000
discovery=push
limits.cancelling=true
limits.max-attempts=4
limits.parallel-tries=true
limits.probes=true
replicas-of-me=4
round-ns=5000000
telemetry.names=util,queue
zone=3
zones=a,b,c,d
some.new-key=of,a,kind,not,known
"""


def frame(now: int, *records: bytes) -> bytes:
    body = struct.pack(">Q", now) + b"".join(records)
    return struct.pack(">I", len(body)) + body


def instance_started(instance: int = 3, setup: str = SETUP) -> bytes:
    raw = setup.encode()
    return struct.pack(">BHQI", 40, instance, 99, len(raw)) + raw


def endpoints(instance: int = 3, scope: int = 0) -> bytes:
    row = struct.pack(">IHBHBfQ", 0x03124A07, 0, 0, 0, 1, 1.0, 0)
    return struct.pack(">BHBII", 10, instance, scope, 41, 1) + row


REQUEST = bytes.fromhex(
    "640003000e30025d3a91c400000091f03b7c55d20a64000000000e4e1c000000000000b71b0001"
)


def test_records_of_the_protocol_page_are_decoded() -> None:
    ended = bytes.fromhex(
        "5a0003000e30025d3a91c40003124a0700c800000000011a49a001023f1eb85240400000"
    )
    timer = bytes.fromhex("140003000000000000004d")
    departed = bytes.fromhex("5000050004bdfa0e6f2b19")
    listed = bytes.fromhex(
        "0a"
        "0003"
        "00"
        "00000029"
        "00000002"
        "03124a07"
        "0000"
        "00"
        "0000"
        "01"
        "3f800000"
        "0000000000000000"
        "2c9011f2"
        "0001"
        "00"
        "0000"
        "01"
        "3fc00000"
        "000000016b969d00"
    )
    body = frame(0x1F568BF90, REQUEST, ended, timer, departed, listed)[4:]
    now, records = codec.decode(body)
    assert now == 0x1F568BF90
    assert records[0] == (
        3,
        io.RequestArrived(0x000E30025D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240000000, 12000000, False),
    )
    instance, outcome = records[1]
    assert instance == 3 and isinstance(outcome, io.AttemptEnded)
    assert (outcome.result, outcome.finished, outcome.latency_ns) == (
        AttemptResult.OK,
        True,
        18500000,
    )
    assert outcome.load == pytest.approx((0.62, 3.0))
    assert records[2] == (3, io.TimerFired(77))
    assert records[3] == (5, io.ClientLeft(0x0004BDFA0E6F2B19))
    _, change = records[4]
    assert isinstance(change, io.EndpointUpdate)
    assert (change.scope, change.version) == (UpdateScope.CACHED, 41)
    assert change.entries[1] == io.Endpoint(0x2C9011F2, 1, 0, 0, Health.READY, 1.5, 6100000000)


def test_actions_are_encoded_as_on_the_protocol_page() -> None:
    reply = codec.encode(
        [
            (3, io.SendAttempt(0x000E30025D3A91C4, 0x03124A07, 80000000)),
            (3, io.SetTimer(77, 0x213362490)),
            (5, io.Log("two servers known")),
        ],
        [],
    )
    assert reply.hex() == (
        "00000040"
        "280003000e30025d3a91c403124a070000000004c4b400"
        "640003000000000000004d0000000213362490"
        "460005001174776f2073657276657273206b6e6f776e"
    )


def test_every_action_has_its_record() -> None:
    actions: list[tuple[int, io.Action]] = [
        (1, io.CloseIdleConnections(2)),
        (1, io.ProbeLoad(2)),
        (1, io.Reject(7, 9)),
        (1, io.WatchEndpoints(True)),
        (1, io.PollEndpoints()),
        (1, io.CancelAttempt(7, 1)),
        (1, io.FailRequest(7)),
    ]
    body = codec.encode(actions, [(1, "why")])[4:].hex()
    assert body == (
        "0a000100000002"
        "14000100000002"
        "1e000100000000000000070000000000000009"
        "3c000101"
        "6e0001"
        "780001000000000000000701"
        "5000010000000000000007"
        "5a00010003776879"
    )


def test_peer_messages_probes_and_response_starts_are_decoded() -> None:
    peer = struct.pack(">BHIH", 60, 3, 1, 3) + b"abc"
    probe = struct.pack(">BHQIHBf", 30, 3, 5, 7, 200, 1, 0.5)
    first = struct.pack(">BHQBIQ", 50, 3, 8, 0, 7, 5)
    _, records = codec.decode(frame(1, peer, probe, first)[4:])
    assert records[0] == (3, None)
    assert records[1] == (3, io.LoadProbeEnded(7, AttemptResult.OK, 5, (0.5,)))
    assert records[2] == (3, io.ResponseStarted(8, 0, 7))


@pytest.mark.parametrize(
    ("raw", "word"),
    [
        (b"\0\0", "inside a frame's length"),
        (struct.pack(">I", 20) + b"\0" * 5, "inside a frame"),
        (struct.pack(">I", 4) + b"\0" * 4, "outside"),
        (struct.pack(">I", 0xFFFFFFFF) + b"\0" * 16, "outside"),
    ],
)
def test_malformed_frames_raise_an_error_that_names_the_fault(raw: bytes, word: str) -> None:
    with pytest.raises(codec.WireError, match=word):
        codec.read_frame(streams.BytesIO(raw))


@pytest.mark.parametrize(
    "record",
    [
        b"\xee\0\1",  # unknown code
        REQUEST[:-1],
        endpoints()[:-1],
        endpoints(scope=9),
        struct.pack(">BHQI", 40, 1, 9, 1000) + b"short",
        struct.pack(">BHQBIHQBB", 90, 1, 2, 0, 3, 777, 5, 1, 0),  # unknown outcome
        struct.pack(">BHQBIHQBB", 90, 1, 2, 0, 3, 200, 5, 1, 2),  # load cut short
        struct.pack(">BHIH", 60, 3, 1, 30) + b"abc",
    ],
)
def test_malformed_records_raise_an_error(record: bytes) -> None:
    with pytest.raises(codec.WireError):
        codec.decode(frame(1, record)[4:])


def test_settings_are_parsed_and_unknown_keys_skipped() -> None:
    cfg = parse(SETUP)
    assert cfg.classes[1].effect == Effect.IDEMPOTENT_WITH_KEY
    assert cfg.classes[1].group == KeyScope.ZONE
    assert (cfg.zone, cfg.proxies, cfg.discovery_push) == (3, 4, True)
    assert cfg.load_names == ("util", "queue")
    assert cfg.tenants == ()


@pytest.mark.parametrize(
    "key", ["classes.count", "classes.1.worth", "contract.cold-from", "limits.max-attempts"]
)
def test_a_missing_setting_is_named(key: str) -> None:
    text = "\n".join(line for line in SETUP.splitlines() if not line.startswith(key + "="))
    with pytest.raises(SettingsError, match=key):
        parse(text)


def test_an_invalid_setting_is_named() -> None:
    with pytest.raises(SettingsError, match=r"classes\.0\.effect"):
        parse(SETUP.replace("effect=pure", "effect=odd"))


def test_host_reports_a_missing_setting_and_keeps_other_instances() -> None:
    host = Host()
    reply = host.batch(
        5,
        codec.decode(
            frame(5, instance_started(setup="zone=1\n"), instance_started(4), endpoints(4))[4:]
        )[1],
    )
    assert reply[4] in (90, 100)
    assert b"classes.count" in reply
    assert list(host.instances) == [4]


def test_host_reports_an_exception_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host()
    host.batch(5, codec.decode(frame(5, instance_started(), endpoints())[4:])[1])
    monkeypatch.setattr(host.instances[3], "handle", lambda *_: 1 / 0)
    reply = host.batch(6, [(3, io.TimerFired(1))])
    assert reply[4] == 90 and b"ZeroDivisionError" in reply
    assert 3 not in host.instances


def test_events_for_unknown_instances_are_ignored() -> None:
    assert Host().batch(5, [(8, io.TimerFired(1))]) == b"\0\0\0\0"


def test_the_end_of_an_instance_discards_its_earlier_events_in_the_batch() -> None:
    host = Host()
    host.batch(5, codec.decode(frame(5, instance_started(), endpoints())[4:])[1])
    request = codec.decode(frame(6, REQUEST)[4:])[1]
    reply = host.batch(6, [*request, (3, codec.InstanceEnded())])
    assert reply == b"\0\0\0\0"
    assert host.instances == {}


def run_host(raw: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "mothstall.simhost"],
        input=raw,
        capture_output=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def test_process_replies_to_each_batch_and_exits_with_zero() -> None:
    done = run_host(frame(1) + frame(5, instance_started(), endpoints()) + frame(6, REQUEST))
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout[:4] == b"\0\0\0\0"
    assert bytes.fromhex("280003000e30025d3a91c403124a07") in done.stdout


@pytest.mark.parametrize("raw", [b"\0\0", frame(1)[:-2], frame(1, b"\xee\0\1")])
def test_process_exits_non_zero_with_one_line_on_malformed_input(raw: bytes) -> None:
    done = run_host(raw)
    assert done.returncode == 2
    assert done.stderr.startswith(b"mothstall: bad input: ") and done.stderr.count(b"\n") == 1


def _host_with_request() -> tuple[Host, list[bytes], str]:
    """Return a host whose instance has a list, the record of a request, and the request's id in hex."""
    host = Host()
    host.batch(0, codec.decode(frame(0, instance_started(), endpoints())[4:])[1])
    return host, [REQUEST], "000e30025d3a91c4"


def _reply(host: Host, now: int, *records: bytes) -> bytes:
    at, rows = codec.decode(frame(now, *records)[4:])
    return host.batch(at, rows)


def test_a_request_whose_client_leaves_in_the_same_batch_is_not_sent() -> None:
    host, (request,), number = _host_with_request()
    left = bytes.fromhex("500003" + number)
    # Without the departure the request is sent.
    assert bytes.fromhex("280003" + number) in _reply(_host_with_request()[0], 1000, request)
    assert bytes.fromhex(number) not in _reply(host, 1000, request, left)
    assert not host.instances[3].requests.open


def test_an_attempt_that_ends_in_the_batch_in_which_its_client_leaves_is_not_retried() -> None:
    rejected = bytes.fromhex("5a0003000e30025d3a91c40003124a07020900000000000003e80000")
    for leaves in (False, True):
        host, (request,), number = _host_with_request()
        second = struct.pack(">IHBHBfQ", 0x03124A08, 0, 0, 0, 1, 1.0, 0)
        _reply(host, 10, struct.pack(">BHBII", 10, 3, 3, 42, 1) + second)
        sent = _reply(host, 1000, request)
        at = sent.index(bytes.fromhex("280003" + number)) + 11
        ended = rejected.replace(bytes.fromhex("03124a07"), sent[at : at + 4])
        left = [bytes.fromhex("500003" + number)] if leaves else []
        is_retried = bytes.fromhex("280003" + number) in _reply(host, 2000, ended, *left)
        assert is_retried is not leaves
