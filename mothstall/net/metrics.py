"""Counts outcomes of requests by class, and attempts sent, for the reported metrics. Pure.

| count | when |
| --- | --- |
| taken | a request of a known class was passed to the balancer |
| fulfilled | its 200 response was written completely to the client's connection |
| throttled | its rejection (503) was written to the client's connection |
| faulted | its failure (502 or 504) was written, or its response was truncated |
| left | its client left before the request was fulfilled, throttled or faulted |
| relayed | the last byte of an attempt was written to a backend's connection |

A malformed request has no class and is counted in `counters.py` only.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

from mothstall.net.counters import Counters
from mothstall.net.invariants import check_invariant

PREFIX = "app"  # of all metric names


class Outcome(IntEnum):
    """How a request ended."""

    FULFILLED = 0
    THROTTLED = 1
    FAULTED = 2
    LEFT = 3


# The counter of each outcome.
_OUTCOME_COUNTERS = ("answers_ok", "answers_refused", "answers_failed", "requests_left")


class RequestMetrics:
    """Counts of requests by class and outcome.

    Attributes:
        relayed: Attempts whose last byte was written to a backend's connection.
    """

    def __init__(self, classes: Sequence[str], counters: Counters) -> None:
        self._classes = classes
        self._counters = counters
        self._taken = [0] * len(classes)
        self._ended = [[0] * len(classes) for _ in Outcome]
        self.relayed = 0

    @property
    def open_requests(self) -> int:
        """Requests that have not ended."""
        return sum(self._taken) - sum(map(sum, self._ended))

    @property
    def totals(self) -> tuple[int, int]:
        """Requests accepted, and those of them that were rejected."""
        return sum(self._taken), sum(self._ended[Outcome.THROTTLED])

    def start_request(self, class_index: int) -> None:
        """Count a request that is passed to the balancer."""
        self._taken[class_index] += 1
        self._counters.add("requests")

    def end_request(self, class_index: int, outcome: Outcome) -> None:
        """Count the end of a request; called once per request."""
        self._ended[outcome][class_index] += 1
        self._counters.add(_OUTCOME_COUNTERS[outcome])
        ended = sum(row[class_index] for row in self._ended)
        check_invariant(
            ended <= self._taken[class_index],
            "no more requests end than were accepted",
            self._counters,
        )

    def count(self, outcome: Outcome, class_index: int) -> int:
        """Return the number of requests of a class that ended with `outcome`."""
        return self._ended[outcome][class_index]

    def statsd_text(self, **gauges: int) -> str:
        """Return lines in statsd format: counters since the start, then gauges."""
        lines = [
            f"{PREFIX}.{outcome.name.lower()}.{name}:{self._ended[outcome][i]}|c"
            for outcome in (Outcome.FULFILLED, Outcome.THROTTLED, Outcome.FAULTED)
            for i, name in enumerate(self._classes)
        ]
        lines.append(f"{PREFIX}.relayed:{self.relayed}|c")
        lines.append(f"{PREFIX}.open_requests:{self.open_requests}|g")
        lines += [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"
