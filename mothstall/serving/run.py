"""Runs one service in the foreground until a signal or the service requests its stop."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Any, Protocol

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Service(Protocol):
    """The main object of a process.

    Attributes:
        name: Name of the service in the log.
        stop_requested: Set by a signal, or by the service itself, to stop the service.
    """

    name: str
    stop_requested: asyncio.Event

    async def start(self) -> None:
        """Bind the address and start to serve; raises OSError if it cannot."""

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""

    def status(self) -> dict[str, Any]:
        """Return the status of this process for operators."""


async def run_until_stopped(service: Service, log: logging.Logger) -> None:
    """Start a service, wait until SIGTERM, SIGINT or the service requests a stop, and stop it.

    SIGUSR1 logs the status.

    Raises:
        OSError: The service cannot start.
    """
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, service.stop_requested.set)
    loop.add_signal_handler(
        signal.SIGUSR1, lambda: log.info("status", extra={"kv": service.status()})
    )
    await service.start()
    await service.stop_requested.wait()
    log.info("stopping", extra={"kv": {"name": service.name}})
    await service.stop()
