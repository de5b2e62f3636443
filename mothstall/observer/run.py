"""`mothstall observer`: one observer in the foreground, until a signal or a fault stops it."""

from __future__ import annotations

import logging

from mothstall.fleet.operator_config import OperatorConfig
from mothstall.observer.process import Observer
from mothstall.serving.errors import ProcessFaultError
from mothstall.serving.run import run_until_stopped

log = logging.getLogger("mothstall.observer")


async def run(operator: OperatorConfig, name: str) -> None:
    """Run the observer of this name in the foreground.

    Raises:
        OSError: The observer cannot start, or stopped because of an internal fault.
        OperatorError: The operator file names no such observer.
    """
    observer = Observer(operator, name)
    await run_until_stopped(observer, log)
    if observer.fault:
        raise ProcessFaultError(f"observer {name} stopped by an internal fault: {observer.fault}")
