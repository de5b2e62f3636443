"""What two processes of one proxy say to each other when one takes over from the other. Pure.

A message is one JSON object. The new process says `Take` once it is able to take clients; the old one answers
`Yours` and makes way; then a `Client` comes with each client connection that it hands over. Nothing else is
ever said, so that a partner that says anything else is none.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from mothstall.interface import Known, Predecessor

VERSION = 1
MOST_MESSAGE = 96 * 1024
MOST_KNOWN = 600  # backends of which the new process is told


class NoPartner(ValueError):
    """Words that no partner of this version says."""


@dataclass(frozen=True, slots=True)
class Take:
    name: str


@dataclass(frozen=True, slots=True)
class Yours:
    """What the old process still holds, and what it knew."""

    clients: int
    backends: int  # connections to backends
    memory: Predecessor


@dataclass(frozen=True, slots=True)
class Client:
    """A client's connection, whose descriptor comes with the message."""

    silent: bool  # nothing came on it yet
    age_s: float  # for how long it has been silent or idle


Message = Take | Yours | Client


def encode(message: Message) -> bytes:
    tree: dict[str, Any]
    if isinstance(message, Take):
        tree = {"v": VERSION, "say": "take", "name": message.name}
    elif isinstance(message, Client):
        tree = {"v": VERSION, "say": "client", "silent": message.silent, "age": round(message.age_s, 3)}
    else:
        memory = message.memory
        tree = {
            "v": VERSION,
            "say": "yours",
            "held": [message.clients, message.backends],
            "sums": [memory.usual_ns, memory.room, memory.warm_rate, memory.budget],
            "calm": memory.calm,
            "known": [
                [k.backend, k.started_ns, k.limit, k.fails, k.out_until_ns, k.backoff_ns]
                for k in memory.known[:MOST_KNOWN]
            ],
        }
    return json.dumps(tree, separators=(",", ":")).encode()


def decode(raw: bytes) -> Message:
    """NoPartner for whatever is not such a message of this version."""
    try:
        tree = json.loads(raw)
        if tree["v"] != VERSION:
            raise NoPartner(f"version {str(tree['v'])[:20]}")
        if tree["say"] == "take":
            return Take(str(tree["name"]))
        if tree["say"] == "client":
            return Client(bool(tree["silent"]), _number(tree["age"]))
        if tree["say"] != "yours":
            raise NoPartner("an unknown word")
        clients, backends = (int(_number(n)) for n in tree["held"])
        usual, room, warm_rate, budget = (_number(n) for n in tree["sums"])
        calm = [[_number(n) for n in row] for row in tree["calm"]]
        known = [Known(*(_number(n) for n in row)) for row in tree["known"]]
        return Yours(clients, backends, Predecessor(usual, room, warm_rate, budget, calm, known))
    except NoPartner:
        raise
    except (ValueError, KeyError, TypeError, RecursionError) as why:
        raise NoPartner(f"{type(why).__name__}: {str(why)[:60]}") from why


def _number(value: Any) -> Any:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value < 0:
        raise NoPartner(f"{str(value)[:20]!r} is no number of ours")
    return value
