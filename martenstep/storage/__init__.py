"""What stands on a disk: the few file operations that all rests on, and the log of records.

May live here: files with the seam for faults, segments, snapshots, reading back.  May not: what a record means.
"""
