"""The engine of a gateway: a state machine without I/O between the policy's decisions and the proxy's sockets.

`Engine` takes events and the time in and gives actions out.  It sends the policy one AttemptEnded for each
StartAttempt, one CounterReply for each IncrementCounter, a TimerFired for each SetTimer, a ClientDisconnected when a
client disconnects, and the endpoint lists in order; after a request's final response it sends the policy nothing more
of it but the end of an attempt that was still open.  It decides nothing of its own beyond HTTP.  Two guards stand
behind the policy: a request whose deadline comes while no attempt is open is answered all the same, and a counter call
that is never answered ends as a timeout.
"""

from martenstep.proxy.engine.engine import Engine as Engine
