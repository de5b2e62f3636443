"""A keeper and its clients over sockets: cancelled proposals, resent requests, shared events."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from mothstall.fleet.agent.client_config import ClientConfig
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.keeper import replica
from mothstall.keeper.admission import Admission
from mothstall.keeper.limits import KeeperLimits
from mothstall.keeper.process import Keeper
from mothstall.store.protocol import keeper_messages
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.state.changes import AcquireLease
from mothstall.store.state.rows import StateDelta

pytestmark = pytest.mark.processes


class StallingDisk:
    """Blocks the commits of a keeper's disk on request."""

    def __init__(self) -> None:
        self._may_commit = threading.Event()
        self._may_commit.set()

    def before_commit(self) -> None:
        assert self._may_commit.wait(30)

    def stall(self) -> None:
        self._may_commit.clear()

    def resume(self) -> None:
        self._may_commit.set()


async def wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline_s, "the expected state was not reached"
        await asyncio.sleep(0.01)


@asynccontextmanager
async def running_keeper(
    folder: Path, window: int = 256, limits: KeeperLimits | None = None
) -> AsyncIterator[tuple[Keeper, OperatorConfig, StallingDisk]]:
    disk = StallingDisk()
    row = {"name": "k1", "address": "127.0.0.1:1", "listen": "127.0.0.1:0", "data": str(folder)}
    # A long election timeout, so that a slow write does not cost the leadership.
    timing = {"tick": "20ms", "heartbeat": "60ms", "election": "900ms"}
    operator_tree = {"cluster": "c", "keepers": [row], "timing": timing}
    served = Keeper(
        parse_operator_file(operator_tree),
        "k1",
        folder,
        limits=limits,
        before_commit=disk.before_commit,
    )
    served.replica.admission = Admission(window)
    await served.start()
    tree_with_port = {**operator_tree, "keepers": [{**row, "address": f"127.0.0.1:{served.port}"}]}
    try:
        await wait_until(lambda: served.replica.raft.has_committed_in_term)
        yield served, parse_operator_file(tree_with_port), disk
    finally:
        disk.resume()
        await served.stop()


@asynccontextmanager
async def connected_client(
    operator: OperatorConfig, name: str, **options: object
) -> AsyncIterator[KeeperClient]:
    client = KeeperClient(operator, name, PeerRole.TOOL, loop=asyncio.get_running_loop(), **options)  # type: ignore[arg-type]
    try:
        yield client
    finally:
        await client.close()


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await scenario()

    asyncio.run(bounded())


def test_cancelled_proposal_is_never_committed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            running_keeper(tmp_path, window=1) as (served, operator, disk),
            connected_client(operator, "first") as first,
            connected_client(operator, "other") as other,
        ):
            for proposer in (first, other):
                assert not (
                    await proposer.propose(AcquireLease(f"warm/{proposer.name}", "x", 60_000), 10.0)
                ).rejected_reason
            disk.stall()
            pending = asyncio.create_task(first.propose(AcquireLease("a", "first", 60_000), 20.0))
            await wait_until(lambda: len(served.replica.admission) == 1)
            with pytest.raises(KeeperUnavailableError):
                await other.propose(AcquireLease("b", "other", 60_000), 0.3)
            await wait_until(
                lambda: served.counts["withdrawn"] + served.replica.admission.dropped > 0
            )
            await wait_until(lambda: len(served.replica.admission) == 1)
            disk.resume()
            assert not (await pending).rejected_reason
            assert not (
                await other.propose(AcquireLease("c", "other", 60_000), 10.0)
            ).rejected_reason
            assert {"a", "c"} < set(
                served.replica.state.leases
            ) and "b" not in served.replica.state.leases

    run(scenario)


def test_client_keeps_its_session_after_a_proposal_timed_out(tmp_path: Path) -> None:
    """Guards against a new session for each attempt, which would cost each retry two commits."""

    async def scenario() -> None:
        async with (
            running_keeper(tmp_path) as (served, operator, disk),
            connected_client(operator, "one") as proposer,
        ):
            assert not (
                await proposer.propose(AcquireLease("a", "one", 60_000), 10.0)
            ).rejected_reason
            for _ in range(3):
                disk.stall()
                with pytest.raises(KeeperUnavailableError):
                    await proposer.propose(AcquireLease("b", "one", 60_000), 0.2)
                disk.resume()
                assert not (
                    await proposer.propose(AcquireLease("c", "one", 60_000), 10.0)
                ).rejected_reason
            assert len(served.replica.state.sessions) == 1

    run(scenario)


