"""A simulated backend: cores behind a queue, slow start, connections, faults and load reports.

Pure: time comes from a timeline, random numbers from a given generator. A job's work is in ns on
one warm core of speed 1. A driver calls `connect`, `receive`, `cancel` and `disconnect`, and gets
one call of `reply(job, outcome)` for each job that ends with a response or a broken connection.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from mothstall.lab.ledger import (
    Arrival,
    AttemptOutcome,
    BackendIncarnation,
    ColdOverload,
    Intent,
    Ledger,
)
from mothstall.lab.scenario import Boxes, Kind, Rules
from mothstall.lab.timeline import Timeline

QUEUED, RUNNING, WAITING, HUNG, DONE = range(5)
UTIL_TIME_CONSTANT_NS = 500_000_000.0  # time constant of the reported utilization
DUPLICATE_COST = 0.05  # part of its work that a duplicate of a finished key costs
KEY_RETENTION_SLACK_NS = 300_000_000  # how much longer than its window a key is kept
EFFECT_THRESHOLD = 0.5  # a cancelled job has had its effect after this part of its work


class KeyRecord:
    """The state of one idempotency key in a group of backends."""

    __slots__ = ("done", "expires_at")

    def __init__(self, expires_at: int) -> None:
        self.expires_at, self.done = expires_at, False


class KeyStore:
    """The idempotency keys of one group of backends; expired keys are removed."""

    def __init__(self) -> None:
        self._records: dict[int, KeyRecord] = {}
        self._expiry_queue: deque[tuple[int, int]] = deque()

    def record(self, key: int, now: int, window: int) -> KeyRecord:
        expiry_queue = self._expiry_queue
        while expiry_queue and expiry_queue[0][0] <= now:
            _, expired_key = expiry_queue.popleft()
            if expired_key in self._records and self._records[expired_key].expires_at <= now:
                del self._records[expired_key]
        record = self._records.get(key)
        if record is None or record.expires_at <= now:
            record = self._records[key] = KeyRecord(now + window + KEY_RETENTION_SLACK_NS)
            expiry_queue.append((record.expires_at, key))
        return record


class Job:
    """One attempt at a backend."""

    __slots__ = (
        "context",
        "generation",
        "intent",
        "key_record",
        "kind",
        "record",
        "remaining",
        "reply",
        "reset_after_run",
        "speed",
        "state",
        "updated_at",
        "work",
    )

    def __init__(
        self,
        record: Arrival,
        intent: Intent,
        kind: Kind,
        work: float,
        reply: Callable[[Job, AttemptOutcome], object],
    ) -> None:
        self.record, self.intent, self.kind, self.reply = record, intent, kind, reply
        self.work = self.remaining = work
        self.state, self.generation, self.updated_at, self.speed = QUEUED, 0, 0, 0.0
        self.key_record: KeyRecord | None = None
        self.reset_after_run = False
        self.context: Any = None  # data of the driver


class SharedState:
    """State that backends share: idempotency keys by group, and dependency faults by class."""

    def __init__(self) -> None:
        self.key_stores: dict[tuple[str, int], KeyStore] = {}
        # By class: mode and factor of its dependency's fault.
        self.dependency_faults: dict[int, tuple[str, float]] = {}

    def key_store(self, group: str, group_index: int) -> KeyStore:
        return self.key_stores.setdefault((group, group_index), KeyStore())


class Backend:
    def __init__(
        self,
        number: int,
        group: Boxes,
        zone: int,
        rules: Rules,
        *,
        time: Timeline,
        ledger: Ledger,
        shared: SharedState,
        rng: random.Random,
        on_change: Callable[[Backend], object],
        started: int,
        max_subjects: int = 0,
        miss_cost: float = 0.0,
    ) -> None:
        self.id, self.group, self.zone, self.cell, self.rules = (
            number,
            group,
            zone,
            group.cell,
            rules,
        )
        self.time, self.ledger, self.shared, self.rng = time, ledger, shared, rng
        self._on_change = on_change
        self.slowdown, self.fail_odds, self.reset_odds, self.spoil_odds = 1.0, 0.0, 0.0, 0.0
        self.hung = self.paused = self.cut_in = self.cut_out = self.draining = False
        self.up = self.silent = False
        self.connections = 0
        self.queue: deque[Job] = deque()
        self.running: list[Job] = []
        self.waiting: set[Job] = set()  # jobs without a core: on a dependency, paused, or hung
        # Responses held back until a pause ends.
        self._deferred_responses: list[tuple[Job, AttemptOutcome]] = []
        self._recent_work: deque[tuple[int, int, int]] = deque()
        self._recent_work_sum = 0
        self._cached_subjects: dict[int, None] = {}
        self._max_subjects, self._miss_cost = max_subjects, miss_cost
        self._util, self._util_at = 0.0, 0
        self._report: tuple[float, ...] = ()
        self._report_at = -1
        self.incarnation = BackendIncarnation(
            number, zone, group.cell, group.cores, group.speed, started
        )
        self.start(started)

    # Start and stop

    def start(self, now: int) -> None:
        """Start a new, cold process; with `now` = 0 it is already warm."""
        self.up, self.draining, self.started = True, False, now
        self._recent_work.clear()
        self._recent_work_sum = 0
        self.incarnation = BackendIncarnation(
            self.id, self.zone, self.cell, self.group.cores, self.group.speed, now
        )
        self.ledger.incarnations.append(self.incarnation)

    def stop(self, outcome: AttemptOutcome = AttemptOutcome.LOST) -> None:
        """End the process: its jobs and connections are lost."""
        if not self.up:
            return
        self.up, self.incarnation.ended = False, self.time.now
        self.end_all_jobs(outcome)
        self.connections = 0
        self._on_change(self)

    def drain(self) -> None:
        self.draining, self.incarnation.drained = True, self.time.now

    def end_all_jobs(self, outcome: AttemptOutcome) -> None:
        """End every open job with the given outcome."""
        jobs = [*self.running, *self.queue, *self.waiting]
        self.running.clear()
        self.queue.clear()
        self.waiting.clear()
        self._deferred_responses.clear()
        for job in sorted(jobs, key=lambda j: (j.record.at, j.record.txn)):
            self._update_progress(job)
            self._end(job, outcome)

    def warmth(self) -> float:
        """The present part of its full capacity."""
        age = self.time.now - self.started
        if not self.started or age >= self.rules.cold:
            return 1.0
        fraction = math.pow(age / self.rules.cold, self.rules.warm_shape)
        return self.rules.cold_from + (1 - self.rules.cold_from) * fraction

    # Requests

    def connect(self) -> bool:
        """Open a connection; False if the process is down or the connection limit is reached."""
        if not self.up or self.connections >= self.group.connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        self.connections = max(0, self.connections - 1)

    def receive(self, job: Job, is_new_connection: bool) -> None:
        """Receive a whole request, on a new or a reused connection."""
        now, record = self.time.now, job.record
        if is_new_connection:
            job.work += self.group.handshake
            job.remaining = job.work
        if self._miss_cost and job.intent.subject:
            self._use_subject(job)
        record.work = int(job.work)
        self.ledger.attempts.append(record)
        if self.started and now - self.started < self.rules.cold and self._record_cold_work(record):
            job.state = DONE
            return
        if self.hung:
            job.state = HUNG
            self.waiting.add(job)
            return
        if len(self.queue) >= self.group.queue:
            self._end(job, AttemptOutcome.REJECTED)
            return
        if self.fail_odds and self.rng.random() < self.fail_odds:
            self._end(job, AttemptOutcome.ERROR)
            return
        if self.reset_odds and self.rng.random() < self.reset_odds:
            if self.rng.random() < 0.5:
                self._end(job, AttemptOutcome.RESET)
                return
            job.reset_after_run = True
        fault = self.shared.dependency_faults.get(job.intent.cls)
        if fault and fault[0] == "fail":
            self._end(job, AttemptOutcome.ERROR)
            return
        if job.kind.effect == "keyed":
            group_index = {"all": 0, "zone": self.zone, "cell": self.cell}[job.kind.group]
            key_store = self.shared.key_store(f"{job.kind.group} {job.intent.cls}", group_index)
            job.key_record = key_store.record(job.intent.id, now, job.kind.window)
            if job.key_record.done:
                job.work = job.remaining = job.work * DUPLICATE_COST
        if len(self.running) < self.group.cores and not self.paused:
            self._start_job(job)
        else:
            self.queue.append(job)

    def cancel(self, job: Job) -> None:
        """The proxy closed the connection. The job stops, unless the group has `runs_on` set."""
        if job.state == DONE or self.cut_in or self.group.runs_on:
            return
        if job.state == RUNNING:
            self._update_progress(job)
            self.running.remove(job)
            self._start_queued_jobs()
            if job.remaining <= (1 - EFFECT_THRESHOLD) * job.work:
                self._apply_effect(job)
        elif job.state == QUEUED:
            self.queue.remove(job)
        else:
            self.waiting.discard(job)
        self._end(job, AttemptOutcome.CANCELLED, notify=False)

    def _start_job(self, job: Job) -> None:
        self._note_util()
        job.state, job.updated_at = RUNNING, self.time.now
        self.running.append(job)
        job.speed = self._speed()
        self.time.at(
            self.time.now + int(job.remaining / job.speed) + 1, self._finish, job, job.generation
        )

    def _speed(self) -> float:
        """Work that one core does per ns."""
        contention = 1.0 + self.group.contention * (len(self.queue) + len(self.running))
        return self.group.speed * self.warmth() / (self.slowdown * contention)

    def _update_progress(self, job: Job) -> None:
        """Update the job's remaining work, and invalidate its scheduled completion."""
        if job.state == RUNNING and job.speed:
            job.remaining = max(0.0, job.remaining - (self.time.now - job.updated_at) * job.speed)
        job.updated_at, job.speed = self.time.now, 0.0
        job.generation += 1

    def reschedule(self) -> None:
        """Reschedule the running jobs after a change of speed, and after a pause begins or ends."""
        for job in self.running:
            self._update_progress(job)
            if not self.paused:
                job.speed = self._speed()
                self.time.at(
                    self.time.now + int(job.remaining / job.speed) + 1,
                    self._finish,
                    job,
                    job.generation,
                )
        if not self.paused:
            deferred, self._deferred_responses = self._deferred_responses, []
            for job, outcome in deferred:
                self._respond(job, outcome)
            self._start_queued_jobs()

    def _start_queued_jobs(self) -> None:
        while (
            self.queue and len(self.running) < self.group.cores and not (self.paused or self.hung)
        ):
            self._start_job(self.queue.popleft())

    def _finish(self, job: Job, generation: int) -> None:
        if job.generation != generation or job.state != RUNNING:
            return
        self._note_util()
        self.running.remove(job)
        job.remaining = 0.0
        job.state = WAITING
        is_duplicate = job.key_record is not None and job.key_record.done
        self._apply_effect(job)
        outcome = (
            AttemptOutcome.RESET
            if job.reset_after_run
            else AttemptOutcome.DUPLICATE
            if is_duplicate
            else AttemptOutcome.SERVED
        )
        if (
            outcome != AttemptOutcome.RESET
            and self.spoil_odds
            and self.rng.random() < self.spoil_odds
        ):
            outcome = AttemptOutcome.UNREADABLE
        fault = self.shared.dependency_faults.get(job.intent.cls)
        wait_ns = int(job.kind.waits * self.slowdown)
        if fault and fault[0] == "slow":
            wait_ns = int((wait_ns + job.work) * fault[1])
        if fault and fault[0] == "hang":
            self.waiting.add(job)
        elif wait_ns:
            self.waiting.add(job)
            self.time.at(self.time.now + wait_ns, self._respond, job, outcome)
        else:
            self._end(job, outcome)
        self._start_queued_jobs()

    def _respond(self, job: Job, outcome: AttemptOutcome) -> None:
        if job.state != WAITING:
            return
        if self.paused:
            self._deferred_responses.append((job, outcome))
            return
        self.waiting.discard(job)
        self._end(job, outcome)

    def _apply_effect(self, job: Job) -> None:
        if job.kind.effect == "safe" or (job.key_record is not None and job.key_record.done):
            return
        if job.key_record is not None:
            job.key_record.done = True
        job.intent.effects.append((self.time.now, self.id))

    def _end(self, job: Job, outcome: AttemptOutcome, notify: bool = True) -> None:
        job.state = DONE
        job.generation += 1
        record = job.record
        record.outcome, record.end, record.done = (
            outcome,
            self.time.now,
            int(job.work - job.remaining),
        )
        if notify:
            job.reply(job, outcome)

    def _use_subject(self, job: Job) -> None:
        subjects, subject = self._cached_subjects, job.intent.subject
        if subject in subjects:
            del subjects[subject]  # moved to the end: the least recently used is evicted first
        else:
            job.work *= 1 + self._miss_cost
            job.remaining = job.work
            if len(subjects) >= self._max_subjects:
                del subjects[next(iter(subjects))]
        subjects[subject] = None

    # Cold overload

    def _record_cold_work(self, record: Arrival) -> bool:
        """Record work that reaches a cold backend; past the overload limit it ends, returning True.

        Rejected requests count too. The limit for the work of one window is overload multiple x
        present capacity x window.
        """
        now, window = self.time.now, self.rules.fall
        recent = self._recent_work
        while recent and recent[0][0] <= now - window:
            self._recent_work_sum -= recent.popleft()[1]
        recent.append((now, record.work, record.proxy))
        self._recent_work_sum += record.work
        capacity = self.group.cores * self.group.speed * self.warmth()
        if self._recent_work_sum <= self.rules.fall_multiple * capacity * window:
            return False
        work_by_proxy: dict[int, int] = {}
        for _, work, proxy in recent:
            work_by_proxy[proxy] = work_by_proxy.get(proxy, 0) + work
        self.ledger.cold_overloads.append(ColdOverload(self.id, now, int(window), work_by_proxy))
        record.outcome, record.end = AttemptOutcome.LOST, now
        self.silent = True  # sends no resets
        self.stop()
        return True

    # Faults

    def hang(self, on: bool) -> None:
        if on == self.hung:
            return
        self.hung = on
        if on:
            for job in [*self.running, *self.queue]:
                self._update_progress(job)
                job.state = HUNG
                self.waiting.add(job)
            self.running.clear()
            self.queue.clear()
            return
        for job in sorted(self.waiting, key=lambda j: (j.record.at, j.record.txn)):
            if job.state == HUNG:
                self.waiting.discard(job)
                self._end(job, AttemptOutcome.RESET)

    def pause(self, on: bool) -> None:
        self.paused = on
        self.reschedule()

    def set_slow(self, factor: float) -> None:
        self.slowdown = factor
        if not self.paused:
            self.reschedule()

    def resume_class(self, cls: int) -> None:
        """The dependency of a class is available again: complete the jobs that waited for it."""
        for job in sorted(self.waiting, key=lambda j: (j.record.at, j.record.txn)):
            if job.state == WAITING and job.intent.cls == cls:
                self._respond(job, AttemptOutcome.SERVED)

    # Load reports

    @property
    def in_flight(self) -> int:
        return len(self.running) + len(self.queue) + len(self.waiting)

    def _note_util(self) -> None:
        now = self.time.now
        if now > self._util_at:
            busy = len(self.running) / self.group.cores
            self._util += (busy - self._util) * -math.expm1(
                (self._util_at - now) / UTIL_TIME_CONSTANT_NS
            )
            self._util_at = now

    def report(self) -> tuple[float, ...]:
        """The load report for a response, ordered as the rules name it, up to `report_age` old."""
        now, age = self.time.now, self.rules.report_age
        if self._report_at < 0 or now - self._report_at >= age:
            self._note_util()
            values = {
                "inflight": float(self.in_flight),
                "queue": float(len(self.queue)),
                "util": self._util,
            }
            self._report = tuple(values[name] for name in self.rules.reports)
            self._report_at = now
        return self._report
