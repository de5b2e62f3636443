"""The base class of the proxy's exceptions."""

from mothstall.errors import MothstallError


class NetError(MothstallError):
    """Base of all exceptions that the proxy's request path raises."""


class UnreadableMessageError(NetError, ValueError):
    """A message of a client, a backend or discovery is unreadable; the text names the fault."""
