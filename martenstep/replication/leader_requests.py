"""Requests from any node to the leader of a group, and responses from a leader on this node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from martenstep.replication.errors import IndeterminateError, LeaderUnreachableError, NotLeaderError
from martenstep.replication.local_replicas import LocalReplicas
from martenstep.replication.node_messages import LeaderRequest, LeaderResponse
from martenstep.replication.repair import GroupRepair
from martenstep.replication.replica import Replica
from martenstep.replication.transport import Transport
from martenstep.tasks import BackgroundTasks

RESPONSE_TIMEOUT_S = 1.0  # for the response of one node
RETRY_PAUSE_S = 0.1  # before the request is sent to all nodes again
NONCE_BITS = 60
LeaderHandler = Callable[[Replica, bytes], Awaitable[bytes]]


class LeaderRequests:
    """Sends one node's requests, and answers those of other nodes."""

    def __init__(
        self,
        node: str,
        local: LocalReplicas,
        repair: GroupRepair,
        transport: Callable[[], Transport],
        tasks: BackgroundTasks,
    ) -> None:
        """`repair` supplies the nodes where a group's leader is likely to be; `tasks` runs the answers."""
        self._node = node
        self._local = local
        self._repair = repair
        self._transport = transport
        self._tasks = tasks
        self.handlers: dict[str, LeaderHandler] = {}  # answers requests to the leader, by group
        self._pending: dict[int, asyncio.Future[LeaderResponse]] = {}  # by nonce

    async def request(self, group: str, data: bytes, timeout_s: float) -> bytes:
        """Return the answer of a group's leader, on whichever node it is.

        Raises LeaderUnreachableError if none arrived in time; the request may or may not have been executed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._request_until_answered(group, data)
        except TimeoutError:
            raise LeaderUnreachableError(f"nobody who leads {group} answered within {timeout_s:g} s") from None

    async def _request_until_answered(self, group: str, data: bytes) -> bytes:
        named_leader = ""
        while True:
            nodes = [named_leader] if named_leader else self._likely_nodes(group)
            for node in dict.fromkeys(nodes):
                response = await self._request_from(node, group, data)
                if response is not None and response.data is not None:
                    return response.data
                if response is not None and response.leader and response.leader != node:
                    named_leader = response.leader
                    break
                named_leader = ""
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    def _likely_nodes(self, group: str) -> list[str]:
        """Return all present nodes, after the nodes that should hold the group."""
        present = self._repair.observe().present
        return [*self._repair.desired_nodes(group), *sorted(present)]

    async def _request_from(self, node: str, group: str, data: bytes) -> LeaderResponse | None:
        """Return the response of one node; None if none arrives in time."""
        if node == self._node:
            return await self._answer(group, LeaderRequest(0, data))
        nonce = random.getrandbits(NONCE_BITS)
        response: asyncio.Future[LeaderResponse] = asyncio.get_running_loop().create_future()
        self._pending[nonce] = response
        self._transport().send_to_node(node, group, LeaderRequest(nonce, data))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await response
        except TimeoutError:
            return None
        finally:
            self._pending.pop(nonce, None)

    def handle_response(self, response: LeaderResponse) -> None:
        """Complete the pending request that a response belongs to."""
        pending = self._pending.get(response.nonce)
        if pending is not None and not pending.done():
            pending.set_result(response)

    def handle_request(self, node: str, group: str, request: LeaderRequest) -> None:
        """Answer another node, in the background."""
        self._tasks.spawn(self._respond(node, group, request))

    async def _respond(self, node: str, group: str, request: LeaderRequest) -> None:
        response = await self._answer(group, request)
        self._transport().send_to_node(node, group, response)

    async def _answer(self, group: str, request: LeaderRequest) -> LeaderResponse:
        replica, handler = self._local.replica(group), self.handlers.get(group)
        if replica is None or handler is None:
            return LeaderResponse(request.nonce)
        try:
            return LeaderResponse(request.nonce, await handler(replica, request.data))
        except (NotLeaderError, IndeterminateError):
            leader = replica.raft.leader
            return LeaderResponse(request.nonce, None, replica.find_node(leader) if leader is not None else None)
