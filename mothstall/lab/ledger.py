"""Records of a run as clients and backends saw it, for the checker and the report."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import IntEnum


class Unfinished(RuntimeError):
    """The run could not be completed; the message is one line."""


class Answer(IntEnum):
    """The end of one client request, as the client saw it."""

    OPEN = 0  # no response yet
    SERVED = 1
    REFUSED = 2
    FAILED = 3
    UNREACHED = 4  # no proxy accepted it
    LEFT = 5  # the client closed the connection first
    SILENT = 6  # no response by its deadline
    BROKEN = 7  # the connection ended without a complete response


class Fate(IntEnum):
    """The outcome of one attempt at a backend."""

    OPEN = 0
    TURNED_AWAY = 1  # never ran
    SERVED = 2
    REPEAT = 3  # duplicate of a finished key: answered with the stored result
    ERROR = 4  # answered 500, not run
    RESET = 5  # the connection broke
    SPOILT = 6  # ran, and its response is unreadable
    CANCELLED = 7  # cancelled by the proxy
    LOST = 8  # the backend died


@dataclass(slots=True, eq=False)
class Intent:
    """One operation that a client wants done once, with retries. Times are ns since the start."""

    id: int
    cls: int
    tenant: int
    zone: int
    subject: int  # 0: none
    start: int
    work: int  # ns on one warm core of speed 1
    hurried: bool
    heeds: bool  # Retry-After
    at_once: bool
    luck: float  # 0 to 1: varies the waits before its retries
    tries: int = 0
    served_at: int = -1  # time of the first successful response
    effects: list[tuple[int, int]] = field(default_factory=list)  # (time, backend) of each effect


@dataclass(slots=True, eq=False)
class Try:
    """One request of a client to a proxy: the first one of an intent, or a retry."""

    txn: int
    intent: Intent
    proxy: int
    sent: int
    deadline: int
    taken: int = -1  # when its last byte reached a running proxy
    answer: Answer = Answer.OPEN
    at: int = -1  # when the response was complete
    answers: int = 0  # number of final responses
    excused: bool = False  # its proxy died or was cut off


@dataclass(slots=True, eq=False)
class Arrival:
    """One attempt as a backend saw it."""

    txn: int
    proxy: int
    box: int
    at: int
    work: int  # its full cost here, handshake included
    fate: Fate = Fate.OPEN
    end: int = -1
    done: int = 0  # work spent on it, ns


@dataclass(slots=True)
class Tip:
    """The failure of a cold backend by overload, and the work sent to it in the window before."""

    box: int
    at: int
    window_ns: int
    sent: dict[int, int]  # work by proxy


@dataclass(slots=True)
class BoxLife:
    """One process of a backend, from start to end."""

    box: int
    zone: int
    cell: int
    cores: int
    speed: float
    started: int  # 0: before the run
    ended: int = -1
    drained: int = -1  # when it began to drain


class Ledger:
    """All records of a run, in the order of their creation."""

    def __init__(self) -> None:
        self.intents: list[Intent] = []
        self.tries: list[Try] = []
        self.arrivals: list[Arrival] = []
        self.tips: list[Tip] = []
        self.lives: list[BoxLife] = []
        # (proxy, backend): spans in which the proxy knew that it drains or is gone; end -1: open.
        self.told_out: dict[tuple[int, int], list[tuple[int, int]]] = {}
        # (proxy, backend, start): when the proxy was first notified of this start.
        self.told_start: dict[tuple[int, int, int], int] = {}
        self.proxy_down: list[tuple[int, int, int]] = []  # proxy, from, to
        self.late: list[tuple[int, int]] = []  # spans in which the driver ran late
        self.marks: list[tuple[int, int, str]] = []  # faults as injected: from, to, description
        self.samples: list[
            tuple[int, dict[int, tuple[int, float]]]
        ] = []  # time, by backend: (in flight, warmth)

    def digest(self) -> str:
        """Equal for two runs with the same events at the same times at clients and backends."""
        made = hashlib.blake2b(digest_size=12)
        for t in self.tries:
            made.update(
                b"%d %d %d %d %d %d;" % (t.txn, t.intent.id, t.proxy, t.sent, t.answer, t.at)
            )
        for a in self.arrivals:
            made.update(b"%d %d %d %d %d %d;" % (a.txn, a.proxy, a.box, a.at, a.fate, a.end))
        return made.hexdigest()
