"""Checks the invariants of a run from its records alone: what each member believed against what really happened.

The invariants are listed here; each violation is reported as a sentence with its moment:

- *alive*: no member is declared dead that ran throughout, was paused for less than the bound, and was on no link that
  was cut.  Where more than 5% of the datagrams are lost, false deaths are only counted.
- *witness*: a member that was paused, or that a cut kept from receiving or sending, suspects no healthy member.
- *agree*: at the end, the table of every running member has exactly the running members, each with its present boot id.
- *forget*: at the end, no table has a member that has been gone for longer than dead members are remembered.
- *one holder*: no name is used by two processes that both consider themselves members.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.records import Belief, Record, Truth, View
from martenstep.lab.fleet.schedule import matching_members, members_of

SUSPICION_WINDOW_MS = 60_000.0  # a suspicion lasts up to half of this, and a fault before it may have caused the death
RECOVERY_MS = 3000.0  # after the end of a pause or a cut, a suspicion may still result from it
MAX_LOSS_WITHOUT_DEATHS = 0.05  # share of lost datagrams that must not cause a false death


@dataclass(slots=True)
class Interval:
    """The time from one moment to another."""

    begin: float
    end: float = float("inf")

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether the two intervals overlap."""
        return self.begin <= end and self.end >= begin


@dataclass(slots=True)
class Verdict:
    """The violations that the checker found, and the figures of the run."""

    violations: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def invariants_hold(self) -> bool:
        """Whether no invariant was violated."""
        return not self.violations


class _Timeline:
    """What really happened, by place and in order of time."""

    def __init__(self, schedule: pb.Schedule, records: list[Record]) -> None:
        self.begins = next((r.at_ms for r in records if isinstance(r, Truth) and r.kind == "begins"), 0.0)
        self.ends = max((r.at_ms for r in records), default=0.0)
        self.runs: defaultdict[str, list[Interval]] = defaultdict(list)  # by place
        self.pauses: defaultdict[str, list[Interval]] = defaultdict(list)
        self.boot_ids: dict[str, int] = {}  # by place, of the running process
        self.name_of: dict[str, str] = {}
        self.kills: list[Truth] = []
        self.agreement: list[tuple[float, bool]] = []
        self.cuts: list[tuple[Interval, pb.Break]] = []
        faults: dict[int, Interval] = {}
        for record in records:
            if not isinstance(record, Truth):
                continue
            place, kind, at = record.place, record.kind, record.at_ms
            if kind == "started":
                self.runs[place].append(Interval(at))
                self.boot_ids[place] = record.fields["life"]
                self.name_of[place] = record.who
            elif kind in ("killed", "left"):
                if not self.runs[place] or self.runs[place][-1].end < at:
                    continue  # it was stopped before its start was recorded
                self.runs[place][-1].end = at
                self.boot_ids.pop(place, None)
                if self.pauses[place] and self.pauses[place][-1].end == float("inf"):
                    self.pauses[place][-1].end = at
                if kind == "killed" and at >= self.begins:
                    self.kills.append(record)
            elif kind == "paused":
                self.pauses[place].append(Interval(at))
            elif kind == "resumed":
                self.pauses[place][-1].end = at
            elif kind.startswith("views"):
                self.agreement.append((at, kind == "views agree"))
            elif kind.startswith("fault"):
                number = int(record.fields["number"]) if "number" in record.fields else -1
                if kind == "fault begins":
                    faults[number] = Interval(at)
                    entry = schedule.trouble[number]
                    if entry.what in (pb.CUT, pb.BANDWIDTH):
                        self.cuts.append((faults[number], entry))
                elif kind == "fault ends" and number in faults:
                    faults[number].end = at
        members = members_of(schedule)
        self._cut_members = [
            (
                interval,
                frozenset(matching_members(entry.source, members)),
                frozenset(matching_members(entry.sink, members)),
            )
            for interval, entry in self.cuts
        ]
        self._max_pause_ms = schedule.suspect_least_ms - 1500.0

    def was_cut(self, name: str, begin: float, end: float) -> bool:
        """Whether a link from or to a member was cut."""
        return any(
            interval.overlaps(begin, end) and (name in sources or name in sinks)
            for interval, sources, sinks in self._cut_members
        )

    def was_paused(self, place: str, begin: float, end: float, longer_than: float = 0.0) -> bool:
        """Whether a process was paused for longer than a given time."""
        return any(
            interval.overlaps(begin, end) and min(interval.end, end) - interval.begin > longer_than
            for interval in self.pauses.get(place, [])
        )

    def ran_throughout(self, place: str, begin: float, end: float) -> bool:
        """Whether a process ran without a restart from `begin`, or from the later begin of the faults, to `end`."""
        return any(
            interval.begin <= max(begin, self.begins) and interval.end >= end for interval in self.runs.get(place, [])
        )

    def was_healthy(self, name: str, at: float) -> bool:
        """Whether no fault in the window before a moment justifies that a member is declared dead."""
        begin = at - SUSPICION_WINDOW_MS
        return (
            self.ran_throughout(name, begin, at)
            and not self.was_cut(name, begin, at)
            and not self.was_paused(name, begin, at, self._max_pause_ms)
        )


