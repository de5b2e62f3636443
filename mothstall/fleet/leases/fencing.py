"""Check of fencing tokens at a receiver of commands. Pure.

A holder that was paused may send a command after its lease was granted to another process. The
receiver rejects the command, as its token is older than one that it has received before (Kleppmann,
"How to do distributed locking", 2016).
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class FencingTokens:
    """The highest token that a receiver has received for each lease.

    Attributes:
        max_names: Maximum number of leases; commands under further leases are rejected.
        is_enforced: Whether older tokens are rejected; only tests disable it.
        highest: Highest token by the lease's name; persisted by the agent.
    """

    max_names: int = 4096
    is_enforced: bool = True
    highest: dict[str, int] = field(default_factory=dict)

    def admit(self, name: str, token: int) -> str:
        """Return why a command under this token is rejected; else record the token, return ""."""
        highest = self.highest.get(name, 0)
        if self.is_enforced and token < highest:
            return f"{name}: token {token} is older than {highest}"
        if name not in self.highest and len(self.highest) >= self.max_names:
            return f"more than {self.max_names} names of leases"
        self.highest[name] = max(highest, token)
        return ""
