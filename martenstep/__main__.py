"""`python -m martenstep`."""

from martenstep.cli.main import main

main()
