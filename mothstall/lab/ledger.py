"""Records of a run as clients and backends saw it, for the checker and the report."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import IntEnum


class Unfinished(RuntimeError):
    """The run could not be completed; the message is one line."""


class Outcome(IntEnum):
    """The end of one client request, as the client saw it."""

    OPEN = 0  # no response yet
    SERVED = 1
    REFUSED = 2
    FAILED = 3
    UNREACHED = 4  # no proxy accepted it
    LEFT = 5  # the client closed the connection first
    SILENT = 6  # no response by its deadline
    BROKEN = 7  # the connection ended without a complete response


class AttemptOutcome(IntEnum):
    """The outcome of one attempt at a backend."""

    OPEN = 0
    REJECTED = 1  # never ran
    SERVED = 2
    DUPLICATE = 3  # its key was finished: answered with the stored result
    ERROR = 4  # answered 500, not run
    RESET = 5  # the connection broke
    UNREADABLE = 6  # ran, but its response cannot be parsed
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
    leaves_early: bool
    obeys_retry_after: bool
    retries_at_once: bool
    retry_jitter: float  # 0 to 1: varies the waits before its retries
    request_count: int = 0
    served_at: int = -1  # time of the first successful response
    effects: list[tuple[int, int]] = field(default_factory=list)  # (time, backend) of each effect


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client to a proxy: the first one of an intent, or a retry."""

    txn: int
    intent: Intent
    proxy: int
    sent: int
    deadline: int
    accepted: int = -1  # when its last byte reached a running proxy
    outcome: Outcome = Outcome.OPEN
    at: int = -1  # when the response was complete
    response_count: int = 0  # number of final responses
    excused: bool = False  # its proxy died or was cut off


@dataclass(slots=True, eq=False)
class Arrival:
    """One attempt as a backend saw it."""

    txn: int
    proxy: int
    backend: int
    at: int
    work: int  # its full cost here, handshake included
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    end: int = -1
    done: int = 0  # work spent on it, ns


@dataclass(slots=True)
class ColdOverload:
    """The failure of a cold backend by overload, and the work sent to it in the window before."""

    backend: int
    at: int
    window_ns: int
    sent: dict[int, int]  # work by proxy


@dataclass(slots=True)
class BackendIncarnation:
    """One process of a backend, from start to end."""

    backend: int
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
        self.requests: list[ClientRequest] = []
        self.attempts: list[Arrival] = []
        self.cold_overloads: list[ColdOverload] = []
        self.incarnations: list[BackendIncarnation] = []
        # (proxy, backend): spans in which the proxy knew that it drains or is gone; end -1: open.
        self.notified_unavailable: dict[tuple[int, int], list[tuple[int, int]]] = {}
        # (proxy, backend, start): when the proxy was first notified of this start.
        self.notified_start: dict[tuple[int, int, int], int] = {}
        self.proxy_outages: list[tuple[int, int, int]] = []  # proxy, from, to
        self.late_spans: list[tuple[int, int]] = []  # spans in which the driver ran late
        self.fault_spans: list[tuple[int, int, str]] = []  # from, to, description
        # Time, and by backend: (in flight, warmth).
        self.samples: list[tuple[int, dict[int, tuple[int, float]]]] = []

    def digest(self) -> str:
        """Equal for two runs with the same events at the same times at clients and backends."""
        digest = hashlib.blake2b(digest_size=12)
        for t in self.requests:
            digest.update(
                b"%d %d %d %d %d %d;" % (t.txn, t.intent.id, t.proxy, t.sent, t.outcome, t.at)
            )
        for a in self.attempts:
            digest.update(
                b"%d %d %d %d %d %d;" % (a.txn, a.proxy, a.backend, a.at, a.outcome, a.end)
            )
        return digest.hexdigest()
