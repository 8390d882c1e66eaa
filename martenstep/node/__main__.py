"""The program `python -m martenstep.node`."""

from martenstep.node.omitted_modules import omit_modules
from martenstep.node.pending_signals import PendingSignals

if __name__ == "__main__":
    pending = PendingSignals()
    pending.install_handlers()
    omit_modules()
    # Loading the modules takes most of the start; signals that arrive meanwhile must not be lost.
    from martenstep.node.daemon import main

    main(pending)
