"""The command line: serve, check-config and version; other commands have separate modules."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from mothstall import __version__
from mothstall.config import LOG_LEVELS, Config, ConfigError, load

if TYPE_CHECKING:
    import argparse

    from mothstall.fleet.operator_config import OperatorConfig

# Groups of commands: the module of each, and the requirements file with the libraries it needs.
_GROUPS = {
    "lab": ("mothstall.lab.command", "requirements-lab.txt"),
    "keeper": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "keepers": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "observer": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "observers": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "lease": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "drain": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "undrain": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "drains": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "members": ("mothstall.commands.command_line", "requirements-fleet.txt"),
    "zones": ("mothstall.commands.command_line", "requirements-fleet.txt"),
}


@dataclass(slots=True)
class _DefaultArguments:
    """The arguments of an empty command line: run the proxy as the environment configures it."""

    command: str = "serve"
    config: str | None = None
    operator: str | None = None
    log_level: str | None = None


def _build_parser() -> argparse.ArgumentParser:
    import argparse

    parser = argparse.ArgumentParser(
        prog="mothstall", description="A load-balancing proxy for HTTP fleets."
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    serve = commands.add_parser("serve", help="run the proxy (the default)")
    check = commands.add_parser("check-config", help="read and check the configuration, then exit")
    for command in (serve, check):
        command.add_argument("--config", metavar="FILE", help="the JSON file (default: $LB_CONFIG)")
        command.add_argument(
            "--operator", metavar="FILE", help="operator file; makes the proxy part of a fleet"
        )
    serve.add_argument("--log-level", choices=LOG_LEVELS, help="overrides log_level of the file")
    commands.add_parser("version", help="print the version")
    commands.add_parser(
        "lab", help="simulate fleets, faults and loads; see `mothstall lab --help`", add_help=False
    )
    commands.add_parser("keeper", help="run one replica of the fleet's store", add_help=False)
    for name, what in (
        ("observer", "run one observer, which relays between keepers and the proxies of a zone"),
        ("observers", "show the observers: attached proxies, age of their data"),
        ("keepers", "manage the store's replicas: status, members, backup"),
        ("lease", "manage leases: list, take, drop"),
        ("drain", "stop sending new requests to a backend or a zone"),
        ("undrain", "remove a drain"),
        ("drains", "list drains: what is drained, by whom, since when and why"),
        ("members", "list the live proxies"),
        ("zones", "show traffic between zones and its reasons, and set overrides"),
    ):
        commands.add_parser(name, help=what, add_help=False)
    return parser


def main(argv: Sequence[str] | None = None, env: Mapping[str, str] = os.environ) -> int:
    """Run a command and return its exit code: 0 success, 1 cannot listen, 2 invalid input."""
    words = list(sys.argv[1:] if argv is None else argv)
    if words and words[0] != "serve":
        gc.enable()  # `python -m mothstall` disables it
    if words and words[0] in _GROUPS:
        return _run_group(words)
    # Without arguments argparse is not imported, so that restarted proxies are ready sooner.
    args = _build_parser().parse_args(words) if words else _DefaultArguments()
    if args.command == "version":
        print(f"mothstall {__version__}")
        return 0
    if args.command == "serve":
        # Guards against a SIGHUP that ends the process before the handler is installed: the signal
        # stays pending until then.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        operator = _read_operator(args.operator)
        if args.command == "check-config":
            return _check_config(args.config, env, operator)
        config = load(args.config, env)
        _check_observers(operator)
    except ConfigError as error:
        print(f"mothstall: {error}", file=sys.stderr)
        return 2

    def load_again() -> Config:
        fresh = load(args.config, env, is_reload=True)
        return replace(fresh, log_level=args.log_level or fresh.log_level)

    return _serve(
        replace(config, log_level=args.log_level or config.log_level), load_again, operator
    )


def _check_config(path: str | None, env: Mapping[str, str], operator: OperatorConfig | None) -> int:
    if operator and not (path or env.get("LB_CONFIG")):
        # On a keeper's machine there is an operator file, but no proxy configuration.
        print(_fleet_summary(operator))
        return 0
    config = load(path, env)
    _check_observers(operator)
    class_count = len(config.settings.classes)
    print(f"mothstall: {config.name}: {class_count} classes, listens on {config.listen}")
    if operator:
        print(_fleet_summary(operator))
    return 0


def _fleet_summary(operator: OperatorConfig) -> str:
    return f"mothstall: takes part in {operator.cluster}, kept by {len(operator.keepers)} keepers"


def _run_group(words: Sequence[str]) -> int:
    """Run a command of a group; its module and libraries are imported on demand."""
    import importlib

    name, libraries = _GROUPS[words[0]]
    try:
        main: Callable[[Sequence[str]], int] = importlib.import_module(name).main
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("mothstall"):
            raise
        print(
            f"mothstall: {words[0]} needs {error.name}: pip install -r {libraries}", file=sys.stderr
        )
        return 2
    return main(words[1:] if words[0] == "lab" else words)


def _read_operator(path: str | None) -> OperatorConfig | None:
    """Read the operator file, if there is one; without it no module of the fleet is imported."""
    if path is None:
        return None
    try:
        from mothstall.fleet.errors import OperatorError
        from mothstall.fleet.operator_file import read_operator_file
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("mothstall"):
            raise
        raise ConfigError(
            f"--operator needs {error.name}: pip install -r requirements-fleet.txt"
        ) from error
    try:
        found = read_operator_file(path)
        found.key()
    except OperatorError as error:
        raise ConfigError(str(error)) from error
    return found


def _check_observers(operator: OperatorConfig | None) -> None:
    """Check that, if there are observers, one of them serves this proxy's zone or region.

    Raises:
        ConfigError: There are observers, but none serves the zone or the region.
    """
    if operator is None or not operator.observers:
        return
    from mothstall.fleet.agent.observer_client import reachable_observers
    from mothstall.fleet.errors import OperatorError

    try:
        reachable_observers(operator)
    except OperatorError as error:
        raise ConfigError(str(error)) from error


@contextlib.contextmanager
def _without_certificates() -> Iterator[None]:
    """Keep OpenSSL from loading the system's certificates within this context.

    Guards against a slow start: aiohttp creates two TLS contexts when it is imported, which took a
    fifth of the CPU time from exec to ready, and the proxy doesn't use TLS. A TLS connection with
    such a context would trust no certificate, and fail.
    """
    before = {key: os.environ.get(key) for key in ("SSL_CERT_FILE", "SSL_CERT_DIR")}
    os.environ.update(dict.fromkeys(before, os.devnull))
    try:
        yield
    finally:
        for key, value in before.items():
            if value is None:
                del os.environ[key]
            else:
                os.environ[key] = value


def _serve(
    config: Config, load_again: Callable[[], Config], operator: OperatorConfig | None = None
) -> int:
    with _without_certificates():
        from mothstall.net import logs
        from mothstall.net.clock import TimedSelector
        from mothstall.net.process import run

    # Loaded modules stay alive: garbage collections need not traverse them.
    gc.freeze()
    logs.configure_logging(config.log_level)
    try:
        selector = TimedSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(run(config, load_again, selector, operator))
    except OSError as error:
        print(f"mothstall: {error.strerror or error}", file=sys.stderr)
        return 1
    except ConfigError as error:
        print(f"mothstall: {error}", file=sys.stderr)
        return 2
    return 0
