"""Rules that decide which machine may be taken out, and which waiting request is granted next.

They are pure functions of the queue's state, so that every replica of the queue decides the same.

A request waits while one of these conditions holds.  The first one is shown to operators as its waiting reason:

1. the queue or the request's plan is paused;
2. the cluster is short of capacity (machines down, rejections, replicas that catch up, a partition), or a machine is
   overdue;
3. the limit on machines out is reached, in all, in the machine's zone, or by capacity.  A machine is out from its grant
   until it has recovered, and also while it is unhealthy for any other reason;
4. another machine of one of the machine's replica groups is out, or one of these groups is incomplete;
5. with `zone_by_zone`: the machine is in another zone than the one in progress;
6. the machine leads the queue, and requests of other machines wait (with `zone_by_zone`: of its zone).  The leader is
   granted last.

Requests are ordered by urgency, then deadline, then age; a request that cannot be granted is overtaken by those that
can.  Once a request has waited longer than `starvation_ms`, no other overtakes it while a limit blocks it and machines
are out by grant, since these come back.  It is still overtaken while it waits for its zone, for its place as leader, or
for an incomplete group without any machine out by grant: it could wait forever if the others had to wait for it.
"""

from __future__ import annotations

import math

from martenstep.maintenance.model import MaintenanceRequest, Observation, QueueState, RequestState

GRANTED_STATES = (RequestState.GRANTED, RequestState.OUT, RequestState.RECOVERING)
OVERDUE_STATES = (RequestState.OUT, RequestState.RECOVERING)


def granted_machines(state: QueueState) -> set[str]:
    """Machines that are out by grant, or that hold a grant and may drain at any moment."""
    return {request.machine for request in state.requests.values() if request.state in GRANTED_STATES}


def out_machines(state: QueueState) -> set[str]:
    """Machines that are out by grant, may drain at any moment by grant, or are unhealthy."""
    return granted_machines(state) | state.observation.unhealthy_names()


def overdue_requests(state: QueueState) -> list[str]:
    """Ids of the requests whose machine is still out after its due time."""
    return [
        request.request_id
        for request in state.requests.values()
        if request.state in OVERDUE_STATES and state.now_ms > request.due_ms
    ]


def permanent_violation(state: QueueState, machine: str) -> str:
    """Why the present limits can never admit a machine; empty if they can."""
    limits = state.limits
    machines = state.observation.by_name()
    if limits.max_out < 1 or limits.max_out_per_zone < 1:
        return "the limits let no machine out"
    if machines and machine not in machines:
        return f"no machine {machine} is known"
    total = state.observation.total_capacity()
    if machine in machines and total and machines[machine].capacity > limits.max_capacity_share * total:
        return (
            f"{machine} alone is {machines[machine].capacity / total:.0%} of the capacity, and "
            f"{limits.max_capacity_share:.0%} may be out"
        )
    return ""


def limit_violation(state: QueueState, request: MaintenanceRequest) -> str:
    """Which limit a grant would violate, given the other machines that are out; empty if none."""
    if request.machine not in state.observation.by_name():
        return f"{request.machine} is not seen"
    others = out_machines(state) - {request.machine}
    return (
        _count_violation(state, request.machine, others)
        or _capacity_violation(state, request.machine, others)
        or _group_violation(state.observation, request.machine, others)
    )


def _count_violation(state: QueueState, machine: str, others: set[str]) -> str:
    limits = state.limits
    zones = state.observation.zones()
    if len(others) + 1 > limits.max_out:
        return f"{limits.max_out} may be out, and {_join_names(others)} are" if others else "no machine may be out"
    same_zone = {name for name in others if name in zones and zones[name] == zones[machine]}
    if len(same_zone) + 1 > limits.max_out_per_zone:
        return f"{limits.max_out_per_zone} may be out in zone {zones[machine] or '-'}, and {_join_names(same_zone)} are"
    return ""


