"""A client's session with the store, in which each proposal is applied at most once."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable

from mothstall.store.state.changes import Change, ChangeResult, OpenSession, Proposal

NONCE_BITS = 60  # fits into a signed 64-bit integer; collisions are negligibly rare

# Sends a proposal until there is a response; the arguments are the proposal, the deadline by the
# loop's clock, and whether to wait for a quorum.
SendProposal = Callable[[Proposal, float, bool], Awaitable[ChangeResult]]


class ProposalSession:
    """Numbers proposals, so that the store applies each at most once, even if it is resent.

    One proposal is in flight at a time: the store accepts no sequence number below the session's
    last one.
    """

    def __init__(
        self, client_name: str, loop: asyncio.AbstractEventLoop, send: SendProposal
    ) -> None:
        self._client_name = client_name
        self._loop = loop
        self._send = send
        self._lock = asyncio.Lock()
        self._session_id = 0  # 0: none is open
        self._sequence_number = 0
        self._nonce = 0  # of the session that is being opened; 0: none is

    async def propose(
        self, change: Change, timeout_s: float, *, wait_for_quorum: bool
    ) -> ChangeResult:
        """Propose a change, which is applied at most once; opens a session first if there is none.

        Raises:
            KeeperUnavailableError: There was no response in time; the change may have been applied.
        """
        async with self._lock:
            deadline_s = self._loop.time() + timeout_s
            if not self._session_id:
                opened = await self._open(deadline_s, wait_for_quorum)
                if opened.rejected_reason:
                    return opened
            self._sequence_number += 1
            proposal = Proposal(self._session_id, self._sequence_number, change)
            result = await self._send(proposal, deadline_s, wait_for_quorum)
            if result.is_session_unknown:
                self._session_id = 0
            return result

    async def _open(self, deadline_s: float, wait_for_quorum: bool) -> ChangeResult:
        # The nonce is kept until the session is open: a retry after a lost response opens no second
        # session.
        self._nonce = self._nonce or secrets.randbits(NONCE_BITS) + 1
        proposal = Proposal(0, self._nonce, OpenSession(self._client_name))
        result = await self._send(proposal, deadline_s, wait_for_quorum)
        if not result.rejected_reason:
            self._session_id = result.token
            self._sequence_number = 0
            self._nonce = 0
        return result
