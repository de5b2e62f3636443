"""State that this proxy keeps of one backend since that backend last started."""

from __future__ import annotations

from typing import NamedTuple

from mothstall import interface as io
from mothstall.interface import NS
from mothstall.policy import hashing

INITIAL_LIMIT = 4.0  # first concurrency limit: enough to measure latency, too few to overload
WARMING_LIMIT = 1.0  # initial concurrency limit of a backend that is warming up
MIN_EJECTION_NS = NS // 2  # duration of the first ejection; each further one doubles it
MIN_WEIGHT = 1e-3  # bounds of a listed weight
MAX_WEIGHT = 1e3
NOT_MEASURED = -1.0  # value of a throughput or a load value that has not been measured


def clamped_weight(weight: float) -> float:
    """Return a listed weight clamped to the allowed range; 1 if it is NaN or not positive.

    Guards against listed weights so small that the backend would never get a turn.
    """
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT) if weight > 0 else 1.0


class SlotRecord(NamedTuple):
    """The arrivals of one slot at one backend."""

    end_ns: int
    span_ns: int
    arrivals: int
    is_burst: bool  # the slot's arrival rate was above the mean over the observation time


class Throughput:
    """The paper's measurements of one backend, updated by `priority_groups` at the end of a slot.

    Attributes:
        filtered: The paper's first estimate, equation (5), in responses per second; negative: not
            measured.
        corrected: The paper's second estimate, equation (8), in responses per second.
        measured: Throughput in the previous slot (the paper's X), in responses per second.
        utilization: Utilization in the previous slot (the paper's U), 0 to 1.
        burstiness: The paper's b, equation (2), over the observation time, 0 to 1.
        slot_records: The slots within the observation time.
        arrivals: Attempts sent in this slot.
        completions: Successful responses in this slot.
        busy_ns: Time in this slot with attempts in flight, up to `Backend.busy_since_ns`.
        reported_utilization: Utilization that the backend last reported; negative: none yet.
    """

    __slots__ = (
        "arrivals",
        "burstiness",
        "busy_ns",
        "completions",
        "corrected",
        "filtered",
        "measured",
        "reported_utilization",
        "slot_records",
        "utilization",
    )

    def __init__(self) -> None:
        self.filtered = NOT_MEASURED
        self.corrected = NOT_MEASURED
        self.measured = 0.0
        self.utilization = 0.0
        self.burstiness = 0.0
        self.slot_records: list[SlotRecord] = []
        self.arrivals = 0
        self.completions = 0
        self.busy_ns = 0
        self.reported_utilization = NOT_MEASURED

    def forget_estimates(self) -> None:
        """Discard the estimates; the next measurement replaces them."""
        self.filtered = NOT_MEASURED
        self.corrected = NOT_MEASURED


class ConcurrencyState:
    """The limit on attempts in flight to one backend; changed by `concurrency`.

    Attributes:
        limit: The concurrency limit, in attempts.
        reduced_at_ns: When the limit was last reduced; only attempts sent later may reduce it.
        backoff_until_ns: End of the backoff after a rejection; until then no attempt is sent.
        backoff_multiplier: Doubles with each rejection; a successful response resets it to 1.
    """

    __slots__ = ("backoff_multiplier", "backoff_until_ns", "limit", "reduced_at_ns")

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.reduced_at_ns = 0
        self.backoff_until_ns = 0
        self.backoff_multiplier = 1.0


class OutlierState:
    """Failures of one backend and its ejection; changed by `outliers`.

    Attributes:
        failure_score: Sum of the scores of recent failures; each successful response halves it.
        ejected_until_ns: When the ejection ends and a half-open probe may be sent; 0: not ejected.
        ejection_ns: Duration of the next ejection.
        is_probing: Whether a half-open probe is in flight.
    """

    __slots__ = ("ejected_until_ns", "ejection_ns", "failure_score", "is_probing")

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.ejected_until_ns = 0
        self.ejection_ns = MIN_EJECTION_NS
        self.is_probing = False


class SlowStartState:
    """Token bucket of a backend that is warming up; changed by `slow_start`.

    Attributes:
        tokens: Tokens in the bucket; an attempt is sent only if there is a full one.
        refilled_at_ns: When tokens were last added.
        is_used: Whether an attempt has been sent to it, so that a connection is probably open.
    """

    __slots__ = ("is_used", "refilled_at_ns", "tokens")

    def __init__(self, tokens: float, now_ns: int) -> None:
        self.tokens = tokens
        self.refilled_at_ns = now_ns
        self.is_used = False


class QueueReport:
    """The queue length that a load probe last reported; changed by `load_probes`.

    Attributes:
        length: Queued requests, scaled to the greatest listed weight.
        reported_at_ns: Time of the report; negative: none yet.
        is_requested: Whether a load probe is in flight.
    """

    __slots__ = ("is_requested", "length", "reported_at_ns")

    def __init__(self) -> None:
        self.length = 0.0
        self.reported_at_ns = -1
        self.is_requested = False


class Backend:
    """One listed backend; a restart under the same id makes a new `Backend`.

    Attributes:
        id: Its id in the endpoint list; `zone`, `cell` and `machine_kind` (hardware generation)
            are listed too.
        weight: Its listed weight, clamped to the allowed range.
        started_ns: When it started; 0: long ago.
        ring_position: Its sort key on the hash ring: the hash of its id, then the id.
        turn_credit: Deficit counter of the weighted round robin; a turn costs 1.
        in_priority_group: Whether it is in the paper's priority group; valid only for a member.
        is_member: Whether it is in this proxy's subset.
        in_flight: Number of attempts from this proxy in flight.
        busy_since_ns: When the number of attempts in flight last rose from 0.
        last_progress_ns: Time of its last successful response; initially, when it was listed.
        slowness: Ratio of its recent latency to the baseline of the class; 1: not slow.
        throughput: The paper's measurements of its throughput.
        concurrency: Its concurrency limit and backoff.
        outlier: Its failure score and ejection.
        slow_start: Its token bucket while it is warming up.
        queue_report: The queue length that a load probe reported.
    """

    __slots__ = (
        "busy_since_ns",
        "cell",
        "concurrency",
        "id",
        "in_flight",
        "in_priority_group",
        "is_member",
        "last_progress_ns",
        "machine_kind",
        "outlier",
        "queue_report",
        "ring_position",
        "slow_start",
        "slowness",
        "started_ns",
        "throughput",
        "turn_credit",
        "weight",
        "zone",
    )

    def __init__(self, entry: io.Endpoint, now_ns: int, slow_start_tokens: float) -> None:
        self.id = entry.backend
        self.zone = entry.zone
        self.cell = entry.cell
        self.machine_kind = entry.kind
        self.weight = clamped_weight(entry.weight)
        self.started_ns = entry.started_ns
        self.ring_position = (hashing.stable_hash(entry.backend), entry.backend)
        self.turn_credit = 1.0
        self.in_priority_group = False
        self.is_member = False
        self.in_flight = 0
        self.busy_since_ns = now_ns
        self.last_progress_ns = now_ns
        self.slowness = 1.0
        self.throughput = Throughput()
        self.concurrency = ConcurrencyState(INITIAL_LIMIT)
        self.outlier = OutlierState()
        self.slow_start = SlowStartState(slow_start_tokens, now_ns)
        self.queue_report = QueueReport()
