"""The proxy as a process: serves until a signal, reloads, collects garbage, logs its counters."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from mothstall.config import Config, ConfigError
from mothstall.net.proxy import Proxy

if TYPE_CHECKING:
    from mothstall.fleet.operator_config import OperatorConfig
    from mothstall.net.clock import TimedSelector

log = logging.getLogger("mothstall.proxy")

GC_INTERVAL_S = 2.0  # between two garbage collections
# Objects are frozen again after this many new endpoint rows: a row that is not frozen adds about
# 3 us to each collection.
MIN_ROWS_TO_FREEZE = 2_000


async def run(
    config: Config,
    load_again: Callable[[], Config],
    selector: TimedSelector | None = None,
    operator: OperatorConfig | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then drain. SIGHUP reloads, SIGUSR1 logs the counters.

    The cached endpoint list of the configuration (`known`) is cleared once it was read.
    """
    proxy = Proxy(config, selector, operator)
    if isinstance(config.known, dict):
        # Guards against holding a second copy of the list, as JSON, for the life of the process.
        config.known.clear()
    proxy.loop.set_exception_handler(proxy.on_loop_exception)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        proxy.loop.add_signal_handler(number, stopped.set)
    proxy.loop.add_signal_handler(signal.SIGUSR1, lambda: print_counters(proxy, "counters"))
    proxy.loop.add_signal_handler(signal.SIGHUP, reload_config, proxy, load_again)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await proxy.start()
    await asyncio.sleep(0)  # the initial list is applied first, so that it is frozen with the rest
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # requests create no reference cycles
    gc.enable()
    collect_garbage(proxy.loop, proxy.endpoint_rows_received, proxy.endpoint_rows_received())
    await stopped.wait()
    log.info("draining")
    await proxy.stop()
    print_counters(proxy, "end")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # Guards against a signal during exit, which would kill the process without a handler.
        proxy.loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def collect_garbage(
    loop: asyncio.AbstractEventLoop, rows: Callable[[], int] = lambda: 0, frozen: int = 0
) -> None:
    """Collect garbage periodically.

    Guards against memory that grows with every connection: asyncio's transports are reference
    cycles. Objects that exist at the start are frozen, which keeps a collection to a few
    milliseconds.

    Args:
        loop: the event loop that schedules the next collection.
        rows: returns the number of endpoint rows received so far.
        frozen: the number of rows at the last freeze. Guards against traversing the complete list
            in each collection; frozen garbage is freed at the next freeze.
    """
    received = rows()
    must_freeze = received - frozen >= MIN_ROWS_TO_FREEZE
    if must_freeze:
        gc.unfreeze()
    gc.collect()
    if must_freeze:
        gc.freeze()
    loop.call_later(GC_INTERVAL_S, collect_garbage, loop, rows, received if must_freeze else frozen)


def reload_config(proxy: Proxy, load_again: Callable[[], Config]) -> None:
    """Read and check the configuration again; an invalid one changes nothing."""
    try:
        fresh = load_again()
    except ConfigError as error:
        proxy.counters.add("reloads_failed")
        log.error("configuration rejected", extra={"kv": {"why": error}})  # noqa: TRY400 - one line
        return
    logging.getLogger().setLevel(fresh.log_level.upper())
    proxy.reload(fresh)


def print_counters(proxy: Proxy, event: str) -> None:
    """Log the non-zero counters as one line."""
    log.info(event, extra={"kv": {k: v for k, v in proxy.counters.values.items() if v}})
