"""Marks the tests that use processes or real sockets, which run serially (see Makefile).

Hypothesis generates the same inputs in every run, and slow generation doesn't fail a test. By
default it generates different inputs each time, and fails a test whose first input takes a second
to generate.

Tests listed in `KNOWN-RED.txt` run like any other; their failure is printed but does not fail the
run.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pluggy
import pytest
from hypothesis import HealthCheck, settings

from tests import knownred

SLOW = HealthCheck.too_slow
settings.register_profile("same", derandomize=True, deadline=None, suppress_health_check=[SLOW])
settings.load_profile("same")

_SERIAL = ("test_net_", "test_sockets", "test_experiments", "test_processes")
_SERIAL_FOLDER = Path(__file__).parent / "net"  # all tests of the proxy, whatever their file name
# Exceptions in that folder: tests on a simulated clock, and tests that wait for a state with a
# long timeout.
_PARALLEL = ("test_retry_schedule", "test_random_endings")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        path = Path(item.path)
        if path.name.startswith(_PARALLEL):
            continue
        if path.name.startswith(_SERIAL) or path.is_relative_to(_SERIAL_FOLDER):
            item.add_marker("processes")


KNOWN_RED_LIST = Path(__file__).parents[1] / knownred.FILE
KNOWN = pytest.StashKey[dict[str, knownred.KnownFailure]]()
OUTCOMES = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        rows = (
            knownred.parse(KNOWN_RED_LIST.read_text(encoding="utf-8"))
            if KNOWN_RED_LIST.exists()
            else []
        )
    except knownred.InvalidListError as why:
        raise pytest.UsageError(str(why)) from why
    config.stash[KNOWN] = {row.test: row for row in rows}
    config.stash[OUTCOMES] = {}


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pluggy.Result[pytest.TestReport], None]:
    report = (yield).get_result()
    row = item.config.stash[KNOWN].get(item.nodeid)
    if row is not None and report.failed:
        report.outcome, report.wasxfail = "skipped", f"{row.seen} (issue {row.issue})"


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    known = config.stash[KNOWN]
    for outcome in ("passed", "xfailed"):  # a failure in any phase overrides a pass
        for report in terminalreporter.getreports(outcome):
            if report.nodeid in known:
                config.stash[OUTCOMES][report.nodeid] = outcome
    for test, outcome in config.stash[OUTCOMES].items():
        terminalreporter.write_line(knownred.summary_line(known[test], outcome))
