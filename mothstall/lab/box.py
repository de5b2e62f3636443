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

from mothstall.lab.ledger import Arrival, BoxLife, Fate, Intent, Ledger, Tip
from mothstall.lab.scenario import Boxes, Kind, Rules
from mothstall.lab.timeline import Timeline

QUEUED, RUNNING, WAITING, HELD, OVER = range(5)
UTIL_NS = 500_000_000.0  # time constant of the reported utilization
REPEAT_COST = 0.05  # part of its work that a duplicate of a finished key costs
MEMORY_SLACK_NS = 300_000_000  # how much longer than its window a key is kept
RAN_HALF = 0.5  # a cancelled job has had its effect after this part of its work


class Memo:
    """The state of one idempotency key in a group of backends."""

    __slots__ = ("done", "until")

    def __init__(self, until: int) -> None:
        self.until, self.done = until, False


class Memory:
    """The idempotency keys of one group of backends; expired keys are removed."""

    def __init__(self) -> None:
        self._memos: dict[int, Memo] = {}
        self._order: deque[tuple[int, int]] = deque()

    def memo(self, key: int, now: int, window: int) -> Memo:
        order = self._order
        while order and order[0][0] <= now:
            _, old = order.popleft()
            if old in self._memos and self._memos[old].until <= now:
                del self._memos[old]
        found = self._memos.get(key)
        if found is None or found.until <= now:
            found = self._memos[key] = Memo(now + window + MEMORY_SLACK_NS)
            order.append((found.until, key))
        return found


class Job:
    """One attempt at a backend."""

    __slots__ = (
        "arrival",
        "carry",
        "intent",
        "kind",
        "left",
        "memo",
        "reply",
        "reset_after",
        "since",
        "speed",
        "state",
        "token",
        "work",
    )

    def __init__(
        self,
        arrival: Arrival,
        intent: Intent,
        kind: Kind,
        work: float,
        reply: Callable[[Job, Fate], object],
    ) -> None:
        self.arrival, self.intent, self.kind, self.reply = arrival, intent, kind, reply
        self.work = self.left = work
        self.state, self.token, self.since, self.speed = QUEUED, 0, 0, 0.0
        self.memo: Memo | None = None
        self.reset_after = False
        self.carry: Any = None  # data of the driver


class Shared:
    """State that backends share: idempotency keys by group, and dependency faults by class."""

    def __init__(self) -> None:
        self.memories: dict[tuple[str, int], Memory] = {}
        self.broken: dict[
            int, tuple[str, float]
        ] = {}  # by class: mode and factor of its dependency's fault

    def memory(self, group: str, place: int) -> Memory:
        return self.memories.setdefault((group, place), Memory())


