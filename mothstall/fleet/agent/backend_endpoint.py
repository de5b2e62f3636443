"""The backends of the endpoint list, as the agent uses them. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from mothstall.config import Address


@dataclass(slots=True, frozen=True)
class BackendEndpoint:
    """A backend of the endpoint list."""

    address: Address
    zone: str


Backends = Mapping[str, BackendEndpoint]
