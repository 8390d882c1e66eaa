"""The settings of each worker: an instance of its own among all doors, its files and its bounds apart.

No I/O.

All doors of a fleet must have as many workers: the numbers of instances are counted on that.
"""

from __future__ import annotations

import math

from martenstep.config import door_pb2 as pb

# Bounds that are the whole door's, each worker's part of them rounded up: message and field.
SPLIT = (("listener", "max_connections"), ("listener", "max_open"), ("upstream", "connections"))


def worker_door(door: pb.Door, worker: int) -> pb.Door:
    """The settings of one worker of a door."""
    count = door.workers.count
    made = pb.Door()
    made.CopyFrom(door)
    made.ClearField("workers")
    made.ClearField("pid_file")
    made.name = f"{door.name}.{worker}"
    made.instance, made.instances = door.instance * count + worker, door.instances * count
    for customer in made.customer:
        customer.first_door *= count
        customer.doors *= count
    for message, name in SPLIT:
        part = getattr(made, message)
        setattr(part, name, math.ceil(getattr(part, name) / count))
    if made.admin.port:
        made.admin.port += worker
    if made.hooks.history:
        made.hooks.history += f".{worker}"
    if made.counter.journal:
        made.counter.journal += f"/{worker}"
    if made.members.warm_copy:
        made.members.warm_copy += f".{worker}"
    if made.tracing.file:
        made.tracing.file += f".{worker}"
    return made
