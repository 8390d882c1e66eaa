"""Reloads the certificates of a gateway on demand, and logs a warning before the server's own expires."""

from __future__ import annotations

from martenstep.config.tls import EXPIRY_WARNING_DAYS, ClientContext, ServerContext, TlsError
from martenstep.event_log import EventLog
from martenstep.proxy.server import ProxyServer

EXPIRY_CHECK_INTERVAL_S = 3600.0


class Certificates:
    """The certificate that a server presents, and those by which it verifies others."""

    def __init__(self, server: ProxyServer, log_event: EventLog) -> None:
        """`server` owns the TLS contexts."""
        self._server, self._log_event = server, log_event

    def reload(self) -> None:
        """Read all certificates from their files again; open connections keep the previous ones."""
        contexts: list[ServerContext | ClientContext] = [*self._server.client_tls]
        if self._server.tls is not None:
            contexts.append(self._server.tls)
        for context in contexts:
            try:
                context.reload()
            except TlsError as error:
                self._log_event("certificate not reloaded", {"error": str(error)})
                continue
            fields = {"days_left": round(context.days_left(), 1)} if isinstance(context, ServerContext) else {}
            self._log_event("certificate reloaded", fields)

    def warn_of_expiry(self) -> None:
        """Log a warning if the server's certificate expires soon; repeats every hour."""
        if self._server.tls is None:
            return
        days_left = self._server.tls.days_left()
        if days_left < EXPIRY_WARNING_DAYS:
            self._log_event("certificate expires soon", {"days_left": round(days_left, 1)})
        self._server.loop.call_later(EXPIRY_CHECK_INTERVAL_S, self.warn_of_expiry)
