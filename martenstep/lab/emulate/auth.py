"""Models of authentication services: the credential decides the verdict, with every fault of the stand-in."""

from __future__ import annotations

from collections.abc import Callable

from martenstep.lab.emulate.core import RandomBuffer, Sim
from martenstep.lab.emulate.net import Location
from martenstep.proxy.engine_messages import Headers
from martenstep.standins.auth import CREDENTIAL_PREFIX, DRIP_MS

Reply = Callable[[int, Headers, bytes], None]
VERDICT_BYTES = 120  # approximate size; a dripping response sends its bytes one by one


class EmulatedAuthService:
    """One authentication service."""

    def __init__(
        self, sim: Sim, number: int, max_age_s: int, random_numbers: RandomBuffer, write: Callable[..., None]
    ) -> None:
        self._sim, self._max_age, self._random, self._write = sim, max_age_s, random_numbers, write
        self.location = Location(f"auth-{number}", "auth")
        self.delay_ms = 0.0
        self.down = self.silent = False
        self.fault_shares = {
            "errors": 0.0,
            "resets": 0.0,
            "twice": 0.0,
            "contradicts": 0.0,
            "broken": 0.0,
            "drips": 0.0,
        }
        self.checks_received = 0

    def check(self, credential: str, rid: str, reply: Reply, failed: Callable[[], None]) -> None:
        """Handle a check: its response or the end of its connection follows, or nothing while the service is silent."""
        if self.down:
            failed()
            return
        self.checks_received += 1
        if not self.silent:
            self._sim.after(
                self.delay_ms * self._random.uniform(0.8, 1.2), self._respond, credential, rid, reply, failed
            )

    def _respond(self, credential: str, rid: str, reply: Reply, failed: Callable[[], None]) -> None:
        random, fault_shares = self._random.random, self.fault_shares
        if self.down or random() < fault_shares["resets"]:
            failed()
            return
        status, headers, body = self._verdict(credential)
        if random() < fault_shares["errors"]:
            status, headers, body = 500, [], b"broken\n"
        if random() < fault_shares["broken"]:
            failed()
            return
        self._write(
            "verdict",
            rid=rid,
            customer=credential.removeprefix(CREDENTIAL_PREFIX),
            status=status,
            max_age=self._max_age,
        )
        drip_ms = VERDICT_BYTES * DRIP_MS if random() < fault_shares["drips"] else 0.0
        self._sim.after(drip_ms, reply, status, headers, body)
        if random() < fault_shares["twice"]:
            self._sim.after(drip_ms, reply, status, headers, body)

    def _verdict(self, credential: str) -> tuple[int, Headers, bytes]:
        customer = credential.removeprefix(CREDENTIAL_PREFIX)
        if not credential.startswith(CREDENTIAL_PREFIX) or not customer:
            return 401, [(b"www-authenticate", b"Bearer")], b"who are you?\n"
        if self._random.random() < self.fault_shares["contradicts"]:
            return 403, [], b"no longer\n"
        headers: Headers = [(b"x-auth-customer", customer.encode())]
        plan = customer.rsplit("-", 2)[0]
        if plan != customer:
            headers.append((b"x-auth-plan", plan.encode()))
        if self._max_age:
            headers.append((b"cache-control", b"max-age=%d" % self._max_age))
        return 200, headers, b""
