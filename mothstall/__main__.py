"""`python -m mothstall`."""

import gc
import sys

# Guards against a start that is spent on collections, on a small share of a core: what is imported stays, so
# there is next to nothing to find. `run` turns it on again once the proxy has started, `main` for all else.
gc.disable()

from mothstall.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
