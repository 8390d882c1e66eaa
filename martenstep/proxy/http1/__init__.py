"""HTTP/1.1 for both sides of a connection, as a codec from bytes to events without sockets, clocks or tasks.

Heads are parsed by llhttp, with further checks where it is laxer than RFC 9112 and than h11.  Bodies are read by their
length, by chunks or up to the end of the connection.  A rejected message raises ProtocolError with a status; the caller
decides what to do about it.
"""
