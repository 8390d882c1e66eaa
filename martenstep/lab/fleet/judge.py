"""Judges a played schedule from its records alone: what each door believed against what was done to the fleet.

Rules, in plain words; each breach is told as a sentence with its moment:

- *alive*: nobody is called dead who ran through, stood for less than the bound, and was cut off from nobody.  Where
  more than 5% of the datagrams are lost, deaths are only counted.
- *witness*: a door that stood still, or that a cut kept from hearing or from being heard, accuses nobody who was well.
- *agree*: at the end, every running member holds exactly the running members present, each in its present life.
- *forget*: at the end nobody holds a member that has been gone for longer than the dead are remembered.
- *one holder*: no name is held by two processes that both take themselves for members.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.records import Belief, Record, Truth, View
from martenstep.lab.fleet.schedule import fitting, members_of

WINDOW_MS = 60_000.0  # a death is the end of a suspicion that took up to half of this: what went before it counts
AFTER_MS = 3000.0  # so long after standing, or a cut, an accusation may still come from it
BORNE_LOSS = 0.05  # share of the datagrams that no death may follow from


@dataclass(slots=True)
class Span:
    """From one moment to another."""

    begin: float
    end: float = float("inf")

    def meets(self, begin: float, end: float) -> bool:
        """Whether it overlaps."""
        return self.begin <= end and self.end >= begin


@dataclass(slots=True)
class Verdict:
    """What the judge found."""

    breaches: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        """No rule was broken."""
        return not self.breaches


class _Story:
    """The truths, put in order."""

    def __init__(self, schedule: pb.Schedule, records: list[Record]) -> None:
        self.begins = next((r.at_ms for r in records if isinstance(r, Truth) and r.kind == "begins"), 0.0)
        self.ends = max((r.at_ms for r in records), default=0.0)
        self.runs: defaultdict[str, list[Span]] = defaultdict(list)  # of places
        self.stood: defaultdict[str, list[Span]] = defaultdict(list)
        self.lives: dict[str, int] = {}  # of places, the present one
        self.name_of: dict[str, str] = {}
        self.kills: list[Truth] = []
        self.agreed: list[tuple[float, bool]] = []
        self.cuts: list[tuple[Span, pb.Break]] = []
        faults: dict[int, Span] = {}
        for record in records:
            if not isinstance(record, Truth):
                continue
            place, kind, at = record.place, record.kind, record.at_ms
            if kind == "started":
                self.runs[place].append(Span(at))
                self.lives[place] = record.fields["life"]
                self.name_of[place] = record.who
            elif kind in ("killed", "left"):
                if not self.runs[place] or self.runs[place][-1].end < at:
                    continue  # it was ended before it had begun to take part
                self.runs[place][-1].end = at
                self.lives.pop(place, None)
                if self.stood[place] and self.stood[place][-1].end == float("inf"):
                    self.stood[place][-1].end = at
                if kind == "killed" and at >= self.begins:
                    self.kills.append(record)
            elif kind == "paused":
                self.stood[place].append(Span(at))
            elif kind == "resumed":
                self.stood[place][-1].end = at
            elif kind.startswith("views"):
                self.agreed.append((at, kind == "views agree"))
            elif kind.startswith("fault"):
                number = int(record.fields["number"]) if "number" in record.fields else -1
                if kind == "fault begins":
                    faults[number] = Span(at)
                    entry = schedule.trouble[number]
                    if entry.what in (pb.CUT, pb.BANDWIDTH):
                        self.cuts.append((faults[number], entry))
                elif kind == "fault ends" and number in faults:
                    faults[number].end = at
        members = members_of(schedule)
        self._touched = [
            (span, frozenset(fitting(entry.source, members)), frozenset(fitting(entry.sink, members)))
            for span, entry in self.cuts
        ]
        self._bound = schedule.suspect_least_ms - 1500.0

    def cut(self, name: str, begin: float, end: float) -> bool:
        """Whether some wire from or to a member was cut."""
        return any(
            span.meets(begin, end) and (name in sources or name in sinks) for span, sources, sinks in self._touched
        )

    def stood_within(self, place: str, begin: float, end: float, longer_than: float = 0.0) -> bool:
        """Whether a process stood for longer than so long."""
        return any(
            span.meets(begin, end) and min(span.end, end) - span.begin > longer_than
            for span in self.stood.get(place, [])
        )

    def ran_through(self, place: str, begin: float, end: float) -> bool:
        """Whether one process of it ran from one moment, or from its begin well before the other, to the other."""
        return any(span.begin <= max(begin, self.begins) and span.end >= end for span in self.runs.get(place, []))

    def well(self, name: str, at: float) -> bool:
        """Nothing was done to a member, in the window before a moment, that it may be called dead for."""
        begin = at - WINDOW_MS
        return (
            self.ran_through(name, begin, at)
            and not self.cut(name, begin, at)
            and not self.stood_within(name, begin, at, self._bound)
        )


def judge(schedule: pb.Schedule, records: Iterable[Record]) -> Verdict:
    """The rules and the figures of one play."""
    every = sorted(records, key=lambda record: record.at_ms)
    story, verdict = _Story(schedule, every), Verdict()
    lossy = any(entry.what == pb.LOSS and entry.share > BORNE_LOSS for entry in schedule.trouble)
    beliefs = [r for r in every if isinstance(r, Belief) and r.at_ms >= story.begins]
    _alive(story, beliefs, verdict, lossy)
    if not lossy:
        _witness(story, beliefs, verdict)
    over = next((r.at_ms for r in every if isinstance(r, Truth) and r.kind == "faults over"), story.begins)
    views = [r for r in every if isinstance(r, View) and r.at_ms >= over]
    _agree(story, views, verdict)
    _forget(schedule, story, views, verdict)
    _figures(schedule, story, every, beliefs, verdict)
    return verdict


def _seconds(story: _Story, at: float) -> str:
    return f"at {(at - story.begins) / 1000:.2f} s"


def _alive(story: _Story, beliefs: list[Belief], verdict: Verdict, lossy: bool) -> None:
    false: set[tuple[str, Any]] = set()
    for belief in beliefs:
        if belief.kind == "dead" and story.well(belief.about, belief.at_ms):
            death = belief.about, belief.fields.get("incarnation")
            if death not in false and not lossy:
                verdict.breaches.append(
                    f"alive: {belief.about} is dead to {belief.place} {_seconds(story, belief.at_ms)}, by "
                    f"{belief.fields.get('by')}, and was well"
                )
            false.add(death)
    verdict.figures["false_deaths"] = len(false)


def _witness(story: _Story, beliefs: list[Belief], verdict: Verdict) -> None:
    for belief in beliefs:
        if belief.kind != "suspect" or belief.fields.get("by") != story.name_of.get(belief.place, ""):
            continue
        begin = belief.at_ms - AFTER_MS
        faulty = story.stood_within(belief.place, begin, belief.at_ms) or story.cut(
            story.name_of.get(belief.place, ""), begin, belief.at_ms
        )
        well = (
            story.ran_through(belief.about, begin - AFTER_MS, belief.at_ms)
            and not story.cut(belief.about, begin, belief.at_ms)
            and not story.stood_within(belief.about, begin - AFTER_MS, belief.at_ms)
        )
        if faulty and well:
            verdict.breaches.append(
                f"witness: {belief.place}, at fault itself, accuses {belief.about} {_seconds(story, belief.at_ms)}"
            )


def _agree(story: _Story, views: list[View], verdict: Verdict) -> None:
    members = {view.place: view for view in views if view.stage == "joined" and view.place in story.lives}
    running: dict[str, int] = {}
    for place in members:
        name = story.name_of[place]
        if name in running:
            verdict.breaches.append(f"one holder: two processes of {name} take themselves for members at the end")
        running[name] = story.lives[place]
    refused = {view.place for view in views if view.stage == "refused"}
    for place in story.lives:
        if place not in members and place not in refused:
            verdict.breaches.append(f"agree: {place} runs and is no member at the end")
    for place, view in members.items():
        held = {one.name: one.life for one in view.held if one.state in ("alive", "suspect")}
        missing, extra = sorted(running.keys() - held.keys()), sorted(held.keys() - running.keys())
        other = sorted(name for name in held.keys() & running.keys() if held[name] != running[name])
        for what, names in (("lacks", missing), ("holds", extra), ("holds an old life of", other)):
            if names:
                verdict.breaches.append(
                    f"agree: {place} {what} {', '.join(names[:5])} at the end"
                    + (f" and {len(names) - 5} more" if len(names) > 5 else "")
                )


def _forget(schedule: pb.Schedule, story: _Story, views: list[View], verdict: Verdict) -> None:
    gone = {story.name_of[place]: spans[-1].end for place, spans in story.runs.items() if place not in story.lives}
    until = story.ends - schedule.reclaim_ms - WINDOW_MS
    for view in views:
        for one in view.held:
            if gone.get(one.name, story.ends) < until:
                verdict.breaches.append(f"forget: {view.place} holds {one.name} at the end, gone for long")


def _middle(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {"least": ordered[0], "median": ordered[len(ordered) // 2], "most": ordered[-1], "of": len(ordered)}


def _figures(
    schedule: pb.Schedule, story: _Story, every: list[Record], beliefs: list[Belief], verdict: Verdict
) -> None:
    figures = verdict.figures
    hours = (
        sum(
            min(span.end, story.ends) - max(span.begin, story.begins)
            for spans in story.runs.values()
            for span in spans
            if span.end > story.begins
        )
        / 3_600_000
    )
    figures["member_hours"] = hours
    figures["false_deaths_a_member_hour"] = figures["false_deaths"] / hours if hours else 0.0
    first, told_all, suspected = [], [], []
    dead: defaultdict[str, list[Belief]] = defaultdict(list)
    for belief in beliefs:
        if belief.kind == "dead":
            dead[belief.about].append(belief)
    for kill in story.kills:
        again = min((span.begin for span in story.runs[kill.place] if span.begin > kill.at_ms), default=story.ends)
        early = [
            belief.at_ms - kill.at_ms
            for belief in beliefs
            if belief.kind == "suspect" and belief.about == kill.who and kill.at_ms <= belief.at_ms < again
        ]
        if early:
            suspected.append(min(early))
        told = {
            belief.place: belief.at_ms - kill.at_ms
            for belief in reversed(dead[kill.who])
            if kill.at_ms <= belief.at_ms < again
        }
        still = {
            place
            for place, spans in story.runs.items()
            if place != kill.place and any(span.begin < kill.at_ms and span.end >= again for span in spans)
        }
        if told:
            first.append(min(told.values()))
            if still <= told.keys():
                told_all.append(max(told[place] for place in still))
    if suspected:
        figures["first_suspicion_ms"] = _middle(suspected)
    if first:
        figures["first_detection_ms"] = _middle(first)
    if told_all:
        figures["known_to_all_ms"] = _middle(told_all)
    figures["kills"], figures["kills_known_to_all"] = len(story.kills), len(told_all)
    heals = []
    for span, _ in story.cuts:
        if span.end < story.ends:
            state = [(at, agree) for at, agree in story.agreed if at <= span.end]
            if state and state[-1][1]:
                heals.append(0.0)
                continue
            after = [at for at, agree in story.agreed if agree and at >= span.end]
            if after:
                heals.append(after[0] - span.end)
    if heals:
        figures["healed_ms"] = _middle(heals)
    figures["suspicions"] = sum(
        1 for b in beliefs if b.kind == "suspect" and b.fields.get("by") == story.name_of.get(b.place)
    )
    figures["events"] = len(beliefs)
    at_begin = {r.place: r.counts for r in every if isinstance(r, View) and r.at_ms <= story.begins}
    at_end = {r.place: r.counts for r in every if isinstance(r, View) and r.at_ms > story.begins}
    # Of those that ran through, from the begin on: how they came together is not what it costs to stay so.
    through = [place for place in at_end if place in at_begin and story.runs[place][-1].begin <= story.begins]
    if through and story.ends > story.begins:
        seconds = (story.ends - story.begins) / 1000 * len(through)
        for count in ("sent", "sent_bytes", "exchanges"):
            figures[f"{count}_a_second"] = (
                sum(at_end[place].get(count, 0.0) - at_begin[place].get(count, 0.0) for place in through) / seconds
            )
