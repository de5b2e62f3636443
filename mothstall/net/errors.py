"""The base class of the proxy's exceptions."""

from mothstall.errors import MothstallError


class NetError(MothstallError):
    """Base of all exceptions that the proxy's request path raises."""


class UnreadableMessageError(NetError, ValueError):
    """A client or a peer sent something unreadable; the error's text names the faulty part."""
