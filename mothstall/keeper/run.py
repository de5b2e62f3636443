"""`mothstall keeper`: runs one keeper in the foreground until a signal stops it."""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

from mothstall.fleet.errors import OperatorError
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.keeper.process import Keeper
from mothstall.serving.run import run_until_stopped

log = logging.getLogger("mothstall.keeper")

SLOW_COMMIT_S = 0.15  # duration of a commit on the slow disk that the lab simulates
STALL_POLL_S = 0.02  # interval at which a stalled commit rereads the fault file


class DiskFault(StrEnum):
    """Disk faults that the lab injects by writing their name to a keeper's fault file."""

    STALL = "stall"
    FULL = "full"
    SLOW = "slow"


def disk_fault_hook(fault_file: Path) -> Callable[[], None]:
    """Return a hook for the lab that a disk log calls before each commit.

    The fault named in `fault_file` is in effect as long as the file exists.
    """

    def before_commit() -> None:
        while True:
            try:
                fault = fault_file.read_text().strip()
            except OSError:
                return
            if fault == DiskFault.FULL:
                raise OSError(errno.ENOSPC, "database or disk is full")
            if fault == DiskFault.SLOW:
                time.sleep(SLOW_COMMIT_S)
            if fault != DiskFault.STALL:
                return
            time.sleep(STALL_POLL_S)

    return before_commit


async def run(operator: OperatorConfig, name: str, fault_file: str | None = None) -> None:
    """Run the keeper of this name in the foreground.

    Args:
        operator: The parsed operator file.
        name: Name of the keeper.
        fault_file: Path of the file that names a disk fault; for the lab.

    Raises:
        OSError: The address or the data folder cannot be used.
        OperatorError: The operator file names no such keeper, or no data folder for it.
    """
    config = operator.keeper(name)
    if config.data_folder is None:
        raise OperatorError(f"operator file: keeper {name} has no data folder")
    hook = disk_fault_hook(Path(fault_file)) if fault_file else None
    keeper = Keeper(operator, name, Path(config.data_folder), before_commit=hook)
    await run_until_stopped(keeper, log)
