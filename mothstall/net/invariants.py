"""Invariants: asserted in debug builds, counted and logged in release builds (`python -O`)."""

from __future__ import annotations

import logging

from mothstall.net.counters import Counters

log = logging.getLogger("mothstall.checks")


def check_invariant(ok: bool, what: str, counters: Counters) -> None:
    """Check the invariant that `what` describes, which holds if `ok` is true.

    Raises:
        AssertionError: The invariant is violated, in a debug build.
    """
    if ok:
        return
    assert ok, what
    counters.add("checks_broken")
    log.error("check broken", extra={"kv": {"what": what}})