def judge(schedule: pb.Schedule, records: Iterable[Record]) -> Verdict:
    """Check the invariants of one run, and compute its figures."""
    ordered = sorted(records, key=lambda record: record.at_ms)
    timeline, verdict = _Timeline(schedule, ordered), Verdict()
    lossy = any(entry.what == pb.LOSS and entry.share > MAX_LOSS_WITHOUT_DEATHS for entry in schedule.trouble)
    beliefs = [r for r in ordered if isinstance(r, Belief) and r.at_ms >= timeline.begins]
    _check_alive(timeline, beliefs, verdict, lossy)
    if not lossy:
        _check_witness(timeline, beliefs, verdict)
    faults_over = next((r.at_ms for r in ordered if isinstance(r, Truth) and r.kind == "faults over"), timeline.begins)
    views = [r for r in ordered if isinstance(r, View) and r.at_ms >= faults_over]
    _check_agree(timeline, views, verdict)
    _check_forget(schedule, timeline, views, verdict)
    _add_figures(schedule, timeline, ordered, beliefs, verdict)
    return verdict


def _seconds(timeline: _Timeline, at: float) -> str:
    return f"at {(at - timeline.begins) / 1000:.2f} s"


def _check_alive(timeline: _Timeline, beliefs: list[Belief], verdict: Verdict, lossy: bool) -> None:
    false_deaths: set[tuple[str, Any]] = set()
    for belief in beliefs:
        if belief.kind == "dead" and timeline.was_healthy(belief.about, belief.at_ms):
            death = belief.about, belief.fields.get("incarnation")
            if death not in false_deaths and not lossy:
                verdict.violations.append(
                    f"alive: {belief.place} declared {belief.about} dead {_seconds(timeline, belief.at_ms)}, "
                    f"as reported by {belief.fields.get('by')}, but it was healthy"
                )
            false_deaths.add(death)
    verdict.figures["false_deaths"] = len(false_deaths)


def _check_witness(timeline: _Timeline, beliefs: list[Belief], verdict: Verdict) -> None:
    for belief in beliefs:
        if belief.kind != "suspect" or belief.fields.get("by") != timeline.name_of.get(belief.place, ""):
            continue
        begin = belief.at_ms - RECOVERY_MS
        reporter_faulty = timeline.was_paused(belief.place, begin, belief.at_ms) or timeline.was_cut(
            timeline.name_of.get(belief.place, ""), begin, belief.at_ms
        )
        target_healthy = (
            timeline.ran_throughout(belief.about, begin - RECOVERY_MS, belief.at_ms)
            and not timeline.was_cut(belief.about, begin, belief.at_ms)
            and not timeline.was_paused(belief.about, begin - RECOVERY_MS, belief.at_ms)
        )
        if reporter_faulty and target_healthy:
            verdict.violations.append(
                f"witness: {belief.place}, which was paused or cut off, suspects {belief.about} "
                f"{_seconds(timeline, belief.at_ms)}"
            )


def _check_agree(timeline: _Timeline, views: list[View], verdict: Verdict) -> None:
    members = {view.place: view for view in views if view.stage == "joined" and view.place in timeline.boot_ids}
    running: dict[str, int] = {}
    for place in members:
        name = timeline.name_of[place]
        if name in running:
            verdict.violations.append(f"one holder: two processes of {name} consider themselves members at the end")
        running[name] = timeline.boot_ids[place]
    refused = {view.place for view in views if view.stage == "refused"}
    for place in timeline.boot_ids:
        if place not in members and place not in refused:
            verdict.violations.append(f"agree: {place} runs but is not a member at the end")
    for place, view in members.items():
        held = {entry.name: entry.boot_id for entry in view.held if entry.state in ("alive", "suspect")}
        missing, extra = sorted(running.keys() - held.keys()), sorted(held.keys() - running.keys())
        other = sorted(name for name in held.keys() & running.keys() if held[name] != running[name])
        for what, names in (("lacks", missing), ("still has", extra), ("has an earlier boot id of", other)):
            if names:
                verdict.violations.append(
                    f"agree: {place} {what} {', '.join(names[:5])} at the end"
                    + (f" and {len(names) - 5} more" if len(names) > 5 else "")
                )


