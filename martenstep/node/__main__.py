"""`python -m martenstep.node`."""

from martenstep.node.pending_signals import PendingSignals

if __name__ == "__main__":
    pending = PendingSignals()
    pending.keep()
    from martenstep.node.daemon import main  # loading takes most of a start: signals must be kept meanwhile

    main(pending)
