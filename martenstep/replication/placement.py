"""Where a group's copies should be, and the next step towards it.  Pure: the same at every machine that knows the same.

A group is at the places that rendezvous hashing gives its name, spread over zones (`members.gossip.holders`), among
those that may hold it: all that are present, and those that hold a copy already and are not lost for good.  A place is
lost for good once it has been away for a stated time, longer than a restart.  That is why a machine that has just
started, and knows few others yet, moves nothing: who holds a copy counts as there until that time is over.

Whoever leads the group takes the steps, one after another, each by the group's own log (single-step changes).  So no
agreement on where copies should be is needed for safety: machines that hold different views take different steps, each
of them safe.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from martenstep.membership.ownership import holders
from martenstep.replication.messages import Configuration


@dataclass(frozen=True, slots=True)
class AddReplica:
    """Ask a place to begin a copy."""

    node: str


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Put another configuration in place; the core refuses it until it may be, and a learner until it is near."""

    configuration: Configuration
    reason: str


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Let another copy lead: this one is to go."""

    to: int


Step = AddReplica | ChangeConfiguration | TransferLeadership


class AbsenceTracker:
    """Since when places have not been there, as far as this machine knows."""

    def __init__(self, final_ms: float) -> None:
        """After `final_ms` a place that is away counts as lost."""
        self._final = final_ms
        self._since: dict[str, float] = {}

    def observe(self, now: float, present: Collection[str], held: Iterable[str]) -> None:
        """Who is there now, and which places hold copies."""
        held = set(held)
        self._since = {place: self._since.get(place, now) for place in held if place not in present}

    def lost(self, now: float) -> set[str]:
        """The places that are lost for good."""
        return {place for place, since in self._since.items() if now - since >= self._final}


def desired_nodes(
    group: str,
    config: Configuration,
    zones: Mapping[str, str],
    present: Collection[str],
    lost: Collection[str],
    count: int,
    first: str | None = None,
) -> list[str]:
    """The places that should hold a group, fewer than `count` where there are fewer.

    `zones` tells the zone of every place that is known; a holder that is not known counts as a zone of its own.
    `first` is a place that should hold it in any case, as long as it is not lost: the others are then in other zones if
    they can be."""
    held = {place for copy, place in config.locations if copy in config.voters}
    able = {place: zones.get(place, f"?{place}") for place in (set(present) | held) - set(lost)}
    if first is None or first not in able:
        return holders(group, able.items(), count)
    zone = able.pop(first)
    line = holders(group, able.items(), len(able))
    line.sort(key=lambda place: able[place] == zone)  # stable: the order among the others stays
    return [first, *line[: count - 1]]


def without_replica(config: Configuration, copy: int) -> Configuration:
    """The same without one copy."""
    return Configuration(
        tuple(one for one in config.voters if one != copy),
        tuple(one for one in config.learners if one != copy),
        tuple(home for home in config.locations if home[0] != copy),
    )


def with_learner(config: Configuration, copy: int, place: str) -> Configuration:
    """The same with one more copy that learns."""
    return Configuration(config.voters, (*config.learners, copy), (*config.locations, (copy, place)))


def with_promoted_learner(config: Configuration, copy: int) -> Configuration:
    """The same with a learner that counts from now on."""
    return Configuration((*config.voters, copy), tuple(one for one in config.learners if one != copy), config.locations)


def next_step(
    config: Configuration,
    me: int,
    places: list[str],
    gone: Collection[int],
    present: Collection[str],
    count: int,
    may_fill: bool,
    first: str | None = None,
) -> Step | None:
    """What a group's leader, copy `me`, should do next; None where all is as it should be, or must wait.

    `places` should hold the group (`wanted`); `gone` are copies that their place says it does not hold; `present` are
    places that can be asked.  Of `count` copies, none is taken out before another counts in its stead, so that a
    majority stays what it was.  `may_fill` is False while other groups are being filled from here.  `first` is the
    place that should lead.
    """
    home = dict(config.locations)
    sound: dict[str, int] = {}
    for copy in config.voters:
        place = home.get(copy, "")
        if copy not in gone and place in places and (place not in sound or copy == me):
            sound[place] = copy
    for copy in config.learners:
        if copy in gone or home.get(copy) not in places or home[copy] in sound:
            return ChangeConfiguration(without_replica(config, copy), "a learner that is not wanted any more")
    spare = [copy for copy in config.voters if copy not in sound.values()]
    if len(config.voters) > count:  # then there are spare ones, as `places` are no more than `count`
        # Lost ones first, this copy last: a copy that leads its own leaving costs an election.
        out = min(spare, key=lambda copy: (copy == me, copy not in gone and home.get(copy) in present))
        if out == me:
            heirs = [copy for place, copy in sound.items() if place in present]
            return TransferLeadership(heirs[0]) if heirs else None
        return ChangeConfiguration(without_replica(config, out), "a copy that is lost, or not wanted here")
    if config.learners:
        return ChangeConfiguration(with_promoted_learner(config, config.learners[0]), "it has learned")
    for place in places:
        if place not in sound and place in present and may_fill:
            return AddReplica(place)
    if first in sound and first in present and sound[first] != me:
        return TransferLeadership(sound[first])
    return None
