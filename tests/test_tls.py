"""TLS: who is refused, who is let in, certificates changed in service.  Every certificate is made here."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import ipaddress
import ssl
from contextlib import suppress
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from martenstep.config import door_pb2 as pb
from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.config.tls import ClientContext, ServerContext, TlsError, client_context
from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.policy.messages import CallResult
from tests.engine_rig import SETTINGS
from tests.socket_rig import BOUND_S, House, Peer, get, house, run
from tests.test_counter_service import served

NOW = datetime.datetime.now(datetime.UTC)


class Issuer:
    """An authority that writes certificates into a folder."""

    def __init__(self, folder: Path, name: str = "ca") -> None:
        self._folder, self._key = folder, ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        made = (
            self._builder(self._name, self._key, 30)
            .issuer_name(self._name)
            .add_extension(x509.BasicConstraints(True, None), True)
            .sign(self._key, hashes.SHA256())
        )
        self.file = str(folder / f"{name}.pem")
        Path(self.file).write_bytes(made.public_bytes(serialization.Encoding.PEM))

    @staticmethod
    def _builder(name: x509.Name, key: ec.EllipticCurvePrivateKey, days: float) -> x509.CertificateBuilder:
        begins, ends = NOW - datetime.timedelta(days=60), NOW + datetime.timedelta(days=days)
        return (
            x509.CertificateBuilder()
            .subject_name(name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
        )

    def issue(self, name: str, host: str = "127.0.0.1", days: float = 30) -> tuple[str, str]:
        """A certificate and its key, as files."""
        key = ec.generate_private_key(ec.SECP256R1())
        alt: x509.GeneralName = x509.DNSName(host)
        with contextlib.suppress(ValueError):
            alt = x509.IPAddress(ipaddress.ip_address(host))
        made = (
            self._builder(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]), key, days)
            .issuer_name(self._name)
            .add_extension(x509.SubjectAlternativeName([alt]), False)
            .sign(self._key, hashes.SHA256())
        )
        files = str(self._folder / f"{name}.pem"), str(self._folder / f"{name}.key")
        Path(files[0]).write_bytes(made.public_bytes(serialization.Encoding.PEM))
        Path(files[1]).write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        return files


def listener(files: tuple[str, str], more: str = "") -> str:
    return f'listener {{ tls {{ certificate: "{files[0]}" key: "{files[1]}" {more} }} }}'


def trusting(issuer: Issuer, files: tuple[str, str] | None = None) -> ssl.SSLContext:
    certificate, key = files or ("", "")
    return client_context(pb.ClientTls(ca=issuer.file, certificate=certificate, key=key))


async def secured(door: House, context: ssl.SSLContext) -> Peer:
    return Peer(*await asyncio.open_connection("127.0.0.1", door.port, ssl=context, server_hostname="127.0.0.1"))


async def good(peer: Peer) -> None:
    while True:
        await peer.answer((await peer.head()).split()[1])


def test_a_request_passes_under_tls_and_plain_http_does_not(tmp_path: Path) -> None:
    async def test() -> None:
        issuer = Issuer(tmp_path)
        async with house(good, text=listener(issuer.issue("door"))) as door:
            peer = await secured(door, trusting(issuer))
            await peer.write(get("/read/1") + get("/read/2"))
            assert [(await peer.response())[2] for _ in range(2)] == [b"/read/1", b"/read/2"]
            peer.close()
            plain = await door.client()
            await plain.write(get())
            assert not (await plain.rest()).startswith(b"HTTP")
            await door.until(lambda: any(event == "handshake failed" for event, _ in door.notes))
            [told] = [fields for event, fields in door.notes if event == "handshake failed"]
            assert told["peer"] == "127.0.0.1" and "HTTP_REQUEST" in told["reason"].upper()

    run(test())


def test_only_clients_with_a_certificate_of_the_authority_are_let_in(tmp_path: Path) -> None:
    async def test() -> None:
        issuer, stranger = Issuer(tmp_path), Issuer(tmp_path, "other")
        files = issuer.issue("door")
        async with house(good, text=listener(files, f'client_ca: "{issuer.file}"')) as door:
            peer = await secured(door, trusting(issuer, issuer.issue("client")))
            await peer.write(get())
            assert (await peer.response())[0] == 200
            for shown in (None, stranger.issue("stranger"), issuer.issue("ended", days=-1)):
                with pytest.raises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
                    refused = await secured(door, trusting(issuer, shown))
                    await refused.write(get())
                    await refused.response()
            await door.until(lambda: sum(event == "handshake failed" for event, _ in door.notes) == 3)

    run(test())


def test_versions_before_1_2_are_refused_and_1_2_where_it_is_said(tmp_path: Path) -> None:
    async def test() -> None:
        issuer = Issuer(tmp_path)
        async with house(good, text=listener(issuer.issue("door"), "only_1_3: true")) as door:
            old = trusting(issuer)
            old.maximum_version = ssl.TLSVersion.TLSv1_2
            with pytest.raises((ssl.SSLError, ConnectionError)):
                await secured(door, old)
            await door.until(lambda: any("PROTOCOL" in fields.get("reason", "") for _, fields in door.notes))
            assert (await secured(door, trusting(issuer))).writer.get_extra_info("ssl_object").version() == "TLSv1.3"
        settings = pb.ServerTls(certificate=issuer.issue("x")[0], key=str(tmp_path / "x.key"))
        assert ServerContext(settings).context.minimum_version is ssl.TLSVersion.TLSv1_2

    run(test())


@pytest.mark.parametrize(
    ("kind", "reason"),
    [
        ("good", ""),
        ("wrong name", "IP address mismatch"),
        ("expired", "certificate has expired"),
        ("unknown issuer", "unable to get local issuer certificate"),
    ],
)
def test_a_server_whose_certificate_is_not_good_gets_nothing_and_is_told_of(
    tmp_path: Path, kind: str, reason: str
) -> None:
    async def test() -> None:
        issuer, other = Issuer(tmp_path), Issuer(tmp_path, "other")
        files = {
            "good": issuer.issue("s"),
            "wrong name": issuer.issue("w", "example.org"),
            "expired": issuer.issue("e", days=-1),
            "unknown issuer": other.issue("u"),
        }[kind]
        heads: list[str] = []

        async def serves(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer = Peer(reader, writer)
            try:
                heads.append(await peer.head())
                await peer.answer("secret")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        context = ServerContext(pb.ServerTls(certificate=files[0], key=files[1])).context
        server = await asyncio.start_server(serves, "127.0.0.1", 0, ssl=context)
        text = f'upstream {{ max_attempts: 1 connect_ms: 5000 tls {{ ca: "{issuer.file}" }} }}'
        async with house(text=text, ports=(server.sockets[0].getsockname()[1],)) as door:
            status, _, body = await door.ask()
            if kind == "good":
                assert (status, body) == (200, b"secret")
            else:
                assert status == 503 and not heads
                [told] = [fields for event, fields in door.notes if event == "upstream certificate rejected"]
                assert reason in told["reason"]
        server.close()

    run(test())


def test_an_authentication_service_whose_certificate_is_not_good_is_told_of(tmp_path: Path) -> None:
    async def test() -> None:
        issuer = Issuer(tmp_path)
        files = issuer.issue("w", "example.org")
        heads: list[str] = []

        async def serves(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                heads.append(await Peer(reader, writer).head())
            writer.close()

        context = ServerContext(pb.ServerTls(certificate=files[0], key=files[1])).context
        service = await asyncio.start_server(serves, "127.0.0.1", 0, ssl=context)
        port = service.sockets[0].getsockname()[1]
        text = (
            f'auth {{ service {{ port: {port} }} attempts: 1 attempt_ms: 3000 tls {{ ca: "{issuer.file}" }} }} '
            'default_plan: "open" '
            'route { name: "safe" path_prefix: "/safe/" class: "read" authenticate: true }'
        )
        async with house(good, text=text) as door:
            status, _, _ = await door.ask("/safe/1", "authorization: anna\r\n")
            assert status == 503 and not heads
            [told] = [fields for event, fields in door.notes if event == "upstream certificate rejected"]
            assert told["address"] == f"127.0.0.1:{port}" and "IP address mismatch" in told["reason"]
        service.close()

    run(test())


def test_a_certificate_is_changed_in_service_and_no_connection_is_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        issuer = Issuer(tmp_path)
        files = issuer.issue("door")
        async with house(good, text=listener(files)) as door:
            assert door.driver.tls is not None
            old = await secured(door, trusting(issuer))
            first = old.writer.get_extra_info("ssl_object").getpeercert()["serialNumber"]
            issuer.issue("door", days=20)  # new files in the place of the old
            door.driver.tls.reload()
            new = await secured(door, trusting(issuer))
            assert new.writer.get_extra_info("ssl_object").getpeercert()["serialNumber"] != first
            for peer in (old, new):
                await peer.write(get())
                assert (await peer.response())[0] == 200
            Path(files[0]).write_text("half a certif")
            with pytest.raises(TlsError, match=r"door\.pem"):
                door.driver.tls.reload()
            again = await secured(door, trusting(issuer))  # the one that was good is still shown
            await again.write(get())
            assert (await again.response())[0] == 200

    run(test())


def test_what_a_door_shows_to_others_is_changed_too(tmp_path: Path) -> None:
    issuer = Issuer(tmp_path)
    files = issuer.issue("door")
    made = ClientContext(pb.ClientTls(ca=issuer.file, certificate=files[0], key=files[1]))
    before = made.context
    issuer.issue("door", days=20)
    made.reload()
    assert made.context is before  # connections and pools hold it
    Path(files[1]).write_text("no key")
    with pytest.raises(TlsError, match=r"door\.pem"):
        made.reload()


def test_the_end_of_a_certificate_is_seen_coming(tmp_path: Path) -> None:
    issuer = Issuer(tmp_path)
    for days in (30.0, 3.0, -2.0):
        files = issuer.issue("x", days=days)
        assert abs(ServerContext(pb.ServerTls(certificate=files[0], key=files[1])).days_left() - days) < 0.1


def test_a_counter_hears_only_doors_that_show_a_certificate(tmp_path: Path) -> None:
    async def test() -> None:
        issuer = Issuer(tmp_path)
        files = issuer.issue("counter")
        tls = f'tls {{ certificate: "{files[0]}" key: "{files[1]}" client_ca: "{issuer.file}" }}'
        async with served(tmp_path / "log", tls) as (service, port):
            for shown, verdict in ((issuer.issue("door"), CallResult.OK), (None, CallResult.CONNECT_FAILED)):
                answers: list[CallResult] = []
                client = CounterClient(
                    [("127.0.0.1", port)],
                    AttemptJournal(tmp_path / f"j{verdict.name}", 10),
                    lambda call, got, total, kept: answers.append(got),  # noqa: B023
                    lambda event, fields: None,
                    ClientOptions("door-0", timeout_ms=5000.0 if shown else 300.0, tls=trusting(issuer, shown)),
                )
                client.start()
                client.add(1, 7, 1.0, 1e9)
                async with asyncio.timeout(BOUND_S):
                    while not answers:
                        await asyncio.sleep(0.005)
                assert answers[0] in ((CallResult.OK,) if shown else (CallResult.CONNECT_FAILED, CallResult.TIMEOUT))
                await client.stop()
            assert service.pipeline.state.total(7) == 1.0

    run(test())


def test_settings_of_tls_are_checked(tmp_path: Path) -> None:
    for text, told in (
        ("listener { tls { } }", "missing"),
        ('upstream { tls { certificate: "/no/such" } }', "there is no file '/no/such'"),
        (f'upstream {{ tls {{ key: "{__file__}" }} }}', "go together"),
    ):
        part = text.split(" ")[0]
        lines = [line for line in SETTINGS.split("\n") if not line.startswith(part)]
        with pytest.raises(SettingsError, match=told):
            parse_door("\n".join([*lines, text]), "d")
    with pytest.raises(TlsError, match="door_pb2"):
        client_context(pb.ClientTls(ca=str(Path(pb.__file__))))
