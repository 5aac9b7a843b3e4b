"""Plans of the faults of a run, drawn from its seed."""

import random
from collections.abc import Callable
from typing import NamedTuple

from standins.cut_instance import CUTS

__all__ = ["FAULT_KINDS", "Fault", "Plan", "draw_plan"]


class Fault(NamedTuple):
    """A fault to inject.

    Attributes:
        start_s: Start, in seconds after the start of the load.
        kind: A key of FAULT_KINDS, TARGET_FAULT_KINDS, STATEMENT_KINDS, CUT_KINDS,
            DOWNLOAD_KINDS or SOURCE_KINDS.
        subject: Affected instance, target or data centre; empty for the store and for
            actions of operators.
        duration_s: Duration in seconds.
        variant: One of the variants of the kind.
    """

    start_s: float
    kind: str
    subject: str
    duration_s: float
    variant: str = ""

    @property
    def is_planned(self) -> bool:
        """Whether this is planned work of operators, which must not cut requests."""
        return self.kind in _PLANNED_KINDS


class Plan(NamedTuple):
    """The faults of one run, ordered by start."""

    seed: int
    faults: tuple[Fault, ...]


class FaultKind(NamedTuple):
    """Parameters from which faults of a kind are drawn.

    Attributes:
        subject_type: ``instance``, ``target``, ``place`` (a data centre) or empty.
        duration_min_s: Shortest duration in seconds.
        duration_max_s: Longest duration in seconds.
        variants: Variants to choose from.
    """

    subject_type: str
    duration_min_s: float
    duration_max_s: float
    variants: tuple[str, ...] = ("",)


LINK_FAULTS = ("delay", "reset", "silence", "one_way")
FAULT_KINDS = {
    "stop": FaultKind("instance", 0, 0),
    "kill": FaultKind("instance", 0, 1),
    "pause": FaultKind("instance", 0.5, 6),
    "reload": FaultKind("instance", 0, 0),
    "store_link": FaultKind("instance", 0.5, 6, LINK_FAULTS),
    "store": FaultKind("", 0.5, 5, ("is_down", "is_silent", "loses_writes")),
    "forget": FaultKind("", 0, 0),
    "target_kill": FaultKind("target", 0, 0),
    "target_drain": FaultKind("target", 0, 0),
    "target_pause": FaultKind("target", 0.5, 4),
    "target_link": FaultKind("target", 0.5, 5, LINK_FAULTS),
    "target_fault": FaultKind(
        "target",
        0.5,
        4,
        ("shed", "fail", "lose", "truncate", "extra", "foreign", "unframed", "reset"),
    ),
    "configure": FaultKind("", 0, 0, ("add", "drop")),
    "withdraw": FaultKind("", 0, 0),
    "evacuate": FaultKind("place", 1, 6),
}
TARGET_FAULT_KINDS = {
    "target_limit": FaultKind("target", 6, 10, ("20", "5", "0.5")),
    "crashing_request": FaultKind("", 6, 10),
}
"""Faults of targets that are added to the plans of some seeds."""

TARGET_FAULTS_SHARE = 0.5
"""Share of the seeds whose plans have such faults."""

STATEMENT_KINDS = {
    "target_rest": FaultKind("target", 0.3, 1, ("0.7", "2", "3")),
    "target_leaving": FaultKind("target", 4, 6),
}
"""Statements of targets in their answers."""

DOWNLOAD_KINDS = {
    "target_large": FaultKind(
        "target", 1, 5, ("", "truncate", "reset", "unframed", "slow")
    ),
}
"""Large answers of targets, whole or broken off."""

CUT_KINDS = {
    "target_cut": FaultKind("instance", 5, 9, CUTS),
    "target_cut_place": FaultKind("place", 5, 9, CUTS),
}
"""Losses of connectivity to all targets."""


SOURCE_KINDS = {
    "store_copy": FaultKind("", 1.5, 4, ("0.3", "0.6", "0.9")),
    "silence": FaultKind("", 0, 0, ("store", "all")),
}
"""A store that returns from a copy, after the part of the time that the variant states
without it; and open connections that go silent for good."""


class AddedFaults(NamedTuple):
    """Faults that are added to the plans of some seeds.

    Attributes:
        name: Part of the seed of these faults.
        kinds: Kinds to choose from.
        share: Share of the seeds whose plans have such faults.
        count_max: Most of them in one plan.
        start_part: Part of the phase of faults in which they start.
    """

    name: str
    kinds: dict[str, FaultKind]
    share: float
    count_max: int
    start_part: float


