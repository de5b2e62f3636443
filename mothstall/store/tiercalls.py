"""What proxies say to an observer, and what it answers. Pure.

Changes go through as `calls.Ask` and come back as `calls.Answer`, under the proxy's own session: an observer
decides nothing about them.
"""

from __future__ import annotations

import msgspec

from mothstall.store import calls
from mothstall.store.state import Delta


class _Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Come(_Call, frozen=True):
    """A proxy attaches, as its `turn`-th attachment; from now on it is told what it subscribes to."""

    name: str
    turn: int
    zone: str
    backends: tuple[str, ...]  # prefixes of names
    version: int  # what it knows


class Alive(_Call, frozen=True):
    turn: int


class Again(_Call, frozen=True):
    """What it was told does not fit what it knows, which is this version."""

    version: int


class Bye(_Call, frozen=True):
    """It ends: its row goes at once."""

    turn: int


class Fed(_Call, frozen=True):
    """What is new to a proxy. `age_ms`: since a keeper that hears a leader last spoke; -1: never."""

    delta: Delta
    age_ms: int


class Seated(_Call, frozen=True):
    """The log has the proxy under this observer, with this turn."""

    turn: int


class Turned(_Call, frozen=True):
    """This observer does not have the proxy, or not any more."""

    turn: int
    why: str


OfSeat = Come | Alive | Again | Bye
FromProxy = OfSeat | calls.Ask | calls.Withdraw | calls.Report | calls.Listen | calls.Order
FromObserver = Fed | Seated | Turned | calls.Answer | calls.Heard | calls.Said
