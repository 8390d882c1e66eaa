"""The engine of a gateway: a state machine without I/O between the policy's decisions and the proxy's sockets.

`Engine` receives events with the current time and returns actions.  It sends the policy one AttemptEnded for each
StartAttempt, one CounterReply for each IncrementCounter, a TimerFired for each SetTimer, a ClientDisconnected when a
client disconnects, and the endpoint lists in order.  After a request's final response it sends the policy only the end
of an attempt that was still open.  Beyond HTTP it makes no decisions of its own.  Two safeguards do not depend on the
policy: a request whose deadline passes while no attempt is open gets a response, and a counter call that is never
answered ends as a timeout.
"""

from martenstep.proxy.engine.engine import Engine as Engine
