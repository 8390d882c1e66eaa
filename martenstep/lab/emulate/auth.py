"""Authentication services as models: verdicts by the credential, with every trouble of the stand-in."""

from __future__ import annotations

from collections.abc import Callable

from martenstep.lab.emulate.core import Draws, Sim
from martenstep.lab.emulate.net import Place
from martenstep.proxy.engine_messages import Headers
from martenstep.standins.auth import CREDENTIAL_PREFIX, DRIP_MS

Reply = Callable[[int, Headers, bytes], None]
ANSWER_BYTES = 120  # about, of a verdict: a dripping one takes so many drips


class EmuAuth:
    """One service."""

    def __init__(self, sim: Sim, number: int, max_age_s: int, draws: Draws, write: Callable[..., None]) -> None:
        self._sim, self._max_age, self._draws, self._write = sim, max_age_s, draws, write
        self.place = Place(f"auth-{number}", "auth")
        self.delay_ms = 0.0
        self.down = self.silent = False
        self.shares = {"errors": 0.0, "resets": 0.0, "twice": 0.0, "contradicts": 0.0, "broken": 0.0, "drips": 0.0}
        self.asked = 0

    def ask(self, credential: str, rid: str, reply: Reply, failed: Callable[[], None]) -> None:
        """A check has come; its answer, or the end of its connection, goes out in its time, or never."""
        if self.down:
            failed()
            return
        self.asked += 1
        if not self.silent:
            self._sim.after(self.delay_ms * self._draws.between(0.8, 1.2), self._say, credential, rid, reply, failed)

    def _say(self, credential: str, rid: str, reply: Reply, failed: Callable[[], None]) -> None:
        chance, shares = self._draws.unit, self.shares
        if self.down or chance() < shares["resets"]:
            failed()
            return
        status, headers, body = self._verdict(credential)
        if chance() < shares["errors"]:
            status, headers, body = 500, [], b"broken\n"
        if chance() < shares["broken"]:
            failed()
            return
        self._write(
            "verdict",
            rid=rid,
            customer=credential.removeprefix(CREDENTIAL_PREFIX),
            status=status,
            max_age=self._max_age,
        )
        late = ANSWER_BYTES * DRIP_MS if chance() < shares["drips"] else 0.0
        self._sim.after(late, reply, status, headers, body)
        if chance() < shares["twice"]:
            self._sim.after(late, reply, status, headers, body)

    def _verdict(self, credential: str) -> tuple[int, Headers, bytes]:
        customer = credential.removeprefix(CREDENTIAL_PREFIX)
        if not credential.startswith(CREDENTIAL_PREFIX) or not customer:
            return 401, [(b"www-authenticate", b"Bearer")], b"who are you?\n"
        if self._draws.unit() < self.shares["contradicts"]:
            return 403, [], b"no longer\n"
        headers: Headers = [(b"x-auth-customer", customer.encode())]
        plan = customer.rsplit("-", 2)[0]
        if plan != customer:
            headers.append((b"x-auth-plan", plan.encode()))
        if self._max_age:
            headers.append((b"cache-control", b"max-age=%d" % self._max_age))
        return 200, headers, b""
