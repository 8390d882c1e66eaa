"""Checks of the listeners, the connections to endpoints, the source of the endpoint list, workers and tracing."""

from __future__ import annotations

import re

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import MAX_PORT, SettingsChecker
from martenstep.config.checks.tls import check_client_tls, check_server_tls
from martenstep.config.text_format import FieldPosition

HOST_NAME = re.compile(r"(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.\-_]+)(:[0-9]{1,5})?")
MAX_WORKERS = 256
MIN_ERROR_STATUS = 400
MAX_ERROR_STATUS = 599


def check_listener(checker: SettingsChecker, listener: pb.Listener, position: FieldPosition) -> None:
    """Check the listener that clients connect to."""
    checker.require_port(listener, position, any_free=True)
    for name in ("max_connections", "max_open", "head_bytes", "buffer_bytes"):
        checker.require_range(listener, position, name, 1)
    checker.require_positive(listener, position, "idle_ms", "head_ms")
    for number, name in enumerate(listener.host_name):
        if not HOST_NAME.fullmatch(name):
            checker.report(position.at(f"host_name[{number}]"), f"expected host or host:port, got {name!r}")
    if listener.HasField("tls"):
        check_server_tls(checker, listener.tls, position.at("tls"))


def check_upstream(checker: SettingsChecker, upstream: pb.Upstream, position: FieldPosition) -> None:
    """Check the connections to endpoints."""
    for name in ("connections", "max_attempts"):
        checker.require_range(upstream, position, name, 1)
    checker.require_positive(upstream, position, "connect_ms", "idle_ms", "answer_idle_ms")
    checker.require_range(upstream, position, "refusal_status", MIN_ERROR_STATUS, MAX_ERROR_STATUS)
    for status in upstream.error_status:
        if not MIN_ERROR_STATUS <= status <= MAX_ERROR_STATUS:
            checker.report(
                position.at("error_status"),
                f"expected a status from {MIN_ERROR_STATUS} to {MAX_ERROR_STATUS}, got {status}",
            )
    if upstream.HasField("tls"):
        check_client_tls(checker, upstream.tls, position.at("tls"))


def check_endpoint_feed(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check the service that the endpoint list comes from."""
    if settings.HasField("members"):
        position = root.at("members")
        checker.require_port(settings.members, position, any_free=False)
        checker.require_positive(settings.members, position, "wait_ms")
    elif not settings.HasField("forward_auth"):
        checker.report(root.at("members"), "missing: a gateway needs a feed of its endpoints")


def check_admin_and_workers(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check the number of workers and the admin listener, which each worker has at a separate port."""
    if settings.HasField("admin"):
        checker.require_port(settings.admin, root.at("admin"), any_free=True)
    checker.require_range(settings.workers, root.at("workers"), "count", 1, MAX_WORKERS)
    if (
        settings.workers.count > 1
        and settings.admin.port
        and settings.admin.port + settings.workers.count - 1 > MAX_PORT
    ):
        highest = settings.admin.port + settings.workers.count - 1
        checker.report(
            root.at("admin").at("port"),
            f"the workers use the ports from this one to {highest}, which is past the last one, {MAX_PORT}",
        )


def check_tracing(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check the tracing of requests."""
    if settings.HasField("tracing"):
        checker.require_present(settings.tracing, root.at("tracing"), "file")
        checker.require_range(settings.tracing, root.at("tracing"), "share", 0, 1)
