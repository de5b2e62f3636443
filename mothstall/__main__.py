"""`python -m mothstall`."""

import sys

from mothstall.cli import main

if __name__ == "__main__":
    sys.exit(main())
