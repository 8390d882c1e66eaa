"""Plans of experiments: validation, arms, and the scenario of each run."""

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

MAX_ARMS, MAX_RUNS = 200, 5000


@dataclass(frozen=True, slots=True)
class Arm:
    """One combination of the levels of all factors."""

    name: str  # "level/level"
    levels: tuple[tuple[str, str], ...]  # factor and level
    values: tuple[float, ...]  # the levels' positions on a chart's axis


@dataclass(frozen=True, slots=True)
class Run:
    """One scenario to run."""

    arm: Arm
    repetition: int
    seed: int
    scenario: bytes  # serialized


def _check(check: SettingsChecker, plan: plan_pb2.Plan, root: FieldPosition) -> None:
    check.require_present(plan, root, "name", "day")
    check.require_range(plan, root, "repetitions", 1, 1000)
    check.require_unique(root.all("factor"), plan.factor, "name")
    arms = 1
    for factor, factor_position in zip(plan.factor, root.all("factor"), strict=True):
        check.require_present(factor, factor_position, "name")
        if not factor.level:
            check.report(factor_position.at("level"), "missing: expected at least one level")
        check.require_unique(factor_position.all("level"), factor.level, "name")
        for level, position in zip(factor.level, factor_position.all("level"), strict=True):
            check.require_present(level, position, "name")
            if "/" in level.name:
                check.report(position.at("name"), "must not contain '/'")
            check.require_positive(level, position, "rate_times", "customers_times")
            try:
                text_format.Parse(level.set, day_pb2.Day())
            except text_format.ParseError as error:
                check.report(position.at("set"), str(error))
        arms *= max(len(factor.level), 1)
    if arms > MAX_ARMS or arms * plan.repetitions > MAX_RUNS:
        check.report(
            root, f"expected at most {MAX_ARMS} arms and {MAX_RUNS} runs, got {arms} arms of {plan.repetitions} runs"
        )


def parse_plan(text: str, file: str) -> plan_pb2.Plan:
    """Parse and validate a plan; raises SettingsError."""
    return parse_checked(text, plan_pb2.Plan(), file, _check)


def load_plan(path: Path) -> plan_pb2.Plan:
    """Load and validate a plan; raises SettingsError."""
    return parse_plan(read_text(path), str(path))


def arms_of(plan: plan_pb2.Plan) -> list[Arm]:
    """Every combination of levels, in the order of the plan."""
    arms = []
    for chosen in itertools.product(*(list(enumerate(factor.level)) for factor in plan.factor)):
        levels = tuple((factor.name, level.name) for factor, (_, level) in zip(plan.factor, chosen, strict=True))
        values = tuple(level.value if level.HasField("value") else float(position) for position, level in chosen)
        arms.append(Arm("/".join(name for _, name in levels) or "all", levels, values))
    return arms


def scenario_of_arm(plan: plan_pb2.Plan, base: day_pb2.Day, arm: Arm) -> day_pb2.Day:
    """The scenario of an arm; raises SettingsError if its levels make the scenario invalid."""
    scenario = day_pb2.Day()
    scenario.CopyFrom(base)
    for factor, (_, chosen) in zip(plan.factor, arm.levels, strict=True):
        [level] = [level for level in factor.level if level.name == chosen]
        text_format.Merge(level.set, scenario)
        for phase in scenario.phase:
            phase.rate *= level.rate_times
        for group in scenario.customers:
            group.number = max(round(group.number * level.customers_times), 1)
            if level.customer_doors:
                group.doors = min(level.customer_doors, scenario.fleet.doors)
    checker, root = SettingsChecker(), FieldPosition("", "", 1, 1)
    # The merged scenario is in no file, so problems are reported by field instead of by line.
    check_scenario(checker, scenario, _field_positions(scenario, root))
    if checker.problems:
        raise SettingsError(f"arm {arm.name}", checker.problems)
    return scenario


def _field_positions(scenario: day_pb2.Day, root: FieldPosition) -> FieldPosition:
    """Positions for a message without source text: one for each entry of its repeated fields."""
    for field in scenario.DESCRIPTOR.fields:
        if field.is_repeated and field.message_type is not None:
            for number in range(len(getattr(scenario, field.name))):
                root.children.append(FieldPosition(field.name, f"{field.name}[{number}]", 1, 1))
    return root


def runs_of(plan: plan_pb2.Plan, folder: Path) -> list[Run]:
    """All runs, ordered by repetition so that early results cover all arms; raises SettingsError."""
    base = load_scenario(folder / plan.day)
    scenarios = [(arm, scenario_of_arm(plan, base, arm)) for arm in arms_of(plan)]
    runs = []
    for repetition in range(plan.repetitions):
        for arm, scenario in scenarios:
            scenario.seed = plan.seed * 10_000 + repetition  # equal for all arms: common random numbers reduce variance
            runs.append(Run(arm, repetition, scenario.seed, scenario.SerializeToString()))
    return runs
