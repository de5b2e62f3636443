"""What agents and operators' tools say to a keeper, and what it answers. Pure."""

from __future__ import annotations

import msgspec

from mothstall.store.state import Delta, Proposal, PutDrain, Result, Undrain


class _Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Ask(_Call, frozen=True):
    """A change; answered by an `Answer` with the same number. The same number again: it is still wanted.

    `wait_ms`: for how long the caller waits from now on, by its own clock; 0: as long as it takes.
    """

    number: int
    proposal: Proposal
    wait_ms: int = 0


class Withdraw(_Call, frozen=True):
    """Nobody waits for the answer to this number any more; answered by nothing."""

    number: int


class Read(_Call, frozen=True):
    """All of the state that was acknowledged before now; answered by `Told`."""

    number: int


class Watch(_Call, frozen=True):
    """From now on what is newer than this version, as it comes."""

    version: int


class Order(_Call, frozen=True):
    """To this one keeper: status, add, remove, transfer, backup or dump; answered by `Said`."""

    number: int
    verb: str
    name: str = ""


class Report(_Call, frozen=True):
    """What a proxy saw, for whoever listens at any keeper; kept nowhere, answered by nothing."""

    data: bytes


class Listen(_Call, frozen=True):
    """From now on all proxies' reports, as they come, or no more of them."""

    on: bool


class Relay(_Call, frozen=True):
    """Reports from one keeper to another, for its listeners."""

    rows: tuple[bytes, ...]


class Answer(_Call, frozen=True):
    number: int
    result: Result


class Told(_Call, frozen=True):
    number: int
    delta: Delta


class Push(_Call, frozen=True):
    """What is new to a watcher. `led`: this keeper hears a leader, so that nothing older is told for long."""

    delta: Delta
    led: bool


class Heard(_Call, frozen=True):
    """Reports, to a listener."""

    rows: tuple[bytes, ...]


class Said(_Call, frozen=True):
    number: int
    refused: str
    text: bytes = b""


FromCaller = Ask | Withdraw | Read | Watch | Order | Report | Listen
FromKeeper = Answer | Told | Push | Said | Heard


class Here(_Call, frozen=True):
    """What an operator, or an owner with its token, says to one proxy; answered by `Said`."""

    number: int
    lease: str = ""
    token: int = 0
    change: PutDrain | Undrain | None = None
