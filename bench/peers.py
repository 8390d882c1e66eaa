"""Other doors of a fleet, their membership alone, in one process: `python -m bench.peers KEY_FILE NUMBER`."""

from __future__ import annotations

import asyncio
import json
import sys

from martenstep.config import door_pb2 as pb
from martenstep.membership.service import MembershipService


async def main(key_file: str, number: int) -> None:
    """Until killed."""
    first = 0
    for index in range(number):
        fleet = pb.Fleet(cluster="bench", key_file=key_file)
        if first:
            fleet.seed.add(port=first)
        one = MembershipService(fleet, f"peer-{index}", f"zone-{index % 3}", lambda event, fields: None)
        port = await one.start()
        first = first or port
    sys.stdout.write(json.dumps({"ready": {"port": first}}) + "\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
