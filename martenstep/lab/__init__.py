"""Days, load, traces, the rule checker and reports.

May live here: what plays a day against real processes, what judges it from the traffic alone, and its tables.
May not: decisions of the door.
"""
