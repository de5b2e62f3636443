"""Parses the JSON of discovery's endpoint list to the types of `mothstall.interface`."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

from mothstall.config import Address, Names, parse_address
from mothstall.interface import Endpoint, Health
from mothstall.net.errors import UnreadableMessageError

_HEALTH = {"SERVING": Health.READY, "DRAINING": Health.DRAINING, "DELETED": Health.GONE}
_NUMBER_BYTES = 6  # size of a backend's number; a collision is improbable in any fleet
_NO_ADDRESS = "-:0"  # placeholder for the address of a removed backend


@dataclass(slots=True)
class ListedEndpoint:
    """One backend as discovery lists it.

    Attributes:
        id: The backend's id.
        address: The address that it listens on.
        endpoint: The backend as the balancer receives it.
    """

    id: str
    address: Address
    endpoint: Endpoint


@dataclass(slots=True)
class ParsedUpdate:
    """An endpoint list, or a delta of it.

    Attributes:
        version: The list's revision, which never decreases.
        is_complete: Whether this is a complete list rather than a delta.
        members: The backends in the list, or those that changed.
    """

    version: int
    is_complete: bool
    members: list[ListedEndpoint]


def backend_number(ident: str) -> int:
    """Return a backend's number, the same at every proxy and for all incarnations."""
    digest = hashlib.blake2b(ident.encode("utf-8", "replace"), digest_size=_NUMBER_BYTES)
    return int.from_bytes(digest.digest(), "big")


def parse_endpoint_list(tree: Any, names: Names) -> ParsedUpdate:
    """Return the update in discovery's JSON.

    Raises:
        UnreadableMessageError: The list or any of its members is unreadable.
    """
    try:
        version, is_complete, rows = tree["revision"], tree["complete"], tree["members"]
        is_typed = isinstance(version, int) and isinstance(is_complete, bool)
        if not is_typed or not isinstance(rows, list):
            raise UnreadableMessageError("list has an unknown format")
        return ParsedUpdate(version, is_complete, [_parse_member(row, names) for row in rows])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise UnreadableMessageError(f"list: {type(error).__name__}: {error}") from error


def _parse_member(row: Any, names: Names) -> ListedEndpoint:
    ident = row["id"]
    if not isinstance(ident, str) or not ident:
        raise UnreadableMessageError("member without an id")
    zone = row.get("locality")
    kind = row.get("flavor")
    endpoint = Endpoint(
        backend=backend_number(ident),
        zone=names.zones.index(zone) if zone in names.zones else len(names.zones),
        kind=names.kinds.index(kind) if kind in names.kinds else len(names.kinds),
        cell=int(row.get("cell") or 0),
        health=_HEALTH[row["phase"]],
        weight=float(row.get("size", 1.0)),
        started_ns=int(row.get("up_since_ms") or 0) * 1_000_000,
    )
    # A removed backend needs no address.
    address = row.get("host_port") or (_NO_ADDRESS if endpoint.health == Health.GONE else "")
    return ListedEndpoint(ident, parse_address(address), endpoint)