STATEMENTS = AddedFaults("statements-7", STATEMENT_KINDS, 0.5, 4, 1.0)
LOSSES = AddedFaults("ways", CUT_KINDS, 0.4, 3, 0.5)
DOWNLOADS = AddedFaults("downloads", DOWNLOAD_KINDS, 0.5, 6, 1.0)
SOURCES = AddedFaults("sources", SOURCE_KINDS, 0.5, 4, 1.0)
LOSS_ALONE_SHARE = 0.3
"""Share of the seeds with losses whose plans have one loss and no other faults."""

_ALL_KINDS = (
    FAULT_KINDS
    | TARGET_FAULT_KINDS
    | STATEMENT_KINDS
    | CUT_KINDS
    | DOWNLOAD_KINDS
    | SOURCE_KINDS
)
_PLANNED_KINDS = frozenset({"stop", "reload", "configure"})
FAULT_INTERVAL_MEAN_S = 0.7
"""Mean time between the starts of two faults; most faults last longer and overlap."""


def draw_plan(
    seed: int, seconds: float, subjects_by_type: dict[str, list[str]]
) -> Plan:
    """Return the plan of a seed; the same arguments give the same plan.

    Args:
        seed: Seed of the random choices.
        seconds: Length of the run in seconds.
        subjects_by_type: Names of all instances, targets and data centres, by the
            subject type of fault kinds.
    """
    rng = random.Random(seed)
    # Each seed uses only a few kinds, so that some runs consist of planned work alone.
    kinds = rng.sample(sorted(FAULT_KINDS), rng.randint(2, 6))
    faults, start_s = [], 0.5
    while start_s < seconds:
        kind = rng.choice(kinds)
        faults.append(_draw_fault(rng, kind, start_s, subjects_by_type))
        start_s += rng.expovariate(1 / FAULT_INTERVAL_MEAN_S)
    faults += _draw_target_faults(seed, seconds, subjects_by_type)
    faults += _draw_added(STATEMENTS, seed, seconds, subjects_by_type)
    faults += _draw_added(DOWNLOADS, seed, seconds, subjects_by_type)
    faults += _draw_added(SOURCES, seed, seconds, subjects_by_type)
    losses = _draw_added(LOSSES, seed, seconds, subjects_by_type)
    if losses and random.Random(f"{seed}/alone").random() < LOSS_ALONE_SHARE:
        return Plan(seed, tuple(losses[:1]))
    return Plan(seed, tuple(sorted(faults + losses)))


def _draw_target_faults(
    seed: int, seconds: float, subjects_by_type: dict[str, list[str]]
) -> list[Fault]:
    """Return additional faults, which do not change the others of the seed."""
    rng = random.Random(f"{seed}/target-faults")
    if rng.random() >= TARGET_FAULTS_SHARE:
        return []
    kinds = sorted(TARGET_FAULT_KINDS)
    return [
        _draw_fault(rng, kind, rng.uniform(0, seconds / 2), subjects_by_type)
        for kind in rng.sample(kinds, rng.randint(1, len(kinds)))
    ]


def _draw_added(
    added: AddedFaults,
    seed: int,
    seconds: float,
    subjects_by_type: dict[str, list[str]],
) -> list[Fault]:
    """Return added faults; the other faults of the seed stay the same."""
    rng = random.Random(f"{seed}/{added.name}")
    if rng.random() >= added.share:
        return []
    kinds, end_s = sorted(added.kinds), seconds * added.start_part
    return [
        _draw_fault(rng, rng.choice(kinds), rng.uniform(0, end_s), subjects_by_type)
        for _ in range(rng.randint(1, added.count_max))
    ]


def _draw_fault(
    rng: random.Random,
    kind: str,
    start_s: float,
    subjects_by_type: dict[str, list[str]],
) -> Fault:
    parameters = _ALL_KINDS[kind]
    choose: Callable[[list[str]], str] = rng.choice
    subject = (
        choose(subjects_by_type[parameters.subject_type])
        if parameters.subject_type
        else ""
    )
    duration_s = rng.uniform(parameters.duration_min_s, parameters.duration_max_s)
    return Fault(start_s, kind, subject, duration_s, rng.choice(parameters.variants))