def _capacity_violation(state: QueueState, machine: str, others: set[str]) -> str:
    limits = state.limits
    machines = state.observation.by_name()
    total = state.observation.total_capacity()
    leaving = machines[machine].capacity + sum(machines[name].capacity for name in others if name in machines)
    if total and leaving > limits.max_capacity_share * total:
        return f"{limits.max_capacity_share:.0%} of the capacity may be out, this would be {leaving / total:.0%}"
    return ""


def _group_violation(observation: Observation, machine: str, others: set[str]) -> str:
    healthy = observation.by_name()[machine].healthy
    for group in observation.groups:
        if machine not in group.machines:
            continue
        members_out = others & set(group.machines)
        if members_out:
            return f"{_join_names(members_out)} of {group.name} are out, a copy of which it holds"
        if not group.complete and healthy:
            return f"{group.name}, a copy of which it holds, is not whole"
    return ""


def waiting_reason(state: QueueState, request: MaintenanceRequest) -> str:
    """Why a waiting request cannot be granted, whatever its place in the order; empty if it can."""
    return (
        _paused_reason(state, request)
        or _shortage_reason(state)
        or limit_violation(state, request)
        or _sequence_reason(state, request)
    )


def _paused_reason(state: QueueState, request: MaintenanceRequest) -> str:
    if state.paused is not None:
        return f"paused: {state.paused}"
    if request.plan in state.paused_plans:
        return f"plan {request.plan} stands: {state.paused_plans[request.plan]}"
    return ""


def _shortage_reason(state: QueueState) -> str:
    if state.observation.shortages:
        return f"the fleet is short: {', '.join(state.observation.shortages)}"
    overdue = overdue_requests(state)
    if overdue and state.limits.overdue_blocks:
        return f"not back in time: {', '.join(overdue)}"
    return ""


def _sequence_reason(state: QueueState, request: MaintenanceRequest) -> str:
    zones = state.observation.zones()
    if state.limits.zone_by_zone:
        zone = zone_in_progress(state, zones)
        if zone is not None and zones[request.machine] != zone:
            return f"zone {zone or '-'} is not done"
    leaders = {machine.name for machine in state.observation.machines if machine.is_leader}
    if request.machine in leaders and _others_wait(state, request, leaders, zones):
        return "it leads the book, and goes last"
    return ""


def _others_wait(state: QueueState, request: MaintenanceRequest, leaders: set[str], zones: dict[str, str]) -> bool:
    """Whether requests of machines that do not lead the queue must be granted before this one."""
    return any(
        other.state is RequestState.WAITING
        and other.machine not in leaders
        # Counting requests of other zones would be a deadlock: they wait for the leader's zone to be done.
        and (not state.limits.zone_by_zone or zones.get(other.machine) == zones[request.machine])
        for other in state.requests.values()
    )


def waiting_order(state: QueueState) -> list[MaintenanceRequest]:
    """The waiting requests, in the order in which they are considered."""

    def order_key(request: MaintenanceRequest) -> tuple[bool, float, int]:
        return not request.urgent, request.deadline_unix_ms or math.inf, request.number

    waiting = (request for request in state.requests.values() if request.state is RequestState.WAITING)
    return sorted(waiting, key=order_key)


def zone_in_progress(state: QueueState, zones: dict[str, str]) -> str | None:
    """The zone of the latest grant while a request of that zone is active, else None."""
    granted = (request for request in state.requests.values() if request.token)
    latest = max(granted, key=lambda request: request.token, default=None)
    zone = zones.get(latest.machine) if latest is not None else None
    active_zones = {zones.get(request.machine) for request in state.requests.values() if request.active}
    return zone if zone in active_zones else None


def next_to_grant(state: QueueState) -> MaintenanceRequest | None:
    """The request to grant now; None if none can be granted."""
    for request in waiting_order(state):
        if not waiting_reason(state, request):
            return request
        starved = state.now_ms - request.requested_ms > state.limits.starvation_ms
        if starved and limit_violation(state, request) and granted_machines(state):
            return None  # it is starved: no other overtakes it until the granted machines are back
    return None


def _join_names(machines: set[str]) -> str:
    return ", ".join(sorted(machines))
