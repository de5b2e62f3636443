"""Latency statistics: the usual latency, each class's baseline, and lateness shared by classes.

A late response may be due to a congested fleet, a slow machine, an expensive request, or a class
that is slow at every backend. The model distinguishes these causes, so that only congestion reduces
the capacity for all requests.
"""

from __future__ import annotations

import math

from mothstall.interface import NS
from mothstall.policy.backend import Backend
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.request import Request

USUAL_GAIN = 0.05  # smoothing factor of the usual latency, per response
COST_GAIN = 0.02  # smoothing factor of the regression on cost and of the ratios by machine kind
LATE_FRACTION = 0.45  # a response is late above this fraction of its objective
MAX_BASELINE_RATIO = 3.0  # a response is late above this multiple of its class's baseline
CONGESTED_RATIO = 1.6  # no response below this multiple of its class's baseline shows congestion
IDLE_IN_FLIGHT = 2.0  # attempts per backend, of all proxies, up to which the fleet is idle
BASELINE_SAMPLES = 50.0  # responses in the mean that becomes the baseline
BASELINE_RISE = 0.002  # relative rise of the lowest mean per second
MIN_SAMPLES = 10  # attempts of a class before its lowest recent latency is recorded
SHARED_TOLERANCE = 0.2  # tolerated difference between classes, as a fraction of the usual latency
MIN_SHARED_FRACTION = 0.5  # shared fraction below which lateness or errors belong to one class
SLOWNESS_GAIN = 0.3  # smoothing factor of a backend's slowness, per response
SLOWNESS_DECAY_NS = 8 * NS  # time constant of the decay of slowness
MAX_SLOWNESS = 4.0  # bound, as a multiple of the baseline; timeouts and rejections count as this
INITIAL_NOISE = 0.25  # initial value of `LatencyModel.noise`
MIN_KIND_RATIO = 0.1  # lower bound of a machine kind's ratio, which is used as a divisor


class ClassBaseline:
    """The lowest mean latency of a class while few attempts were in flight."""

    __slots__ = ("count", "lowest_ns", "mean_ns")

    def __init__(self, mean_ns: float = 0.0, lowest_ns: float = 0.0, count: float = 0.0) -> None:
        self.mean_ns = mean_ns
        self.lowest_ns = lowest_ns  # 0: not measured yet
        self.count = count

    def add(self, latency_ns: float) -> None:
        """Add one response."""
        self.count += 1.0
        self.mean_ns += (latency_ns - self.mean_ns) / min(self.count, BASELINE_SAMPLES)
        if self.count >= BASELINE_SAMPLES:
            self.lowest_ns = min(self.mean_ns, self.lowest_ns or self.mean_ns)


