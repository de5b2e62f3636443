"""Tests of a client's session with the store."""

from __future__ import annotations

import asyncio

from mothstall.fleet.agent.proposal_session import ProposalSession
from mothstall.store.state.changes import AcquireLease, ChangeResult, OpenSession, Proposal

CHANGE = AcquireLease("x", "owner", 1000)


class RecordingStore:
    """Records proposals, and responds to each with the next of `results`."""

    def __init__(self, *results: ChangeResult) -> None:
        self.proposals: list[Proposal] = []
        self._results = list(results)

    async def send(
        self, proposal: Proposal, deadline_s: float, wait_for_quorum: bool
    ) -> ChangeResult:
        self.proposals.append(proposal)
        await asyncio.sleep(0)
        return self._results.pop(0)


def propose_each(store: RecordingStore, count: int) -> list[ChangeResult]:
    async def run() -> list[ChangeResult]:
        session = ProposalSession("client", asyncio.get_running_loop(), store.send)
        proposals = (session.propose(CHANGE, 1.0, wait_for_quorum=True) for _ in range(count))
        return list(await asyncio.gather(*proposals))

    return asyncio.run(run())


def test_concurrent_changes_share_one_session_and_are_numbered_in_order() -> None:
    store = RecordingStore(ChangeResult(token=7), ChangeResult(), ChangeResult(), ChangeResult())

    propose_each(store, 3)

    assert isinstance(store.proposals[0].change, OpenSession)
    numbered = [(row.session, row.sequence_number) for row in store.proposals[1:]]
    assert numbered == [(7, 1), (7, 2), (7, 3)]


def test_rejected_opening_is_returned_and_retried_with_the_same_nonce() -> None:
    rejected = ChangeResult(rejected_reason="too many sessions")
    store = RecordingStore(rejected, ChangeResult(token=7), ChangeResult())

    first, second = propose_each(store, 2)

    assert first is rejected
    assert not second.rejected_reason
    nonces = [row.sequence_number for row in store.proposals[:2]]
    assert nonces[0] == nonces[1] > 0


def test_session_unknown_to_the_store_is_reopened_with_another_nonce() -> None:
    unknown_session = ChangeResult(rejected_reason="unknown session 7: open another")
    store = RecordingStore(
        ChangeResult(token=7), unknown_session, ChangeResult(token=8), ChangeResult()
    )

    first, second = propose_each(store, 2)

    assert first is unknown_session
    assert not second.rejected_reason
    opened = [row for row in store.proposals if isinstance(row.change, OpenSession)]
    assert len({row.sequence_number for row in opened}) == 2
    assert (store.proposals[-1].session, store.proposals[-1].sequence_number) == (8, 1)
