"""Checks of the Redis counter."""

from __future__ import annotations

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.checks.tls import check_client_tls
from martenstep.config.text_format import FieldPosition


def _check_single_node(checker: SettingsChecker, store: pb.Store, position: FieldPosition) -> None:
    checker.require_port(store, position, any_free=False)
    if store.node:
        checker.report(position.at("node"), "given beside topology ALONE, which uses host and port instead")


def _check_nodes(checker: SettingsChecker, store: pb.Store, position: FieldPosition) -> None:
    topology = pb.Store.Topology.Name(store.topology)
    for name in ("host", "port"):
        if store.HasField(name):
            checker.report(position.at(name), f"given beside topology {topology}, which uses node instead")
    if not store.node:
        checker.report(position.at("node"), "missing: at least one is needed")
    for node, node_position in zip(store.node, position.all("node"), strict=True):
        checker.require_port(node, node_position, any_free=False)
    if store.topology == pb.Store.SENTINEL:
        checker.require_present(store, position, "primary_name")
    if store.topology == pb.Store.CLUSTER and store.database:
        checker.report(
            position.at("database"), f"expected 0, got {store.database}: a Redis Cluster has only database 0"
        )


def _check_credentials(checker: SettingsChecker, store: pb.Store, position: FieldPosition) -> None:
    for name in ("password_file", "sentinel_password_file"):
        checker.require_file(store, position, name)
    if store.user and not store.password_file:
        checker.report(position.at("user"), "given without password_file; a user needs a password")
    if store.HasField("tls"):
        check_client_tls(checker, store.tls, position.at("tls"))
        if store.tls.server_name:
            checker.report(
                position.at("tls").at("server_name"),
                "not supported for the store: certificates are checked against the nodes' hosts",
            )


def check_redis_store(checker: SettingsChecker, store: pb.Store, position: FieldPosition) -> None:
    """Check the addresses of Redis, the credentials, and the limits on calls."""
    if store.topology == pb.Store.ALONE:
        _check_single_node(checker, store, position)
    else:
        _check_nodes(checker, store, position)
    _check_credentials(checker, store, position)
    for name in ("connections", "waiting"):
        checker.require_range(store, position, name, 1)
    checker.require_range(store, position, "gather_ms", 0, store.timeout_ms / 2)
