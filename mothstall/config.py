"""Reads and checks the proxy's configuration, and fills in defaults.

The configuration is one JSON file, named by `--config` or `LB_CONFIG`. `LB_NAME`, `LB_LISTEN`,
`LB_DISCOVERY` and `LB_ADMIN_ADDR` override its keys. On a reload the `discovery` of the file takes
precedence over `LB_DISCOVERY`, which dates from the start of the process. `LB_LISTEN_FD` names a
listening socket that the process inherits.
"""

from __future__ import annotations

import json
import os
import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mothstall import settings
from mothstall.errors import MothstallError
from mothstall.interface import NS, Effect, Settings

LOG_LEVELS = ("debug", "info", "warning", "error")
DEFAULT_LOG_LEVEL = "info"
MIN_DESCRIPTORS = 64  # fewer would leave no budget for clients or backends
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_BODY_MB = 40
DEFAULT_IDLE_NS = 60 * NS  # time after which backends close idle connections
DEFAULT_ANSWER_SLACK_NS = NS // 50  # a response may exceed its deadline by this time
MAX_PORT = 65_535
_LABEL = re.compile(r"[0-9A-Za-z_.-]{0,64}")


class ConfigError(MothstallError, ValueError):
    """The configuration is invalid; the error's text names the faulty key."""


@dataclass(frozen=True, slots=True)
class Names:
    """The names in the settings, in the order of the indexes that the interface uses.

    Attributes:
        classes: Names of request classes.
        tenants: Names of tenants.
        zones: Names of zones.
        kinds: Names of hardware generations.
        effects: The effect of each class, which its requests have to match.
        deadlines_ns: The deadline of each class.
        cost_label: Label in `X-Labels` with a request's expected work in nanoseconds; empty if no
            label is read. Not part of the settings.
        class_index: Index of each class by its name; saves a search for each request.
        tenant_index: Index of each tenant by its name; saves a search for each request.
    """

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    effects: tuple[Effect, ...] = ()
    deadlines_ns: tuple[int, ...] = ()
    cost_label: str = field(default="", compare=False)
    class_index: Mapping[str, int] = field(init=False, repr=False, compare=False)
    tenant_index: Mapping[str, int] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        for key, names in (("class_index", self.classes), ("tenant_index", self.tenants)):
            object.__setattr__(self, key, {name: index for index, name in enumerate(names)})


@dataclass(frozen=True, slots=True)
class Address:
    """A host, by name or by IP address, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy, checked and complete.

    Attributes:
        name: Name of the proxy in logs and for handovers.
        listen: Address that clients connect to.
        discovery: Address of the service that lists backends.
        admin: Address of the admin server; None without one.
        listen_fd: Descriptor of the clients' listening socket; None if it is not inherited.
        handover_dir: Directory for handovers between processes of this proxy: `TMPDIR`, if the
            listening socket is inherited.
        seed: Seed of all randomness.
        descriptors: `limits.sockets`: maximum number of file descriptors of the process.
        memory_bytes: `limits.memory_mb`: memory limit of the process.
        max_body_bytes: `limits.body_mb`: maximum size of the body of a request or response.
        known: A cached endpoint list in discovery's format, possibly out of date; None without one.
        settings: The settings of the balancer.
        names: The names in the settings.
        idle_ns: Time after which a backend closes an idle connection.
        answer_slack_ns: Time by which a response to a client may exceed its deadline.
        log_level: One of `LOG_LEVELS`.
    """

    name: str
    listen: Address
    discovery: Address
    admin: Address | None
    listen_fd: int | None
    handover_dir: str | None
    seed: int
    descriptors: int
    memory_bytes: int
    max_body_bytes: int
    known: Mapping[str, Any] | None
    settings: Settings
    names: Names
    idle_ns: int
    answer_slack_ns: int
    log_level: str

    @property
    def cost_label(self) -> str:
        """Label in `X-Labels` with a request's expected work; empty if no label is read."""
        return self.names.cost_label


