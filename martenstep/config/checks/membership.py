"""Checks of the membership protocol between gateways."""

from __future__ import annotations

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.text_format import FieldPosition

MAX_MEMBER_NAME_CHARACTERS = 64  # of a gateway's name, and of its zone, in datagrams


def _check_endpoint(checker: SettingsChecker, endpoint: pb.Fleet.Endpoint, position: FieldPosition) -> None:
    checker.require_port(endpoint, position, any_free=False)
    checker.require_present(endpoint, position, "host")


def check_membership(checker: SettingsChecker, settings: pb.Door, position: FieldPosition) -> None:
    """Check the membership protocol between gateways."""
    fleet = settings.fleet
    checker.require_present(fleet, position, "cluster", "host", "key_file")
    checker.require_port(fleet, position, any_free=True)
    if fleet.HasField("advertise"):
        _check_endpoint(checker, fleet.advertise, position.at("advertise"))
    elif fleet.host in ("0.0.0.0", "::"):
        checker.report(
            position.at("advertise"), f"missing: host is {fleet.host}, at which other gateways cannot reach this one"
        )
    for seed, at in zip(fleet.seed, position.all("seed"), strict=True):
        _check_endpoint(checker, seed, at)
    for way, at in zip(fleet.way, position.all("way"), strict=True):
        _check_endpoint(checker, way.to, at.at("to"))
        _check_endpoint(checker, way.through, at.at("through"))
    checker.require_range(fleet, position, "period_ms", 20, 60_000)
    checker.require_range(fleet, position, "ack_ms", 1, fleet.period_ms / 2)
    checker.require_range(fleet, position, "gossip_ms", 10, 60_000)
    checker.require_range(fleet, position, "suspect_least_ms", 2000, 600_000)
    checker.require_range(fleet, position, "reclaim_ms", 10_000, 1e9)
    if not 0 < len(settings.name) <= MAX_MEMBER_NAME_CHARACTERS or len(settings.zone) > MAX_MEMBER_NAME_CHARACTERS:
        checker.report(
            position,
            f"requires a name of 1 to {MAX_MEMBER_NAME_CHARACTERS} characters and a zone of at most as many, "
            f"got {settings.name!r} and {settings.zone!r}",
        )
    if settings.workers.count > 1:
        checker.report(position, "not supported with several workers yet: each would need a separate address")
