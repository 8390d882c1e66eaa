"""How a door learns of its servers, and of the other doors.

May live here: the feed's protocol, its client, the copy kept over a restart; `gossip`: membership among the doors.
May not: the choice among servers.
"""
