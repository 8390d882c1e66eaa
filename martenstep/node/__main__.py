"""`python -m martenstep.node`."""

from martenstep.node.early import Early

if __name__ == "__main__":
    early = Early()
    early.keep()
    from martenstep.node.daemon import main  # loading takes most of a start: signals must be kept meanwhile

    main(early)
