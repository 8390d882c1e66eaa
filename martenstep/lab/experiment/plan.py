"""Plans: their checks, their arms, and the day of each run."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format

from martenstep.config.checker import SettingsChecker
from martenstep.config.loading import parse_checked, read_text
from martenstep.config.text_format import FieldPosition, SettingsError
from martenstep.lab import day_pb2, plan_pb2
from martenstep.lab.day import check_scenario, load_scenario

MOST_ARMS, MOST_RUNS = 200, 5000


@dataclass(frozen=True, slots=True)
class Arm:
    """One combination of levels."""

    name: str  # "level/level"
    levels: tuple[tuple[str, str], ...]  # factor and level
    values: tuple[float, ...]  # their places on an axis


@dataclass(frozen=True, slots=True)
class Run:
    """One day to emulate."""

    arm: Arm
    repetition: int
    seed: int
    day: bytes  # serialized


def _check(check: SettingsChecker, plan: plan_pb2.Plan, root: FieldPosition) -> None:
    check.require_present(plan, root, "name", "day")
    check.require_range(plan, root, "repetitions", 1, 1000)
    check.require_unique(root.all("factor"), plan.factor, "name")
    arms = 1
    for factor, node in zip(plan.factor, root.all("factor"), strict=True):
        check.require_present(factor, node, "name")
        if not factor.level:
            check.report(node.at("level"), "missing: at least one is needed")
        check.require_unique(node.all("level"), factor.level, "name")
        for level, at in zip(factor.level, node.all("level"), strict=True):
            check.require_present(level, at, "name")
            if "/" in level.name:
                check.report(at.at("name"), "may not hold '/'")
            check.require_positive(level, at, "rate_times", "customers_times")
            try:
                text_format.Parse(level.set, day_pb2.Day())
            except text_format.ParseError as error:
                check.report(at.at("set"), str(error))
        arms *= max(len(factor.level), 1)
    if arms > MOST_ARMS or arms * plan.repetitions > MOST_RUNS:
        check.report(root, f"{arms} arms of {plan.repetitions} runs: at most {MOST_ARMS} arms and {MOST_RUNS} runs")


def parse_plan(text: str, file: str) -> plan_pb2.Plan:
    """A plan from text; raises SettingsError."""
    return parse_checked(text, plan_pb2.Plan(), file, _check)


def load_plan(path: Path) -> plan_pb2.Plan:
    """A plan from a file; raises SettingsError."""
    return parse_plan(read_text(path), str(path))


def arms_of(plan: plan_pb2.Plan) -> list[Arm]:
    """Every combination of levels, in the order of the plan."""
    made = []
    for chosen in itertools.product(*(list(enumerate(factor.level)) for factor in plan.factor)):
        levels = tuple((factor.name, level.name) for factor, (_, level) in zip(plan.factor, chosen, strict=True))
        values = tuple(level.value if level.HasField("value") else float(at) for at, level in chosen)
        made.append(Arm("/".join(name for _, name in levels) or "all", levels, values))
    return made


def day_of(plan: plan_pb2.Plan, base: day_pb2.Day, arm: Arm) -> day_pb2.Day:
    """The day of an arm; raises SettingsError where its levels make one that cannot be."""
    day = day_pb2.Day()
    day.CopyFrom(base)
    for factor, (_, chosen) in zip(plan.factor, arm.levels, strict=True):
        [level] = [one for one in factor.level if one.name == chosen]
        text_format.Merge(level.set, day)
        for phase in day.phase:
            phase.rate *= level.rate_times
        for group in day.customers:
            group.number = max(round(group.number * level.customers_times), 1)
            if level.customer_doors:
                group.doors = min(level.customer_doors, day.fleet.doors)
    checked, root = SettingsChecker(), FieldPosition("", "", 1, 1)
    # The merged day stands in no file: faults are told by their fields.
    nodes = _nodes(day, root)
    check_scenario(checked, day, nodes)
    if checked.problems:
        raise SettingsError(f"arm {arm.name}", checked.problems)
    return day


def _nodes(day: day_pb2.Day, root: FieldPosition) -> FieldPosition:
    """Places for a message without a text: one for each entry of its lists."""
    for field in day.DESCRIPTOR.fields:
        if field.is_repeated and field.message_type is not None:
            for number in range(len(getattr(day, field.name))):
                root.children.append(FieldPosition(field.name, f"{field.name}[{number}]", 1, 1))
    return root


def runs_of(plan: plan_pb2.Plan, folder: Path) -> list[Run]:
    """All runs, repetition by repetition, so that what is there early tells of all arms; raises SettingsError."""
    base = load_scenario(folder / plan.day)
    days = [(arm, day_of(plan, base, arm)) for arm in arms_of(plan)]
    made = []
    for repetition in range(plan.repetitions):
        for arm, day in days:
            day.seed = plan.seed * 10_000 + repetition  # the same for all arms: common random numbers
            made.append(Run(arm, repetition, day.seed, day.SerializeToString()))
    return made
