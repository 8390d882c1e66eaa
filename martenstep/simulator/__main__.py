"""Serves the simulator's protocol on standard input and output: `python -m martenstep.simulator`."""

from __future__ import annotations

import sys
from typing import NoReturn

from martenstep.simulator.host import serve
from martenstep.simulator.line_format import ProtocolError

EXIT_MALFORMED_INPUT = 2


def main() -> NoReturn:
    """Serve standard input; exit with status 0 at its end and with status 2 after a malformed line."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except ProtocolError as error:
        print(f"martenstep: {error}", file=sys.stderr)
        sys.exit(EXIT_MALFORMED_INPUT)
    sys.exit(0)


if __name__ == "__main__":
    main()