class Box:
    def __init__(
        self,
        number: int,
        group: Boxes,
        zone: int,
        rules: Rules,
        *,
        time: Timeline,
        ledger: Ledger,
        shared: Shared,
        rng: random.Random,
        changed: Callable[[Box], object],
        started: int,
        warm_subjects: int = 0,
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
        self._changed = changed
        self.slow, self.fail_odds, self.reset_odds, self.spoil_odds = 1.0, 0.0, 0.0, 0.0
        self.hung = self.paused = self.cut_in = self.cut_out = self.draining = False
        self.up = self.silent = False
        self.connections = 0
        self.queue: deque[Job] = deque()
        self.running: list[Job] = []
        self.waiting: set[Job] = set()  # jobs without a core: on a dependency, paused, or hung
        self._stuck: list[tuple[Job, Fate]] = []  # responses held back until a pause ends
        self._sent: deque[tuple[int, int, int]] = deque()
        self._sent_sum = 0
        self._subjects: dict[int, None] = {}
        self._most_subjects, self._miss_cost = warm_subjects, miss_cost
        self._util, self._util_at = 0.0, 0
        self._report: tuple[float, ...] = ()
        self._report_at = -1
        self.life = BoxLife(number, zone, group.cell, group.cores, group.speed, started)
        self.start(started)

    # Start and stop

    def start(self, now: int) -> None:
        """Start a new, cold process; with `now` = 0 it is already warm."""
        self.up, self.draining, self.started = True, False, now
        self._sent.clear()
        self._sent_sum = 0
        self.life = BoxLife(self.id, self.zone, self.cell, self.group.cores, self.group.speed, now)
        self.ledger.lives.append(self.life)

    def stop(self, fate: Fate = Fate.LOST) -> None:
        """End the process: its jobs and connections are lost."""
        if not self.up:
            return
        self.up, self.life.ended = False, self.time.now
        self.break_all(fate)
        self.connections = 0
        self._changed(self)

    def drain(self) -> None:
        self.draining, self.life.drained = True, self.time.now

    def break_all(self, fate: Fate) -> None:
        """End every open job with the given outcome."""
        jobs = [*self.running, *self.queue, *self.waiting]
        self.running.clear()
        self.queue.clear()
        self.waiting.clear()
        self._stuck.clear()
        for job in sorted(jobs, key=lambda j: (j.arrival.at, j.arrival.txn)):
            self._settle(job)
            self._end(job, fate)

    def warmth(self) -> float:
        """The present part of its full capacity."""
        age = self.time.now - self.started
        if not self.started or age >= self.rules.cold:
            return 1.0
        risen = math.pow(age / self.rules.cold, self.rules.warm_shape)
        return self.rules.cold_from + (1 - self.rules.cold_from) * risen

    # Requests

    def connect(self) -> bool:
        """Open a connection; False if the process is down or the connection limit is reached."""
        if not self.up or self.connections >= self.group.connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        self.connections = max(0, self.connections - 1)

    def offer(self, job: Job, fresh: bool) -> None:
        """Receive a whole request, on a new or a reused connection."""
        now, arrival = self.time.now, job.arrival
        if fresh:
            job.work += self.group.handshake
            job.left = job.work
        if self._miss_cost and job.intent.subject:
            self._recall(job)
        arrival.work = int(job.work)
        self.ledger.arrivals.append(arrival)
        if self.started and now - self.started < self.rules.cold and self._tips(arrival):
            job.state = OVER
            return
        if self.hung:
            job.state = HELD
            self.waiting.add(job)
            return
        if len(self.queue) >= self.group.queue:
            self._end(job, Fate.TURNED_AWAY)
            return
        if self.fail_odds and self.rng.random() < self.fail_odds:
            self._end(job, Fate.ERROR)
            return
        if self.reset_odds and self.rng.random() < self.reset_odds:
            if self.rng.random() < 0.5:
                self._end(job, Fate.RESET)
                return
            job.reset_after = True
        broken = self.shared.broken.get(job.intent.cls)
        if broken and broken[0] == "fail":
            self._end(job, Fate.ERROR)
            return
        if job.kind.effect == "keyed":
            place = {"all": 0, "zone": self.zone, "cell": self.cell}[job.kind.group]
            memory = self.shared.memory(f"{job.kind.group} {job.intent.cls}", place)
            job.memo = memory.memo(job.intent.id, now, job.kind.window)
            if job.memo.done:
                job.work = job.left = job.work * REPEAT_COST
        if len(self.running) < self.group.cores and not self.paused:
            self._begin(job)
        else:
            self.queue.append(job)

    def withdraw(self, job: Job) -> None:
        """The proxy closed the connection. The job stops, unless the group has `runs_on` set."""
        if job.state == OVER or self.cut_in or self.group.runs_on:
            return
        if job.state == RUNNING:
            self._settle(job)
            self.running.remove(job)
            self._next()
            if job.left <= (1 - RAN_HALF) * job.work:
                self._take_effect(job)
        elif job.state == QUEUED:
            self.queue.remove(job)
        else:
            self.waiting.discard(job)
        self._end(job, Fate.CANCELLED, tell=False)

    def _begin(self, job: Job) -> None:
        self._note_util()
        job.state, job.since = RUNNING, self.time.now
        self.running.append(job)
        job.speed = self._speed()
        self.time.at(self.time.now + int(job.left / job.speed) + 1, self._finish, job, job.token)

    def _speed(self) -> float:
        """Work that one core does per ns."""
        crowd = 1.0 + self.group.contention * (len(self.queue) + len(self.running))
        return self.group.speed * self.warmth() / (self.slow * crowd)

    def _settle(self, job: Job) -> None:
        """Update the job's remaining work, and invalidate its scheduled completion."""
        if job.state == RUNNING and job.speed:
            job.left = max(0.0, job.left - (self.time.now - job.since) * job.speed)
        job.since, job.speed = self.time.now, 0.0
        job.token += 1

    def retime(self) -> None:
        """Reschedule the running jobs after a change of speed or of the pause."""
        for job in self.running:
            self._settle(job)
            if not self.paused:
                job.speed = self._speed()
                self.time.at(
                    self.time.now + int(job.left / job.speed) + 1, self._finish, job, job.token
                )
        if not self.paused:
            stuck, self._stuck = self._stuck, []
            for job, fate in stuck:
                self._answer(job, fate)
            self._next()

    def _next(self) -> None:
        while (
            self.queue and len(self.running) < self.group.cores and not (self.paused or self.hung)
        ):
            self._begin(self.queue.popleft())

    def _finish(self, job: Job, token: int) -> None:
        if job.token != token or job.state != RUNNING:
            return
        self._note_util()
        self.running.remove(job)
        job.left = 0.0
        job.state = WAITING
        repeat = job.memo is not None and job.memo.done
        self._take_effect(job)
        fate = Fate.RESET if job.reset_after else Fate.REPEAT if repeat else Fate.SERVED
        if fate != Fate.RESET and self.spoil_odds and self.rng.random() < self.spoil_odds:
            fate = Fate.SPOILT
        broken = self.shared.broken.get(job.intent.cls)
        waits = int(job.kind.waits * self.slow)
        if broken and broken[0] == "slow":
            waits = int((waits + job.work) * broken[1])
        if broken and broken[0] == "hang":
            self.waiting.add(job)
        elif waits:
            self.waiting.add(job)
            self.time.at(self.time.now + waits, self._answer, job, fate)
        else:
            self._end(job, fate)
        self._next()

    def _answer(self, job: Job, fate: Fate) -> None:
        if job.state != WAITING:
            return
        if self.paused:
            self._stuck.append((job, fate))
            return
        self.waiting.discard(job)
        self._end(job, fate)

    def _take_effect(self, job: Job) -> None:
        if job.kind.effect == "safe" or (job.memo is not None and job.memo.done):
            return
        if job.memo is not None:
            job.memo.done = True
        job.intent.effects.append((self.time.now, self.id))

    def _end(self, job: Job, fate: Fate, tell: bool = True) -> None:
        job.state = OVER
        job.token += 1
        row = job.arrival
        row.fate, row.end, row.done = fate, self.time.now, int(job.work - job.left)
        if tell:
            job.reply(job, fate)

    def _recall(self, job: Job) -> None:
        subjects, subject = self._subjects, job.intent.subject
        if subject in subjects:
            del subjects[subject]  # moved to the end: the least recently used is evicted first
        else:
            job.work *= 1 + self._miss_cost
            job.left = job.work
            if len(subjects) >= self._most_subjects:
                del subjects[next(iter(subjects))]
        subjects[subject] = None

    # Cold overload

    def _tips(self, arrival: Arrival) -> bool:
        """Record work that reaches a cold backend, and end the backend past the overload limit.

        Rejected requests count too. The limit for the work of one window is overload multiple x
        present capacity x window.
        """
        now, window = self.time.now, self.rules.fall
        sent = self._sent
        while sent and sent[0][0] <= now - window:
            self._sent_sum -= sent.popleft()[1]
        sent.append((now, arrival.work, arrival.proxy))
        self._sent_sum += arrival.work
        capacity = self.group.cores * self.group.speed * self.warmth()
        if self._sent_sum <= self.rules.fall_multiple * capacity * window:
            return False
        parts: dict[int, int] = {}
        for _, work, proxy in sent:
            parts[proxy] = parts.get(proxy, 0) + work
        self.ledger.tips.append(Tip(self.id, now, int(window), parts))
        arrival.fate, arrival.end = Fate.LOST, now
        self.silent = True  # no resets are sent, and no restart follows
        self.stop()
        return True

    # Faults

    def hang(self, on: bool) -> None:
        if on == self.hung:
            return
        self.hung = on
        if on:
            for job in [*self.running, *self.queue]:
                self._settle(job)
                job.state = HELD
                self.waiting.add(job)
            self.running.clear()
            self.queue.clear()
            return
        for job in sorted(self.waiting, key=lambda j: (j.arrival.at, j.arrival.txn)):
            if job.state == HELD:
                self.waiting.discard(job)
                self._end(job, Fate.RESET)

    def pause(self, on: bool) -> None:
        self.paused = on
        self.retime()

    def set_slow(self, factor: float) -> None:
        self.slow = factor
        if not self.paused:
            self.retime()

    def release(self, cls: int) -> None:
        """The dependency of a class is available again: complete the jobs that waited for it."""
        for job in sorted(self.waiting, key=lambda j: (j.arrival.at, j.arrival.txn)):
            if job.state == WAITING and job.intent.cls == cls:
                self._answer(job, Fate.SERVED)

    # Load reports

    @property
    def in_flight(self) -> int:
        return len(self.running) + len(self.queue) + len(self.waiting)

    def _note_util(self) -> None:
        now = self.time.now
        if now > self._util_at:
            busy = len(self.running) / self.group.cores
            self._util += (busy - self._util) * -math.expm1((self._util_at - now) / UTIL_NS)
            self._util_at = now

    def report(self) -> tuple[float, ...]:
        """The load report for a response, ordered as the rules name it, up to `report_age` old."""
        now, age = self.time.now, self.rules.report_age
        if self._report_at < 0 or now - self._report_at >= age:
            self._note_util()
            told = {
                "inflight": float(self.in_flight),
                "queue": float(len(self.queue)),
                "util": self._util,
            }
            self._report = tuple(told[name] for name in self.rules.reports)
            self._report_at = now
        return self._report
