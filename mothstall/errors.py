"""The base class of all exceptions that this project defines."""


class MothstallError(Exception):
    """Base of all exceptions of the project.

    Each package derives its own base class (`StoreError`, `FleetError`, ...) and specific errors
    from that, so that a caller can catch exactly the errors that it can handle.
    """
