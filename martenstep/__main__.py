"""`python -m martenstep`, and the command that is installed."""

from __future__ import annotations

import sys

from martenstep.supervise import early_signals


def main() -> None:
    """Mind signals first, since the imports take their time; then the command line."""
    early_signals.install(sys.argv[1:])
    from martenstep.cli.main import main as commands

    commands()


if __name__ == "__main__":
    main()
