"""Load probes, within a cost budget, to backends that report their queue length only to probes."""

from __future__ import annotations

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult
from mothstall.policy.backend import NOT_MEASURED, Backend
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.latency import USUAL_GAIN
from mothstall.policy.slow_start import SlowStart

MAX_PROBE_POINTS = 0.015  # cost budget of probes per attempt, in points
MIN_PROBE_INTERVAL_NS = NS // 20  # minimum time between two probes of a backend
REPORT_MAX_AGE_NS = 2 * NS  # age from which a report is ignored; its weight falls linearly
# A backend misses its turns if its reported queue exceeds `LONG_QUEUE_RATIO` times the mean plus
# `LONG_QUEUE_OFFSET`.
LONG_QUEUE_RATIO = 0.7
LONG_QUEUE_OFFSET = 0.5
MAX_QUEUE = 1e6  # reports of longer queues are ignored
MAX_SAVED_PROBES = 2.0  # upper bound of the unused probe budget


class LoadProbes:
    """Sends load probes and keeps the queue lengths that they reported.

    Attributes:
        is_on: Whether probes are allowed and backends report load only to probes.
    """

    def __init__(self, context: Context, endpoints: EndpointList, slow_start: SlowStart) -> None:
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self.is_on = context.settings.may_probe and context.settings.load_by_probes
        self._credit = 0.0
        self._mean_queue = 0.0

    def load_value(self, load: tuple[float, ...], name: str) -> float:
        """Return the named value of a load report, or `NOT_MEASURED` if it has none."""
        names = self._context.settings.load_names
        if name in names and len(load) == len(names):
            return float(load[names.index(name)])
        return NOT_MEASURED

    def probe_next(self, group: list[Backend], turn: int) -> None:
        """Probe the backends whose turns come after `turn`, as many as the cost budget allows."""
        fee = max(self._context.settings.probe_fee, MAX_PROBE_POINTS)
        self._credit = min(MAX_SAVED_PROBES, self._credit + MAX_PROBE_POINTS / fee)
        if self._credit < 1.0:
            return
        for backend in group[turn + 1 :] + group[:turn]:
            if self._credit >= 1.0 and self._may_probe(backend):
                self._credit -= 1.0
                backend.queue_report.is_requested = True
                self._context.actions.append(io.ProbeLoad(backend.id))

    def _may_probe(self, backend: Backend) -> bool:
        """Whether to probe a backend; one that is warming up needs a connection first.

        Guards against the load of a handshake at a warming backend.
        """
        report = backend.queue_report
        if report.is_requested or backend.outlier.ejected_until_ns:
            return False
        if not backend.slow_start.is_used and self._slow_start.warmth(backend) < 1:
            return False
        return self._context.now_ns - report.reported_at_ns >= MIN_PROBE_INTERVAL_NS

    def probe_ended(self, event: io.LoadProbeEnded) -> None:
        """Record the queue length that a probe returned, if it is valid."""
        backend = self._endpoints.by_id.get(event.backend)
        if backend is None:
            return
        report = backend.queue_report
        report.is_requested = False
        length = self.load_value(event.load, "queue")
        if event.result == AttemptResult.OK and 0 <= length < MAX_QUEUE:
            report.length = length * self._endpoints.max_weight / backend.weight
            report.reported_at_ns = self._context.now_ns
            self._mean_queue += USUAL_GAIN * (report.length - self._mean_queue)

    def has_long_queue(self, backend: Backend) -> bool:
        """Return whether a backend's reported queue, weighted by its age, is well above the mean.

        Guards against sending to a backend that other proxies have congested.
        """
        report = backend.queue_report
        age_ns = self._context.now_ns - report.reported_at_ns
        freshness = max(0.0, 1.0 - age_ns / REPORT_MAX_AGE_NS)
        return report.length * freshness > LONG_QUEUE_RATIO * self._mean_queue + LONG_QUEUE_OFFSET
