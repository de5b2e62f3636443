"""One row of the replicated state that differs between two versions. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, NamedTuple, TypeVar

from mothstall.store.state.rows import Lease, Member

RowT = TypeVar("RowT")


class RowChange(NamedTuple, Generic[RowT]):
    """A row before and after a change; None where there was or is none."""

    before: RowT | None
    after: RowT | None


LeaseChanges = Mapping[str, RowChange[Lease]]  # by the lease's name
MemberChanges = Mapping[str, RowChange[Member]]  # by the proxy's name
