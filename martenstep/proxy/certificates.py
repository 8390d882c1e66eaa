"""The certificates of a gateway: reloaded on demand, and warned of before they end."""

from __future__ import annotations

from martenstep.config.tls import EXPIRY_WARNING_DAYS, ClientContext, ServerContext, TlsError
from martenstep.event_log import EventLog
from martenstep.proxy.server import ProxyServer

EXPIRY_CHECK_S = 3600.0  # between two looks at the certificate's end


class Certificates:
    """The certificates that a server shows, and those by which it knows others."""

    def __init__(self, server: ProxyServer, log_event: EventLog) -> None:
        """`server` has the TLS contexts."""
        self._server, self._log_event = server, log_event

    def reload(self) -> None:
        """Read all of them anew; connections that stand keep theirs."""
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
        """Warn of a certificate that ends soon, now and each hour."""
        if self._server.tls is None:
            return
        days_left = self._server.tls.days_left()
        if days_left < EXPIRY_WARNING_DAYS:
            self._log_event("certificate expires soon", {"days_left": round(days_left, 1)})
        self._server.loop.call_later(EXPIRY_CHECK_S, self.warn_of_expiry)
