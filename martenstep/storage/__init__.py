"""What is kept on a disk: the few file operations that all rests on (`files`), and a log of records (`log`).

What a record means is the user's.
"""
