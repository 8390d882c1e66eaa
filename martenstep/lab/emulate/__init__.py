"""The systems that doors serve and rest on, in virtual time, driving the doors' own engines.

May live here: the clock, the network, models of servers, store, feed and clients, and the world that plays a day with
them.  May not: sockets, threads, the machine's clock; nothing decides for a door here.
"""