class LatencyModel:
    """Latency statistics of this proxy's responses, by class and overall.

    Attributes:
        usual_ns: Smoothed latency of successful responses; 0: none yet.
        congestion: Fraction of recent responses that showed congestion, 0 to 1.
        noise: Mean relative deviation of single latencies from the expected latency.
        baselines: By class, its baseline latency.
        recent_ns: By class, smoothed latency; an attempt without a response counts with its age.
        shared_lateness: By class, the fraction of its lateness that all classes share, 0 to 1.
        kind_ratios: By machine kind, ratio of its latency to the baseline of the class.
    """

    def __init__(self, context: Context, endpoints: EndpointList) -> None:
        self._context = context
        self._endpoints = endpoints
        count = len(context.settings.classes)
        self.usual_ns = 0.0
        self.congestion = 1.0
        self.noise = INITIAL_NOISE
        self.baselines = [ClassBaseline() for _ in range(count)]
        self.recent_ns = [0.0] * count
        self.shared_lateness = [1.0] * count
        self.kind_ratios: dict[int, float] = {}
        self._samples = [0] * count
        self._lowest_recent_ns = [0.0] * count
        self._error_rates = [0.0] * count  # by class, the recent fraction of errors
        self._mean_costs = [0.0] * count  # by class, mean of the declared costs
        self._cost_variance = 0.0
        self._cost_covariance = 0.0  # of cost and latency

    def record_cost(self, class_index: int, cost_ns: int) -> None:
        """Update a class's mean cost with the cost that a request declares."""
        mean = self._mean_costs[class_index]
        if mean:
            self._mean_costs[class_index] = mean + USUAL_GAIN * (cost_ns - mean)
        else:
            self._mean_costs[class_index] = float(cost_ns)

    def update_usual(self, latency_ns: int) -> None:
        """Update the usual latency with a successful response."""
        if self.usual_ns:
            self.usual_ns += USUAL_GAIN * (latency_ns - self.usual_ns)
        else:
            self.usual_ns = latency_ns

    def end_slot(self, span_ns: int) -> None:
        """Raise the lowest latencies slightly, so that an outdated minimum is replaced in time."""
        rise = 1.0 + BASELINE_RISE * span_ns / NS
        for baseline in self.baselines:
            baseline.lowest_ns *= rise
        self._lowest_recent_ns = [lowest * rise for lowest in self._lowest_recent_ns]

    def update_shared_lateness(self, class_index: int, latency_ns: int) -> None:
        """Update the fraction of each class's lateness that all classes share, as in congestion.

        Guards against reducing the capacity or ejecting backends because one class is slow, or gets
        no response, at every backend.
        """
        self._samples[class_index] += 1
        gain = max(USUAL_GAIN, 1.0 / self._samples[class_index])
        self.recent_ns[class_index] += gain * (latency_ns - self.recent_ns[class_index])
        if self._samples[class_index] >= MIN_SAMPLES:
            lowest = self._lowest_recent_ns[class_index] or math.inf
            self._lowest_recent_ns[class_index] = min(self.recent_ns[class_index], lowest)
        # Classes without a baseline are left out of the comparison.
        excess = [
            max(0.0, recent - baseline.lowest_ns) if baseline.lowest_ns else -1.0
            for recent, baseline in zip(self.recent_ns, self.baselines, strict=True)
        ]
        if self._endpoints.is_sparse or max(excess) < 0:
            return
        tolerance = SHARED_TOLERANCE * self.usual_ns
        least = min(own for own in excess if own >= 0)
        self.shared_lateness = [
            (least + tolerance) / (own + tolerance) if own >= 0 else 1.0 for own in excess
        ]

    def shared_error_fraction(self, class_index: int, error: float) -> float:
        """Record an error (1) or a success (0); return the fraction of errors that classes share.

        Guards against a class that fails at every backend and would cause all to be ejected.
        """
        self._error_rates[class_index] += USUAL_GAIN * (error - self._error_rates[class_index])
        least = min(self._error_rates) + SHARED_TOLERANCE
        fraction = least / (self._error_rates[class_index] + SHARED_TOLERANCE)
        return fraction if fraction < MIN_SHARED_FRACTION else 1.0

    def latency_at_mean_cost(self, request: Request, latency_ns: int) -> float:
        """Return the latency adjusted to the mean cost of the request's class.

        Guards against taking expensive requests for congestion, if their costs are declared.
        """
        if not request.cost_ns:
            return latency_ns
        excess = request.cost_ns - self._mean_costs[request.class_index]
        if self._cost_variance:
            self._cost_variance += COST_GAIN * (excess * excess - self._cost_variance)
        else:
            self._cost_variance += excess * excess
        # Initially, latency is assumed to grow by the declared cost, with a slope of 1.
        self._cost_covariance = self._cost_covariance or self._cost_variance
        deviation_ns = latency_ns - self.recent_ns[request.class_index]
        self._cost_covariance += COST_GAIN * (excess * deviation_ns - self._cost_covariance)
        slope = 1.0
        if self._cost_variance:
            slope = max(0.0, self._cost_covariance / self._cost_variance)
        return max(latency_ns - slope * excess, 0.0)

    def baseline_ns(self, request: Request, latency_ns: float, in_flight: int) -> float:
        """Record a response's latency; return the baseline of its class.

        Guards against judging congestion by the objective alone: with an objective close to the
        service time an idle fleet would look congested; with one far above it, long queues would
        not be noticed.
        """
        settings = self._context.settings
        baseline = self.baselines[request.class_index]
        if in_flight * settings.proxies <= IDLE_IN_FLIGHT * len(self._endpoints):
            baseline.add(latency_ns)
        lowest_ns = baseline.lowest_ns
        if not lowest_ns and self._endpoints.is_sparse:
            # Guards against a missing baseline for requests that wait on other services: many of
            # them are in flight even at low load.
            lowest_ns = self._lowest_recent_ns[request.class_index]
        lowest_ns = lowest_ns or baseline.mean_ns
        if self._endpoints.is_sparse:
            # Guards against a baseline measured during congestion that began before the start.
            return min(lowest_ns, LATE_FRACTION * request.objective_ns)
        return lowest_ns

    def update_slowness(self, backend: Backend, latency_ns: float, baseline_ns: float) -> None:
        """Update a backend's slowness by the ratio of a latency to its class's baseline.

        Guards against penalizing a machine kind that is slower by design: its listed weight already
        accounts for it.
        """
        kind_ratio = max(MIN_KIND_RATIO, self.kind_ratios.get(backend.machine_kind, 1.0))
        level = min(MAX_SLOWNESS, latency_ns / baseline_ns)
        self.kind_ratios[backend.machine_kind] = kind_ratio + COST_GAIN * (level - kind_ratio)
        ratio = min(MAX_SLOWNESS, latency_ns / baseline_ns / kind_ratio)
        backend.slowness += SLOWNESS_GAIN * (ratio - backend.slowness)
        self.noise += COST_GAIN * (min(1.0, abs(ratio - 1.0)) - self.noise)

    def count_congestion(self, *, is_congested: bool) -> None:
        """Record whether a successful response showed congestion."""
        self.congestion += USUAL_GAIN * (is_congested - self.congestion)


def record_max_slowness(backend: Backend) -> None:
    """Update a backend's slowness after a timeout or a rejection, as if it had the maximum."""
    backend.slowness += SLOWNESS_GAIN * (MAX_SLOWNESS - backend.slowness)


def decay_slowness(backend: Backend, span_ns: int) -> None:
    """Decay slowness over a slot of `span_ns`."""
    backend.slowness = 1.0 + (backend.slowness - 1.0) * math.exp(-span_ns / SLOWNESS_DECAY_NS)
