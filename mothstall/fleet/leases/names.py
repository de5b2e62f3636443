"""Prefixes of the names of leases. They are stored: their values never change."""

from __future__ import annotations

OBSERVER_LEASE_PREFIX = "observer/"  # followed by the observer's name: the observer is in service
MEMBER_LEASE_PREFIX = "member/"  # followed by the proxy's name: a member without an observer
PROBE_LEASE_PREFIX = "probe/"  # followed by the backend's name: the holder probes it
