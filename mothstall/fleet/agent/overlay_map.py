"""An immutable mapping whose changed copies share most of its rows. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeVar

V = TypeVar("V")

MIN_ROWS_TO_OVERLAY = 64**2  # rows; below that a copy is as cheap as an overlay


class OverlayMap(Mapping[str, V]):
    """A base that several maps share, and an overlay of the rows in which this map differs.

    The cost of a change depends on the size of the overlay, not of the map: the base is copied only
    once the overlay has more rows than about the square root of the base. None in the overlay marks
    a removed row.
    """

    __slots__ = ("_base", "_count", "_overlay")

    def __init__(self, base: dict[str, V], overlay: dict[str, V | None] | None = None) -> None:
        """Use both without a copy: callers must not change them afterwards."""
        self._base = base
        self._overlay = overlay or {}
        self._count = len(base)
        for key, row in self._overlay.items():
            self._count += (row is not None) - (key in base)

    def __getitem__(self, key: str) -> V:
        if key not in self._overlay:
            return self._base[key]
        row = self._overlay[key]
        if row is None:
            raise KeyError(key)
        return row

    def __contains__(self, key: object) -> bool:
        if key in self._overlay:
            return self._overlay[key] is not None
        return key in self._base

    def __iter__(self) -> Iterator[str]:
        overlay = self._overlay
        yield from (key for key in self._base if key not in overlay)
        yield from (key for key, row in overlay.items() if row is not None)

    def __len__(self) -> int:
        return self._count

    def apply(self, changes: Mapping[str, V | None]) -> OverlayMap[V]:
        """Return the map with rows replaced or (None) removed; this map if there are no changes."""
        if not changes:
            return self
        overlay = {**self._overlay, **changes}
        if len(overlay) ** 2 <= max(MIN_ROWS_TO_OVERLAY, len(self._base)):
            return OverlayMap(self._base, overlay)
        base = dict(self._base)
        for key, row in overlay.items():
            if row is None:
                base.pop(key, None)
            else:
                base[key] = row
        return OverlayMap(base)