def test_request_is_resent_to_a_slow_keeper_that_still_sends_events(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        events: list[keeper_messages.WatchEvent] = []
        async with (
            running_keeper(tmp_path) as (served, operator, disk),
            connected_client(
                operator,
                "watcher",
                on_watch_event=events.append,
                config=ClientConfig(attempt_timeout_s=0.6),
            ) as proposer,
        ):
            assert not (
                await proposer.propose(AcquireLease("a", "one", 60_000), 10.0)
            ).rejected_reason
            link = proposer.link
            disk.stall()
            pending = asyncio.create_task(proposer.propose(AcquireLease("b", "one", 60_000), 20.0))
            await wait_until(lambda: served.counts["calls_again"] >= 1)
            disk.resume()
            assert not (await pending).rejected_reason
            assert proposer.link is link and len(served.replica.admission) == 0
            assert len(served.replica.state.sessions) == 1

    run(scenario)


def test_client_replaces_its_connection_to_a_silent_keeper(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = ClientConfig(attempt_timeout_s=0.2)
        async with (
            running_keeper(tmp_path) as (_, operator, disk),
            connected_client(operator, "one", config=config) as proposer,
        ):
            assert not (
                await proposer.propose(AcquireLease("a", "one", 60_000), 10.0)
            ).rejected_reason
            link = proposer.link
            disk.stall()
            pending = asyncio.create_task(proposer.propose(AcquireLease("b", "one", 60_000), 20.0))
            await wait_until(lambda: proposer.link is not None and proposer.link is not link)
            disk.resume()
            assert not (await pending).rejected_reason

    run(scenario)


def test_watchers_of_one_round_share_one_encoded_event(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Changes arrive between batches of four events: one encoding serves several batches."""
    limits = KeeperLimits(max_events_per_batch=4)

    async def scenario() -> None:
        versions = [0] * 40

        def record_version(i: int) -> Callable[[keeper_messages.WatchEvent], None]:
            def on_watch_event(event: keeper_messages.WatchEvent) -> None:
                versions[i] = event.delta.version

            return on_watch_event

        async with running_keeper(tmp_path, limits=limits) as (served, operator, _):
            delta_count = 0
            original_delta_since = served.replica.state.delta_since

            def counted_delta_since(since: int) -> StateDelta:
                nonlocal delta_count
                delta_count += 1
                return original_delta_since(since)

            watchers = [
                KeeperClient(
                    operator,
                    f"w{i}",
                    PeerRole.AGENT,
                    loop=asyncio.get_running_loop(),
                    on_watch_event=record_version(i),
                    known_version=lambda i=i: versions[i],  # type: ignore[misc]
                )
                for i in range(40)
            ]
            await wait_until(lambda: len(served.clients.watchers) == 40)
            async with connected_client(operator, "first") as proposer:
                assert not (
                    await proposer.propose(AcquireLease("a", "first", 60_000), 10.0)
                ).rejected_reason
            await wait_until(lambda: min(versions) > 0)
            event_count = served.counts["pushes"]
            monkeypatch.setattr(
                type(served.replica.state),
                "delta_since",
                lambda self, since: counted_delta_since(since),
            )
            async with connected_client(operator, "one") as proposer:
                for i in range(200):
                    assert not (
                        await proposer.propose(AcquireLease(f"a{i}", "one", 60_000), 10.0)
                    ).rejected_reason
            version = served.replica.state.version
            await wait_until(lambda: min(versions) == version)
            assert 0 < delta_count * 8 < served.counts["pushes"] - event_count
            await asyncio.gather(*(watcher.close() for watcher in watchers))

    run(scenario)


def test_many_changes_for_many_watchers_are_sent_in_few_rounds(
    tmp_path: Path,
) -> None:
    """At 20 events a second, 40 watchers get one event in 2 s, with many changes in it."""
    limits = KeeperLimits(max_watch_events_per_s=20)

    async def scenario() -> None:
        versions = [0] * 40

        def record_version(i: int) -> Callable[[keeper_messages.WatchEvent], None]:
            def on_watch_event(event: keeper_messages.WatchEvent) -> None:
                versions[i] = event.delta.version

            return on_watch_event

        async with (
            running_keeper(tmp_path, limits=limits) as (served, operator, _),
            connected_client(operator, "one") as proposer,
        ):
            watchers = [
                KeeperClient(
                    operator,
                    f"w{i}",
                    PeerRole.AGENT,
                    loop=asyncio.get_running_loop(),
                    on_watch_event=record_version(i),
                    known_version=lambda i=i: versions[i],  # type: ignore[misc]
                )
                for i in range(40)
            ]
            await wait_until(lambda: len(served.clients.watchers) == 40)
            started_s, event_count = time.monotonic(), served.counts["pushes"]
            for i in range(200):
                assert not (
                    await proposer.propose(AcquireLease(f"a{i}", "one", 60_000), 10.0)
                ).rejected_reason
            await wait_until(lambda: min(versions) == served.replica.state.version)
            elapsed_s = time.monotonic() - started_s
            rounds = 2 + elapsed_s / 2 + 1 + elapsed_s / limits.watch_heartbeat_s
            assert served.counts["pushes"] - event_count <= 40 * rounds
            await asyncio.gather(*(watcher.close() for watcher in watchers))

    run(scenario)


def test_read_beyond_the_limit_is_rejected_and_served_once_there_is_capacity(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a read that is dropped without a response at the limit of 8,192 pending reads.

    The caller waited until its timeout, disconnected from the keeper, and reported "no quorum of k1
    answers (k1: not asked)" although the keeper had a quorum.
    """
    monkeypatch.setattr(replica, "MAX_PENDING", 0)

    async def scenario() -> None:
        async with (
            running_keeper(tmp_path) as (_, operator, _),
            connected_client(operator, "reader") as reader,
        ):
            with pytest.raises(KeeperUnavailableError, match="too many callers wait"):
                await reader.read_state(0.5)
            reading = asyncio.create_task(reader.read_state(10.0))
            await asyncio.sleep(0.1)
            monkeypatch.setattr(replica, "MAX_PENDING", 10)
            await reading

    run(scenario)
