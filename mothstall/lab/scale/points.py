"""Measured points and the file that keeps a set of them. Pure.

A set is one JSON file under `benchmarks/`, `scale-SET.json`, of this form:

    {"form": 1,
     "points": [
      {"series": "control/proxies",            which slope it belongs to: GROUP/AXIS
       "axes": {"proxies": 100, "rows": 0},    where it was played: numbers by name
       "repeat": 1,                            from 1; points of equal series and axes differ in it
       "values": {"keepers_cpu": [0.09, "cores"]},   what was measured: number and unit by name
       "seed": 1, "revision": "c436886", "cores": 8,
       "beside": "nothing",                    what else ran on the machine
       "leaves_out": "request path",           what a hollow part left out; empty: nothing
       "command": "mothstall lab scale run control/proxies"}]}

One file holds figures of one text; before and after a change are two files, `scale-SET.json` being of now
and `scale-SET-before.json` of the text before. `revision` is the last commit that touched the proxy's own
files, those outside `mothstall/lab`, with `+changes` where they differ from it. Names of values and axes
are words of small letters, digits and `_`; units as in `UNITS`. A series, its axes and repeat, and the
revision name a point: a later point of the same name takes the place of the earlier one.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

FORM = 1
MAX_POINTS = 10_000  # of one set
UNITS = ("cores", "s", "ms", "us", "ns", "B", "kB", "MB", "B/s", "1/s", "1", "%")
_SERIES = re.compile(r"[a-z0-9_-]{1,40}(/[a-z0-9_-]{1,40}){0,2}")
_NAME = re.compile(r"[a-z][a-z0-9_]{0,40}")


class PointsError(ValueError):
    """A set that cannot be read; the message is one line."""


class Point(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """One measurement at one size; `values` are numbers with their units."""

    series: str
    axes: dict[str, float]
    repeat: int
    values: dict[str, tuple[float, str]]
    seed: int
    revision: str
    cores: int
    beside: str
    leaves_out: str = ""
    command: str = ""

    @property
    def name(self) -> tuple[str, tuple[tuple[str, float], ...], int, str]:
        return self.series, tuple(sorted(self.axes.items())), self.repeat, self.revision


class _Set(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    form: int
    points: list[Point]


def check(point: Point) -> str:
    """Why it is no point; empty where it is one."""
    if not _SERIES.fullmatch(point.series):
        return f"series {point.series!r} is no name"
    if not point.axes or not point.values:
        return f"{point.series}: a point has an axis and a value"
    for name, number in point.axes.items():
        if not _NAME.fullmatch(name) or not math.isfinite(number) or number < 0:
            return f"{point.series}: axis {name!r} at {number} is no place"
    for name, (number, unit) in point.values.items():
        if not _NAME.fullmatch(name) or not math.isfinite(number):
            return f"{point.series}: value {name!r} of {number} is none"
        if unit not in UNITS:
            return f"{point.series}: value {name!r} has no unit of {', '.join(UNITS)}"
    if point.repeat < 1 or point.cores < 1 or not point.revision or not point.beside:
        return f"{point.series}: repeat, cores, revision and beside have to be said"
    return ""


def decode(data: bytes) -> list[Point]:
    """The points of a set. Raises PointsError."""
    try:
        found = msgspec.json.decode(data, type=_Set)
    except (msgspec.DecodeError, ValueError) as why:
        raise PointsError(f"no set of points: {why}") from why
    if found.form != FORM:
        raise PointsError(f"a set of form {found.form}, this side reads {FORM}")
    if len(found.points) > MAX_POINTS:
        raise PointsError(f"more than {MAX_POINTS} points")
    for point in found.points:
        if wrong := check(point):
            raise PointsError(wrong)
    return found.points


def encode(points: Iterable[Point]) -> bytes:
    """One line a point, so that a difference between two sets can be read. Raises PointsError."""
    lines = []
    for point in points:
        if why := check(point):
            raise PointsError(why)
        tree: dict[str, Any] = msgspec.to_builtins(point)
        lines.append("  " + json.dumps(tree, ensure_ascii=False))
    rows = ",\n".join(lines)
    return f'{{"form": {FORM}, "points": [\n{rows}\n]}}\n'.encode()


def merged(old: Sequence[Point], fresh: Iterable[Point]) -> list[Point]:
    """Both, in order; of two with one name the later."""
    rows = {point.name: point for point in old}
    rows.update((point.name, point) for point in fresh)
    return list(rows.values())
