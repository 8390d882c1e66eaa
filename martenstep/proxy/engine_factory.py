"""The parts of an engine as a door's settings (door.proto) give them."""

from __future__ import annotations

import random

from martenstep.auth import core as auth
from martenstep.auth.answerer import Answerer
from martenstep.config import door_pb2 as pb
from martenstep.config.settings import ERROR_STATUS, module_settings
from martenstep.config.tls import ClientContext, ServerContext
from martenstep.event_log import EventLog
from martenstep.hooks.releases import Shelf
from martenstep.proxy.attempt_outcomes import StatusTable
from martenstep.proxy.auth_requests import Checks
from martenstep.proxy.dependencies import AuthorizationSettings, EngineDependencies
from martenstep.proxy.engine import Engine
from martenstep.proxy.extension_points import Points
from martenstep.proxy.route_table import Routes
from martenstep.proxy.server import Driver
from martenstep.proxy.stages.upstream_request import GatewayMessageBuilder
from martenstep.proxy.targets import TargetNormalizer
from martenstep.proxy.traces import Sampler


def _auth_of(door: pb.Door) -> AuthorizationSettings | None:
    if not door.HasField("auth"):
        return None
    told = door.auth
    rules = auth.Rules(
        told.share,
        told.attempt_ms,
        told.attempts,
        told.per_service,
        told.total,
        told.waiting,
        told.cache_entries,
        told.cache_ms,
        told.deny_ms,
        told.open_ms,
    )
    names = told.credential_header or ("authorization", "cookie")
    return AuthorizationSettings(
        rules,
        [(one.host, one.port) for one in told.service],
        told.path.encode(),
        told.by_target,
        [name.lower().encode() for name in names],
        told.customer_header.lower().encode(),
        told.plan_header.lower().encode(),
    )


def make_dependencies(
    door: pb.Door, seed: int, shelf: Shelf | None = None, epoch_ms: float = 0.0
) -> EngineDependencies:
    """Everything that an engine needs of the settings.  `shelf` holds the hooks, where there are any; `epoch_ms` is
    what the clock lacks to Unix time, for them."""
    upstream, listener = door.upstream, door.listener
    routes, asked = Routes(door), _auth_of(door)
    copies = frozenset(name.lower().encode() for name in door.auth.copy_header) if asked is not None else frozenset()
    # What only the service may say: a client that says it itself is not heard.
    only = copies | {asked.customer_header, asked.plan_header} if asked is not None else frozenset()
    wording = GatewayMessageBuilder(door, only, copies)
    points = None
    if shelf is not None:
        named = {route.customer_header.lower().encode() for route in door.route if route.customer_header}
        secret = set(asked.credential_headers) if asked is not None else set()
        if door.HasField("forward_auth"):
            secret.add(door.forward_auth.secret_header.lower().encode())
        points = Points(door, routes, secret - {b""}, {*wording.own_names, *named, *only}, epoch_ms)
    return EngineDependencies(
        name=door.name,
        settings=module_settings(door),
        route_table=routes,
        targets=TargetNormalizer(listener.HasField("tls"), list(listener.host_name)),
        status_classifier=StatusTable(
            upstream.refusal_status, upstream.refusal_header, frozenset(upstream.error_status or ERROR_STATUS)
        ),
        message_builder=wording,
        request_id_header=listener.request_id_header.lower().encode(),
        deadline_margin_ms=listener.answer_margin_ms,
        max_in_flight=listener.max_open,
        connect_timeout_ms=upstream.connect_ms,
        can_cancel=upstream.cancel,
        max_retry_after_ms=door.max_retry_after_ms,
        records_usage=door.HasField("counter"),  # the counter service keeps tries, Redis only counts
        authorization=asked,
        forward_auth_reader=Answerer(door.forward_auth) if door.HasField("forward_auth") else None,
        trace_sampler=Sampler(door.tracing.share, random.Random(~seed)) if door.HasField("tracing") else None,
        extension_points=points,
    )


def make_engine(door: pb.Door, seed: int, shelf: Shelf | None = None, epoch_ms: float = 0.0) -> Engine:
    """An engine by a door's settings."""
    return Engine(make_dependencies(door, seed, shelf, epoch_ms), seed, shelf)


def make_server(door: pb.Door, engine: Engine, log_event: EventLog) -> Driver:
    """A driver by a door's settings; raises TlsError."""
    listener, upstream = door.listener, door.upstream
    driver = Driver(
        listener,
        upstream,
        engine,
        log_event,
        ServerContext(listener.tls) if listener.HasField("tls") else None,
        ClientContext(upstream.tls) if upstream.HasField("tls") else None,
        upstream.tls.server_name,
    )
    if door.HasField("auth"):
        driver.check_by(Checks(driver, door.auth))
    return driver
