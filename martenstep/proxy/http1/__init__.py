"""HTTP/1.1 on a connection, both sides, as bytes in and events out: no socket, no clock, no task.

Here are: reading heads (llhttp, with checks where it is laxer than RFC 9112 and than h11), bodies by length, by chunks
and to the connection's end, and writing.  What is rejected is raised as ProtocolError with a status; nothing here
decides on it.
"""
