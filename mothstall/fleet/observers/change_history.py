"""The most recently changed keys of a copy of the replicated state. Pure."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator

from mothstall.store.state.rows import StateSection

# A changed key: the version of the copy after the change, the row's table, the row's key in it, and
# the zone of the proxy that the row describes, empty for other rows. A plain tuple, as each
# observer makes one for every changed row of the fleet.
ChangedKey = tuple[int, StateSection, str, str]


class ChangeHistory:
    """A bounded history of the changes, and of the versions of the copy that they connect."""

    def __init__(self, max_changes: int) -> None:
        """Start empty; `max_changes` limits both the changes and the versions that are kept."""
        self._max_changes = max_changes
        self._changes: deque[ChangedKey] = deque()
        # The versions that the copy has had. A row that changed and changed back between two of
        # them is not recorded, so a subscriber with a version in between, which it received from
        # another observer, needs a snapshot.
        self._versions: OrderedDict[int, None] = OrderedDict()
        self._oldest_version = 0  # changes up to this version are discarded

    @property
    def change_count(self) -> int:
        """Number of changes in the history."""
        return len(self._changes)

    @property
    def version_count(self) -> int:
        """Number of versions in the history."""
        return len(self._versions)

    def record(self, change: ChangedKey) -> None:
        """Add a change; `end_version` must follow."""
        self._changes.append(change)

    def end_version(self, version: int, *, is_first: bool) -> None:
        """Add a version of the copy, and discard what exceeds the bound.

        Args:
            version: Version of the copy after the recorded changes.
            is_first: Whether this is the copy's first version; earlier changes are unknown.
        """
        if is_first:
            self._changes.clear()
            self._oldest_version = version
        self._versions[version] = None
        while len(self._changes) > self._max_changes:
            self._oldest_version, _, _, _ = self._changes.popleft()
        while self._has_surplus_version():
            self._versions.popitem(last=False)

    def _has_surplus_version(self) -> bool:
        return (
            len(self._versions) > self._max_changes
            or next(iter(self._versions)) < self._oldest_version
        )

    def reaches_back_to(self, version: int) -> bool:
        """Return whether all changes since this version are known."""
        return version in self._versions

    def changes_since(self, version: int) -> Iterator[ChangedKey]:
        """Return the changes after a version, the latest first."""
        for change in reversed(self._changes):
            if change[0] <= version:
                return
            yield change
