"""`mothstall keepers` on the files of stopped keepers: restore, verify and dump."""

from __future__ import annotations

import argparse
import json
import zlib
from pathlib import Path
from typing import Any

import msgspec

from mothstall.commands.parsing import SubParsers, add_command
from mothstall.fleet.errors import CommandRejectedError, OperatorError
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store import storage, storage_inspection
from mothstall.store.raft.messages import Configuration, HardState, Snapshot
from mothstall.store.raft.ready import Ready
from mothstall.store.state.machine import StateMachine

_FIRST_TERM = 1  # a restored replica starts a new log, so its terms start again


def add_parsers(verbs: SubParsers) -> None:
    """Add the verbs of this module to the group `keepers`."""
    restore = add_command(
        verbs,
        "restore",
        "write one keeper's file from a backup; required for each keeper, with all stopped",
        restore_backup,
    )
    restore.add_argument("file")
    restore.add_argument("--name", required=True)
    verify = add_command(verbs, "verify", "check a stopped keeper's file", verify_file)
    verify.add_argument("file")
    dump = add_command(verbs, "dump", "print a stopped keeper's state", dump_file)
    dump.add_argument("file")


def restore_backup(operator: OperatorConfig, args: argparse.Namespace) -> str:
    """Write the file of a stopped keeper from a backup.

    Raises:
        OperatorError: The keeper has no data folder, or the file is not a backup.
        CommandRejectedError: The keeper already has a file.
    """
    keeper = operator.keeper(args.name)
    if keeper.data_folder is None:
        raise OperatorError(f"operator file: keeper {args.name} has no data folder")
    path = Path(keeper.data_folder) / f"{args.name}.db"
    if path.exists():
        raise CommandRejectedError(f"{path} already exists")
    try:
        image = zlib.decompress(Path(args.file).read_bytes())
        state = StateMachine.from_snapshot(image)
    except (zlib.error, ValueError, msgspec.DecodeError) as error:
        raise OperatorError(f"{args.file} is not a backup: {error}") from error
    _write_keeper_file(operator, args.name, path, image, applied_index=state.applied_index)
    counts = (
        f"{len(state.leases)} leases",
        f"{len(state.drains)} drains",
        f"{len(state.values)} entries",
    )
    return f"{path}: {', '.join(counts)}"


def _write_keeper_file(
    operator: OperatorConfig, name: str, path: Path, image: bytes, *, applied_index: int
) -> None:
    """Write a keeper's file that holds `image` as its snapshot, with the operator file's voters."""
    voters = sorted(keeper.name for keeper in operator.keepers if keeper.is_voter)
    configuration = Configuration(tuple(voters))
    snapshot = Snapshot(max(1, applied_index), _FIRST_TERM, configuration, image)
    log = storage.DiskLog(path)
    log.load(name, operator.cluster, configuration)
    log.write(Ready(hard_state=HardState(_FIRST_TERM), snapshot=snapshot))
    log.close()


def verify_file(_operator: OperatorConfig, args: argparse.Namespace) -> str:
    """Check the checksums of a stopped keeper's file.

    Raises:
        CommandRejectedError: The file is damaged.
    """
    _require_intact(Path(args.file))
    return f"{args.file}: fine"


def dump_file(_operator: OperatorConfig, args: argparse.Namespace) -> dict[str, Any]:
    """Return the contents of a stopped keeper's file.

    Raises:
        CommandRejectedError: The file is damaged.
    """
    path = Path(args.file)
    _require_intact(path)
    summary = storage_inspection.read_summary(path)
    contents: dict[str, Any] = json.loads(msgspec.json.encode(summary))
    return contents


def _require_intact(path: Path) -> None:
    damage = storage_inspection.find_damage(path)
    if damage:
        raise CommandRejectedError(damage)
