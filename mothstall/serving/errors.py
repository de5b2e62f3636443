"""Exceptions of the processes that serve frame connections."""

from __future__ import annotations

from mothstall.errors import MothstallError


class ServingError(MothstallError):
    """Base of the exceptions of keeper and observer processes."""


class UnexpectedMessageError(ServingError, ValueError):
    """A peer sent a well-formed message that it must not send; its connection is closed."""


class ProcessFaultError(ServingError, OSError):
    """A process ended because of an internal error."""
