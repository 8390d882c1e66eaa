"""`python -m martenstep.node`."""

from martenstep.node.daemon import main

if __name__ == "__main__":
    main()
