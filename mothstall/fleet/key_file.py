"""The shared key that authenticates peers, read from a file that only its owner may read."""

from __future__ import annotations

import os
import stat
from pathlib import Path

from mothstall.fleet.errors import OperatorError

MIN_KEY_BYTES = 32  # length of the HMAC-SHA256 output; a shorter key is weaker than that
MAX_KEY_FILE_BYTES = 4096  # maximum that is read; guards against a path to some other file


def read_key(path: Path) -> bytes:
    """Return the key in a file, without surrounding white space.

    Raises:
        OperatorError: The file cannot be read, others may read it, or the key is too short.
    """
    try:
        with path.open("rb") as file:
            status = os.fstat(file.fileno())
            key = file.read(MAX_KEY_FILE_BYTES).strip()
    except OSError as error:
        raise OperatorError(
            f"operator file: $.key_file: cannot read {path}: {error.strerror}"
        ) from error
    if stat.S_IMODE(status.st_mode) & 0o077 or status.st_uid != os.geteuid():
        raise OperatorError(
            f"operator file: $.key_file: {path} must be accessible to its owner alone (chmod 600)"
        )
    if len(key) < MIN_KEY_BYTES:
        raise OperatorError(
            f"operator file: $.key_file: {path} holds fewer than {MIN_KEY_BYTES} bytes"
        )
    return key
