"""Derives the settings of each worker: its own instance number, its own files, and its share of the limits.

No I/O.

All gateways of a fleet must have the same number of workers, since the instance numbers are derived from it.
"""

from __future__ import annotations

import math

from martenstep.config import door_pb2 as pb

# Message and field of the limits that apply to the whole gateway; each worker gets an equal share, rounded up.
SHARED_LIMITS = (
    ("listener", "max_connections"),
    ("listener", "max_open"),
    ("listener", "buffer_bytes"),
    ("upstream", "connections"),
)


def build_worker_settings(settings: pb.Door, worker: int) -> pb.Door:
    """Build the settings of one worker of a gateway."""
    count = settings.workers.count
    result = pb.Door()
    result.CopyFrom(settings)
    result.ClearField("workers")
    result.ClearField("pid_file")
    result.name = f"{settings.name}.{worker}"
    result.instance = settings.instance * count + worker
    result.instances = settings.instances * count
    for customer in result.customer:
        customer.first_door *= count
        customer.doors *= count
    for message_name, field_name in SHARED_LIMITS:
        message = getattr(result, message_name)
        setattr(message, field_name, math.ceil(getattr(message, field_name) / count))
    if result.admin.port:
        result.admin.port += worker
    if result.hooks.history:
        result.hooks.history += f".{worker}"
    if result.counter.journal:
        result.counter.journal += f"/{worker}"
    if result.members.warm_copy:
        result.members.warm_copy += f".{worker}"
    if result.tracing.file:
        result.tracing.file += f".{worker}"
    return result
