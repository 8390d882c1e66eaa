"""HTTP/1.1 on a connection, both sides, as bytes in and events out: no socket, no clock, no task.

May live here: reading heads (llhttp, with guards where it is laxer than RFC 9112 and than h11), bodies by length, by
chunks and to the connection's end, and writing.  What is refused is told with a status; nothing here decides on it.
"""
