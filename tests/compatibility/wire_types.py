"""The types of this version that decode the fixtures, named in this module alone."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, get_args

import msgspec

from mothstall import fleet, keeper, observer, store
from mothstall.fleet import operator_config
from mothstall.fleet.failover.plan import decode_overrides, decode_plan
from mothstall.fleet.failover.reports import decode_report, encode_report
from mothstall.fleet.observers.subscription import Subscription
from mothstall.fleet.probing.health_hint import decode_health_hint
from mothstall.keeper.process import PeerMessage
from mothstall.store.protocol import frames, keeper_messages, observer_messages
from mothstall.store.raft import messages
from mothstall.store.state.changes import Change, Proposal
from mothstall.store.state.snapshot import StateImage

# The types that a receiver decodes, by the folder of fixtures.
RECEIVED: Mapping[str, Any] = {
    "calls_to_keeper": keeper_messages.CallerMessage,
    "calls_to_observer": observer_messages.ProxyMessage,
    "calls_to_proxy": keeper_messages.LocalDrainRequest,
    "greetings": frames.Greeting,
    "keeper_answers": keeper_messages.KeeperMessage,
    "keeper_messages": PeerMessage,
    "observer_answers": observer_messages.ObserverMessage,
    "proposals": Proposal,
}
CHANGE = Change

# Records of a keeper's file, by the name of their fixture.
KEEPER_RECORDS: Mapping[str, Any] = {
    "Hard": messages.HardState,
    "Members": messages.Configuration,
    "Snapshot": messages.Snapshot,
}

# How values in the store and reports are read and written, by the name of their fixture.
VALUE_READERS: Mapping[str, Callable[[bytes], Any]] = {
    "Hint": decode_health_hint,
    "Orders": decode_overrides,
    "Plan": decode_plan,
    "Report": decode_report,
}
VALUE_WRITERS: Mapping[str, Callable[[Any], bytes]] = {
    "Hint": msgspec.msgpack.encode,
    "Orders": msgspec.msgpack.encode,
    "Plan": msgspec.msgpack.encode,
    "Report": encode_report,
}

PACKAGES = (store, keeper, observer, fleet)
UNSENT_STRUCTS = (Subscription,)
SNAPSHOT_IMAGE = StateImage  # the type of a snapshot's data
OPERATOR_CONFIG_MODULE = operator_config.__name__  # its structs are read from TOML


def members_of(union: Any) -> tuple[Any, ...]:
    """The classes of a union, or the single class given."""
    return get_args(union) or (union,)


def tag_of(struct: Any) -> str:
    tag = struct.__struct_config__.tag
    assert isinstance(tag, str)
    return tag


def tags(union: Any) -> set[str]:
    return {tag_of(struct) for struct in members_of(union)}


def declared_structs() -> set[type[msgspec.Struct]]:
    """The structs of `PACKAGES`, without base classes and the structs of the operator file."""
    for package in PACKAGES:
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)
    prefixes = tuple(f"{package.__name__}." for package in PACKAGES)
    return {
        struct
        for struct in _subclasses(msgspec.Struct)
        if struct.__module__.startswith(prefixes)
        and struct.__module__ != OPERATOR_CONFIG_MODULE
        and not struct.__subclasses__()
    }


def _subclasses(struct: type[msgspec.Struct]) -> Iterator[type[msgspec.Struct]]:
    for subclass in struct.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)


def structs_in(value: Any) -> Iterator[type[msgspec.Struct]]:
    """The types of all structs in a decoded value."""
    if isinstance(value, msgspec.Struct):
        yield type(value)
        for name in value.__struct_fields__:
            yield from structs_in(getattr(value, name))
    elif isinstance(value, Mapping):
        yield from _structs_in_all(value.values())
    elif isinstance(value, list | tuple | set | frozenset):
        yield from _structs_in_all(value)


def _structs_in_all(values: Iterable[Any]) -> Iterator[type[msgspec.Struct]]:
    for value in values:
        yield from structs_in(value)