def parse_address(text: str) -> Address:
    """Return the address in `host:port`; an IPv6 host is written in brackets.

    Raises:
        ValueError: The text is not an address.
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number or int(port) > MAX_PORT:
        raise ValueError(f"{text[:60]!r} is not host:port")
    return Address(host, int(port))


def load(path: str | None, env: Mapping[str, str], *, is_reload: bool = False) -> Config:
    """Return the configuration in a file, with the overrides of the environment.

    Args:
        path: The file; None for the one that `LB_CONFIG` names.
        env: The environment.
        is_reload: A running proxy reloads the file: the file's `discovery` takes precedence over
            that of the environment, and no listener is inherited.

    Raises:
        ConfigError: The configuration is invalid.
    """
    path = path or env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set and no --config was given")
    tree = _read_object(path)
    overriding = ("name", "listen") if is_reload else ("name", "listen", "discovery")
    for key in overriding:
        if env.get(f"LB_{key.upper()}"):
            tree[key] = env[f"LB_{key.upper()}"]
    if env.get("LB_ADMIN_ADDR"):
        tree["admin_addr"] = env["LB_ADMIN_ADDR"]
    if is_reload:
        return from_tree(tree)
    descriptor = inherited_listener(env.get("LB_LISTEN_FD"))
    if descriptor is None:
        return from_tree(tree)
    return from_tree(tree, descriptor, env.get("TMPDIR") or None)


def _read_object(path: str) -> dict[str, Any]:
    """Return the JSON object in a file."""
    try:
        tree = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: cannot read {path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: {path} is not JSON: {error}") from error
    if not isinstance(tree, dict):
        raise ConfigError(f"LB_CONFIG: {path} does not contain a JSON object")
    return tree


def inherited_listener(text: str | None) -> int | None:
    """Return the descriptor in the text of `LB_LISTEN_FD`; None if that is unset or empty.

    Raises:
        ConfigError: The descriptor is not a listening stream socket.
    """
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError(f"LB_LISTEN_FD must be the number of a descriptor, not {text[:60]!r}")
    number = int(text[:9])
    try:
        copy = os.dup(number)
        with socket.socket(fileno=copy) as sock:
            is_listening = sock.type == socket.SOCK_STREAM and sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            )
    except OSError as error:
        raise ConfigError(f"LB_LISTEN_FD: descriptor {number}: {error.strerror}") from error
    if not is_listening:
        raise ConfigError(f"LB_LISTEN_FD: descriptor {number} is not a listening stream socket")
    return number


def from_tree(
    tree: Mapping[str, Any], listen_fd: int | None = None, handover_dir: str | None = None
) -> Config:
    """Return the configuration in a JSON object.

    Args:
        tree: The object.
        listen_fd: Descriptor of the clients' listening socket, if it is inherited.
        handover_dir: Directory for handovers between processes of this proxy.

    Raises:
        ConfigError: A key is missing or has an invalid value.
    """
    raw = _value(tree, "settings", dict)
    try:
        parsed = settings.from_json(raw)
        idle_ns = settings.integer_setting(
            raw, "limits.keepalive-ns", DEFAULT_IDLE_NS, settings.timer_ns
        )
        slack_ns = settings.integer_setting(
            raw, "contract.answer-slack-ns", DEFAULT_ANSWER_SLACK_NS
        )
    except settings.SettingsError as error:
        raise ConfigError(str(error)) from error
    limits = _value(tree, "limits", dict, {})
    descriptors = _limit(limits, "sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS)
    memory_mb = _limit(limits, "memory_mb", DEFAULT_MEMORY_MB, 1)
    body_mb = _limit(limits, "body_mb", DEFAULT_BODY_MB, 1)
    seed = _seed(tree)
    level = _value(tree, "log_level", str, DEFAULT_LOG_LEVEL)
    if level not in LOG_LEVELS:
        raise ConfigError(f"log_level must be one of {', '.join(LOG_LEVELS)}, not {level[:60]!r}")
    label = _cost_label(tree)
    listen = _address(tree, "listen")
    admin = _admin_address(tree, listen)
    return Config(
        name=_value(tree, "name", str, "mothstall"),
        listen=listen,
        discovery=_address(tree, "discovery"),
        admin=admin,
        listen_fd=listen_fd,
        handover_dir=handover_dir,
        seed=seed,
        descriptors=descriptors,
        memory_bytes=memory_mb << 20,
        max_body_bytes=body_mb << 20,
        known=_value(tree, "known", dict, {}) or None,
        settings=parsed,
        names=_names(raw, parsed, label),
        idle_ns=idle_ns,
        answer_slack_ns=slack_ns,
        log_level=level,
    )


def _limit(limits: Mapping[str, Any], key: str, default: int, minimum: int) -> int:
    value: int = _value(limits, key, int, default, "limits.")
    if value < minimum:
        raise ConfigError(f"limits.{key} must be {minimum} or more, not {value}")
    return value


def _seed(tree: Mapping[str, Any]) -> int:
    text = _value(tree, "seed", str, "0")
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"seed must be a hexadecimal number, not {text[:60]!r}") from error


def _cost_label(tree: Mapping[str, Any]) -> str:
    label: str = _value(tree, "cost_label", str, "")
    if not _LABEL.fullmatch(label):
        raise ConfigError(
            f"cost_label must be letters, digits, '_', '-' and '.', not {label[:60]!r}"
        )
    return label


def _admin_address(tree: Mapping[str, Any], listen: Address) -> Address | None:
    if tree.get("admin_addr") is None:
        return None
    admin = _address(tree, "admin_addr")
    if admin == listen and admin.port:
        raise ConfigError(f"admin_addr is the same address as listen, {listen}")
    return admin


def _names(raw: Mapping[str, Any], parsed: Settings, cost_label: str) -> Names:
    return Names(
        classes=_names_of_objects(raw, "classes"),
        tenants=_names_of_objects(raw, "customers"),
        zones=_list_of_names(raw, "zones"),
        kinds=_list_of_names(raw, "kinds"),
        effects=tuple(row.effect for row in parsed.classes),
        deadlines_ns=tuple(row.deadline_ns for row in parsed.classes),
        cost_label=cost_label,
    )


# Keys that need a restart, by field of `Config`; `seed` and `known` are read only at the start.
_RESTART_KEYS = {
    "name": "name",
    "listen": "listen",
    "admin": "admin_addr",
    "descriptors": "limits.sockets",
    "memory_bytes": "limits.memory_mb",
    "max_body_bytes": "limits.body_mb",
    "settings": "settings",
    "names": "settings",
    "cost_label": "cost_label",
    "idle_ns": "settings.limits.keepalive-ns",
    "answer_slack_ns": "settings.contract.answer-slack-ns",
}


def keys_that_need_restart(old: Config, new: Config) -> list[str]:
    """Return the changed keys that cannot be applied to a running proxy."""
    changed_keys = [
        key
        for attribute, key in _RESTART_KEYS.items()
        if getattr(old, attribute) != getattr(new, attribute)
    ]
    return list(dict.fromkeys(changed_keys))


def _value(
    tree: Mapping[str, Any], key: str, kind: type, default: Any = None, prefix: str = ""
) -> Any:
    """Return the value of a key, checked for its JSON type; required if there is no default."""
    value = tree.get(key)
    if value is None:
        if default is None:
            raise ConfigError(f"{prefix}{key} is missing")
        return default
    if not isinstance(value, kind) or isinstance(value, bool):
        type_name = {dict: "an object", str: "a string", int: "a whole number"}[kind]
        raise ConfigError(f"{prefix}{key} must be {type_name}, not {json.dumps(value)[:60]}")
    return value


def _address(tree: Mapping[str, Any], key: str) -> Address:
    try:
        return parse_address(_value(tree, key, str))
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _names_of_objects(raw: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """Return the `name` of each object in a list of the settings."""
    found = []
    for index, row in enumerate(raw.get(key) or []):
        name = row.get("name") if isinstance(row, dict) else None
        if not isinstance(name, str) or not name:
            raise ConfigError(f"setting {key}.{index}.name is missing")
        found.append(name)
    if len(set(found)) < len(found):
        raise ConfigError(f"setting {key} has a duplicate name")
    return tuple(found)


def _list_of_names(raw: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = raw.get(key) or []
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"setting {key} must be a list of names")
    return tuple(value)
