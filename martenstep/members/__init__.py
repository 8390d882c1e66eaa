"""How a door learns of its servers.

May live here: the feed's protocol, its client, the copy kept over a restart, and later membership between doors.
May not: the choice among servers.
"""
