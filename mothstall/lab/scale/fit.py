"""Slopes: how a measured value grows with one axis, with an interval, and what that says of a target. Pure.

Four forms are held against the points: none (a), linear (a + b n), n log n (a + b n ln n) and n squared
(a + b n^2), `a` and `b` not below 0, as nothing measured here can be. Each is fitted by least squares of the
*relative* residuals, weighted by the mean at each size, because spread grows with what is measured. They are
told apart by the corrected Akaike criterion (Hurvich and Tsai, 1989; Burnham and Anderson, 2002, call models
within 2 of the best supported alike): forms within `ALIKE` of the best are not told apart, and the figure at
the target that counts, `worst`, is the highest upper bound among these. Intervals of 95% are Student's, of
the fitted line and not of a single run, and know nothing of a knee behind the largest size: hence `far`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import numpy as np

from mothstall.lab.scale.points import Point

SIZES, FACTOR, REPEATS = 4, 8.0, 3  # the least that a slope is made of
FAR = 30.0  # times past the largest size played: a warning
ALIKE = 2.0  # of the criterion
FLOOR = 1e-12

FORMS: dict[str, Callable[[float], float]] = {
    "none": lambda n: 0.0,
    "linear": lambda n: n,
    "n log n": lambda n: n * math.log(max(n, 1.0)),
    "n squared": lambda n: n * n,
}

# Student's t, 97.5%, by degrees of freedom.
_T = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)


class FitError(ValueError):
    """No slope can be made of these points; the message is one line."""


def student(freedom: int) -> float:
    """A little high beyond the table, never low."""
    return _T[freedom - 1] if 1 <= freedom <= len(_T) else _T[-1]


@dataclass(slots=True, frozen=True)
class Form:
    """One form fitted: `b` is the coefficient of its term, `low` and `high` its 95% interval."""

    name: str
    a: float
    b: float
    low: float
    high: float
    residual: float  # root mean square of the relative residuals
    criterion: float
    covariance: tuple[float, float, float]  # of a; of a and b; of b
    freedom: int

    def at(self, size: float) -> float:
        return self.a + self.b * FORMS[self.name](size)

    def half(self, size: float) -> float:
        """Half of the 95% interval of the line at this size."""
        term = FORMS[self.name](size)
        aa, ab, bb = self.covariance
        return student(self.freedom) * math.sqrt(max(0.0, aa + 2 * term * ab + term * term * bb))


@dataclass(slots=True, frozen=True)
class Slope:
    """The best form, those not told apart from it (the best among them), and what was played."""

    best: Form
    alike: tuple[Form, ...]
    sizes: tuple[float, ...]
    repeats: int

    @property
    def told_apart(self) -> bool:
        return len(self.alike) == 1

    @property
    def largest(self) -> float:
        return self.sizes[-1]

    def far(self, size: float) -> bool:
        return size > FAR * self.largest

    def worst(self, size: float) -> float:
        """The highest upper bound of the forms that are not told apart: nothing is rounded in our favour."""
        return max(form.at(size) + form.half(size) for form in self.alike)


def fit(rows: Iterable[tuple[float, float]]) -> Slope:
    """`rows` are sizes and values. Raises FitError where they are too few, too near, or no numbers."""
    given = sorted(rows)
    if any(not math.isfinite(n) or not math.isfinite(y) or n <= 0 or y < 0 for n, y in given):
        raise FitError("sizes are above 0, values 0 or more")
    sizes = sorted({n for n, _ in given})
    if len(sizes) < SIZES:
        raise FitError(f"{len(sizes)} sizes, {SIZES} are wanted")
    if sizes[-1] < FACTOR * sizes[0]:
        raise FitError(
            f"sizes from {sizes[0]:g} to {sizes[-1]:g}, a factor of {FACTOR:g} is wanted"
        )
    by = {size: [y for n, y in given if n == size] for size in sizes}
    repeats = min(len(values) for values in by.values())
    if repeats < REPEATS:
        raise FitError(f"{repeats} repeats at a size, {REPEATS} are wanted")
    top = max(y for _, y in given)
    # A size whose mean is next to nothing does not outweigh all others.
    mean = {size: max(sum(values) / len(values), 0.01 * top, FLOOR) for size, values in by.items()}
    forms = sorted((_form(name, given, mean) for name in FORMS), key=lambda form: form.criterion)
    best = forms[0]
    alike = tuple(form for form in forms if form.criterion - best.criterion < ALIKE)
    return Slope(best, alike, tuple(sizes), repeats)


def _form(name: str, rows: Sequence[tuple[float, float]], mean: dict[float, float]) -> Form:
    sizes = np.array([n for n, _ in rows])
    values = np.array([y for _, y in rows])
    weights = 1.0 / np.array([mean[n] for n in sizes.tolist()])
    terms = np.array([FORMS[name](n) for n in sizes.tolist()])
    columns = [np.ones_like(sizes)] if name == "none" else [np.ones_like(sizes), terms]
    used = list(range(len(columns)))
    while True:
        # The term's scale is taken out so that n squared does not spoil the solution.
        scale = [float(np.max(np.abs(columns[i])) or 1.0) for i in used]
        matrix = np.stack(
            [columns[i] / s * weights for i, s in zip(used, scale, strict=True)], axis=1
        )
        found, *_ = np.linalg.lstsq(matrix, values * weights, rcond=None)
        below = [i for i, x in zip(used, found, strict=True) if x < 0]
        if not below or len(used) == 1:
            break
        # With two parts, the one that would be below 0 is 0, and the other is fitted alone.
        used.remove(below[0])
    parts = {i: max(0.0, float(x)) / s for i, x, s in zip(used, found, scale, strict=True)}
    a, b = parts.get(0, 0.0), parts.get(1, 0.0)
    rest = (values - a - b * terms) * weights
    square = float(np.sum(rest**2))
    count, freedom = len(rows), max(1, len(rows) - len(used))
    inverse = np.linalg.pinv(matrix.T @ matrix) * (square / freedom)
    covariance = {
        (i, j): float(inverse[k, m]) / scale[k] / scale[m]
        for k, i in enumerate(used)
        for m, j in enumerate(used)
    }
    cov = (covariance.get((0, 0), 0.0), covariance.get((0, 1), 0.0), covariance.get((1, 1), 0.0))
    # Parameters: those of the form, set to 0 or not, and the spread.
    k = len(columns) + 1
    criterion = count * math.log(max(square / count, FLOOR)) + 2 * k
    criterion += 2 * k * (k + 1) / max(1, count - k - 1)
    half = student(freedom) * math.sqrt(max(0.0, cov[2]))
    return Form(
        name, a, b, max(0.0, b - half), b + half, math.sqrt(square / count), criterion, cov, freedom
    )


def of_points(points: Iterable[Point], series: str, axis: str, value: str) -> Slope:
    """The slope of one value of a series along one axis. Raises FitError."""
    rows = [
        (point.axes[axis], point.values[value][0])
        for point in points
        if point.series == series and axis in point.axes and value in point.values
    ]
    if not rows:
        raise FitError(f"{series} has no {value}")
    return fit(rows)
