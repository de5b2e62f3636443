"""Entry point of `python -m mothstall`."""

import gc
import sys

# Guards against a start that spends its time on garbage collection when it has a small share of a
# core: imported objects stay alive, so a collection frees almost nothing. `run` enables collection
# once the proxy has started, `main` enables it for all other commands.
gc.disable()

from mothstall.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
