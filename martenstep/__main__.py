"""The entry point of `python -m martenstep` and of the installed command."""

from __future__ import annotations

import sys

from martenstep.supervise import early_signals


def main() -> None:
    """Install signal handlers before the slow imports, then run the command line."""
    early_signals.install(sys.argv[1:])
    from martenstep.cli.main import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
