"""Errors of the membership package."""

from __future__ import annotations

from enum import StrEnum


class MembershipError(Exception):
    """Base class of the errors of this package."""


class DropReason(StrEnum):
    """Why a datagram or frame was dropped; the values are the suffixes of the metrics `fleet_dropped_*`."""

    LENGTH = "length"
    MAGIC = "magic"
    VERSION = "version"
    CLUSTER = "cluster"
    MAC = "mac"
    OWN = "own"  # sent by this process
    BODY = "body"
    BOOT_ID = "life"  # addressed to another process
    REPLAY = "replay"
    UNEXPECTED_FRAME = "frame"
    NOT_A_MEMBER = "not a member"


class ProtocolError(MembershipError):
    """Received bytes are invalid or not meant for this process, and are dropped."""

    def __init__(self, reason: DropReason) -> None:
        """The receiver counts the drop under `reason`."""
        self.reason = reason
        super().__init__(reason.value)
