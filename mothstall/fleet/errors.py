"""The exceptions that the fleet package raises."""

from mothstall.errors import MothstallError


class FleetError(MothstallError):
    """Base of the exceptions of `mothstall.fleet`."""


class KeeperUnavailableError(FleetError):
    """No keeper, observer or agent gave an answer in time.

    The message names the peers that were tried and the last fault of each.
    """


class OperatorError(FleetError, ValueError):
    """The operator file, or an operator's command, cannot be used.

    The message is one line and names the key or the argument at fault.
    """


class CommandRejectedError(FleetError):
    """The store, or an agent, rejected an operator's command; the message is the reason."""


class InvalidSubscriptionError(FleetError, ValueError):
    """A proxy's request names a subscription that an observer does not serve."""
