"""The errors of the membership package."""

from __future__ import annotations

from enum import StrEnum


class MembershipError(Exception):
    """Base of the package's errors."""


class DropReason(StrEnum):
    """Why a datagram or a frame is dropped; the values are those of the metrics `fleet_dropped_*`."""

    LENGTH = "length"
    MAGIC = "magic"
    VERSION = "version"
    CLUSTER = "cluster"
    MAC = "mac"
    OWN = "own"  # this process sent it
    BODY = "body"
    BOOT_ID = "life"  # it is addressed to another process
    REPLAY = "replay"
    UNEXPECTED_FRAME = "frame"
    NOT_A_MEMBER = "not a member"


class ProtocolError(MembershipError):
    """Bytes that are dropped."""

    def __init__(self, reason: DropReason) -> None:
        """`reason` is counted."""
        self.reason = reason
        super().__init__(reason.value)
