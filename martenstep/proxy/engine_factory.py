"""Creates an engine and a server from a gateway's settings (door.proto)."""

from __future__ import annotations

import random

from martenstep.auth import core as auth
from martenstep.auth.answerer import Answerer
from martenstep.config import door_pb2 as pb
from martenstep.config.policy_settings import DEFAULT_ERROR_STATUSES, build_policy_settings
from martenstep.config.tls import ClientContext, ServerContext
from martenstep.event_log import EventLog
from martenstep.hooks.release_manager import ReleaseManager
from martenstep.proxy.attempt_outcomes import StatusTable
from martenstep.proxy.auth_requests import AuthClient
from martenstep.proxy.dependencies import AuthorizationSettings, EngineDependencies
from martenstep.proxy.engine import Engine
from martenstep.proxy.extension_points import HookExtensionPoints
from martenstep.proxy.loop_lag import LoopClock
from martenstep.proxy.route_table import GatewayRouteTable
from martenstep.proxy.server import ProxyServer
from martenstep.proxy.stages.upstream_request import GatewayMessageBuilder
from martenstep.proxy.targets import TargetNormalizer
from martenstep.proxy.traces import Sampler

DEFAULT_CREDENTIAL_HEADERS = ("authorization", "cookie")


def _header_name(name: str) -> bytes:
    return name.lower().encode()


def _authorization_settings(gateway: pb.Door) -> AuthorizationSettings | None:
    if not gateway.HasField("auth"):
        return None
    settings = gateway.auth
    rules = auth.Rules(
        settings.share,
        settings.attempt_ms,
        settings.attempts,
        settings.per_service,
        settings.total,
        settings.waiting,
        settings.cache_entries,
        settings.cache_ms,
        settings.deny_ms,
        settings.open_ms,
    )
    credential_headers = settings.credential_header or DEFAULT_CREDENTIAL_HEADERS
    return AuthorizationSettings(
        rules,
        [(service.host, service.port) for service in settings.service],
        settings.path.encode(),
        settings.by_target,
        [_header_name(name) for name in credential_headers],
        _header_name(settings.customer_header),
        _header_name(settings.plan_header),
    )


def _message_builder(gateway: pb.Door, authorization: AuthorizationSettings | None) -> GatewayMessageBuilder:
    if authorization is None:
        return GatewayMessageBuilder(gateway, frozenset(), frozenset())
    copies = frozenset(_header_name(name) for name in gateway.auth.copy_header)
    # Headers that only the service may set; they are removed from requests of clients.
    auth_only = copies | {authorization.customer_header, authorization.plan_header}
    return GatewayMessageBuilder(gateway, auth_only, copies)


def _extension_points(
    gateway: pb.Door,
    route_table: GatewayRouteTable,
    authorization: AuthorizationSettings | None,
    message_builder: GatewayMessageBuilder,
    epoch_ms: float,
) -> HookExtensionPoints:
    customer_headers = {_header_name(route.customer_header) for route in gateway.route if route.customer_header}
    credential_headers = set(authorization.credential_headers) if authorization is not None else set()
    if gateway.HasField("forward_auth"):
        credential_headers.add(_header_name(gateway.forward_auth.secret_header))
    protected = {*message_builder.gateway_header_names, *customer_headers, *message_builder.auth_only}
    return HookExtensionPoints(gateway, route_table, credential_headers - {b""}, protected, epoch_ms)


def make_dependencies(
    gateway: pb.Door, seed: int, hook_releases: ReleaseManager | None = None, epoch_ms: float = 0.0
) -> EngineDependencies:
    """The dependencies of an engine with a gateway's settings.

    `hook_releases` is None for a gateway without hooks.  `epoch_ms` converts the engine's clock to Unix time for hooks.
    """
    upstream, listener = gateway.upstream, gateway.listener
    route_table, authorization = GatewayRouteTable(gateway), _authorization_settings(gateway)
    message_builder = _message_builder(gateway, authorization)
    extension_points = None
    if hook_releases is not None:
        extension_points = _extension_points(gateway, route_table, authorization, message_builder, epoch_ms)
    error_statuses = frozenset(upstream.error_status or DEFAULT_ERROR_STATUSES)
    return EngineDependencies(
        name=gateway.name,
        settings=build_policy_settings(gateway),
        route_table=route_table,
        targets=TargetNormalizer(listener.HasField("tls"), list(listener.host_name)),
        status_classifier=StatusTable(upstream.refusal_status, upstream.refusal_header, error_statuses),
        message_builder=message_builder,
        request_id_header=_header_name(listener.request_id_header),
        deadline_margin_ms=listener.answer_margin_ms,
        max_in_flight=listener.max_open,
        connect_timeout_ms=upstream.connect_ms,
        can_cancel=upstream.cancel,
        max_retry_after_ms=gateway.max_retry_after_ms,
        records_usage=gateway.HasField("counter"),  # the counter service records usage; Redis only counts
        authorization=authorization,
        forward_auth_reader=Answerer(gateway.forward_auth) if gateway.HasField("forward_auth") else None,
        trace_sampler=Sampler(gateway.tracing.share, random.Random(~seed)) if gateway.HasField("tracing") else None,
        extension_points=extension_points,
    )


def make_engine(
    gateway: pb.Door,
    seed: int,
    hook_releases: ReleaseManager | None = None,
    epoch_ms: float = 0.0,
    incarnation: int | None = None,
) -> Engine:
    """Create an engine with a gateway's settings (see `make_dependencies` and `Engine`)."""
    return Engine(make_dependencies(gateway, seed, hook_releases, epoch_ms), seed, hook_releases, incarnation)


def make_server(gateway: pb.Door, engine: Engine, log_event: EventLog, clock: LoopClock | None = None) -> ProxyServer:
    """Create a server with a gateway's settings; raises TlsError.  `clock` is as for `ProxyServer`."""
    listener, upstream = gateway.listener, gateway.upstream
    server = ProxyServer(
        listener,
        upstream,
        engine,
        log_event,
        ServerContext(listener.tls) if listener.HasField("tls") else None,
        ClientContext(upstream.tls) if upstream.HasField("tls") else None,
        upstream.tls.server_name,
        clock,
    )
    if gateway.HasField("auth"):
        server.set_auth_client(AuthClient(server, gateway.auth))
    return server
