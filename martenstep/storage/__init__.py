"""Storage on disk: the file operations that everything else uses (`files`), and a log of records (`log`).

The meaning of a record is defined by the user of the log.
"""