def _check_forget(schedule: pb.Schedule, timeline: _Timeline, views: list[View], verdict: Verdict) -> None:
    gone = {
        timeline.name_of[place]: intervals[-1].end
        for place, intervals in timeline.runs.items()
        if place not in timeline.boot_ids
    }
    until = timeline.ends - schedule.reclaim_ms - SUSPICION_WINDOW_MS
    for view in views:
        for entry in view.held:
            if gone.get(entry.name, timeline.ends) < until:
                verdict.violations.append(
                    f"forget: {view.place} still has {entry.name} at the end, which has been gone too long"
                )


def _distribution(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {"least": ordered[0], "median": ordered[len(ordered) // 2], "most": ordered[-1], "of": len(ordered)}


def _add_figures(
    schedule: pb.Schedule, timeline: _Timeline, ordered: list[Record], beliefs: list[Belief], verdict: Verdict
) -> None:
    figures = verdict.figures
    hours = (
        sum(
            min(interval.end, timeline.ends) - max(interval.begin, timeline.begins)
            for intervals in timeline.runs.values()
            for interval in intervals
            if interval.end > timeline.begins
        )
        / 3_600_000
    )
    figures["member_hours"] = hours
    figures["false_deaths_a_member_hour"] = figures["false_deaths"] / hours if hours else 0.0
    first_detections, detected_by_all, first_suspicions = [], [], []
    dead: defaultdict[str, list[Belief]] = defaultdict(list)
    for belief in beliefs:
        if belief.kind == "dead":
            dead[belief.about].append(belief)
    for kill in timeline.kills:
        restarted_at = min(
            (interval.begin for interval in timeline.runs[kill.place] if interval.begin > kill.at_ms),
            default=timeline.ends,
        )
        suspicion_delays = [
            belief.at_ms - kill.at_ms
            for belief in beliefs
            if belief.kind == "suspect" and belief.about == kill.who and kill.at_ms <= belief.at_ms < restarted_at
        ]
        if suspicion_delays:
            first_suspicions.append(min(suspicion_delays))
        detected = {
            belief.place: belief.at_ms - kill.at_ms
            for belief in reversed(dead[kill.who])
            if kill.at_ms <= belief.at_ms < restarted_at
        }
        observers = {
            place
            for place, intervals in timeline.runs.items()
            if place != kill.place
            and any(interval.begin < kill.at_ms and interval.end >= restarted_at for interval in intervals)
        }
        if detected:
            first_detections.append(min(detected.values()))
            if observers <= detected.keys():
                detected_by_all.append(max(detected[place] for place in observers))
    if first_suspicions:
        figures["first_suspicion_ms"] = _distribution(first_suspicions)
    if first_detections:
        figures["first_detection_ms"] = _distribution(first_detections)
    if detected_by_all:
        figures["known_to_all_ms"] = _distribution(detected_by_all)
    figures["kills"], figures["kills_known_to_all"] = len(timeline.kills), len(detected_by_all)
    heal_delays = []
    for interval, _ in timeline.cuts:
        if interval.end < timeline.ends:
            state = [(at, agree) for at, agree in timeline.agreement if at <= interval.end]
            if state and state[-1][1]:
                heal_delays.append(0.0)
                continue
            after = [at for at, agree in timeline.agreement if agree and at >= interval.end]
            if after:
                heal_delays.append(after[0] - interval.end)
    if heal_delays:
        figures["healed_ms"] = _distribution(heal_delays)
    figures["suspicions"] = sum(
        1 for b in beliefs if b.kind == "suspect" and b.fields.get("by") == timeline.name_of.get(b.place)
    )
    figures["events"] = len(beliefs)
    counts_at_begin = {r.place: r.counts for r in ordered if isinstance(r, View) and r.at_ms <= timeline.begins}
    counts_at_end = {r.place: r.counts for r in ordered if isinstance(r, View) and r.at_ms > timeline.begins}
    # Only members that ran throughout, and only from the begin of the faults: the cost of joining is not included.
    stable_places = [
        place
        for place in counts_at_end
        if place in counts_at_begin and timeline.runs[place][-1].begin <= timeline.begins
    ]
    if stable_places and timeline.ends > timeline.begins:
        seconds = (timeline.ends - timeline.begins) / 1000 * len(stable_places)
        for count in ("sent", "sent_bytes", "exchanges"):
            figures[f"{count}_a_second"] = (
                sum(
                    counts_at_end[place].get(count, 0.0) - counts_at_begin[place].get(count, 0.0)
                    for place in stable_places
                )
                / seconds
            )
