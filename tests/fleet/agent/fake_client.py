"""A stand-in for the client of the store."""

from __future__ import annotations

from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.store.state.changes import Change, ChangeResult


class FakeClient:
    """Records what is proposed, and answers each proposal with `result`.

    Attributes:
        peer_name: The keeper that it reports as its peer; empty: none.
        result: The answer to every proposal; None: no keeper answers.
        proposed: The changes so far.
    """

    def __init__(self, result: ChangeResult | None, peer_name: str = "k1") -> None:
        self.peer_name = peer_name
        self.result = result
        self.proposed: list[Change] = []

    async def propose(
        self, change: Change, timeout_s: float, *, wait_for_quorum: bool = True
    ) -> ChangeResult:
        self.proposed.append(change)
        if self.result is None:
            raise KeeperUnavailableError("no quorum of k1 answers")
        return self.result

    def request_resync(self) -> None:
        raise AssertionError("no test of this client has a delta that does not follow")
