"""TLS: which peers are accepted, and reloads of certificates.  The tests create every certificate themselves."""

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
from tests.socket_rig import TEST_TIMEOUT_S, Peer, RunningGateway, request_head, run, running_gateway
from tests.test_counter_service import running_service

NOW = datetime.datetime.now(datetime.UTC)


class CertificateAuthority:
    """A certificate authority that writes the certificates it issues into a folder."""

    def __init__(self, folder: Path, name: str = "ca") -> None:
        self._folder, self._key = folder, ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = (
            self._builder(self._name, self._key, 30)
            .issuer_name(self._name)
            .add_extension(x509.BasicConstraints(True, None), True)
            .sign(self._key, hashes.SHA256())
        )
        self.file = str(folder / f"{name}.pem")
        Path(self.file).write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

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
        """Issue a certificate; returns the files of the certificate and of its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        alt: x509.GeneralName = x509.DNSName(host)
        with contextlib.suppress(ValueError):
            alt = x509.IPAddress(ipaddress.ip_address(host))
        certificate = (
            self._builder(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]), key, days)
            .issuer_name(self._name)
            .add_extension(x509.SubjectAlternativeName([alt]), False)
            .sign(self._key, hashes.SHA256())
        )
        files = str(self._folder / f"{name}.pem"), str(self._folder / f"{name}.key")
        Path(files[0]).write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        Path(files[1]).write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        return files


def listener_settings(files: tuple[str, str], more: str = "") -> str:
    return f'listener {{ tls {{ certificate: "{files[0]}" key: "{files[1]}" {more} }} }}'


def client_tls(authority: CertificateAuthority, files: tuple[str, str] | None = None) -> ssl.SSLContext:
    certificate, key = files or ("", "")
    return client_context(pb.ClientTls(ca=authority.file, certificate=certificate, key=key))


async def connect_tls(gateway: RunningGateway, context: ssl.SSLContext) -> Peer:
    return Peer(*await asyncio.open_connection("127.0.0.1", gateway.port, ssl=context, server_hostname="127.0.0.1"))


async def echo_target(peer: Peer) -> None:
    while True:
        await peer.send_response((await peer.read_head()).split()[1])


def test_requests_are_served_over_tls_and_rejected_in_plain_http(tmp_path: Path) -> None:
    async def test() -> None:
        authority = CertificateAuthority(tmp_path)
        async with running_gateway(echo_target, text=listener_settings(authority.issue("gateway"))) as gateway:
            peer = await connect_tls(gateway, client_tls(authority))
            await peer.write(request_head("/read/1") + request_head("/read/2"))
            assert [(await peer.read_response())[2] for _ in range(2)] == [b"/read/1", b"/read/2"]
            peer.close()
            plain = await gateway.connect()
            await plain.write(request_head())
            assert not (await plain.read_to_end()).startswith(b"HTTP")
            await gateway.wait_until(lambda: any(event == "handshake failed" for event, _ in gateway.log_events))
            [logged] = [fields for event, fields in gateway.log_events if event == "handshake failed"]
            assert logged["peer"] == "127.0.0.1" and "HTTP_REQUEST" in logged["reason"].upper()

    run(test())


def test_only_clients_with_a_certificate_of_the_authority_are_accepted(tmp_path: Path) -> None:
    async def test() -> None:
        authority, other_authority = CertificateAuthority(tmp_path), CertificateAuthority(tmp_path, "other")
        files = authority.issue("gateway")
        async with running_gateway(
            echo_target, text=listener_settings(files, f'client_ca: "{authority.file}"')
        ) as gateway:
            peer = await connect_tls(gateway, client_tls(authority, authority.issue("client")))
            await peer.write(request_head())
            assert (await peer.read_response())[0] == 200
            for client_files in (None, other_authority.issue("unknown"), authority.issue("expired", days=-1)):
                with pytest.raises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
                    rejected = await connect_tls(gateway, client_tls(authority, client_files))
                    await rejected.write(request_head())
                    await rejected.read_response()
            await gateway.wait_until(lambda: sum(event == "handshake failed" for event, _ in gateway.log_events) == 3)

    run(test())


def test_tls_below_1_2_is_rejected_and_1_2_too_if_so_configured(tmp_path: Path) -> None:
    async def test() -> None:
        authority = CertificateAuthority(tmp_path)
        async with running_gateway(
            echo_target, text=listener_settings(authority.issue("gateway"), "only_1_3: true")
        ) as gateway:
            old_client = client_tls(authority)
            old_client.maximum_version = ssl.TLSVersion.TLSv1_2
            with pytest.raises((ssl.SSLError, ConnectionError)):
                await connect_tls(gateway, old_client)
            await gateway.wait_until(
                lambda: any("PROTOCOL" in fields.get("reason", "") for _, fields in gateway.log_events)
            )
            assert (await connect_tls(gateway, client_tls(authority))).writer.get_extra_info(
                "ssl_object"
            ).version() == "TLSv1.3"
        settings = pb.ServerTls(certificate=authority.issue("x")[0], key=str(tmp_path / "x.key"))
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
def test_an_endpoint_with_an_invalid_certificate_gets_no_request_and_is_logged(
    tmp_path: Path, kind: str, reason: str
) -> None:
    async def test() -> None:
        authority, other_authority = CertificateAuthority(tmp_path), CertificateAuthority(tmp_path, "other")
        files = {
            "good": authority.issue("s"),
            "wrong name": authority.issue("w", "example.org"),
            "expired": authority.issue("e", days=-1),
            "unknown issuer": other_authority.issue("u"),
        }[kind]
        heads: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer = Peer(reader, writer)
            try:
                heads.append(await peer.read_head())
                await peer.send_response("secret")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        context = ServerContext(pb.ServerTls(certificate=files[0], key=files[1])).context
        server = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=context)
        text = f'upstream {{ max_attempts: 1 connect_ms: 5000 tls {{ ca: "{authority.file}" }} }}'
        async with running_gateway(text=text, ports=(server.sockets[0].getsockname()[1],)) as gateway:
            status, _, body = await gateway.get()
            if kind == "good":
                assert (status, body) == (200, b"secret")
            else:
                assert status == 503 and not heads
                [logged] = [fields for event, fields in gateway.log_events if event == "upstream certificate rejected"]
                assert reason in logged["reason"]
        server.close()

    run(test())


def test_an_authentication_service_with_an_invalid_certificate_gets_no_request_and_is_logged(tmp_path: Path) -> None:
    async def test() -> None:
        authority = CertificateAuthority(tmp_path)
        files = authority.issue("w", "example.org")
        heads: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                heads.append(await Peer(reader, writer).read_head())
            writer.close()

        context = ServerContext(pb.ServerTls(certificate=files[0], key=files[1])).context
        service = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=context)
        port = service.sockets[0].getsockname()[1]
        text = (
            f'auth {{ service {{ port: {port} }} attempts: 1 attempt_ms: 3000 tls {{ ca: "{authority.file}" }} }} '
            'default_plan: "open" '
            'route { name: "safe" path_prefix: "/safe/" class: "read" authenticate: true }'
        )
        async with running_gateway(echo_target, text=text) as gateway:
            status, _, _ = await gateway.get("/safe/1", "authorization: anna\r\n")
            assert status == 503 and not heads
            [logged] = [fields for event, fields in gateway.log_events if event == "upstream certificate rejected"]
            assert logged["address"] == f"127.0.0.1:{port}" and "IP address mismatch" in logged["reason"]
        service.close()

    run(test())


def test_a_certificate_reload_drops_no_connection(tmp_path: Path) -> None:
    async def test() -> None:
        authority = CertificateAuthority(tmp_path)
        files = authority.issue("gateway")
        async with running_gateway(echo_target, text=listener_settings(files)) as gateway:
            assert gateway.server.tls is not None
            old_client = await connect_tls(gateway, client_tls(authority))
            first = old_client.writer.get_extra_info("ssl_object").getpeercert()["serialNumber"]
            authority.issue("gateway", days=20)  # overwrites the files
            gateway.server.tls.reload()
            new_client = await connect_tls(gateway, client_tls(authority))
            assert new_client.writer.get_extra_info("ssl_object").getpeercert()["serialNumber"] != first
            for peer in (old_client, new_client):
                await peer.write(request_head())
                assert (await peer.read_response())[0] == 200
            Path(files[0]).write_text("half a certif")
            with pytest.raises(TlsError, match=r"gateway\.pem"):
                gateway.server.tls.reload()
            # After the failed reload the certificate that was loaded before is still used.
            third_client = await connect_tls(gateway, client_tls(authority))
            await third_client.write(request_head())
            assert (await third_client.read_response())[0] == 200

    run(test())


def test_a_reload_replaces_the_client_certificate_in_the_same_context(tmp_path: Path) -> None:
    authority = CertificateAuthority(tmp_path)
    files = authority.issue("gateway")
    client = ClientContext(pb.ClientTls(ca=authority.file, certificate=files[0], key=files[1]))
    before = client.context
    authority.issue("gateway", days=20)
    client.reload()
    assert client.context is before  # connection pools keep a reference to it
    Path(files[1]).write_text("no key")
    with pytest.raises(TlsError, match=r"gateway\.pem"):
        client.reload()


def test_the_days_until_a_certificate_expires_are_reported(tmp_path: Path) -> None:
    authority = CertificateAuthority(tmp_path)
    for days in (30.0, 3.0, -2.0):
        files = authority.issue("x", days=days)
        assert abs(ServerContext(pb.ServerTls(certificate=files[0], key=files[1])).days_left() - days) < 0.1


def test_a_counter_accepts_only_gateways_with_a_client_certificate(tmp_path: Path) -> None:
    async def test() -> None:
        authority = CertificateAuthority(tmp_path)
        files = authority.issue("counter")
        tls = f'tls {{ certificate: "{files[0]}" key: "{files[1]}" client_ca: "{authority.file}" }}'
        async with running_service(tmp_path / "log", tls) as (service, port):
            for client_files, verdict in (
                (authority.issue("gateway"), CallResult.OK),
                (None, CallResult.CONNECT_FAILED),
            ):
                answers: list[CallResult] = []
                client = CounterClient(
                    [("127.0.0.1", port)],
                    AttemptJournal(tmp_path / f"j{verdict.name}", 10),
                    lambda call, got, total, kept: answers.append(got),  # noqa: B023
                    lambda event, fields: None,
                    ClientOptions(
                        "door-0", timeout_ms=5000.0 if client_files else 300.0, tls=client_tls(authority, client_files)
                    ),
                )
                client.start()
                client.add(1, 7, 1.0, 1e9)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not answers:
                        await asyncio.sleep(0.005)
                assert answers[0] in (
                    (CallResult.OK,) if client_files else (CallResult.CONNECT_FAILED, CallResult.TIMEOUT)
                )
                await client.stop()
            assert service.pipeline.state.total(7) == 1.0

    run(test())


def test_invalid_tls_settings_are_rejected(tmp_path: Path) -> None:
    for text, message in (
        ("listener { tls { } }", "missing"),
        ('upstream { tls { certificate: "/no/such" } }', "there is no file '/no/such'"),
        (f'upstream {{ tls {{ key: "{__file__}" }} }}', "go together"),
    ):
        part = text.split(" ")[0]
        lines = [line for line in SETTINGS.split("\n") if not line.startswith(part)]
        with pytest.raises(SettingsError, match=message):
            parse_door("\n".join([*lines, text]), "d")
    with pytest.raises(TlsError, match="door_pb2"):
        client_context(pb.ClientTls(ca=str(Path(pb.__file__))))
